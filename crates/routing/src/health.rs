//! Health of a backend server as one node sees it: latency, failure rate, ejection and slow start.
//!
//! A server that fails every request responds fast and would attract all load. Therefore only
//! successful requests count towards the latency, and consecutive failures eject the server for a
//! while. Ejections never make more hosts of a service unavailable than its availability budget
//! allows.

use std::time::Duration;
use std::time::Instant;

/// Number of consecutive failures at which a backend server is ejected.
pub const FAILURES_TO_EJECT: u32 = 5;
/// Duration of the first ejection; each further ejection without a success in between doubles it.
pub const EJECTION_TIME_BASE: Duration = Duration::from_secs(5);
/// Maximum duration of an ejection.
pub const EJECTION_TIME_MAX: Duration = Duration::from_secs(120);
/// Time after an ejection during which a backend server gets less than its full share of requests.
pub const SLOW_START_TIME: Duration = Duration::from_secs(10);

/// Weight of the newest observation in the moving averages.
const SMOOTHING: f64 = 0.1;
/// Assumed latency before the first observation, in milliseconds.
const INITIAL_LATENCY_MS: f64 = 1.0;
/// Added to the cost factor of a backend server that fails every request; scaled by the failure
/// rate.
const FAILURE_COST_FACTOR: f64 = 20.0;
/// Added to the cost factor of a backend server at the end of its ejection; falls to zero over
/// [`SLOW_START_TIME`].
const SLOW_START_COST_FACTOR: f64 = 10.0;

/// Result of one request to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A response whose status is no failure of the server.
    Success {
        /// Time from sending the request to receiving the head of the response.
        latency: Duration,
    },
    /// No response, or a response whose status reports a failure of the server.
    Failure,
}

/// Health of one backend server.
#[derive(Clone, Debug)]
pub struct Health {
    latency_ms: f64,
    failure_rate: f64,
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Option<Instant>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            latency_ms: INITIAL_LATENCY_MS,
            failure_rate: 0.0,
            consecutive_failures: 0,
            consecutive_ejections: 0,
            ejected_until: None,
        }
    }
}

impl Health {
    /// Updates the averages and the counts with an observation.
    pub fn observe(&mut self, observation: Observation) {
        match observation {
            Observation::Success { latency } => {
                let latency_ms = latency.as_secs_f64() * 1_000.0;
                self.latency_ms += SMOOTHING * (latency_ms - self.latency_ms);
                self.failure_rate -= SMOOTHING * self.failure_rate;
                self.consecutive_failures = 0;
                self.consecutive_ejections = 0;
            }
            Observation::Failure => {
                self.failure_rate += SMOOTHING * (1.0 - self.failure_rate);
                self.consecutive_failures += 1;
            }
        }
    }

    /// Returns true if the server has enough consecutive failures to be ejected, and is not ejected
    /// yet.
    pub fn needs_ejection(&self, now: Instant) -> bool {
        // A server on probation is ejected again at its first failure.
        let threshold = if self.is_on_probation() { 1 } else { FAILURES_TO_EJECT };
        self.consecutive_failures >= threshold && !self.is_ejected(now)
    }

    /// Ejects the server and returns the duration of the ejection.
    pub fn eject(&mut self, now: Instant) -> Duration {
        let doublings = self.consecutive_ejections.min(8);
        let duration = (EJECTION_TIME_BASE * 2_u32.pow(doublings)).min(EJECTION_TIME_MAX);
        self.consecutive_ejections += 1;
        self.consecutive_failures = 0;
        self.ejected_until = Some(now + duration);
        duration
    }

    /// Returns true during an ejection, while the server gets no requests.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns true from an ejection until the first success after it.
    pub fn is_on_probation(&self) -> bool {
        self.consecutive_ejections > 0
    }

    /// Returns the cost of sending one more request to the server, with `running` requests of this
    /// node on it. The server with the lower cost is chosen.
    pub fn cost(&self, running: u32, now: Instant) -> f64 {
        let load = f64::from(running + 1) * self.latency_ms.max(0.01);
        load * (1.0 + FAILURE_COST_FACTOR * self.failure_rate) * self.slow_start_factor(now)
    }

    fn slow_start_factor(&self, now: Instant) -> f64 {
        let Some(until) = self.ejected_until else {
            return 1.0;
        };
        let progress =
            now.saturating_duration_since(until).as_secs_f64() / SLOW_START_TIME.as_secs_f64();
        1.0 + SLOW_START_COST_FACTOR * (1.0 - progress).max(0.0)
    }
}

/// Returns true if one more host of a service may be ejected, given that `unavailable` of its hosts
/// are unavailable for any reason.
pub fn may_eject(unavailable: u32, unavailable_max: u32) -> bool {
    unavailable < unavailable_max
}
