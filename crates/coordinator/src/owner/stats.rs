//! Statistics of an owner: counts per second for the log, which show what limits its throughput,
//! and totals for the metrics.

use std::time::Duration;

use scheduler::Moment;
use telemetry::Telemetry;

use crate::metrics;

/// Time between two log lines.
const PERIOD: Duration = Duration::from_secs(1);

/// Statistics of an owner.
pub(super) struct OwnerStats {
    telemetry: Telemetry,
    interval: Interval,
}

/// Counts since the last log line.
#[derive(Default)]
struct Interval {
    since: Moment,
    rounds: u64,
    polls: u64,
    starts: u64,
    transactions: u64,
    store_time: Duration,
    store_longest: Duration,
}

impl OwnerStats {
    pub fn new(telemetry: Telemetry) -> Self {
        Self { telemetry, interval: Interval::default() }
    }

    /// Records a round of decisions.
    pub fn record_round(&mut self) {
        self.interval.rounds += 1;
    }

    /// Records a poll of a worker.
    pub fn record_poll(&mut self) {
        self.interval.polls += 1;
        self.telemetry.count(metrics::POLLS);
    }

    /// Records a start command.
    pub fn record_start(&mut self) {
        self.interval.starts += 1;
    }

    /// Records a transaction whose result came after `time`.
    pub fn record_transaction(&mut self, time: Duration) {
        let interval = &mut self.interval;
        interval.transactions += 1;
        interval.store_time += time;
        interval.store_longest = interval.store_longest.max(time);
        self.telemetry.time(metrics::STORE_WRITE, time);
    }

    /// Writes a log line if [`PERIOD`] has passed since the last one, and resets the counts.
    pub fn log(&mut self, epoch: u64, now: Moment) {
        let interval = &self.interval;
        let elapsed = now.saturating_sub(interval.since);
        if elapsed < PERIOD {
            return;
        }
        let is_first = interval.since == Moment::ZERO;
        let mean_ms = interval.store_time.as_millis() as u64 / interval.transactions.max(1);
        if !is_first {
            telemetry::log::line("owner-load")
                .field("epoch", epoch)
                .field("elapsed_ms", elapsed.as_millis() as u64)
                .field("rounds", interval.rounds)
                .field("looks", interval.polls)
                .field("starts", interval.starts)
                .field("transactions", interval.transactions)
                .field("store_mean_ms", mean_ms)
                .field("store_longest_ms", interval.store_longest.as_millis() as u64)
                .write();
        }
        self.interval = Interval { since: now, ..Interval::default() };
    }
}
