//! Jobs that take their worker down.
//!
//! When a worker is lost, each job on it is a suspect. Suspects of one loss are kept apart, so that
//! at a second loss only the job that causes it has been on both. Losses that come together, as in a
//! rack or zone, say nothing about jobs.

use std::time::Duration;
use std::time::Instant;

use model::HostId;

use crate::job::JobId;

/// Losses after which a job is not run again.
const HARMFUL_LOSSES_MIN: u32 = 2;
/// Losses within the window below that count as one common cause.
const COMMON_CAUSE_LOSSES_MIN: usize = 3;
/// Window of a common cause.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_secs(10);
/// Losses remembered.
const LOSSES_KEPT: usize = 64;

#[derive(Clone, Debug)]
struct Loss {
    at: Instant,
    worker: HostId,
    /// Sorted.
    jobs: Vec<JobId>,
}

/// Recent losses of workers.
#[derive(Clone, Debug, Default)]
pub struct WorkerLosses {
    recent: Vec<Loss>,
}

impl WorkerLosses {
    /// A worker was lost while it ran `jobs`.
    pub fn record(&mut self, worker: &HostId, mut jobs: Vec<JobId>, now: Instant) {
        jobs.sort_unstable();
        if self.recent.len() == LOSSES_KEPT {
            self.recent.remove(0);
        }
        self.recent.push(Loss { at: now, worker: worker.clone(), jobs });
    }

    /// True if the job has been on too many lost workers.
    pub fn is_harmful(&self, job: &JobId) -> bool {
        self.losses_of(job).count() as u32 >= HARMFUL_LOSSES_MIN
    }

    /// True if both jobs were on one lost worker, and so should not share another.
    pub fn were_lost_together(&self, job: &JobId, other: &JobId) -> bool {
        self.losses_of(job).any(|loss| loss.jobs.binary_search(other).is_ok())
    }

    /// True if the job was on a lost worker.
    pub fn is_suspect(&self, job: &JobId) -> bool {
        self.losses_of(job).next().is_some()
    }

    fn losses_of<'a>(&'a self, job: &'a JobId) -> impl Iterator<Item = &'a Loss> {
        self.recent
            .iter()
            .filter(|loss| loss.jobs.binary_search(job).is_ok() && !self.has_common_cause(loss))
    }

    fn has_common_cause(&self, loss: &Loss) -> bool {
        let is_near = |other: &&Loss| {
            let gap = other.at.max(loss.at).duration_since(other.at.min(loss.at));
            gap <= COMMON_CAUSE_WINDOW && other.worker != loss.worker
        };
        let shares_a_job =
            |other: &&Loss| other.jobs.iter().any(|j| loss.jobs.binary_search(j).is_ok());
        self.recent.iter().filter(is_near).filter(|other| !shares_a_job(other)).count() + 1
            >= COMMON_CAUSE_LOSSES_MIN
    }
}
