//! Evidence about workers that fail their tasks.
//!
//! Each result on a worker is weighed against the results of the same kind on the other workers: a
//! failure where others succeed speaks against the worker, a failure where others fail too speaks
//! against the job. The sum is the logarithm of a likelihood ratio between "this worker fails
//! whatever it starts" and "it is as good as the others".

use std::time::Duration;
use std::time::Instant;

use model::HostId;

use crate::job::JobId;
use crate::job::KindId;

/// Results kept for a worker.
const RESULTS_MAX: usize = 32;
/// Workers that one review judges.
const REVIEWED_WORKERS_MAX: usize = 16;
/// Time after which a result no longer counts.
const RESULT_AGE_MAX: Duration = Duration::from_secs(600);
/// Probability that a broken worker fails a task.
const BROKEN_WORKER_FAILURE_RATE: f64 = 0.95;
/// Sum from which on a worker is quarantined: a thousand to one.
const QUARANTINE_LOG_RATIO: f64 = 6.9;
/// Sum from which on a worker gets one task at a time.
const SUSPECT_LOG_RATIO: f64 = 1.2;
/// Results of a kind, all failed, from which on the kind is taken to fail always.
const ALWAYS_FAILS_MIN: u32 = 12;
/// Time of the first quarantine; each further one is twice as long.
const QUARANTINE_FIRST: Duration = Duration::from_secs(60);
/// Longest quarantine.
const QUARANTINE_MAX: Duration = Duration::from_secs(3_600);

/// How a task ended, as far as it says something about its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It did what it should.
    Succeeded,
    /// It failed, or could not be started.
    Failed,
}

/// How far a worker is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// Takes work.
    Full,
    /// Takes one task at a time.
    Suspect,
    /// Takes nothing.
    Quarantined,
    /// Quarantine is over; takes one task to show that it can run it.
    Probation,
}

#[derive(Clone, Debug)]
struct TaskResult {
    kind: KindId,
    job: JobId,
    verdict: Verdict,
    at: Instant,
}

#[derive(Clone, Debug)]
struct WorkerRecord {
    worker: HostId,
    results: Vec<TaskResult>,
    /// Logarithm of the likelihood ratio that the worker is broken, when it was last judged.
    log_ratio: f64,
    quarantines: u32,
    quarantined_until: Option<Instant>,
}

/// Results of the tasks of one pool.
#[derive(Clone, Debug, Default)]
pub struct FailureHistory {
    /// Sorted by worker.
    records: Vec<WorkerRecord>,
    /// Counts by kind over all workers that are not quarantined, sorted.
    kinds: Vec<KindCounts>,
    /// Workers that are not fully trusted, sorted.
    distrusted: Vec<HostId>,
    /// True if trust in a worker has come back since the last look.
    has_regained_trust: bool,
    /// First record of the next review.
    next_reviewed: usize,
}

#[derive(Clone, Debug)]
struct KindCounts {
    kind: KindId,
    succeeded: u32,
    failed: u32,
}

impl FailureHistory {
    /// Takes in a result; true if it puts the worker into quarantine.
    pub fn record(
        &mut self,
        worker: &HostId,
        kind: &KindId,
        job: &JobId,
        verdict: Verdict,
        now: Instant,
    ) -> bool {
        let index = self.record_index(worker);
        if self.end_probation(index, verdict, now) {
            return verdict == Verdict::Failed;
        }
        self.drop_expired(index, now);
        // One job speaks once against a worker.
        let results = &self.records[index].results;
        let is_repeat = |r: &TaskResult| r.job == *job && r.verdict == Verdict::Failed;
        if verdict == Verdict::Failed && results.iter().any(is_repeat) {
            return false;
        }
        let result = TaskResult { kind: kind.clone(), job: job.clone(), verdict, at: now };
        self.count(kind, verdict, 1);
        self.records[index].results.push(result);
        self.reassess(index, now)
    }

