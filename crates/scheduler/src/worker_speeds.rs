//! Speeds of workers, measured by the progress of their runs.
//!
//! Guards against workers that do a fifth or an eighth of what others do and hold on to their
//! units. The speed of a run is its progress per expected time, where the expected time is what
//! units of the same kind of work have typically taken on other workers. Running units are measured
//! over short windows, so that a worker that has just become slow shows, and ended ones as a whole.
//!
//! A worker counts as slow if three quarters of its recent evidence are slow: one unit in thirty
//! takes seven times as long anywhere, and such units are not the worker's fault. A slow worker gets
//! little to run, so it may never show that it has recovered; after a while without runs it is
//! tried again, with a part of its capacity at first.

use std::time::Duration;

use crate::JobId;
use crate::Moment;
use crate::WorkerId;
use crate::job::UnitKey;
use crate::sorted_map::SortedMap;

/// Speed below which a worker counts as slow, as a fraction of the normal one.
const SLOW_BELOW: f64 = 0.5;
/// Speed from which a slow worker counts as recovered.
const RECOVERED_FROM: f64 = 0.75;
/// Fraction of the recent evidence that has to be slow. Of three runs with the same weight, this takes
/// all three.
const SLOW_SHARE_MIN: f64 = 0.75;
/// Number of slow runs, and of their jobs, that are needed for a worker to count as slow.
const RUNS_MIN: usize = 3;
const JOBS_MIN: usize = 2;
/// Number of slow runs that end a trial.
const TRIAL_RUNS_MIN: usize = 2;
/// Time in which the weight of an ended run halves.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Time after which an ended run does not count any more.
const ENDED_AGE_MAX: Duration = Duration::from_secs(3);
/// Shortest window over which the progress of a run is measured.
const WINDOW_MIN: Duration = Duration::from_secs(1);
/// Progress in percent that a run at normal speed makes in a window. Reports round it to whole
/// percents.
const WINDOW_PERCENT_MIN: u32 = 4;
/// Time without evidence after which a slow worker is tried again; it doubles with each trial that
/// fails.
const TRIAL_AFTER: Duration = Duration::from_secs(4);
/// Maximum number of times that this time doubles.
const TRIAL_DOUBLINGS_MAX: u32 = 3;
/// Time after which a worker counts as normal that has not been used in its trial, since the units
/// that wait are too large for the part of its capacity that it may use, or none wait.
const TRIAL_IDLE_MAX: Duration = Duration::from_secs(20);
/// Time between two increases of the part of its capacity that a recovering worker may use.
const RAMP_PERIOD: Duration = Duration::from_secs(2);
/// Increase of this part, in percent.
const RAMP_PERCENT: u32 = 25;
/// Percentage of the normal speed, and of the whole capacity.
pub(crate) const NORMAL_PERCENT: u32 = 100;
/// If more than one worker out of this many of a pool seems slow, the norm must be wrong, and none
/// of its workers counts as slow.
const SLOW_POOL_DIVISOR: usize = 4;

/// Speeds of all workers that have shown theirs.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerSpeeds {
    by_worker: SortedMap<WorkerId, WorkerSpeed>,
}

/// How a worker is used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Condition {
    #[default]
    Normal,
    Slow {
        speed_percent: u32,
    },
    /// It is tried with a part of its capacity.
    Recovering {
        since: Moment,
        /// When a run has first shown its speed during the trial.
        shown_at: Option<Moment>,
    },
}

/// What is known of the speed of one worker.
#[derive(Clone, Debug, Default)]
struct WorkerSpeed {
    ended: Vec<EndedRun>,
    /// Windows of the running units, sorted by unit.
    windows: Vec<Window>,
    condition: Condition,
    /// When there was last any evidence.
    seen_at: Moment,
    /// Number of trials that have failed since it was last normal.
    failed_trials: u32,
}

/// Speed of a run that has ended.
#[derive(Clone, Debug)]
struct EndedRun {
    job: JobId,
    speed: f64,
    at: Moment,
}

/// Progress of a running unit since the beginning of a window.
#[derive(Clone, Debug)]
struct Window {
    unit: UnitKey,
    run: u32,
    began_at: Moment,
    percent_at_begin: u32,
    /// Speed in the last whole window.
    speed: Option<f64>,
}

/// Progress that a worker has reported for a run.
#[derive(Clone, Debug)]
pub(crate) struct RunProgress {
    pub unit: UnitKey,
    pub run: u32,
    pub percent: u32,
    /// How long units of this kind typically take as a whole.
    pub expected: Duration,
}

/// A worker has become slow, or normal again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SpeedChange {
    Slow { speed_percent: u32, runs: usize },
    Normal,
}

/// Evidence of one run: its job, its speed and the weight of it.
struct Evidence<'a> {
    job: &'a JobId,
    speed: f64,
    weight: f64,
}

impl Condition {
    fn trial(now: Moment) -> Self {
        Self::Recovering { since: now, shown_at: None }
    }
}

impl Evidence<'_> {
    fn is_slow(&self) -> bool {
        self.speed < SLOW_BELOW
    }
}

