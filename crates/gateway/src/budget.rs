//! Bounds what the callers of a process may hold in it: connections, and bytes of heads, bodies and
//! answers that they do not read.
//!
//! Bytes are taken before they are read and are returned when the request ends. When the budget is
//! used up, the connection that has made no progress for the longest time is closed, not the one
//! that came last. Connections whose request is running are not closed for others. The bytes of a
//! closed connection can be taken again once they are freed.

use std::collections::BTreeMap;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use telemetry::Telemetry;
use tokio::sync::Notify;

/// Bytes that count for an open connection: its first buffers and its task.
const CONNECTION_BYTES: usize = 24 * 1_024;
/// Received bytes that count as progress, so that a client cannot stay by sending a byte at times.
const PROGRESS_BYTES: usize = 1_024;
/// Shortest time between two log lines about closed or refused connections.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Limits of a [`Budget`].
#[derive(Clone, Copy, Debug)]
pub struct BudgetLimits {
    /// Maximum number of open connections.
    pub connections_max: usize,
    /// Maximum number of bytes that are held for callers.
    pub memory_max_bytes: usize,
}

impl Default for BudgetLimits {
    fn default() -> Self {
        Self { connections_max: 2_048, memory_max_bytes: 96 << 20 }
    }
}

/// The budget is used up, and no connection could be closed to free some of it.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the memory for callers is used up")]
pub struct BudgetExhausted;

/// Budget of all callers of one interface.
pub struct Budget {
    limits: BudgetLimits,
    telemetry: Option<Telemetry>,
    state: Mutex<State>,
    /// Notified when bytes have been freed.
    freed: Notify,
}

#[derive(Default)]
struct State {
    /// Bytes that are held, including those of connections that are closing.
    held_bytes: usize,
    /// Bytes of connections that are closing.
    closing_bytes: usize,
    /// Number of connections that are not closing.
    open_connections: usize,
    next_id: u64,
    connections: BTreeMap<u64, Entry>,
    logged_at: Option<Instant>,
}

struct Entry {
    /// Bytes of buffers and of reservations, which are freed when the connection is closed.
    held_bytes: usize,
    /// Part of `held_bytes` for buffers of the connection.
    buffer_bytes: usize,
    /// Bytes received since the last progress.
    received_bytes: usize,
    /// Bytes received for the current request, and with it for requests that follow it at once.
    request_bytes: usize,
    /// True while the request runs, so that the caller is not waited for.
    is_running: bool,
    /// True while all received bytes have been read and more are wanted.
    is_read_blocked: bool,
    /// True while the caller does not read what was sent.
    is_write_blocked: bool,
    /// True once the connection has been told to close for others.
    is_closing: bool,
    progress_at: Instant,
    closed: Arc<Notify>,
}

impl Entry {
    fn is_closable(&self) -> bool {
        !self.is_closing && self.is_waiting_for_caller()
    }

    fn is_waiting_for_caller(&self) -> bool {
        (self.is_read_blocked && !self.is_running) || self.is_write_blocked
    }
}

impl Budget {
    /// Creates an unused budget; counts what it closes and refuses in `telemetry`.
    pub fn new(limits: BudgetLimits, telemetry: Option<Telemetry>) -> Arc<Self> {
        Arc::new(Self { limits, telemetry, state: Mutex::default(), freed: Notify::new() })
    }

    /// Takes a connection from the budget, closing another one if it is used up.
    pub fn connect(self: &Arc<Self>, now: Instant) -> Result<ConnectionBudget, BudgetExhausted> {
        let mut state = self.lock();
        if state.open_connections >= self.limits.connections_max {
            self.close_one(&mut state, now)?;
        }
        self.make_room(&mut state, CONNECTION_BYTES, now)?;
        let (id, closed) = (state.next_id, Arc::<Notify>::default());
        state.next_id += 1;
        state.held_bytes += CONNECTION_BYTES;
        state.open_connections += 1;
        let entry = Entry {
            held_bytes: CONNECTION_BYTES,
            buffer_bytes: CONNECTION_BYTES,
            received_bytes: 0,
            request_bytes: 0,
            is_running: false,
            is_read_blocked: true,
            is_write_blocked: false,
            is_closing: false,
            progress_at: now,
            closed: closed.clone(),
        };
        state.connections.insert(id, entry);
        drop(state);
        Ok(ConnectionBudget(Arc::new(Connection { budget: self.clone(), id, closed })))
    }

