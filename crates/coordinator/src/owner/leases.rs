//! Leases of workers: each is asked for at short intervals what it runs.

use std::time::Duration;

use scheduler::Moment;
use scheduler::WorkerId;
use scheduler::WorkerReport;
use scheduler::worker::Worker;

use super::Owner;
use super::event::Event;
use crate::clock;
use crate::metrics;
use crate::ports::Changes;
use crate::ports::LeaseRequest;
use crate::ports::Platform;
use crate::ports::ReadError;
use crate::ports::Row;
use crate::ports::RowVersion;
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
                self.watches.begin(&worker.registration.id, now);
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
            |id: &WorkerId| !scheduler.worker(id).is_some_and(Worker::has_unstored_completions);
        for waited in self.watches.stored(are_all_stored, now) {
            self.shared.telemetry.time(metrics::ENDS_STORE, waited);
        }
    }

    /// Takes in the answer of a worker.
    pub(super) fn take_report(
        &mut self,
        id: WorkerId,
        sent_at: Moment,
        result: Result<WorkerReport, WorkerError>,
    ) {
        let now = clock::now();
        let mut next = Next::AtOnce;
        match result {
            Ok(report) => self.scheduler.handle_report(&id, &report, sent_at, now),
            Err(WorkerError::Fenced) => self.scheduler.mark_fenced(),
            Err(WorkerError::OtherInstance) => {
                self.scheduler.handle_worker_gone(&id, "another instance answers", now);
            }
            Err(error) => {
                self.shared.telemetry.count(metrics::LOOKS_FAILED);
                telemetry::log::line("worker-silent")
                    .field("worker", &*id)
                    .text("why", error)
                    .write();
                self.scheduler.handle_failed_poll(&id, now);
                next = Next::Later;
            }
        }
        if self.scheduler.worker(&id).is_some_and(Worker::has_unstored_completions) {
            next = Next::OnceStored;
        }
        self.watches.answered(&id, next, now);
    }

    /// Follows the registry of workers.
    pub(super) fn follow_registry(&mut self) {
        let (shared, events) = (self.shared.clone(), self.events.clone());
        let read = move |version| {
            let shared = shared.clone();
            async move { shared.platform.registered(version, CHANGES_WAIT).await }
        };
        let send = move |changes| {
            let events = events.clone();
            async move {
                let is_sent = events.send(Event::Registered { changes }).await.is_ok();
                tokio::time::sleep(REGISTRY_PAUSE).await;
                is_sent
            }
        };
        self.calls.spawn(follow("registry-not-read", read, send));
    }

    /// Follows the requests that nodes store.
    pub(super) fn follow_inbox(&mut self) {
        let (shared, events) = (self.shared.clone(), self.events.clone());
        let read = move |version| {
            let shared = shared.clone();
            async move {
                match version {
                    None => shared.platform.read_whole(Table::Inbox).await,
                    Some(version) => {
                        shared.platform.changes(Table::Inbox, version, CHANGES_WAIT).await
                    }
                }
            }
        };
        let send = move |changes: Changes<Row>| {
            let events = events.clone();
            async move {
                let rows = changes.changed;
                rows.is_empty() || events.send(Event::Inbox { rows }).await.is_ok()
            }
        };
        self.calls.spawn(follow("inbox-not-read", read, send));
    }

    fn ask_worker(&mut self, id: WorkerId, now: Moment) {
        let Some(worker) = self.scheduler.worker(&id) else {
            return;
        };
        let wait = match () {
            // The first look is to see what runs, and ends that are listed would answer at once.
            () if worker.has_unstored_completions() || worker.clock_min_ms(now).is_none() => {
                Duration::ZERO
            }
            () if worker.runs.is_empty() => WAIT_IDLE,
            () => WAIT_BUSY,
        };
        let request = LeaseRequest {
            worker: id.clone(),
            address: worker.registration.address,
            token: self.epoch,
            last_stored_completion: worker.last_stored_completion,
            deadline_ms: self.scheduler.request_lease(&id, now),
            wait,
        };
        self.tally.look();
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
    worker.is_registered || !worker.runs.is_empty()
}

/// Reads all rows and then their changes, for as long as `send` takes them; begins anew when the changes
/// since the last read are not kept any more.
async fn follow<T, R, S>(
    not_read: &'static str,
    read: impl Fn(Option<RowVersion>) -> R,
    send: impl Fn(Changes<T>) -> S,
) where
    R: Future<Output = Result<Changes<T>, ReadError>>,
    S: Future<Output = bool>,
{
    let mut version = None;
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
