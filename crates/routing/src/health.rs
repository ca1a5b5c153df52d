//! Health of a backend server as one node sees it: latency, failures, ejection and slow return.
//!
//! A server that fails everything answers fast and would draw all load to itself, so latency counts
//! only where the work succeeded, and a run of failures ejects the server for a while. Ejection
//! never takes more hosts of a service than its availability budget allows.

use std::time::Duration;
use std::time::Instant;

/// Failures in a row after which a backend server is ejected.
pub const FAILURES_TO_EJECT: u32 = 5;
/// Time of the first ejection; each one that follows without a success doubles it.
pub const EJECTION_TIME_BASE: Duration = Duration::from_secs(5);
/// Longest ejection.
pub const EJECTION_TIME_MAX: Duration = Duration::from_secs(120);
/// Time over which a returning backend server gets back to its full part.
pub const SLOW_START_TIME: Duration = Duration::from_secs(10);

/// Weight of the last observation in the means.
const GAIN: f64 = 0.1;
/// Latency that is assumed before any was seen, in milliseconds.
const LATENCY_INITIAL_MS: f64 = 1.0;
/// Factor on the cost of a backend server that fails always.
const FAILURE_FACTOR: f64 = 20.0;
/// Factor on the cost of a backend server that has just come back.
const RETURN_FACTOR: f64 = 10.0;

/// How one exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// An answer that is no failure of the server.
    Success {
        /// Time until the head of the answer.
        latency: Duration,
    },
    /// No answer, or an answer that says that the server failed.
    Failure,
}

/// Health of one backend server.
#[derive(Clone, Debug)]
pub struct Health {
    latency_ms: f64,
    failures: f64,
    failures_in_row: u32,
    ejections_in_row: u32,
    ejected_until: Option<Instant>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            latency_ms: LATENCY_INITIAL_MS,
            failures: 0.0,
            failures_in_row: 0,
            ejections_in_row: 0,
            ejected_until: None,
        }
    }
}

impl Health {
    /// Takes an observation into account.
    pub fn observe(&mut self, observation: Observation) {
        match observation {
            Observation::Success { latency } => {
                let latency_ms = latency.as_secs_f64() * 1_000.0;
                self.latency_ms += GAIN * (latency_ms - self.latency_ms);
                self.failures -= GAIN * self.failures;
                self.failures_in_row = 0;
                self.ejections_in_row = 0;
            }
            Observation::Failure => {
                self.failures += GAIN * (1.0 - self.failures);
                self.failures_in_row += 1;
            }
        }
    }

    /// True if the run of failures is long enough to eject the server.
    pub fn wants_ejection(&self, now: Instant) -> bool {
        // A server on probation is ejected again by its first failure.
        let allowed = if self.is_on_probation() { 1 } else { FAILURES_TO_EJECT };
        self.failures_in_row >= allowed && !self.is_ejected(now)
    }

    /// Ejects the server; returns for how long.
    pub fn eject(&mut self, now: Instant) -> Duration {
        let doublings = self.ejections_in_row.min(8);
        let length = (EJECTION_TIME_BASE * 2_u32.pow(doublings)).min(EJECTION_TIME_MAX);
        self.ejections_in_row += 1;
        self.failures_in_row = 0;
        self.ejected_until = Some(now + length);
        length
    }

    /// True while the server gets no work.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// True after an ejection, until the first success.
    pub fn is_on_probation(&self) -> bool {
        self.ejections_in_row > 0
    }

    /// Cost of one more request there with `running` already on it; the lower is chosen.
    pub fn cost(&self, running: u32, now: Instant) -> f64 {
        let load = f64::from(running + 1) * self.latency_ms.max(0.01);
        load * (1.0 + FAILURE_FACTOR * self.failures) * self.return_factor(now)
    }

    fn return_factor(&self, now: Instant) -> f64 {
        let Some(until) = self.ejected_until else {
            return 1.0;
        };
        let back =
            now.saturating_duration_since(until).as_secs_f64() / SLOW_START_TIME.as_secs_f64();
        1.0 + RETURN_FACTOR * (1.0 - back).max(0.0)
    }
}

/// True if one more host of a service may be ejected, with `unavailable` hosts out for any reason.
pub fn may_eject(unavailable: u32, unavailable_max: u32) -> bool {
    unavailable < unavailable_max
}
