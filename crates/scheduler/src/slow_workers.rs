//! How slow workers are used: they are the last choice, get only what can wait, and runs with a
//! checkpoint move away from them.
//!
//! What can wait is a unit that meets its latest start also at the worker's speed. Units of jobs
//! that are late already get nothing from a run that takes many times as long. Two kinds of units
//! may always run on a slow worker: long-running ones, which have no duration, and all while less
//! than half of the pool is in use, since a job must not wait beside free capacity.

use std::time::Duration;

use crate::Moment;
use crate::PoolName;
use crate::WorkerId;
use crate::candidates::Candidates;
use crate::job::JobRecord;
use crate::job::Resources;
use crate::job::Step;
use crate::job::UnitKey;
use crate::live_jobs::FULL_PERCENT;
use crate::live_jobs::FinishState;
use crate::live_jobs::Phase;
use crate::live_jobs::Run;
use crate::policies::Policy;
use crate::priority::SchedulingPriority;
use crate::priority::Urgency;
use crate::state::Scheduler;
use crate::worker::Worker;
use crate::worker_speeds::NORMAL_PERCENT;
use crate::worker_speeds::RunProgress;
use crate::worker_speeds::SpeedChange;
use crate::worker_speeds::WorkerSpeeds;

/// Minimum time between two reviews of the speeds.
const REVIEW_PERIOD: Duration = Duration::from_millis(500);
/// Maximum number of runs that move away from slow workers of a pool at a time.
const MOVES_MAX: usize = 2;
/// Time after which a move does not count any more. Its worker may be silent, or its unit waits
/// since others have taken the capacity.
const MOVE_TIME_MAX: Duration = Duration::from_secs(5);
/// Time from the end of the stopped run until the next one runs: a report, a transaction and a
/// start command.
const RESTART_TIME: Duration = Duration::from_millis(500);

/// Speeds of workers, and what is done about slow ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowWorkers {
    pub speeds: WorkerSpeeds,
    moves: Vec<Move>,
    reviewed_at: Moment,
}

/// A run that was stopped so that its unit runs on a faster worker.
#[derive(Clone, Debug)]
struct Move {
    pool: PoolName,
    unit: UnitKey,
    run: u32,
    worker: WorkerId,
    began_at: Moment,
}

/// How long a unit may run on a slow worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlowRunLimit {
    /// Expected duration at normal speed.
    pub expected: Duration,
    /// Longest duration with which the unit can wait.
    pub time_max: Duration,
}

/// How much of a pool is in use.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolUse {
    pub capacity: Resources,
    /// Resources that runs reserve.
    pub reserved: Resources,
}

impl PoolUse {
    /// Returns true if at most half of the capacity is in use.
    pub fn is_half_free(&self) -> bool {
        self.reserved.plus(&self.reserved).fits_in(&self.capacity)
    }
}

impl SlowRunLimit {
    /// Returns true if the unit may run on a worker of this speed.
    pub fn allows(&self, speed_percent: u32) -> bool {
        let time = self.expected.saturating_mul(NORMAL_PERCENT) / speed_percent.max(1);
        speed_percent >= NORMAL_PERCENT || time <= self.time_max
    }
}

impl Scheduler {
    /// Returns the resources of a worker that new runs may take: a recovering worker uses only a
    /// part of its capacity.
    pub(crate) fn usable_capacity(&self, worker: &Worker, now: Moment) -> Resources {
        let percent = self.slow_workers.speeds.usable_percent(&worker.registration.id, now);
        let free = worker.free_usable_capacity(now);
        if percent >= NORMAL_PERCENT {
            return free;
        }
        let part = |amount: u64| amount * u64::from(percent) / u64::from(NORMAL_PERCENT);
        let capacity = worker.registration.capacity;
        let usable = Resources {
            cpu_millis: part(capacity.cpu_millis),
            memory_mb: part(capacity.memory_mb),
            gpus: capacity.gpus,
        };
        let usable = usable.minus(&worker.reserved);
        Resources {
            cpu_millis: free.cpu_millis.min(usable.cpu_millis),
            memory_mb: free.memory_mb.min(usable.memory_mb),
            gpus: free.gpus.min(usable.gpus),
        }
    }

