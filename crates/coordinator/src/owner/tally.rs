//! What an owner does: in a second, for the log, which shows what binds it, and in all, for the metrics.

use std::time::Duration;

use scheduler::Moment;
use telemetry::Telemetry;

use crate::metrics;

/// Time between two lines.
const PERIOD: Duration = Duration::from_secs(1);

/// What an owner does.
pub(super) struct Tally {
    telemetry: Telemetry,
    second: Second,
}

/// Counts since the last line.
#[derive(Default)]
struct Second {
    since: Moment,
    rounds: u64,
    looks: u64,
    starts: u64,
    transactions: u64,
    store_time: Duration,
    store_longest: Duration,
}

impl Tally {
    pub fn new(telemetry: Telemetry) -> Self {
        Self { telemetry, second: Second::default() }
    }

    /// A round of decisions was made.
    pub fn round(&mut self) {
        self.second.rounds += 1;
    }

    /// A worker was asked what it runs.
    pub fn look(&mut self) {
        self.second.looks += 1;
        self.telemetry.count(metrics::LOOKS);
    }

    /// An order to start a run was sent.
    pub fn start(&mut self) {
        self.second.starts += 1;
    }

    /// A transaction was answered after `time`.
    pub fn transaction(&mut self, time: Duration) {
        let second = &mut self.second;
        second.transactions += 1;
        second.store_time += time;
        second.store_longest = second.store_longest.max(time);
        self.telemetry.time(metrics::STORE_WRITE, time);
    }

    /// Writes a line if the last one is old enough, and begins anew.
    pub fn log(&mut self, epoch: u64, now: Moment) {
        let second = &self.second;
        let elapsed = now.saturating_sub(second.since);
        if elapsed < PERIOD {
            return;
        }
        let is_first = second.since == Moment::ZERO;
        let mean_ms = second.store_time.as_millis() as u64 / second.transactions.max(1);
        if !is_first {
            telemetry::log::line("owner-load")
                .field("epoch", epoch)
                .field("elapsed_ms", elapsed.as_millis() as u64)
                .field("rounds", second.rounds)
                .field("looks", second.looks)
                .field("starts", second.starts)
                .field("transactions", second.transactions)
                .field("store_mean_ms", mean_ms)
                .field("store_longest_ms", second.store_longest.as_millis() as u64)
                .write();
        }
        self.second = Second { since: now, ..Second::default() };
    }
}
