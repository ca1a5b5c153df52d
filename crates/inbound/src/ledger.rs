//! Decides which connections and body bytes are admitted, and which connections are closed.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Bytes of a body that count as part of its connection, so that ordinary requests never wait for
/// the bytes that large bodies hold.
pub const FREE_BODY_BYTES: usize = 8 << 10;
/// Shortest time for which a connection without a request in progress is kept open, whatever the
/// idle timeout: callers send further requests on it.
const KEEP_ALIVE_MIN: Duration = Duration::from_secs(15);
/// Mean rate below which a body counts as too slow after the idle timeout, in bytes per second.
const BODY_RATE_MIN: u32 = 1_024;
/// Time in which a body is not closed in favour of another one.
pub(crate) const BODY_GRACE: Duration = Duration::from_secs(1);

/// Identifies a connection within a budget; rises with each connection.
pub(crate) type ConnectionId = u64;

/// What callers may hold, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of connections.
    pub connections_max: usize,
    /// Maximum size of all bodies together, beside [`FREE_BODY_BYTES`] of each, in bytes.
    pub body_bytes_max: usize,
    /// Maximum size of the head of a request, in bytes.
    pub head_bytes_max: usize,
    /// Maximum time from the first byte of a request to the end of its head.
    pub head_timeout: Duration,
    /// Maximum time without progress.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections_max: 1_024,
            body_bytes_max: 16 << 20,
            head_bytes_max: 16 << 10,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseCause {
    /// The budget is used up, and this connection has the least progress.
    #[error("no room for another connection or body")]
    NoRoom,
    /// The head of a request is late.
    #[error("the head of a request is late")]
    LateHead,
    /// The body of a request is late.
    #[error("the body of a request is late")]
    LateBody,
    /// No request came, or the response was not read.
    #[error("no request came, or the response was not read")]
    Idle,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// For the first byte of a request, or for the caller to read the response.
    Idle,
    /// For the rest of a head.
    Head,
    /// For the rest of a body.
    Body,
    /// For the response.
    Serving,
}

#[derive(Clone, Debug)]
struct Entry {
    phase: Phase,
    phase_began_at: Instant,
    progressed_at: Instant,
    /// Bytes received in this phase.
    received_bytes: u64,
    /// Bytes of the body that count against the budget.
    body_bytes: usize,
    has_been_served: bool,
    is_closing: bool,
}

/// Connections of one port and what they hold.
#[derive(Debug)]
pub(crate) struct Ledger {
    pub limits: Limits,
    entries: BTreeMap<ConnectionId, Entry>,
    next_id: ConnectionId,
}

impl Ledger {
    pub fn new(limits: Limits) -> Self {
        Self { limits, entries: BTreeMap::new(), next_id: 0 }
    }

    /// Adds a connection. Returns its id and the connection to close for it; none if there is no
    /// room and no other connection can be closed.
    pub fn open(&mut self, now: Instant) -> Option<(ConnectionId, Option<ConnectionId>)> {
        let closed = match self.has_room() {
            true => None,
            false => Some(self.close_slowest()?),
        };
        let id = self.next_id;
        self.next_id += 1;
        let entry = Entry {
            phase: Phase::Idle,
            phase_began_at: now,
            progressed_at: now,
            received_bytes: 0,
            body_bytes: 0,
            has_been_served: false,
            is_closing: false,
        };
        self.entries.insert(id, entry);
        Some((id, closed))
    }

    fn has_room(&self) -> bool {
        let connections_max = self.limits.connections_max;
        let is_open = |entry: &&Entry| !entry.is_closing;
        self.entries.len() < connections_max
            || self.entries.values().filter(is_open).count() < connections_max
    }

    /// Marks the connection with the least progress as closing: first those that have never been
    /// served or stopped within a request, then those that have waited longest.
    pub fn close_slowest(&mut self) -> Option<ConnectionId> {
        let waiting = self.entries.iter_mut();
        let waiting =
            waiting.filter(|(_, entry)| !entry.is_closing && entry.phase != Phase::Serving);
        let (id, entry) = waiting.min_by_key(|(_, entry)| {
            (entry.phase == Phase::Idle && entry.has_been_served, entry.phase_began_at)
        })?;
        entry.is_closing = true;
        Some(*id)
    }

    pub fn remove(&mut self, id: ConnectionId) {
        self.entries.remove(&id);
    }

    pub fn enter(&mut self, id: ConnectionId, phase: Phase, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.has_been_served |= entry.phase == Phase::Serving && phase == Phase::Idle;
            entry.phase = phase;
            entry.phase_began_at = now;
            entry.progressed_at = now;
            entry.received_bytes = 0;
        }
    }

    pub fn record_read(&mut self, id: ConnectionId, bytes: usize, now: Instant) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if entry.phase == Phase::Idle && bytes > 0 {
            entry.phase = Phase::Head;
            entry.phase_began_at = now;
            entry.received_bytes = 0;
        }
        entry.received_bytes += bytes as u64;
        entry.progressed_at = now;
    }

    pub fn record_write(&mut self, id: ConnectionId, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.progressed_at = now;
        }
    }

    /// Records that a body has taken bytes.
    pub fn record_taken(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.body_bytes += bytes;
        }
    }

    /// Records that a body has given its bytes back.
    pub fn record_released(&mut self, id: ConnectionId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.body_bytes = 0;
        }
    }

    /// Marks the connection whose body comes slowest as closing.
    pub fn close_slowest_body(
        &mut self,
        except: ConnectionId,
        now: Instant,
    ) -> Option<ConnectionId> {
        let bodies = self.entries.iter_mut().filter(|(id, entry)| {
            let is_held = entry.phase == Phase::Body && entry.body_bytes > 0;
            let is_due = now.saturating_duration_since(entry.phase_began_at) >= BODY_GRACE;
            is_held && is_due && !entry.is_closing && **id != except
        });
        let (id, entry) = bodies.max_by_key(|(_, entry)| {
            let age_ms = now.saturating_duration_since(entry.phase_began_at).as_millis() as u64;
            (Reverse(entry.received_bytes * 1_000 / age_ms.max(1)), age_ms)
        })?;
        entry.is_closing = true;
        Some(*id)
    }

    /// Marks the connections as closing that are late, and returns them.
    pub fn close_late(&mut self, now: Instant) -> Vec<(ConnectionId, CloseCause)> {
        let limits = self.limits;
        let late = self.entries.iter_mut().filter(|(_, entry)| !entry.is_closing);
        let late = late.filter_map(|(id, entry)| {
            let cause = entry.late(&limits, now)?;
            entry.is_closing = true;
            Some((*id, cause))
        });
        late.collect()
    }
}

impl Entry {
    fn late(&self, limits: &Limits, now: Instant) -> Option<CloseCause> {
        let phase_time = now.saturating_duration_since(self.phase_began_at);
        let still_time = now.saturating_duration_since(self.progressed_at);
        let body_time = limits.idle_timeout
            + Duration::from_secs(1) * (self.received_bytes as u32 / BODY_RATE_MIN);
        match self.phase {
            Phase::Head => (phase_time >= limits.head_timeout).then_some(CloseCause::LateHead),
            Phase::Body => {
                let is_late = still_time >= limits.idle_timeout || phase_time >= body_time;
                is_late.then_some(CloseCause::LateBody)
            }
            Phase::Idle => {
                let is_late = still_time >= limits.idle_timeout.max(KEEP_ALIVE_MIN);
                is_late.then_some(CloseCause::Idle)
            }
            Phase::Serving => None,
        }
    }
}
