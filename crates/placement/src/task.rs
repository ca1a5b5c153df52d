//! Life cycle of a job: waiting, leased to a worker, ended.
//!
//! Each step takes the state before and returns the one after, so that no step can be left out or
//! taken twice. The lease of a worker is stored before the worker is asked to start, so a holder that
//! takes over knows each worker that may run a task.

use model::HostId;
use serde::Deserialize;
use serde::Serialize;

use crate::job::Job;
use crate::job::JobId;
use crate::job::PendingJob;
use crate::pool::JobOutcome;
use crate::size::Size;

/// Id of one attempt; a worker starts the same one only once.
pub type TaskId = String;

/// Waits for a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waiting;

/// May run on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leased {
    /// Worker.
    pub worker: HostId,
    /// Epoch of the holder that leased it.
    pub epoch: u64,
    /// Number of the worker's last start, as the holder knew it.
    pub boot: u64,
    /// Size that is reserved.
    pub reserved: Size,
}

/// Is over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// How.
    #[serde(rename = "ending")]
    pub outcome: JobOutcome,
}

/// A job in the state `S`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task<S> {
    /// The job.
    pub job: Job,
    /// Share weight of its team when it was submitted.
    pub share_weight: u32,
    /// Runs that count against the most that there may be.
    pub attempts: u32,
    /// All runs, also those that were taken back; numbers the next.
    pub runs: u32,
    /// Times that it was stopped to make room.
    #[serde(rename = "displaced")]
    pub preemptions: u32,
    /// Workers on which it failed, sorted.
    #[serde(rename = "avoid")]
    pub excluded_workers: Vec<HostId>,
    /// State.
    pub state: S,
}

/// A job in any state, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "stage")]
pub enum AnyTask {
    /// Waits.
    Waiting(Task<Waiting>),
    /// May run.
    Leased(Task<Leased>),
    /// Is over.
    Ended(Task<Ended>),
}

impl Task<Waiting> {
    /// A new job.
    pub fn new(job: Job, share_weight: u32) -> Self {
        let (attempts, runs, preemptions, excluded_workers) = (0, 0, 0, Vec::new());
        Self { job, share_weight, attempts, runs, preemptions, excluded_workers, state: Waiting }
    }

    /// State of a job that waits for another attempt.
    pub fn requeued(pending: &PendingJob) -> Self {
        Task::of(pending, Waiting)
    }

    /// Leases the next attempt to a worker.
    pub fn lease(mut self, worker: HostId, epoch: u64, boot: u64, reserved: Size) -> Task<Leased> {
        self.attempts += 1;
        self.runs += 1;
        self.with(Leased { worker, epoch, boot, reserved })
    }

    /// Ends the job before any further attempt.
    pub fn finish(self, outcome: JobOutcome) -> Task<Ended> {
        self.with(Ended { outcome })
    }
}

impl Task<Leased> {
    /// Id of the attempt.
    pub fn task_id(&self) -> TaskId {
        task_id(&self.job.id, self.runs)
    }

    /// The attempt has not started and never will; it does not count, but keeps its number.
    pub fn revert_lease(mut self) -> Task<Waiting> {
        self.attempts -= 1;
        self.with(Waiting)
    }

    /// Ends the job.
    pub fn finish(self, outcome: JobOutcome) -> Task<Ended> {
        self.with(Ended { outcome })
    }
}

impl<S> Task<S> {
    /// The job as placement sees it.
    pub fn to_pending_job(&self, since: std::time::Instant) -> PendingJob {
        PendingJob {
            job: self.job.clone(),
            share_weight: self.share_weight,
            since,
            excluded_workers: self.excluded_workers.clone(),
            attempts: self.attempts,
            runs: self.runs,
            preemptions: self.preemptions,
            tried: None,
        }
    }

    fn of(pending: &PendingJob, state: S) -> Self {
        Self {
            job: pending.job.clone(),
            share_weight: pending.share_weight,
            attempts: pending.attempts,
            runs: pending.runs,
            preemptions: pending.preemptions,
            excluded_workers: pending.excluded_workers.clone(),
            state,
        }
    }

    fn with<T>(self, state: T) -> Task<T> {
        let Self { job, share_weight, attempts, runs, preemptions, excluded_workers, .. } = self;
        Task { job, share_weight, attempts, runs, preemptions, excluded_workers, state }
    }
}

/// Id of a run of a job.
pub fn task_id(job: &JobId, run: u32) -> TaskId {
    format!("{job}.{run}")
}
