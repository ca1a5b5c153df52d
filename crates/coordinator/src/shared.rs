//! State that the tasks of a node share.
//!
//! Lock order: `owner_location` before `owner`; neither is held across an await.

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

/// Everything that operators have set, as last read.
#[derive(Clone, Debug, Default)]
pub(crate) struct OperatorState {
    /// Active configuration; none before the first was read.
    pub config: Option<Arc<CallerConfig>>,
    /// Maintenance waves that operators have planned.
    pub waves: SortedMap<WaveId, Wave>,
    /// When the last read was sent that confirmed this state as the newest.
    pub confirmed_at: Moment,
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

/// State that the tasks of a node share.
pub(crate) struct Shared<P> {
    pub settings: NodeSettings,
    pub platform: P,
    pub client: Client,
    pub operator_state: watch::Sender<OperatorState>,
    pub owner_location: Mutex<OwnerLocation>,
    /// Present while this node is the owner.
    pub owner: Mutex<Option<HeldOwnership>>,
    pub is_stopping: watch::Sender<bool>,
    /// Whether the last call to the store succeeded. A refused call has failed; a transaction with
    /// a conflict counts as success.
    pub is_store_up: AtomicBool,
    /// Nodes that have recently polled this one.
    pub followers: Mutex<Followers>,
    /// Most processor time of a node that reaches the store, as last reported, in thousandths of a
    /// core.
    pub strongest_cpu_millis: AtomicU64,
    /// Wakes the election to poll the owner at once.
    pub poll_now: Notify,
    /// Whether the owner has requested this node to take over.
    pub is_takeover_requested: AtomicBool,
    pub started_at: Moment,
    pub telemetry: telemetry::Telemetry,
}

impl<P> Shared<P> {
    /// Returns the active configuration, and the time since it was known to be the newest.
    pub fn config(&self, now: Moment) -> Option<(Arc<CallerConfig>, Duration)> {
        let operator_state = self.operator_state.borrow();
        let config = operator_state.config.clone()?;
        Some((config, now.saturating_sub(operator_state.confirmed_at)))
    }

    /// Returns the ownership if this node holds it.
    pub fn held_ownership(&self) -> Option<HeldOwnership> {
        self.owner.lock().expect("lock is never poisoned").clone()
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

    /// Records a poll by a node that follows this one.
    pub fn record_follower(&self, follower: Follower) {
        let mut followers = self.followers.lock().expect("lock is never poisoned");
        followers.record(follower);
        let strongest = followers.strongest_cpu_millis(follower.seen_at);
        self.record_strongest(strongest.max(self.settings.cpu_millis));
    }

    /// Records the most processor time of a node that reaches the store.
    pub fn record_strongest(&self, cpu_millis: u64) {
        self.strongest_cpu_millis.store(cpu_millis, Ordering::Relaxed);
    }

    /// Returns how soon this node may take over: after stronger nodes, if there are any.
    pub fn takeover_timing(&self) -> TakeoverTiming {
        let strongest = self.strongest_cpu_millis.load(Ordering::Relaxed);
        match is_stronger(strongest, self.settings.cpu_millis) {
            true => TakeoverTiming::AfterStronger,
            false => TakeoverTiming::Immediate,
        }
    }

    /// Returns the address of the follower that should own the scheduling if this node can't.
    pub fn successor(&self, now: Moment) -> Option<SocketAddr> {
        self.followers.lock().expect("lock is never poisoned").successor(now)
    }

    /// Returns whether a stronger node has followed this one for long enough.
    pub fn has_stronger(&self, now: Moment) -> bool {
        let followers = self.followers.lock().expect("lock is never poisoned");
        followers.has_stronger(self.settings.cpu_millis, now)
    }

    /// Returns whether the node is stopping.
    pub fn is_stopping(&self) -> bool {
        *self.is_stopping.borrow()
    }
}
