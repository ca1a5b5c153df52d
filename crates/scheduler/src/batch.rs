//! What one transaction stores.

use crate::JobId;
use crate::WaveId;
use crate::WorkerId;
use crate::assignments::AssignmentRow;
use crate::capacity::BaselineHosts;
use crate::hosts::HostCommandRow;
use crate::progress::Progress;
use crate::waves::WaveRow;

/// How much one transaction may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchLimits {
    /// Rows that are written or removed.
    pub rows_max: usize,
    /// Of these, rows for the progress of jobs at most.
    pub progress_rows_max: usize,
}

/// Ends of a worker of which all that they changed is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredCompletions {
    /// Worker.
    pub worker: WorkerId,
    /// When the life of the worker began that they belong to, in milliseconds since the Unix epoch.
    pub incarnation_started_ms: u64,
    /// Number of the last one.
    pub number: u64,
}

/// Changes to be stored in one transaction.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Progress of jobs, by id.
    pub progress: Vec<(JobId, Progress)>,
    /// Ended jobs of which no run is left: their records are removed.
    pub jobs_to_unstore: Vec<JobId>,
    /// Ended jobs that need not be remembered any longer.
    pub expired_jobs: Vec<JobId>,
    /// What workers run or are to run, of those whose row lacks a run.
    pub assignments: Vec<(WorkerId, AssignmentRow)>,
    /// Workers that run nothing any more.
    pub assignments_to_remove: Vec<WorkerId>,
    /// Hosts that were ordered of late, if there are new ones; the orders are sent once it is stored.
    pub host_commands: Option<Vec<HostCommandRow>>,
    /// Hosts that the pools had at first, if that has changed.
    pub baseline_hosts: Option<BaselineHosts>,
    /// Progress of waves.
    pub waves: Vec<(WaveId, WaveRow)>,
    /// Ends that can be acknowledged once this batch is stored.
    pub completions: Vec<StoredCompletions>,
}

impl Batch {
    /// True if no row has to be written.
    pub fn has_no_writes(&self) -> bool {
        self.progress.is_empty()
            && self.jobs_to_unstore.is_empty()
            && self.expired_jobs.is_empty()
            && self.waves.is_empty()
            && self.assignments.is_empty()
            && self.assignments_to_remove.is_empty()
            && self.host_commands.is_none()
            && self.baseline_hosts.is_none()
    }
    /// Rows that it writes or removes.
    pub fn row_count(&self) -> usize {
        self.progress.len()
            + self.jobs_to_unstore.len()
            + self.expired_jobs.len()
            + self.assignments.len()
            + self.assignments_to_remove.len()
            + self.waves.len()
            + usize::from(self.host_commands.is_some())
            + usize::from(self.baseline_hosts.is_some())
    }
}
