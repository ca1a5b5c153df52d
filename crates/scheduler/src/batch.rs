//! The changes that one transaction stores.

use crate::JobId;
use crate::WaveId;
use crate::WorkerId;
use crate::assignments::AssignmentRow;
use crate::capacity::BaselineHosts;
use crate::durations::DurationsRow;
use crate::host_commands::HostCommandRow;
use crate::progress::Progress;
use crate::waves::WaveRow;

/// Limits on the size of one transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchLimits {
    /// Maximum number of rows that are written or removed.
    pub rows_max: usize,
    /// Maximum number of these rows that store the progress of jobs.
    pub progress_rows_max: usize,
    /// Maximum number of bytes of the values of these rows.
    pub bytes_max: usize,
}

/// Completions of a worker whose consequences are all stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredCompletions {
    /// Worker that has listed them.
    pub worker: WorkerId,
    /// Start of the incarnation of the worker, in milliseconds since the Unix epoch.
    pub incarnation_started_ms: u64,
    /// Number of the last of these completions.
    pub number: u64,
}

/// Changes to store in one transaction.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Progress of jobs that have changed.
    pub progress: Vec<(JobId, Progress)>,
    /// Finished jobs without runs, whose records are removed.
    pub jobs_to_unstore: Vec<JobId>,
    /// Finished jobs whose retention time has passed; their progress is removed.
    pub expired_jobs: Vec<JobId>,
    /// New assignment rows of workers that got a run that their stored row lacks.
    pub assignments: Vec<(WorkerId, AssignmentRow)>,
    /// Removed workers, whose assignment rows are removed as well.
    pub assignments_to_remove: Vec<WorkerId>,
    /// Recent commands to hosts, if there are new ones; these are sent once the batch is stored.
    pub host_commands: Option<Vec<HostCommandRow>>,
    /// Baseline number of hosts of each pool, if it has changed.
    pub baseline_hosts: Option<BaselineHosts>,
    /// Measured durations, if they have changed.
    pub durations: Option<DurationsRow>,
    /// Progress of maintenance waves that have changed.
    pub waves: Vec<(WaveId, WaveRow)>,
    /// Completions that can be acknowledged to their workers once the batch is stored.
    pub completions: Vec<StoredCompletions>,
}

impl Batch {
    /// Returns true if no row has to be written or removed.
    pub fn has_no_writes(&self) -> bool {
        self.progress.is_empty()
            && self.jobs_to_unstore.is_empty()
            && self.expired_jobs.is_empty()
            && self.waves.is_empty()
            && self.assignments.is_empty()
            && self.assignments_to_remove.is_empty()
            && self.host_commands.is_none()
            && self.baseline_hosts.is_none()
            && self.durations.is_none()
    }

    /// Leaves out all that the batch has of a job that is not stored after all.
    pub fn remove_job(&mut self, job: &str) {
        self.progress.retain(|(id, _)| **id != *job);
        self.jobs_to_unstore.retain(|id| **id != *job);
        for (_, row) in &mut self.assignments {
            row.remove_job(job);
        }
    }

    /// Returns the number of rows that are written or removed.
    pub fn row_count(&self) -> usize {
        self.progress.len()
            + self.jobs_to_unstore.len()
            + self.expired_jobs.len()
            + self.assignments.len()
            + self.assignments_to_remove.len()
            + self.waves.len()
            + usize::from(self.host_commands.is_some())
            + usize::from(self.baseline_hosts.is_some())
            + usize::from(self.durations.is_some())
    }
}
