//! A few nodes, the table and everything on its way, as a state that a test can branch from.
//!
//! The nodes run the real decisions. A message or answer that is never delivered is lost; a node
//! that does nothing is paused; a table that nobody reaches is down. Reads take effect when they
//! are sent and writes at once, which leaves the longest proofs and the earliest take-overs.

use std::collections::hash_map::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;
use std::time::Instant;

use membership::ListChange;
use membership::MemberEntry;
use membership::MemberList;
use membership::MemberRow;
use membership::Protocol;
use membership::TableView;
use membership::Timing;
use membership::next_list;
use model::NodeId;
use wire::Answer;
use wire::Heartbeat;

/// Length of a tick; the TTL is [`TTL_TICKS`] of them.
const TICK: Duration = Duration::from_secs(1);
const TTL_TICKS: u32 = 1;

/// Rule that is left out, by what the test does around the real decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Broken {
    Nothing,
    /// Takers wait no time.
    Wait,
    /// Takers take their own agreement for a majority's.
    Majority,
    /// A restarted witness takes itself for informed.
    Witness,
    /// Any answer is taken for an answer to the latest round.
    Matching,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Packet {
    Heartbeat {
        from: usize,
        to: usize,
        incarnation: u64,
        sent_at: Instant,
        heartbeat: Heartbeat,
    },
    /// `sent_at` is that of the heartbeat.
    Answer {
        from: usize,
        to: usize,
        sent_at: Instant,
        answer: Answer,
    },
    Table {
        to: usize,
        sent_at: Instant,
        view: TableView,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    Tick,
    Beat(usize),
    ReadOwn(usize),
    ReadAll(usize),
    Evict(usize),
    AllowTakeover(usize),
    Restart(usize),
    Deliver(usize),
    Drop(usize),
    Put(usize),
    Remove(usize),
}

#[derive(Clone)]
pub struct World {
    pub now: Instant,
    pub nodes: Vec<Protocol>,
    pub rows: Vec<MemberRow>,
    pub list: MemberList,
    pub packets: Vec<Packet>,
    last_requests: Vec<u64>,
    broken: Broken,
}

pub fn name(index: usize) -> NodeId {
    format!("n{index}").into()
}

fn entry(index: usize) -> MemberEntry {
    let peer_address = ([10, 0, 0, index as u8], 1).into();
    MemberEntry { node: name(index), peer_address }
}

fn timing(broken: Broken) -> Timing {
    let ttl = TICK * TTL_TICKS;
    match broken {
        Broken::Wait => Timing { ttl: Duration::ZERO, margin: Duration::ZERO },
        _ => Timing { ttl, margin: Duration::ZERO },
    }
}

impl World {
    /// `count` nodes, of which the first `listed` are members; the first one holds, and under a
    /// broken rule it still keeps the rules of a holder.
    pub fn new(count: usize, listed: usize, broken: Broken, now: Instant) -> Self {
        let list = MemberList::first((0..listed).map(entry).collect());
        let row = |index| MemberRow {
            node: name(index),
            incarnation: 1,
            evicted_up_to: 0,
            takeover_up_to: 0,
            zone: "a".into(),
            caller_address: ([10, 0, 0, 1], 1).into(),
            admin_address: ([10, 0, 0, 1], 2).into(),
            peer_address: ([10, 0, 0, 1], 3).into(),
        };
        let mut world = Self {
            now,
            nodes: Vec::new(),
            rows: (0..count).map(row).collect(),
            list,
            packets: Vec::new(),
            last_requests: vec![0; count],
            broken,
        };
        for index in 0..count {
            let mut node = world.fresh_node(index, 1);
            node.on_table(&world.view(true), now, now);
            world.nodes.push(node);
        }
        // The proof that came with the first read has lapsed.
        world.now += TICK * TTL_TICKS;
        world
    }

    /// True if a run acts although what it holds was taken.
    pub fn overlaps(&self) -> bool {
        let pairs = self.nodes.iter().zip(&self.rows);
        pairs
            .into_iter()
            .any(|(node, row)| row.takeover_up_to >= node.incarnation() && node.may_act(self.now))
    }

    /// Hash of the state; the order of packets makes no difference.
    pub fn fingerprint(&self) -> u64 {
        let state = (self.now, &self.nodes, &self.rows, &self.list, &self.last_requests);
        self.packets.iter().fold(hash(&state), |sum, packet| sum.wrapping_add(hash(packet)))
    }

    /// State after `action`; `None` if it is not possible.
    pub fn after(&self, action: Action) -> Option<Self> {
        let mut next = self.clone();
        next.apply(action)?;
        next.drop_idle_packets();
        Some(next)
    }

    fn apply(&mut self, action: Action) -> Option<()> {
        match action {
            Action::Tick => self.now += TICK,
            Action::Beat(index) => self.beat(index),
            Action::ReadOwn(index) => self.read(index, false),
            Action::ReadAll(index) => self.read(index, true),
            Action::Evict(index) => {
                let row = &mut self.rows[index];
                if row.evicted_up_to >= row.incarnation {
                    return None;
                }
                *row = row.clone().with_eviction(row.incarnation);
            }
            Action::AllowTakeover(index) => self.take(index)?,
            Action::Restart(index) => self.restart(index),
            Action::Deliver(index) => {
                if index >= self.packets.len() {
                    return None;
                }
                let packet = self.packets.remove(index);
                self.deliver(packet);
            }
            Action::Drop(index) => {
                if index >= self.packets.len() {
                    return None;
                }
                self.packets.remove(index);
            }
            Action::Put(index) => self.change_list(ListChange::Put(entry(index)))?,
            Action::Remove(index) => self.change_list(ListChange::Remove(name(index)))?,
        }
        Some(())
    }

    /// Drops what could at most fence a node, as if it were lost: fewer states, the same overlaps.
    fn drop_idle_packets(&mut self) {
        if self.broken == Broken::Matching {
            return;
        }
        let mut packets = std::mem::take(&mut self.packets);
        packets.retain(|packet| !self.is_idle(packet));
        self.packets = packets;
    }

    fn is_idle(&self, packet: &Packet) -> bool {
        let is_old = |sent_at: Instant| self.now >= sent_at + TICK * TTL_TICKS;
        match packet {
            Packet::Heartbeat { from, incarnation, sent_at, heartbeat, .. } => {
                let is_earlier_run = *incarnation < self.nodes[*from].incarnation();
                let is_plain = heartbeat.evictions.is_empty() && heartbeat.informed;
                is_plain && (is_earlier_run || is_old(*sent_at))
            }
            Packet::Answer { to, sent_at, answer, .. } => {
                let is_plain = answer.evictions.is_empty() && answer.list.is_none();
                let is_earlier_run = answer.to_incarnation < self.nodes[*to].incarnation();
                is_earlier_run || (is_plain && is_old(*sent_at))
            }
            Packet::Table { sent_at, view, .. } => !view.is_complete && is_old(*sent_at),
        }
    }

    fn beat(&mut self, from: usize) {
        let heartbeat = self.nodes[from].beat(self.now);
        self.last_requests[from] = heartbeat.request;
        let incarnation = self.nodes[from].incarnation();
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            let heartbeat = heartbeat.clone();
            let sent_at = self.now;
            self.packets.push(Packet::Heartbeat { from, to, incarnation, sent_at, heartbeat });
        }
    }

    fn read(&mut self, to: usize, is_complete: bool) {
        let mut view = self.view(is_complete);
        if !is_complete {
            view.rows = vec![self.rows[to].clone()];
        }
        self.packets.push(Packet::Table { to, sent_at: self.now, view });
    }

    fn take(&mut self, taker: usize) -> Option<()> {
        let due = self.nodes[taker].due(self.now);
        let (node, incarnation) = due.first()?;
        let row = self.rows.iter_mut().find(|row| row.node == *node)?;
        *row = row.clone().with_takeover(*incarnation);
        Some(())
    }

    fn restart(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation() + 1;
        self.rows[index] = self.rows[index].clone().with_incarnation(incarnation);
        self.nodes[index] = self.fresh_node(index, incarnation);
        if self.broken == Broken::Witness {
            let nothing = TableView { rows: Vec::new(), list: None, is_complete: true };
            self.nodes[index].on_table(&nothing, self.now, self.now);
        }
        self.last_requests[index] = 0;
        // Answers of the table end with the process; answers of peers come late.
        self.packets.retain(|packet| !matches!(packet, Packet::Table { to, .. } if *to == index));
    }

    fn deliver(&mut self, packet: Packet) {
        match packet {
            Packet::Heartbeat { from, to, incarnation, sent_at, heartbeat } => {
                let answer = self.nodes[to].on_heartbeat(&name(from), incarnation, &heartbeat);
                self.packets.push(Packet::Answer { from: to, to: from, sent_at, answer });
            }
            Packet::Answer { from, to, mut answer, .. } => {
                if self.broken == Broken::Matching {
                    answer.request = self.last_requests[to];
                    answer.to_incarnation = self.nodes[to].incarnation();
                }
                self.nodes[to].on_answer(&name(from), &answer, self.now);
            }
            Packet::Table { to, sent_at, view } => {
                self.nodes[to].on_table(&view, sent_at, self.now);
            }
        }
    }

    fn change_list(&mut self, change: ListChange) -> Option<()> {
        let version = |node: &Protocol| node.list().version;
        let reports: Vec<_> =
            self.nodes.iter().enumerate().map(|(i, node)| (name(i), version(node))).collect();
        self.list = next_list(&self.list, &reports, change).ok()?;
        Some(())
    }

    fn fresh_node(&self, index: usize, incarnation: u64) -> Protocol {
        let own_rules = if index == 0 { Broken::Nothing } else { self.broken };
        let mut list = MemberList::first(self.list.members.clone());
        if own_rules == Broken::Majority {
            list.members.retain(|entry| entry.node == name(index));
        }
        Protocol::new(name(index), incarnation, list, timing(own_rules))
    }

    fn view(&self, is_complete: bool) -> TableView {
        let list = (self.broken != Broken::Majority).then(|| self.list.clone());
        TableView { rows: self.rows.clone(), list, is_complete }
    }
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
