//! Leases of workers: each is asked for at short intervals what it runs.

use std::time::Duration;

use scheduler::Moment;
use scheduler::Report;
use scheduler::WorkerId;
use scheduler::worker::Worker;

use super::Owner;
use super::event::Event;
use crate::clock;
use crate::metrics;
use crate::ports::LeaseRequest;
use crate::ports::Platform;
use crate::ports::ReadError;
use crate::ports::Table;
use crate::ports::WorkerError;
use crate::watches::Next;

/// How long a worker that runs something may wait with its answer for an end.
const WAIT_BUSY: Duration = Duration::from_millis(1_000);
/// How long an idle worker may wait with its answer.
const WAIT_IDLE: Duration = Duration::from_millis(2_000);
/// Time between two reviews of the workers that are to be asked at all.
const REVIEW_PERIOD: Duration = Duration::from_millis(250);
/// Longest wait of a call for changes of the registry or the inbox; bounds the time for which a
/// connection that has gone silent keeps them from the owner.
const CHANGES_WAIT: Duration = Duration::from_millis(2_000);
/// Pause between two calls for changes of the registry, so that changes come together.
const REGISTRY_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a call that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(200);

impl<P: Platform> Owner<P> {
    /// Asks the workers that are due.
    pub(super) fn renew_leases(&mut self, now: Moment) {
        if now.saturating_sub(self.watches_reviewed_at) >= REVIEW_PERIOD {
            self.watches_reviewed_at = now;
            for worker in self.scheduler.workers().filter(|worker| is_watched(worker)) {
                self.watches.begin(&worker.entry.id, now);
            }
        }
        for id in self.watches.take_due(now) {
            if self.scheduler.worker(&id).is_some_and(is_watched) {
                self.ask_worker(id, now);
            } else {
                self.watches.end(&id);
            }
        }
    }

    /// Asks the workers again whose ends are stored now.
    pub(super) fn wake_watches(&mut self, now: Moment) {
        let scheduler = &self.scheduler;
        let are_all_stored =
            |id: &WorkerId| !scheduler.worker(id).is_some_and(Worker::has_unstored);
        for waited in self.watches.stored(are_all_stored, now) {
            self.shared.telemetry.time(metrics::ENDS_STORE, waited);
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
        let mut next = Next::AtOnce;
        match result {
            Ok(report) => self.scheduler.report(&id, &report, sent_at, now),
            Err(WorkerError::Fenced) => self.scheduler.note_fenced(),
            Err(WorkerError::OtherInstance) => {
                self.scheduler.worker_gone(&id, "another instance answers", now);
            }
            Err(error) => {
                self.shared.telemetry.count(metrics::LOOKS_FAILED);
                telemetry::log::line("worker-silent")
                    .field("worker", &*id)
                    .text("why", error)
                    .write();
                self.scheduler.no_answer(&id, now);
                next = Next::Later;
            }
        }
        if self.scheduler.worker(&id).is_some_and(Worker::has_unstored) {
            next = Next::OnceStored;
        }
        self.watches.answered(&id, next, now);
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
        let wait = match () {
            // The first look is to see what runs, and ends that are listed would answer at once.
            () if worker.has_unstored() || worker.clock_least_ms(now).is_none() => Duration::ZERO,
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
        self.tally.look();
        self.shared.telemetry.count(metrics::LOOKS);
        let shared = self.shared.clone();
        self.spawn(async move {
            let sent_at = clock::now();
            let result = shared.platform.lease(request).await;
            Event::Reported { worker: id, sent_at, result }
        });
    }
}

/// True if a worker is to be asked what it runs.
fn is_watched(worker: &Worker) -> bool {
    worker.is_listed || !worker.runs.is_empty()
}
