//! Detects workers that fail their tasks, and quarantines them.
//!
//! Each result of a worker is compared with the results of the same kind of jobs on the other
//! workers: a failure of a kind that succeeds elsewhere is evidence against the worker, a failure
//! of a kind that fails elsewhere too is evidence against the job. The sum over the results is the
//! logarithm of the likelihood ratio of two hypotheses: the worker is broken and fails nearly all
//! its tasks, or it is as reliable as the others.

use std::time::Duration;
use std::time::Instant;

use model::HostId;

use crate::job::JobId;
use crate::job::KindId;

/// Maximum number of results that are kept for a worker.
const RESULTS_MAX: usize = 32;
/// Maximum number of workers that one review reassesses.
const REVIEWED_WORKERS_MAX: usize = 16;
/// Age above which a result is dropped when the next result of the worker is recorded.
const RESULT_AGE_MAX: Duration = Duration::from_secs(600);
/// Probability that a broken worker fails a task.
const BROKEN_WORKER_FAILURE_RATE: f64 = 0.95;
/// Log-likelihood ratio at or above which a worker is quarantined: odds of a thousand to one.
const QUARANTINE_LOG_RATIO: f64 = 6.9;
/// Log-likelihood ratio at or above which a worker gets only one task at a time.
const SUSPECT_LOG_RATIO: f64 = 1.2;
/// Number of failures, without a success, at or above which a kind counts as always failing.
const ALWAYS_FAILS_MIN: u32 = 12;
/// Duration of a worker's first quarantine; each further one is twice as long.
const QUARANTINE_FIRST: Duration = Duration::from_secs(60);
/// Maximum duration of a quarantine.
const QUARANTINE_MAX: Duration = Duration::from_secs(3_600);

/// Result of a task, as evidence about its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultStatus {
    /// The task succeeded.
    Succeeded,
    /// The task failed or could not be started.
    Failed,
}

/// Trust in a worker, which decides what tasks it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// Gets any tasks.
    Full,
    /// Gets one task at a time.
    Suspect,
    /// Gets no tasks.
    Quarantined,
    /// The quarantine has ended; gets one idempotent task, whose result ends or renews it.
    Probation,
}

#[derive(Clone, Debug)]
struct TaskResult {
    kind: KindId,
    job: JobId,
    status: ResultStatus,
    at: Instant,
}

#[derive(Clone, Debug)]
struct WorkerRecord {
    worker: HostId,
    /// Latest results, oldest first.
    results: Vec<TaskResult>,
    /// Log-likelihood ratio for a broken worker at the last reassessment.
    log_ratio: f64,
    /// Number of quarantines so far.
    quarantines: u32,
    /// End of the latest quarantine; `None` without one, or after a success on probation.
    quarantined_until: Option<Instant>,
}

/// Results of the tasks of one pool, by worker and by kind.
#[derive(Clone, Debug, Default)]
pub struct FailureHistory {
    /// Sorted by worker.
    records: Vec<WorkerRecord>,
    /// Results by kind over all workers that are not quarantined, sorted by kind.
    kinds: Vec<KindCounts>,
    /// Workers that are not fully trusted, sorted.
    distrusted: Vec<HostId>,
    /// True if a worker got fully trusted again since the last [`Self::take_regained_trust`].
    has_regained_trust: bool,
    /// Position in `records` at which the next review starts.
    next_reviewed: usize,
}

#[derive(Clone, Debug)]
struct KindCounts {
    kind: KindId,
    succeeded: u32,
    failed: u32,
}

impl FailureHistory {
    /// Records a result; returns true if it puts the worker into quarantine.
    pub fn record(
        &mut self,
        worker: &HostId,
        kind: &KindId,
        job: &JobId,
        status: ResultStatus,
        now: Instant,
    ) -> bool {
        let index = self.record_index(worker);
        if self.handle_probation_result(index, status, now) {
            return status == ResultStatus::Failed;
        }
        self.drop_expired(index, now);
        // Repeated failures of one job count once against a worker.
        let results = &self.records[index].results;
        let is_repeat = |r: &TaskResult| r.job == *job && r.status == ResultStatus::Failed;
        if status == ResultStatus::Failed && results.iter().any(is_repeat) {
            return false;
        }
        let result = TaskResult { kind: kind.clone(), job: job.clone(), status, at: now };
        self.count(kind, status, 1);
        self.records[index].results.push(result);
        self.reassess(index, now)
    }

