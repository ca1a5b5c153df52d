//! Handles outcomes of tasks, lost workers and cancellations.

use std::fmt;
use std::time::Instant;

use model::HostId;
use serde::Deserialize;
use serde::Serialize;

use super::Pool;
use super::RunningTask;
use super::holds::PREEMPTIONS_MAX;
use crate::failure_history::ResultStatus;
use crate::job::JobId;
use crate::job::PendingJob;
use crate::size::Size;

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskOutcome {
    /// The task succeeded.
    Succeeded,
    /// The task failed.
    Failed,
    /// The worker has not started the task and can't start it any more.
    NotStarted,
    /// The task was stopped by a command.
    Stopped,
    /// The outcome is unknown, because the lease expired or the worker was lost.
    Lost,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobOutcome {
    /// An attempt succeeded.
    Succeeded,
    /// The last attempt failed or could not be started.
    Failed,
    /// The caller cancelled the job before it ran, or while it ran.
    Cancelled,
    /// Its task was stopped to free capacity and can't be started again.
    Stopped,
    /// It may have run, and must not run again because it is not idempotent or has no attempts
    /// left.
    Unknown,
    /// Several workers were lost while they ran it.
    Harmful,
}

impl fmt::Display for JobOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Succeeded => "succeeded",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
            Self::Stopped => "stopped",
            Self::Unknown => "unknown",
            Self::Harmful => "harmful",
        })
    }
}

/// What happens to a job after one of its tasks has ended.
#[derive(Clone, Debug)]
pub enum Disposition {
    /// The job waits for another attempt.
    Requeued {
        /// The job in its new state.
        pending: PendingJob,
    },
    /// The job has ended.
    Finished {
        /// The job with its final counts.
        pending: PendingJob,
        /// How the job ended.
        outcome: JobOutcome,
    },
}

/// Result of a cancellation.
#[derive(Clone, Debug, Default)]
pub struct Cancelled {
    /// Jobs that were waiting; they don't run any more.
    pub waiting: Vec<PendingJob>,
    /// Jobs that are running; their tasks are being stopped.
    pub running: Vec<JobId>,
}

impl Pool {
    /// Handles the outcome of a job's task; returns `None` if the job has no running task.
    pub fn finish_task(
        &mut self,
        job: &JobId,
        outcome: TaskOutcome,
        now: Instant,
    ) -> Option<Disposition> {
        let index = self.find_task(job)?;
        let task = self.remove_task(index);
        let worker = self.workers[task.worker].spec.id.clone();
        let status = match outcome {
            TaskOutcome::Succeeded => Some(ResultStatus::Succeeded),
            TaskOutcome::Failed | TaskOutcome::NotStarted => Some(ResultStatus::Failed),
            TaskOutcome::Stopped | TaskOutcome::Lost => None,
        };
        let kind = task.pending.job.kind.clone();
        if let Some(status) = status
            && self.failure_history.record(&worker, &kind, job, status, now)
        {
            self.actions.push(super::Action::Quarantined { worker: worker.clone() });
        }
        if outcome == TaskOutcome::Succeeded && task.measured_at.is_some() {
            self.peak_history_mut(&kind).record(Size { accelerators: 0, ..task.peak });
        }
        let disposition = self.disposition(task, outcome, &worker, now);
        if let Disposition::Requeued { pending } = &disposition {
            self.backlog.push_front(pending.clone());
        }
        Some(disposition)
    }

    /// Handles the loss of a worker with all its tasks.
    pub fn handle_worker_loss(&mut self, worker: &HostId, now: Instant) -> Vec<Disposition> {
        let jobs = self.tasks_on(worker).to_vec();
        self.losses.record(worker, jobs.clone(), now);
        jobs.iter().filter_map(|job| self.finish_task(job, TaskOutcome::Lost, now)).collect()
    }

