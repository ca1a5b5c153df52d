//! Ends of tasks, lost workers and cancellations.

use std::fmt;
use std::time::Instant;

use model::HostId;
use serde::Deserialize;
use serde::Serialize;

use super::Pool;
use super::Task;
use super::urgent::DISPLACED_MAX;
use crate::evidence::Verdict;
use crate::job::JobId;
use crate::job::PendingJob;
use crate::size::Size;

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskOutcome {
    /// It did what it should.
    Succeeded,
    /// It failed.
    Failed,
    /// The worker has not started it and never will.
    NotStarted,
    /// It was stopped on request.
    Stopped,
    /// Nobody knows: its lease lapsed, or its worker is gone.
    Lost,
}

/// Final state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobOutcome {
    /// It did what it should.
    Succeeded,
    /// Its last attempt failed.
    Failed,
    /// It has not run, or was stopped, on the caller's request.
    Cancelled,
    /// It was stopped and cannot be started again.
    Stopped,
    /// It may have run, and must not run again.
    Unknown,
    /// It took down each worker that it ran on.
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

/// What becomes of a job after a task of it has ended.
#[derive(Clone, Debug)]
pub enum Disposition {
    /// It waits for another attempt.
    Requeued {
        /// The job.
        pending: PendingJob,
    },
    /// It is over.
    Finished {
        /// The job.
        pending: PendingJob,
        /// How.
        outcome: JobOutcome,
    },
}

/// What became of cancelled jobs.
#[derive(Clone, Debug, Default)]
pub struct Cancelled {
    /// They waited, and never run.
    pub waiting: Vec<PendingJob>,
    /// They run, and are being stopped.
    pub running: Vec<JobId>,
}

impl Pool {
    /// A task has ended; `None` if the job has none.
    pub fn finish_task(
        &mut self,
        job: &JobId,
        end: TaskOutcome,
        now: Instant,
    ) -> Option<Disposition> {
        let index = self.find_task(job)?;
        let task = self.remove(index);
        let worker = self.workers[task.worker].spec.id.clone();
        let verdict = match end {
            TaskOutcome::Succeeded => Some(Verdict::Succeeded),
            TaskOutcome::Failed | TaskOutcome::NotStarted => Some(Verdict::Failed),
            TaskOutcome::Stopped | TaskOutcome::Lost => None,
        };
        let kind = task.pending.job.kind.clone();
        if let Some(verdict) = verdict
            && self.evidence.add(&worker, &kind, job, verdict, now)
        {
            self.actions.push(super::Action::Quarantined { worker: worker.clone() });
        }
        if end == TaskOutcome::Succeeded && task.measured_at.is_some() {
            self.peaks_mut(&kind).add(Size { accelerators: 0, ..task.peak });
        }
        let after = self.after(task, end, &worker, now);
        if let Disposition::Requeued { pending } = &after {
            self.backlog.push_front(pending.clone());
        }
        Some(after)
    }

    /// A worker is gone with all its tasks.
    pub fn handle_worker_loss(&mut self, worker: &HostId, now: Instant) -> Vec<Disposition> {
        let jobs = self.tasks_on(worker).to_vec();
        self.losses.add(worker, jobs.clone(), now);
        jobs.iter().filter_map(|job| self.finish_task(job, TaskOutcome::Lost, now)).collect()
    }

    /// Cancels jobs in one pass; running ones are stopped, and end by [`Self::finish_task`].
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

    /// Takes back a job whose task was never started; the attempt does not count.
    pub fn requeue_unstarted(&mut self, job: &JobId) {
        if let Some(index) = self.find_task(job) {
            let mut pending = self.remove(index).pending;
            pending.attempts -= 1;
            self.backlog.push_front(pending);
        }
    }

    fn after(&self, task: Task, end: TaskOutcome, worker: &HostId, now: Instant) -> Disposition {
        let mut pending = task.pending;
        let job = &pending.job;
        // The first few stops cost no attempt.
        let is_spared = end == TaskOutcome::Stopped && pending.preemptions < DISPLACED_MAX;
        let has_attempts = is_spared || pending.attempts < job.attempts_max;
        let may_succeed = !self.evidence.is_hopeless(&job.kind);
        let is_harmful = end == TaskOutcome::Lost && self.losses.is_harmful(&job.id);
        let outcome = match end {
            TaskOutcome::Succeeded => Some(JobOutcome::Succeeded),
            _ if task.is_cancelled && end != TaskOutcome::Lost => Some(JobOutcome::Cancelled),
            _ if is_harmful => Some(JobOutcome::Harmful),
            // A stopped task has done nothing wrong.
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
        if let Some(outcome) = outcome {
            return Disposition::Finished { pending, outcome };
        }
        match end {
            TaskOutcome::Stopped => {
                if pending.preemptions < DISPLACED_MAX {
                    pending.attempts -= 1;
                }
                pending.preemptions += 1;
            }
            _ => pending.exclude_worker(worker),
        }
        pending.since = now;
        Disposition::Requeued { pending }
    }

    fn remove(&mut self, index: usize) -> Task {
        let task = *self.tasks.remove(index);
        let job = &task.pending.job;
        let worker = &mut self.workers[task.worker];
        worker.used = worker.used.minus(&task.reserved);
        if let Ok(position) = worker.tasks.binary_search(&job.id) {
            worker.tasks.remove(position);
        }
        let (zone, rack) = (worker.zone, worker.rack);
        self.spread.remove(job, zone, rack);
        self.backlog.ended(&job.team, &task.reserved);
        if job.class == crate::job::Class::Urgent {
            self.urgent_running = self.urgent_running.minus(&task.reserved);
        }
        self.reindex(task.worker);
        task
    }
}
