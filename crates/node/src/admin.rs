//! The operators' interface over HTTP and JSON, with one module for each kind of resource.

mod contracts;
mod hosts;
mod keys;
mod operations;
mod queues;
mod status;
mod teams;
mod waves;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::extract::Request;
use axum::extract::State;
use axum::middleware::Next;
use axum::middleware::from_fn_with_state;
use axum::response::IntoResponse;
use axum::response::Response;
use control::ChangeError;
use control::Operation;
use gateway::NodeContext;
use gateway::WholeBodyLimits;
use gateway::read_body_within_budget;
use http::StatusCode;
use http::header;
use model::ConfigVersion;
use model::Diagnostics;
use model::NodeId;
use model::key::KeyHolder;
use model::key::hash_key;

use crate::api;
use crate::follower::poll_once;
use crate::shared::Shared;

/// Longest time that a response to a change waits for a ledger tick of this node.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time that a response to a change waits until the version is active on all live nodes.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two checks on which nodes a version is active.
const ACTIVATION_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum size of the body of a call, in bytes.
const BODY_MAX_BYTES: u64 = 2 << 20;
/// Maximum length of an operation id, in bytes.
const OPERATION_ID_MAX_BYTES: usize = 64;

/// Extractor of the state that all handlers share.
pub type NodeState = State<Arc<Shared>>;

/// Returns the routes of the operators' interface; every call needs an operator's key.
pub fn router(shared: Arc<Shared>) -> Router {
    let limits = WholeBodyLimits {
        max_bytes: BODY_MAX_BYTES,
        idle_timeout: shared.settings.gateway.caller_idle_timeout,
    };
    let routes = Router::new()
        .merge(contracts::routes())
        .merge(hosts::routes())
        .merge(keys::routes())
        .merge(operations::routes())
        .merge(queues::routes())
        .merge(status::routes())
        .merge(teams::routes())
        .merge(waves::routes())
        .layer(from_fn_with_state(limits, read_body_within_budget))
        .layer(from_fn_with_state(shared.clone(), authorize))
        .with_state(shared);
    Router::new().nest(api::PREFIX, routes)
}

/// Error response to an operator's call.
pub enum AdminError {
    /// A change was not accepted.
    Change(ChangeError),
    /// The input is invalid.
    Diagnostics(Diagnostics),
    /// The requested resource does not exist.
    NotFound(String),
}

impl From<ChangeError> for AdminError {
    fn from(error: ChangeError) -> Self {
        Self::Change(error)
    }
}

impl IntoResponse for AdminError {
    fn into_response(self) -> Response {
        let (status, detail) = match self {
            Self::Diagnostics(diagnostics) => {
                return (StatusCode::UNPROCESSABLE_ENTITY, Json(diagnostics)).into_response();
            }
            Self::NotFound(detail) => (StatusCode::NOT_FOUND, detail),
            Self::Change(error) => (status_of(&error), error.to_string()),
        };
        (status, Json(api::Problem { detail })).into_response()
    }
}

fn status_of(error: &ChangeError) -> StatusCode {
    match error {
        ChangeError::Conflict | ChangeError::Raced { .. } => StatusCode::CONFLICT,
        ChangeError::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        ChangeError::NotAccepted { .. } => StatusCode::SERVICE_UNAVAILABLE,
        ChangeError::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    }
}

async fn authorize(State(shared): NodeState, mut request: Request, next: Next) -> Response {
    let value = request.headers().get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
    let secret = value.and_then(|value| value.strip_prefix("Bearer "));
    let Some(operator_name) = secret.and_then(|secret| operator_name(&shared, secret)) else {
        let detail = "an operator's key is needed: set SAVORYPITCH_KEY or --key".to_owned();
        return (StatusCode::UNAUTHORIZED, Json(api::Problem { detail })).into_response();
    };
    let mut operation = Operation::new(operator_name);
    let id = request.headers().get(api::OPERATION_ID).and_then(|value| value.to_str().ok());
    if let Some(id) = id.filter(|id| is_operation_id(id)) {
        operation.id = id.into();
    }
    request.extensions_mut().insert(operation);
    next.run(request).await
}

/// Returns the name under which the operator with this key is recorded; `None` if the key is not a
/// valid operator's key.
fn operator_name(shared: &Shared, secret: &str) -> Option<String> {
    if shared.settings.operator_key_hash.as_deref() == Some(&*hash_key(secret)) {
        return Some("the operator of the settings".to_owned());
    }
    let config = shared.config();
    let key = config.granted_key(secret)?;
    (key.holder == KeyHolder::Operator).then(|| format!("key {}", key.id))
}

/// Returns true if `id` is short and plain enough to become part of a row key.
fn is_operation_id(id: &str) -> bool {
    (1..=OPERATION_ID_MAX_BYTES).contains(&id.len())
        && id.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
}

/// Waits until `version` is active on all live nodes or the timeout expires, and returns on which
/// nodes it is active.
pub async fn wait_until_active(shared: &Shared, version: ConfigVersion) -> api::Accepted {
    poll_once(shared).await;
    wait_for_ledger(shared, version).await;
    let deadline = Instant::now() + ACTIVATION_TIMEOUT;
    loop {
        let activation = activation(shared, version);
        if activation.live_missing == 0 || Instant::now() >= deadline {
            return api::Accepted {
                version,
                active_nodes: activation.active_nodes,
                missing: activation.missing,
            };
        }
        tokio::time::sleep(ACTIVATION_POLL_INTERVAL).await;
    }
}

/// Nodes on which a version is active.
struct Activation {
    active_nodes: Vec<NodeId>,
    missing: Vec<NodeId>,
    /// Number of live nodes in `missing`.
    live_missing: usize,
}

fn activation(shared: &Shared, version: ConfigVersion) -> Activation {
    let mut activation =
        Activation { active_nodes: Vec::new(), missing: Vec::new(), live_missing: 0 };
    for member in shared.members().iter() {
        let is_self = member.node == shared.settings.node;
        let active_version = if is_self { shared.config().version } else { member.config_version };
        if active_version >= version {
            activation.active_nodes.push(member.node.clone());
            continue;
        }
        activation.missing.push(member.node.clone());
        activation.live_missing += usize::from(member.is_alive);
    }
    activation
}

/// Waits for a ledger tick of this node under `version`, after which its tokens can be used.
async fn wait_for_ledger(shared: &Shared, version: ConfigVersion) {
    let mut versions = shared.ledger_version.subscribe();
    let has_reached = versions.wait_for(|reached| *reached >= version);
    // The change is active even if this node has not received its tokens.
    let _ = tokio::time::timeout(LEDGER_TIMEOUT, has_reached).await;
}
