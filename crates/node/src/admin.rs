//! The operators' interface over HTTP and JSON; one module for each kind of thing.

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

/// Longest time that a change waits for this node's part of the ledger.
const LEDGER_WAIT: Duration = Duration::from_secs(1);

/// Longest time that a change waits for the reports of other nodes.
const IN_FORCE_WAIT: Duration = Duration::from_secs(5);
/// Time between two looks at the reports.
const IN_FORCE_POLL: Duration = Duration::from_millis(10);
/// Longest operation id, in bytes.
const OPERATION_ID_MAX_BYTES: usize = 64;

/// State of all handlers.
pub type Node = State<Arc<Shared>>;

/// Routes of the operators' interface.
pub fn router(shared: Arc<Shared>) -> Router {
    let routes = Router::new()
        .merge(contracts::routes())
        .merge(hosts::routes())
        .merge(keys::routes())
        .merge(operations::routes())
        .merge(queues::routes())
        .merge(status::routes())
        .merge(teams::routes())
        .merge(waves::routes())
        .layer(from_fn_with_state(shared.clone(), authorize))
        .with_state(shared);
    Router::new().nest(api::PREFIX, routes)
}

/// Why an operator's call failed.
pub enum AdminError {
    /// A change was not accepted.
    Change(ChangeError),
    /// The input has findings.
    Diagnostics(Diagnostics),
    /// There is no such thing.
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

async fn authorize(State(shared): Node, mut request: Request, next: Next) -> Response {
    let value = request.headers().get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
    let secret = value.and_then(|value| value.strip_prefix("Bearer "));
    let Some(operator) = secret.and_then(|secret| operator(&shared, secret)) else {
        let detail = "an operator's key is needed: set SAVORYPITCH_KEY or --key".to_owned();
        return (StatusCode::UNAUTHORIZED, Json(api::Problem { detail })).into_response();
    };
    let mut operation = Operation::new(operator);
    let id = request.headers().get(api::OPERATION_ID).and_then(|value| value.to_str().ok());
    if let Some(id) = id.filter(|id| is_operation_id(id)) {
        operation.id = id.into();
    }
    request.extensions_mut().insert(operation);
    next.run(request).await
}

/// Name of the operator whose key this is.
fn operator(shared: &Shared, secret: &str) -> Option<String> {
    if shared.settings.operator_key_hash.as_deref() == Some(&*hash_key(secret)) {
        return Some("the operator of the settings".to_owned());
    }
    let config = shared.config();
    let key = config.granted_key(secret)?;
    (key.holder == KeyHolder::Operator).then(|| format!("key {}", key.id))
}

/// Ids become keys of rows, so they are short and plain.
fn is_operation_id(id: &str) -> bool {
    (1..=OPERATION_ID_MAX_BYTES).contains(&id.len())
        && id.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
}

/// Waits until all live nodes have reported `version`, and says which have and which have not.
pub async fn accepted(shared: &Shared, version: ConfigVersion) -> api::Accepted {
    poll_once(shared).await;
    wait_for_ledger(shared, version).await;
    let until = Instant::now() + IN_FORCE_WAIT;
    loop {
        let report = in_force(shared, version);
        if report.waits_for == 0 || Instant::now() >= until {
            return api::Accepted {
                version,
                active_nodes: report.in_force,
                missing: report.missing,
            };
        }
        tokio::time::sleep(IN_FORCE_POLL).await;
    }
}

/// Which nodes have a version in force.
struct InForce {
    in_force: Vec<NodeId>,
    missing: Vec<NodeId>,
    /// Live nodes among the missing.
    waits_for: usize,
}

fn in_force(shared: &Shared, version: ConfigVersion) -> InForce {
    let mut report = InForce { in_force: Vec::new(), missing: Vec::new(), waits_for: 0 };
    for member in shared.members().iter() {
        let is_self = member.node == shared.settings.node;
        let held = if is_self { shared.config().version } else { member.config_version };
        if held >= version {
            report.in_force.push(member.node.clone());
            continue;
        }
        report.missing.push(member.node.clone());
        report.waits_for += usize::from(member.is_alive);
    }
    report
}

/// Waits until this node's part of the ledger has seen `version`, so that its tokens can be used.
async fn wait_for_ledger(shared: &Shared, version: ConfigVersion) {
    let mut seen = shared.ledger_version.subscribe();
    let has_seen = seen.wait_for(|seen| *seen >= version);
    // A change is in force with or without the tokens of this node.
    let _ = tokio::time::timeout(LEDGER_WAIT, has_seen).await;
}