    /// Reassesses the next few workers that have failures, because new results of other workers
    /// change the comparison; returns the workers that are now quarantined.
    pub fn review(&mut self, now: Instant) -> Vec<HostId> {
        let mut quarantined = Vec::new();
        let count = self.records.len();
        for step in 0..count.min(REVIEWED_WORKERS_MAX) {
            let index = (self.next_reviewed + step) % count;
            let record = &self.records[index];
            let has_failed = record.results.iter().any(|r| r.status == ResultStatus::Failed);
            if record.quarantined_until.is_none() && has_failed && self.reassess(index, now) {
                quarantined.push(self.records[index].worker.clone());
            }
        }
        self.next_reviewed = (self.next_reviewed + REVIEWED_WORKERS_MAX) % count.max(1);
        quarantined
    }

    /// Returns the trust in a worker.
    pub fn trust(&self, worker: &HostId, now: Instant) -> Trust {
        if self.distrusted.binary_search(worker).is_err() {
            return Trust::Full;
        }
        let Ok(index) = self.records.binary_search_by(|record| record.worker.cmp(worker)) else {
            return Trust::Full;
        };
        match self.records[index].quarantined_until {
            Some(quarantined_until) if now < quarantined_until => Trust::Quarantined,
            Some(_) => Trust::Probation,
            None if self.records[index].log_ratio >= SUSPECT_LOG_RATIO => Trust::Suspect,
            None => Trust::Full,
        }
    }

    /// Returns true if tasks of the kind have failed many times and never succeeded, on workers
    /// that are not quarantined.
    pub fn always_fails(&self, kind: &KindId) -> bool {
        let found = self.kinds.binary_search_by(|counts| counts.kind.cmp(kind));
        found.is_ok_and(|index| {
            let counts = &self.kinds[index];
            counts.succeeded == 0 && counts.failed >= ALWAYS_FAILS_MIN
        })
    }

    /// Returns true if a worker got fully trusted since the last call, or a quarantine has ended.
    pub fn take_regained_trust(&mut self, now: Instant) -> bool {
        let quarantine_ended = |record: &WorkerRecord| {
            record.quarantined_until.is_some_and(|quarantined_until| now >= quarantined_until)
        };
        let has_ended_quarantine = self.distrusted.iter().any(|worker| {
            let found = self.records.binary_search_by(|record| record.worker.cmp(worker));
            found.is_ok_and(|index| quarantine_ended(&self.records[index]))
        });
        std::mem::take(&mut self.has_regained_trust) || has_ended_quarantine
    }

    /// Updates the list of distrusted workers after a change of a record.
    fn update_distrusted(&mut self, index: usize) {
        let record = &self.records[index];
        let is_distrusted =
            record.quarantined_until.is_some() || record.log_ratio >= SUSPECT_LOG_RATIO;
        match (self.distrusted.binary_search(&record.worker), is_distrusted) {
            (Err(position), true) => self.distrusted.insert(position, record.worker.clone()),
            (Ok(position), false) => {
                self.distrusted.remove(position);
                self.has_regained_trust = true;
            }
            (Ok(_), true) | (Err(_), false) => {}
        }
    }

    /// Computes the log-likelihood ratio of a worker again; returns true if it is now quarantined.
    fn reassess(&mut self, index: usize, now: Instant) -> bool {
        let log_ratio = self.log_likelihood_ratio(index);
        self.records[index].log_ratio = log_ratio;
        let is_broken = log_ratio >= QUARANTINE_LOG_RATIO;
        if is_broken {
            self.quarantine(index, now);
        }
        self.update_distrusted(index);
        is_broken
    }

