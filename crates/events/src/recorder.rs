//! Bounded ring of the events of one process.

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

/// Events kept in memory.
const EVENTS_MAX: usize = 8_192;

/// Records the events of one process.
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
    /// Recorder of one incarnation of `node`.
    pub fn new(node: NodeId, incarnation: Incarnation) -> Self {
        Self { node, incarnation, ring: Mutex::default() }
    }

    /// Records `kind` at `now`.
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

    /// Reading of the clock, to be sent with a message.
    pub fn timestamp(&self, now: SystemTime) -> HybridTimestamp {
        self.lock().tick(now)
    }

    /// Takes note of a stamp that came with a message, so that later events sort after it.
    pub fn observe(&self, seen: HybridTimestamp, now: SystemTime) {
        let mut ring = self.lock();
        ring.clock = ring.clock.max(seen);
        ring.tick(now);
    }

    /// Events from `sequence` on that are still kept.
    pub fn since(&self, sequence: u64) -> Vec<Event> {
        let ring = self.lock();
        ring.events.iter().filter(|event| event.sequence >= sequence).cloned().collect()
    }

    /// Events that were dropped from the ring.
    pub fn dropped(&self) -> u64 {
        self.lock().dropped
    }

    fn lock(&self) -> MutexGuard<'_, Ring> {
        self.ring.lock().expect("no holder panics")
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
