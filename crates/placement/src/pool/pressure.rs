//! Usage reports, and what is done about workers that run out: checkpoint, throttle, then stop.
//!
//! Reports lag by up to a minute. A step is followed by the next one only on a report that was
//! measured after it, so that no task pays for what was so before.

use std::time::Duration;
use std::time::Instant;

use model::HostId;

use super::Pool;
use crate::index::WorkerIndex;
use crate::job::Class;
use crate::job::JobId;
use crate::learn::margin;
use crate::size::Size;

/// Time that a checkpoint may take before a task that is in the way is stopped without it.
const CHECKPOINT_WAIT: Duration = Duration::from_secs(1);
/// Time after which the next step may follow.
const STEP_WAIT: Duration = Duration::from_secs(10);
/// Time that a task must have been seen for before its reservation shrinks to what it uses.
const SETTLE: Duration = Duration::from_secs(30);
/// Processor time that a throttled task keeps, in percent.
const THROTTLE_PERCENT: u32 = 25;

/// What a worker says about one task.
#[derive(Clone, Debug)]
pub struct Usage {
    /// Job.
    pub job: JobId,
    /// What it used.
    pub used: Size,
    /// When; before the report came.
    pub measured_at: Instant,
}

/// Something to be done to a running task, or a change of a worker's standing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Save the task's state; report it by [`Pool::record_checkpoint`].
    Checkpoint {
        /// Job.
        job: JobId,
    },
    /// Slow the task down.
    Throttle {
        /// Job.
        job: JobId,
        /// Processor time that it keeps, in percent.
        percent: u32,
    },
    /// Stop the task.
    Stop {
        /// Job.
        job: JobId,
    },
    /// The worker gets no tasks until it has shown that it can run them.
    Quarantined {
        /// Worker.
        worker: HostId,
    },
}

/// How far a task is on its way to be stopped.
#[derive(Clone, Copy, Debug)]
pub(super) struct Winding {
    cause: Cause,
    step: Step,
    since: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// Room for an urgent job.
    Displaced,
    /// Its worker runs out.
    Pressure,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Checkpointing,
    Throttled,
    Stopping,
}

impl Winding {
    /// First step for a task that makes room.
    pub(super) fn displace(now: Instant) -> Self {
        Self { cause: Cause::Displaced, step: Step::Checkpointing, since: now }
    }

    fn relieve(now: Instant) -> Self {
        Self { cause: Cause::Pressure, step: Step::Checkpointing, since: now }
    }
}

impl Pool {
    /// Takes in a usage report.
    pub fn record_usage(&mut self, reports: &[Usage]) {
        for report in reports {
            let Some(index) = self.find_task(&report.job) else {
                continue;
            };
            let task = &mut self.tasks[index];
            let is_old = task.measured_at.is_some_and(|seen| seen >= report.measured_at);
            // A report from before the start is about an earlier attempt.
            if is_old || report.measured_at < task.started_at {
                continue;
            }
            task.measured_at = Some(report.measured_at);
            task.observed = Some(report.used);
            task.peak = task.peak.max(&report.used);
            self.learn_from(index);
        }
    }

    /// The state of a task was saved.
    pub fn record_checkpoint(&mut self, job: &JobId) {
        if let Some(index) = self.find_task(job) {
            self.tasks[index].is_checkpointed = true;
        }
    }

