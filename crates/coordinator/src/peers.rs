//! Calls between nodes: short HTTP/1.1 requests with JSON bodies.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::post;
use bytes::Bytes;
use http::Method;
use scheduler::JobRecord;
use scheduler::ShardIndex;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::oneshot;

use crate::clock;
use crate::config::CallerConfig;
use crate::election::OwnerReply;
use crate::http::CallError;
use crate::http::CallKind;
use crate::http::Client;
use crate::http::Request;
use crate::http::Response;
use crate::ports::Platform;
use crate::shared::CancelReply;
use crate::shared::NodeState;
use crate::shared::OwnerRequest;
use crate::shared::OwnerRequestError;
use crate::shared::StateReply;
use crate::shared::SubmitReply;
use crate::succession::Follower;

/// Time limit for a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(350);
/// Time limit for a call that the owner answers from memory.
const STATE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time limit for a call that writes to the store; above two transactions of a slow store, the one
/// in flight and the next.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Largest part of a call beside a job, which fits into a row of the store, in bytes.
const CALL_FRAME_BYTES_MAX: usize = 16 << 10;

/// Poll of the owner by a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ping {
    /// Address of the follower for other nodes.
    pub address: SocketAddr,
    /// Time since the start of the follower's process, in milliseconds.
    pub uptime_ms: u64,
    /// Processor time that the follower has for one shard more, in thousandths of a core.
    pub cpu_millis: u64,
    /// Whether the follower's last call to the store succeeded.
    pub is_store_up: bool,
}

/// Reply to a ping.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Pong {
    /// Unique number of the node's process.
    incarnation: u64,
    /// Age of the owner's last committed transaction in milliseconds; none if the node is not the
    /// owner.
    renewal_age_ms: Option<u64>,
    /// Whether the owner is still loading the stored state after its takeover.
    is_loading: bool,
    /// Most processor time of a node that reaches the store, in thousandths of a core.
    strongest_cpu_millis: u64,
    /// Version of the node's active configuration; 0 if it has none.
    config_version: u64,
    /// Time since that version was known to be the newest, in milliseconds.
    config_age_ms: u64,
}

/// What a reply to a ping contains beside the state of the ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PongInfo {
    /// The node's configuration.
    pub config: ReportedConfig,
    /// Most processor time of a node that reaches the store, in thousandths of a core.
    pub strongest_cpu_millis: u64,
}

/// The active configuration of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReportedConfig {
    /// Version of the configuration; 0 if the node has none.
    pub version: u64,
    /// Time since that version was known to be the newest, as of the reply.
    pub age: Duration,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct JobCall {
    job: String,
    #[serde(rename = "asker")]
    requester: Option<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct QueueCall {
    queue: String,
}

/// Why a call to another node failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum PeerError {
    /// The node has not carried out the call and will not.
    #[error("the owner did not carry out the call: {0}")]
    NotExecuted(String),
    /// The node may have carried out the call.
    #[error("the owner did not answer: {0}")]
    NoReply(String),
}

/// Client for the node at an address, usually the owner of a shard.
pub(crate) struct OwnerClient<'a> {
    pub client: &'a Client,
    pub address: SocketAddr,
    /// Shard that the calls are about.
    pub shard: ShardIndex,
}

