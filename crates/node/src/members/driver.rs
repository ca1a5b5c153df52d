//! Task that owns the state machine of this node's membership.

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

use crate::members::config::PeerConfigs;
use crate::members::config::reply_to;
use crate::members::rows::MemberRows;
use crate::members::rows::own_row;
use crate::settings::Peering;
use crate::shared::Shared;

/// Ticks of the state machine in one heartbeat interval.
const TICKS_PER_HEARTBEAT: u32 = 4;
/// Minimum number of reads of this node's row in one TTL.
const READS_PER_TTL: u32 = 3;
/// One of this many reads returns all rows; the others return only this node's row.
const FULL_READ_INTERVAL: u32 = 4;
/// Number of heartbeat intervals without a message after which a peer counts as silent.
const SILENCE_HEARTBEATS: u32 = 4;
/// TTL divided by the margin of a takeover, which covers clocks that run at different rates.
const MARGIN_DIVISOR: u32 = 20;
/// Number of TTLs without contact after which a gone node is removed from the member list.
const REMOVAL_TTLS: u32 = 150;
/// Time in which the last messages are sent before the process ends.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Maximum number of results of table calls that wait for the task.
const RESULTS_MAX: usize = 32;

/// Result of a call to the table.
enum TableResult {
    /// A read that was sent at `sent_at` has returned or failed.
    Read { sent_at: Instant, view: Result<TableView, Unavailable> },
    /// A write has ended; rows may have changed.
    Written,
    /// A new incarnation was registered; `None` if that failed.
    Registered { incarnation: Option<Incarnation> },
}

/// Progress of an evicted node towards its next incarnation.
enum Rejoin {
    /// The current incarnation is not evicted.
    NotNeeded,
    /// The next incarnation is being registered.
    Registering,
    /// The registration failed; it is tried again at `until`.
    Delayed { until: Instant },
    /// The next incarnation starts at `at`. Until then, the node drops what the evicted one held.
    Waiting { incarnation: Incarnation, at: Instant },
}

/// Owns the state machine and connects it to the link and the table.
pub struct Driver {
    shared: Arc<Shared>,
    peering: Peering,
    member: Member,
    link: Arc<dyn Link>,
    inbox: Inbox,
    outbox: Outbox,
    rows: MemberRows,
    own: MemberView,
    peer_configs: PeerConfigs,
    rejoin: Rejoin,
    /// Version of the configuration that triggered the last early heartbeat.
    announced_version: ConfigVersion,
    sender: mpsc::Sender<TableResult>,
    results: mpsc::Receiver<TableResult>,
    next_read_at: Instant,
    read_count: u32,
    is_read_pending: bool,
    /// True if the next read must read all rows.
    needs_full_read: bool,
    is_write_pending: bool,
}