impl WorkerSpeeds {
    /// Returns the speed of a worker in percent of the normal one.
    pub fn speed_percent(&self, worker: &str) -> u32 {
        match self.by_worker.get(worker).map(|worker| worker.condition) {
            Some(Condition::Slow { speed_percent }) => speed_percent,
            _ => NORMAL_PERCENT,
        }
    }

    /// Returns true if a worker is neither slow nor recovering.
    pub fn is_normal(&self, worker: &str) -> bool {
        self.by_worker.get(worker).is_none_or(|worker| worker.condition == Condition::Normal)
    }

    /// Returns the part of its capacity that a worker may use, in percent.
    pub fn usable_percent(&self, worker: &str, now: Moment) -> u32 {
        match self.by_worker.get(worker).map(|worker| worker.condition) {
            Some(Condition::Recovering { shown_at, .. }) => usable_percent(shown_at, now),
            _ => NORMAL_PERCENT,
        }
    }

    /// Returns the workers that count as slow.
    pub fn slow_workers(&self) -> impl Iterator<Item = &WorkerId> {
        let is_slow =
            |(_, worker): &(_, &WorkerSpeed)| matches!(worker.condition, Condition::Slow { .. });
        self.by_worker.iter().filter(is_slow).map(|(id, _)| id)
    }

    /// Records a run that has ended after `took`.
    pub fn record_end(
        &mut self,
        worker: &WorkerId,
        job: &JobId,
        expected: Duration,
        took: Duration,
        now: Moment,
    ) {
        let speed = expected.as_secs_f64() / took.as_secs_f64().max(f64::MIN_POSITIVE);
        let worker = self.by_worker.entry_or(worker.clone(), WorkerSpeed::default);
        worker.forget_old_ends(now);
        worker.ended.push(EndedRun { job: job.clone(), speed, at: now });
        worker.seen_at = now;
    }

    /// Records what a worker has reported at `reported_at` about the runs that can be measured,
    /// sorted by unit.
    pub fn record_progress(
        &mut self,
        worker: &WorkerId,
        runs: Vec<RunProgress>,
        reported_at: Moment,
    ) {
        if runs.is_empty() && !self.by_worker.contains(worker) {
            return;
        }
        let worker = self.by_worker.entry_or(worker.clone(), WorkerSpeed::default);
        worker.windows.retain(|window| {
            let position = runs.binary_search_by(|run| run.unit.cmp(&window.unit));
            position.is_ok_and(|position| runs[position].run == window.run)
        });
        for run in runs {
            match worker.windows.binary_search_by(|window| window.unit.cmp(&run.unit)) {
                Ok(position) => worker.windows[position].advance(&run, reported_at),
                Err(position) => worker.windows.insert(position, Window::new(run, reported_at)),
            }
        }
        if worker.windows.iter().any(|window| window.speed.is_some()) {
            worker.seen_at = reported_at;
        }
    }

    /// Forgets the workers for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&WorkerId) -> bool) {
        self.by_worker.retain(|id, _| keep(id));
    }

    /// Judges the workers of a pool, which are `workers`, and returns those that have changed.
    pub fn judge<'a>(
        &mut self,
        workers: impl Iterator<Item = &'a WorkerId>,
        now: Moment,
    ) -> Vec<(WorkerId, SpeedChange)> {
        let (mut judged, mut worker_count) = (Vec::new(), 0);
        for id in workers {
            worker_count += 1;
            if let Some(worker) = self.by_worker.get_mut(id) {
                worker.forget_old_ends(now);
                judged.push((id, worker.next_condition(now)));
            }
        }
        let is_slow = |condition: &Condition| matches!(condition, Condition::Slow { .. });
        let slow_count = judged.iter().filter(|(_, condition)| is_slow(condition)).count();
        let is_norm_wrong = slow_count * SLOW_POOL_DIVISOR > worker_count;
        let mut changes = Vec::new();
        for (id, condition) in judged {
            let condition = if is_norm_wrong { Condition::Normal } else { condition };
            if let Some(change) = self.by_worker.get_mut(id).and_then(|w| w.change_to(condition)) {
                changes.push((id.clone(), change));
            }
        }
        changes
    }
}

impl WorkerSpeed {
    fn forget_old_ends(&mut self, now: Moment) {
        self.ended.retain(|run| now.saturating_sub(run.at) <= ENDED_AGE_MAX);
    }

