//! Calls to workers: starts, renewals with their reports, and commands.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use model::HostId;
use placement::Action;
use placement::Disposition;
use placement::JobId;
use placement::TaskOutcome;
use placement::Usage;
use placement::protocol::CommandKind;
use placement::protocol::RenewRequest;
use placement::protocol::StartCommand;
use placement::protocol::TaskCommand;
use placement::protocol::TaskReport;
use placement::protocol::WorkerReply;
use placement::protocol::WorkerReport;
use placement::task::TaskId;
use tokio::task::JoinSet;

use super::Holder;
use super::LEASE_DURATION;
use super::LEASE_MARGIN;
use crate::place::rows;
use crate::place::workers::Unresponsive;

impl Holder {
    /// Tells workers to start the tasks whose leases are stored. If a reply is lost, the worker's
    /// next report shows whether it has the task.
    pub(super) async fn start(&mut self, jobs: &[JobId]) {
        let mut calls = JoinSet::new();
        for job in jobs {
            // The duty may have been lost while the leases were being stored.
            if self.may_not_act() {
                return;
            }
            let Some((address, start)) = self.start_command(job) else {
                continue;
            };
            let workers = self.workers.clone();
            calls.spawn(async move { workers.start(address, &start).await });
        }
        while calls.join_next().await.is_some() {}
    }

    fn start_command(&self, job: &JobId) -> Option<(SocketAddr, StartCommand)> {
        let entry = &self.entries[self.find(job).ok()?];
        let lease = entry.lease.as_ref()?;
        let placement::AnyTask::Leased(task) = &entry.stored.task else {
            return None;
        };
        let address = self.worker_states[self.find_worker(&lease.worker)?].address;
        let start = StartCommand {
            pool: self.pool_name.clone(),
            epoch: self.duty.epoch,
            task: lease.task.clone(),
            size: task.state.reserved,
            body: entry.stored.body.clone(),
            lease_ms: LEASE_DURATION.as_millis() as u64,
        };
        Some((address, start))
    }

    /// Renews all leases, and handles the reports of the workers.
    pub(super) async fn renew(&mut self) {
        let sent_at = Instant::now();
        for (worker, reply) in self.renew_all().await {
            match reply {
                Ok(WorkerReply::Done { report }) => {
                    self.handle_report(&worker, report, sent_at).await
                }
                Ok(WorkerReply::Superseded) => self.shared.telemetry.count("placement.superseded"),
                Err(_) => self.shared.telemetry.count("worker.silent"),
            }
        }
        self.expire_leases(Instant::now());
    }

    /// Sends a renewal to every worker of the pool, and returns the replies.
    pub(super) async fn renew_all(&self) -> Vec<(HostId, Result<WorkerReply, Unresponsive>)> {
        let mut calls = JoinSet::new();
        for worker_state in &self.worker_states {
            let renew = RenewRequest {
                pool: self.pool_name.clone(),
                epoch: self.duty.epoch,
                lease_ms: LEASE_DURATION.as_millis() as u64,
                tasks: self
                    .tasks_on(&worker_state.worker)
                    .into_iter()
                    .map(|(_, task)| task)
                    .collect(),
                stored: worker_state.acknowledged.clone(),
            };
            let (workers, worker, address) =
                (self.workers.clone(), worker_state.worker.clone(), worker_state.address);
            calls.spawn(async move { (worker, workers.renew(address, &renew).await) });
        }
        let mut replies = Vec::new();
        while let Some(joined) = calls.join_next().await {
            replies.extend(joined);
        }
        replies
    }

    pub(super) fn tasks_on(&self, worker: &HostId) -> Vec<(JobId, TaskId)> {
        let leased = self.entries.iter().filter_map(|e| Some((&e.stored, e.lease.as_ref()?)));
        leased
            .filter(|(_, lease)| lease.worker == *worker)
            .map(|(stored, lease)| (stored.job().id.clone(), lease.task.clone()))
            .collect()
    }

    async fn handle_report(&mut self, worker: &HostId, report: WorkerReport, sent_at: Instant) {
        let Some(index) = self.find_worker(worker) else {
            return;
        };
        let worker_state = &mut self.worker_states[index];
        worker_state.boot = report.boot;
        worker_state.last_contact_at = Some(sent_at);
        let find_task = |task: &TaskId| report.tasks.binary_search_by(|t| t.task.cmp(task));
        worker_state.acknowledged.retain(|task| find_task(task).is_ok());
        let mut missing = Vec::new();
        for (job, task) in self.tasks_on(worker) {
            match find_task(&task) {
                Ok(index) => self.handle_task_report(&job, &report.tasks[index], sent_at).await,
                Err(_) => missing.push(job),
            }
        }
        self.acknowledge_unknown_tasks(index, &report);
        let has_restarted = |job: &JobId| {
            let entry = self.find(job).ok().map(|index| &self.entries[index]);
            entry.and_then(|e| e.lease.as_ref()).is_some_and(|l| l.boot != report.boot)
        };
        if missing.iter().any(has_restarted) {
            self.handle_worker_loss(worker);
        } else if !self.store.has_unstored_leases() {
            // The start did not arrive. Repeating it is safe: a worker starts a task only once.
            self.start(&missing).await;
        }
    }

