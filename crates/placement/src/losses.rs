//! Detects jobs that crash their workers.
//!
//! When a worker is lost, each job that ran on it is a suspect. The suspects of one loss are not
//! placed on the same worker again, so that after a second loss only the job that causes the losses
//! was on both workers. Losses of several workers at about the same time, as with the failure of a
//! rack or zone, are no evidence against their jobs. Several jobs that crash their workers look the
//! same, and another holder does not know the losses, so the number of losses of a job is limited
//! as well.

use std::time::Duration;
use std::time::Instant;

use model::HostId;

use crate::job::JobId;

/// Number of losses at or above which a job is harmful and doesn't run again.
const HARMFUL_LOSSES_MIN: u32 = 2;
/// Number of losses at or above which a job is harmful whatever else was lost at the same time.
const LOSSES_MAX: u32 = 4;
/// Number of lost workers within [`COMMON_CAUSE_WINDOW`] at or above which the losses have a common
/// cause.
const COMMON_CAUSE_LOSSES_MIN: usize = 3;
/// Maximum time between losses that have a common cause.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_secs(10);
/// Number of losses that are kept.
const LOSSES_KEPT: usize = 64;

#[derive(Clone, Debug)]
struct Loss {
    at: Instant,
    worker: HostId,
    /// Jobs that ran on the worker, sorted.
    jobs: Vec<JobId>,
}

/// The recent losses of workers.
#[derive(Clone, Debug, Default)]
pub struct WorkerLosses {
    recent: Vec<Loss>,
}

impl WorkerLosses {
    /// Records that a worker was lost while it ran `jobs`.
    pub fn record(&mut self, worker: &HostId, mut jobs: Vec<JobId>, now: Instant) {
        jobs.sort_unstable();
        if self.recent.len() == LOSSES_KEPT {
            self.recent.remove(0);
        }
        self.recent.push(Loss { at: now, worker: worker.clone(), jobs });
    }

    /// Returns true if the job was running on too many lost workers. `losses` is the number of all
    /// of them, also those that earlier holders have recorded.
    pub fn is_harmful(&self, job: &JobId, losses: u32) -> bool {
        losses >= LOSSES_MAX || self.losses_of(job).count() as u32 >= HARMFUL_LOSSES_MIN
    }

    /// Returns true if both jobs ran on the same lost worker and must not share another one.
    pub fn were_lost_together(&self, job: &JobId, other: &JobId) -> bool {
        self.losses_of(job).any(|loss| loss.jobs.binary_search(other).is_ok())
    }

    /// Returns true if the job ran on a lost worker.
    pub fn is_suspect(&self, job: &JobId) -> bool {
        self.losses_of(job).next().is_some()
    }

    /// Returns the losses that are evidence against the job.
    fn losses_of<'a>(&'a self, job: &'a JobId) -> impl Iterator<Item = &'a Loss> {
        self.recent
            .iter()
            .filter(|loss| loss.jobs.binary_search(job).is_ok() && !self.has_common_cause(loss))
    }

    /// Returns true if enough other workers were lost at about the same time, not counting those
    /// that ran one of the same jobs.
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
