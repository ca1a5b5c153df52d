//! Call that lists the teams with their limits.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::routing::get;
use gateway::NodeContext;
use limits::LimitKey;
use model::TeamRef;

use super::NodeState;
use crate::api;
use crate::shared::Shared;

/// Returns the routes of this module.
pub fn routes() -> Router<Arc<Shared>> {
    Router::new().route("/teams", get(list_teams))
}

async fn list_teams(State(shared): NodeState) -> Json<Vec<api::TeamView>> {
    let config = shared.config();
    let mut views = Vec::new();
    for contract in &config.contracts {
        for team in &contract.teams {
            let team_ref = TeamRef::new(contract.customer.clone(), team.name.clone());
            let allocation = shared.limits.get(&LimitKey::Running(team_ref.clone()));
            views.push(api::TeamView {
                team: team_ref,
                share_weight: team.share_weight,
                running_max: team.running_max,
                granted: allocation.as_ref().map_or(0, |row| row.granted),
                running: allocation.as_ref().map_or(0, |row| row.running),
                in_doubt: allocation.as_ref().map_or(0, |row| row.in_doubt),
            });
        }
    }
    Json(views)
}
