//! The task that owns the state machine of this node's membership.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use events::EventKind;
use events::HybridTimestamp;
use gateway::NodeContext;
use limits::Tokens;
use membership::Input;
use membership::ListChange;
use membership::Member;
use membership::MemberEntry;
use membership::MemberList;
use membership::MemberSettings;
use membership::MemberView;
use membership::NodeLocation;
use membership::Output;
use membership::TableView;
use membership::Timing;
use membership::next_list;
use model::ConfigVersion;
use model::Incarnation;
use model::NodeId;
use rand::RngExt;
use services::Unavailable;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use wire::Body;
use wire::ClusterKey;
use wire::ConfigRequest;
use wire::Envelope;
use wire::Inbox;
use wire::Leave;
use wire::Link;
use wire::Outbox;

use crate::members::config::Informers;
use crate::members::config::reply_to;
use crate::members::rows::Rows;
use crate::members::rows::own_row;
use crate::settings::Peering;
use crate::shared::Shared;

/// Ticks of the state machine in one heartbeat interval.
const TICKS_PER_HEARTBEAT: u32 = 4;
/// Reads of the own row in one TTL, at least.
const READS_PER_TTL: u32 = 3;
/// Reads of the own row for each read of all rows.
const OWN_READS_PER_WHOLE: u32 = 4;
/// Heartbeat intervals after which a peer is silent.
const SILENCE_HEARTBEATS: u32 = 4;
/// Part of the TTL that takers wait longer, because clocks run at different rates.
const MARGIN_DIVISOR: u32 = 20;
/// TTLs after which a node that is gone leaves the member list.
const FORGET_TTLS: u32 = 150;
/// Time that the last messages have to leave the process.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Results of table calls that wait at most.
const REPORTS_MAX: usize = 32;

/// What a call to the table led to.
enum Report {
    /// A read was answered, or not.
    Read { sent_at: Instant, view: Result<TableView, Unavailable> },
    /// A write was settled; rows may have changed.
    Written,
    /// A new run was registered, or not.
    Registered { incarnation: Option<Incarnation> },
}

/// How far a marked node is with its next run.
enum Rejoin {
    /// Not needed.
    Idle,
    /// The next run is being registered.
    Registering,
    /// The table did not answer; tried again after `until`.
    Delayed { until: Instant },
    /// The next run begins at `at`; until then the parts of the node drop what the last one held.
    Waiting { incarnation: Incarnation, at: Instant },
}

/// Owns the state machine.
pub struct Driver {
    shared: Arc<Shared>,
    peering: Peering,
    member: Member,
    link: Arc<dyn Link>,
    inbox: Inbox,
    outbox: Outbox,
    rows: Rows,
    own: MemberView,
    informers: Informers,
    rejoin: Rejoin,
    /// Version of the configuration that the last heartbeats told.
    told_version: ConfigVersion,
    reports: mpsc::Sender<Report>,
    reported: mpsc::Receiver<Report>,
    next_read_at: Instant,
    reads: u32,
    is_reading: bool,
    wants_whole: bool,
    is_writing: bool,
}

impl Driver {
    /// Driver of a run that has not begun.
    pub fn new(
        shared: Arc<Shared>,
        peering: Peering,
        link: Arc<dyn Link>,
        own: MemberView,
    ) -> Self {
        let now = Instant::now();
        let location = NodeLocation {
            zone: own.zone.clone(),
            caller_address: own.caller_address,
            admin_address: own.admin_address,
        };
        let settings = MemberSettings {
            node: own.node.clone(),
            location,
            timing: Timing { ttl: peering.ttl, margin: peering.ttl / MARGIN_DIVISOR },
            heartbeat_interval: peering.heartbeat_interval,
            silence_limit: peering.heartbeat_interval * SILENCE_HEARTBEATS,
        };
        let list = MemberList::first(peering.members.clone());
        let member = Member::new(settings, own.incarnation, list, now);
        let key = ClusterKey::derive(&peering.cluster, &peering.secret);
        let (reports, reported) = mpsc::channel(REPORTS_MAX);
        Self {
            inbox: Inbox::new(&peering.cluster, own.node.clone(), key.clone()),
            outbox: Outbox::new(&peering.cluster, own.node.clone(), key),
            rows: Rows::new(shared.platform.table.clone()),
            shared,
            peering,
            member,
            link,
            own,
            informers: Informers::default(),
            rejoin: Rejoin::Idle,
            told_version: 0,
            reports,
            reported,
            next_read_at: now,
            reads: 0,
            is_reading: false,
            wants_whole: true,
            is_writing: false,
        }
    }

