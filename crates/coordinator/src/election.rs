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
pub const LOOK_PERIOD: Duration = Duration::from_millis(300);
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
pub const LOADING_MAX: Duration = Duration::from_millis(3_000);
/// Time for which a node leaves a take-over to stronger ones; above two looks.
pub const YIELD_TIME: Duration = Duration::from_millis(800);

/// What the owner has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
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
pub enum Step {
    /// The owner works.
    Rest,
    /// Read the owner's row.
    Read,
}

/// What a read of the owner's row calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Leave it.
    Wait,
    /// Take the row over.
    Take(Reason),
}

/// When a node may take over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// As soon as there is reason to.
    AtOnce,
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
    unchanged: Option<(u64, u64, Moment)>,
    /// What the owner's last answer calls for, about the process with this number.
    hint: Option<(u64, Hint)>,
    /// The owner, with this number, has asked this node to take over.
    asked_by: Option<u64>,
    /// Epoch of the row for whose take-over there is reason, and since when.
    called_for: Option<(u64, Moment)>,
}

/// What an answer says of the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hint {
    /// Its process has ended.
    Ended,
    /// It cannot write to the store.
    Stuck,
    /// Nothing listens at its address.
    Refused,
}

impl Election {
    /// Takes in the owner's answer.
    pub fn heard(&mut self, row: &OwnerRow, answer: Answer) -> Step {
        self.hint = None;
        match answer {
            Answer::Owner { incarnation, renewal_age, is_loading }
                if incarnation == row.incarnation && renewal_age <= age_max(is_loading) =>
            {
                self.unchanged = None;
                self.called_for = None;
                Step::Rest
            }
            Answer::NotOwner { incarnation } | Answer::Owner { incarnation, .. }
                if incarnation != row.incarnation =>
            {
                self.hint = Some((row.incarnation, Hint::Ended));
                Step::Read
            }
            Answer::Owner { .. } => {
                self.hint = Some((row.incarnation, Hint::Stuck));
                Step::Read
            }
            Answer::Refused => {
                self.hint = Some((row.incarnation, Hint::Refused));
                Step::Read
            }
            Answer::NotOwner { .. } | Answer::Silent => Step::Read,
        }
    }

    /// The owner has asked this node to take over, since it cannot write to the store.
    pub fn asked(&mut self, row: &OwnerRow) {
        self.hint = Some((row.incarnation, Hint::Stuck));
        self.asked_by = Some(row.incarnation);
    }

    /// Takes in the owner's row; none if there is no row yet.
    pub fn read(&mut self, row: Option<&OwnerRow>, claim: Claim, now: Moment) -> Verdict {
        let Some(row) = row else {
            return Verdict::Take(Reason::First);
        };
        let verdict = self.judge(row, now);
        if verdict == Verdict::Wait {
            self.called_for = None;
            return verdict;
        }
        let is_asked = self.asked_by == Some(row.incarnation);
        if claim == Claim::AtOnce || is_asked {
            return verdict;
        }
        match self.called_for {
            Some((epoch, since)) if epoch == row.epoch => {
                match now.saturating_sub(since) >= YIELD_TIME {
                    true => verdict,
                    false => Verdict::Wait,
                }
            }
            _ => {
                self.called_for = Some((row.epoch, now));
                Verdict::Wait
            }
        }
    }

    /// What the row calls for, whoever is to do it.
    fn judge(&mut self, row: &OwnerRow, now: Moment) -> Verdict {
        if row.is_released {
            return Verdict::Take(Reason::Released);
        }
        let hint = self.hint.filter(|(incarnation, _)| *incarnation == row.incarnation);
        let silence_max = match hint {
            Some((_, Hint::Ended)) => return Verdict::Take(Reason::Ended),
            Some((_, Hint::Stuck)) => return Verdict::Take(Reason::Stuck),
            Some((_, Hint::Refused)) => REFUSED_MAX,
            None => SILENCE_MAX,
        };
        match self.unchanged {
            Some((epoch, sequence, since)) if (epoch, sequence) == (row.epoch, row.sequence) => {
                match now.saturating_sub(since) >= silence_max {
                    true => Verdict::Take(Reason::Silent),
                    false => Verdict::Wait,
                }
            }
            _ => {
                self.unchanged = Some((row.epoch, row.sequence, now));
                Verdict::Wait
            }
        }
    }
}

/// Age of the owner's last transaction up to which it counts as working.
fn age_max(is_loading: bool) -> Duration {
    if is_loading { LOADING_MAX } else { RENEWAL_AGE_MAX }
}
