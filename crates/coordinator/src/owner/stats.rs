//! Statistics of an owner: counts per second for the log, which show what limits its throughput,
//! and totals for the metrics.

use std::time::Duration;

use scheduler::Counts as SchedulerCounts;
use scheduler::Moment;
use scheduler::ShardIndex;
use telemetry::Telemetry;

use crate::metrics;

/// Time between two log lines.
const PERIOD: Duration = Duration::from_secs(1);

/// Statistics of an owner.
pub(super) struct OwnerStats {
    telemetry: Telemetry,
    counts: Counts,
}

/// Counts since the last log line.
#[derive(Default)]
struct Counts {
    since: Moment,
    rounds: u64,
    polls: u64,
    starts: u64,
    transactions: u64,
    /// Changes of divisions among shards.
    division_changes: u64,
    /// Total time of the transactions.
    store_time: Duration,
    /// Time of the longest transaction.
    store_longest: Duration,
}

impl OwnerStats {
    pub fn new(telemetry: Telemetry) -> Self {
        Self { telemetry, counts: Counts::default() }
    }

    /// Records a round of decisions.
    pub fn record_round(&mut self) {
        self.counts.rounds += 1;
    }

    /// Records a poll of a worker.
    pub fn record_poll(&mut self) {
        self.counts.polls += 1;
        self.telemetry.count(metrics::POLLS);
    }

    /// Records a start command.
    pub fn record_start(&mut self) {
        self.counts.starts += 1;
    }

    /// Records a change of a division among shards.
    pub fn record_division_change(&mut self) {
        self.counts.division_changes += 1;
        self.telemetry.count(metrics::DIVISIONS_CHANGED);
    }

    /// Records what the scheduler has counted.
    pub fn record_counts(&mut self, counts: SchedulerCounts) {
        let counters = [
            (metrics::DURATION_SAMPLES, counts.duration_samples),
            (metrics::RUNS_STARTED_COLD, counts.cold_starts),
            (metrics::STARTS_WITHHELD, counts.starts_withheld),
            (metrics::UNITS_EVACUATED, counts.units_evacuated),
            (metrics::UNITS_ON_TWO_WORKERS, counts.units_on_two_workers),
            (metrics::STARTS_OF_UNKNOWN_INCARNATIONS, counts.starts_of_unknown_incarnations),
            (metrics::RUNS_MOVED, counts.moved_runs),
        ];
        for (name, count) in counters.into_iter().filter(|(_, count)| *count > 0) {
            self.telemetry.count_many(name, count);
        }
    }

    /// Records a transaction whose result came after `time`.
    pub fn record_transaction(&mut self, time: Duration) {
        let counts = &mut self.counts;
        counts.transactions += 1;
        counts.store_time += time;
        counts.store_longest = counts.store_longest.max(time);
        self.telemetry.time(metrics::STORE_WRITE, time);
    }

    /// Writes a log line if [`PERIOD`] has passed since the last one, and resets the counts.
    pub fn log(&mut self, shard: ShardIndex, epoch: u64, now: Moment) {
        let counts = &self.counts;
        let elapsed = now.saturating_sub(counts.since);
        if elapsed < PERIOD {
            return;
        }
        let is_first = counts.since == Moment::ZERO;
        let mean_ms = counts.store_time.as_millis() as u64 / counts.transactions.max(1);
        if !is_first {
            telemetry::log::line("owner-load")
                .field("shard", shard)
                .field("epoch", epoch)
                .field("elapsed_ms", elapsed.as_millis() as u64)
                .field("rounds", counts.rounds)
                .field("looks", counts.polls)
                .field("starts", counts.starts)
                .field("transactions", counts.transactions)
                .field("divisions", counts.division_changes)
                .field("store_mean_ms", mean_ms)
                .field("store_longest_ms", counts.store_longest.as_millis() as u64)
                .write();
        }
        self.counts = Counts { since: now, ..Counts::default() };
    }
}