impl Driver {
    /// Returns the driver of an incarnation that has not started.
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
        let (sender, results) = mpsc::channel(RESULTS_MAX);
        Self {
            inbox: Inbox::new(&peering.cluster, own.node.clone(), key.clone()),
            outbox: Outbox::new(&peering.cluster, own.node.clone(), key),
            rows: MemberRows::new(shared.platform.table.clone()),
            shared,
            peering,
            member,
            link,
            own,
            peer_configs: PeerConfigs::default(),
            rejoin: Rejoin::NotNeeded,
            announced_version: 0,
            sender,
            results,
            next_read_at: now,
            read_count: 0,
            is_read_pending: false,
            needs_full_read: true,
            is_write_pending: false,
        }
    }

    /// Runs until `stop` is received, then leaves the cluster.
    pub async fn run(mut self, mut frames: mpsc::Receiver<Bytes>, mut stop: oneshot::Receiver<()>) {
        self.connect();
        let mut ticks =
            tokio::time::interval(self.peering.heartbeat_interval / TICKS_PER_HEARTBEAT);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = &mut stop => break,
                _ = ticks.tick() => self.handle_tick(),
                Some(frame) = frames.recv() => self.handle_frame(&frame),
                Some(result) = self.results.recv() => self.handle_table_result(result),
            }
        }
        self.leave().await;
    }

    fn handle_tick(&mut self) {
        let now = Instant::now();
        self.member.set_counts(self.shared.counts());
        let version = self.shared.config().version;
        if version != self.announced_version {
            // Announces the version now, so that peers don't wait for their next poll.
            self.announced_version = version;
            self.member.send_heartbeat_soon(now);
        }
        self.handle_input(Input::Tick, now);
        self.rejoin_if_evicted(now);
        self.request_config(now);
        self.read_table(now);
        let own = MemberView {
            config_version: self.shared.config().version,
            is_alive: self.shared.may_admit(now),
            counts: self.own_counts(),
            ..self.own.clone()
        };
        self.shared.set_members(self.member.view(own, now));
    }

    /// Returns this node's counts from the published members, where the ledger updates them.
    fn own_counts(&self) -> Vec<wire::LimitCounts> {
        let members = self.shared.members();
        let index = members.binary_search_by(|member| member.node.cmp(&self.own.node));
        index.map_or_else(|_| Vec::new(), |index| members[index].counts.clone())
    }

    fn handle_frame(&mut self, frame: &Bytes) {
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
        self.handle_envelope(from, envelope);
    }

    fn handle_envelope(&mut self, from: NodeId, envelope: Envelope) {
        match envelope.body {
            None => self.shared.telemetry.count("peer.unknown_kind"),
            Some(Body::ConfigRequest(request)) => {
                let config = self.shared.config();
                let reply = reply_to(request.held_version, &config);
                self.send(&from, Body::ConfigReply(reply));
            }
            Some(Body::ConfigReply(reply)) => {
                let version = self.shared.config().version;
                let list = self.member.protocol().list();
                if let Some(config) = self.peer_configs.handle_reply(&from, &reply, version, list) {
                    self.shared.telemetry.count("config.from_peer");
                    self.shared.activate(config);
                }
            }
            Some(body) => {
                if envelope.config_version > self.shared.config().version {
                    self.shared.poll_now.notify_one();
                }
                let (incarnation, config_version) = (envelope.incarnation, envelope.config_version);
                let input = Input::Message { from, incarnation, config_version, body };
                self.handle_input(input, Instant::now());
            }
        }
    }

    fn handle_table_result(&mut self, result: TableResult) {
        match result {
            TableResult::Read { sent_at, view } => {
                self.is_read_pending = false;
                self.handle_read(sent_at, view);
            }
            TableResult::Written => {
                self.is_write_pending = false;
                self.needs_full_read = true;
                self.next_read_at = Instant::now();
            }
            TableResult::Registered { incarnation } => self.handle_registration(incarnation),
        }
    }

    fn handle_read(&mut self, sent_at: Instant, view: Result<TableView, Unavailable>) {
        let Ok(view) = view else {
            self.shared.telemetry.count("member.table_unavailable");
            return;
        };
        let is_complete = view.is_complete;
        let has_list = view.list.is_some();
        let own = view.rows.iter().find(|row| row.node == self.own.node);
        let is_registered = own.is_some_and(|row| row.incarnation >= self.own.incarnation);
        for row in &view.rows {
            self.shared.status.set_gone(&row.node, row.takeover_up_to);
        }
        self.handle_input(Input::Table { sent_at, view }, Instant::now());
        if !is_registered && matches!(self.rejoin, Rejoin::NotNeeded) {
            self.register();
        }
        if is_complete {
            self.needs_full_read = !self.member.protocol().takeovers().is_empty();
            self.update_list(has_list);
        }
    }

    /// Passes `input` to the state machine and performs its outputs.
    fn handle_input(&mut self, input: Input, now: Instant) {
        for output in self.member.step(input, now) {
            self.perform(output);
        }
        self.shared.status.set_until(self.member.protocol().may_act_until());
    }

    fn perform(&mut self, output: Output) {
        let record = |kind| self.shared.events.record(kind, SystemTime::now());
        match output {
            Output::Send { to, body } => self.send(&to, body),
            Output::Evict { node, incarnation } => self.write(move |rows| async move {
                rows.evict(&node, incarnation).await;
            }),
            Output::AllowTakeover { node, incarnation } => self.write(move |rows| async move {
                rows.allow_takeover(&node, incarnation).await;
            }),
            Output::Redial { peer, has_replied } => {
                self.shared.telemetry.count("peer.redialled");
                // Further attempts to reconnect change no state and are not recorded.
                if has_replied {
                    record(EventKind::LinkRedialled { peer: peer.clone() });
                }
                self.link.redial(&peer);
            }
            Output::ListChanged => self.connect(),
            Output::SelfFenced { reason } => {
                self.shared.telemetry.count("member.fenced");
                record(EventKind::NodeFenced { reason: reason.to_owned() });
                spdlog::warn!("node {} is fenced and admits no new work: {reason}", self.own.node);
            }
            Output::Unfenced => {
                record(EventKind::NodeUnfenced);
                spdlog::info!("node {} admits new work again", self.own.node);
            }
            Output::Evicted { node, incarnation } => {
                record(EventKind::PeerMarked { peer: node, incarnation });
            }
            Output::TakeoverAllowed { node, incarnation } => {
                self.shared.telemetry.count("peer.taken");
                self.shared.status.set_gone(&node, incarnation);
                record(EventKind::PeerTaken { peer: node, incarnation });
                self.shared.ledger_tick_now.notify_one();
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

    fn request_config(&mut self, now: Instant) {
        let active_version = self.shared.config().version;
        let members = self.shared.members();
        let is_other = |member: &&MemberView| member.node != self.own.node;
        let others: Vec<_> = members.iter().filter(is_other).cloned().collect();
        for peer in self.peer_configs.peers_to_request(active_version, &others, now) {
            self.send(&peer, Body::ConfigRequest(ConfigRequest { held_version: active_version }));
        }
    }

    fn read_table(&mut self, now: Instant) {
        if self.is_read_pending || now < self.next_read_at {
            return;
        }
        let interval = self.peering.ttl / READS_PER_TTL;
        self.next_read_at = now + interval.mul_f64(rand::rng().random_range(0.75..1.0));
        self.is_read_pending = true;
        self.read_count += 1;
        let is_complete =
            self.needs_full_read || self.read_count.is_multiple_of(FULL_READ_INTERVAL);
        let (rows, sender, node) = (self.rows.clone(), self.sender.clone(), self.own.node.clone());
        tokio::spawn(async move {
            let view = match is_complete {
                true => rows.read_all().await,
                false => rows.read_own(&node).await,
            };
            // Sending fails only when the task has ended.
            let _ = sender.send(TableResult::Read { sent_at: now, view }).await;
        });
    }

    /// Spawns a write, unless one is pending. A dropped write is requested again by a later input.
    fn write<F>(&mut self, call: impl FnOnce(MemberRows) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        if self.is_write_pending {
            return;
        }
        self.is_write_pending = true;
        self.shared.telemetry.count("member.table_writes");
        let (call, sender) = (call(self.rows.clone()), self.sender.clone());
        tokio::spawn(async move {
            call.await;
            let _ = sender.send(TableResult::Written).await;
        });
    }

    fn register(&mut self) {
        let own = own_row(&self.own, self.link.local_address());
        self.write(move |rows| async move {
            rows.register(own).await;
        });
    }

    /// Writes the first member list, adds this node to it, or removes a node that is long gone.
    fn update_list(&mut self, has_list: bool) {
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
        let mut list_versions = self.member.failure_detector().reported_list_versions(now);
        list_versions.push((self.own.node.clone(), list.version));
        if let Ok(next) = next_list(&list, &list_versions, change) {
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
        let remove_after = self.peering.ttl * REMOVAL_TTLS;
        let protocol = self.member.protocol();
        let is_removable = |peer: &&membership::failure_detector::PeerState| {
            protocol.is_gone(&peer.node, peer.incarnation)
                && now >= peer.last_contact_at + remove_after
        };
        let removable = self.member.failure_detector().peers().iter().find(is_removable)?;
        Some(ListChange::Remove(removable.node.clone()))
    }

    /// Revokes the tokens of an evicted incarnation, and registers and starts the next one.
    fn rejoin_if_evicted(&mut self, now: Instant) {
        match self.rejoin {
            Rejoin::NotNeeded if self.member.protocol().is_self_evicted() => {
                self.shared.limits.revoke_all();
                self.register_next();
            }
            Rejoin::Delayed { until } if now >= until => self.register_next(),
            Rejoin::Waiting { incarnation, at } if now >= at => {
                self.rejoin = Rejoin::NotNeeded;
                self.member.start_incarnation(incarnation, now);
                self.next_read_at = now;
            }
            _ => {}
        }
    }

    fn register_next(&mut self) {
        self.rejoin = Rejoin::Registering;
        let (rows, sender) = (self.rows.clone(), self.sender.clone());
        let own = own_row(&self.own, self.link.local_address());
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        tokio::spawn(async move {
            let lowest = own.incarnation + 1;
            let next = rows.next_incarnation(&own.node, lowest.max(wall.as_millis() as u64)).await;
            let registered =
                rows.register(membership::MemberRow { incarnation: next, ..own }).await;
            let incarnation = registered.then_some(next);
            let _ = sender.send(TableResult::Registered { incarnation }).await;
        });
    }

    fn handle_registration(&mut self, incarnation: Option<Incarnation>) {
        let now = Instant::now();
        let Some(incarnation) = incarnation else {
            // An evicted node can rejoin only once the table is available.
            self.rejoin = Rejoin::Delayed { until: now + self.peering.ttl };
            return;
        };
        self.own.incarnation = incarnation;
        self.shared.duties.start_incarnation(incarnation);
        self.shared.ledger_tick_now.notify_one();
        self.rejoin = Rejoin::Waiting { incarnation, at: now + self.peering.ttl };
    }

    async fn leave(&mut self) {
        self.shared.status.set_until(None);
        let incarnation = self.member.protocol().incarnation();
        let peers: Vec<_> =
            self.member.failure_detector().peers().iter().map(|peer| peer.node.clone()).collect();
        for peer in peers {
            self.send(&peer, Body::Leave(Leave {}));
        }
        self.rows.allow_takeover(&self.own.node, incarnation).await;
        tokio::time::sleep(FLUSH_TIME).await;
    }
}