    /// Returns how much of the workers of a pool that accept new runs is in use. Nothing depends on
    /// it without slow workers, so that it is empty then.
    pub(crate) fn pool_use(&self, pool: &PoolName, now: Moment) -> PoolUse {
        let mut pool_use = PoolUse::default();
        if self.slow_workers.speeds.slow_workers().next().is_none() {
            return pool_use;
        }
        let in_pool =
            |worker: &&Worker| worker.registration.pool == *pool && self.accepts_runs(worker, now);
        for worker in self.workers.values().filter(in_pool) {
            pool_use.capacity += worker.registration.capacity;
            pool_use.reserved += worker.reserved;
        }
        pool_use
    }

    /// Returns how long the units of a step may run on a slow worker.
    pub(crate) fn slow_run_limit(
        &self,
        record: &JobRecord,
        step: &Step,
        priority: &SchedulingPriority,
        now: Moment,
    ) -> SlowRunLimit {
        let expected = self.durations.expected(record, step);
        let time_max = match priority.urgency {
            Urgency::LongRunning => Duration::MAX,
            Urgency::InTime => {
                let latest_start = Moment::from_millis(priority.tie_breaker);
                latest_start.saturating_sub(now) + expected
            }
            Urgency::Late => Duration::ZERO,
        };
        SlowRunLimit { expected, time_max }
    }

    /// Measures the speeds of the workers, and moves runs away from slow ones.
    pub(crate) fn review_worker_speeds(&mut self, now: Moment) {
        let is_due = now.saturating_sub(self.slow_workers.reviewed_at) >= REVIEW_PERIOD;
        if !self.settings.policies.enables(Policy::WorkerSpeeds) || !is_due {
            return;
        }
        let mut slow_workers = std::mem::take(&mut self.slow_workers);
        slow_workers.reviewed_at = now;
        let speeds = &mut slow_workers.speeds;
        speeds.retain(|id| self.workers.contains(id));
        for (id, worker) in self.workers.iter() {
            if let Some(reported_at) = worker.last_contact_at()
                && !self.may_be_slow_from_start(worker, reported_at)
            {
                speeds.record_progress(id, self.measurable_runs(worker), reported_at);
            }
        }
        let mut changes = Vec::new();
        for pool in self.config.pools.iter().map(|(name, _)| name) {
            let in_pool =
                |worker: &&Worker| worker.is_registered && worker.registration.pool == *pool;
            let workers = self.workers.values().filter(in_pool);
            changes.extend(speeds.judge(workers.map(|worker| &worker.registration.id), now));
        }
        self.slow_workers = slow_workers;
        self.log_speed_changes(changes);
        self.move_runs_from_slow_workers(now);
    }

    fn log_speed_changes(&mut self, changes: Vec<(WorkerId, SpeedChange)>) {
        for (id, change) in changes {
            match change {
                SpeedChange::Slow { speed_percent, runs } => {
                    let why = format!("speed_percent={speed_percent} runs={runs}");
                    self.log_decision("worker slow", id, why);
                }
                SpeedChange::Normal => self.log_decision("worker normal", id, String::new()),
            }
        }
    }

    /// Returns the progress of the runs that show the speed of their worker. A gang is as slow as
    /// its slowest unit, and best-effort units get the processor time that others leave.
    fn measurable_runs(&self, worker: &Worker) -> Vec<RunProgress> {
        let measurable = |key: &UnitKey| {
            let run = self.run_on(key, &worker.registration.id);
            let run = run.filter(|run| can_be_measured(run))?;
            let record = &self.jobs.get(&key.job)?.record;
            let step = record.steps.get(key.step)?;
            if step.is_gang || step.is_best_effort || step.is_long_running {
                return None;
            }
            Some(RunProgress {
                unit: key.clone(),
                run: run.number,
                percent: run.progress_percent,
                expected: self.durations.measured(record, step)?,
            })
        };
        worker.runs.iter().filter_map(measurable).collect()
    }

    /// Stops runs with a checkpoint whose units will end earlier elsewhere.
    fn move_runs_from_slow_workers(&mut self, now: Moment) {
        let mut moves = std::mem::take(&mut self.slow_workers.moves);
        moves.retain(|moved| self.is_moving(moved, now));
        let slow: Vec<WorkerId> = self.slow_workers.speeds.slow_workers().cloned().collect();
        let mut pools: Vec<PoolName> = slow
            .iter()
            .filter_map(|id| Some(self.workers.get(id)?.registration.pool.clone()))
            .collect();
        pools.sort();
        pools.dedup();
        for pool in pools {
            let in_progress = moves.iter().filter(|moved| moved.pool == pool).count();
            let moves_left = MOVES_MAX.saturating_sub(in_progress);
            for found in self.find_moves(&pool, &slow, moves_left, now) {
                let speed_percent = self.slow_workers.speeds.speed_percent(&found.worker);
                let why =
                    format!("worker={} cause=slow speed_percent={speed_percent}", found.worker);
                self.log_decision("run moved", &found.unit, why);
                self.counts.moved_runs += 1;
                self.request_stop(&found.unit, now);
                moves.push(found);
            }
        }
        self.slow_workers.moves = moves;
    }

