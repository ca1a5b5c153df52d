//! When workers will have capacity for units of a step, and which workers have it first.

use std::time::Duration;

use crate::Moment;
use crate::PoolName;
use crate::WorkerId;
use crate::job::Resources;
use crate::job::Step;
use crate::job::UnitKey;
use crate::live_jobs::FULL_PERCENT;
use crate::live_jobs::Run;
use crate::reservations::is_same_step;
use crate::state::Scheduler;
use crate::worker::Worker;

/// Maximum number of units that are counted at a time on one worker; it bounds units that request
/// nothing.
const UNITS_PER_WORKER_MAX: usize = 256;

/// A run of a finite unit, with its expected end.
#[derive(Clone, Copy, Debug)]
struct ExpectedRun {
    end_at: Moment,
    /// How long the whole run is expected to take.
    duration: Duration,
    reservation: Resources,
}

/// A worker with its finite runs.
#[derive(Clone, Debug)]
pub(crate) struct BusyWorker<'a> {
    worker: &'a Worker,
    /// The run that is expected to end first comes first.
    runs: Vec<ExpectedRun>,
}

/// When a worker will have capacity for units of a step, if it gets no other runs.
#[derive(Clone, Debug)]
pub(crate) struct WorkerSlots<'a> {
    worker: &'a WorkerId,
    /// Moments from which it has capacity for one unit, for two and so on.
    free_at: Vec<Moment>,
}

/// The workers that will be the first to have capacity for the units of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FirstWorkers {
    /// The workers, sorted.
    pub workers: Vec<WorkerId>,
    /// When they will have it.
    pub starts_at: Moment,
}

impl BusyWorker<'_> {
    /// Returns the longest duration of a run there.
    pub fn longest_run(&self) -> Duration {
        self.runs.iter().map(|run| run.duration).max().unwrap_or_default()
    }

    /// Returns when the worker will have capacity for units of a step, to which `key` belongs;
    /// `None` if it never will.
    pub fn slots(&self, key: &UnitKey, step: &Step, now: Moment) -> Option<WorkerSlots<'_>> {
        let Self { worker, runs } = self;
        let labels = &worker.registration.labels;
        if step.label.as_ref().is_some_and(|label| !labels.contains(label)) {
            return None;
        }
        let units_max = match step.per_worker_max {
            0 => UNITS_PER_WORKER_MAX,
            limit => {
                let running = worker.runs.iter().filter(|run| is_same_step(run, key)).count();
                (limit as usize).saturating_sub(running)
            }
        };
        let mut free = worker.free_capacity();
        let mut free_at = Vec::new();
        let mut fill = |free: &mut Resources, at: Moment| {
            while free_at.len() < units_max && step.reservation().fits_in(free) {
                *free -= step.reservation();
                free_at.push(at);
            }
        };
        fill(&mut free, now);
        for run in runs {
            free += run.reservation;
            fill(&mut free, run.end_at);
        }
        let worker = &worker.registration.id;
        (!free_at.is_empty()).then_some(WorkerSlots { worker, free_at })
    }
}

impl WorkerSlots<'_> {
    /// Returns the number of units that the worker can run from `at` on.
    fn units_at(&self, at: Moment) -> usize {
        self.free_at.partition_point(|free_at| *free_at <= at)
    }
}

impl ExpectedRun {
    /// Returns the expected end of a run. A run that takes longer than expected goes on for the
    /// part that its progress leaves.
    fn of(run: &Run, duration: Duration, now: Moment) -> Self {
        let left = 1.0 - f64::from(run.progress_percent.min(FULL_PERCENT)) / 100.0;
        let by_start = run.started_at(now) + duration;
        let end_at = if by_start > now { by_start } else { now + duration.mul_f64(left) };
        Self { end_at, duration, reservation: run.reservation }
    }
}

/// Returns the workers, at most `workers_max`, that will be the first to have capacity for `count`
/// units together; `None` if they never will.
pub(crate) fn choose_workers(
    slots: &[WorkerSlots<'_>],
    count: usize,
    workers_max: usize,
) -> Option<FirstWorkers> {
    let most_units_first = |at: Moment| {
        let mut units: Vec<(usize, &WorkerId)> =
            slots.iter().map(|slots| (slots.units_at(at), slots.worker)).collect();
        units.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        units.truncate(workers_max);
        units
    };
    let is_enough =
        |at: Moment| most_units_first(at).iter().map(|(units, _)| units).sum::<usize>() >= count;
    let mut moments: Vec<Moment> =
        slots.iter().flat_map(|slots| slots.free_at.iter().copied()).collect();
    moments.sort();
    moments.dedup();
    let starts_at = *moments.get(moments.partition_point(|at| !is_enough(*at)))?;
    let mut left = count;
    let mut workers = Vec::new();
    for (units, worker) in most_units_first(starts_at) {
        if left > 0 {
            left = left.saturating_sub(units);
            workers.push(worker.clone());
        }
    }
    workers.sort();
    Some(FirstWorkers { workers, starts_at })
}

impl Scheduler {
    /// Returns the workers of a pool that can be counted on and are warm, with their finite
    /// runs.
    pub(crate) fn busy_workers(&self, pool: &PoolName, now: Moment) -> Vec<BusyWorker<'_>> {
        let in_pool = self.workers.values().filter(|worker| worker.registration.pool == *pool);
        in_pool
            .filter(|worker| self.is_dependable(worker, now))
            .filter(|worker| !worker.is_cold(now))
            .map(|worker| BusyWorker { worker, runs: self.runs_by_end(worker, now) })
            .collect()
    }

    /// Returns true if a worker can be counted on. One that gets no new runs only for a moment can.
    pub(crate) fn is_dependable(&self, worker: &Worker, now: Moment) -> bool {
        worker.is_registered
            && !worker.registration.is_draining
            && !worker.is_cordoned
            && !self.is_evacuated(&worker.registration.zone)
            && worker.unexpected_runs == 0
            && worker.is_in_contact(self.settings.contact_max, now)
            && !self.failure_history.is_quarantined(&worker.registration.id, now)
    }

    /// Returns the finite runs on a worker, the one that is expected to end first first.
    fn runs_by_end(&self, worker: &Worker, now: Moment) -> Vec<ExpectedRun> {
        let expected = |key: &UnitKey| {
            let job = self.jobs.get(&key.job)?;
            let step = job.record.steps.get(key.step).filter(|step| !step.is_long_running)?;
            let duration = self.durations.expected(&job.record, step);
            Some(ExpectedRun::of(self.run_on(key, &worker.registration.id)?, duration, now))
        };
        let mut runs: Vec<ExpectedRun> = worker.runs.iter().filter_map(expected).collect();
        runs.sort_by_key(|run| run.end_at);
        runs
    }
}
