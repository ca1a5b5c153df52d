//! Deadlines of requests, and what is left of them at each step.

use std::time::Duration;
use std::time::Instant;

/// When the caller gives up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline {
    /// The moment.
    pub at: Instant,
}

impl Deadline {
    /// Deadline of a request that came at `now`: what the caller asks for, within `max`.
    pub fn new(now: Instant, requested: Option<Duration>, max: Duration) -> Self {
        Self { at: now + requested.unwrap_or(max).min(max) }
    }

    /// Time that is left.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.at.saturating_duration_since(now)
    }

    /// Time that is left in whole milliseconds, as it is sent on; never longer than what is left.
    pub fn remaining_ms(&self, now: Instant) -> u64 {
        u64::try_from(self.remaining(now).as_millis()).unwrap_or(u64::MAX)
    }

    /// True if nothing is left.
    pub fn has_passed(&self, now: Instant) -> bool {
        now >= self.at
    }

    /// The earlier of the deadline and `now + wait_max`.
    pub fn wait_end(&self, now: Instant, wait_max: Duration) -> Instant {
        self.at.min(now + wait_max)
    }
}
