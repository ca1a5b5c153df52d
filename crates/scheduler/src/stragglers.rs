//! Runs that are much slower than others of their step.
//!
//! Handles the load that one unit in thirty takes seven times as long. A run is a straggler if its
//! remaining time is more than twice the time of a fresh run, and if it is older than nine tenths
//! of the runs of its step. What is usual comes from the siblings, the units of the same step of
//! the same occurrence: they are exact where the estimate of a caller may be off by a factor of
//! ten. A step with few units has the learned durations only. Without these, none of its runs
//! counts as a straggler, since a slow run and a low estimate look alike.
//!
//! Reports of workers trigger the comparison, so that its cost grows with the reported runs of
//! steps that allow copies. What is usual for a step is computed again after [`USUAL_AGE_MAX`].

use std::time::Duration;

use crate::Moment;
use crate::WorkerId;
use crate::advice::StepKey;
use crate::advice::step_key;
use crate::job::JobRecord;
use crate::job::Step;
use crate::job::UnitKey;
use crate::live_jobs::FULL_PERCENT;
use crate::live_jobs::FinishState;
use crate::live_jobs::Phase;
use crate::live_jobs::Run;
use crate::live_jobs::Unit;
use crate::policies::Policy;
use crate::sorted_map::SortedMap;
use crate::state::Scheduler;

/// Number of runs of a step, with the one in question, whose durations show what is usual.
const SIBLINGS_MIN: usize = 4;
/// Number of finished runs of a step whose durations are kept.
const FINISHED_MAX: usize = 64;
/// Progress from which the duration of a run can be projected; the percentages of an earlier one
/// are too coarse.
const PROJECTED_FROM_PERCENT: u32 = 10;
/// Time after which the usual durations of a step are computed again.
const USUAL_AGE_MAX: Duration = Duration::from_millis(250);
/// Time between two removals of what belongs to ended jobs.
const PRUNE_PERIOD: Duration = Duration::from_secs(1);

/// A run that is much slower than others of its step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Straggler {
    /// How long it is expected to go on.
    pub remaining: Duration,
    /// How long a fresh run is expected to take.
    pub fresh: Duration,
    /// When its worker last reported it.
    pub reported_at: Moment,
}

/// Usual durations of the runs of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Usual {
    /// Duration of half of the runs.
    median: Duration,
    /// Duration that nine tenths of the runs do not exceed.
    long: Duration,
}

/// What is known of the durations of the runs of a step.
#[derive(Clone, Debug, Default)]
struct StepDurations {
    /// Durations of runs that have succeeded, the latest ones.
    finished: Vec<Duration>,
    usual: Option<Usual>,
    usual_at: Option<Moment>,
}

/// Stragglers, and the durations that show which runs are some.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stragglers {
    /// Units whose run is a straggler.
    pub units: SortedMap<UnitKey, Straggler>,
    steps: SortedMap<StepKey, StepDurations>,
    pruned_at: Moment,
}

impl Stragglers {
    /// Removes what belongs to jobs that are not live any more, unless this was done a moment ago.
    pub fn prune(&mut self, is_live: impl Fn(&str) -> bool, now: Moment) {
        if now.saturating_sub(self.pruned_at) < PRUNE_PERIOD {
            return;
        }
        self.pruned_at = now;
        self.steps.retain(|(job, _, _), _| is_live(job));
        self.units.retain(|key, _| is_live(&key.job));
    }
}

impl Scheduler {
    /// Returns true if a unit may have a copy beside its run.
    pub(crate) fn may_have_copy(&self, key: &UnitKey) -> bool {
        let step = self.jobs.get(&key.job).and_then(|job| job.record.steps.get(key.step));
        self.settings.policies.enables(Policy::Copies)
            && step.is_some_and(|s| s.allows_copies && !s.is_gang && !s.is_long_running)
    }

    /// Records whether a run that a worker has just reported is a straggler.
    pub(crate) fn record_straggler(&mut self, worker: &WorkerId, key: &UnitKey, now: Moment) {
        if !self.may_have_copy(key) {
            return;
        }
        let usual = self.usual(key, now);
        match usual.and_then(|usual| self.straggler(worker, key, usual, now)) {
            Some(straggler) => {
                self.needs_placement |= !self.stragglers.units.contains(key);
                self.stragglers.units.insert(key.clone(), straggler);
            }
            None => {
                self.stragglers.units.remove(key);
            }
        }
    }

