//! Which incarnation of a worker has sent a reply, as far as the clock in it tells.

use crate::Moment;

/// What tells the clock of the known incarnation of a worker from that of a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnClock {
    /// Lowest time that the known incarnation's clock can show in a reply, in milliseconds.
    pub min_ms: u64,
    /// When the known incarnation was alive; the clock of a later one began at zero after that.
    pub known_at: Moment,
}

impl OwnClock {
    /// Returns true if only the known incarnation can have replied with this time.
    pub fn is_shown_by(self, clock_ms: u64, now: Moment) -> bool {
        let later_max_ms = now.saturating_sub(self.known_at).as_millis() as u64;
        clock_ms >= self.min_ms && clock_ms > later_max_ms
    }
}
