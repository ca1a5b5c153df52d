//! State that the tasks of a node share: [`NodeState`] for the whole node, and [`Shared`] for each
//! shard.
//!
//! Lock order: `owner_location` before `owner`; neither is held across an await.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use scheduler::JobRecord;
use scheduler::JobView;
use scheduler::Moment;
use scheduler::QueueName;
use scheduler::ShardIndex;
use scheduler::SortedMap;
use scheduler::TeamName;
use scheduler::Wave;
use scheduler::WaveId;
use scheduler::WorkerRegistration;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::config::CallerConfig;
use crate::election;
use crate::election::TakeoverTiming;
use crate::evacuated_zones::EvacuatedZones;
use crate::http::Client;
use crate::metrics;
use crate::node::NodeSettings;
use crate::ports::RowVersion;
use crate::rows::OwnerRow;
use crate::sharding::Layout;
use crate::sharding::stable_hash;
use crate::succession::Follower;
use crate::succession::Followers;
use crate::succession::is_stronger;

/// Everything that operators have set, as last read.
#[derive(Clone, Debug, Default)]
pub(crate) struct OperatorState {
    /// Active configuration; none before the first was read.
    pub config: Option<Arc<CallerConfig>>,
    /// Maintenance waves that operators have planned.
    pub waves: SortedMap<WaveId, Wave>,
    /// When the last read was sent that confirmed the configuration as the newest.
    pub confirmed_at: Moment,
    /// Zones that operators evacuate.
    pub evacuated_zones: EvacuatedZones,
    /// When the last read of the operators' rows by this node was sent that has succeeded. A reply
    /// of the owner confirms the configuration only.
    pub rows_read_at: Option<Moment>,
}

/// Where the owner is, as far as this node knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnerLocation {
    /// Owner's row as last read or written.
    pub row: OwnerRow,
    /// Version of the row.
    pub version: RowVersion,
    /// Calls bypass the owner and go to the store until then, because the owner did not reply.
    pub bypassed_until: Moment,
}

/// The ownership while this node holds it.
#[derive(Clone, Debug)]
pub(crate) struct HeldOwnership {
    /// Fencing token of this owner.
    pub epoch: u64,
    /// Channel for requests to the owner.
    pub requests: mpsc::Sender<OwnerRequest>,
    /// When the last committed transaction was sent.
    pub renewed_at: Moment,
    /// Whether the owner has loaded the stored state.
    pub is_ready: bool,
}

/// The owner's reply to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum SubmitReply {
    /// The job is stored.
    Accepted,
    /// The job is not stored and will not be.
    #[serde(rename = "not-taken")]
    NotStored,
    /// The job may be stored.
    Unknown,
}

/// The owner's reply to a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum CancelReply {
    /// The cancellation is stored, or the job had already finished.
    Done,
    /// No such job exists.
    NoJob,
    /// The job belongs to another team.
    OtherTeam,
    /// The cancellation may be stored.
    Unknown,
}

/// The owner's reply to a request for the state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum StateReply {
    /// The job's state as callers see it.
    Found(JobView),
    /// No such job exists.
    NoJob,
    /// The job belongs to another team.
    OtherTeam,
}

/// Who sent a request: a team, or none on an open queue.
pub(crate) type Requester = Option<TeamName>;

/// A request to the owner.
#[derive(Debug)]
pub(crate) enum OwnerRequest {
    /// Accepts a job.
    Submit {
        /// Job to store.
        record: Arc<JobRecord>,
        /// Receives the result.
        reply: oneshot::Sender<SubmitReply>,
    },
    /// Cancels a job.
    Cancel {
        /// Id of the job.
        job: String,
        /// Team that sent the request; none on an open queue.
        requester: Requester,
        /// Receives the result.
        reply: oneshot::Sender<CancelReply>,
    },
    /// Returns the state of a job.
    State {
        /// Id of the job.
        job: String,
        /// Team that sent the request; none on an open queue.
        requester: Requester,
        /// Receives the result.
        reply: oneshot::Sender<StateReply>,
    },
    /// Counts the jobs of a queue that have not started.
    CountWaiting {
        /// Name of the queue.
        queue: QueueName,
        /// Receives the count.
        reply: oneshot::Sender<usize>,
    },
    /// Releases the ownership.
    Release {
        /// Notified when the release is stored.
        reply: oneshot::Sender<()>,
    },
}

