//! Decides what a new holder of a pool's placement does with each stored job.
//!
//! The holder first contacts every worker that is named in a row. From then on the worker refuses
//! starts from earlier epochs, so a task that it has not started stays unstarted. A worker that
//! can't be reached ends its tasks when their leases expire; until then they are left as they are.

use crate::pool::TaskOutcome;
use crate::task::AnyTask;

/// State of an attempt as its worker reports it to the new holder, in the new epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// The attempt is running.
    Running,
    /// The attempt has ended.
    Ended(TaskOutcome),
    /// The worker has not started the attempt, and can't start it any more.
    NeverStarted,
    /// The worker doesn't reply.
    Unreachable,
}

/// What to do with a stored job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// Add it to the waiting jobs.
    Submit,
    /// Add it to the running tasks.
    Adopt,
    /// Add it to the running tasks and handle its outcome.
    Finish(TaskOutcome),
    /// Put it back into the queue; the attempt doesn't count.
    Requeue,
    /// Contact the worker again later.
    Wait,
    /// Do nothing: the job has finished.
    Ignore,
}

/// Decides what to do with a stored job.
///
/// `is_lease_expired` is true once the worker must have ended the attempt because its lease was not
/// renewed.
pub fn recover(task: &AnyTask, state: AttemptState, is_lease_expired: bool) -> Recovery {
    match task {
        AnyTask::Waiting(_) => Recovery::Submit,
        AnyTask::Ended(_) => Recovery::Ignore,
        AnyTask::Leased(_) => recover_leased(state, is_lease_expired),
    }
}

fn recover_leased(state: AttemptState, is_lease_expired: bool) -> Recovery {
    match state {
        AttemptState::Running => Recovery::Adopt,
        AttemptState::Ended(outcome) => Recovery::Finish(outcome),
        AttemptState::NeverStarted => Recovery::Requeue,
        AttemptState::Unreachable if is_lease_expired => Recovery::Finish(TaskOutcome::Lost),
        AttemptState::Unreachable => Recovery::Wait,
    }
}
