//! Records the events of one process in a bounded ring.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use model::Incarnation;
use model::NodeId;

use crate::event::Event;
use crate::event::EventKind;
use crate::event::HybridTimestamp;

/// Maximum number of events in the ring.
const EVENTS_MAX: usize = 8_192;

/// Records and timestamps the events of one process.
pub struct Recorder {
    node: NodeId,
    incarnation: Incarnation,
    ring: Mutex<Ring>,
}

#[derive(Default)]
struct Ring {
    clock: HybridTimestamp,
    next_sequence: u64,
    events: VecDeque<Event>,
    dropped: u64,
}

impl Recorder {
    /// Creates the recorder of one incarnation of `node`.
    pub fn new(node: NodeId, incarnation: Incarnation) -> Self {
        Self { node, incarnation, ring: Mutex::default() }
    }

    /// Records an event. If the ring is full, drops the oldest event.
    pub fn record(&self, kind: EventKind, now: SystemTime) {
        let mut ring = self.lock();
        let timestamp = ring.tick(now);
        let sequence = ring.next_sequence;
        ring.next_sequence += 1;
        if ring.events.len() == EVENTS_MAX {
            ring.events.pop_front();
            ring.dropped += 1;
        }
        let event = Event {
            timestamp,
            node: self.node.clone(),
            incarnation: self.incarnation,
            sequence,
            kind,
        };
        ring.events.push_back(event);
    }

    /// Advances the hybrid clock and returns its timestamp, to be sent with a message.
    pub fn timestamp(&self, now: SystemTime) -> HybridTimestamp {
        self.lock().tick(now)
    }

    /// Advances the hybrid clock past the timestamp of a received message, so that later events
    /// sort after the message.
    pub fn observe(&self, received: HybridTimestamp, now: SystemTime) {
        let mut ring = self.lock();
        ring.clock = ring.clock.max(received);
        ring.tick(now);
    }

    /// Returns the events in the ring whose sequence number is `sequence` or higher.
    pub fn since(&self, sequence: u64) -> Vec<Event> {
        let ring = self.lock();
        ring.events.iter().filter(|event| event.sequence >= sequence).cloned().collect()
    }

    /// Returns the number of events that were dropped because the ring was full.
    pub fn dropped(&self) -> u64 {
        self.lock().dropped
    }

    fn lock(&self) -> MutexGuard<'_, Ring> {
        self.ring.lock().expect("lock is never poisoned")
    }
}

impl Ring {
    fn tick(&mut self, now: SystemTime) -> HybridTimestamp {
        let wall_ms = now.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        self.clock = if wall_ms > self.clock.wall_ms {
            HybridTimestamp { wall_ms, logical: 0 }
        } else {
            HybridTimestamp { wall_ms: self.clock.wall_ms, logical: self.clock.logical + 1 }
        };
        self.clock
    }
}
