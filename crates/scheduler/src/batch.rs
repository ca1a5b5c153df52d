//! What one transaction stores.

use crate::JobId;
use crate::WaveId;
use crate::WorkerId;
use crate::assignments::AssignmentRow;
use crate::capacity::OwnHosts;
use crate::hosts::HostOrderRow;
use crate::progress::Progress;
use crate::waves::WaveRow;

/// How much one transaction may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchRoom {
    /// Rows that are written or removed.
    pub entries: usize,
    /// Of these, rows for the progress of jobs at most.
    pub progress: usize,
}

/// Ends of a worker of which all that they changed is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndsStored {
    /// Worker.
    pub worker: WorkerId,
    /// When the life of the worker began that they belong to, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Number of the last one.
    pub number: u64,
}

/// Changes to be stored in one transaction.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Progress of jobs, by id.
    pub progress: Vec<(JobId, Progress)>,
    /// Ended jobs of which no run is left: their records are removed.
    pub recordless: Vec<JobId>,
    /// Ended jobs that need not be remembered any longer.
    pub forgotten: Vec<JobId>,
    /// What workers run or are to run, of those whose row lacks a run.
    pub assignments: Vec<(WorkerId, AssignmentRow)>,
    /// Workers that run nothing any more.
    pub unassigned: Vec<WorkerId>,
    /// Hosts that were ordered of late, if there are new ones; the orders are sent once it is stored.
    pub host_orders: Option<Vec<HostOrderRow>>,
    /// Hosts that the pools had at first, if that has changed.
    pub own_hosts: Option<OwnHosts>,
    /// Progress of waves.
    pub waves: Vec<(WaveId, WaveRow)>,
    /// Ends that can be acknowledged once this batch is stored.
    pub ends: Vec<EndsStored>,
}

impl Batch {
    /// True if no row has to be written.
    pub fn writes_nothing(&self) -> bool {
        self.progress.is_empty()
            && self.recordless.is_empty()
            && self.forgotten.is_empty()
            && self.waves.is_empty()
            && self.assignments.is_empty()
            && self.unassigned.is_empty()
            && self.host_orders.is_none()
            && self.own_hosts.is_none()
    }
    /// Rows that it writes or removes.
    pub fn entries(&self) -> usize {
        self.progress.len()
            + self.recordless.len()
            + self.forgotten.len()
            + self.assignments.len()
            + self.unassigned.len()
            + self.waves.len()
            + usize::from(self.host_orders.is_some())
            + usize::from(self.own_hosts.is_some())
    }
}
