//! Timeouts and limits of the scheduler.

use std::time::Duration;

use crate::policies::Policies;

/// Timeouts and limits of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Duration of a worker's lease, counted from each renewal.
    pub lease: Duration,
    /// Longest lease that a worker grants, whatever deadline a command carries.
    pub lease_max: Duration,
    /// Time, by the worker's clock, after which a start command has no effect.
    pub start_valid: Duration,
    /// Maximum age of a worker's last reply for it to get new runs.
    pub contact_max: Duration,
    /// Longest time between a stop command and the end of the run. Until the run has ended, the
    /// worker lists it unchanged.
    pub stop_time: Duration,
    /// Time that a host takes to move to another pool.
    pub move_time: Duration,
    /// Time that the maintenance of a host takes.
    pub maintain_time: Duration,
    /// Minimum time between commands of two owners to the same host.
    pub host_lease: Duration,
    /// Time for which the final state of a job stays available to callers.
    pub ended_kept: Duration,
    /// Time after the acknowledgement of an evacuation from which no node that reaches the platform
    /// may start a run in the zone; `None` if there is no such limit.
    pub evacuation_bound: Option<Duration>,
    /// Largest value of a stored row, in bytes.
    pub row_bytes_max: usize,
    /// Policies that are enabled; all unless an operator has disabled some.
    pub policies: Policies,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(5),
            lease_max: Duration::from_secs(10),
            start_valid: Duration::from_secs(2),
            contact_max: Duration::from_millis(2_800),
            stop_time: Duration::from_secs(1),
            move_time: Duration::from_millis(1_500),
            maintain_time: Duration::from_secs(2),
            host_lease: Duration::from_secs(3),
            ended_kept: Duration::from_secs(120),
            evacuation_bound: None,
            row_bytes_max: 48 << 10,
            policies: Policies::default(),
        }
    }
}
