//! Evidence about workers that fail what they run.
//!
//! A failure speaks against a worker unless the unit fails elsewhere too. A worker on which units of
//! several jobs failed in a row, with no success between, is quarantined for a while; the time doubles
//! each time.

use std::time::Duration;

use crate::JobId;
use crate::Moment;
use crate::WorkerId;
use crate::job::UnitKey;
use crate::report::RunOutcome;
use crate::sorted::SortedMap;
use crate::state::Scheduler;

/// Jobs that fail in a row from which on a worker is quarantined.
const FAILED_JOBS_MAX: usize = 2;
/// Failures count together within this time.
const FAILURE_AGE_MAX: Duration = Duration::from_secs(6);
/// Time of the first quarantine.
const QUARANTINE_FIRST: Duration = Duration::from_secs(4);
/// Doublings of the time of quarantine at most.
const DOUBLINGS_MAX: u32 = 3;

#[derive(Clone, Debug, Default)]
struct Record {
    failed: Vec<(JobId, Moment)>,
    quarantines: u32,
    until: Moment,
}

/// Results of workers.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    records: SortedMap<WorkerId, Record>,
}

impl Evidence {
    /// A unit of a job succeeded on a worker.
    pub fn succeeded(&mut self, worker: &WorkerId) {
        if let Some(record) = self.records.get_mut(worker) {
            record.failed.clear();
        }
    }

    /// A unit of a job failed or stood still on a worker; true if that puts it into quarantine.
    pub fn failed(&mut self, worker: &WorkerId, job: &JobId, now: Moment) -> bool {
        let record = self.records.entry_or(worker.clone(), Record::default);
        record.failed.retain(|(_, at)| now.saturating_sub(*at) <= FAILURE_AGE_MAX);
        if record.failed.iter().any(|(other, _)| other == job) || now < record.until {
            return false;
        }
        record.failed.push((job.clone(), now));
        if record.failed.len() < FAILED_JOBS_MAX {
            return false;
        }
        record.failed.clear();
        record.until = now + QUARANTINE_FIRST * (1 << record.quarantines.min(DOUBLINGS_MAX));
        record.quarantines += 1;
        true
    }

    /// True if the worker takes no new runs.
    pub fn is_quarantined(&self, worker: &str, now: Moment) -> bool {
        self.records.get(worker).is_some_and(|record| now < record.until)
    }

    /// True if the last result of the worker was a failure.
    pub fn is_suspect(&self, worker: &str, now: Moment) -> bool {
        let is_recent = |at: &Moment| now.saturating_sub(*at) <= FAILURE_AGE_MAX;
        let failed = |record: &Record| record.failed.iter().any(|(_, at)| is_recent(at));
        self.records.get(worker).is_some_and(failed)
    }
}

impl Scheduler {
    /// Learns from the end of a run.
    pub(crate) fn learn(
        &mut self,
        worker: &WorkerId,
        key: &UnitKey,
        outcome: RunOutcome,
        now: Moment,
    ) {
        let failed_before = self.unit(key).map_or(0, |unit| unit.failed_runs.len());
        match outcome {
            RunOutcome::Done => self.evidence.succeeded(worker),
            // A unit that fails elsewhere too says nothing about the worker.
            RunOutcome::Failed if failed_before == 0 && !self.is_long_running(key) => {
                self.hold_against(worker, key, "failed", now);
            }
            _ => {}
        }
    }

    /// Counts a failure or a standstill against a worker.
    pub(crate) fn hold_against(
        &mut self,
        worker: &WorkerId,
        key: &UnitKey,
        what: &'static str,
        now: Moment,
    ) {
        if self.evidence.failed(worker, &key.job, now) {
            self.note("worker quarantined", worker.clone(), format!("last={key} {what}"));
        }
    }
}
