//! Renews the leases of workers. Each renewal polls the worker for its runs and completions.

use std::time::Duration;

use scheduler::Moment;
use scheduler::PollFailure;
use scheduler::SentPoll;
use scheduler::WorkerId;
use scheduler::WorkerRegistration;
use scheduler::WorkerReport;
use scheduler::worker::Worker;

use super::Owner;
use super::VALIDITY;
use super::event::Event;
use crate::clock;
use crate::metrics;
use crate::poll_schedule::NextPoll;
use crate::ports::Changes;
use crate::ports::LeaseRequest;
use crate::ports::Platform;
use crate::ports::ReadError;
use crate::ports::Row;
use crate::ports::RowVersion;
use crate::ports::Table;
use crate::ports::WorkerError;
use crate::worker_poll;

/// How long a worker with runs may hold back its reply to wait for a completion.
const BUSY_WAIT_MAX: Duration = Duration::from_millis(1_000);
/// How long an idle worker may hold back its reply.
const IDLE_WAIT_MAX: Duration = Duration::from_millis(2_000);
/// Time between two searches for workers that are missing in the poll schedule.
const REVIEW_PERIOD: Duration = Duration::from_millis(250);
/// Longest wait of a call for changes of the registry or the inbox. It bounds how long a connection
/// that has silently broken keeps changes from the owner.
const CHANGES_WAIT: Duration = Duration::from_millis(2_000);
/// Longest wait of a call for changes of the inbox. Jobs whose cancellation is there must not be
/// started for long.
const INBOX_WAIT: Duration = Duration::from_millis(1_500);
/// Time beyond the wait after which a call for changes of the inbox counts as late.
const INBOX_LATE_AFTER: Duration = Duration::from_millis(500);
/// Pause between two calls for changes of the registry, so that one call returns several changes.
const REGISTRY_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two calls for changes of divisions, so that one call returns several changes.
const DIVISIONS_PAUSE: Duration = Duration::from_millis(10);
/// Pause after a failed call.
const FAILED_PAUSE: Duration = Duration::from_millis(200);

impl<P: Platform> Owner<P> {
    /// Polls the workers that are due.
    pub(super) fn poll_workers(&mut self, now: Moment) {
        if now.saturating_sub(self.poll_schedule_reviewed_at) >= REVIEW_PERIOD {
            self.poll_schedule_reviewed_at = now;
            let scheduler = &self.scheduler;
            for worker in scheduler.workers().filter(|worker| scheduler.must_poll(worker)) {
                self.poll_schedule.add(&worker.registration.id, now);
            }
        }
        for id in self.poll_schedule.take_due(now) {
            if self.scheduler.worker(&id).is_some_and(|worker| self.scheduler.must_poll(worker)) {
                self.poll_worker(id, now);
            } else {
                self.poll_schedule.remove(&id);
            }
        }
    }

    /// Schedules a poll of each worker whose completions are now all stored.
    pub(super) fn resume_polls(&mut self, now: Moment) {
        let scheduler = &self.scheduler;
        let are_all_stored =
            |id: &WorkerId| !scheduler.worker(id).is_some_and(Worker::has_unstored_completions);
        for waited in self.poll_schedule.resume_stored(are_all_stored, now) {
            self.shared.node.telemetry.time(metrics::COMPLETIONS_STORE, waited);
        }
    }

    /// Handles the result of a poll of a worker.
    pub(super) fn handle_report(
        &mut self,
        id: WorkerId,
        sent: SentPoll,
        result: Result<WorkerReport, WorkerError>,
    ) {
        let now = clock::now();
        let mut next = NextPoll::Immediate;
        match result {
            Ok(report) => self.scheduler.handle_report(&id, &report, sent, now),
            Err(WorkerError::Fenced) => self.scheduler.handle_fenced(&id, sent.token),
            Err(WorkerError::OtherInstance) => {
                self.scheduler.handle_worker_gone(&id, sent.token, "another instance answers", now);
            }
            Err(error) => {
                let failure = match &error {
                    WorkerError::BrokenOff(_) => PollFailure::BrokenOff,
                    _ => PollFailure::NoReply,
                };
                self.shared.node.telemetry.count(metrics::POLLS_FAILED);
                telemetry::log::line("worker-silent")
                    .field("worker", &*id)
                    .text("why", error)
                    .write();
                self.scheduler.handle_failed_poll(&id, failure, now);
                next = NextPoll::AfterPause;
            }
        }
        let worker = self.scheduler.worker(&id);
        // No run starts on a worker before it has seen its token.
        if worker.is_some_and(|worker| worker.is_token_seen && worker.has_unstored_completions()) {
            next = NextPoll::AfterStore(self.scheduler.completion_pause(&id));
        }
        self.poll_schedule.handle_reply(&id, next, now);
    }

    /// Starts to follow the registry of workers.
    pub(super) fn follow_registry(&mut self) {
        let (shared, events) = (self.shared.clone(), self.events.clone());
        let read = move |version| {
            let shared = shared.clone();
            async move { shared.node.platform.registrations(version, CHANGES_WAIT).await }
        };
        let own_shard = self.shared.clone();
        let send = move |mut changes: Changes<WorkerRegistration>| {
            let events = events.clone();
            changes.changed.retain(|registration| own_shard.has_worker(registration));
            async move {
                let is_sent = events.send(Event::RegistryChanged { changes }).await.is_ok();
                tokio::time::sleep(REGISTRY_PAUSE).await;
                is_sent
            }
        };
        self.calls.spawn(follow_changes("registry-not-read", None, read, send));
    }

