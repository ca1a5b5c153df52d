//! Recent failures by worker, which put faulty workers into quarantine.
//!
//! A failure counts against a worker, except that of a long-running unit or of a unit or gang that
//! has failed before, which may be at fault itself. A stalled run counts unless others move on there
//! or its unit has stalled before. If units of several jobs fail on a worker, with no success in
//! between, the worker is quarantined for a time that doubles with each quarantine.

use std::time::Duration;

use crate::JobId;
use crate::Moment;
use crate::WorkerId;
use crate::job::UnitKey;
use crate::messages::RunOutcome;
use crate::sorted_map::SortedMap;
use crate::state::Scheduler;

/// Number of jobs with failures, and no success in between, that puts a worker into quarantine.
const QUARANTINE_FAILED_JOBS: usize = 2;
/// Time after which a failure does not count any more.
const FAILURE_AGE_MAX: Duration = Duration::from_secs(6);
/// Duration of a worker's first quarantine.
const QUARANTINE_DURATION_FIRST: Duration = Duration::from_secs(4);
/// Maximum number of times that the duration of a quarantine doubles.
const QUARANTINE_DOUBLINGS_MAX: u32 = 3;

#[derive(Clone, Debug, Default)]
struct WorkerFailures {
    /// Jobs with a unit that has failed or stalled here since the last success, and when.
    failed_jobs: Vec<(JobId, Moment)>,
    /// Number of quarantines so far.
    quarantines: u32,
    quarantined_until: Moment,
}

/// Recent failures by worker.
#[derive(Clone, Debug, Default)]
pub struct FailureHistory {
    by_worker: SortedMap<WorkerId, WorkerFailures>,
}

impl FailureHistory {
    /// Records that a unit succeeded on a worker.
    pub fn record_success(&mut self, worker: &WorkerId) {
        if let Some(failures) = self.by_worker.get_mut(worker) {
            failures.failed_jobs.clear();
        }
    }

    /// Records that a unit of a job failed or stalled on a worker. Returns true if this puts the
    /// worker into quarantine.
    pub fn record_failure(&mut self, worker: &WorkerId, job: &JobId, now: Moment) -> bool {
        let failures = self.by_worker.entry_or(worker.clone(), WorkerFailures::default);
        failures.failed_jobs.retain(|(_, at)| now.saturating_sub(*at) <= FAILURE_AGE_MAX);
        if failures.failed_jobs.iter().any(|(other, _)| other == job)
            || now < failures.quarantined_until
        {
            return false;
        }
        failures.failed_jobs.push((job.clone(), now));
        if failures.failed_jobs.len() < QUARANTINE_FAILED_JOBS {
            return false;
        }
        failures.failed_jobs.clear();
        failures.quarantined_until = now
            + QUARANTINE_DURATION_FIRST * (1 << failures.quarantines.min(QUARANTINE_DOUBLINGS_MAX));
        failures.quarantines += 1;
        true
    }

    /// Returns true if the worker is quarantined and gets no new runs.
    pub fn is_quarantined(&self, worker: &str, now: Moment) -> bool {
        self.by_worker.get(worker).is_some_and(|failures| now < failures.quarantined_until)
    }

    /// Returns true if a unit recently failed on the worker and none has succeeded there since.
    pub fn has_recent_failure(&self, worker: &str, now: Moment) -> bool {
        let is_recent = |at: &Moment| now.saturating_sub(*at) <= FAILURE_AGE_MAX;
        let has_recent =
            |failures: &WorkerFailures| failures.failed_jobs.iter().any(|(_, at)| is_recent(at));
        self.by_worker.get(worker).is_some_and(has_recent)
    }
}

impl Scheduler {
    /// Updates the history with the outcome of the run `number` of a unit.
    pub(crate) fn update_failure_history(
        &mut self,
        worker: &WorkerId,
        key: &UnitKey,
        number: u32,
        outcome: RunOutcome,
        now: Moment,
    ) {
        match outcome {
            RunOutcome::Done => self.failure_history.record_success(worker),
            RunOutcome::Failed if self.is_long_running(key) => {}
            // A unit that has failed before is more likely at fault than the worker.
            RunOutcome::Failed if !self.has_failed_before(key, number) => {
                self.record_failure(worker, key, "failed", now);
            }
            _ => {}
        }
    }

    /// Counts a failed or stalled run against a worker.
    pub(crate) fn record_failure(
        &mut self,
        worker: &WorkerId,
        key: &UnitKey,
        reason: &'static str,
        now: Moment,
    ) {
        if self.failure_history.record_failure(worker, &key.job, now) {
            self.log_decision("worker quarantined", worker.clone(), format!("last={key} {reason}"));
        }
    }
}