/// Why the owner in this process did not reply to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum OwnerRequestError {
    /// No owner runs in this process.
    #[error("this node is not the owner")]
    NotOwner,
    /// Too many requests wait for the owner.
    #[error("too many requests wait for the owner")]
    Busy,
    /// The owner lost the ownership before it replied.
    #[error("the ownership was lost")]
    OwnershipLost,
}

/// State of a node that does not depend on a shard.
pub(crate) struct NodeState<P> {
    pub settings: NodeSettings,
    pub platform: P,
    pub client: Client,
    pub operator_state: watch::Sender<OperatorState>,
    pub is_stopping: watch::Sender<bool>,
    /// Whether the last call to the store succeeded. A refused call has failed; a transaction with
    /// a conflict counts as success.
    pub is_store_up: AtomicBool,
    pub started_at: Moment,
    pub telemetry: telemetry::Telemetry,
    /// Layout and state of each shard, by index; unset until the layout is known.
    pub shards: OnceLock<Shards<P>>,
}

/// The shards as a node knows them.
pub(crate) struct Shards<P> {
    pub layout: Layout,
    pub states: Vec<Arc<Shared<P>>>,
}

/// State of a shard that the tasks of a node share.
pub(crate) struct Shared<P> {
    pub node: Arc<NodeState<P>>,
    /// Number of the shard.
    pub shard: ShardIndex,
    pub owner_location: Mutex<OwnerLocation>,
    /// Present while this node owns the shard.
    pub owner: Mutex<Option<HeldOwnership>>,
    /// Nodes that have recently polled this one.
    pub followers: Mutex<Followers>,
    /// Most processor time that a node which reaches the store has for the shard, as last
    /// reported, in thousandths of a core.
    pub strongest_cpu_millis: AtomicU64,
    /// Wakes the election to poll the owner at once.
    pub poll_now: Notify,
    /// Whether the owner has requested this node to take over.
    pub is_takeover_requested: AtomicBool,
    /// Number of jobs that the owner in this process has not finished; 0 without one.
    pub live_jobs: AtomicUsize,
}

impl<P> NodeState<P> {
    /// Returns the state of a shard; none if there is no such shard or the layout is not known.
    pub fn shard(&self, shard: ShardIndex) -> Option<&Arc<Shared<P>>> {
        self.shards.get()?.states.get(usize::from(shard))
    }

    /// Returns the state of the shard of a job; none if the layout is not known.
    pub fn shard_of_job(&self, record: &JobRecord) -> Option<&Arc<Shared<P>>> {
        self.shard(self.shards.get()?.layout.shard_of_job(record))
    }

    /// Returns the states of the shards that may have a job, the likelier one first; none if the
    /// layout is not known.
    pub fn shards_of_job(&self, queue: &str, id: &str) -> Option<Vec<&Arc<Shared<P>>>> {
        let shards = self.shards.get()?.layout.shards_of_job(queue, id);
        shards.into_iter().map(|shard| self.shard(shard)).collect()
    }

    /// Returns the number of shards that this node owns.
    pub fn owned_shards(&self) -> usize {
        let states = self.shards.get().map_or(&[][..], |shards| &shards.states);
        states.iter().filter(|shared| shared.is_owned_here()).count()
    }

    /// Returns the highest index of a shard that this node owns.
    pub fn last_owned_shard(&self) -> Option<ShardIndex> {
        let states = self.shards.get().map_or(&[][..], |shards| &shards.states);
        states.iter().rev().find(|shared| shared.is_owned_here()).map(|shared| shared.shard)
    }

    /// Returns the processor time that the node has for one shard more, in thousandths of a core.
    pub fn spare_cpu_millis(&self) -> u64 {
        self.settings.cpu_millis / (self.owned_shards() as u64 + 1)
    }

