//! A few nodes, the table and all packets in transit, as a state that a test can branch from.
//!
//! The nodes run the real [`Protocol`]. A packet that is never delivered is lost; a node that takes
//! no action is paused; a table that nobody reads is down. Reads take effect when they are sent and
//! writes take effect at once, which gives the longest leases and the earliest takeovers.

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
use wire::Heartbeat;
use wire::HeartbeatReply;

/// Length of a tick; the TTL is [`TTL_TICKS`] ticks.
const TICK: Duration = Duration::from_secs(1);
const TTL_TICKS: u32 = 1;

/// Rule of the protocol that a test omits, by changing what surrounds the real code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OmittedRule {
    Nothing,
    /// Successors do not wait for leases to expire.
    Wait,
    /// Successors treat their own agreement as that of a majority.
    Majority,
    /// A restarted witness treats itself as informed.
    Witness,
    /// Any reply is treated as a reply to the latest round.
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
    /// `sent_at` is the time of the heartbeat.
    Reply {
        from: usize,
        to: usize,
        sent_at: Instant,
        reply: HeartbeatReply,
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
    Heartbeats(usize),
    ReadOwn(usize),
    ReadAll(usize),
    Evict(usize),
    AllowTakeover(usize),
    Restart(usize),
    Deliver(usize),
    Drop(usize),
    PutMember(usize),
    RemoveMember(usize),
}

#[derive(Clone)]
pub struct World {
    pub now: Instant,
    pub nodes: Vec<Protocol>,
    pub rows: Vec<MemberRow>,
    pub list: MemberList,
    pub packets: Vec<Packet>,
    last_requests: Vec<u64>,
    omitted_rule: OmittedRule,
}

pub fn name(index: usize) -> NodeId {
    format!("n{index}").into()
}

fn entry(index: usize) -> MemberEntry {
    let peer_address = ([10, 0, 0, index as u8], 1).into();
    MemberEntry { node: name(index), peer_address }
}

fn timing(omitted_rule: OmittedRule) -> Timing {
    let ttl = TICK * TTL_TICKS;
    match omitted_rule {
        OmittedRule::Wait => Timing { ttl: Duration::ZERO, margin: Duration::ZERO },
        _ => Timing { ttl, margin: Duration::ZERO },
    }
}

