//! Decides when a node that is not the owner takes over.
//!
//! A node polls the owner of each shard at short intervals ([`poll_period`]). While the owner
//! doesn't confirm that it is working, the node reads the owner's row. It takes over at once if the
//! owner has released the row, if the owner reports that it can't write, or if another process
//! replies at its address. Otherwise it takes over when the row has not changed for
//! [`SILENCE_MAX`], or for [`REFUSED_MAX`] if nothing listens at the owner's address. A node with
//! little processor time first leaves the takeover to stronger nodes for [`YIELD_TIME`].
//!
//! A takeover is safe at any time, since workers and the store refuse the commands of the previous
//! owner. The waits only avoid needless takeovers.

use std::time::Duration;

use scheduler::Moment;

use crate::rows::OwnerRow;

/// Time between two polls of the owner.
pub const POLL_PERIOD: Duration = Duration::from_millis(300);
/// Longest time between two polls of an owner that is not suspected to have failed.
const POLL_PERIOD_MAX: Duration = Duration::from_millis(2_400);
/// Number of shards whose owners a strong node polls at [`POLL_PERIOD`].
const WATCHED_SHARDS: u64 = 6;
/// Time without a change of the owner's row after which a node takes over; above the time of a few
/// transactions of a slow store.
pub const SILENCE_MAX: Duration = Duration::from_millis(1_300);
/// Time without a change of the owner's row after which a node takes over if nothing listens at the
/// owner's address.
pub const REFUSED_MAX: Duration = Duration::from_millis(250);
/// Largest age of the last transaction at which an owner still counts as working. It is above two
/// transactions of a slow store, and below the time for which that transaction allows the owner to
/// act.
pub const RENEWAL_AGE_MAX: Duration = Duration::from_millis(2_400);
/// Largest age of the transaction of its takeover at which an owner may still be loading the stored
/// state; below the time for which that transaction allows it to act.
pub const LOADING_AGE_MAX: Duration = Duration::from_millis(3_000);
/// Time for which a node leaves a takeover to stronger ones; above two poll periods.
pub const YIELD_TIME: Duration = Duration::from_millis(800);

/// Time for which an owner may act, counted from the sending of its last committed transaction.
pub const VALIDITY: Duration = Duration::from_millis(3_500);
/// Time added to a lease, for clocks of workers that run slow.
const LEASE_SLACK: Duration = Duration::from_millis(250);

/// Result of a poll of the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerReply {
    /// The node is the owner.
    Owner {
        /// Unique number of the node's process.
        incarnation: u64,
        /// Age of the owner's last committed transaction.
        renewal_age: Duration,
        /// Whether the owner has just taken over and is loading the stored state.
        is_loading: bool,
    },
    /// The node is not the owner.
    NotOwner {
        /// Unique number of the node's process.
        incarnation: u64,
    },
    /// Nothing listens at the owner's address.
    Refused,
    /// No reply, or one that could not be decoded.
    Silent,
}

/// What a node does after a poll of the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Nothing until the next poll: the owner is working.
    Wait,
    /// Read the owner's row.
    ReadRow,
}

/// What a node does after a read of the owner's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Leave the ownership where it is.
    Wait,
    /// Take over, for this reason.
    TakeOver(Reason),
}

/// How soon a node may take over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverTiming {
    /// As soon as there is a reason.
    Immediate,
    /// Once stronger nodes have had [`YIELD_TIME`] to take over.
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
    /// The row has not changed for too long.
    Silent,
    /// The owner can't write to the store.
    Stuck,
}

/// What a node has observed of the owner so far.
#[derive(Clone, Debug, Default)]
pub struct Election {
    /// Epoch and sequence of the row as last read, and when they were first read.
    last_row: Option<(u64, u64, Moment)>,
    /// The failure that the last reply indicates, with the incarnation of the owner that it is
    /// about.
    suspected_failure: Option<(u64, SuspectedFailure)>,
    /// Incarnation of the owner that has requested this node to take over.
    requested_by: Option<u64>,
    /// Epoch of the owner's row while a takeover waits for stronger nodes, and since when.
    pending_takeover: Option<(u64, Moment)>,
}

/// A failure of the owner that a reply indicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SuspectedFailure {
    /// The owner's process has ended.
    Ended,
    /// The owner can't write to the store.
    Stuck,
    /// Nothing listens at the owner's address.
    Refused,
}