    /// Returns the active configuration, and the time since it was known to be the newest.
    pub fn config(&self, now: Moment) -> Option<(Arc<CallerConfig>, Duration)> {
        let operator_state = self.operator_state.borrow();
        let config = operator_state.config.clone()?;
        Some((config, now.saturating_sub(operator_state.confirmed_at)))
    }

    /// Records whether a call to the store succeeded.
    pub fn record_store_reply(&self, has_succeeded: bool) {
        self.is_store_up.store(has_succeeded, Ordering::Relaxed);
    }

    /// Returns whether the last call to the store succeeded.
    pub fn is_store_up(&self) -> bool {
        self.is_store_up.load(Ordering::Relaxed)
    }

    /// Applies a configuration whose `version` was known to be the newest at `confirmed_at`.
    /// Without a `config`, confirms the active one if that has at least this version.
    pub fn set_config(
        &self,
        config: Option<Arc<CallerConfig>>,
        version: u64,
        confirmed_at: Moment,
    ) {
        self.operator_state.send_if_modified(|operator_state| {
            let before = operator_state.config.as_ref().map_or(0, |config| config.version);
            let is_newer = config.as_ref().is_some_and(|config| config.version > before);
            if is_newer {
                telemetry::log::line("config-in-force")
                    .field("version", version)
                    .field("version_before", before)
                    .write();
                operator_state.config = config;
            }
            let known = operator_state.config.as_ref().map_or(0, |config| config.version);
            if known >= version {
                operator_state.confirmed_at = operator_state.confirmed_at.max(confirmed_at);
            }
            is_newer
        });
    }

    /// Returns whether the node is stopping.
    pub fn is_stopping(&self) -> bool {
        *self.is_stopping.borrow()
    }

    /// Updates the gauge of live jobs.
    pub fn report_live_jobs(&self) {
        let states = self.shards.get().map_or(&[][..], |shards| &shards.states);
        let live_jobs: usize =
            states.iter().map(|shared| shared.live_jobs.load(Ordering::Relaxed)).sum();
        self.telemetry.gauge(metrics::JOBS_LIVE, live_jobs as u64);
    }
}

impl<P> Shared<P> {
    /// Creates the state of a shard whose owner is not known yet.
    pub fn new(node: Arc<NodeState<P>>, shard: ShardIndex) -> Self {
        Self {
            strongest_cpu_millis: AtomicU64::new(node.settings.cpu_millis),
            node,
            shard,
            owner_location: Mutex::default(),
            owner: Mutex::default(),
            followers: Mutex::default(),
            poll_now: Notify::new(),
            is_takeover_requested: AtomicBool::new(false),
            live_jobs: AtomicUsize::new(0),
        }
    }

    /// Returns the layout of the shards.
    pub fn layout(&self) -> &Layout {
        &self.node.shards.get().expect("a shard exists only after the layout is known").layout
    }

    /// Returns whether the shard has a host.
    pub fn has_host(&self, name: &str) -> bool {
        self.layout().shard_of_host(name) == self.shard
    }

    /// Returns whether the shard has a worker.
    pub fn has_worker(&self, registration: &WorkerRegistration) -> bool {
        self.layout().shard_of_worker(registration) == self.shard
    }

    /// Returns whether a job belongs to the shard.
    pub fn has_job(&self, record: &JobRecord) -> bool {
        self.layout().shard_of_job(record) == self.shard
    }

    /// Returns the ownership if this node holds it.
    pub fn held_ownership(&self) -> Option<HeldOwnership> {
        self.owner.lock().expect("lock is never poisoned").clone()
    }

    /// Returns whether this node owns the shard.
    pub fn is_owned_here(&self) -> bool {
        self.owner.lock().expect("lock is never poisoned").is_some()
    }

    /// Returns whether this node owns the shard with this epoch, and its last committed transaction
    /// was sent at most `validity` ago.
    pub fn may_act(&self, epoch: u64, validity: Duration, now: Moment) -> bool {
        let owner = self.owner.lock().expect("lock is never poisoned");
        owner.as_ref().is_some_and(|owner| {
            owner.epoch == epoch && now.saturating_sub(owner.renewed_at) <= validity
        })
    }

