//! How long the units of a step are expected to run.

use std::time::Duration;

use crate::job::JobRecord;
use crate::job::Step;

/// Expected durations of the units of steps.
#[derive(Clone, Debug, Default)]
pub struct Durations {}

impl Durations {
    /// Returns how long a unit of a step typically runs.
    pub fn expected(&self, _record: &JobRecord, step: &Step) -> Duration {
        Duration::from_millis(step.estimate_ms)
    }
}
