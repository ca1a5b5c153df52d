//! Writes of a holder to the table, in groups under the precondition of its duty.

use std::time::Duration;
use std::time::Instant;

use model::OperationId;
use placement::AnyTask;
use placement::JobId;
use placement::JobOutcome;
use placement::PendingJob;
use placement::Placement;
use placement::Task;
use placement::task::TaskId;
use services::FinalOutcome;
use services::Write;

use super::Holder;
use super::JobEntry;
use super::Lease;
use crate::place::rows;
use crate::shared::Shared;

/// Number of pending writes at or above which no further task is placed. Writes that belong
/// together may exceed it.
const GROUP_WRITES_MAX: usize = 128;
/// Longest time to wait for the outcome of a transaction; after it, the outcome is resolved later.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Pending writes, and the actions that follow once they are committed.
#[derive(Default)]
pub struct Store {
    waiting: Group,
    /// Group of a transaction whose outcome is unknown.
    unresolved: Option<(OperationId, Group)>,
}

/// Writes of one transaction, and the actions that are allowed once it is committed.
#[derive(Default)]
struct Group {
    writes: Vec<Write>,
    /// Jobs whose leases are among the writes, and whose tasks are started afterwards.
    starts: Vec<JobId>,
    /// Tasks whose outcomes are among the writes, with their workers, which may then forget them.
    finished: Vec<(model::HostId, TaskId)>,
}

impl Store {
    /// Returns true if the outcome of the last transaction is known and fewer than
    /// [`GROUP_WRITES_MAX`] writes are pending.
    pub fn is_settled(&self) -> bool {
        self.unresolved.is_none() && self.waiting.writes.len() < GROUP_WRITES_MAX
    }

    /// Returns true while a planned lease may not be committed yet.
    pub fn has_unstored_leases(&self) -> bool {
        self.unresolved.is_some() || !self.waiting.starts.is_empty()
    }

    /// Plans the removal of the inbox message of a new job.
    pub fn remove_submission(&mut self, job: &JobId) {
        self.waiting.writes.push(Write::Delete { key: rows::submission_key(job) });
    }

    /// Plans the removal of the inbox message of a cancellation.
    pub fn remove_cancellation(&mut self, job: &JobId) {
        self.waiting.writes.push(Write::Delete { key: rows::cancellation_key(job) });
    }
}

impl Holder {
    /// Plans the write of the lease of a placed task.
    pub(super) fn plan_lease(&mut self, placed: Placement) {
        let job = placed.pending.job.id.clone();
        let Ok(index) = self.find(&job) else {
            return;
        };
        let boot =
            self.find_worker(&placed.worker).map_or(0, |index| self.worker_states[index].boot);
        let entry = &mut self.entries[index];
        let AnyTask::Waiting(task) = entry.stored.task.clone() else {
            return;
        };
        let leased = task.lease(placed.worker.clone(), self.duty.epoch, boot, placed.size);
        entry.lease = Some(Lease { worker: placed.worker, task: leased.task_id(), boot });
        entry.has_token = true;
        entry.stored.task = AnyTask::Leased(leased);
        self.store.waiting.writes.push(Write::put_json(rows::live_key(&job), &entry.stored));
        self.store.waiting.starts.push(job);
    }

    /// Plans the write of a job that waits for another attempt.
    pub(super) fn requeue(&mut self, pending: &PendingJob) {
        let Ok(index) = self.find(&pending.job.id) else {
            return;
        };
        self.end_lease(index);
        let stored = &mut self.entries[index].stored;
        stored.task = AnyTask::Waiting(Task::requeued(pending));
        let write = Write::put_json(rows::live_key(&pending.job.id), stored);
        self.store.waiting.writes.push(write);
    }