impl World {
    /// Creates `count` nodes, of which the first `member_count` are members. Node 0 is the holder;
    /// it follows all rules even if `omitted_rule` applies to the others.
    pub fn new(count: usize, member_count: usize, omitted_rule: OmittedRule, now: Instant) -> Self {
        let list = MemberList::first((0..member_count).map(entry).collect());
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
            omitted_rule,
        };
        for index in 0..count {
            let mut node = world.new_node(index, 1);
            node.handle_table_view(&world.view(true), now, now);
            world.nodes.push(node);
        }
        // The table lease from the first read has expired.
        world.now += TICK * TTL_TICKS;
        world
    }

    /// True if an incarnation acts although its takeover was allowed.
    pub fn has_overlap(&self) -> bool {
        let pairs = self.nodes.iter().zip(&self.rows);
        pairs
            .into_iter()
            .any(|(node, row)| row.takeover_up_to >= node.incarnation() && node.may_act(self.now))
    }

    /// Returns a hash of the state that does not depend on the order of the packets.
    pub fn fingerprint(&self) -> u64 {
        let state = (self.now, &self.nodes, &self.rows, &self.list, &self.last_requests);
        self.packets.iter().fold(hash(&state), |sum, packet| sum.wrapping_add(hash(packet)))
    }

    /// Returns the state after `action`; `None` if the action is not possible.
    pub fn after(&self, action: Action) -> Option<Self> {
        let mut next = self.clone();
        next.apply(action)?;
        next.drop_harmless_packets();
        Some(next)
    }

    fn apply(&mut self, action: Action) -> Option<()> {
        match action {
            Action::Tick => self.now += TICK,
            Action::Heartbeats(index) => self.start_heartbeat_round(index),
            Action::ReadOwn(index) => self.read(index, false),
            Action::ReadAll(index) => self.read(index, true),
            Action::Evict(index) => {
                let row = &mut self.rows[index];
                if row.evicted_up_to >= row.incarnation {
                    return None;
                }
                *row = row.clone().with_eviction(row.incarnation);
            }
            Action::AllowTakeover(index) => self.allow_takeover(index)?,
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
            Action::PutMember(index) => self.change_list(ListChange::Put(entry(index)))?,
            Action::RemoveMember(index) => self.change_list(ListChange::Remove(name(index)))?,
        }
        Some(())
    }

    /// Drops packets that can at most make a node self-fenced, as if they were lost: fewer states,
    /// and the same overlaps are found.
    fn drop_harmless_packets(&mut self) {
        if self.omitted_rule == OmittedRule::Matching {
            return;
        }
        let mut packets = std::mem::take(&mut self.packets);
        packets.retain(|packet| !self.is_harmless(packet));
        self.packets = packets;
    }

    fn is_harmless(&self, packet: &Packet) -> bool {
        let is_old = |sent_at: Instant| self.now >= sent_at + TICK * TTL_TICKS;
        match packet {
            Packet::Heartbeat { from, incarnation, sent_at, heartbeat, .. } => {
                let is_from_earlier_incarnation = *incarnation < self.nodes[*from].incarnation();
                let is_plain = heartbeat.evictions.is_empty() && heartbeat.informed;
                is_plain && (is_from_earlier_incarnation || is_old(*sent_at))
            }
            Packet::Reply { to, sent_at, reply, .. } => {
                let is_plain = reply.evictions.is_empty() && reply.list.is_none();
                let is_from_earlier_incarnation =
                    reply.to_incarnation < self.nodes[*to].incarnation();
                is_from_earlier_incarnation || (is_plain && is_old(*sent_at))
            }
            Packet::Table { sent_at, view, .. } => !view.is_complete && is_old(*sent_at),
        }
    }

    fn start_heartbeat_round(&mut self, from: usize) {
        let heartbeat = self.nodes[from].start_heartbeat_round(self.now);
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

    fn allow_takeover(&mut self, successor: usize) -> Option<()> {
        let due = self.nodes[successor].due_takeovers(self.now);
        let (node, incarnation) = due.first()?;
        let row = self.rows.iter_mut().find(|row| row.node == *node)?;
        *row = row.clone().with_takeover(*incarnation);
        Some(())
    }

    fn restart(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation() + 1;
        self.rows[index] = self.rows[index].clone().with_incarnation(incarnation);
        self.nodes[index] = self.new_node(index, incarnation);
        if self.omitted_rule == OmittedRule::Witness {
            let nothing = TableView { rows: Vec::new(), list: None, is_complete: true };
            self.nodes[index].handle_table_view(&nothing, self.now, self.now);
        }
        self.last_requests[index] = 0;
        // Reads end with the process; replies of peers may still arrive.
        self.packets.retain(|packet| !matches!(packet, Packet::Table { to, .. } if *to == index));
    }

    fn deliver(&mut self, packet: Packet) {
        match packet {
            Packet::Heartbeat { from, to, incarnation, sent_at, heartbeat } => {
                let reply = self.nodes[to].handle_heartbeat(&name(from), incarnation, &heartbeat);
                self.packets.push(Packet::Reply { from: to, to: from, sent_at, reply });
            }
            Packet::Reply { from, to, mut reply, .. } => {
                if self.omitted_rule == OmittedRule::Matching {
                    reply.request = self.last_requests[to];
                    reply.to_incarnation = self.nodes[to].incarnation();
                }
                self.nodes[to].handle_reply(&name(from), &reply, self.now);
            }
            Packet::Table { to, sent_at, view } => {
                self.nodes[to].handle_table_view(&view, sent_at, self.now);
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

    fn new_node(&self, index: usize, incarnation: u64) -> Protocol {
        let omitted_here = if index == 0 { OmittedRule::Nothing } else { self.omitted_rule };
        let mut list = MemberList::first(self.list.members.clone());
        if omitted_here == OmittedRule::Majority {
            list.members.retain(|entry| entry.node == name(index));
        }
        Protocol::new(name(index), incarnation, list, timing(omitted_here))
    }

    fn view(&self, is_complete: bool) -> TableView {
        let list = (self.omitted_rule != OmittedRule::Majority).then(|| self.list.clone());
        TableView { rows: self.rows.clone(), list, is_complete }
    }
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
