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
const REVIEWED_MAX: usize = 16;
/// Time after which a result no longer counts.
const RESULT_AGE_MAX: Duration = Duration::from_secs(600);
/// Probability that a broken worker fails a task.
const BROKEN_FAILS: f64 = 0.95;
/// Sum from which on a worker is quarantined: a thousand to one.
const QUARANTINE_AT: f64 = 6.9;
/// Sum from which on a worker gets one task at a time.
const SUSPECT_AT: f64 = 1.2;
/// Results of a kind, all failed, from which on the kind is taken to fail always.
const HOPELESS_FAILURES: u32 = 12;
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
struct Record {
    worker: HostId,
    results: Vec<TaskResult>,
    /// Logarithm of the likelihood ratio that the worker is broken, when it was last judged.
    weight: f64,
    quarantines: u32,
    until: Option<Instant>,
}

/// Results of the tasks of one pool.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Sorted by worker.
    records: Vec<Record>,
    /// Counts by kind over all workers that are not quarantined, sorted.
    kinds: Vec<KindCounts>,
    /// Workers that are not fully trusted, sorted.
    distrusted: Vec<HostId>,
    /// True if trust in a worker has come back since the last look.
    regained: bool,
    /// First record of the next review.
    next_reviewed: usize,
}

#[derive(Clone, Debug)]
struct KindCounts {
    kind: KindId,
    succeeded: u32,
    failed: u32,
}

impl Evidence {
    /// Takes in a result; true if it puts the worker into quarantine.
    pub fn add(
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
        self.drop_old(index, now);
        // One job speaks once against a worker.
        let results = &self.records[index].results;
        let again = |r: &TaskResult| r.job == *job && r.verdict == Verdict::Failed;
        if verdict == Verdict::Failed && results.iter().any(again) {
            return false;
        }
        let result = TaskResult { kind: kind.clone(), job: job.clone(), verdict, at: now };
        self.count(kind, verdict, 1);
        self.records[index].results.push(result);
        self.judge(index, now)
    }

    /// Judges again the next few workers with failures, as results from elsewhere came in; returns
    /// those that go into quarantine.
    pub fn review(&mut self, now: Instant) -> Vec<HostId> {
        let mut quarantined = Vec::new();
        let count = self.records.len();
        for step in 0..count.min(REVIEWED_MAX) {
            let index = (self.next_reviewed + step) % count;
            let record = &self.records[index];
            let has_failed = record.results.iter().any(|r| r.verdict == Verdict::Failed);
            if record.until.is_none() && has_failed && self.judge(index, now) {
                quarantined.push(self.records[index].worker.clone());
            }
        }
        self.next_reviewed = (self.next_reviewed + REVIEWED_MAX) % count.max(1);
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
        match self.records[index].until {
            Some(until) if now < until => Trust::Quarantined,
            Some(_) => Trust::Probation,
            None if self.records[index].weight >= SUSPECT_AT => Trust::Suspect,
            None => Trust::Full,
        }
    }

    /// True if tasks of the kind have only failed, many times and on trusted workers.
    pub fn is_hopeless(&self, kind: &KindId) -> bool {
        let found = self.kinds.binary_search_by(|counts| counts.kind.cmp(kind));
        found.is_ok_and(|index| {
            let counts = &self.kinds[index];
            counts.succeeded == 0 && counts.failed >= HOPELESS_FAILURES
        })
    }

    /// True if a worker has become more trusted since the last call.
    pub fn take_regained(&mut self, now: Instant) -> bool {
        let over = |record: &Record| record.until.is_some_and(|until| now >= until);
        let is_over = self.distrusted.iter().any(|worker| {
            let found = self.records.binary_search_by(|record| record.worker.cmp(worker));
            found.is_ok_and(|index| over(&self.records[index]))
        });
        std::mem::take(&mut self.regained) || is_over
    }

    /// Keeps the list of distrusted workers in step with a record.
    fn list(&mut self, index: usize) {
        let record = &self.records[index];
        let is_distrusted = record.until.is_some() || record.weight >= SUSPECT_AT;
        match (self.distrusted.binary_search(&record.worker), is_distrusted) {
            (Err(position), true) => self.distrusted.insert(position, record.worker.clone()),
            (Ok(position), false) => {
                self.distrusted.remove(position);
                self.regained = true;
            }
            (Ok(_), true) | (Err(_), false) => {}
        }
    }

    /// Weighs the evidence anew; true if the worker goes into quarantine.
    fn judge(&mut self, index: usize, now: Instant) -> bool {
        let weight = self.weight(index);
        self.records[index].weight = weight;
        let is_broken = weight >= QUARANTINE_AT;
        if is_broken {
            self.quarantine(index, now);
        }
        self.list(index);
        is_broken
    }

    fn weight(&self, index: usize) -> f64 {
        let own = &self.records[index].results;
        own.iter()
            .map(|result| {
                let fails = self.fails_elsewhere(&result.kind, own);
                match result.verdict {
                    Verdict::Failed => (BROKEN_FAILS / fails).ln(),
                    Verdict::Succeeded => ((1.0 - BROKEN_FAILS) / (1.0 - fails)).ln(),
                }
            })
            .sum()
    }

    /// Probability that a task of `kind` fails on workers other than the owner of `own`.
    fn fails_elsewhere(&self, kind: &KindId, own: &[TaskResult]) -> f64 {
        let found = self.kinds.binary_search_by(|counts| counts.kind.cmp(kind));
        let (succeeded, failed) =
            found.map_or((0, 0), |index| (self.kinds[index].succeeded, self.kinds[index].failed));
        let own_of =
            |verdict| own.iter().filter(|r| r.kind == *kind && r.verdict == verdict).count() as u32;
        let succeeded = succeeded.saturating_sub(own_of(Verdict::Succeeded));
        let failed = failed.saturating_sub(own_of(Verdict::Failed));
        let rate = (f64::from(failed) + 1.0) / (f64::from(succeeded + failed) + 2.0);
        rate.min(BROKEN_FAILS)
    }

    fn quarantine(&mut self, index: usize, now: Instant) {
        let results = std::mem::take(&mut self.records[index].results);
        for result in results {
            self.count(&result.kind, result.verdict, -1);
        }
        let record = &mut self.records[index];
        record.weight = 0.0;
        let factor = 1_u32 << record.quarantines.min(6);
        record.until = Some(now + (QUARANTINE_FIRST * factor).min(QUARANTINE_MAX));
        record.quarantines += 1;
    }

    /// Judges the task that a worker ran on probation; true if it was on probation.
    fn end_probation(&mut self, index: usize, verdict: Verdict, now: Instant) -> bool {
        match (self.records[index].until, verdict) {
            (None, _) => false,
            // Tasks that were started before the quarantine say nothing new.
            (Some(until), _) if now < until => true,
            (Some(_), Verdict::Succeeded) => {
                self.records[index].until = None;
                self.list(index);
                true
            }
            (Some(_), Verdict::Failed) => {
                self.quarantine(index, now);
                true
            }
        }
    }

    fn drop_old(&mut self, index: usize, now: Instant) {
        let results = &mut self.records[index].results;
        let full = results.len().saturating_sub(RESULTS_MAX - 1);
        let old = results.partition_point(|r| now.duration_since(r.at) > RESULT_AGE_MAX);
        let dropped: Vec<TaskResult> = results.drain(..old.max(full)).collect();
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
                let record = Record {
                    worker,
                    results: Vec::new(),
                    weight: 0.0,
                    quarantines: 0,
                    until: None,
                };
                self.records.insert(index, record);
                index
            }
        }
    }
}