    /// Cancels jobs in one pass.
    ///
    /// Tasks that run are stopped; their outcomes must be passed to [`Self::finish_task`] as usual.
    pub fn cancel(&mut self, mut jobs: Vec<JobId>, now: Instant) -> Cancelled {
        jobs.sort_unstable();
        let waiting = self.backlog.remove_all(&jobs);
        let mut running = Vec::new();
        for job in jobs {
            if let Some(index) = self.find_task(&job) {
                self.tasks[index].is_cancelled = true;
                self.stop(index, now);
                running.push(job);
            }
        }
        Cancelled { waiting, running }
    }

    /// Puts a job back into the queue whose task was not started; the attempt doesn't count.
    pub fn requeue_unstarted(&mut self, job: &JobId) {
        if let Some(index) = self.find_task(job) {
            let mut pending = self.remove_task(index).pending;
            pending.attempts -= 1;
            self.backlog.push_front(pending);
        }
    }

    /// Decides whether a job is finished or runs again.
    fn disposition(
        &self,
        task: RunningTask,
        outcome: TaskOutcome,
        worker: &HostId,
        now: Instant,
    ) -> Disposition {
        let mut pending = task.pending;
        let job = &pending.job;
        // The first `PREEMPTIONS_MAX` stops don't count as attempts.
        let is_free_preemption =
            outcome == TaskOutcome::Stopped && pending.preemptions < PREEMPTIONS_MAX;
        let has_attempts = is_free_preemption || pending.attempts < job.attempts_max;
        let may_succeed = !self.failure_history.always_fails(&job.kind);
        let is_lost = outcome == TaskOutcome::Lost;
        let losses = pending.losses + u32::from(is_lost);
        let is_harmful = is_lost && self.losses.is_harmful(&job.id, losses);
        let job_outcome = match outcome {
            TaskOutcome::Succeeded => Some(JobOutcome::Succeeded),
            _ if task.is_cancelled && outcome != TaskOutcome::Lost => Some(JobOutcome::Cancelled),
            _ if is_harmful => Some(JobOutcome::Harmful),
            // A stop is no failure of the task, so it runs again if that is possible.
            TaskOutcome::Stopped if has_attempts && (job.idempotent || task.is_checkpointed) => {
                None
            }
            TaskOutcome::Stopped => Some(JobOutcome::Stopped),
            TaskOutcome::NotStarted if has_attempts => None,
            TaskOutcome::Failed if has_attempts && may_succeed && job.idempotent => None,
            TaskOutcome::Failed | TaskOutcome::NotStarted => Some(JobOutcome::Failed),
            TaskOutcome::Lost if task.is_cancelled && job.idempotent => Some(JobOutcome::Cancelled),
            TaskOutcome::Lost if has_attempts && job.idempotent => None,
            TaskOutcome::Lost => Some(JobOutcome::Unknown),
        };
        pending.losses = losses;
        if let Some(outcome) = job_outcome {
            return Disposition::Finished { pending, outcome };
        }
        match outcome {
            TaskOutcome::Stopped => {
                if pending.preemptions < PREEMPTIONS_MAX {
                    pending.attempts -= 1;
                }
                pending.preemptions += 1;
            }
            _ => pending.exclude_worker(worker),
        }
        pending.waiting_since = now;
        Disposition::Requeued { pending }
    }

    /// Removes a running task and frees its reservation.
    fn remove_task(&mut self, index: usize) -> RunningTask {
        let task = *self.tasks.remove(index);
        let job = &task.pending.job;
        let worker = &mut self.workers[task.worker];
        worker.used = worker.used.minus(&task.reserved);
        if let Ok(position) = worker.tasks.binary_search(&job.id) {
            worker.tasks.remove(position);
        }
        let (zone, rack) = (worker.zone, worker.rack);
        self.spread.remove(job, zone, rack);
        self.backlog.record_end(&job.team, &task.reserved);
        if job.class == crate::job::Class::Urgent {
            self.urgent_running = self.urgent_running.minus(&task.reserved);
        }
        self.reindex(task.worker);
        task
    }
}
