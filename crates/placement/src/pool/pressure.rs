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
use crate::peaks::with_margin;
use crate::size::Size;

/// Time that a checkpoint may take before a task that is in the way is stopped without it.
const CHECKPOINT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which the next step may follow.
const STEP_INTERVAL: Duration = Duration::from_secs(10);
/// Time that a task must have been seen for before its reservation shrinks to what it uses.
const SETTLING_TIME: Duration = Duration::from_secs(30);
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
pub(super) struct Escalation {
    cause: Cause,
    step: Step,
    since: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// Room for an urgent job.
    Preemption,
    /// Its worker runs out.
    Pressure,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Checkpointing,
    Throttled,
    Stopping,
}

impl Escalation {
    /// First step for a task that makes room.
    pub(super) fn for_preemption(now: Instant) -> Self {
        Self { cause: Cause::Preemption, step: Step::Checkpointing, since: now }
    }

    fn for_pressure(now: Instant) -> Self {
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
            task.last_usage = Some(report.used);
            task.peak = task.peak.max(&report.used);
            self.update_estimates(index);
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
        for worker in self.failure_history.review(now) {
            self.actions.push(Action::Quarantined { worker });
        }
        if self.failure_history.take_regained_trust(now) {
            self.growth.invalidate_all();
        }
        for worker in 0..self.workers.len() {
            if self.is_overloaded(worker) {
                self.relieve_pressure(worker, now);
            }
        }
        for index in 0..self.tasks.len() {
            self.escalate(index, now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Actions decided since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Learns the kind's size, and sets the reservation to what the task turns out to need.
    fn update_estimates(&mut self, index: usize) {
        let task = &self.tasks[index];
        let job = &task.pending.job;
        let expected = self.expected_size(&job.kind, &job.declared);
        let peak = Size { accelerators: 0, ..task.peak };
        let is_above = !peak.fits_in(&expected);
        let is_settled = task.measured_at.is_some_and(|at| at - task.started_at >= SETTLING_TIME);
        let kind = job.kind.clone();
        if is_above {
            self.peak_history_mut(&kind).record(peak);
        }
        let has_estimate = self.peak_history_mut(&kind).has_estimate();
        let needed =
            Size { accelerators: self.tasks[index].reserved.accelerators, ..with_margin(&peak) };
        let reserved = self.tasks[index].reserved;
        if is_above || (is_settled && has_estimate) {
            let expected = self.expected_size(&kind, &self.tasks[index].pending.job.declared);
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
        self.backlog.record_resize(&job.team, &before, &size);
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
        let seen = tasks.filter_map(|index| self.tasks[index].last_usage);
        let sum = seen.fold(Size::default(), |sum, used| sum.plus(&used));
        sum.memory_mib > worker.spec.capacity.memory_mib
            || sum.processors_milli > worker.spec.capacity.processors_milli
    }

    /// Begins with the tasks that use most above their declared sizes, as many as are needed,
    /// unless some are on their way out already.
    fn relieve_pressure(&mut self, worker: WorkerIndex, now: Instant) {
        let capacity = self.workers[worker].spec.capacity;
        let tasks: Vec<usize> =
            self.workers[worker].tasks.iter().filter_map(|job| self.find_task(job)).collect();
        if tasks.iter().any(|&index| self.tasks[index].escalation.is_some()) {
            return;
        }
        let last_usage = |index: usize| self.tasks[index].last_usage.unwrap_or_default();
        let mut sum = tasks.iter().fold(Size::default(), |sum, &i| sum.plus(&last_usage(i)));
        let mut victims: Vec<(f64, usize)> = tasks
            .into_iter()
            .filter(|&index| self.tasks[index].pending.job.class == Class::Normal)
            .map(|index| {
                let above = last_usage(index).minus(&self.tasks[index].pending.job.declared);
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
            sum = sum.minus(&last_usage(index));
            chosen.push(index);
        }
        for index in chosen {
            self.tasks[index].escalation = Some(Escalation::for_pressure(now));
            let job = self.tasks[index].pending.job.id.clone();
            self.actions.push(Action::Checkpoint { job });
        }
    }

    /// Takes the next step with a task that is on its way to be stopped.
    fn escalate(&mut self, index: usize, now: Instant) {
        let task = &self.tasks[index];
        let Some(escalation) = task.escalation else {
            return;
        };
        let waited = now.saturating_duration_since(escalation.since);
        let job = task.pending.job.id.clone();
        match (escalation.cause, escalation.step) {
            (_, Step::Stopping) => {}
            (Cause::Preemption, _) if task.is_checkpointed => self.stop(index, now),
            (Cause::Preemption, _) if waited < CHECKPOINT_TIMEOUT => {}
            (Cause::Preemption, _) if task.pending.job.idempotent => self.stop(index, now),
            // Without its state the task would be lost, so it stays.
            (Cause::Preemption, _) if waited >= STEP_INTERVAL => {
                self.tasks[index].escalation = None
            }
            (Cause::Preemption, _) => {}
            (Cause::Pressure, _) if !self.is_overloaded(task.worker) => {
                self.cancel_escalation(index)
            }
            (Cause::Pressure, Step::Checkpointing) => {
                if task.is_checkpointed || waited >= STEP_INTERVAL {
                    let step = Step::Throttled;
                    self.tasks[index].escalation =
                        Some(Escalation { step, since: now, ..escalation });
                    self.actions.push(Action::Throttle { job, percent: THROTTLE_PERCENT });
                }
            }
            (Cause::Pressure, Step::Throttled) => {
                let has_fresh_report = task.measured_at.is_some_and(|at| at > escalation.since);
                let may_stop = task.is_checkpointed || task.pending.job.idempotent;
                if has_fresh_report && waited >= STEP_INTERVAL && may_stop {
                    self.stop(index, now);
                }
            }
        }
    }

    /// The worker has room again: the task goes on at full speed.
    fn cancel_escalation(&mut self, index: usize) {
        let task = &mut self.tasks[index];
        let was_throttled = task.escalation.is_some_and(|w| w.step == Step::Throttled);
        task.escalation = None;
        if was_throttled {
            let job = task.pending.job.id.clone();
            self.actions.push(Action::Throttle { job, percent: 100 });
        }
    }

    pub(super) fn stop(&mut self, index: usize, now: Instant) {
        let task = &mut self.tasks[index];
        let cause = task.escalation.map_or(Cause::Pressure, |escalation| escalation.cause);
        task.escalation = Some(Escalation { cause, step: Step::Stopping, since: now });
        let job = task.pending.job.id.clone();
        self.actions.push(Action::Stop { job });
    }
}
