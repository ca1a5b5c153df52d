//! What an owner does in a second, for the log: shows what binds it.

use std::time::Duration;

use scheduler::Moment;

/// Time between two lines.
const PERIOD: Duration = Duration::from_secs(1);

/// Counts since the last line.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    since: Moment,
    rounds: u64,
    looks: u64,
    starts: u64,
    transactions: u64,
    store_time: Duration,
    store_longest: Duration,
}

impl Tally {
    /// A round of decisions was made.
    pub fn round(&mut self) {
        self.rounds += 1;
    }

    /// A worker was asked what it runs.
    pub fn look(&mut self) {
        self.looks += 1;
    }

    /// An order to start a run was sent.
    pub fn start(&mut self) {
        self.starts += 1;
    }

    /// A transaction was answered after `time`.
    pub fn transaction(&mut self, time: Duration) {
        self.transactions += 1;
        self.store_time += time;
        self.store_longest = self.store_longest.max(time);
    }

    /// Writes a line if the last one is old enough, and begins anew.
    pub fn log(&mut self, epoch: u64, now: Moment) {
        let elapsed = now.saturating_sub(self.since);
        if elapsed < PERIOD {
            return;
        }
        let is_first = self.since == Moment::ZERO;
        let mean_ms = self.store_time.as_millis() as u64 / self.transactions.max(1);
        if !is_first {
            telemetry::log::line("owner-load")
                .field("epoch", epoch)
                .field("elapsed_ms", elapsed.as_millis() as u64)
                .field("rounds", self.rounds)
                .field("looks", self.looks)
                .field("starts", self.starts)
                .field("transactions", self.transactions)
                .field("store_mean_ms", mean_ms)
                .field("store_longest_ms", self.store_longest.as_millis() as u64)
                .write();
        }
        *self = Self { since: now, ..Self::default() };
    }
}
