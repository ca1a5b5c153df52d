//! State that the components of a node share.

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
use crate::members::NodeStatus;
use crate::settings::Platform;
use crate::settings::Settings;
use crate::ship::Shipper;

/// Returns the requests that wait at the gateway.
type WaitingCountSource = Box<dyn Fn() -> Vec<WaitingCount> + Send + Sync>;

/// State that the components of a node share.
pub struct Shared {
    /// Settings that the node was started with.
    pub settings: Settings,
    /// Services of the platform.
    pub platform: Platform,
    /// Tokens that this node may use and uses, by limit.
    pub limits: Arc<LimitTable>,
    /// Recorder of this node's events.
    pub events: Arc<Recorder>,
    /// Counters and gauges of this node.
    pub telemetry: Telemetry,
    /// Commits changes of the configuration.
    pub writer: ConfigWriter,
    /// Commits all other transactions.
    pub committer: Committer,
    /// Whether this node may act, and which incarnations of other nodes are gone.
    pub status: NodeStatus,
    /// Duties that this node holds.
    pub duties: Duties,
    /// Ships this node's events to the object store.
    pub shipper: Shipper,
    /// Makes the follower poll the configuration now.
    pub poll_now: Notify,
    /// Makes the ledger tick now.
    pub ledger_tick_now: Notify,
    /// Version of the configuration at this node's last ledger tick; 0 before the first tick.
    pub ledger_version: watch::Sender<ConfigVersion>,
    config: RwLock<Arc<Config>>,
    /// Members as this node sees them, sorted by node.
    members: RwLock<Arc<Vec<MemberView>>>,
    /// Counts of teams and services in heartbeats, sorted by key.
    counts: RwLock<Vec<LimitCounts>>,
    /// Counts of queue shares in heartbeats, sorted by key.
    share_counts: RwLock<Vec<LimitCounts>>,
    waiting: OnceLock<WaitingCountSource>,
    /// Requests that found no free tokens since the last [`Shared::take_unmet_demands`], sorted by
    /// key.
    unmet_demands: Mutex<Vec<Demand>>,
    is_stopping: AtomicBool,
}

