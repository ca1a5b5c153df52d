//! What a new holder of a pool's placement does with each stored job.
//!
//! The holder first speaks to every worker that a row names. A worker refuses starts of earlier
//! epochs from then on, so that "never seen" stays true. A worker that cannot be asked ends its tasks
//! when their leases lapse; until then nothing is decided about them.

use crate::pool::TaskOutcome;
use crate::task::AnyTask;

/// What a worker says about an attempt, asked in the new holder's epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// It runs.
    Running,
    /// It has ended.
    Ended(TaskOutcome),
    /// It was never started, and can no longer be.
    NeverStarted,
    /// The worker does not answer.
    Unreachable,
}

/// What to do with a stored job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// Place it.
    Submit,
    /// Take it over as it runs.
    Adopt,
    /// Take it over and process its end.
    Finish(TaskOutcome),
    /// Take it back; the attempt does not count.
    Requeue,
    /// Ask again later.
    Wait,
    /// Nothing.
    Ignore,
}

/// Decides about a stored job; `lease_over` once the worker has ended it for lack of renewals.
pub fn recover(task: &AnyTask, seen: AttemptState, lease_over: bool) -> Recovery {
    match task {
        AnyTask::Waiting(_) => Recovery::Submit,
        AnyTask::Ended(_) => Recovery::Ignore,
        AnyTask::Leased(_) => recover_leased(seen, lease_over),
    }
}

fn recover_leased(seen: AttemptState, lease_over: bool) -> Recovery {
    match seen {
        AttemptState::Running => Recovery::Adopt,
        AttemptState::Ended(end) => Recovery::Finish(end),
        AttemptState::NeverStarted => Recovery::Requeue,
        AttemptState::Unreachable if lease_over => Recovery::Finish(TaskOutcome::Lost),
        AttemptState::Unreachable => Recovery::Wait,
    }
}
