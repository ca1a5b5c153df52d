//! Times and limits of the scheduler.

use std::time::Duration;

/// Times and limits of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Lease of a worker, counted from each renewal.
    pub lease: Duration,
    /// Time after which an order to start a run has no effect any more, by the worker's clock.
    pub start_valid: Duration,
    /// Age of a worker's last answer up to which it gets new runs.
    pub contact_max: Duration,
    /// Longest time from a stop to the end of the run; until then a worker lists it as before.
    pub stop_time: Duration,
    /// Time that a host needs to move to another pool.
    pub move_time: Duration,
    /// Time that the maintenance of a host takes.
    pub maintain_time: Duration,
    /// Time that must pass between orders of two holders to the same host.
    pub host_lease: Duration,
    /// Time for which ended jobs are remembered.
    pub ended_kept: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(5),
            start_valid: Duration::from_secs(2),
            contact_max: Duration::from_millis(2_800),
            stop_time: Duration::from_secs(1),
            move_time: Duration::from_millis(1_500),
            maintain_time: Duration::from_secs(2),
            host_lease: Duration::from_secs(3),
            ended_kept: Duration::from_secs(120),
        }
    }
}
