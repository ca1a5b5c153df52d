//! Calls that show the state of this node and the events of all nodes.

use std::sync::Arc;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::extract::Query;
use axum::extract::State;
use axum::routing::get;
use control::ChangeError;
use events::Event;
use events::Filter;
use gateway::NodeContext;
use membership::MemberView;

use super::AdminError;
use super::NodeState;
use crate::api;
use crate::shared::Shared;
use crate::ship::read_timeline;

/// Returns the routes of this module.
pub fn routes() -> Router<Arc<Shared>> {
    Router::new().route("/status", get(status)).route("/timeline", get(timeline))
}

async fn status(State(shared): NodeState) -> Json<api::StatusView> {
    Json(api::StatusView {
        node: shared.settings.node.clone(),
        zone: shared.settings.zone.clone(),
        config_version: shared.config().version,
        is_admitting: shared.may_admit(Instant::now()),
        members: shared.members().iter().map(member_status).collect(),
        metrics: shared.telemetry.totals(),
    })
}

fn member_status(member: &MemberView) -> api::MemberStatus {
    api::MemberStatus {
        node: member.node.clone(),
        incarnation: member.incarnation,
        zone: member.zone.clone(),
        caller_address: member.caller_address,
        admin_address: member.admin_address,
        config_version: member.config_version,
        is_alive: member.is_alive,
    }
}

async fn timeline(
    State(shared): NodeState,
    Query(filter): Query<Filter>,
) -> Result<Json<Vec<Event>>, AdminError> {
    let events = read_timeline(&shared, &filter).await;
    Ok(Json(events.map_err(ChangeError::from)?))
}
