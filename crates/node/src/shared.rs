//! State that the parts of a node share.

use std::sync::Arc;
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
use gateway::Authority;
use limits::LimitKey;
use limits::LimitTable;
use membership::MemberView;
use model::Config;
use model::Incarnation;
use model::NodeId;
use platform::Committer;
use telemetry::Telemetry;
use tokio::sync::Notify;
use wire::Count;

use crate::settings::Platform;
use crate::settings::Settings;
use crate::ship::Shipper;

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
    /// Duties of this node.
    pub duties: Duties,
    /// Shipment of events.
    pub shipper: Shipper,
    /// Wakes the follower before its next poll.
    pub poll_now: Notify,
    config: RwLock<Arc<Config>>,
    members: RwLock<Arc<Vec<MemberView>>>,
    counts: RwLock<Vec<Count>>,
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
            settings,
            platform,
            duties,
            limits: Arc::default(),
            events,
            telemetry,
            writer: ConfigWriter::default(),
            committer: Committer::default(),
            shipper: Shipper::default(),
            poll_now: Notify::new(),
            config: RwLock::default(),
            members: RwLock::default(),
            counts: RwLock::default(),
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
            *held = Arc::new(config);
        }
        self.split_limits();
        self.telemetry.gauge("config.version", version);
        self.events.record(EventKind::ConfigInForce { version }, SystemTime::now());
        true
    }

    /// Members as this node sees them, itself included, sorted by node.
    pub fn members(&self) -> Arc<Vec<MemberView>> {
        self.members.read().expect("no holder panics").clone()
    }

    /// Replaces the view of the members.
    pub fn set_members(&self, members: Vec<MemberView>) {
        *self.members.write().expect("no holder panics") = Arc::new(members);
    }

    /// True only if that run of a node can no longer act on anything that it held.
    pub fn is_member_gone(&self, node: &NodeId, incarnation: Incarnation) -> bool {
        let members = self.members();
        let index = members.binary_search_by(|member| member.node.cmp(node));
        index.is_ok_and(|index| members[index].incarnation > incarnation)
    }

    /// Counts that the next heartbeats carry.
    pub fn counts(&self) -> Vec<Count> {
        self.counts.read().expect("no holder panics").clone()
    }

    /// Replaces the counts that heartbeats carry, sorted by key.
    #[allow(dead_code)]
    pub fn set_counts(&self, counts: Vec<Count>) {
        *self.counts.write().expect("no holder panics") = counts;
    }

    /// Turns readiness off; work that still comes is taken until the listener is closed.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// True once the node is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Gives this node an equal part of each limit.
    fn split_limits(&self) {
        let config = self.config();
        let part = |limit: u32| limit / self.settings.node_count.max(1);
        for contract in &config.contracts {
            for team in &contract.teams {
                let team_ref = model::TeamRef::new(contract.customer.clone(), team.name.clone());
                self.limits.grant(&LimitKey::Running(team_ref), part(team.running_max));
            }
        }
        for host in &config.hosts {
            self.limits.grant(&LimitKey::Slots(host.id().clone()), part(host.spec.slots));
            let connections = LimitKey::Connections(host.id().clone());
            self.limits.grant(&connections, part(host.spec.connections_max));
        }
    }
}

impl Authority for Shared {
    fn config(&self) -> Arc<Config> {
        self.config.read().expect("no holder panics").clone()
    }

    fn may_admit(&self, _now: Instant) -> bool {
        true
    }
}
