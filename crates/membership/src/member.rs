//! State machine of one member: messages, table reads and time go in; messages, table writes and
//! events come out.

use std::time::Duration;
use std::time::Instant;

use model::ConfigVersion;
use model::Incarnation;
use model::NodeId;
use wire::Body;
use wire::Heartbeat;
use wire::LimitCounts;

use crate::counts::CountSender;
use crate::failure_detector::FailureDetector;
use crate::failure_detector::NodeLocation;
use crate::failure_detector::SilentLink;
use crate::list::MemberList;
use crate::protocol::Protocol;
use crate::protocol::Timing;
use crate::row::TableView;
use crate::view::MemberView;

/// Number of rounds after which a heartbeat carries the sender's location again.
const LOCATION_INTERVAL_ROUNDS: u64 = 8;

/// Settings of one member.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Name of this node.
    pub node: NodeId,
    /// Availability zone and addresses of this node.
    pub location: NodeLocation,
    /// Lease times; the same at all nodes.
    pub timing: Timing,
    /// Time between two rounds of heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without contact after which a peer is suspected, and time without replies after which a
    /// link is redialled.
    pub silence_limit: Duration,
}

/// An event that the state machine handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message has arrived.
    Message {
        /// Node that sent the message.
        from: NodeId,
        /// Incarnation that sent the message.
        incarnation: Incarnation,
        /// Version of the sender's active configuration.
        config_version: ConfigVersion,
        /// Content of the message.
        body: Body,
    },
    /// A read of the table has succeeded.
    Table {
        /// When the read was sent; a table lease that it renews starts then.
        sent_at: Instant,
        /// Rows that the read returned.
        view: TableView,
    },
}

/// An action that the caller performs, or an event that it reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// Receiving node.
        to: NodeId,
        /// Content of the message.
        body: Body,
    },
    /// Write to the row of `node` that its incarnations up to `incarnation` are evicted.
    Evict {
        /// Node to evict.
        node: NodeId,
        /// Latest incarnation to evict.
        incarnation: Incarnation,
    },
    /// Write to the row of `node` that the resources of its incarnations up to `incarnation` may be
    /// taken over.
    AllowTakeover {
        /// Evicted node.
        node: NodeId,
        /// Latest incarnation whose resources may be taken over.
        incarnation: Incarnation,
    },
    /// Close a link without replies and connect again.
    Redial {
        /// Node at the other end of the link.
        peer: NodeId,
        /// True if a reply had arrived since the link was last dialled.
        has_replied: bool,
    },
    /// This node has adopted another member list.
    ListChanged,
    /// Both leases of this node have expired, or its incarnation is evicted.
    SelfFenced {
        /// Which of the two it was, for the log.
        reason: &'static str,
    },
    /// This node has a lease again.
    Unfenced,
    /// The eviction of another node is in the table, and its takeover is under way.
    Evicted {
        /// Evicted node.
        node: NodeId,
        /// Latest evicted incarnation.
        incarnation: Incarnation,
    },
    /// The resources of an evicted or departed incarnation may be taken over.
    TakeoverAllowed {
        /// Node that held the resources.
        node: NodeId,
        /// Latest incarnation that held them.
        incarnation: Incarnation,
    },
    /// A reply that matches no round of this incarnation was dropped.
    Unmatched,
}

/// One member of the cluster, as a state machine without I/O.
pub struct Member {
    settings: MemberSettings,
    protocol: Protocol,
    failure_detector: FailureDetector,
    count_sender: CountSender,
    counts: Vec<LimitCounts>,
    next_heartbeat_at: Instant,
    may_act: bool,
    list_version: u64,
    /// Takeovers that were under way after the previous step; a difference is reported as an
    /// output.
    seen_takeovers: Vec<(NodeId, Incarnation)>,
}

