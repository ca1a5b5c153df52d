//! Counts of events for the owner's metrics.

use crate::state::Scheduler;

/// Events since the counts were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Runs whose durations were recorded.
    pub duration_samples: u64,
}

impl Scheduler {
    /// Returns the counts and begins anew.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }
}