    /// Records the duration of a run that has succeeded.
    pub(crate) fn record_duration(&mut self, key: &UnitKey, run: &Run, now: Moment) {
        let is_resumed = self.unit(key).is_none_or(|unit| !unit.checkpoint.is_empty());
        if !self.may_have_copy(key) || is_resumed || !self.shows_usual_duration(run) {
            return;
        }
        let durations = self.stragglers.steps.entry_or(step_key(key), StepDurations::default);
        if durations.finished.len() == FINISHED_MAX {
            durations.finished.remove(0);
        }
        durations.finished.push(now.saturating_sub(run.since));
    }

    fn straggler(
        &self,
        worker: &WorkerId,
        key: &UnitKey,
        usual: Usual,
        now: Moment,
    ) -> Option<Straggler> {
        let unit = self.unit(key)?;
        let run = unit.run.as_ref().filter(|run| run.worker == *worker)?;
        if !may_be_copied(unit, run) {
            return None;
        }
        let age = now.saturating_sub(run.since);
        let remaining = remaining_time(run, age);
        let is_straggler = age > usual.long && remaining > usual.median * 2;
        is_straggler.then_some(Straggler { remaining, fresh: usual.median, reported_at: now })
    }

    /// Returns what is usual for a step; computes it again unless this was done a moment ago.
    fn usual(&mut self, key: &UnitKey, now: Moment) -> Option<Usual> {
        let step = step_key(key);
        let known = self.stragglers.steps.get(&step);
        let is_recent = |at: Moment| now.saturating_sub(at) < USUAL_AGE_MAX;
        if let Some(known) = known.filter(|known| known.usual_at.is_some_and(is_recent)) {
            return known.usual;
        }
        let finished = known.map(|known| known.finished.clone()).unwrap_or_default();
        let usual = self.usual_durations(key, finished, now);
        let durations = self.stragglers.steps.entry_or(step, StepDurations::default);
        durations.usual = usual;
        durations.usual_at = Some(now);
        usual
    }

    fn usual_durations(
        &self,
        key: &UnitKey,
        finished: Vec<Duration>,
        now: Moment,
    ) -> Option<Usual> {
        let job = self.jobs.get(&key.job)?;
        let occurrence = job.occurrences.iter().find(|o| o.number == key.occurrence)?;
        let mut durations = finished;
        let unfinished =
            occurrence.steps[key.step].iter().filter(|u| u.finish_state == FinishState::Unfinished);
        let runs = unfinished.filter_map(|unit| unit.run.as_ref());
        let runs = runs.filter(|run| self.shows_usual_duration(run));
        durations.extend(runs.filter_map(|run| projected_duration(run, now)));
        if durations.len() < SIBLINGS_MIN {
            return self.learned_durations(&job.record, &job.record.steps[key.step]);
        }
        durations.sort();
        let last = durations.len() - 1;
        Some(Usual { median: durations[last / 2], long: durations[last * 9 / 10] })
    }

    /// Returns true if it is known when the run was started, since this owner has commanded it, and
    /// if its worker was not cold and has normal speed.
    fn shows_usual_duration(&self, run: &Run) -> bool {
        let worker = self.workers.get(&run.worker);
        run.deadline_ms != 0
            && self.slow_workers.speeds.is_normal(&run.worker)
            && worker.is_none_or(|worker| !self.may_be_slow_from_start(worker, run.since))
    }

    fn learned_durations(&self, record: &JobRecord, step: &Step) -> Option<Usual> {
        let is_learned = self.settings.policies.enables(Policy::LearnedDurations)
            && self.durations.measured(record, step).is_some();
        is_learned.then(|| Usual {
            median: self.durations.expected(record, step),
            long: self.durations.long(record, step),
        })
    }
}

/// Returns true if a unit with this run, and no copy, may get one if the run is slow.
pub(crate) fn may_be_copied(unit: &Unit, run: &Run) -> bool {
    unit.finish_state == FinishState::Unfinished
        && unit.copy.is_none()
        // A unit that may crash its worker is started on one worker at a time.
        && unit.crashed_runs.is_empty()
        && run.phase == Phase::Reported
        && run.stop.is_none()
        && run.speed_limit_percent == FULL_PERCENT
}

/// Returns how long a run of this age is expected to go on. A run without any progress is expected
/// to take at least as long again.
fn remaining_time(run: &Run, age: Duration) -> Duration {
    match run.progress_percent.min(FULL_PERCENT) {
        0 => age,
        percent => age * (FULL_PERCENT - percent) / percent,
    }
}

/// Returns the duration of a run as its progress suggests it; `None` if it cannot be told yet.
fn projected_duration(run: &Run, now: Moment) -> Option<Duration> {
    let age = now.saturating_sub(run.since);
    let is_known = run.phase == Phase::Reported
        && run.speed_limit_percent == FULL_PERCENT
        && run.progress_percent >= PROJECTED_FROM_PERCENT;
    is_known.then(|| age + remaining_time(run, age))
}
