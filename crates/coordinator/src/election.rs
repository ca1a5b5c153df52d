//! Who owns the scheduling: decisions of a node that is not the owner.
//!
//! A node asks the owner at short intervals whether it works. While the owner does not say so, the
//! node reads the owner's row; it takes over when the row has not changed for [`SILENCE_MAX`], or for
//! [`REFUSED_MAX`] if nothing listens at the owner's address; at once when the owner has released the
//! row, when it says itself that it cannot write, or when another process answers at its address. A
//! node with little processor time leaves all that to stronger ones for [`YIELD_TIME`] first.
//!
//! A take-over is safe at any time, since workers and the store refuse the orders of the owner before;
//! these times only keep it from being needless.

use std::time::Duration;

use scheduler::Moment;

use crate::rows::OwnerRow;

/// Time between two looks at the owner.
pub const POLL_PERIOD: Duration = Duration::from_millis(300);
/// Time without a change of the owner's row after which it is taken; above the time of a few
/// transactions of a slow store.
pub const SILENCE_MAX: Duration = Duration::from_millis(1_300);
/// Time without a change of the owner's row after which it is taken if nothing listens at the owner's
/// address.
pub const REFUSED_MAX: Duration = Duration::from_millis(250);
/// Age of the owner's last transaction up to which it counts as working; above two transactions of a
/// slow store, and below the time for which the last one lets the owner act.
pub const RENEWAL_AGE_MAX: Duration = Duration::from_millis(2_400);
/// Age of the transaction that made it the owner up to which it may read what is stored; below the
/// time for which that transaction lets it act.
pub const LOADING_AGE_MAX: Duration = Duration::from_millis(3_000);
/// Time for which a node leaves a take-over to stronger ones; above two looks.
pub const YIELD_TIME: Duration = Duration::from_millis(800);

/// What the owner has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerReply {
    /// It is the owner; age of its last transaction.
    Owner {
        /// Number of its process.
        incarnation: u64,
        /// Age of its last committed transaction.
        renewal_age: Duration,
        /// It has just taken over, and reads what is stored.
        is_loading: bool,
    },
    /// It is not the owner.
    NotOwner {
        /// Number of its process.
        incarnation: u64,
    },
    /// Nothing listens at its address.
    Refused,
    /// No answer.
    Silent,
}

/// What a look at the owner calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The owner works.
    Wait,
    /// Read the owner's row.
    ReadRow,
}

/// What a read of the owner's row calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Leave it.
    Wait,
    /// Take the row over.
    TakeOver(Reason),
}

/// When a node may take over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverTiming {
    /// As soon as there is reason to.
    Immediate,
    /// Once stronger nodes have had the time to.
    AfterStronger,
}

/// Why a node takes over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// There has been no owner.
    First,
    /// The owner has released the row.
    Released,
    /// The owner's process has ended.
    Ended,
    /// The row has not changed for long.
    Silent,
    /// The owner cannot write to the store.
    Stuck,
}

/// What a node knows of the owner's silence.
#[derive(Clone, Debug, Default)]
pub struct Election {
    /// Epoch and sequence of the row as read, and when it was first read so.
    last_row: Option<(u64, u64, Moment)>,
    /// What the owner's last answer calls for, about the process with this number.
    suspicion: Option<(u64, Suspicion)>,
    /// The owner, with this number, has asked this node to take over.
    requested_by: Option<u64>,
    /// Epoch of the row for whose take-over there is reason, and since when.
    pending_takeover: Option<(u64, Moment)>,
}

/// What an answer says of the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Suspicion {
    /// Its process has ended.
    Ended,
    /// It cannot write to the store.
    Stuck,
    /// Nothing listens at its address.
    Refused,
}

impl Election {
    /// Takes in the owner's answer.
    pub fn handle_reply(&mut self, row: &OwnerRow, reply: OwnerReply) -> NextStep {
        self.suspicion = None;
        match reply {
            OwnerReply::Owner { incarnation, renewal_age, is_loading }
                if incarnation == row.incarnation && renewal_age <= renewal_age_max(is_loading) =>
            {
                self.last_row = None;
                self.pending_takeover = None;
                NextStep::Wait
            }
            OwnerReply::NotOwner { incarnation } | OwnerReply::Owner { incarnation, .. }
                if incarnation != row.incarnation =>
            {
                self.suspicion = Some((row.incarnation, Suspicion::Ended));
                NextStep::ReadRow
            }
            OwnerReply::Owner { .. } => {
                self.suspicion = Some((row.incarnation, Suspicion::Stuck));
                NextStep::ReadRow
            }
            OwnerReply::Refused => {
                self.suspicion = Some((row.incarnation, Suspicion::Refused));
                NextStep::ReadRow
            }
            OwnerReply::NotOwner { .. } | OwnerReply::Silent => NextStep::ReadRow,
        }
    }

    /// The owner has asked this node to take over, since it cannot write to the store.
    pub fn handle_takeover_request(&mut self, row: &OwnerRow) {
        self.suspicion = Some((row.incarnation, Suspicion::Stuck));
        self.requested_by = Some(row.incarnation);
    }

    /// Takes in the owner's row; none if there is no row yet.
    pub fn handle_row(
        &mut self,
        row: Option<&OwnerRow>,
        timing: TakeoverTiming,
        now: Moment,
    ) -> Verdict {
        let Some(row) = row else {
            return Verdict::TakeOver(Reason::First);
        };
        let verdict = self.evaluate(row, now);
        if verdict == Verdict::Wait {
            self.pending_takeover = None;
            return verdict;
        }
        let is_requested = self.requested_by == Some(row.incarnation);
        if timing == TakeoverTiming::Immediate || is_requested {
            return verdict;
        }
        match self.pending_takeover {
            Some((epoch, since)) if epoch == row.epoch => {
                match now.saturating_sub(since) >= YIELD_TIME {
                    true => verdict,
                    false => Verdict::Wait,
                }
            }
            _ => {
                self.pending_takeover = Some((row.epoch, now));
                Verdict::Wait
            }
        }
    }

    /// What the row calls for, whoever is to do it.
    fn evaluate(&mut self, row: &OwnerRow, now: Moment) -> Verdict {
        if row.is_released {
            return Verdict::TakeOver(Reason::Released);
        }
        let suspicion = self.suspicion.filter(|(incarnation, _)| *incarnation == row.incarnation);
        let silence_max = match suspicion {
            Some((_, Suspicion::Ended)) => return Verdict::TakeOver(Reason::Ended),
            Some((_, Suspicion::Stuck)) => return Verdict::TakeOver(Reason::Stuck),
            Some((_, Suspicion::Refused)) => REFUSED_MAX,
            None => SILENCE_MAX,
        };
        match self.last_row {
            Some((epoch, sequence, since)) if (epoch, sequence) == (row.epoch, row.sequence) => {
                match now.saturating_sub(since) >= silence_max {
                    true => Verdict::TakeOver(Reason::Silent),
                    false => Verdict::Wait,
                }
            }
            _ => {
                self.last_row = Some((row.epoch, row.sequence, now));
                Verdict::Wait
            }
        }
    }
}

/// Age of the owner's last transaction up to which it counts as working.
fn renewal_age_max(is_loading: bool) -> Duration {
    if is_loading { LOADING_AGE_MAX } else { RENEWAL_AGE_MAX }
}
