//! State machine of one member: what arrives and the present time lead to what is sent and written.

use std::time::Duration;
use std::time::Instant;

use model::ConfigVersion;
use model::Incarnation;
use model::NodeId;
use wire::Body;
use wire::Count;
use wire::Heartbeat;

use crate::counts::CountSender;
use crate::failure_detector::FailureDetector;
use crate::failure_detector::NodeLocation;
use crate::failure_detector::SilentLink;
use crate::list::MemberList;
use crate::protocol::Protocol;
use crate::protocol::Timing;
use crate::row::TableView;
use crate::view::MemberView;

/// Rounds after which a heartbeat carries the sender's place again.
const PLACE_EVERY: u64 = 8;

/// Settings of one member.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Node.
    pub node: NodeId,
    /// Where it is reached.
    pub location: NodeLocation,
    /// Times that all nodes share.
    pub timing: Timing,
    /// Time between rounds of heartbeats.
    pub heartbeat_interval: Duration,
    /// Time after which a silent peer is suspected, and a silent link dialled anew.
    pub silence_limit: Duration,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A message arrived.
    Message {
        /// Sending node.
        from: NodeId,
        /// Run of its process.
        incarnation: Incarnation,
        /// Configuration that it reports.
        config_version: ConfigVersion,
        /// What it says.
        body: Body,
    },
    /// A read of the table was answered.
    Table {
        /// When it was sent.
        sent_at: Instant,
        /// What it showed.
        view: TableView,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// To whom.
        to: NodeId,
        /// What.
        body: Body,
    },
    /// Mark the runs of a node in its row.
    Evict {
        /// Node.
        node: NodeId,
        /// Last run.
        incarnation: Incarnation,
    },
    /// Write to a node's row that what its runs held may be taken.
    AllowTakeover {
        /// Node.
        node: NodeId,
        /// Last run.
        incarnation: Incarnation,
    },
    /// Close a silent link and dial anew.
    Redial {
        /// Peer.
        peer: NodeId,
        /// True if the link carried answers since it was last dialled.
        has_replied: bool,
    },
    /// The member list is another one.
    ListChanged,
    /// This node has no fresh proof.
    SelfFenced {
        /// Why.
        reason: &'static str,
    },
    /// This node has a fresh proof again.
    Unfenced,
    /// A run of another node is marked.
    Evicted {
        /// Node.
        node: NodeId,
        /// Last run.
        incarnation: Incarnation,
    },
    /// What a run held may be taken.
    TakeoverAllowed {
        /// Node.
        node: NodeId,
        /// Last run.
        incarnation: Incarnation,
    },
    /// An answer matched no round of this run and was dropped.
    Unmatched,
}

/// One member.
pub struct Member {
    settings: MemberSettings,
    protocol: Protocol,
    failure_detector: FailureDetector,
    count_sender: CountSender,
    counts: Vec<Count>,
    next_beat_at: Instant,
    may_act: bool,
    list_version: u64,
    /// Runs that were seen marked, and those seen taken.
    seen_claims: Vec<(NodeId, Incarnation)>,
}

impl Member {
    /// Member that begins its run at `now`.
    pub fn new(
        settings: MemberSettings,
        incarnation: Incarnation,
        list: MemberList,
        now: Instant,
    ) -> Self {
        let mut failure_detector =
            FailureDetector::new(settings.node.clone(), settings.silence_limit);
        failure_detector.set_list(&list, now);
        let list_version = list.version;
        let protocol = Protocol::new(settings.node.clone(), incarnation, list, settings.timing);
        Self {
            settings,
            protocol,
            failure_detector,
            count_sender: CountSender::default(),
            counts: Vec::new(),
            next_beat_at: now,
            may_act: false,
            list_version,
            seen_claims: Vec::new(),
        }
    }

    /// Proofs and marks.
    pub fn protocol(&self) -> &Protocol {
        &self.protocol
    }

    /// What was heard of the peers.
    pub fn failure_detector(&self) -> &FailureDetector {
        &self.failure_detector
    }

    /// Begins a new run in the same process.
    pub fn start_incarnation(&mut self, incarnation: Incarnation, now: Instant) {
        self.protocol.start_incarnation(incarnation);
        self.next_beat_at = now;
    }

    /// Brings the next round of heartbeats forward to the next tick.
    pub fn send_heartbeat_soon(&mut self, now: Instant) {
        self.next_beat_at = now;
    }

    /// Replaces the counts that heartbeats carry, sorted by key.
    pub fn set_counts(&mut self, counts: Vec<Count>) {
        self.counts = counts;
    }