    /// Closes the connection that waits for its caller and has made no progress for the longest
    /// time, after an operation failed for lack of file descriptors.
    pub fn close_stalest(&self, now: Instant) {
        // Without a connection to close, the operation is tried again later.
        let _ = self.close_one(&mut self.lock(), now);
    }

    /// Closes connections until there is room for `bytes` once what they hold has been freed.
    fn make_room(
        &self,
        state: &mut State,
        bytes: usize,
        now: Instant,
    ) -> Result<(), BudgetExhausted> {
        while state.held_bytes - state.closing_bytes + bytes > self.limits.memory_max_bytes {
            self.close_one(state, now)?;
        }
        Ok(())
    }

    fn close_one(&self, state: &mut State, now: Instant) -> Result<(), BudgetExhausted> {
        let closable = state.connections.values_mut().filter(|entry| entry.is_closable());
        let Some(entry) = closable.min_by_key(|entry| entry.progress_at) else {
            self.report(state, "callers.refused", now);
            return Err(BudgetExhausted);
        };
        entry.is_closing = true;
        entry.closed.notify_one();
        state.closing_bytes += entry.held_bytes;
        state.open_connections -= 1;
        self.report(state, "callers.closed", now);
        Ok(())
    }

    fn report(&self, state: &mut State, metric: &str, now: Instant) {
        let Some(telemetry) = &self.telemetry else { return };
        telemetry.count(metric);
        if state.logged_at.is_some_and(|at| now.saturating_duration_since(at) < LOG_INTERVAL) {
            return;
        }
        state.logged_at = Some(now);
        spdlog::warn!(
            "{metric}: the budget for callers is used up: {} of {} connections, {} of {} bytes",
            state.open_connections,
            self.limits.connections_max,
            state.held_bytes,
            self.limits.memory_max_bytes
        );
    }

    /// Changes what a connection holds by the difference of `taken_bytes` and `freed_bytes`.
    fn change(&self, state: &mut State, id: u64, taken_bytes: usize, freed_bytes: usize) {
        let Some(entry) = state.connections.get_mut(&id) else { return };
        entry.held_bytes = entry.held_bytes + taken_bytes - freed_bytes;
        state.held_bytes = state.held_bytes + taken_bytes - freed_bytes;
        if entry.is_closing {
            state.closing_bytes = state.closing_bytes + taken_bytes - freed_bytes;
        }
        if freed_bytes > 0 {
            self.freed.notify_waiters();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock is never poisoned")
    }
}

/// Part of a budget that one connection holds; clones share it. Returned with the last clone.
#[derive(Clone)]
pub struct ConnectionBudget(Arc<Connection>);

struct Connection {
    budget: Arc<Budget>,
    id: u64,
    closed: Arc<Notify>,
}

impl ConnectionBudget {
    /// Waits until the connection is to be closed in favor of others.
    pub async fn closed(&self) {
        self.0.closed.notified().await;
    }

    /// Counts received bytes as progress. `buffer_max_bytes` is the size up to which the
    /// buffers of the request grow.
    pub fn receive(&self, bytes: usize, buffer_max_bytes: usize, now: Instant) {
        let budget = &self.0.budget;
        let mut state = budget.lock();
        let Some(entry) = state.connections.get_mut(&self.0.id) else { return };
        entry.is_read_blocked = false;
        entry.received_bytes += bytes;
        if entry.received_bytes >= PROGRESS_BYTES {
            entry.received_bytes = 0;
            entry.progress_at = now;
        }
        entry.request_bytes += bytes;
        // A read buffer has up to twice the size of what is in it.
        let request_max_bytes = (2 * entry.request_bytes).min(buffer_max_bytes);
        let buffer_bytes = entry.buffer_bytes.max(CONNECTION_BYTES + request_max_bytes);
        let added_bytes = buffer_bytes - entry.buffer_bytes;
        if added_bytes == 0 || budget.make_room(&mut state, added_bytes, now).is_err() {
            return;
        }
        if let Some(entry) = state.connections.get_mut(&self.0.id) {
            entry.buffer_bytes = buffer_bytes;
        }
        budget.change(&mut state, self.0.id, added_bytes, 0);
    }

