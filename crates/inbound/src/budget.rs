//! The budget of a port, which its connections share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use telemetry::Telemetry;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::connection::Connection;
use crate::ledger::Admission;
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
    state: Mutex<State>,
}

struct State {
    ledger: Ledger,
    /// Tells the tasks of connections that they are closed; sorted by id.
    close_signals: Vec<(ConnectionId, Arc<Notify>)>,
    /// Tasks that wait for body bytes.
    waiting: Vec<Waker>,
}

impl Budget {
    /// Creates a budget for a port.
    pub fn new(port: &'static str, limits: Limits, telemetry: Telemetry) -> Arc<Self> {
        telemetry.declare(metrics::METRICS);
        let state =
            State { ledger: Ledger::new(limits), close_signals: Vec::new(), waiting: Vec::new() };
        Arc::new(Self { port, telemetry, state: Mutex::new(state) })
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> Limits {
        self.lock().ledger.limits
    }

    /// Sets other limits, for open connections too; the limit of a head only for new ones.
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
        // A body may now be old enough to be closed for them.
        state.wake_waiting();
        drop(state);
        for (_, cause) in closed {
            self.report(cause);
        }
    }

    /// Returns true if no connection is open.
    pub fn is_empty(&self) -> bool {
        self.lock().ledger.connections() == 0
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

    /// Takes bytes for a body, and closes slower bodies for them.
    pub(crate) fn poll_take(
        &self,
        id: ConnectionId,
        bytes: usize,
        now: Instant,
        context: &mut Context<'_>,
    ) -> Poll<()> {
        let mut state = self.lock();
        let (admission, closed) = state.ledger.take(id, bytes, now);
        state.signal(closed);
        if admission == Admission::Wait {
            state.waiting.push(context.waker().clone());
        }
        drop(state);
        if closed.is_some() {
            self.report(CloseCause::NoRoom);
        }
        match admission {
            Admission::Granted => Poll::Ready(()),
            Admission::Wait => Poll::Pending,
        }
    }

    /// Gives back the bytes of a body.
    pub(crate) fn release(&self, id: ConnectionId) {
        let mut state = self.lock();
        state.ledger.release(id);
        state.wake_waiting();
    }

    /// Removes a connection.
    pub(crate) fn remove(&self, id: ConnectionId) {
        let mut state = self.lock();
        state.ledger.remove(id);
        if let Ok(index) = state.close_signals.binary_search_by_key(&id, |(id, _)| *id) {
            state.close_signals.remove(index);
        }
        state.wake_waiting();
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

    fn wake_waiting(&mut self) {
        for waker in self.waiting.drain(..) {
            waker.wake();
        }
    }
}
