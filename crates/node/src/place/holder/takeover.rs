//! Rebuilds a pool's state from the table and the workers' own reports.

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

use super::Entry;
use super::Holder;
use super::Lease;
use crate::place::rows;
use crate::place::rows::Stored;

/// What a worker said during the take-over.
type Said = (HostId, WorkerReport);

impl Holder {
    /// Takes over; false if the table could not be read.
    pub(super) async fn take_over(&mut self) -> bool {
        self.since = Instant::now();
        let Ok(stored) = self.read_jobs().await else {
            return false;
        };
        self.update_workers();
        self.entries = stored.into_iter().map(entry).collect();
        self.entries.sort_by(|a, b| a.stored.job().id.cmp(&b.stored.job().id));
        // From here on the workers refuse calls of earlier epochs.
        let mut said: Vec<Said> = Vec::new();
        let answers = if self.entries.iter().any(|entry| entry.lease.is_some()) {
            self.ask_all().await
        } else {
            Vec::new()
        };
        for (worker, answer) in answers {
            if let Ok(WorkerReply::Done { report }) = answer {
                if let Some(index) = self.find_heard(&worker) {
                    self.heard[index].boot = report.boot;
                    self.heard[index].answered_at = Some(self.since);
                }
                said.push((worker, report));
            }
        }
        self.update_workers();
        for job in self.entries.iter().map(|e| e.stored.job().id.clone()).collect::<Vec<_>>() {
            self.recover_job(&job, &said);
        }
        true
    }

    fn recover_job(&mut self, job: &placement::JobId, said: &[Said]) {
        let Ok(index) = self.find(job) else {
            return;
        };
        let stored = self.entries[index].stored.clone();
        let seen = self.seen(index, said);
        let recovery = recover(&stored.task, seen, false);
        let AnyTask::Leased(task) = stored.task else {
            if let Some(pending) = pending(&stored) {
                // A pool holds more jobs than one holder takes in; it keeps what it has.
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
                self.wait_again(&pending);
            }
            // What the worker reports next ends it.
            Recovery::Finish(_) | Recovery::Adopt | Recovery::Wait => {}
            Recovery::Submit | Recovery::Ignore => {}
        }
    }

    fn seen(&self, index: usize, said: &[Said]) -> AttemptState {
        let Some(lease) = &self.entries[index].lease else {
            return AttemptState::NeverStarted;
        };
        let Some((_, report)) = said.iter().find(|(worker, _)| *worker == lease.worker) else {
            return AttemptState::Unreachable;
        };
        match report.tasks.iter().find(|task| task.task == lease.task) {
            Some(task) => task.outcome.map_or(AttemptState::Running, AttemptState::Ended),
            // It has forgotten what it ran before; the next report ends the task as lost.
            None if report.boot != lease.boot => AttemptState::Unreachable,
            None => AttemptState::NeverStarted,
        }
    }

    async fn read_jobs(&self) -> Result<Vec<Stored>, Unavailable> {
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

/// The waiting job of a row.
pub fn pending(stored: &Stored) -> Option<PendingJob> {
    match &stored.task {
        AnyTask::Waiting(task) => Some(task.to_pending_job(Instant::now())),
        AnyTask::Leased(_) | AnyTask::Ended(_) => None,
    }
}

fn entry(stored: Stored) -> Entry {
    let lease = match &stored.task {
        AnyTask::Leased(task) => Some(Lease {
            worker: task.state.worker.clone(),
            task: task.task_id(),
            boot: task.state.boot,
        }),
        AnyTask::Waiting(_) | AnyTask::Ended(_) => None,
    };
    Entry { stored, lease, has_token: false }
}
