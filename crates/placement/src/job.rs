//! Jobs as callers submit them, and jobs that wait for a worker.

use std::sync::Arc;
use std::time::Instant;

use model::HostId;
use model::TeamRef;
use serde::Deserialize;
use serde::Serialize;

use crate::growth::Generation;
use crate::size::Size;

/// Unique id of a job, assigned when it is submitted.
pub type JobId = Arc<str>;
/// Name that a team gives to jobs that do the same work; they share size estimates.
pub type KindId = Arc<str>;

/// Urgency class of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Starts before normal jobs, in a limited fraction of the pool, and may preempt their tasks.
    Urgent,
    /// Starts in the order that follows from the share weights.
    #[default]
    Normal,
}

/// A job as the caller submitted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Unique id.
    pub id: JobId,
    /// Team to which its use of the pool is charged.
    pub team: TeamRef,
    /// Kind of the job, for the size estimate and the failure history.
    pub kind: KindId,
    /// Size that the caller declared.
    pub declared: Size,
    /// Urgency class.
    pub class: Class,
    /// True if running the job more than once does no harm.
    pub idempotent: bool,
    /// Maximum number of attempts.
    pub attempts_max: u32,
}

/// A job that waits for a worker.
#[derive(Clone, Debug)]
pub struct PendingJob {
    /// The job.
    pub job: Job,
    /// Share weight of its team.
    pub share_weight: u32,
    /// Time since which it has been waiting.
    pub waiting_since: Instant,
    /// Workers on which an attempt failed, didn't start or was lost, sorted.
    pub excluded_workers: Vec<HostId>,
    /// Number of attempts that count towards [`Job::attempts_max`].
    pub attempts: u32,
    /// Number of all attempts, including those that don't count; part of the id of the next task.
    pub runs: u32,
    /// Number of times that its task was stopped to free capacity.
    pub preemptions: u32,
    /// Number of workers that were lost while they ran it.
    pub losses: u32,
    /// Generation of the pool's growth at which it last fitted on no worker.
    pub(crate) unplaceable_at: Option<Generation>,
}

impl PendingJob {
    /// Creates a job without attempts that starts to wait now.
    pub fn new(job: Job, share_weight: u32, now: Instant) -> Self {
        Self {
            job,
            share_weight,
            waiting_since: now,
            excluded_workers: Vec::new(),
            attempts: 0,
            runs: 0,
            preemptions: 0,
            losses: 0,
            unplaceable_at: None,
        }
    }

    /// Adds a worker to those on which the job should not run again.
    pub fn exclude_worker(&mut self, worker: &HostId) {
        if let Err(index) = self.excluded_workers.binary_search(worker) {
            self.excluded_workers.insert(index, worker.clone());
        }
    }
}
