//! Rate at which a node's queue is served, observed while something waits.

use std::time::Duration;

/// Time over which older observations fade.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Faded starts below which the rate says nothing.
const STARTS_MIN: f64 = 4.0;
/// Faded waiting time below which the rate says nothing, in seconds.
const BUSY_MIN_S: f64 = 0.1;

/// Starts and waiting time, both fading.
#[derive(Clone, Debug, Default)]
pub struct ServiceRate {
    starts: f64,
    busy_s: f64,
    is_established: bool,
}

impl ServiceRate {
    /// Time passed while something was waiting.
    pub fn record_waiting(&mut self, elapsed: Duration) {
        let decay = (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.starts *= decay;
        self.busy_s = self.busy_s * decay + elapsed.as_secs_f64();
    }

    /// An entry was started.
    pub fn record_start(&mut self) {
        self.starts += 1.0;
        self.is_established |= self.starts >= STARTS_MIN;
    }

    /// Starts a second; `None` until enough were seen.
    pub fn per_s(&self) -> Option<f64> {
        if !self.is_established || self.busy_s < BUSY_MIN_S {
            return None;
        }
        Some(self.starts / self.busy_s)
    }
}
