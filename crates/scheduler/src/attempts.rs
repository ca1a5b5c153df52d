//! Failed runs of units: when a unit may be started once more, and when its job fails.
//!
//! A job fails once a unit, or a gang, has failed as often as its queue allows. The members of a gang
//! share the numbers of their runs: a run has failed once, however many members have failed in it.
//!
//! How often a unit may fail may not be known ([`Scheduler::queue_settings`]). Then the job doesn't
//! fail, and units that have failed wait until the configuration has the queue again.

use std::ops::Range;

use crate::Moment;
use crate::WorkerId;
use crate::job::JobRecord;
use crate::job::UnitKey;
use crate::live_jobs::Job;
use crate::live_jobs::Unit;
use crate::progress::FinalState;
use crate::state::Scheduler;

/// Whether a unit that has no run may be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Attempts {
    /// It has attempts left.
    Left,
    /// It has failed, and it is not known how often it may fail.
    Unknown,
    /// It has failed as often as it may.
    Exhausted,
}

impl Scheduler {
    /// Handles a failed run of a unit that was not known.
    pub(crate) fn handle_unit_failure(
        &mut self,
        id: &WorkerId,
        key: &UnitKey,
        number: u32,
        now: Moment,
    ) {
        self.exclude_worker(id, key);
        let is_long_running = self.is_long_running(key);
        let Some(unit) = self.unit_mut(key) else {
            return;
        };
        // A long-running unit has to be started again however it ends.
        if is_long_running {
            return;
        }
        unit.failed_runs.push(number);
        if self.attempts_of(key) == Attempts::Exhausted {
            self.fail_job_without_attempts(key, now);
        }
    }

    /// Lets a unit, or all units of its gang, avoid a worker.
    pub(crate) fn exclude_worker(&mut self, id: &WorkerId, key: &UnitKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        for unit in units_failing_with_mut(job, key) {
            if !unit.excluded_workers.contains(id) {
                unit.excluded_workers.push(id.clone());
            }
        }
    }

    /// Returns true if the failure of a unit in the run `number` is known, or if the unit, or its gang,
    /// has failed in another run.
    pub(crate) fn has_failed_before(&self, key: &UnitKey, number: u32) -> bool {
        if self.unit(key).is_some_and(|unit| unit.failed_runs.contains(&number)) {
            return true;
        }
        let failed_runs = self.jobs.get(&key.job).map(|job| failed_runs(job, key));
        failed_runs.unwrap_or_default().iter().any(|other| *other != number)
    }

    /// Returns whether a unit may be started once more.
    pub(crate) fn attempts_of(&self, key: &UnitKey) -> Attempts {
        let Some(job) = self.jobs.get(&key.job) else {
            return Attempts::Unknown;
        };
        self.attempts_left(&job.record, failed_runs(job, key).len())
    }

    /// Fails a job one of whose units has no attempts left.
    pub(crate) fn fail_job_without_attempts(&mut self, key: &UnitKey, now: Moment) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let failures = failed_runs(job, key).len();
        let attempts_max = self.attempts_max(&job.record).unwrap_or_default();
        self.fail_job(key, format!("failures={failures} attempts_max={attempts_max}"), now);
    }

    /// Fails the job of a unit that cannot be done, unless the job has ended.
    pub(crate) fn fail_job(&mut self, key: &UnitKey, why: String, now: Moment) {
        let Some(job) = self.jobs.get_mut(&key.job).filter(|job| job.final_state.is_none()) else {
            return;
        };
        job.final_state = Some(FinalState::Failed);
        self.mark_dirty(&key.job);
        self.log_decision("job failed", key, why);
        for run in self.units_with_run(&key.job) {
            self.request_stop(&run, now);
        }
    }

    fn attempts_left(&self, record: &JobRecord, failures: usize) -> Attempts {
        match self.attempts_max(record) {
            _ if failures == 0 => Attempts::Left,
            None => Attempts::Unknown,
            Some(attempts_max) if failures < attempts_max as usize => Attempts::Left,
            Some(_) => Attempts::Exhausted,
        }
    }
}

/// Returns the numbers of the runs in which a unit, or a member of its gang, has failed.
fn failed_runs(job: &Job, key: &UnitKey) -> Vec<u32> {
    distinct_failed_runs(units_failing_with(job, key))
}

/// Returns the numbers of the runs in which any of these units has failed, sorted.
pub(crate) fn distinct_failed_runs(units: &[Unit]) -> Vec<u32> {
    let mut numbers: Vec<u32> = units.iter().flat_map(|unit| &unit.failed_runs).copied().collect();
    numbers.sort_unstable();
    numbers.dedup();
    numbers
}

/// Returns the units whose failures count together: all of a gang, otherwise the unit itself.
fn units_failing_with<'a>(job: &'a Job, key: &UnitKey) -> &'a [Unit] {
    let occurrence = job.occurrences.iter().find(|other| other.number == key.occurrence);
    let units = occurrence.and_then(|occurrence| occurrence.steps.get(key.step));
    units.and_then(|units| units.get(indices_failing_with(job, key))).unwrap_or_default()
}

/// Returns the same units, to change them.
fn units_failing_with_mut<'a>(job: &'a mut Job, key: &UnitKey) -> &'a mut [Unit] {
    let indices = indices_failing_with(job, key);
    let occurrence = job.occurrences.iter_mut().find(|other| other.number == key.occurrence);
    let units = occurrence.and_then(|occurrence| occurrence.steps.get_mut(key.step));
    units.and_then(|units| units.get_mut(indices)).unwrap_or_default()
}

fn indices_failing_with(job: &Job, key: &UnitKey) -> Range<usize> {
    match job.record.steps.get(key.step) {
        Some(step) if step.is_gang => 0..step.count as usize,
        _ => key.index..key.index.saturating_add(1),
    }
}