    /// Starts to follow the requests that nodes store in the inbox.
    pub(super) fn follow_inbox(&mut self) {
        let (shared, events) = (self.shared.clone(), self.events.clone());
        let read = move |version| {
            let shared = shared.clone();
            async move {
                match version {
                    None => shared.node.platform.read_all(shared.shard, Table::Inbox).await,
                    Some(version) => read_inbox_changes(&shared.node.platform, version).await,
                }
            }
        };
        let send = move |changes: Changes<Row>| {
            let events = events.clone();
            async move { events.send(Event::InboxRead { rows: changes.changed }).await.is_ok() }
        };
        self.calls.spawn(follow_changes("inbox-not-read", None, read, send));
    }

    /// Starts to follow the divisions among shards after the version that was read; there are none
    /// if the fleet has a single shard.
    pub(super) fn follow_divisions(&mut self, version: RowVersion) {
        if self.shared.layout().shard_count <= 1 {
            return;
        }
        let (shared, events) = (self.shared.clone(), self.events.clone());
        let read = move |version| {
            let shared = shared.clone();
            async move {
                let platform = &shared.node.platform;
                match version {
                    None => platform.read_all(shared.shard, Table::Divisions).await,
                    Some(version) => {
                        platform.changes(Table::Divisions, version, CHANGES_WAIT).await
                    }
                }
            }
        };
        let send = move |changes: Changes<Row>| {
            let events = events.clone();
            async move {
                let rows = changes.changed;
                let is_sent =
                    rows.is_empty() || events.send(Event::DivisionsChanged { rows }).await.is_ok();
                tokio::time::sleep(DIVISIONS_PAUSE).await;
                is_sent
            }
        };
        self.calls.spawn(follow_changes("divisions-not-read", Some(version), read, send));
    }

    fn poll_worker(&mut self, id: WorkerId, now: Moment) {
        let Some(worker) = self.scheduler.worker(&id) else {
            return;
        };
        let wait = match () {
            // The first poll finds out what runs, and a worker that lists completions replies at
            // once anyway.
            () if worker.has_unstored_completions() || !worker.is_token_seen => Duration::ZERO,
            // The completions that it has not listed come with the next reply.
            () if worker.may_have_unlisted_completions => Duration::ZERO,
            () if worker.runs.is_empty() => IDLE_WAIT_MAX,
            () => BUSY_WAIT_MAX,
        };
        let request = LeaseRequest {
            worker: id.clone(),
            address: worker.registration.address,
            token: worker.token,
            acknowledged_completion: self.scheduler.completion_to_acknowledge(worker),
            known_at: worker.known_at(),
            may_acknowledge_on_any_connection: worker.closes_connections(),
            deadline_ms: self.scheduler.request_lease(&id, now),
            wait,
        };
        self.stats.record_poll();
        let shared = self.shared.clone();
        let epoch = self.epoch;
        self.spawn(async move {
            let node = &shared.node;
            let send = |request: LeaseRequest| {
                // The process may have been suspended since the decision.
                let may_renew = shared.may_act(epoch, VALIDITY, clock::now());
                let deadline_ms = request.deadline_ms.filter(|_| may_renew);
                node.platform.renew_lease(LeaseRequest { deadline_ms, ..request })
            };
            let record_repeat = || node.telemetry.count(metrics::POLLS_REPEATED);
            let polled = worker_poll::poll(request, send, record_repeat).await;
            Event::Reported { worker: id, sent: polled.sent, result: polled.reply }
        });
    }
}

/// Reads the changes of the inbox. A call that is late may have lost its connection, so that a
/// second one is made beside it.
async fn read_inbox_changes<P: Platform>(
    platform: &P,
    version: RowVersion,
) -> Result<Changes<Row>, ReadError> {
    let second = async {
        tokio::time::sleep(INBOX_WAIT + INBOX_LATE_AFTER).await;
        platform.changes(Table::Inbox, version, Duration::ZERO).await
    };
    tokio::select! {
        result = platform.changes(Table::Inbox, version, INBOX_WAIT) => result,
        result = second => result,
    }
}

/// Reads all rows, unless they were read up to `version`, and then their changes until `send`
/// returns false. Reads all rows again if the changes since the last read are no longer kept.
async fn follow_changes<T, R, S>(
    not_read: &'static str,
    mut version: Option<RowVersion>,
    read: impl Fn(Option<RowVersion>) -> R,
    send: impl Fn(Changes<T>) -> S,
) where
    R: Future<Output = Result<Changes<T>, ReadError>>,
    S: Future<Output = bool>,
{
    loop {
        match read(version).await {
            Ok(changes) => {
                version = Some(changes.version);
                if !send(changes).await {
                    return;
                }
                continue;
            }
            Err(ReadError::HistoryGone) => version = None,
            Err(error) => telemetry::log::line(not_read).text("why", error).write(),
        }
        tokio::time::sleep(FAILED_PAUSE).await;
    }
}
