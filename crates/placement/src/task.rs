//! Stored state of a job: waiting, leased to a worker, or ended.
//!
//! Each transition consumes the previous state, so that none can be skipped or repeated. A lease is
//! stored before the worker is commanded to start the task. A new holder of the placement therefore
//! knows each worker that may run a task.

use model::HostId;
use serde::Deserialize;
use serde::Serialize;

use crate::job::Job;
use crate::job::JobId;
use crate::job::PendingJob;
use crate::pool::JobOutcome;
use crate::size::Size;

/// Id of one attempt of a job; a worker starts the same attempt only once.
pub type TaskId = String;

/// State of a job that waits for a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waiting;

/// State of a job whose current attempt may run on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leased {
    /// Worker that has the lease.
    pub worker: HostId,
    /// Epoch of the placement in which the lease was granted.
    pub epoch: u64,
    /// Number of the worker's latest start when the lease was granted.
    pub boot: u64,
    /// Capacity that is reserved on the worker.
    pub reserved: Size,
}

/// State of a job that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// How the job ended.
    #[serde(rename = "ending")]
    pub outcome: JobOutcome,
}

/// A job in the state `S`, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task<S> {
    /// The job.
    pub job: Job,
    /// Share weight of the team when the job was submitted.
    pub share_weight: u32,
    /// Number of attempts that count towards [`Job::attempts_max`].
    pub attempts: u32,
    /// Number of all attempts, including those that don't count; part of the id of the next task.
    pub runs: u32,
    /// Number of times that its task was stopped to free capacity.
    #[serde(rename = "displaced")]
    pub preemptions: u32,
    /// Number of workers that were lost while they ran it.
    #[serde(rename = "lost", default)]
    pub losses: u32,
    /// Workers on which an attempt failed, didn't start or was lost, sorted.
    #[serde(rename = "avoid")]
    pub excluded_workers: Vec<HostId>,
    /// State with the data that only jobs in this state have.
    pub state: S,
}

/// A stored job in any state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "stage")]
pub enum AnyTask {
    /// The job waits for a worker.
    Waiting(Task<Waiting>),
    /// The job may be running on a worker.
    Leased(Task<Leased>),
    /// The job has ended.
    Ended(Task<Ended>),
}

impl Task<Waiting> {
    /// Creates a job without attempts.
    pub fn new(job: Job, share_weight: u32) -> Self {
        Self {
            job,
            share_weight,
            attempts: 0,
            runs: 0,
            preemptions: 0,
            losses: 0,
            excluded_workers: Vec::new(),
            state: Waiting,
        }
    }

    /// Creates the state of a job that was put back into the queue.
    pub fn requeued(pending: &PendingJob) -> Self {
        Task::from_pending(pending, Waiting)
    }

    /// Starts the next attempt with a lease of `worker`.
    pub fn lease(mut self, worker: HostId, epoch: u64, boot: u64, reserved: Size) -> Task<Leased> {
        self.attempts += 1;
        self.runs += 1;
        self.with_state(Leased { worker, epoch, boot, reserved })
    }

    /// Ends the job without a further attempt.
    pub fn finish(self, outcome: JobOutcome) -> Task<Ended> {
        self.with_state(Ended { outcome })
    }
}

impl Task<Leased> {
    /// Returns the id of the current attempt.
    pub fn task_id(&self) -> TaskId {
        task_id(&self.job.id, self.runs)
    }

    /// Takes the lease back, because the attempt was not started and can't start any more.
    ///
    /// The attempt doesn't count, but its number isn't used again.
    pub fn revert_lease(mut self) -> Task<Waiting> {
        self.attempts -= 1;
        self.with_state(Waiting)
    }

    /// Ends the job with the outcome of its current attempt.
    pub fn finish(self, outcome: JobOutcome) -> Task<Ended> {
        self.with_state(Ended { outcome })
    }
}

impl<S> Task<S> {
    /// Converts to the form that [`Pool`](crate::Pool) uses, for a job that waits since
    /// `waiting_since`.
    pub fn to_pending_job(&self, waiting_since: std::time::Instant) -> PendingJob {
        PendingJob {
            job: self.job.clone(),
            share_weight: self.share_weight,
            waiting_since,
            excluded_workers: self.excluded_workers.clone(),
            attempts: self.attempts,
            runs: self.runs,
            preemptions: self.preemptions,
            losses: self.losses,
            unplaceable_at: None,
        }
    }

    fn from_pending(pending: &PendingJob, state: S) -> Self {
        Self {
            job: pending.job.clone(),
            share_weight: pending.share_weight,
            attempts: pending.attempts,
            runs: pending.runs,
            preemptions: pending.preemptions,
            losses: pending.losses,
            excluded_workers: pending.excluded_workers.clone(),
            state,
        }
    }

    fn with_state<T>(self, state: T) -> Task<T> {
        Task {
            job: self.job,
            share_weight: self.share_weight,
            attempts: self.attempts,
            runs: self.runs,
            preemptions: self.preemptions,
            losses: self.losses,
            excluded_workers: self.excluded_workers,
            state,
        }
    }
}

/// Returns the id of the attempt `attempt` of a job.
pub fn task_id(job: &JobId, attempt: u32) -> TaskId {
    format!("{job}.{attempt}")
}
