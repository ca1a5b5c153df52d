//! Simulates members in virtual time: the real state machines with a table that can be made
//! unavailable and links that lose messages.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use membership::Input;
use membership::Member;
use membership::MemberEntry;
use membership::MemberList;
use membership::MemberRow;
use membership::MemberSettings;
use membership::NodeLocation;
use membership::Output;
use membership::TableView;
use membership::Timing;
use model::NodeId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use wire::Body;

/// Duration of a lease.
pub const TTL: Duration = Duration::from_secs(4);
/// Time between two rounds of heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without contact after which a peer is suspected.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Virtual time that one tick advances.
pub const TICK: Duration = Duration::from_millis(125);
/// Number of ticks between two reads of the table by the same node.
const READ_TICKS: u64 = 8;

/// A message in flight; nodes are given by their index.
struct Packet {
    from: usize,
    incarnation: u64,
    to: usize,
    body: Body,
}

/// Simulated members, their table and the links between them.
pub struct VirtualFleet {
    /// Current virtual time.
    pub now: Instant,
    /// True while the table can be read and written.
    pub is_table_up: bool,
    /// Percentage of the messages that are lost.
    pub loss_percent: u32,
    /// By node index; `None` while the node is down.
    members: Vec<Option<Member>>,
    /// Contents of the table, by node index.
    rows: Vec<MemberRow>,
    list: MemberList,
    packets: VecDeque<Packet>,
    ticks: u64,
    rng: StdRng,
}

/// Returns the name of the node with an index.
pub fn node_name(index: usize) -> NodeId {
    format!("n{index:03}").into()
}

/// Returns the settings of the node with an index.
pub fn member_settings(index: usize) -> MemberSettings {
    let address: SocketAddr = ([10, 0, 0, index as u8], 7_802).into();
    MemberSettings {
        node: node_name(index),
        location: NodeLocation {
            zone: "a".into(),
            caller_address: address,
            admin_address: address,
        },
        timing: Timing { ttl: TTL, margin: TTL / 20 },
        heartbeat_interval: HEARTBEAT_INTERVAL,
        silence_limit: SILENCE_LIMIT,
    }
}

/// Returns the row that registers the first incarnation of a node.
pub fn initial_row(index: usize, peer_address: SocketAddr) -> MemberRow {
    let NodeLocation { zone, caller_address, admin_address } = member_settings(index).location;
    MemberRow {
        node: node_name(index),
        incarnation: 1,
        evicted_up_to: 0,
        takeover_up_to: 0,
        zone,
        caller_address,
        admin_address,
        peer_address,
    }
}

impl VirtualFleet {
    /// Starts `count` nodes; `seed` determines which messages are lost.
    pub fn new(count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let address = |index| SocketAddr::from(([10, 0, 0, index as u8], 7_802));
        let entry = |index| MemberEntry { node: node_name(index), peer_address: address(index) };
        let list = MemberList::first((0..count).map(entry).collect());
        let member = |index| Some(Member::new(member_settings(index), 1, list.clone(), now));
        Self {
            now,
            is_table_up: true,
            loss_percent: 0,
            members: (0..count).map(member).collect(),
            rows: (0..count).map(|index| initial_row(index, address(index))).collect(),
            list,
            packets: VecDeque::new(),
            ticks: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns a member; `None` while its node is down.
    pub fn member(&self, index: usize) -> Option<&Member> {
        self.members[index].as_ref()
    }

    /// Counts the running members that may act.
    pub fn count_acting(&self) -> usize {
        let running = self.members.iter().flatten();
        running.filter(|member| member.protocol().may_act(self.now)).count()
    }

    /// Counts the running members that have a table lease.
    pub fn count_with_table_lease(&self) -> usize {
        let running = self.members.iter().flatten();
        running.filter(|member| member.protocol().has_table_lease(self.now)).count()
    }

    /// Stops a node without notice to its peers.
    pub fn fail(&mut self, index: usize) {
        self.members[index] = None;
    }

    /// Starts a stopped node again, with a new incarnation; writes it to the table if `registers`.
    pub fn restart(&mut self, index: usize, registers: bool) {
        let incarnation = self.rows[index].incarnation + 1;
        if registers {
            self.rows[index] = self.rows[index].clone().with_incarnation(incarnation);
        }
        let member = Member::new(member_settings(index), incarnation, self.list.clone(), self.now);
        self.members[index] = Some(member);
    }

    /// Returns true once the table allows the takeover of the resources of an incarnation.
    pub fn is_takeover_allowed(&self, index: usize, incarnation: u64) -> bool {
        self.rows[index].takeover_up_to >= incarnation
    }

    /// Advances virtual time by one [`TICK`] and delivers the messages in flight.
    pub fn tick(&mut self) {
        self.now += TICK;
        self.ticks += 1;
        for index in 0..self.members.len() {
            self.step(index, Input::Tick);
            if self.is_table_up && (self.ticks + index as u64).is_multiple_of(READ_TICKS) {
                let view = self.view();
                self.step(index, Input::Table { sent_at: self.now, view });
            }
        }
        while let Some(packet) = self.packets.pop_front() {
            self.deliver(packet);
        }
    }

    fn view(&self) -> TableView {
        TableView { rows: self.rows.clone(), list: Some(self.list.clone()), is_complete: true }
    }

    fn deliver(&mut self, packet: Packet) {
        if self.rng.random_range(0..100) < self.loss_percent {
            return;
        }
        let Packet { from, incarnation, to, body } = packet;
        let from = node_name(from);
        self.step(to, Input::Message { from, incarnation, config_version: 1, body });
    }

    fn step(&mut self, index: usize, input: Input) {
        let Some(member) = &mut self.members[index] else {
            return;
        };
        let outputs = member.step(input, self.now);
        let incarnation = member.protocol().incarnation();
        for output in outputs {
            match output {
                Output::Send { to, body } => {
                    if let Some(to) = self.list.position(&to) {
                        self.packets.push_back(Packet { from: index, incarnation, to, body });
                    }
                }
                Output::Evict { node, incarnation } => {
                    self.update_row(&node, |row| row.with_eviction(incarnation));
                }
                Output::AllowTakeover { node, incarnation } => {
                    self.update_row(&node, |row| row.with_takeover(incarnation));
                }
                _ => {}
            }
        }
    }

    fn update_row(&mut self, node: &str, change: impl FnOnce(MemberRow) -> MemberRow) {
        if let (true, Some(index)) = (self.is_table_up, self.list.position(node)) {
            self.rows[index] = change(self.rows[index].clone());
        }
    }
}
