//! What the tasks of a node share.
//!
//! Lock order: `owner_location` before `owner`; none is held across an await.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use scheduler::JobRecord;
use scheduler::JobView;
use scheduler::Moment;
use scheduler::QueueName;
use scheduler::SortedMap;
use scheduler::TeamName;
use scheduler::Wave;
use scheduler::WaveId;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::config::CallerConfig;
use crate::election::TakeoverTiming;
use crate::http::Client;
use crate::node::NodeSettings;
use crate::ports::RowVersion;
use crate::rows::OwnerRow;
use crate::succession::Follower;
use crate::succession::Followers;
use crate::succession::is_stronger;

/// What operators have set, as last read.
#[derive(Clone, Debug, Default)]
pub(crate) struct OperatorState {
    /// Configuration; none before the first was read.
    pub config: Option<Arc<CallerConfig>>,
    /// Waves.
    pub waves: SortedMap<WaveId, Wave>,
    /// When the read that found this to be the newest was sent.
    pub confirmed_at: Moment,
}

/// Where the owner is, as far as the node knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnerLocation {
    /// The owner's row.
    pub row: OwnerRow,
    /// Version of the row.
    pub version: RowVersion,
    /// Calls go to the store instead until then, since the owner did not answer.
    pub bypassed_until: Moment,
}

/// The ownership that this node holds.
#[derive(Clone, Debug)]
pub(crate) struct HeldOwnership {
    /// Fencing token.
    pub epoch: u64,
    /// Takes requests for the owner.
    pub requests: mpsc::Sender<OwnerRequest>,
    /// When the last transaction that was committed was sent.
    pub renewed_at: Moment,
    /// True once the owner has read what is stored.
    pub is_ready: bool,
}

/// What became of a submission at the owner.
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

/// What became of a cancellation at the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum CancelReply {
    /// It is stored, or the job had ended before.
    Done,
    /// There is no such job.
    NoJob,
    /// The job is another team's.
    OtherTeam,
    /// It may be stored.
    Unknown,
}

/// What the owner knows of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum StateReply {
    /// What callers are shown.
    Found(JobView),
    /// There is no such job.
    NoJob,
    /// The job is another team's.
    OtherTeam,
}

/// Who asks about a job: a team, or anybody on an open queue.
pub(crate) type Requester = Option<TeamName>;

/// A request to the owner.
#[derive(Debug)]
pub(crate) enum OwnerRequest {
    /// Accept a job.
    Submit {
        /// The job.
        record: Arc<JobRecord>,
        /// Gets the answer.
        reply: oneshot::Sender<SubmitReply>,
    },
    /// Cancel a job.
    Cancel {
        /// Id.
        job: String,
        /// Who asks.
        requester: Requester,
        /// Gets the answer.
        reply: oneshot::Sender<CancelReply>,
    },
    /// Tell the state of a job.
    State {
        /// Id.
        job: String,
        /// Who asks.
        requester: Requester,
        /// Gets the answer.
        reply: oneshot::Sender<StateReply>,
    },
    /// Count the jobs of a queue that wait.
    CountWaiting {
        /// Queue.
        queue: QueueName,
        /// Gets the answer.
        reply: oneshot::Sender<usize>,
    },
    /// Give up the ownership.
    Release {
        /// Told when that is stored.
        reply: oneshot::Sender<()>,
    },
}

/// The owner in this process has not answered a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum OwnerRequestError {
    /// There is none.
    #[error("this node is not the owner")]
    NotOwner,
    /// Too many requests wait for it.
    #[error("too many requests wait for the owner")]
    Busy,
    /// It gave the ownership up before it answered.
    #[error("the ownership was lost")]
    OwnershipLost,
}

/// What the tasks of a node share.
pub(crate) struct Shared<P> {
    pub settings: NodeSettings,
    pub platform: P,
    pub client: Client,
    pub operator_state: watch::Sender<OperatorState>,
    pub owner_location: Mutex<OwnerLocation>,
    pub owner: Mutex<Option<HeldOwnership>>,
    pub is_stopping: watch::Sender<bool>,
    /// The last call to the store was answered.
    pub is_store_up: AtomicBool,
    /// Nodes that have asked of late whether this one works.
    pub followers: Mutex<Followers>,
    /// Most processor time of a node that reaches the store, as last heard, in thousandths of a core.
    pub strongest_cpu_millis: AtomicU64,
    /// Makes the node look at the owner at once.
    pub poll_now: Notify,
    /// The owner has asked this node to take over.
    pub is_takeover_requested: AtomicBool,
    pub started_at: Moment,
    pub telemetry: telemetry::Telemetry,
}