    /// Returns true if the unit of a move has no other run yet.
    fn is_moving(&self, moved: &Move, now: Moment) -> bool {
        let is_recent = now.saturating_sub(moved.began_at) < MOVE_TIME_MAX;
        let has_no_other_run = self.unit(&moved.unit).is_some_and(|unit| {
            unit.finish_state == FinishState::Unfinished
                && unit.run.as_ref().is_none_or(|run| run.number == moved.run)
        });
        is_recent && has_no_other_run
    }

    /// Returns at most `count` moves, those that gain most first. For each unit, there is free
    /// capacity on a worker of normal speed.
    fn find_moves(
        &self,
        pool: &PoolName,
        slow: &[WorkerId],
        count: usize,
        now: Moment,
    ) -> Vec<Move> {
        let mut movable = Vec::new();
        let workers = slow.iter().filter_map(|id| self.workers.get(id));
        let is_reachable = |worker: &&Worker| {
            worker.registration.pool == *pool
                && worker.is_in_contact(self.settings.contact_max, now)
        };
        for worker in workers.filter(is_reachable) {
            let id = &worker.registration.id;
            let gains =
                worker.runs.iter().filter_map(|key| Some((self.gain_of_move(id, key)?, key)));
            movable.extend(gains);
        }
        movable.sort_by(|a, b| b.cmp(a));
        if movable.is_empty() || count == 0 {
            return Vec::new();
        }
        let mut candidates = self.candidates(pool, now);
        candidates.exclude_slow_workers();
        candidates.avoids_cold = true;
        let find = |(_, key): (Duration, &UnitKey)| self.find_move(pool, key, &mut candidates, now);
        movable.into_iter().filter_map(find).take(count).collect()
    }

    /// Returns the move of a unit if a candidate has capacity for it, and takes that capacity.
    fn find_move(
        &self,
        pool: &PoolName,
        key: &UnitKey,
        candidates: &mut Candidates,
        now: Moment,
    ) -> Option<Move> {
        let run = self.unit(key)?.run.as_ref()?;
        let step = self.jobs.get(&key.job)?.record.steps.get(key.step)?;
        let history = self.history(key, now);
        let chosen = self.choose(key, step, history, candidates, None, now)?;
        candidates.place(chosen, key, step, history.suspicion);
        Some(Move {
            pool: pool.clone(),
            unit: key.clone(),
            run: run.number,
            worker: run.worker.clone(),
            began_at: now,
        })
    }

    /// Returns how much earlier a unit ends if it moves away from its slow worker; `None` if it
    /// can't move or ends later.
    fn gain_of_move(&self, worker: &WorkerId, key: &UnitKey) -> Option<Duration> {
        let run = self.run_on(key, worker).filter(|run| can_be_measured(run))?;
        let job = self.jobs.get(&key.job)?;
        let step = job.record.steps.get(key.step)?;
        if !step.has_checkpoints || step.is_long_running || step.is_gang || step.is_best_effort {
            return None;
        }
        let expected = self.durations.measured(&job.record, step)?;
        let time_from =
            |percent: u32| expected * FULL_PERCENT.saturating_sub(percent) / FULL_PERCENT;
        let speed_percent = self.slow_workers.speeds.speed_percent(&run.worker).max(1);
        let staying =
            time_from(run.progress_percent).saturating_mul(NORMAL_PERCENT) / speed_percent;
        // The work since the last checkpoint may have to be done again.
        let restart = self.settings.stop_time + RESTART_TIME;
        let moving = time_from(run.checkpoint_percent) + restart;
        staying.checked_sub(moving).filter(|gain| !gain.is_zero())
    }
}

/// Returns true if a run makes progress at the speed of its worker.
fn can_be_measured(run: &Run) -> bool {
    run.phase == Phase::Reported
        && run.stop.is_none()
        && run.speed_limit_percent == FULL_PERCENT
        && run.progress_percent < FULL_PERCENT
}