    /// Reviews workers and tasks; returns what is to be done.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        for worker in self.evidence.review(now) {
            self.actions.push(Action::Quarantined { worker });
        }
        if self.evidence.take_regained(now) {
            self.growth.add_all();
        }
        for worker in 0..self.workers.len() {
            if self.is_overloaded(worker) {
                self.relieve(worker, now);
            }
        }
        for index in 0..self.tasks.len() {
            self.step(index, now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Actions decided since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Learns the kind's size, and sets the reservation to what the task turns out to need.
    fn learn_from(&mut self, index: usize) {
        let task = &self.tasks[index];
        let job = &task.pending.job;
        let expected = self.size_of(&job.kind, &job.declared);
        let peak = Size { accelerators: 0, ..task.peak };
        let is_above = !peak.fits_in(&expected);
        let is_settled = task.measured_at.is_some_and(|at| at - task.started_at >= SETTLE);
        let kind = job.kind.clone();
        if is_above {
            self.peaks_mut(&kind).add(peak);
        }
        let is_learnt = self.peaks_mut(&kind).is_learnt();
        let needed =
            Size { accelerators: self.tasks[index].reserved.accelerators, ..margin(&peak) };
        let reserved = self.tasks[index].reserved;
        if is_above || (is_settled && is_learnt) {
            let expected = self.size_of(&kind, &self.tasks[index].pending.job.declared);
            let floor = if is_settled { expected } else { reserved };
            self.reserve(index, floor.max(&needed));
        }
    }

    fn reserve(&mut self, index: usize, size: Size) {
        let task = &mut self.tasks[index];
        let before = std::mem::replace(&mut task.reserved, size);
        let (worker, job) = (task.worker, &task.pending.job);
        if job.class == Class::Urgent {
            self.urgent_running = self.urgent_running.minus(&before).plus(&size);
        }
        self.backlog.resized(&job.team, &before, &size);
        let used = &mut self.workers[worker].used;
        *used = used.minus(&before).plus(&size);
        self.reindex(worker);
    }

    /// True if what the tasks were last seen to use is more than the worker has.
    fn is_overloaded(&self, worker: WorkerIndex) -> bool {
        let worker = &self.workers[worker];
        if worker.used.fits_in(&worker.spec.capacity) {
            return false;
        }
        let tasks = worker.tasks.iter().filter_map(|job| self.find_task(job));
        let seen = tasks.filter_map(|index| self.tasks[index].observed);
        let sum = seen.fold(Size::default(), |sum, used| sum.plus(&used));
        sum.memory_mib > worker.spec.capacity.memory_mib
            || sum.processors_milli > worker.spec.capacity.processors_milli
    }

    /// Begins with the tasks that use most above their declared sizes, as many as are needed,
    /// unless some are on their way out already.
    fn relieve(&mut self, worker: WorkerIndex, now: Instant) {
        let capacity = self.workers[worker].spec.capacity;
        let tasks: Vec<usize> =
            self.workers[worker].tasks.iter().filter_map(|job| self.find_task(job)).collect();
        if tasks.iter().any(|&index| self.tasks[index].winding.is_some()) {
            return;
        }
        let observed = |index: usize| self.tasks[index].observed.unwrap_or_default();
        let mut sum = tasks.iter().fold(Size::default(), |sum, &i| sum.plus(&observed(i)));
        let mut victims: Vec<(f64, usize)> = tasks
            .into_iter()
            .filter(|&index| self.tasks[index].pending.job.class == Class::Normal)
            .map(|index| {
                let above = observed(index).minus(&self.tasks[index].pending.job.declared);
                (above.dominant_share(&capacity), index)
            })
            .collect();
        // Largest excess first, then latest start.
        victims.sort_unstable_by(|a, b| {
            let started = |index: usize| self.tasks[index].started_at;
            b.0.total_cmp(&a.0).then(started(b.1).cmp(&started(a.1)))
        });
        let mut chosen = Vec::new();
        for (_, index) in victims {
            if sum.minus(&Size { accelerators: 0, ..capacity }) == Size::default() {
                break;
            }
            sum = sum.minus(&observed(index));
            chosen.push(index);
        }
        for index in chosen {
            self.tasks[index].winding = Some(Winding::relieve(now));
            let job = self.tasks[index].pending.job.id.clone();
            self.actions.push(Action::Checkpoint { job });
        }
    }

    /// Takes the next step with a task that is on its way to be stopped.
    fn step(&mut self, index: usize, now: Instant) {
        let task = &self.tasks[index];
        let Some(winding) = task.winding else {
            return;
        };
        let waited = now.saturating_duration_since(winding.since);
        let job = task.pending.job.id.clone();
        match (winding.cause, winding.step) {
            (_, Step::Stopping) => {}
            (Cause::Displaced, _) if task.is_checkpointed => self.stop(index, now),
            (Cause::Displaced, _) if waited < CHECKPOINT_WAIT => {}
            (Cause::Displaced, _) if task.pending.job.idempotent => self.stop(index, now),
            // Without its state the task would be lost, so it stays.
            (Cause::Displaced, _) if waited >= STEP_WAIT => self.tasks[index].winding = None,
            (Cause::Displaced, _) => {}
            (Cause::Pressure, _) if !self.is_overloaded(task.worker) => self.spare(index),
            (Cause::Pressure, Step::Checkpointing) => {
                if task.is_checkpointed || waited >= STEP_WAIT {
                    let step = Step::Throttled;
                    self.tasks[index].winding = Some(Winding { step, since: now, ..winding });
                    self.actions.push(Action::Throttle { job, percent: THROTTLE_PERCENT });
                }
            }
            (Cause::Pressure, Step::Throttled) => {
                let seen_since = task.measured_at.is_some_and(|at| at > winding.since);
                let may_stop = task.is_checkpointed || task.pending.job.idempotent;
                if seen_since && waited >= STEP_WAIT && may_stop {
                    self.stop(index, now);
                }
            }
        }
    }

    /// The worker has room again: the task goes on at full speed.
    fn spare(&mut self, index: usize) {
        let task = &mut self.tasks[index];
        let was_throttled = task.winding.is_some_and(|w| w.step == Step::Throttled);
        task.winding = None;
        if was_throttled {
            let job = task.pending.job.id.clone();
            self.actions.push(Action::Throttle { job, percent: 100 });
        }
    }

    pub(super) fn stop(&mut self, index: usize, now: Instant) {
        let task = &mut self.tasks[index];
        let cause = task.winding.map_or(Cause::Pressure, |winding| winding.cause);
        task.winding = Some(Winding { cause, step: Step::Stopping, since: now });
        let job = task.pending.job.id.clone();
        self.actions.push(Action::Stop { job });
    }
}
