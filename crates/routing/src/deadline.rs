//! Deadlines of requests and the time that remains until them.

use std::time::Duration;
use std::time::Instant;

/// Time at which the caller stops waiting for the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline {
    /// Point in time on this node's monotonic clock.
    pub at: Instant,
}

impl Deadline {
    /// Returns the deadline of a request that was received at `now`: `requested` after `now`, or
    /// `max` after it if that is earlier or the caller requested none.
    pub fn new(now: Instant, requested: Option<Duration>, max: Duration) -> Self {
        Self { at: now + requested.unwrap_or(max).min(max) }
    }

    /// Returns the time that remains; zero if the deadline has passed.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.at.saturating_duration_since(now)
    }

    /// Returns the time that remains in milliseconds, rounded down, so that the next hop never gets
    /// more time than there is.
    pub fn remaining_ms(&self, now: Instant) -> u64 {
        u64::try_from(self.remaining(now).as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns true at or after the deadline.
    pub fn has_passed(&self, now: Instant) -> bool {
        now >= self.at
    }

    /// Returns when a wait that starts now ends: after `wait_max`, or at the deadline if that is
    /// earlier.
    pub fn wait_end(&self, now: Instant, wait_max: Duration) -> Instant {
        self.at.min(now + wait_max)
    }
}
