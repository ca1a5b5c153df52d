//! When the reply to a transaction of the owner counts as late.
//!
//! The table may lose a reply without closing the connection. The owner makes one transaction at a
//! time, so that waiting for the time limit of a call would stop all starts for that long. A
//! transaction can be sent again at any time, since it has no effect if it was committed already.

use std::time::Duration;

use scheduler::Moment;

/// Shortest time after which a reply counts as late.
const LATE_MIN: Duration = Duration::from_millis(150);
/// Time after which a reply counts as late, in multiples of the usual time of a transaction. A slow
/// table must not get each transaction twice.
const LATE_FACTOR: u32 = 4;
/// Maximum number of times that the time to the next attempt doubles.
const DOUBLINGS_MAX: u32 = 2;
/// Weight of the earlier transactions in the usual time, relative to that of the last one.
const EARLIER_WEIGHT: u32 = 7;

/// Usual time of a transaction.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WriteTimes {
    usual: Duration,
}

impl WriteTimes {
    /// Records how long a transaction took.
    pub fn record(&mut self, took: Duration) {
        self.usual = (self.usual * EARLIER_WEIGHT + took) / (EARLIER_WEIGHT + 1);
    }

    /// Returns true if a transaction should be sent once more: it was sent `attempts` times, last
    /// at `attempted_at`, without a reply. The time between attempts doubles.
    pub fn is_late(&self, attempted_at: Moment, attempts: u32, now: Moment) -> bool {
        let late_after = (self.usual * LATE_FACTOR).max(LATE_MIN);
        let doublings = attempts.saturating_sub(1).min(DOUBLINGS_MAX);
        now.saturating_sub(attempted_at) >= late_after * (1 << doublings)
    }
}
