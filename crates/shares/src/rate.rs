//! Rate at which entries are started while others wait.

use std::time::Duration;

/// Time constant of the exponential decay of older observations.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Number of decayed starts that must have been reached once before the rate is used.
const STARTS_MIN: f64 = 4.0;
/// Decayed waiting time below which the rate isn't used, in seconds.
const BUSY_MIN_S: f64 = 0.1;

/// Starts per time in which entries were waiting, as exponentially decaying sums.
#[derive(Clone, Debug, Default)]
pub struct ServiceRate {
    /// Decayed number of starts.
    starts: f64,
    /// Decayed time in which entries were waiting, in seconds.
    busy_s: f64,
    /// True once `starts` has reached [`STARTS_MIN`].
    is_established: bool,
}

impl ServiceRate {
    /// Records that entries were waiting for `elapsed`.
    pub fn record_waiting(&mut self, elapsed: Duration) {
        let decay = (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.starts *= decay;
        self.busy_s = self.busy_s * decay + elapsed.as_secs_f64();
    }

    /// Records the start of an entry.
    pub fn record_start(&mut self) {
        self.starts += 1.0;
        self.is_established |= self.starts >= STARTS_MIN;
    }

    /// Returns the starts per second; `None` until enough were observed.
    pub fn per_s(&self) -> Option<f64> {
        if !self.is_established || self.busy_s < BUSY_MIN_S {
            return None;
        }
        Some(self.starts / self.busy_s)
    }
}