    fn log_likelihood_ratio(&self, index: usize) -> f64 {
        let own = &self.records[index].results;
        own.iter()
            .map(|result| {
                let failure_rate = self.failure_rate_elsewhere(&result.kind, own);
                match result.status {
                    ResultStatus::Failed => (BROKEN_WORKER_FAILURE_RATE / failure_rate).ln(),
                    ResultStatus::Succeeded => {
                        ((1.0 - BROKEN_WORKER_FAILURE_RATE) / (1.0 - failure_rate)).ln()
                    }
                }
            })
            .sum()
    }

    /// Estimates the probability that a task of `kind` fails on other workers than the one with the
    /// results `own`.
    fn failure_rate_elsewhere(&self, kind: &KindId, own: &[TaskResult]) -> f64 {
        let found = self.kinds.binary_search_by(|counts| counts.kind.cmp(kind));
        let (succeeded, failed) =
            found.map_or((0, 0), |index| (self.kinds[index].succeeded, self.kinds[index].failed));
        let own_of =
            |status| own.iter().filter(|r| r.kind == *kind && r.status == status).count() as u32;
        let succeeded = succeeded.saturating_sub(own_of(ResultStatus::Succeeded));
        let failed = failed.saturating_sub(own_of(ResultStatus::Failed));
        let rate = (f64::from(failed) + 1.0) / (f64::from(succeeded + failed) + 2.0);
        rate.min(BROKEN_WORKER_FAILURE_RATE)
    }

    fn quarantine(&mut self, index: usize, now: Instant) {
        let results = std::mem::take(&mut self.records[index].results);
        for result in results {
            self.count(&result.kind, result.status, -1);
        }
        let record = &mut self.records[index];
        record.log_ratio = 0.0;
        let factor = 1_u32 << record.quarantines.min(6);
        record.quarantined_until = Some(now + (QUARANTINE_FIRST * factor).min(QUARANTINE_MAX));
        record.quarantines += 1;
    }

    /// Handles the result of a worker in quarantine or on probation; returns true if it was either.
    ///
    /// A success on probation restores the trust, a failure starts another quarantine.
    fn handle_probation_result(
        &mut self,
        index: usize,
        status: ResultStatus,
        now: Instant,
    ) -> bool {
        match (self.records[index].quarantined_until, status) {
            (None, _) => false,
            // Tasks that were started before the quarantine are no new evidence.
            (Some(quarantined_until), _) if now < quarantined_until => true,
            (Some(_), ResultStatus::Succeeded) => {
                self.records[index].quarantined_until = None;
                self.update_distrusted(index);
                true
            }
            (Some(_), ResultStatus::Failed) => {
                self.quarantine(index, now);
                true
            }
        }
    }

    fn drop_expired(&mut self, index: usize, now: Instant) {
        let results = &mut self.records[index].results;
        let excess = results.len().saturating_sub(RESULTS_MAX - 1);
        let expired = results.partition_point(|r| now.duration_since(r.at) > RESULT_AGE_MAX);
        let dropped: Vec<TaskResult> = results.drain(..expired.max(excess)).collect();
        for result in dropped {
            self.count(&result.kind, result.status, -1);
        }
    }

    fn count(&mut self, kind: &KindId, status: ResultStatus, by: i32) {
        let index = match self.kinds.binary_search_by(|counts| counts.kind.cmp(kind)) {
            Ok(index) => index,
            Err(index) => {
                let counts = KindCounts { kind: kind.clone(), succeeded: 0, failed: 0 };
                self.kinds.insert(index, counts);
                index
            }
        };
        let counts = &mut self.kinds[index];
        let count = match status {
            ResultStatus::Succeeded => &mut counts.succeeded,
            ResultStatus::Failed => &mut counts.failed,
        };
        *count = count.saturating_add_signed(by);
    }

    fn record_index(&mut self, worker: &HostId) -> usize {
        match self.records.binary_search_by(|record| record.worker.cmp(worker)) {
            Ok(index) => index,
            Err(index) => {
                let worker = worker.clone();
                let record = WorkerRecord {
                    worker,
                    results: Vec::new(),
                    log_ratio: 0.0,
                    quarantines: 0,
                    quarantined_until: None,
                };
                self.records.insert(index, record);
                index
            }
        }
    }
}