    /// Records that this node no longer owns the shard.
    pub fn forget_ownership(&self) {
        *self.owner.lock().expect("lock is never poisoned") = None;
        self.live_jobs.store(0, Ordering::Relaxed);
        self.node.report_live_jobs();
    }

    /// Passes a request to the owner in this process and waits for its reply.
    pub async fn request_owner<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<T>) -> OwnerRequest,
    ) -> Result<T, OwnerRequestError> {
        let ownership = self.held_ownership().ok_or(OwnerRequestError::NotOwner)?;
        let (reply, receiver) = oneshot::channel();
        ownership.requests.try_send(request(reply)).map_err(|_| OwnerRequestError::Busy)?;
        receiver.await.map_err(|_| OwnerRequestError::OwnershipLost)
    }

    /// Returns where the owner is, as far as this node knows.
    pub fn owner_location(&self) -> OwnerLocation {
        self.owner_location.lock().expect("lock is never poisoned").clone()
    }

    /// Stores a newer owner's row. Calls to a new owner are no longer bypassed.
    pub fn set_owner_row(&self, row: OwnerRow, version: RowVersion) {
        let mut owner_location = self.owner_location.lock().expect("lock is never poisoned");
        if version < owner_location.version {
            return;
        }
        if row.incarnation != owner_location.row.incarnation {
            owner_location.bypassed_until = Moment::ZERO;
        }
        owner_location.row = row;
        owner_location.version = version;
    }

    /// Makes calls bypass the owner until a time.
    pub fn bypass_owner(&self, until: Moment) {
        let mut owner_location = self.owner_location.lock().expect("lock is never poisoned");
        owner_location.bypassed_until = owner_location.bypassed_until.max(until);
    }

    /// Records a poll by a node that follows this one.
    pub fn record_follower(&self, follower: Follower) {
        let mut followers = self.followers.lock().expect("lock is never poisoned");
        followers.record(follower);
        let strongest = followers.strongest_cpu_millis(follower.seen_at);
        drop(followers);
        self.record_strongest(strongest.max(self.owner_cpu_millis()));
    }

    /// Records the most processor time of a node that reaches the store.
    pub fn record_strongest(&self, cpu_millis: u64) {
        self.strongest_cpu_millis.store(cpu_millis, Ordering::Relaxed);
    }

    /// Returns the processor time that this node has for each shard that it owns, in thousandths of
    /// a core.
    fn owner_cpu_millis(&self) -> u64 {
        self.node.settings.cpu_millis / self.node.owned_shards().max(1) as u64
    }

    /// Returns the time between two polls of the owner while it works.
    pub fn poll_period(&self) -> Duration {
        let name = format!("{} {}", self.node.settings.name, self.shard);
        let watch_number = stable_hash(name.as_bytes());
        let is_strong = self.takeover_timing() == TakeoverTiming::Immediate;
        election::poll_period(self.layout().shard_count, watch_number, is_strong)
    }

    /// Returns how soon this node may take over: after stronger nodes, if there are any.
    pub fn takeover_timing(&self) -> TakeoverTiming {
        let strongest = self.strongest_cpu_millis.load(Ordering::Relaxed);
        match is_stronger(strongest, self.node.spare_cpu_millis()) {
            true => TakeoverTiming::AfterStronger,
            false => TakeoverTiming::Immediate,
        }
    }

    /// Returns the address of the follower that should own the scheduling if this node can't.
    pub fn successor(&self, now: Moment) -> Option<SocketAddr> {
        self.followers.lock().expect("lock is never poisoned").successor(self.shard, now)
    }

    /// Returns whether another node should own the shard: one that has more processor time in total
    /// or, if this node owns several shards, more for one of them. A node yields its shards for the
    /// second reason one by one.
    pub fn should_yield(&self, now: Moment) -> bool {
        let is_last_owned = self.node.last_owned_shard() == Some(self.shard);
        let owner_cpu_millis = self.owner_cpu_millis();
        let followers = self.followers.lock().expect("lock is never poisoned");
        followers.has_stronger(self.node.settings.cpu_millis, now)
            || (is_last_owned && followers.has_stronger(owner_cpu_millis, now))
    }
}