    fn evidence(&self, now: Moment) -> Vec<Evidence<'_>> {
        let weight = |at: Moment| {
            0.5_f64.powf(now.saturating_sub(at).as_secs_f64() / HALF_LIFE.as_secs_f64())
        };
        let ended = self.ended.iter();
        let ended =
            ended.map(|run| Evidence { job: &run.job, speed: run.speed, weight: weight(run.at) });
        let running = self.windows.iter().filter_map(|window| {
            Some(Evidence { job: &window.unit.job, speed: window.speed?, weight: 1.0 })
        });
        ended.chain(running).collect()
    }

    fn next_condition(&self, now: Moment) -> Condition {
        let evidence = self.evidence(now);
        let seems_slow = slow_share(&evidence) >= SLOW_SHARE_MIN;
        let slow_runs = evidence.iter().filter(|run| run.is_slow()).count();
        let slow = || Condition::Slow { speed_percent: typical_percent(&evidence) };
        match self.condition {
            Condition::Normal => {
                let has_enough = slow_runs >= RUNS_MIN && slow_job_count(&evidence) >= JOBS_MIN;
                if seems_slow && has_enough { slow() } else { Condition::Normal }
            }
            Condition::Recovering { since, shown_at } => {
                let shown_at = shown_at.or((self.seen_at > since).then_some(self.seen_at));
                let is_over = shown_at.is_none() && now.saturating_sub(since) >= TRIAL_IDLE_MAX;
                if seems_slow && slow_runs >= TRIAL_RUNS_MIN {
                    slow()
                } else if is_over || usable_percent(shown_at, now) >= NORMAL_PERCENT {
                    Condition::Normal
                } else {
                    Condition::Recovering { since, shown_at }
                }
            }
            Condition::Slow { .. } if evidence.is_empty() => {
                let doublings = self.failed_trials.min(TRIAL_DOUBLINGS_MAX);
                let is_due = now.saturating_sub(self.seen_at) >= TRIAL_AFTER * (1 << doublings);
                if is_due { Condition::trial(now) } else { self.condition }
            }
            Condition::Slow { .. } => {
                let has_recovered = f64::from(typical_percent(&evidence)) >= RECOVERED_FROM * 100.0;
                if has_recovered { Condition::trial(now) } else { slow() }
            }
        }
    }

    /// Changes the condition. Returns the change unless it is a part of a trial.
    fn change_to(&mut self, condition: Condition) -> Option<SpeedChange> {
        let before = std::mem::replace(&mut self.condition, condition);
        match (before, condition) {
            (Condition::Normal, Condition::Slow { speed_percent }) => {
                let running = self.windows.iter().filter(|window| window.speed.is_some()).count();
                Some(SpeedChange::Slow { speed_percent, runs: running + self.ended.len() })
            }
            (Condition::Recovering { .. }, Condition::Slow { .. }) => {
                self.failed_trials += 1;
                None
            }
            (Condition::Slow { .. } | Condition::Recovering { .. }, Condition::Normal) => {
                self.failed_trials = 0;
                Some(SpeedChange::Normal)
            }
            _ => None,
        }
    }
}

impl Window {
    fn new(run: RunProgress, began_at: Moment) -> Self {
        let (unit, percent_at_begin) = (run.unit, run.percent);
        Self { unit, run: run.run, began_at, percent_at_begin, speed: None }
    }

    /// Measures the window and begins the next one if it is long enough.
    fn advance(&mut self, run: &RunProgress, now: Moment) {
        let elapsed = now.saturating_sub(self.began_at);
        if elapsed < WINDOW_MIN.max(run.expected * WINDOW_PERCENT_MIN / 100) {
            return;
        }
        // Reports round down, so the run may have made nearly one percent more.
        let percent = run.percent.saturating_sub(self.percent_at_begin) + 1;
        let expected_time = run.expected.as_secs_f64() * f64::from(percent) / 100.0;
        self.speed = Some(expected_time / elapsed.as_secs_f64());
        (self.began_at, self.percent_at_begin) = (now, run.percent);
    }
}

/// Returns the part of its capacity that a recovering worker may use; `shown_at` tells when it has
/// first shown its speed.
fn usable_percent(shown_at: Option<Moment>, now: Moment) -> u32 {
    let shown_for = shown_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
    let periods = shown_for.as_millis() / RAMP_PERIOD.as_millis();
    let periods = periods.min(u128::from(NORMAL_PERCENT)) as u32;
    ((periods + 1) * RAMP_PERCENT).min(NORMAL_PERCENT)
}

/// Returns the weight of the slow runs as a fraction of all.
fn slow_share(evidence: &[Evidence<'_>]) -> f64 {
    let all: f64 = evidence.iter().map(|run| run.weight).sum();
    let slow = evidence.iter().filter(|run| run.is_slow());
    let slow: f64 = slow.map(|run| run.weight).sum();
    if all > 0.0 { slow / all } else { 0.0 }
}

/// Returns the weighted median of the speeds, in percent of the normal one and at least 1.
fn typical_percent(evidence: &[Evidence<'_>]) -> u32 {
    let mut sorted: Vec<(f64, f64)> = evidence.iter().map(|run| (run.speed, run.weight)).collect();
    sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
    let half = sorted.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let mut weight_up_to = 0.0;
    let median = sorted.iter().find(|(_, weight)| {
        weight_up_to += weight;
        weight_up_to >= half
    });
    let percent = median.map_or(100.0, |(speed, _)| speed * 100.0);
    (percent as u32).clamp(1, NORMAL_PERCENT)
}

fn slow_job_count(evidence: &[Evidence<'_>]) -> usize {
    let slow = evidence.iter().filter(|run| run.is_slow());
    let mut jobs: Vec<&JobId> = slow.map(|run| run.job).collect();
    jobs.sort();
    jobs.dedup();
    jobs.len()
}