    /// Judges again the next few workers with failures, as results from elsewhere came in; returns
    /// those that go into quarantine.
    pub fn review(&mut self, now: Instant) -> Vec<HostId> {
        let mut quarantined = Vec::new();
        let count = self.records.len();
        for step in 0..count.min(REVIEWED_WORKERS_MAX) {
            let index = (self.next_reviewed + step) % count;
            let record = &self.records[index];
            let has_failed = record.results.iter().any(|r| r.verdict == Verdict::Failed);
            if record.quarantined_until.is_none() && has_failed && self.reassess(index, now) {
                quarantined.push(self.records[index].worker.clone());
            }
        }
        self.next_reviewed = (self.next_reviewed + REVIEWED_WORKERS_MAX) % count.max(1);
        quarantined
    }

    /// How far a worker is trusted.
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

    /// True if tasks of the kind have only failed, many times and on trusted workers.
    pub fn always_fails(&self, kind: &KindId) -> bool {
        let found = self.kinds.binary_search_by(|counts| counts.kind.cmp(kind));
        found.is_ok_and(|index| {
            let counts = &self.kinds[index];
            counts.succeeded == 0 && counts.failed >= ALWAYS_FAILS_MIN
        })
    }

    /// True if a worker has become more trusted since the last call.
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

    /// Keeps the list of distrusted workers in step with a record.
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

    /// Weighs the evidence anew; true if the worker goes into quarantine.
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
                match result.verdict {
                    Verdict::Failed => (BROKEN_WORKER_FAILURE_RATE / failure_rate).ln(),
                    Verdict::Succeeded => {
                        ((1.0 - BROKEN_WORKER_FAILURE_RATE) / (1.0 - failure_rate)).ln()
                    }
                }
            })
            .sum()
    }

    /// Probability that a task of `kind` fails on workers other than the owner of `own`.
    fn failure_rate_elsewhere(&self, kind: &KindId, own: &[TaskResult]) -> f64 {
        let found = self.kinds.binary_search_by(|counts| counts.kind.cmp(kind));
        let (succeeded, failed) =
            found.map_or((0, 0), |index| (self.kinds[index].succeeded, self.kinds[index].failed));
        let own_of =
            |verdict| own.iter().filter(|r| r.kind == *kind && r.verdict == verdict).count() as u32;
        let succeeded = succeeded.saturating_sub(own_of(Verdict::Succeeded));
        let failed = failed.saturating_sub(own_of(Verdict::Failed));
        let rate = (f64::from(failed) + 1.0) / (f64::from(succeeded + failed) + 2.0);
        rate.min(BROKEN_WORKER_FAILURE_RATE)
    }

    fn quarantine(&mut self, index: usize, now: Instant) {
        let results = std::mem::take(&mut self.records[index].results);
        for result in results {
            self.count(&result.kind, result.verdict, -1);
        }
        let record = &mut self.records[index];
        record.log_ratio = 0.0;
        let factor = 1_u32 << record.quarantines.min(6);
        record.quarantined_until = Some(now + (QUARANTINE_FIRST * factor).min(QUARANTINE_MAX));
        record.quarantines += 1;
    }

    /// Judges the task that a worker ran on probation; true if it was on probation.
    fn end_probation(&mut self, index: usize, verdict: Verdict, now: Instant) -> bool {
        match (self.records[index].quarantined_until, verdict) {
            (None, _) => false,
            // Tasks that were started before the quarantine say nothing new.
            (Some(quarantined_until), _) if now < quarantined_until => true,
            (Some(_), Verdict::Succeeded) => {
                self.records[index].quarantined_until = None;
                self.update_distrusted(index);
                true
            }
            (Some(_), Verdict::Failed) => {
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
            self.count(&result.kind, result.verdict, -1);
        }
    }

    fn count(&mut self, kind: &KindId, verdict: Verdict, by: i32) {
        let index = match self.kinds.binary_search_by(|counts| counts.kind.cmp(kind)) {
            Ok(index) => index,
            Err(index) => {
                let counts = KindCounts { kind: kind.clone(), succeeded: 0, failed: 0 };
                self.kinds.insert(index, counts);
                index
            }
        };
        let counts = &mut self.kinds[index];
        let count = match verdict {
            Verdict::Succeeded => &mut counts.succeeded,
            Verdict::Failed => &mut counts.failed,
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