impl<P> Shared<P> {
    /// Configuration in force here, and how long ago it was surely the newest.
    pub fn config(&self, now: Moment) -> Option<(Arc<CallerConfig>, Duration)> {
        let operator_state = self.operator_state.borrow();
        let config = operator_state.config.clone()?;
        Some((config, now.saturating_sub(operator_state.confirmed_at)))
    }

    /// The ownership that this node holds.
    pub fn held_ownership(&self) -> Option<HeldOwnership> {
        self.owner.lock().expect("no holder panics").clone()
    }

    /// Hands a request to the owner in this process and waits for its answer.
    pub async fn request_owner<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<T>) -> OwnerRequest,
    ) -> Result<T, OwnerRequestError> {
        let ownership = self.held_ownership().ok_or(OwnerRequestError::NotOwner)?;
        let (reply, answer) = oneshot::channel();
        ownership.requests.try_send(request(reply)).map_err(|_| OwnerRequestError::Busy)?;
        answer.await.map_err(|_| OwnerRequestError::OwnershipLost)
    }

    /// Where the owner is.
    pub fn owner_location(&self) -> OwnerLocation {
        self.owner_location.lock().expect("no holder panics").clone()
    }

    /// Notes the owner's row.
    pub fn set_owner_row(&self, row: OwnerRow, version: RowVersion) {
        let mut owner_location = self.owner_location.lock().expect("no holder panics");
        if version < owner_location.version {
            return;
        }
        if row.incarnation != owner_location.row.incarnation {
            owner_location.bypassed_until = Moment::ZERO;
        }
        owner_location.row = row;
        owner_location.version = version;
    }

    /// Sends calls to the store instead of the owner for a while.
    pub fn bypass_owner(&self, until: Moment) {
        let mut owner_location = self.owner_location.lock().expect("no holder panics");
        owner_location.bypassed_until = owner_location.bypassed_until.max(until);
    }

    /// Notes whether a call to the store was answered.
    pub fn record_store_reply(&self, is_answered: bool) {
        self.is_store_up.store(is_answered, Ordering::Relaxed);
    }

    /// True if the last call to the store was answered.
    pub fn is_store_up(&self) -> bool {
        self.is_store_up.load(Ordering::Relaxed)
    }

    /// Takes in a configuration that was surely the newest at `confirmed_at`.
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

    /// Notes a node that follows this one.
    pub fn record_follower(&self, follower: Follower) {
        let mut followers = self.followers.lock().expect("no holder panics");
        followers.record(follower);
        let strongest = followers.strongest_cpu_millis(follower.seen_at);
        self.record_strongest(strongest.max(self.settings.cpu_millis));
    }

    /// Notes the most processor time of a node that reaches the store.
    pub fn record_strongest(&self, cpu_millis: u64) {
        self.strongest_cpu_millis.store(cpu_millis, Ordering::Relaxed);
    }

    /// Whether a stronger node should own the scheduling rather than this one.
    pub fn takeover_timing(&self) -> TakeoverTiming {
        let strongest = self.strongest_cpu_millis.load(Ordering::Relaxed);
        match is_stronger(strongest, self.settings.cpu_millis) {
            true => TakeoverTiming::AfterStronger,
            false => TakeoverTiming::Immediate,
        }
    }

    /// The follower that should own the scheduling if this node cannot.
    pub fn successor(&self, now: Moment) -> Option<SocketAddr> {
        self.followers.lock().expect("no holder panics").successor(now)
    }

    /// True if a stronger node has followed for a while.
    pub fn has_stronger(&self, now: Moment) -> bool {
        let followers = self.followers.lock().expect("no holder panics");
        followers.has_stronger(self.settings.cpu_millis, now)
    }

    /// True once the node is to stop.
    pub fn is_stopping(&self) -> bool {
        *self.is_stopping.borrow()
    }
}
