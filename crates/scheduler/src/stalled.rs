//! Runs that make no progress.
//!
//! A report tells progress in whole percent, so that a run of a long unit shows none for as long as a
//! percent takes. How long a run may show nothing follows what a percent of it takes: as the run has
//! shown, or as its duration is estimated. It may show nothing for longer if a stop would lose much
//! work, and after each stop of the same unit, whose estimate may be wrong.
//!
//! A run that stands still counts against its worker, unless others move on there or the unit has
//! stalled before.

use std::time::Duration;

use crate::Moment;
use crate::WorkerId;
use crate::job::JobRecord;
use crate::job::Step;
use crate::job::UnitKey;
use crate::live_jobs::FULL_PERCENT;
use crate::live_jobs::Phase;
use crate::live_jobs::Run;
use crate::live_jobs::Unit;
use crate::state::Scheduler;

/// Time without progress after which a run counts as stalled at the earliest.
const STALLED_AFTER_MIN: Duration = Duration::from_millis(2_500);
/// Part of a unit's expected duration in which it shows its first percent. It may take ten times as long
/// as expected, and reports are some time apart.
const FIRST_PERCENT_DIVISOR: u32 = 8;
/// How many times as long as the longest one before a percent may take.
const SLOWER_PERCENT_FACTOR: u32 = 3;
/// Part of the work that a stop would lose, as the time that it took, for which the run is left alone.
const LOST_WORK_DIVISOR: u32 = 2;
/// Factor by which the time without progress grows with each stop of a unit.
const REPEATED_STOP_FACTOR: u32 = 4;

/// What a run that stands still speaks against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Suspect {
    Worker,
    Unit,
}

impl Run {
    /// Returns for how long the last reports that list the run have shown no progress. A silent worker
    /// shows nothing either way, nor does a report that leaves the run out.
    fn time_without_progress(&self) -> Duration {
        self.listed_at.saturating_sub(self.progressed_at)
    }

    /// Records a report of the progress. The first one of a run that `resumes` from a checkpoint also has
    /// what earlier runs have done.
    pub(crate) fn record_progress(&mut self, percent: u32, resumes: bool, now: Moment) {
        if percent == self.progress_percent {
            return;
        }
        let is_start = resumes && self.progress_percent == 0;
        let percents = percent.saturating_sub(self.progress_percent);
        if self.sees_whole_percent && !is_start && percents > 0 {
            let time_per_percent = now.saturating_sub(self.progressed_at) / percents;
            self.percent_time_max = self.percent_time_max.max(time_per_percent);
        }
        self.sees_whole_percent = !is_start && self.speed_limit_percent == FULL_PERCENT;
        self.progress_percent = percent;
        self.progressed_at = now;
    }

    /// Records that the run goes on at another speed. What it has shown before says nothing about its
    /// progress now.
    pub(crate) fn record_speed_limit(&mut self, percent: u32, now: Moment) {
        self.speed_limit_percent = percent;
        self.sees_whole_percent = false;
        self.progressed_at = now;
    }

    /// Returns the time that a restart of the unit would have to repeat.
    fn lost_work_time(&self) -> Duration {
        match self.checkpoint.is_empty() {
            true => self.progressed_at.saturating_sub(self.since),
            false => Duration::ZERO,
        }
    }
}

impl Scheduler {
    /// Stops stalled runs, so that their units run elsewhere.
    pub(crate) fn stop_stalled_runs(&mut self, now: Moment) {
        let mut stalled = Vec::new();
        for (id, worker) in self.workers.iter() {
            if self.may_be_slow_from_start(worker, now) {
                continue;
            }
            let runs = worker.runs.iter().filter(|key| self.is_stalled(id, key));
            stalled.extend(runs.map(|key| (id.clone(), key.clone())));
        }
        let suspects: Vec<Suspect> =
            stalled.iter().map(|(worker, key)| self.stall_suspect(worker, key)).collect();
        for ((worker, key), suspect) in stalled.into_iter().zip(suspects) {
            self.stop_stalled_run(worker, &key, suspect, now);
        }
    }

    fn is_stalled(&self, worker: &WorkerId, key: &UnitKey) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let Some(unit) = job.unit(key) else {
            return false;
        };
        let Some(run) = unit.run_on(worker) else {
            return false;
        };
        let step = &job.record.steps[key.step];
        run.phase == Phase::Reported
            && run.stop.is_none()
            && run.speed_limit_percent == FULL_PERCENT
            && run.progress_percent < FULL_PERCENT
            && !step.is_gang
            && run.time_without_progress() > STALLED_AFTER_MIN
            && run.time_without_progress() > self.stalled_after(&job.record, step, unit, run)
    }

    /// Returns the time without progress after which a run counts as stalled.
    fn stalled_after(&self, record: &JobRecord, step: &Step, unit: &Unit, run: &Run) -> Duration {
        // The progress of a long-running unit is the part of it that is available, which it reaches soon.
        if step.is_long_running {
            return STALLED_AFTER_MIN;
        }
        let estimate = Duration::from_millis(step.estimate_ms);
        let expected = self.durations.expected(record, step).max(estimate);
        let by_percent = match run.percent_time_max.is_zero() {
            true => expected / FIRST_PERCENT_DIVISOR,
            false => run.percent_time_max.saturating_mul(SLOWER_PERCENT_FACTOR),
        };
        let by_lost_work = run.lost_work_time() / LOST_WORK_DIVISOR;
        let by_stops = STALLED_AFTER_MIN
            .saturating_mul(REPEATED_STOP_FACTOR.saturating_pow(unit.stalled_runs));
        by_percent.max(by_lost_work).max(by_stops)
    }

    /// Returns what a stalled run on a worker speaks against.
    fn stall_suspect(&self, worker: &WorkerId, key: &UnitKey) -> Suspect {
        let has_stalled_before = self.unit(key).is_some_and(|unit| unit.stalled_runs > 0);
        let moves_on = |other: &UnitKey| {
            self.run_on(other, worker).is_some_and(|run| {
                !run.percent_time_max.is_zero() && run.time_without_progress() < STALLED_AFTER_MIN
            })
        };
        let runs = self.workers.get(worker).map(|worker| worker.runs.as_slice());
        let others_move_on =
            runs.unwrap_or_default().iter().any(|other| other != key && moves_on(other));
        match has_stalled_before || others_move_on {
            true => Suspect::Unit,
            false => Suspect::Worker,
        }
    }

    fn stop_stalled_run(&mut self, worker: WorkerId, key: &UnitKey, suspect: Suspect, now: Moment) {
        let Some(run) = self.run_on(key, &worker) else {
            return;
        };
        let why = format!(
            "worker={worker} percent={} still_ms={} lost_ms={} suspect={suspect:?}",
            run.progress_percent,
            run.time_without_progress().as_millis(),
            run.lost_work_time().as_millis(),
        );
        self.log_decision("run stands still", key, why);
        if suspect == Suspect::Worker {
            self.record_failure(&worker, key, "made no progress", now);
        }
        self.exclude_worker(&worker, key);
        if let Some(unit) = self.unit_mut(key) {
            unit.stalled_runs = unit.stalled_runs.saturating_add(1);
        }
        self.request_stop_on(&worker, key, now);
    }
}
