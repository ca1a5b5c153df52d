//! State that the parts of a node share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;
use std::time::SystemTime;

use control::ConfigWriter;
use duties::Duties;
use duties::Holder;
use events::EventKind;
use events::Recorder;
use gateway::NodeContext;
use gateway::Peer;
use gateway::WaitingCount;
use limits::Demand;
use limits::DemandKey;
use limits::LimitTable;
use membership::MemberView;
use model::Config;
use model::ConfigVersion;
use model::Incarnation;
use model::NodeId;
use model::ServiceId;
use model::TeamRef;
use services::Committer;
use telemetry::Telemetry;
use tokio::sync::Notify;
use tokio::sync::watch;
use wire::LimitCounts;

use crate::ledger;
use crate::members::Standing;
use crate::settings::Platform;
use crate::settings::Settings;
use crate::ship::Shipper;

/// Tells what waits at the gateway.
type TellWaiting = Box<dyn Fn() -> Vec<WaitingCount> + Send + Sync>;

/// State that the parts of a node share.
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Platform.
    pub platform: Platform,
    /// Limits.
    pub limits: Arc<LimitTable>,
    /// Events.
    pub events: Arc<Recorder>,
    /// Metrics.
    pub telemetry: Telemetry,
    /// Changes of the configuration.
    pub writer: ConfigWriter,
    /// Other transactions.
    pub committer: Committer,
    /// Whether this node may act.
    pub standing: Standing,
    /// Duties of this node.
    pub duties: Duties,
    /// Shipment of events.
    pub shipper: Shipper,
    /// Wakes the follower before its next poll.
    pub poll_now: Notify,
    /// Wakes the ledger before its next look.
    pub ledger_now: Notify,
    /// Version of the configuration that this node's part of the ledger has last seen.
    pub ledger_version: watch::Sender<ConfigVersion>,
    config: RwLock<Arc<Config>>,
    members: RwLock<Arc<Vec<MemberView>>>,
    counts: RwLock<Vec<LimitCounts>>,
    share_counts: RwLock<Vec<LimitCounts>>,
    waiting: OnceLock<TellWaiting>,
    misses: Mutex<Vec<Demand>>,
    stopping: AtomicBool,
}

impl Shared {
    /// State of a node that has no configuration yet.
    pub fn new(
        settings: Settings,
        platform: Platform,
        events: Arc<Recorder>,
        telemetry: Telemetry,
        incarnation: Incarnation,
    ) -> Self {
        let me = Holder { node: settings.node.clone(), incarnation };
        let duties = Duties::new(me, platform.table.clone(), events.clone());
        Self {
            standing: Standing::new(settings.peering.is_some()),
            writer: ConfigWriter::new(&*settings.node),
            settings,
            platform,
            duties,
            limits: Arc::default(),
            events,
            telemetry,
            committer: Committer::default(),
            shipper: Shipper::default(),
            poll_now: Notify::new(),
            ledger_now: Notify::new(),
            ledger_version: watch::Sender::new(0),
            config: RwLock::default(),
            members: RwLock::default(),
            counts: RwLock::default(),
            share_counts: RwLock::default(),
            waiting: OnceLock::new(),
            misses: Mutex::default(),
            stopping: AtomicBool::new(false),
        }
    }

    /// Puts `config` in force, unless a later version is; true if it did.
    pub fn put_in_force(&self, config: Config) -> bool {
        let version = config.version;
        {
            let mut held = self.config.write().expect("no holder panics");
            if version <= held.version {
                return false;
            }
            self.limits.freeze_lowered(&held, &config);
            *held = Arc::new(config);
            self.writer.cache_config(held.clone());
        }
        self.ledger_now.notify_one();
        self.telemetry.gauge("config.version", version);
        self.events.record(EventKind::ConfigInForce { version }, SystemTime::now());
        true
    }

    /// Members as this node sees them, itself included, sorted by node.
    pub fn members(&self) -> Arc<Vec<MemberView>> {
        self.members.read().expect("no holder panics").clone()
    }