    async fn handle_task_report(&mut self, job: &JobId, report: &TaskReport, sent_at: Instant) {
        let age = Duration::from_millis(report.used_age_ms);
        if let Some(measured_at) = sent_at.checked_sub(age) {
            let used = report.used;
            self.pool.record_usage(&[Usage { job: job.clone(), used, measured_at }]);
        }
        if report.is_checkpointed {
            self.pool.record_checkpoint(job);
        }
        let Some(outcome) = report.outcome else {
            return;
        };
        if let Some(result) = &report.result {
            let name = rows::result_name(job);
            let body = result.clone().into();
            if self.shared.platform.objects.put(&name, body).await.is_err() {
                // The worker repeats the outcome until it is acknowledged.
                return;
            }
        }
        self.finish_task(job, outcome);
    }

    pub(super) fn finish_task(&mut self, job: &JobId, outcome: TaskOutcome) {
        if let Some(disposition) = self.pool.finish_task(job, outcome, Instant::now()) {
            self.apply_disposition(disposition);
        }
    }

    fn apply_disposition(&mut self, disposition: Disposition) {
        match disposition {
            Disposition::Requeued { pending } => self.requeue(&pending),
            Disposition::Finished { pending, outcome } => self.finish_job(&pending, outcome),
        }
    }

    /// Acknowledges finished tasks that belong to no live job, so that the worker forgets them.
    fn acknowledge_unknown_tasks(&mut self, index: usize, report: &WorkerReport) {
        if !self.store.is_settled() {
            return;
        }
        let worker = self.worker_states[index].worker.clone();
        let own = self.tasks_on(&worker);
        for finished in report.tasks.iter().filter(|task| task.outcome.is_some()) {
            let is_own = own.iter().any(|(_, task)| *task == finished.task);
            let acknowledged = &mut self.worker_states[index].acknowledged;
            if !is_own && !acknowledged.contains(&finished.task) {
                acknowledged.push(finished.task.clone());
            }
        }
    }

    /// Ends the tasks of workers that have not replied for the duration of a lease and its margin.
    fn expire_leases(&mut self, now: Instant) {
        let expired: Vec<HostId> = self
            .worker_states
            .iter()
            .filter(|worker_state| {
                let last_contact_at = worker_state.last_contact_at.unwrap_or(self.took_over_at);
                now.saturating_duration_since(last_contact_at) > LEASE_DURATION + LEASE_MARGIN
            })
            .map(|worker_state| worker_state.worker.clone())
            .collect();
        for worker in expired {
            self.handle_worker_loss(&worker);
        }
    }

    fn handle_worker_loss(&mut self, worker: &HostId) {
        if self.tasks_on(worker).is_empty() {
            return;
        }
        self.shared.telemetry.count("worker.lost");
        for disposition in self.pool.handle_worker_loss(worker, Instant::now()) {
            self.apply_disposition(disposition);
        }
    }

    /// Sends the commands that the pool decides on for running tasks, and records quarantined
    /// workers as events.
    pub(super) async fn send_commands(&mut self) {
        let mut calls = JoinSet::new();
        for action in self.pool.tick(Instant::now()) {
            let (job, kind) = match action {
                Action::Checkpoint { job } => (job, CommandKind::Checkpoint),
                Action::Throttle { job, percent } => (job, CommandKind::Throttle { percent }),
                Action::Stop { job } => (job, CommandKind::Stop),
                Action::Quarantined { worker } => {
                    let kind = events::EventKind::WorkerQuarantined { host: worker };
                    self.shared.events.record(kind, std::time::SystemTime::now());
                    continue;
                }
            };
            let Some((address, start)) = self.start_command(&job) else {
                continue;
            };
            let StartCommand { pool, epoch, task, .. } = start;
            let command = TaskCommand { pool, epoch, task, kind };
            let workers = self.workers.clone();
            calls.spawn(async move { workers.command(address, &command).await });
        }
        while calls.join_next().await.is_some() {}
    }
}
