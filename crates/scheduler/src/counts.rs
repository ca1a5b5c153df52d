//! Counts of events for the owner's metrics.

use crate::state::Scheduler;

/// Events since the counts were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Runs whose durations were recorded.
    pub duration_samples: u64,
    /// Runs that were started on cold workers.
    pub cold_starts: u64,
    /// Planned runs that were not started, for an evacuation or for an old read of the operators'
    /// rows.
    pub starts_withheld: u64,
    /// Long-running units that were stopped in an evacuated zone, to run elsewhere.
    pub units_evacuated: u64,
    /// Runs that a worker has listed although their units were assigned to another one; each report
    /// counts.
    pub units_on_two_workers: u64,
    /// Starts whose reply doesn't show that the known incarnation of the worker has carried them out.
    pub starts_of_unknown_incarnations: u64,
    /// Runs that were stopped so that their units run on another worker.
    pub moved_runs: u64,
}

impl Scheduler {
    /// Returns the counts and begins anew.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }
}
