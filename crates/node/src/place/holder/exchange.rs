//! Calls to workers: starts, renewals with their reports, and orders.

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
use super::LEASE;
use super::LEASE_MARGIN;
use crate::place::rows;
use crate::place::workers::Silent;

impl Holder {
    /// Asks workers to start tasks whose leases are stored. An answer that is lost is made up for by
    /// the next report, which shows whether the task is there.
    pub(super) async fn start(&mut self, jobs: &[JobId]) {
        let mut calls = JoinSet::new();
        for job in jobs {
            // The duty may have been lost while the leases were being stored.
            if self.is_fenced() {
                return;
            }
            let Some((address, start)) = self.start_of(job) else {
                continue;
            };
            let workers = self.workers.clone();
            calls.spawn(async move { workers.start(address, &start).await });
        }
        while calls.join_next().await.is_some() {}
    }

    fn start_of(&self, job: &JobId) -> Option<(SocketAddr, StartCommand)> {
        let entry = &self.entries[self.find(job).ok()?];
        let lease = entry.lease.as_ref()?;
        let placement::AnyTask::Leased(task) = &entry.stored.task else {
            return None;
        };
        let address = self.heard[self.find_heard(&lease.worker)?].address;
        let start = StartCommand {
            pool: self.pool_name.clone(),
            epoch: self.duty.epoch,
            task: lease.task.clone(),
            size: task.state.reserved,
            body: entry.stored.body.clone(),
            lease_ms: LEASE.as_millis() as u64,
        };
        Some((address, start))
    }

    /// Renews all leases, and takes in what the workers report.
    pub(super) async fn renew(&mut self) {
        let asked_at = Instant::now();
        for (worker, answer) in self.ask_all().await {
            match answer {
                Ok(WorkerReply::Done { report }) => {
                    self.heard_from(&worker, report, asked_at).await
                }
                Ok(WorkerReply::Superseded) => self.shared.telemetry.count("placement.superseded"),
                Err(_) => self.shared.telemetry.count("worker.silent"),
            }
        }
        self.end_lapsed(Instant::now());
    }

    /// Calls every worker of the pool.
    pub(super) async fn ask_all(&self) -> Vec<(HostId, Result<WorkerReply, Silent>)> {
        let mut calls = JoinSet::new();
        for heard in &self.heard {
            let renew = RenewRequest {
                pool: self.pool_name.clone(),
                epoch: self.duty.epoch,
                lease_ms: LEASE.as_millis() as u64,
                tasks: self.tasks_on(&heard.worker).into_iter().map(|(_, task)| task).collect(),
                stored: heard.stored.clone(),
            };
            let (workers, worker, address) =
                (self.workers.clone(), heard.worker.clone(), heard.address);
            calls.spawn(async move { (worker, workers.renew(address, &renew).await) });
        }
        let mut answers = Vec::new();
        while let Some(joined) = calls.join_next().await {
            answers.extend(joined);
        }
        answers
    }

    pub(super) fn tasks_on(&self, worker: &HostId) -> Vec<(JobId, TaskId)> {
        let leased = self.entries.iter().filter_map(|e| Some((&e.stored, e.lease.as_ref()?)));
        leased
            .filter(|(_, lease)| lease.worker == *worker)
            .map(|(stored, lease)| (stored.job().id.clone(), lease.task.clone()))
            .collect()
    }

    async fn heard_from(&mut self, worker: &HostId, report: WorkerReport, asked_at: Instant) {
        let Some(index) = self.find_heard(worker) else {
            return;
        };
        let heard = &mut self.heard[index];
        heard.boot = report.boot;
        heard.answered_at = Some(asked_at);
        let known = |task: &TaskId| report.tasks.binary_search_by(|t| t.task.cmp(task));
        heard.stored.retain(|task| known(task).is_ok());
        let mut absent = Vec::new();
        for (job, task) in self.tasks_on(worker) {
            match known(&task) {
                Ok(index) => self.take_report(&job, &report.tasks[index], asked_at).await,
                Err(_) => absent.push(job),
            }
        }
        self.forget_strangers(index, &report);
        let is_rebooted = |job: &JobId| {
            let entry = self.find(job).ok().map(|index| &self.entries[index]);
            entry.and_then(|e| e.lease.as_ref()).is_some_and(|l| l.boot != report.boot)
        };
        if absent.iter().any(is_rebooted) {
            self.lose(worker);
        } else if !self.store.has_unstored_leases() {
            // The start was lost on its way; a worker starts a task once however often it is asked.
            self.start(&absent).await;
        }
    }

    async fn take_report(&mut self, job: &JobId, report: &TaskReport, asked_at: Instant) {
        let age = Duration::from_millis(report.used_age_ms);
        if let Some(measured_at) = asked_at.checked_sub(age) {
            let used = report.used;
            self.pool.record_usage(&[Usage { job: job.clone(), used, measured_at }]);
        }
        if report.is_checkpointed {
            self.pool.record_checkpoint(job);
        }
        let Some(end) = report.outcome else {
            return;
        };
        if let Some(result) = &report.result {
            let name = rows::result_name(job);
            let body = result.clone().into();
            if self.shared.platform.objects.put(&name, body).await.is_err() {
                // The worker reports the end until it is stored.
                return;
            }
        }
        self.task_ended(job, end);
    }

    pub(super) fn task_ended(&mut self, job: &JobId, end: TaskOutcome) {
        if let Some(after) = self.pool.finish_task(job, end, Instant::now()) {
            self.follow(after);
        }
    }

    fn follow(&mut self, after: Disposition) {
        match after {
            Disposition::Requeued { pending } => self.wait_again(&pending),
            Disposition::Finished { pending, outcome } => self.finish_entry(&pending, outcome),
        }
    }

    /// Lets the worker forget ended tasks that nobody looks after any more.
    fn forget_strangers(&mut self, index: usize, report: &WorkerReport) {
        if !self.store.is_settled() {
            return;
        }
        let worker = self.heard[index].worker.clone();
        let own = self.tasks_on(&worker);
        for ended in report.tasks.iter().filter(|task| task.outcome.is_some()) {
            let is_own = own.iter().any(|(_, task)| *task == ended.task);
            let stored = &mut self.heard[index].stored;
            if !is_own && !stored.contains(&ended.task) {
                stored.push(ended.task.clone());
            }
        }
    }

    /// Ends the tasks of workers that have not answered for a whole lease.
    fn end_lapsed(&mut self, now: Instant) {
        let lapsed: Vec<HostId> = self
            .heard
            .iter()
            .filter(|heard| {
                let since = heard.answered_at.unwrap_or(self.since);
                now.saturating_duration_since(since) > LEASE + LEASE_MARGIN
            })
            .map(|heard| heard.worker.clone())
            .collect();
        for worker in lapsed {
            self.lose(&worker);
        }
    }

    fn lose(&mut self, worker: &HostId) {
        if self.tasks_on(worker).is_empty() {
            return;
        }
        self.shared.telemetry.count("worker.lost");
        for after in self.pool.handle_worker_loss(worker, Instant::now()) {
            self.follow(after);
        }
    }

    /// Carries out what the pool wants done to running tasks.
    pub(super) async fn order(&mut self) {
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
            let Some((address, start)) = self.start_of(&job) else {
                continue;
            };
            let StartCommand { pool, epoch, task, .. } = start;
            let order = TaskCommand { pool, epoch, task, kind };
            let workers = self.workers.clone();
            calls.spawn(async move { workers.order(address, &order).await });
        }
        while calls.join_next().await.is_some() {}
    }
}