    /// Runs until `left` says that the node leaves.
    pub async fn run(mut self, mut frames: mpsc::Receiver<Bytes>, mut left: oneshot::Receiver<()>) {
        self.connect();
        let mut ticks =
            tokio::time::interval(self.peering.heartbeat_interval / TICKS_PER_HEARTBEAT);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = &mut left => break,
                _ = ticks.tick() => self.on_tick(),
                Some(frame) = frames.recv() => self.on_frame(&frame),
                Some(report) = self.reported.recv() => self.on_report(report),
            }
        }
        self.leave().await;
    }

    fn on_tick(&mut self) {
        let now = Instant::now();
        self.member.set_counts(self.shared.counts());
        let version = self.shared.config().version;
        if version != self.told_version {
            // The peers hear of it at once instead of at their next poll.
            self.told_version = version;
            self.member.send_heartbeat_soon(now);
        }
        self.step(Input::Tick, now);
        self.rejoin_if_marked(now);
        self.ask_for_config(now);
        self.read_table(now);
        let own = MemberView {
            config_version: self.shared.config().version,
            is_alive: self.shared.may_admit(now),
            counts: self.own_counts(),
            ..self.own.clone()
        };
        self.shared.set_members(self.member.view(own, now));
    }

    /// The ledger writes this node's counts into its view.
    fn own_counts(&self) -> Vec<wire::LimitCounts> {
        let members = self.shared.members();
        let index = members.binary_search_by(|member| member.node.cmp(&self.own.node));
        index.map_or_else(|_| Vec::new(), |index| members[index].counts.clone())
    }

    fn on_frame(&mut self, frame: &Bytes) {
        self.shared.telemetry.count_many("peer.received_bytes", frame.len() as u64);
        let envelope = match self.inbox.open(frame) {
            Ok(envelope) => envelope,
            Err(refused) => return self.shared.telemetry.count(refused.counter()),
        };
        let timestamp = HybridTimestamp {
            wall_ms: envelope.timestamp_wall_ms,
            logical: envelope.timestamp_logical,
        };
        self.shared.events.observe(timestamp, SystemTime::now());
        let from: NodeId = envelope.sender.as_str().into();
        self.on_envelope(from, envelope);
    }

    fn on_envelope(&mut self, from: NodeId, envelope: Envelope) {
        match envelope.body {
            None => self.shared.telemetry.count("peer.unknown_kind"),
            Some(Body::ConfigRequest(request)) => {
                let config = self.shared.config();
                let reply = reply_to(request.held_version, &config);
                self.send(&from, Body::ConfigReply(reply));
            }
            Some(Body::ConfigReply(reply)) => {
                let held = self.shared.config().version;
                let list = self.member.protocol().list();
                if let Some(config) = self.informers.on_reply(&from, &reply, held, list) {
                    self.shared.telemetry.count("config.from_peer");
                    self.shared.put_in_force(config);
                }
            }
            Some(body) => {
                if envelope.config_version > self.shared.config().version {
                    self.shared.poll_now.notify_one();
                }
                let (incarnation, config_version) = (envelope.incarnation, envelope.config_version);
                let input = Input::Message { from, incarnation, config_version, body };
                self.step(input, Instant::now());
            }
        }
    }

    fn on_report(&mut self, report: Report) {
        match report {
            Report::Read { sent_at, view } => {
                self.is_reading = false;
                self.on_read(sent_at, view);
            }
            Report::Written => {
                self.is_writing = false;
                self.wants_whole = true;
                self.next_read_at = Instant::now();
            }
            Report::Registered { incarnation } => self.on_registered(incarnation),
        }
    }

    fn on_read(&mut self, sent_at: Instant, view: Result<TableView, Unavailable>) {
        let Ok(view) = view else {
            self.shared.telemetry.count("member.table_unavailable");
            return;
        };
        let is_complete = view.is_complete;
        let has_list = view.list.is_some();
        let own = view.rows.iter().find(|row| row.node == self.own.node);
        let is_registered = own.is_some_and(|row| row.incarnation >= self.own.incarnation);
        for row in &view.rows {
            self.shared.standing.set_gone(&row.node, row.takeover_up_to);
        }
        self.step(Input::Table { sent_at, view }, Instant::now());
        if !is_registered && matches!(self.rejoin, Rejoin::Idle) {
            self.register();
        }
        if is_complete {
            self.wants_whole = !self.member.protocol().takeovers().is_empty();
            self.keep_list(has_list);
        }
    }

    /// Takes `input` and does what follows from it.
    fn step(&mut self, input: Input, now: Instant) {
        for output in self.member.step(input, now) {
            self.perform(output);
        }
        self.shared.standing.set_until(self.member.protocol().may_act_until());
    }

    fn perform(&mut self, output: Output) {
        let record = |kind| self.shared.events.record(kind, SystemTime::now());
        match output {
            Output::Send { to, body } => self.send(&to, body),
            Output::Evict { node, incarnation } => self.write(move |rows| async move {
                rows.mark(&node, incarnation).await;
            }),
            Output::AllowTakeover { node, incarnation } => self.write(move |rows| async move {
                rows.take(&node, incarnation).await;
            }),
            Output::Redial { peer, has_replied } => {
                self.shared.telemetry.count("peer.redialled");
                // Further tries change no state.
                if has_replied {
                    record(EventKind::LinkRedialled { peer: peer.clone() });
                }
                self.link.redial(&peer);
            }
            Output::ListChanged => self.connect(),
            Output::SelfFenced { reason } => {
                self.shared.telemetry.count("member.fenced");
                record(EventKind::NodeFenced { reason: reason.to_owned() });
                spdlog::warn!("node {} takes no new work: {reason}", self.own.node);
            }
            Output::Unfenced => {
                record(EventKind::NodeUnfenced);
                spdlog::info!("node {} takes new work", self.own.node);
            }
            Output::Evicted { node, incarnation } => {
                record(EventKind::PeerMarked { peer: node, incarnation });
            }
            Output::TakeoverAllowed { node, incarnation } => {
                self.shared.telemetry.count("peer.taken");
                self.shared.standing.set_gone(&node, incarnation);
                record(EventKind::PeerTaken { peer: node, incarnation });
                self.shared.ledger_now.notify_one();
            }
            Output::Unmatched => self.shared.telemetry.count("peer.refused.unmatched"),
        }
    }

    fn send(&mut self, to: &NodeId, body: Body) {
        let timestamp = self.shared.events.timestamp(SystemTime::now());
        let version = self.shared.config().version;
        let incarnation = self.member.protocol().incarnation();
        let timestamp = (timestamp.wall_ms, timestamp.logical);
        let frame = self.outbox.seal(to, incarnation, version, timestamp, body);
        self.shared.telemetry.count_many("peer.sent_bytes", frame.len() as u64);
        if !self.link.send(to, frame) {
            self.shared.telemetry.count("peer.dropped");
        }
    }

    fn connect(&self) {
        let members = &self.member.protocol().list().members;
        let others = members.iter().filter(|entry| entry.node != self.own.node);
        let peers: Vec<_> = others.map(|entry| (entry.node.clone(), entry.peer_address)).collect();
        self.link.set_peers(&peers);
    }

    fn ask_for_config(&mut self, now: Instant) {
        let held = self.shared.config().version;
        let members = self.shared.members();
        let is_other = |member: &&MemberView| member.node != self.own.node;
        let others: Vec<_> = members.iter().filter(is_other).cloned().collect();
        for peer in self.informers.due(held, &others, now) {
            self.send(&peer, Body::ConfigRequest(ConfigRequest { held_version: held }));
        }
    }

    fn read_table(&mut self, now: Instant) {
        if self.is_reading || now < self.next_read_at {
            return;
        }
        let interval = self.peering.ttl / READS_PER_TTL;
        self.next_read_at = now + interval.mul_f64(rand::rng().random_range(0.75..1.0));
        self.is_reading = true;
        self.reads += 1;
        let is_complete = self.wants_whole || self.reads.is_multiple_of(OWN_READS_PER_WHOLE);
        let (rows, reports, node) =
            (self.rows.clone(), self.reports.clone(), self.own.node.clone());
        tokio::spawn(async move {
            let view = match is_complete {
                true => rows.read_all().await,
                false => rows.read_own(&node).await,
            };
            // The receiver ends with the node.
            let _ = reports.send(Report::Read { sent_at: now, view }).await;
        });
    }

    /// Runs one write beside the task; a decision that comes meanwhile comes again.
    fn write<F>(&mut self, call: impl FnOnce(Rows) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        if self.is_writing {
            return;
        }
        self.is_writing = true;
        self.shared.telemetry.count("member.table_writes");
        let (call, reports) = (call(self.rows.clone()), self.reports.clone());
        tokio::spawn(async move {
            call.await;
            let _ = reports.send(Report::Written).await;
        });
    }

    fn register(&mut self) {
        let own = own_row(&self.own, self.link.local_address());
        self.write(move |rows| async move {
            rows.register(own).await;
        });
    }

    /// Writes the first list, adds this node to the list, or removes one that is long gone.
    fn keep_list(&mut self, has_list: bool) {
        let list = self.member.protocol().list().clone();
        if !has_list {
            return self.write(move |rows| async move {
                rows.put_list(&list).await;
            });
        }
        let now = Instant::now();
        let Some(change) = self.wanted_change(&list, now) else {
            return;
        };
        let mut reports = self.member.failure_detector().reported_list_versions(now);
        reports.push((self.own.node.clone(), list.version));
        if let Ok(next) = next_list(&list, &reports, change) {
            self.write(move |rows| async move {
                rows.put_list(&next).await;
            });
        }
    }

    fn wanted_change(&self, list: &MemberList, now: Instant) -> Option<ListChange> {
        let peer_address = self.link.local_address();
        let own = MemberEntry { node: self.own.node.clone(), peer_address };
        if !list.members.contains(&own) {
            return Some(ListChange::Put(own));
        }
        let forget_after = self.peering.ttl * FORGET_TTLS;
        let protocol = self.member.protocol();
        let is_forgotten = |peer: &&membership::failure_detector::PeerState| {
            protocol.is_gone(&peer.node, peer.incarnation)
                && now >= peer.last_contact_at + forget_after
        };
        let forgotten = self.member.failure_detector().peers().iter().find(is_forgotten)?;
        Some(ListChange::Remove(forgotten.node.clone()))
    }

    /// Gives up what a marked run held, and registers the next one.
    fn rejoin_if_marked(&mut self, now: Instant) {
        match self.rejoin {
            Rejoin::Idle if self.member.protocol().is_self_evicted() => {
                self.shared.limits.revoke_all();
                self.register_next();
            }
            Rejoin::Delayed { until } if now >= until => self.register_next(),
            Rejoin::Waiting { incarnation, at } if now >= at => {
                self.rejoin = Rejoin::Idle;
                self.member.start_incarnation(incarnation, now);
                self.next_read_at = now;
            }
            _ => {}
        }
    }

    fn register_next(&mut self) {
        self.rejoin = Rejoin::Registering;
        let (rows, reports) = (self.rows.clone(), self.reports.clone());
        let own = own_row(&self.own, self.link.local_address());
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        tokio::spawn(async move {
            let above = own.incarnation + 1;
            let next = rows.next_incarnation(&own.node, above.max(wall.as_millis() as u64)).await;
            let registered =
                rows.register(membership::MemberRow { incarnation: next, ..own }).await;
            let incarnation = registered.then_some(next);
            let _ = reports.send(Report::Registered { incarnation }).await;
        });
    }

    fn on_registered(&mut self, incarnation: Option<Incarnation>) {
        let now = Instant::now();
        let Some(incarnation) = incarnation else {
            // Only the table can bring a marked node back.
            self.rejoin = Rejoin::Delayed { until: now + self.peering.ttl };
            return;
        };
        self.own.incarnation = incarnation;
        self.shared.duties.start_incarnation(incarnation);
        self.shared.ledger_now.notify_one();
        self.rejoin = Rejoin::Waiting { incarnation, at: now + self.peering.ttl };
    }

    async fn leave(&mut self) {
        self.shared.standing.set_until(None);
        let incarnation = self.member.protocol().incarnation();
        let peers: Vec<_> =
            self.member.failure_detector().peers().iter().map(|peer| peer.node.clone()).collect();
        for peer in peers {
            self.send(&peer, Body::Leave(Leave {}));
        }
        self.rows.take(&self.own.node, incarnation).await;
        tokio::time::sleep(FLUSH_TIME).await;
    }
}