    /// Takes `input` at `now`; returns what is to be done, in order.
    pub fn step(&mut self, input: Input, now: Instant) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Tick => self.on_tick(now, &mut outputs),
            Input::Message { from, incarnation, config_version, body } => {
                self.failure_detector.on_message(&from, incarnation, config_version, now);
                self.on_body(from, incarnation, body, now, &mut outputs);
            }
            Input::Table { sent_at, view } => self.on_table(&view, sent_at, now),
        }
        self.report_changes(now, &mut outputs);
        outputs
    }

    /// All members as this node sees them, itself included.
    pub fn view(&self, own: MemberView, now: Instant) -> Vec<MemberView> {
        let mut members = vec![own];
        for peer in self.failure_detector.peers() {
            let Some(location) = &peer.location else {
                continue;
            };
            let is_marked = self.protocol.is_evicted(&peer.node, peer.incarnation);
            members.push(MemberView {
                node: peer.node.clone(),
                incarnation: peer.incarnation,
                zone: location.zone.clone(),
                caller_address: location.caller_address,
                admin_address: location.admin_address,
                config_version: peer.config_version,
                is_alive: self.failure_detector.is_alive(peer, now) && !is_marked,
                counts: peer.counts.clone(),
            });
        }
        members.sort_by(|a, b| a.node.cmp(&b.node));
        members
    }

    fn on_tick(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if now >= self.next_beat_at {
            self.next_beat_at = now + self.settings.heartbeat_interval;
            self.beat(now, outputs);
        }
        self.suspect(now, outputs);
        for SilentLink { peer, has_replied } in self.failure_detector.take_silent_links(now) {
            outputs.push(Output::Redial { peer, has_replied });
        }
    }

    fn beat(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let mut heartbeat = self.protocol.beat(now);
        heartbeat.silent = self.failure_detector.silent(self.protocol.list(), now);
        heartbeat.counts = self.count_sender.next(&self.counts);
        if heartbeat.request % PLACE_EVERY == 1 {
            heartbeat.presence = Some(self.settings.location.to_message());
        }
        for peer in self.failure_detector.peers() {
            let body = Body::Heartbeat(Heartbeat::clone(&heartbeat));
            outputs.push(Output::Send { to: peer.node.clone(), body });
        }
    }

    /// Marks and takes in the order of the member list: one node writes, the others follow later.
    fn suspect(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let Some(rank) = self.rank(now) else {
            return;
        };
        let earlier = now.checked_sub(self.settings.heartbeat_interval * 2 * rank);
        let Some(earlier) = earlier else {
            return;
        };
        for (node, incarnation) in self.failure_detector.suspects(self.protocol.list(), earlier) {
            if !self.protocol.is_evicted(&node, incarnation) {
                outputs.push(Output::Evict { node, incarnation });
            }
        }
        for (node, incarnation) in self.protocol.due(earlier) {
            outputs.push(Output::AllowTakeover { node, incarnation });
        }
    }

    /// Members before this one in the list that are alive; `None` outside the list.
    fn rank(&self, now: Instant) -> Option<u32> {
        let position = self.protocol.list().position(&self.settings.node)?;
        let before = &self.protocol.list().members[..position];
        let alive = before.iter().filter(|entry| {
            self.failure_detector
                .peer(&entry.node)
                .is_some_and(|peer| self.failure_detector.is_alive(peer, now))
        });
        Some(alive.count() as u32)
    }

    fn on_body(
        &mut self,
        from: NodeId,
        incarnation: Incarnation,
        body: Body,
        now: Instant,
        outputs: &mut Vec<Output>,
    ) {
        match body {
            Body::Heartbeat(heartbeat) => {
                self.failure_detector.on_heartbeat(&from, &heartbeat);
                let answer = self.protocol.on_heartbeat(&from, incarnation, &heartbeat);
                outputs.push(Output::Send { to: from, body: Body::Answer(answer) });
            }
            Body::Answer(answer) => {
                if !self.protocol.on_answer(&from, &answer, now) {
                    outputs.push(Output::Unmatched);
                    return;
                }
                self.failure_detector.on_answer(&from, now);
            }
            Body::Leave(_) => {
                self.protocol.on_leave(&from, incarnation);
                self.failure_detector.on_leave(&from);
                outputs.push(Output::TakeoverAllowed { node: from, incarnation });
            }
            Body::ConfigRequest(_) | Body::ConfigReply(_) => {}
        }
    }

    fn on_table(&mut self, view: &TableView, sent_at: Instant, now: Instant) {
        self.protocol.on_table(view, sent_at, now);
        for row in &view.rows {
            self.failure_detector.on_row(row);
        }
    }

    fn report_changes(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if self.protocol.list().version != self.list_version {
            self.list_version = self.protocol.list().version;
            self.failure_detector.set_list(self.protocol.list(), now);
            outputs.push(Output::ListChanged);
        }
        let takeovers: Vec<_> = self
            .protocol
            .takeovers()
            .iter()
            .map(|takeover| (takeover.node.clone(), takeover.incarnation))
            .collect();
        for (node, incarnation) in &takeovers {
            if !self.seen_claims.contains(&(node.clone(), *incarnation)) {
                // The others are asked for their agreement at the next tick.
                self.next_beat_at = now;
                outputs.push(Output::Evicted { node: node.clone(), incarnation: *incarnation });
            }
        }
        for (node, incarnation) in std::mem::replace(&mut self.seen_claims, takeovers) {
            let is_open = self.seen_claims.contains(&(node.clone(), incarnation));
            if !is_open && self.protocol.is_gone(&node, incarnation) {
                outputs.push(Output::TakeoverAllowed { node, incarnation });
            }
        }
        let may_act = self.protocol.may_act(now);
        if may_act != self.may_act {
            self.may_act = may_act;
            outputs.push(if may_act { Output::Unfenced } else { self.fenced() });
        }
    }

    fn fenced(&self) -> Output {
        let reason = if self.protocol.is_self_evicted() {
            "this run is marked"
        } else {
            "neither the table nor a majority of the members has confirmed this node in time"
        };
        Output::SelfFenced { reason }
    }
}
