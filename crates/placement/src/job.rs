//! Jobs as callers ask for them.

use std::sync::Arc;
use std::time::Instant;

use model::HostId;
use model::TeamRef;
use serde::Deserialize;
use serde::Serialize;

use crate::growth::Generation;
use crate::size::Size;

/// Unique id of a job.
pub type JobId = Arc<str>;
/// Name that a team gives to jobs that do the same.
pub type KindId = Arc<str>;

/// How soon a job should start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Before the others, within a bounded portion; may displace others.
    Urgent,
    /// In the order of shares.
    #[default]
    Normal,
}

/// A job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Id.
    pub id: JobId,
    /// Team that it counts for.
    pub team: TeamRef,
    /// Kind.
    pub kind: KindId,
    /// Size as the caller declared it.
    pub declared: Size,
    /// How soon it should start.
    pub class: Class,
    /// True if a second run does no harm.
    pub idempotent: bool,
    /// Runs at most.
    pub attempts_max: u32,
}

/// A job that waits for a worker.
#[derive(Clone, Debug)]
pub struct PendingJob {
    /// The job.
    pub job: Job,
    /// Share weight of its team.
    pub share_weight: u32,
    /// Since when it waits.
    pub since: Instant,
    /// Workers on which it has failed, sorted.
    pub excluded_workers: Vec<HostId>,
    /// Runs that count against the most that there may be.
    pub attempts: u32,
    /// All runs, also those that were taken back; numbers the next.
    pub runs: u32,
    /// Times that it was stopped to make room.
    pub preemptions: u32,
    /// Growth of the pool at which it last fitted nowhere.
    pub(crate) tried: Option<Generation>,
}

impl PendingJob {
    /// A new job.
    pub fn new(job: Job, share_weight: u32, now: Instant) -> Self {
        Self {
            job,
            share_weight,
            since: now,
            excluded_workers: Vec::new(),
            attempts: 0,
            runs: 0,
            preemptions: 0,
            tried: None,
        }
    }

    /// Adds a worker to those that the job should not run on again.
    pub fn exclude_worker(&mut self, worker: &HostId) {
        if let Err(index) = self.excluded_workers.binary_search(worker) {
            self.excluded_workers.insert(index, worker.clone());
        }
    }
}
