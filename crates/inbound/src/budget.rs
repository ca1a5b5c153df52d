//! The budget of a port, which its connections share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use telemetry::Telemetry;
use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::connection::Connection;
use crate::ledger::BODY_GRACE;
use crate::ledger::CloseCause;
use crate::ledger::ConnectionId;
use crate::ledger::Ledger;
use crate::ledger::Limits;
use crate::metrics;

/// Connections and body bytes that the callers of a port may hold.
pub struct Budget {
    /// Name of the port in the log.
    port: &'static str,
    telemetry: Telemetry,
    /// Free bytes for bodies; those who wait get them in turn.
    body_bytes: Arc<Semaphore>,
    state: Mutex<State>,
}

struct State {
    ledger: Ledger,
    /// Tells the tasks of connections that they are closed; sorted by id.
    close_signals: Vec<(ConnectionId, Arc<Notify>)>,
}

impl Budget {
    /// Creates a budget for a port.
    pub fn new(port: &'static str, limits: Limits, telemetry: Telemetry) -> Arc<Self> {
        telemetry.declare(metrics::METRICS);
        let body_bytes = Arc::new(Semaphore::new(limits.body_bytes_max));
        let state = State { ledger: Ledger::new(limits), close_signals: Vec::new() };
        Arc::new(Self { port, telemetry, body_bytes, state: Mutex::new(state) })
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> Limits {
        self.lock().ledger.limits
    }

    /// Sets other limits, for open connections too; the limit of a head only for new ones. The limit
    /// of all bodies stays as it was at the start.
    pub fn set_limits(&self, limits: Limits) {
        self.lock().ledger.limits = limits;
    }

    /// Adds a connection, for which another one may be closed; returns none if there is no room.
    pub fn open(self: &Arc<Self>, now: Instant) -> Option<Arc<Connection>> {
        let mut state = self.lock();
        let Some((id, closed)) = state.ledger.open(now) else {
            drop(state);
            self.report(CloseCause::NoRoom);
            return None;
        };
        let close_signal = Arc::new(Notify::new());
        state.close_signals.push((id, close_signal.clone()));
        state.signal(closed);
        drop(state);
        if closed.is_some() {
            self.report(CloseCause::NoRoom);
        }
        Some(Arc::new(Connection { budget: self.clone(), id, close_signal }))
    }

    /// Closes the connection with the least progress.
    pub fn close_slowest(&self) {
        let mut state = self.lock();
        let closed = state.ledger.close_slowest();
        state.signal(closed);
        drop(state);
        if closed.is_some() {
            self.report(CloseCause::NoRoom);
        }
    }

    /// Closes connections that are late.
    pub fn close_late(&self, now: Instant) {
        let mut state = self.lock();
        let closed = state.ledger.close_late(now);
        for (id, _) in &closed {
            state.signal(Some(*id));
        }
        drop(state);
        for (_, cause) in closed {
            self.report(cause);
        }
    }

    /// Counts an event of the port.
    pub(crate) fn count(&self, metric: &'static str) {
        self.telemetry.count(metric);
    }

    /// Name of the port in the log.
    pub(crate) fn port(&self) -> &'static str {
        self.port
    }

    /// Changes the ledger.
    pub(crate) fn update(&self, change: impl FnOnce(&mut Ledger)) {
        change(&mut self.lock().ledger);
    }

    /// Takes bytes for a body. Closes slower bodies for them, and waits up to `timeout` for those to
    /// give theirs back.
    pub(crate) async fn take(
        &self,
        id: ConnectionId,
        bytes: usize,
        timeout: Duration,
    ) -> Option<OwnedSemaphorePermit> {
        let count = u32::try_from(bytes).ok()?;
        let free = self.body_bytes.clone().try_acquire_many_owned(count).ok();
        let permit = match free {
            Some(permit) => permit,
            None => self.wait_for(id, count, timeout).await?,
        };
        self.update(|ledger| ledger.record_taken(id, bytes));
        Some(permit)
    }

    async fn wait_for(
        &self,
        id: ConnectionId,
        bytes: u32,
        timeout: Duration,
    ) -> Option<OwnedSemaphorePermit> {
        let deadline = Instant::now() + timeout;
        let acquired = self.body_bytes.clone().acquire_many_owned(bytes);
        tokio::pin!(acquired);
        loop {
            self.close_slowest_body(id);
            // Bodies that are too young to be closed now may be old enough then.
            let next_attempt = deadline.min(Instant::now() + BODY_GRACE);
            match tokio::time::timeout_at(next_attempt, &mut acquired).await {
                Ok(permit) => return permit.ok(),
                Err(_) if next_attempt == deadline => return None,
                Err(_) => {}
            }
        }
    }

    fn close_slowest_body(&self, except: ConnectionId) {
        let mut state = self.lock();
        let closed = state.ledger.close_slowest_body(except, Instant::now());
        state.signal(closed);
        drop(state);
        if closed.is_some() {
            self.report(CloseCause::NoRoom);
        }
    }

    /// Removes a connection.
    pub(crate) fn remove(&self, id: ConnectionId) {
        let mut state = self.lock();
        state.ledger.remove(id);
        if let Ok(index) = state.close_signals.binary_search_by_key(&id, |(id, _)| *id) {
            state.close_signals.remove(index);
        }
    }

    fn report(&self, cause: CloseCause) {
        let metric = match cause {
            CloseCause::NoRoom => metrics::CLOSED_FOR_ROOM,
            CloseCause::Idle | CloseCause::LateHead | CloseCause::LateBody => metrics::CLOSED_LATE,
        };
        self.count(metric);
        // An idle connection is closed on calm days too.
        if cause != CloseCause::Idle {
            let line = telemetry::log::line("connection-closed").field("port", self.port);
            line.text("why", cause).write();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock is never poisoned")
    }
}

impl State {
    fn signal(&mut self, closed: Option<ConnectionId>) {
        let Some(closed) = closed else {
            return;
        };
        if let Ok(index) = self.close_signals.binary_search_by_key(&closed, |(id, _)| *id) {
            self.close_signals[index].1.notify_one();
        }
    }
}