impl OwnerClient<'_> {
    /// Polls the owner of the shard; returns the state of its ownership and, if it replied, what
    /// else it reported.
    pub async fn ping(&self, ping: &Ping) -> (OwnerReply, Option<PongInfo>) {
        let body = serde_json::to_vec(ping).expect("serialization fails only for non-string keys");
        let request = Request::new(Method::POST, self.path("ping"), body, PING_TIMEOUT);
        let response = match self.client.call(self.address, CallKind::Short, request).await {
            Ok(response) => response,
            Err(CallError::ConnectionRefused) => return (OwnerReply::Refused, None),
            Err(_) => return (OwnerReply::Silent, None),
        };
        let Ok(pong) = serde_json::from_slice::<Pong>(&response.body) else {
            return (OwnerReply::Silent, None);
        };
        let incarnation = pong.incarnation;
        let reply = match pong.renewal_age_ms {
            Some(age_ms) => {
                let renewal_age = Duration::from_millis(age_ms);
                OwnerReply::Owner { incarnation, renewal_age, is_loading: pong.is_loading }
            }
            None => OwnerReply::NotOwner { incarnation },
        };
        let age = Duration::from_millis(pong.config_age_ms);
        let config = ReportedConfig { version: pong.config_version, age };
        (reply, Some(PongInfo { config, strongest_cpu_millis: pong.strongest_cpu_millis }))
    }

    /// Fetches the owner's active configuration.
    pub async fn config(&self) -> Result<CallerConfig, PeerError> {
        self.call("config", &(), STATE_TIMEOUT).await
    }

    /// Requests the node to take over, since this one releases the ownership or can't write to the
    /// store.
    pub async fn request_takeover(&self) -> Result<(), PeerError> {
        self.call("take", &(), STATE_TIMEOUT).await
    }

    /// Submits a job.
    pub async fn submit(&self, record: &JobRecord) -> Result<SubmitReply, PeerError> {
        self.call("submit", record, WRITE_TIMEOUT).await
    }

    /// Cancels a job.
    pub async fn cancel(
        &self,
        job: &str,
        requester: Option<&str>,
    ) -> Result<CancelReply, PeerError> {
        let call = JobCall { job: job.to_owned(), requester: requester.map(str::to_owned) };
        self.call("cancel", &call, WRITE_TIMEOUT).await
    }

    /// Requests the state of a job.
    pub async fn state(&self, job: &str, requester: Option<&str>) -> Result<StateReply, PeerError> {
        let call = JobCall { job: job.to_owned(), requester: requester.map(str::to_owned) };
        self.call("state", &call, STATE_TIMEOUT).await
    }

    /// Requests the number of jobs of a queue that have not started.
    pub async fn waiting(&self, queue: &str) -> Result<usize, PeerError> {
        let call = QueueCall { queue: queue.to_owned() };
        self.call("waiting", &call, STATE_TIMEOUT).await
    }

    /// Returns the path of a call about the shard.
    fn path(&self, name: &str) -> String {
        format!("/peer/{}/{name}", self.shard)
    }

    async fn call<T: DeserializeOwned>(
        &self,
        name: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, PeerError> {
        decode_ok(&self.send(name, body, timeout).await?)
    }

    async fn send(
        &self,
        name: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<Response, PeerError> {
        let body = Bytes::from(
            serde_json::to_vec(body).expect("serialization fails only for non-string keys"),
        );
        let request = Request::new(Method::POST, self.path(name), body, timeout);
        let response = self.client.call(self.address, CallKind::Waiting, request).await;
        response.map_err(|error| match error {
            CallError::NoResponse { why, .. } => PeerError::NoReply(why),
            error => PeerError::NotExecuted(error.to_string()),
        })
    }
}

fn decode_ok<T: DeserializeOwned>(response: &Response) -> Result<T, PeerError> {
    match response.status {
        StatusCode::OK => decode(response),
        status => Err(PeerError::NotExecuted(status.to_string())),
    }
}

fn decode<T: DeserializeOwned>(response: &Response) -> Result<T, PeerError> {
    serde_json::from_slice(&response.body).map_err(|error| PeerError::NoReply(error.to_string()))
}

/// Serves the calls of other nodes.
pub(crate) fn router<P: Platform>(node: Arc<NodeState<P>>) -> Router {
    let call_bytes_max = node.settings.scheduling.row_bytes_max + CALL_FRAME_BYTES_MAX;
    let router = Router::new()
        .route("/peer/{shard}/ping", post(ping::<P>))
        .route("/peer/{shard}/config", post(config::<P>))
        .route("/peer/{shard}/take", post(take_over::<P>))
        .route("/peer/{shard}/submit", post(submit::<P>))
        .route("/peer/{shard}/cancel", post(cancel::<P>))
        .route("/peer/{shard}/state", post(state::<P>))
        .route("/peer/{shard}/waiting", post(waiting::<P>))
        .with_state(node);
    inbound::collect_bodies(router, call_bytes_max)
}

/// A node's state, and the shard that the path of a call names.
type Target<P> = (State<Arc<NodeState<P>>>, Path<ShardIndex>);

async fn ping<P: Platform>(
    (State(node), Path(shard)): Target<P>,
    Json(ping): Json<Ping>,
) -> Json<Pong> {
    let now = clock::now();
    let age = |at| now.saturating_sub(at).as_millis() as u64;
    let started_at = now.saturating_sub(Duration::from_millis(ping.uptime_ms));
    let shared = node.shard(shard);
    if let Some(shared) = shared {
        shared.record_follower(Follower {
            address: ping.address,
            started_at,
            seen_at: now,
            cpu_millis: ping.cpu_millis,
            is_store_up: ping.is_store_up,
        });
    }
    let config = node.config(now);
    let ownership = shared.and_then(|shared| shared.held_ownership());
    let strongest = shared.map_or(0, |shared| shared.strongest_cpu_millis.load(Ordering::Relaxed));
    Json(Pong {
        incarnation: node.settings.incarnation,
        renewal_age_ms: ownership.as_ref().map(|ownership| age(ownership.renewed_at)),
        is_loading: ownership.is_some_and(|ownership| !ownership.is_ready),
        strongest_cpu_millis: strongest,
        config_version: config.as_ref().map_or(0, |(config, _)| config.version),
        config_age_ms: config.map_or(u64::MAX, |(_, age)| age.as_millis() as u64),
    })
}

async fn config<P: Platform>(
    (State(node), Path(_)): Target<P>,
) -> Result<Json<CallerConfig>, StatusCode> {
    let (config, _) = node.config(clock::now()).ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    Ok(Json((*config).clone()))
}

async fn take_over<P: Platform>(
    (State(node), Path(shard)): Target<P>,
) -> Result<Json<()>, StatusCode> {
    let shared = node.shard(shard).ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    shared.is_takeover_requested.store(true, Ordering::Relaxed);
    shared.poll_now.notify_one();
    Ok(Json(()))
}

async fn submit<P: Platform>(
    target: Target<P>,
    Json(record): Json<JobRecord>,
) -> Result<Json<SubmitReply>, StatusCode> {
    let record = Arc::new(record);
    let outcome = request_owner(target, |reply| OwnerRequest::Submit { record, reply }).await?;
    Ok(Json(outcome.unwrap_or(SubmitReply::Unknown)))
}

async fn cancel<P: Platform>(
    target: Target<P>,
    Json(call): Json<JobCall>,
) -> Result<Json<CancelReply>, StatusCode> {
    let requester = call.requester.map(Into::into);
    let outcome =
        request_owner(target, |reply| OwnerRequest::Cancel { job: call.job, requester, reply })
            .await?;
    Ok(Json(outcome.unwrap_or(CancelReply::Unknown)))
}

async fn state<P: Platform>(
    target: Target<P>,
    Json(call): Json<JobCall>,
) -> Result<Json<StateReply>, StatusCode> {
    let requester = call.requester.map(Into::into);
    let outcome =
        request_owner(target, |reply| OwnerRequest::State { job: call.job, requester, reply })
            .await?;
    outcome.map(Json).ok_or(StatusCode::SERVICE_UNAVAILABLE)
}

async fn waiting<P: Platform>(
    target: Target<P>,
    Json(call): Json<QueueCall>,
) -> Result<Json<usize>, StatusCode> {
    let queue = call.queue.into();
    let outcome =
        request_owner(target, |reply| OwnerRequest::CountWaiting { queue, reply }).await?;
    outcome.map(Json).ok_or(StatusCode::SERVICE_UNAVAILABLE)
}

/// Passes a request to the owner in this process; returns none if it lost the ownership before it
/// replied.
async fn request_owner<P: Platform, T>(
    (State(node), Path(shard)): Target<P>,
    request: impl FnOnce(oneshot::Sender<T>) -> OwnerRequest,
) -> Result<Option<T>, StatusCode> {
    let shared = node.shard(shard).ok_or(StatusCode::CONFLICT)?;
    match shared.request_owner(request).await {
        Ok(reply) => Ok(Some(reply)),
        Err(OwnerRequestError::OwnershipLost) => Ok(None),
        Err(OwnerRequestError::NotOwner) => Err(StatusCode::CONFLICT),
        Err(OwnerRequestError::Busy) => Err(StatusCode::SERVICE_UNAVAILABLE),
    }
}
