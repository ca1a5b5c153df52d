//! The operators' interface over HTTP and JSON; one module for each kind of thing.

mod contracts;
mod hosts;
mod keys;
mod queues;
mod status;
mod teams;
mod waves;

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Request;
use axum::extract::State;
use axum::middleware::Next;
use axum::middleware::from_fn_with_state;
use axum::response::IntoResponse;
use axum::response::Response;
use control::ChangeError;
use gateway::Authority;
use http::StatusCode;
use http::header;
use model::ConfigVersion;
use model::Findings;
use model::key::KeyHolder;
use model::key::hash_key;

use crate::api;
use crate::follower::poll_once;
use crate::shared::Shared;

/// Longest time that a change waits for this node's part of the ledger.
const LEDGER_WAIT: Duration = Duration::from_secs(1);

/// State of all handlers.
pub type Node = State<Arc<Shared>>;

/// Routes of the operators' interface.
pub fn router(shared: Arc<Shared>) -> Router {
    let routes = Router::new()
        .merge(contracts::routes())
        .merge(hosts::routes())
        .merge(keys::routes())
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
    Findings(Findings),
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
            Self::Findings(findings) => {
                return (StatusCode::UNPROCESSABLE_ENTITY, Json(findings)).into_response();
            }
            Self::NotFound(detail) => (StatusCode::NOT_FOUND, detail),
            Self::Change(error) => (status_of(&error), error.to_string()),
        };
        (status, Json(api::Problem { detail })).into_response()
    }
}

fn status_of(error: &ChangeError) -> StatusCode {
    match error {
        ChangeError::Conflict => StatusCode::CONFLICT,
        ChangeError::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        ChangeError::NotAccepted { .. } => StatusCode::SERVICE_UNAVAILABLE,
        ChangeError::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    }
}

async fn authorize(State(shared): Node, request: Request, next: Next) -> Response {
    let value = request.headers().get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
    let secret = value.and_then(|value| value.strip_prefix("Bearer "));
    if secret.is_some_and(|secret| is_operator(&shared, secret)) {
        return next.run(request).await;
    }
    let detail = "an operator's key is needed: set SAVORYPITCH_KEY or --key".to_owned();
    (StatusCode::UNAUTHORIZED, Json(api::Problem { detail })).into_response()
}

fn is_operator(shared: &Shared, secret: &str) -> bool {
    if shared.settings.operator_key_hash.as_deref() == Some(&*hash_key(secret)) {
        return true;
    }
    let config = shared.config();
    config.granted_key(secret).is_some_and(|key| key.holder == KeyHolder::Operator)
}

/// Waits until a change is in force and says on which nodes.
pub async fn accepted(shared: &Shared, version: ConfigVersion) -> api::Accepted {
    poll_once(shared).await;
    wait_for_ledger(shared, version).await;
    api::Accepted { version, in_force: vec![shared.settings.node.clone()], missing: Vec::new() }
}

/// Waits until this node's part of the ledger has seen `version`, so that its tokens can be used.
async fn wait_for_ledger(shared: &Shared, version: ConfigVersion) {
    let mut seen = shared.ledger_version.subscribe();
    let has_seen = seen.wait_for(|seen| *seen >= version);
    // A change is in force with or without the tokens of this node.
    let _ = tokio::time::timeout(LEDGER_WAIT, has_seen).await;
}
