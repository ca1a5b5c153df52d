//! Handles usage reports, and relieves overloaded workers: it checkpoints, throttles and then stops
//! tasks.
//!
//! Usage reports are up to a minute old. A throttled task is stopped only on a report that was
//! measured after the throttling, so that no task is stopped for usage from before it.

use std::time::Duration;
use std::time::Instant;

use model::HostId;

use super::Pool;
use crate::index::WorkerIndex;
use crate::job::Class;
use crate::job::JobId;
use crate::peaks::with_margin;
use crate::size::Size;

/// Time after which a preempted task of an idempotent job is stopped without a checkpoint.
const CHECKPOINT_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum time between two steps under pressure, and time after which the preemption of a task
/// without a checkpoint is abandoned if its job is not idempotent.
const STEP_INTERVAL: Duration = Duration::from_secs(10);
/// Minimum time from the start of a task to its latest usage measurement before its reservation may
/// shrink.
const SETTLING_TIME: Duration = Duration::from_secs(30);
/// Processor time of a throttled task, in percent of its unthrottled one.
const THROTTLE_PERCENT: u32 = 25;

/// Usage of one task, as its worker reports it.
#[derive(Clone, Debug)]
pub struct Usage {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Resources that the task used.
    pub used: Size,
    /// Time of the measurement, which is earlier than that of the report.
    pub measured_at: Instant,
}

/// A command for a running task, or a change of the trust in a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Store a checkpoint of the task, and confirm it with [`Pool::record_checkpoint`].
    Checkpoint {
        /// Job that the task belongs to.
        job: JobId,
    },
    /// Limit the processor time of the task.
    Throttle {
        /// Job that the task belongs to.
        job: JobId,
        /// Processor time in percent of the unthrottled one; 100 ends the limit.
        percent: u32,
    },
    /// Stop the task.
    Stop {
        /// Job that the task belongs to.
        job: JobId,
    },
    /// The worker was quarantined because its tasks fail: it gets none until the quarantine ends.
    Quarantined {
        /// Host of the worker.
        worker: HostId,
    },
}

/// Progress of the steps that lead to the stop of a task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Escalation {
    cause: Cause,
    step: Step,
    /// Time at which the current step started.
    since: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// An urgent job needs the capacity.
    Preemption,
    /// The worker is overloaded.
    Pressure,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Checkpointing,
    Throttled,
    Stopping,
}

impl Escalation {
    /// Starts the steps for a task that is preempted by an urgent job.
    pub(super) fn for_preemption(now: Instant) -> Self {
        Self { cause: Cause::Preemption, step: Step::Checkpointing, since: now }
    }

    /// Starts the steps for a task of an overloaded worker.
    fn for_pressure(now: Instant) -> Self {
        Self { cause: Cause::Pressure, step: Step::Checkpointing, since: now }
    }
}

impl Pool {
    /// Records usage reports, and adapts the reservations of their tasks.
    pub fn record_usage(&mut self, reports: &[Usage]) {
        for report in reports {
            let Some(index) = self.find_task(&report.job) else {
                continue;
            };
            let task = &mut self.tasks[index];
            let is_old = task.measured_at.is_some_and(|last| last >= report.measured_at);
            // A measurement from before the start is about an earlier attempt.
            if is_old || report.measured_at < task.started_at {
                continue;
            }
            task.measured_at = Some(report.measured_at);
            task.last_usage = Some(report.used);
            task.peak = task.peak.max(&report.used);
            self.update_estimates(index);
        }
    }

    /// Records that a checkpoint of a task was stored.
    pub fn record_checkpoint(&mut self, job: &JobId) {
        if let Some(index) = self.find_task(job) {
            self.tasks[index].is_checkpointed = true;
        }
    }

    /// Reviews workers and tasks; returns the actions to be carried out.
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

    /// Returns the actions that were decided since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Updates the size estimate of the kind, and the reservation of the task.
    ///
    /// A reservation grows as soon as usage exceeds the estimate. It shrinks only after
    /// [`SETTLING_TIME`], and only if the size of the kind is estimated.
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

    /// Changes the reservation of a running task.
    fn reserve(&mut self, index: usize, size: Size) {
        let task = &mut self.tasks[index];
        let previous = std::mem::replace(&mut task.reserved, size);
        let (worker, job) = (task.worker, &task.pending.job);
        if job.class == Class::Urgent {
            self.urgent_running = self.urgent_running.minus(&previous).plus(&size);
        }
        self.backlog.record_resize(&job.team, &previous, &size);
        let used = &mut self.workers[worker].used;
        *used = used.minus(&previous).plus(&size);
        self.reindex(worker);
    }

