//! Calls that list, drain, move and return hosts.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::routing::get;
use axum::routing::post;
use control::ChangeError;
use gateway::NodeContext;
use limits::LimitKey;
use maintenance::RowChanges;
use maintenance::TransitionError;
use model::HostId;
use model::HostRow;
use model::StopReason;

use super::AdminError;
use super::NodeState;
use super::wait_until_active;
use crate::api;
use crate::maintain::commit_change;
use crate::maintain::moment;
use crate::maintain::unavailable_in_service;
use crate::shared::Shared;

/// Returns the routes of this module.
pub fn routes() -> Router<Arc<Shared>> {
    Router::new()
        .route("/hosts", get(list_hosts))
        .route("/hosts/{id}/drain", post(drain_host))
        .route("/hosts/{id}/move", post(move_host))
        .route("/hosts/{id}/return", post(return_host))
}

async fn list_hosts(State(shared): NodeState) -> Json<Vec<api::HostView>> {
    let config = shared.config();
    let views = config.hosts.iter().map(|host| {
        let slots = shared.limits.get(&LimitKey::Slots(host.id().clone()));
        api::HostView {
            id: host.id().clone(),
            customer: host.customer.clone(),
            pool: host.spec.pool.clone(),
            zone: host.spec.zone.clone(),
            state: host.state,
            reason: host.reason.clone(),
            move_to: host.move_to.clone(),
            running: slots.as_ref().map_or(0, |slots| slots.running),
            in_doubt: slots.as_ref().map_or(0, |slots| slots.in_doubt),
        }
    });
    Json(views.collect())
}

async fn drain_host(
    State(shared): NodeState,
    Path(id): Path<String>,
) -> Result<Json<api::Accepted>, AdminError> {
    let unavailable = unavailable_hosts(&shared, &id).await?;
    let version = commit_change(&shared, |config| {
        let reason = StopReason::Operator;
        let row = maintenance::drain(config, &id, reason, &unavailable, moment(config));
        row.map(host_changes).map_err(invalid)
    });
    Ok(Json(wait_until_active(&shared, version.await?).await))
}

async fn move_host(
    State(shared): NodeState,
    Path(id): Path<String>,
    Json(call): Json<api::MoveHost>,
) -> Result<Json<api::Accepted>, AdminError> {
    let unavailable = unavailable_hosts(&shared, &id).await?;
    let version = commit_change(&shared, |config| {
        let row = maintenance::move_host(config, &id, &call.pool, &unavailable, moment(config));
        row.map(host_changes).map_err(invalid)
    });
    Ok(Json(wait_until_active(&shared, version.await?).await))
}

async fn return_host(
    State(shared): NodeState,
    Path(id): Path<String>,
) -> Result<Json<api::Accepted>, AdminError> {
    let version = commit_change(&shared, |config| {
        let row = maintenance::return_host(config, &id, moment(config));
        row.map(host_changes).map_err(invalid)
    });
    Ok(Json(wait_until_active(&shared, version.await?).await))
}

async fn unavailable_hosts(shared: &Shared, host: &str) -> Result<Vec<HostId>, AdminError> {
    let config = shared.config();
    Ok(unavailable_in_service(shared, &config, host).await.map_err(ChangeError::from)?)
}

fn invalid(error: TransitionError) -> ChangeError {
    ChangeError::Invalid { reason: error.to_string() }
}

fn host_changes(row: HostRow) -> RowChanges {
    RowChanges { hosts: vec![row], waves: Vec::new() }
}