/// Returns the time between two polls of the owner of a shard, one of `shard_count`.
///
/// The number of polls that an owner gets must not grow with the fleet, nor may those that a node
/// sends. A strong node, which may become the owner, therefore watches a few shards closely;
/// `watch_number` says which ones and is evenly distributed. The other owners are polled the less
/// often the more there are: even so, some node notices a failure at once, and then polls at
/// [`POLL_PERIOD`].
pub fn poll_period(shard_count: usize, watch_number: u64, is_strong: bool) -> Duration {
    if is_strong && watch_number % (shard_count.max(1) as u64) < WATCHED_SHARDS {
        return POLL_PERIOD;
    }
    (POLL_PERIOD * shard_count.max(1) as u32).min(POLL_PERIOD_MAX)
}

impl Election {
    /// Handles the result of a poll of the owner that `row` names.
    pub fn handle_reply(&mut self, row: &OwnerRow, reply: OwnerReply) -> NextStep {
        self.suspected_failure = None;
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
                self.suspected_failure = Some((row.incarnation, SuspectedFailure::Ended));
                NextStep::ReadRow
            }
            OwnerReply::Owner { .. } => {
                self.suspected_failure = Some((row.incarnation, SuspectedFailure::Stuck));
                NextStep::ReadRow
            }
            OwnerReply::Refused => {
                self.suspected_failure = Some((row.incarnation, SuspectedFailure::Refused));
                NextStep::ReadRow
            }
            OwnerReply::NotOwner { .. } | OwnerReply::Silent => NextStep::ReadRow,
        }
    }

    /// Handles a request of the owner to take over. The owner sends it because it can't write to
    /// the store, or after it has released the row.
    pub fn handle_takeover_request(&mut self, row: &OwnerRow) {
        self.suspected_failure = Some((row.incarnation, SuspectedFailure::Stuck));
        self.requested_by = Some(row.incarnation);
    }

    /// Handles a read of the owner's row; `row` is none if the row doesn't exist yet.
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

    /// Returns whether the owner may have failed, so that it has to be polled again soon.
    pub fn is_suspicious(&self) -> bool {
        self.last_row.is_some() || self.pending_takeover.is_some()
    }

    /// Decides whether the row is to be taken over, without regard to stronger nodes.
    fn evaluate(&mut self, row: &OwnerRow, now: Moment) -> Verdict {
        if row.is_released {
            return Verdict::TakeOver(Reason::Released);
        }
        let suspected_failure =
            self.suspected_failure.filter(|(incarnation, _)| *incarnation == row.incarnation);
        let silence_max = match suspected_failure {
            Some((_, SuspectedFailure::Ended)) => return Verdict::TakeOver(Reason::Ended),
            Some((_, SuspectedFailure::Stuck)) => return Verdict::TakeOver(Reason::Stuck),
            Some((_, SuspectedFailure::Refused)) => REFUSED_MAX,
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

/// Returns the longest time for which a lease of `lease` that an earlier owner has requested may
/// last after a takeover. The previous owner had held the ownership for `previous_held`.
///
/// The predecessor is not the only one to reckon with: the owner before it may be cut off or
/// suspended, and renews leases for as long as its own last transaction allows it to act. The
/// predecessor had read the row that this transaction left before it took over.
pub fn lease_remaining(reason: Reason, previous_held: Duration, lease: Duration) -> Duration {
    let longest = lease + lease / 40 + LEASE_SLACK;
    let earlier_owners = VALIDITY.saturating_sub(previous_held);
    match reason {
        // No owner has ever requested a lease.
        Reason::First => Duration::ZERO,
        // The previous owner has stopped and renews no leases.
        Reason::Released | Reason::Ended => longest + earlier_owners,
        // The previous owner may have renewed leases for as long as its last transaction allowed it
        // to act. It had sent that one at least `REFUSED_MAX` before the takeover.
        Reason::Silent => longest + earlier_owners.max(VALIDITY - REFUSED_MAX),
        Reason::Stuck => longest + VALIDITY,
    }
}

/// Returns the largest age of the last transaction at which an owner still counts as working.
fn renewal_age_max(is_loading: bool) -> Duration {
    if is_loading { LOADING_AGE_MAX } else { RENEWAL_AGE_MAX }
}
