//! Rebuilds a pool's state after a takeover, from the table and the reports of the workers.

use std::time::Instant;

use limits::LimitKey;
use model::HostId;
use placement::AnyTask;
use placement::AttemptState;
use placement::PendingJob;
use placement::Recovery;
use placement::protocol::WorkerReply;
use placement::protocol::WorkerReport;
use placement::recover;
use services::Row;
use services::Scan;
use services::Unavailable;

use super::Holder;
use super::JobEntry;
use super::Lease;
use crate::place::rows;
use crate::place::rows::StoredJob;

/// Report of a worker during the takeover.
type ReceivedReport = (HostId, WorkerReport);

impl Holder {
    /// Takes over the pool. Returns false if the table could not be read.
    pub(super) async fn take_over(&mut self) -> bool {
        self.took_over_at = Instant::now();
        let Ok(stored) = self.read_jobs().await else {
            return false;
        };
        self.update_workers();
        self.entries = stored.into_iter().map(to_entry).collect();
        self.entries.sort_by(|a, b| a.stored.job().id.cmp(&b.stored.job().id));
        // The workers reject calls of earlier epochs once they get the call below.
        let mut reports: Vec<ReceivedReport> = Vec::new();
        let replies = if self.entries.iter().any(|entry| entry.lease.is_some()) {
            self.renew_all().await
        } else {
            Vec::new()
        };
        for (worker, reply) in replies {
            if let Ok(WorkerReply::Done { report }) = reply {
                if let Some(index) = self.find_worker(&worker) {
                    self.worker_states[index].boot = report.boot;
                    self.worker_states[index].last_contact_at = Some(self.took_over_at);
                }
                reports.push((worker, report));
            }
        }
        self.update_workers();
        for job in self.entries.iter().map(|e| e.stored.job().id.clone()).collect::<Vec<_>>() {
            self.recover_job(&job, &reports);
        }
        true
    }

    fn recover_job(&mut self, job: &placement::JobId, reports: &[ReceivedReport]) {
        let Ok(index) = self.find(job) else {
            return;
        };
        let stored = self.entries[index].stored.clone();
        let attempt_state = self.attempt_state(index, reports);
        let recovery = recover(&stored.task, attempt_state, false);
        let AnyTask::Leased(task) = stored.task else {
            if let Some(pending) = to_pending_job(&stored) {
                // The pool may be full; it then keeps the jobs that it has.
                let _ = self.pool.submit(pending);
            }
            return;
        };
        let worker = task.state.worker.clone();
        let reserved = task.state.reserved;
        self.entries[index].has_token =
            self.shared.limits.try_acquire(&LimitKey::Running(task.job.team.clone()));
        self.pool.adopt(task.to_pending_job(Instant::now()), &worker, reserved, Instant::now());
        match recovery {
            Recovery::Requeue => {
                self.pool.requeue_unstarted(job);
                let pending = task.revert_lease().to_pending_job(Instant::now());
                self.requeue(&pending);
            }
            // The next report of the worker finishes the task.
            Recovery::Finish(_) | Recovery::Adopt | Recovery::Wait => {}
            Recovery::Submit | Recovery::Ignore => {}
        }
    }

    fn attempt_state(&self, index: usize, reports: &[ReceivedReport]) -> AttemptState {
        let Some(lease) = &self.entries[index].lease else {
            return AttemptState::NeverStarted;
        };
        let Some((_, report)) = reports.iter().find(|(worker, _)| *worker == lease.worker) else {
            return AttemptState::Unreachable;
        };
        match report.tasks.iter().find(|task| task.task == lease.task) {
            Some(task) => task.outcome.map_or(AttemptState::Running, AttemptState::Ended),
            // The worker has restarted and forgotten the task; the next report ends it as lost.
            None if report.boot != lease.boot => AttemptState::Unreachable,
            None => AttemptState::NeverStarted,
        }
    }

    async fn read_jobs(&self) -> Result<Vec<StoredJob>, Unavailable> {
        let prefix = rows::live_prefix(&self.pool_name);
        let mut rows: Vec<Row> = Vec::new();
        loop {
            let after = rows.last().map(|row| row.key.clone());
            let scan = Scan { after, ..Scan::prefix(&prefix) };
            let page = self.shared.platform.table.scan(scan).await?;
            if page.is_empty() {
                break;
            }
            rows.extend(page);
        }
        rows.iter().map(rows::decode).collect()
    }
}

/// Returns the pending job of a row; `None` unless the job waits.
pub fn to_pending_job(stored: &StoredJob) -> Option<PendingJob> {
    match &stored.task {
        AnyTask::Waiting(task) => Some(task.to_pending_job(Instant::now())),
        AnyTask::Leased(_) | AnyTask::Ended(_) => None,
    }
}

fn to_entry(stored: StoredJob) -> JobEntry {
    let lease = match &stored.task {
        AnyTask::Leased(task) => Some(Lease {
            worker: task.state.worker.clone(),
            task: task.task_id(),
            boot: task.state.boot,
        }),
        AnyTask::Waiting(_) | AnyTask::Ended(_) => None,
    };
    JobEntry { stored, lease, has_token: false }
}
