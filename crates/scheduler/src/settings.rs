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
    /// Time in which a run that was told to stop is gone.
    pub stop_max: Duration,
    /// Time that a host needs to move to another pool.
    pub move_time: Duration,
    /// Time that the maintenance of a host takes.
    pub maintain_time: Duration,
    /// Time that must pass between orders of two holders to the same host.
    pub host_lease: Duration,
    /// Time for which ended jobs are remembered.
    pub ended_kept: Duration,
    /// How many times longer a unit takes away from its data.
    pub remote_penalty: f64,
    /// Time that a unit that resumes from saved state needs before it is at work.
    pub restore: Duration,
    /// Time over its target after which a unit that serves counts as harmed.
    pub harm_max: Duration,
    /// Time for which a unit counts as away after it was not at work.
    pub away_notice: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(5),
            start_valid: Duration::from_secs(2),
            contact_max: Duration::from_millis(2_800),
            stop_max: Duration::from_millis(200),
            move_time: Duration::from_millis(1_500),
            maintain_time: Duration::from_secs(2),
            host_lease: Duration::from_secs(3),
            ended_kept: Duration::from_secs(120),
            remote_penalty: 3.0,
            restore: Duration::from_millis(600),
            harm_max: Duration::from_secs(4),
            away_notice: Duration::from_millis(4_500),
        }
    }
}