    /// Replaces the view of the members; polls at once if one of them has a later configuration.
    pub fn set_members(&self, members: Vec<MemberView>) {
        let version = self.config().version;
        if members.iter().any(|member| member.config_version > version) {
            self.poll_now.notify_one();
        }
        *self.members.write().expect("no holder panics") = Arc::new(members);
    }

    /// True only if that run of a node can no longer act on anything that it held.
    pub fn is_member_gone(&self, node: &NodeId, incarnation: Incarnation) -> bool {
        if self.settings.peering.is_some() {
            return self.standing.is_gone(node, incarnation);
        }
        // Without peers, only this node itself can have run before.
        let members = self.members();
        let index = members.binary_search_by(|member| member.node.cmp(node));
        index.is_ok_and(|index| members[index].incarnation > incarnation)
    }

    /// Counts that the next heartbeats carry.
    pub fn counts(&self) -> Vec<LimitCounts> {
        let mut counts = self.counts.read().expect("no holder panics").clone();
        // Their keys sort after those of the limits.
        counts.extend_from_slice(&self.share_counts.read().expect("no holder panics"));
        counts
    }

    /// Replaces the counts that heartbeats carry, sorted by key.
    pub fn set_counts(&self, counts: Vec<LimitCounts>) {
        *self.counts.write().expect("no holder panics") = counts;
    }

    /// Replaces the counts of shares that heartbeats carry, sorted by key.
    pub fn set_share_counts(&self, counts: Vec<LimitCounts>) {
        *self.share_counts.write().expect("no holder panics") = counts;
    }

    /// Replaces the counts of this node in its own view of the members.
    pub fn set_own_counts(&self, counts: Vec<LimitCounts>) {
        let mut members = self.members.write().expect("no holder panics");
        let found = members.binary_search_by(|member| member.node.cmp(&self.settings.node));
        if let Ok(index) = found {
            Arc::make_mut(&mut members)[index].counts = counts;
        }
    }

    /// Says what waits at this node; set once the gateway runs.
    pub fn set_waiting(&self, waiting: impl Fn() -> Vec<WaitingCount> + Send + Sync + 'static) {
        // There is one gateway in a node.
        let _ = self.waiting.set(Box::new(waiting));
    }

    /// Requests that wait at this node, by queue and team.
    pub fn waiting(&self) -> Vec<WaitingCount> {
        self.waiting.get().map_or_else(Vec::new, |waiting| waiting())
    }

    /// Requests since the last call that found no tokens here, by team and by service; sorted.
    pub fn take_misses(&self) -> Vec<Demand> {
        std::mem::take(&mut *self.misses.lock().expect("no holder panics"))
    }

    fn count_miss(&self, key: DemandKey) {
        let mut misses = self.misses.lock().expect("no holder panics");
        match misses.binary_search_by(|miss| miss.key.cmp(&key)) {
            Ok(index) => misses[index].count += 1,
            Err(index) => misses.insert(index, Demand { key, count: 1 }),
        }
    }

    /// Turns readiness off; work that still comes is taken until the listener is closed.
    pub fn start_shutdown(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// True once the node is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}

impl NodeContext for Shared {
    fn config(&self) -> Arc<Config> {
        self.config.read().expect("no holder panics").clone()
    }

    fn may_admit(&self, now: Instant) -> bool {
        self.standing.may_act(now)
    }

    fn dispatcher(&self) -> Option<Arc<str>> {
        let members = self.members();
        let found = members.binary_search_by(|member| member.node.cmp(&self.settings.node));
        let me = &members[found.ok()?];
        Some(ledger::dispatcher(&me.node, me.incarnation).into())
    }

    fn peers_with_spare_tokens(&self, team: &TeamRef, service: &ServiceId) -> Vec<Peer> {
        // The gateway asks when it has no tokens itself.
        self.count_miss(DemandKey::Team(team.clone()));
        self.count_miss(DemandKey::Service(team.customer.clone(), service.clone()));
        ledger::peers_with_spare_tokens(&self.members(), &self.settings.node, team, service)
    }
}
