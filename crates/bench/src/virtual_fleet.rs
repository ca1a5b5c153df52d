//! Members in virtual time: the real state machines, a table that can be down, and lossy links.

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

/// How long a proof lasts.
pub const TTL: Duration = Duration::from_secs(4);
/// Time between rounds of heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a peer is silent.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Virtual time between two ticks.
pub const TICK: Duration = Duration::from_millis(125);
/// Ticks between two reads of the table by one node.
const READ_TICKS: u64 = 8;

/// A message on its way.
struct Packet {
    from: usize,
    incarnation: u64,
    to: usize,
    body: Body,
}

/// Members in virtual time.
pub struct VirtualFleet {
    /// Present time.
    pub now: Instant,
    /// True while the table answers.
    pub is_table_up: bool,
    /// Messages lost, in percent.
    pub loss_percent: u32,
    /// `None` for a node that is down.
    members: Vec<Option<Member>>,
    rows: Vec<MemberRow>,
    list: MemberList,
    packets: VecDeque<Packet>,
    ticks: u64,
    random: StdRng,
}

/// Name of a node.
pub fn name(index: usize) -> NodeId {
    format!("n{index:03}").into()
}

/// Settings of a node.
pub fn settings(index: usize) -> MemberSettings {
    let address: SocketAddr = ([10, 0, 0, index as u8], 7_802).into();
    MemberSettings {
        node: name(index),
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

/// First row of a node.
pub fn row(index: usize, peer_address: SocketAddr) -> MemberRow {
    let NodeLocation { zone, caller_address, admin_address } = settings(index).location;
    MemberRow {
        node: name(index),
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
    /// `count` nodes that all run.
    pub fn new(count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let address = |index| SocketAddr::from(([10, 0, 0, index as u8], 7_802));
        let entry = |index| MemberEntry { node: name(index), peer_address: address(index) };
        let list = MemberList::first((0..count).map(entry).collect());
        let member = |index| Some(Member::new(settings(index), 1, list.clone(), now));
        Self {
            now,
            is_table_up: true,
            loss_percent: 0,
            members: (0..count).map(member).collect(),
            rows: (0..count).map(|index| row(index, address(index))).collect(),
            list,
            packets: VecDeque::new(),
            ticks: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// A member that runs.
    pub fn member(&self, index: usize) -> Option<&Member> {
        self.members[index].as_ref()
    }

    /// Members that run and may act.
    pub fn acting(&self) -> usize {
        let running = self.members.iter().flatten();
        running.filter(|member| member.protocol().may_act(self.now)).count()
    }

    /// Members that run and have the table's proof.
    pub fn acting_by_table(&self) -> usize {
        let running = self.members.iter().flatten();
        running.filter(|member| member.protocol().has_table_lease(self.now)).count()
    }

    /// Ends a node without a word.
    pub fn fail(&mut self, index: usize) {
        self.members[index] = None;
    }

    /// Starts a failed node again; it registers through the table if `registers`.
    pub fn restart(&mut self, index: usize, registers: bool) {
        let incarnation = self.rows[index].incarnation + 1;
        if registers {
            self.rows[index] = self.rows[index].clone().with_incarnation(incarnation);
        }
        let member = Member::new(settings(index), incarnation, self.list.clone(), self.now);
        self.members[index] = Some(member);
    }

    /// True once the table says that what a run held may be taken.
    pub fn is_taken(&self, index: usize, incarnation: u64) -> bool {
        self.rows[index].takeover_up_to >= incarnation
    }

    /// Lets one tick pass.
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
        if self.random.random_range(0..100) < self.loss_percent {
            return;
        }
        let Packet { from, incarnation, to, body } = packet;
        let from = name(from);
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
                    self.write(&node, |row| row.with_eviction(incarnation));
                }
                Output::AllowTakeover { node, incarnation } => {
                    self.write(&node, |row| row.with_takeover(incarnation));
                }
                _ => {}
            }
        }
    }

    fn write(&mut self, node: &str, change: impl FnOnce(MemberRow) -> MemberRow) {
        if let (true, Some(index)) = (self.is_table_up, self.list.position(node)) {
            self.rows[index] = change(self.rows[index].clone());
        }
    }
}
