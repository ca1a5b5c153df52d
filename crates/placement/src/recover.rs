//! What a new holder of a pool's placement does with each stored job.
//!
//! The holder first speaks to every worker that a row names. A worker refuses starts of earlier
//! epochs from then on, so that "never seen" stays true. A worker that cannot be asked ends its tasks
//! when their leases lapse; until then nothing is decided about them.

use crate::pool::End;
use crate::task::AnyTask;

/// What a worker says about an attempt, asked in the new holder's epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// It runs.
    Running,
    /// It has ended.
    Ended(End),
    /// It was never started, and can no longer be.
    Never,
    /// The worker does not answer.
    Silent,
}

/// What to do with a stored job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// Place it.
    Submit,
    /// Take it over as it runs.
    Adopt,
    /// Take it over and process its end.
    Finish(End),
    /// Take it back; the attempt does not count.
    TakeBack,
    /// Ask again later.
    Wait,
    /// Nothing.
    Done,
}

/// Decides about a stored job; `lease_over` once the worker has ended it for lack of renewals.
pub fn recover(task: &AnyTask, seen: Seen, lease_over: bool) -> Recovery {
    match task {
        AnyTask::Waiting(_) => Recovery::Submit,
        AnyTask::Ended(_) => Recovery::Done,
        AnyTask::Leased(_) => recover_leased(seen, lease_over),
    }
}

fn recover_leased(seen: Seen, lease_over: bool) -> Recovery {
    match seen {
        Seen::Running => Recovery::Adopt,
        Seen::Ended(end) => Recovery::Finish(end),
        Seen::Never => Recovery::TakeBack,
        Seen::Silent if lease_over => Recovery::Finish(End::Lost),
        Seen::Silent => Recovery::Wait,
    }
}