    /// Records that more bytes of the caller are wanted than have arrived.
    pub fn set_read_blocked(&self) {
        if let Some(entry) = self.0.budget.lock().connections.get_mut(&self.0.id) {
            entry.is_read_blocked = true;
        }
    }

    /// Records that the request has been received, or that its response has been sent.
    pub fn set_running(&self, is_running: bool, now: Instant) {
        let budget = &self.0.budget;
        let mut state = budget.lock();
        let Some(entry) = state.connections.get_mut(&self.0.id) else { return };
        entry.is_running = is_running;
        entry.progress_at = now;
        let request_bytes = entry.request_bytes;
        // Without new bytes, the request was in the read buffer, which still holds others.
        if !is_running && request_bytes > 0 {
            let buffer_bytes = entry.buffer_bytes.min(CONNECTION_BYTES + 2 * request_bytes);
            let freed_bytes = entry.buffer_bytes - buffer_bytes;
            (entry.buffer_bytes, entry.request_bytes) = (buffer_bytes, 0);
            budget.change(&mut state, self.0.id, 0, freed_bytes);
        }
    }

    /// Records whether the caller has stopped reading; `buffer_bytes` is what it holds then.
    pub fn set_write_blocked(&self, is_blocked: bool, buffer_bytes: usize, now: Instant) {
        let budget = &self.0.budget;
        let mut state = budget.lock();
        let Some(entry) = state.connections.get_mut(&self.0.id) else { return };
        if entry.is_write_blocked == is_blocked {
            return;
        }
        entry.is_write_blocked = is_blocked;
        if !is_blocked {
            entry.progress_at = now;
            return budget.change(&mut state, self.0.id, 0, buffer_bytes);
        }
        budget.change(&mut state, self.0.id, buffer_bytes, 0);
        // Closes others, or this one, until the budget holds again.
        let _ = budget.make_room(&mut state, 0, now);
    }

    /// Returns an empty reservation, which grows before bytes are read.
    pub fn reservation(&self) -> Reservation {
        Reservation { connection: self.clone(), bytes: 0 }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        let Some(entry) = state.connections.remove(&self.id) else { return };
        state.held_bytes -= entry.held_bytes;
        if entry.is_closing {
            state.closing_bytes -= entry.held_bytes;
        } else {
            state.open_connections -= 1;
        }
        self.budget.freed.notify_waiters();
    }
}

/// Bytes of a budget that are held until this is dropped. Keeps the entry of its connection.
pub struct Reservation {
    connection: ConnectionBudget,
    bytes: usize,
}

impl Reservation {
    /// Takes more bytes, so that `bytes` are held. Waits at most `timeout` until they have been
    /// freed by the connections that are closed for them.
    pub async fn grow_to(
        &mut self,
        bytes: usize,
        timeout: Duration,
    ) -> Result<(), BudgetExhausted> {
        let budget = self.connection.0.budget.clone();
        let grow = async {
            loop {
                let mut freed = pin!(budget.freed.notified());
                // Registers before the attempt, so that no notification is missed.
                freed.as_mut().enable();
                if self.try_grow_to(bytes, Instant::now())? {
                    return Ok(());
                }
                freed.await;
            }
        };
        tokio::time::timeout(timeout, grow).await.unwrap_or(Err(BudgetExhausted))
    }

    /// Takes the bytes and returns true if there is room now, else closes connections for them.
    fn try_grow_to(&mut self, bytes: usize, now: Instant) -> Result<bool, BudgetExhausted> {
        let added_bytes = bytes.saturating_sub(self.bytes);
        let connection = &self.connection.0;
        let budget = &connection.budget;
        let mut state = budget.lock();
        budget.make_room(&mut state, added_bytes, now)?;
        if state.held_bytes + added_bytes > budget.limits.memory_max_bytes {
            return Ok(false);
        }
        budget.change(&mut state, connection.id, added_bytes, 0);
        self.bytes += added_bytes;
        Ok(true)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let connection = &self.connection.0;
        let mut state = connection.budget.lock();
        connection.budget.change(&mut state, connection.id, 0, self.bytes);
    }
}
