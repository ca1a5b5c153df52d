//! Leases of workers: each is asked for at short intervals what it runs.

use std::time::Duration;

use scheduler::Moment;
use scheduler::Report;
use scheduler::WorkerId;

use super::Owner;
use super::event::Event;
use crate::clock;
use crate::ports::LeaseRequest;
use crate::ports::Platform;
use crate::ports::ReadError;
use crate::ports::Table;
use crate::ports::WorkerError;

/// How long a worker that runs something may wait with its answer for an end.
const WAIT_BUSY: Duration = Duration::from_millis(1_000);
/// How long an idle worker may wait with its answer.
const WAIT_IDLE: Duration = Duration::from_millis(2_000);
/// Pause after a worker did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest time between two looks while ends wait to be stored.
const UNSTORED_PAUSE: Duration = Duration::from_millis(900);
/// Longest wait of a call for changes of the registry or the inbox; bounds the time for which a
/// connection that has gone silent keeps them from the owner.
const CHANGES_WAIT: Duration = Duration::from_millis(2_000);
/// Pause between two calls for changes of the registry, so that changes come together.
const REGISTRY_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a call that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(200);

/// When a worker is asked next.
#[derive(Clone, Copy, Debug)]
pub(super) struct Watch {
    is_in_flight: bool,
    waits_for_commit: bool,
    due_at: Moment,
}

impl<P: Platform> Owner<P> {
    /// Asks the workers that are due.
    pub(super) fn renew_leases(&mut self, now: Moment) {
        let ids: Vec<WorkerId> = self
            .scheduler
            .workers()
            .filter(|worker| worker.is_listed || !worker.runs.is_empty())
            .map(|worker| worker.entry.id.clone())
            .collect();
        let scheduler = &self.scheduler;
        self.watches.retain(|id, watch| watch.is_in_flight || scheduler.worker(id).is_some());
        for id in ids {
            let new = || Watch { is_in_flight: false, waits_for_commit: false, due_at: now };
            let watch = self.watches.entry_or(id.clone(), new);
            if !watch.is_in_flight && now >= watch.due_at {
                watch.is_in_flight = true;
                watch.waits_for_commit = false;
                self.ask_worker(id, now);
            }
        }
    }

    /// Asks the workers again whose ends are stored now.
    pub(super) fn wake_watches(&mut self, now: Moment) {
        for watch in self.watches.values_mut().filter(|watch| watch.waits_for_commit) {
            watch.waits_for_commit = false;
            watch.due_at = now;
        }
    }

    /// Takes in the answer of a worker.
    pub(super) fn take_report(
        &mut self,
        id: WorkerId,
        sent_at: Moment,
        result: Result<Report, WorkerError>,
    ) {
        let now = clock::now();
        let mut due_at = now;
        match result {
            Ok(report) => self.scheduler.report(&id, &report, sent_at, now),
            Err(WorkerError::Fenced) => self.scheduler.note_fenced(),
            Err(WorkerError::OtherInstance) => {
                self.scheduler.worker_gone(&id, "another instance answers", now);
            }
            Err(error) => {
                telemetry::log::line("worker-silent")
                    .field("worker", &*id)
                    .text("why", error)
                    .write();
                self.scheduler.no_answer(&id, now);
                due_at = now + RETRY_PAUSE;
            }
        }
        let worker = self.scheduler.worker(&id);
        let has_unstored = worker.is_some_and(|worker| worker.ends_seen > worker.ends_stored);
        if has_unstored {
            due_at = now + UNSTORED_PAUSE;
        }
        if let Some(watch) = self.watches.get_mut(&id) {
            watch.is_in_flight = false;
            watch.waits_for_commit = has_unstored;
            watch.due_at = due_at;
        }
    }

    /// Follows the registry of workers.
    pub(super) fn follow_registry(&mut self) {
        let shared = self.shared.clone();
        let events = self.events.clone();
        self.calls.spawn(async move {
            let mut version = None;
            loop {
                match shared.platform.registered(version, CHANGES_WAIT).await {
                    Ok(changes) => {
                        version = Some(changes.version);
                        let event = Event::Registered { changes };
                        if events.send(event).await.is_err() {
                            return;
                        }
                        tokio::time::sleep(REGISTRY_PAUSE).await;
                    }
                    Err(ReadError::HistoryGone) => {
                        version = None;
                        tokio::time::sleep(FAILED_PAUSE).await;
                    }
                    Err(error) => {
                        telemetry::log::line("registry-not-read").text("why", error).write();
                        tokio::time::sleep(FAILED_PAUSE).await;
                    }
                }
            }
        });
    }

    /// Follows the requests that nodes store.
    pub(super) fn follow_inbox(&mut self) {
        let shared = self.shared.clone();
        let events = self.events.clone();
        self.calls.spawn(async move {
            let mut version = None;
            loop {
                let changes = match version {
                    None => shared.platform.read_whole(Table::Inbox).await,
                    Some(version) => {
                        shared.platform.changes(Table::Inbox, version, CHANGES_WAIT).await
                    }
                };
                match changes {
                    Ok(changes) => {
                        version = Some(changes.version);
                        if !changes.changed.is_empty() {
                            let event = Event::Inbox { rows: changes.changed };
                            if events.send(event).await.is_err() {
                                return;
                            }
                        }
                    }
                    Err(ReadError::HistoryGone) => {
                        version = None;
                        tokio::time::sleep(FAILED_PAUSE).await;
                    }
                    Err(error) => {
                        telemetry::log::line("inbox-not-read").text("why", error).write();
                        tokio::time::sleep(FAILED_PAUSE).await;
                    }
                }
            }
        });
    }

    fn ask_worker(&mut self, id: WorkerId, now: Moment) {
        let Some(worker) = self.scheduler.worker(&id) else {
            return;
        };
        let has_unstored = worker.ends_seen > worker.ends_stored;
        let wait = match () {
            // The first look is to see what runs, and ends that are listed would answer at once.
            () if has_unstored || worker.clock_least_ms(now).is_none() => Duration::ZERO,
            () if worker.runs.is_empty() => WAIT_IDLE,
            () => WAIT_BUSY,
        };
        let request = LeaseRequest {
            worker: id.clone(),
            address: worker.entry.address,
            token: self.epoch,
            ends_stored: worker.ends_stored,
            deadline_ms: self.scheduler.ask_lease(&id, now),
            wait,
        };
        let shared = self.shared.clone();
        self.spawn(async move {
            let sent_at = clock::now();
            let result = shared.platform.lease(request).await;
            Event::Reported { worker: id, sent_at, result }
        });
    }
}