    /// Plans the writes that finish a job, and records its outcome as an event.
    pub(super) fn finish_job(&mut self, pending: &PendingJob, outcome: JobOutcome) {
        let Ok(index) = self.find(&pending.job.id) else {
            return;
        };
        self.end_lease(index);
        let JobEntry { mut stored, .. } = self.entries.remove(index);
        stored.task = AnyTask::Ended(Task::requeued(pending).finish(outcome));
        self.store.waiting.writes.extend(rows::finish_writes(&stored));
        self.record(&pending.job.id, &outcome.to_string(), None);
    }

    /// Releases the token of a job whose task has ended, and plans that its worker forgets the
    /// task.
    fn end_lease(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        if let Some(lease) = entry.lease.take() {
            self.store.waiting.finished.push((lease.worker, lease.task));
        }
        if std::mem::take(&mut entry.has_token) {
            self.release_token(self.entries[index].stored.job());
        }
    }

    /// Commits the pending writes, and starts the tasks whose leases are committed. Returns false
    /// if the duty is lost.
    pub(super) async fn flush(&mut self) -> bool {
        let table = self.shared.platform.table.clone();
        if let Some((operation, group)) = self.store.unresolved.take() {
            match self.shared.committer.resolve(&*table, &operation).await {
                None => {
                    self.store.unresolved = Some((operation, group));
                    return true;
                }
                Some(true) => self.handle_commit(group).await,
                // The group was not committed: its writes come first in the next one.
                Some(false) => self.store.prepend(group),
            }
        }
        if self.store.waiting.writes.is_empty() {
            return true;
        }
        let group = std::mem::take(&mut self.store.waiting);
        let preconditions = vec![self.duty.precondition()];
        let writes = group.writes.clone();
        let committer = &self.shared.committer;
        match committer.commit(&*table, preconditions, writes, SETTLE_TIMEOUT).await {
            FinalOutcome::Committed => {
                self.shared.telemetry.count("placement.commit");
                self.handle_commit(group).await;
                true
            }
            FinalOutcome::Conflict { .. } => {
                self.shared.telemetry.count("placement.superseded");
                false
            }
            FinalOutcome::Refused { .. } => {
                self.store.prepend(group);
                true
            }
            FinalOutcome::Unknown { operation_id } => {
                self.store.unresolved = Some((operation_id, group));
                true
            }
        }
    }

    async fn handle_commit(&mut self, group: Group) {
        for (worker, task) in group.finished {
            if let Some(index) = self.find_worker(&worker) {
                self.worker_states[index].acknowledged.push(task);
            }
        }
        for job in &group.starts {
            self.record_start(job);
        }
        self.start(&group.starts).await;
    }

    fn record_start(&self, job: &JobId) {
        if let Ok(index) = self.find(job)
            && let Some(lease) = &self.entries[index].lease
        {
            self.record(job, "leased", Some(lease.worker.clone()));
        }
    }

    fn record(&self, job: &JobId, state: &str, host: Option<model::HostId>) {
        self.shared.telemetry.count(&format!("task.{state}"));
        let kind =
            events::EventKind::TaskStep { job: job.to_string(), state: state.to_owned(), host };
        self.shared.events.record(kind, std::time::SystemTime::now());
    }

    /// Returns true if this node may not act on its duty now.
    pub(super) fn may_not_act(&self) -> bool {
        self.shared.duty(&self.duty.name, Instant::now()).is_none()
    }
}

impl Store {
    fn prepend(&mut self, mut group: Group) {
        group.writes.append(&mut self.waiting.writes);
        group.starts.append(&mut self.waiting.starts);
        group.finished.append(&mut self.waiting.finished);
        self.waiting = group;
    }
}

/// Returns false only if the table shows that the job has finished or waits.
pub async fn may_run(shared: &Shared, job: &JobId) -> bool {
    let Ok(row) = shared.platform.table.get(&rows::live_key(job)).await else {
        return true;
    };
    let Some(row) = row else {
        return false;
    };
    rows::decode(&row).map_or(true, |stored| matches!(stored.task, AnyTask::Leased(_)))
}
