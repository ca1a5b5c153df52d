//! Hosts: listed.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::routing::get;
use gateway::Authority;
use limits::LimitKey;

use super::Node;
use crate::api;
use crate::shared::Shared;

/// Routes.
pub fn routes() -> Router<Arc<Shared>> {
    Router::new().route("/hosts", get(list_hosts))
}

async fn list_hosts(State(shared): Node) -> Json<Vec<api::HostView>> {
    let config = shared.config();
    let views = config.hosts.iter().map(|host| {
        let slots = shared.limits.get(&LimitKey::Slots(host.id().clone()));
        api::HostView {
            id: host.id().clone(),
            customer: host.customer.clone(),
            pool: host.spec.pool.clone(),
            zone: host.spec.zone.clone(),
            state: host.state,
            move_to: host.move_to.clone(),
            running: slots.as_ref().map_or(0, |slots| slots.running),
            in_doubt: slots.as_ref().map_or(0, |slots| slots.in_doubt),
        }
    });
    Json(views.collect())
}