    /// Returns true if the last reported usage of the tasks exceeds the worker's capacity.
    fn is_overloaded(&self, worker: WorkerIndex) -> bool {
        let worker = &self.workers[worker];
        if worker.used.fits_in(&worker.spec.capacity) {
            return false;
        }
        let tasks = worker.tasks.iter().filter_map(|job| self.find_task(job));
        let usages = tasks.filter_map(|index| self.tasks[index].last_usage);
        let sum = usages.fold(Size::default(), |sum, used| sum.plus(&used));
        sum.memory_mib > worker.spec.capacity.memory_mib
            || sum.processors_milli > worker.spec.capacity.processors_milli
    }

    /// Starts to relieve an overloaded worker, unless tasks on it are already being stopped.
    ///
    /// Chooses the tasks of normal jobs with the largest usage above their declared sizes, as many
    /// as are needed.
    fn relieve_pressure(&mut self, worker: WorkerIndex, now: Instant) {
        let capacity = self.workers[worker].spec.capacity;
        let tasks: Vec<usize> =
            self.workers[worker].tasks.iter().filter_map(|job| self.find_task(job)).collect();
        if tasks.iter().any(|&index| self.tasks[index].escalation.is_some()) {
            return;
        }
        let last_usage = |index: usize| self.tasks[index].last_usage.unwrap_or_default();
        let mut sum = tasks.iter().fold(Size::default(), |sum, &i| sum.plus(&last_usage(i)));
        let mut candidates: Vec<(f64, usize)> = tasks
            .into_iter()
            .filter(|&index| self.tasks[index].pending.job.class == Class::Normal)
            .map(|index| {
                let excess = last_usage(index).minus(&self.tasks[index].pending.job.declared);
                (excess.dominant_share(&capacity), index)
            })
            .collect();
        // The largest excess comes first, then the latest start.
        candidates.sort_unstable_by(|a, b| {
            let started = |index: usize| self.tasks[index].started_at;
            b.0.total_cmp(&a.0).then(started(b.1).cmp(&started(a.1)))
        });
        let mut chosen = Vec::new();
        for (_, index) in candidates {
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

    /// Takes the next step with a task that is being stopped.
    fn escalate(&mut self, index: usize, now: Instant) {
        let task = &self.tasks[index];
        let Some(escalation) = task.escalation else {
            return;
        };
        let time_in_step = now.saturating_duration_since(escalation.since);
        let job = task.pending.job.id.clone();
        match (escalation.cause, escalation.step) {
            (_, Step::Stopping) => {}
            (Cause::Preemption, _) if task.is_checkpointed => self.stop(index, now),
            (Cause::Preemption, _) if time_in_step < CHECKPOINT_TIMEOUT => {}
            (Cause::Preemption, _) if task.pending.job.idempotent => self.stop(index, now),
            // Without a checkpoint the work of the task would be lost, so it is not preempted.
            (Cause::Preemption, _) if time_in_step >= STEP_INTERVAL => {
                self.tasks[index].escalation = None
            }
            (Cause::Preemption, _) => {}
            (Cause::Pressure, _) if !self.is_overloaded(task.worker) => {
                self.cancel_escalation(index)
            }
            (Cause::Pressure, Step::Checkpointing) => {
                if task.is_checkpointed || time_in_step >= STEP_INTERVAL {
                    let step = Step::Throttled;
                    self.tasks[index].escalation =
                        Some(Escalation { step, since: now, ..escalation });
                    self.actions.push(Action::Throttle { job, percent: THROTTLE_PERCENT });
                }
            }
            (Cause::Pressure, Step::Throttled) => {
                let has_fresh_report = task.measured_at.is_some_and(|at| at > escalation.since);
                let may_stop = task.is_checkpointed || task.pending.job.idempotent;
                if has_fresh_report && time_in_step >= STEP_INTERVAL && may_stop {
                    self.stop(index, now);
                }
            }
        }
    }

    /// Lets a task continue at full speed, because its worker is no longer overloaded.
    fn cancel_escalation(&mut self, index: usize) {
        let task = &mut self.tasks[index];
        let was_throttled =
            task.escalation.is_some_and(|escalation| escalation.step == Step::Throttled);
        task.escalation = None;
        if was_throttled {
            let job = task.pending.job.id.clone();
            self.actions.push(Action::Throttle { job, percent: 100 });
        }
    }

    /// Commands the worker to stop a task.
    pub(super) fn stop(&mut self, index: usize, now: Instant) {
        let task = &mut self.tasks[index];
        let cause = task.escalation.map_or(Cause::Pressure, |escalation| escalation.cause);
        task.escalation = Some(Escalation { cause, step: Step::Stopping, since: now });
        let job = task.pending.job.id.clone();
        self.actions.push(Action::Stop { job });
    }
}