impl Shared {
    /// Returns the state of a node that has no configuration yet.
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
            status: NodeStatus::new(settings.peering.is_some()),
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
            ledger_tick_now: Notify::new(),
            ledger_version: watch::Sender::new(0),
            config: RwLock::default(),
            members: RwLock::default(),
            counts: RwLock::default(),
            share_counts: RwLock::default(),
            waiting: OnceLock::new(),
            unmet_demands: Mutex::default(),
            is_stopping: AtomicBool::new(false),
        }
    }

    /// Makes `config` the active configuration and returns true, unless the active version is the
    /// same or newer.
    pub fn activate(&self, config: Config) -> bool {
        let version = config.version;
        {
            let mut active = self.config.write().expect("lock is never poisoned");
            if version <= active.version {
                return false;
            }
            self.limits.freeze_lowered(&active, &config);
            *active = Arc::new(config);
            self.writer.cache_config(active.clone());
        }
        self.ledger_tick_now.notify_one();
        self.telemetry.gauge("config.version", version);
        self.events.record(EventKind::ConfigInForce { version }, SystemTime::now());
        true
    }

    /// Returns the members as this node sees them, itself included, sorted by node.
    pub fn members(&self) -> Arc<Vec<MemberView>> {
        self.members.read().expect("lock is never poisoned").clone()
    }

    /// Replaces the view of the members. Triggers a poll of the configuration if one of them has a
    /// newer version.
    pub fn set_members(&self, members: Vec<MemberView>) {
        let version = self.config().version;
        if members.iter().any(|member| member.config_version > version) {
            self.poll_now.notify_one();
        }
        *self.members.write().expect("lock is never poisoned") = Arc::new(members);
    }

    /// Returns true only if the incarnation can no longer act on any resource that it held.
    pub fn is_member_gone(&self, node: &NodeId, incarnation: Incarnation) -> bool {
        if self.settings.peering.is_some() {
            return self.status.is_gone(node, incarnation);
        }
        // Without peers, only earlier incarnations of this node can exist.
        let members = self.members();
        let index = members.binary_search_by(|member| member.node.cmp(node));
        index.is_ok_and(|index| members[index].incarnation > incarnation)
    }

    /// Returns the counts for the next heartbeats, sorted by key.
    pub fn counts(&self) -> Vec<LimitCounts> {
        let mut counts = self.counts.read().expect("lock is never poisoned").clone();
        // The keys of share counts sort after those of the limits.
        counts.extend_from_slice(&self.share_counts.read().expect("lock is never poisoned"));
        counts
    }

    /// Replaces the counts of teams and services in heartbeats; `counts` is sorted by key.
    pub fn set_counts(&self, counts: Vec<LimitCounts>) {
        *self.counts.write().expect("lock is never poisoned") = counts;
    }

    /// Replaces the counts of queue shares in heartbeats; `counts` is sorted by key.
    pub fn set_share_counts(&self, counts: Vec<LimitCounts>) {
        *self.share_counts.write().expect("lock is never poisoned") = counts;
    }

    /// Replaces the counts of this node in its own view of the members.
    pub fn set_own_counts(&self, counts: Vec<LimitCounts>) {
        let mut members = self.members.write().expect("lock is never poisoned");
        let found = members.binary_search_by(|member| member.node.cmp(&self.settings.node));
        if let Ok(index) = found {
            Arc::make_mut(&mut members)[index].counts = counts;
        }
    }

    /// Sets the source of the counts of waiting requests, once the gateway is started.
    pub fn set_waiting(&self, waiting: impl Fn() -> Vec<WaitingCount> + Send + Sync + 'static) {
        // A node has a single gateway, so the source is set only once.
        let _ = self.waiting.set(Box::new(waiting));
    }

    /// Returns the number of requests that wait at this node, by queue and team.
    pub fn waiting(&self) -> Vec<WaitingCount> {
        self.waiting.get().map_or_else(Vec::new, |waiting| waiting())
    }

    /// Returns the number of requests since the last call that found no free tokens at this node,
    /// by team and by service, sorted by key.
    pub fn take_unmet_demands(&self) -> Vec<Demand> {
        std::mem::take(&mut *self.unmet_demands.lock().expect("lock is never poisoned"))
    }

    fn count_unmet_demand(&self, key: DemandKey) {
        let mut unmet_demands = self.unmet_demands.lock().expect("lock is never poisoned");
        match unmet_demands.binary_search_by(|demand| demand.key.cmp(&key)) {
            Ok(index) => unmet_demands[index].count += 1,
            Err(index) => unmet_demands.insert(index, Demand { key, count: 1 }),
        }
    }

    /// Turns readiness off. Requests are accepted until the listener is closed.
    pub fn start_shutdown(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Returns true once the shutdown has started.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }
}

impl NodeContext for Shared {
    fn config(&self) -> Arc<Config> {
        self.config.read().expect("lock is never poisoned").clone()
    }

    fn may_admit(&self, now: Instant) -> bool {
        self.status.may_act(now)
    }

    fn dispatcher(&self) -> Option<Arc<str>> {
        let members = self.members();
        let found = members.binary_search_by(|member| member.node.cmp(&self.settings.node));
        let me = &members[found.ok()?];
        Some(ledger::dispatcher(&me.node, me.incarnation).into())
    }

    fn peers_with_spare_tokens(&self, team: &TeamRef, service: &ServiceId) -> Vec<Peer> {
        // The gateway calls this only when this node has no free tokens.
        self.count_unmet_demand(DemandKey::Team(team.clone()));
        self.count_unmet_demand(DemandKey::Service(team.customer.clone(), service.clone()));
        ledger::peers_with_spare_tokens(&self.members(), &self.settings.node, team, service)
    }
}
