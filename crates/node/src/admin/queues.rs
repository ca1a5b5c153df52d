//! Call that lists the queues.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::routing::get;
use gateway::NodeContext;
use model::contract::Access;

use super::NodeState;
use crate::api;
use crate::shared::Shared;

/// Returns the routes of this module.
pub fn routes() -> Router<Arc<Shared>> {
    Router::new().route("/queues", get(list_queues))
}

async fn list_queues(State(shared): NodeState) -> Json<Vec<api::QueueView>> {
    let config = shared.config();
    let mut views = Vec::new();
    for contract in &config.contracts {
        for queue in &contract.queues {
            let access = match &queue.access {
                Access::Open => "open".to_owned(),
                Access::Teams(teams) => teams.join(", "),
            };
            views.push(api::QueueView {
                name: queue.name.clone(),
                customer: contract.customer.clone(),
                service: queue.service.clone(),
                access,
            });
        }
    }
    Json(views)
}