impl Member {
    /// Creates a member whose incarnation starts at `now`.
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
            next_heartbeat_at: now,
            may_act: false,
            list_version,
            seen_takeovers: Vec::new(),
        }
    }

    /// Returns the leases, evictions and takeovers.
    pub fn protocol(&self) -> &Protocol {
        &self.protocol
    }

    /// Returns the state of the peers.
    pub fn failure_detector(&self) -> &FailureDetector {
        &self.failure_detector
    }

    /// Starts a new incarnation in the same process.
    pub fn start_incarnation(&mut self, incarnation: Incarnation, now: Instant) {
        self.protocol.start_incarnation(incarnation);
        self.next_heartbeat_at = now;
    }

    /// Makes the next tick start a round of heartbeats.
    pub fn send_heartbeat_soon(&mut self, now: Instant) {
        self.next_heartbeat_at = now;
    }

    /// Replaces the counts that heartbeats carry; `counts` is sorted by key.
    pub fn set_counts(&mut self, counts: Vec<LimitCounts>) {
        self.counts = counts;
    }

    /// Handles `input` at `now`; returns the outputs in the order in which they are to be
    /// performed.
    pub fn step(&mut self, input: Input, now: Instant) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Tick => self.handle_tick(now, &mut outputs),
            Input::Message { from, incarnation, config_version, body } => {
                self.failure_detector.record_message(&from, incarnation, config_version, now);
                self.handle_body(from, incarnation, body, now, &mut outputs);
            }
            Input::Table { sent_at, view } => self.handle_table_view(&view, sent_at, now),
        }
        self.report_changes(now, &mut outputs);
        outputs
    }

    /// Returns all members as this node sees them, itself included, sorted by node.
    pub fn view(&self, own: MemberView, now: Instant) -> Vec<MemberView> {
        let mut members = vec![own];
        for peer in self.failure_detector.peers() {
            let Some(location) = &peer.location else {
                continue;
            };
            let is_evicted = self.protocol.is_evicted(&peer.node, peer.incarnation);
            members.push(MemberView {
                node: peer.node.clone(),
                incarnation: peer.incarnation,
                zone: location.zone.clone(),
                caller_address: location.caller_address,
                admin_address: location.admin_address,
                config_version: peer.config_version,
                is_alive: self.failure_detector.is_alive(peer, now) && !is_evicted,
                counts: peer.counts.clone(),
            });
        }
        members.sort_by(|a, b| a.node.cmp(&b.node));
        members
    }

    fn handle_tick(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + self.settings.heartbeat_interval;
            self.send_heartbeats(now, outputs);
        }
        self.request_evictions_and_takeovers(now, outputs);
        for SilentLink { peer, has_replied } in self.failure_detector.take_silent_links(now) {
            outputs.push(Output::Redial { peer, has_replied });
        }
    }

    fn send_heartbeats(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let mut heartbeat = self.protocol.start_heartbeat_round(now);
        heartbeat.silent = self.failure_detector.silent_positions(self.protocol.list(), now);
        heartbeat.counts = self.count_sender.next(&self.counts);
        if heartbeat.request % LOCATION_INTERVAL_ROUNDS == 1 {
            heartbeat.presence = Some(self.settings.location.to_message());
        }
        for peer in self.failure_detector.peers() {
            let body = Body::Heartbeat(Heartbeat::clone(&heartbeat));
            outputs.push(Output::Send { to: peer.node.clone(), body });
        }
    }

    /// Requests the writes of evictions and takeovers. Live members act in the order of the list,
    /// each two heartbeat intervals after the previous one, so that usually only the first one
    /// writes.
    fn request_evictions_and_takeovers(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let Some(live_members_before) = self.live_members_before(now) else {
            return;
        };
        let delayed_now =
            now.checked_sub(self.settings.heartbeat_interval * 2 * live_members_before);
        let Some(delayed_now) = delayed_now else {
            return;
        };
        for (node, incarnation) in self.failure_detector.suspects(self.protocol.list(), delayed_now)
        {
            if !self.protocol.is_evicted(&node, incarnation) {
                outputs.push(Output::Evict { node, incarnation });
            }
        }
        for (node, incarnation) in self.protocol.due_takeovers(delayed_now) {
            outputs.push(Output::AllowTakeover { node, incarnation });
        }
    }

    /// Returns how many members that precede this one in the list are alive; `None` if this node is
    /// not in the list.
    fn live_members_before(&self, now: Instant) -> Option<u32> {
        let position = self.protocol.list().position(&self.settings.node)?;
        let before = &self.protocol.list().members[..position];
        let alive = before.iter().filter(|entry| {
            self.failure_detector
                .peer(&entry.node)
                .is_some_and(|peer| self.failure_detector.is_alive(peer, now))
        });
        Some(alive.count() as u32)
    }

    fn handle_body(
        &mut self,
        from: NodeId,
        incarnation: Incarnation,
        body: Body,
        now: Instant,
        outputs: &mut Vec<Output>,
    ) {
        match body {
            Body::Heartbeat(heartbeat) => {
                self.failure_detector.record_heartbeat(&from, &heartbeat);
                let reply = self.protocol.handle_heartbeat(&from, incarnation, &heartbeat);
                outputs.push(Output::Send { to: from, body: Body::HeartbeatReply(reply) });
            }
            Body::HeartbeatReply(reply) => {
                if !self.protocol.handle_reply(&from, &reply, now) {
                    outputs.push(Output::Unmatched);
                    return;
                }
                self.failure_detector.record_reply(&from, now);
            }
            Body::Leave(_) => {
                self.protocol.handle_leave(&from, incarnation);
                self.failure_detector.record_leave(&from);
                outputs.push(Output::TakeoverAllowed { node: from, incarnation });
            }
            Body::ConfigRequest(_) | Body::ConfigReply(_) => {}
        }
    }

    fn handle_table_view(&mut self, view: &TableView, sent_at: Instant, now: Instant) {
        self.protocol.handle_table_view(view, sent_at, now);
        for row in &view.rows {
            self.failure_detector.record_row(row);
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
            if !self.seen_takeovers.contains(&(node.clone(), *incarnation)) {
                // The next tick asks the other members for their agreement to the eviction.
                self.next_heartbeat_at = now;
                outputs.push(Output::Evicted { node: node.clone(), incarnation: *incarnation });
            }
        }
        for (node, incarnation) in std::mem::replace(&mut self.seen_takeovers, takeovers) {
            let is_under_way = self.seen_takeovers.contains(&(node.clone(), incarnation));
            if !is_under_way && self.protocol.is_gone(&node, incarnation) {
                outputs.push(Output::TakeoverAllowed { node, incarnation });
            }
        }
        let may_act = self.protocol.may_act(now);
        if may_act != self.may_act {
            self.may_act = may_act;
            outputs.push(if may_act { Output::Unfenced } else { self.self_fenced_output() });
        }
    }

    fn self_fenced_output(&self) -> Output {
        let reason = if self.protocol.is_self_evicted() {
            "this run is marked"
        } else {
            "neither the table nor a majority of the members has confirmed this node in time"
        };
        Output::SelfFenced { reason }
    }
}
