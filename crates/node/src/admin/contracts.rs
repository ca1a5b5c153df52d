//! Calls that apply and show contracts.

use std::sync::Arc;
use std::time::SystemTime;

use axum::Extension;
use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::routing::get;
use axum::routing::post;
use control::Operation;
use events::EventKind;
use gateway::NodeContext;
use model::Contract;
use model::contract::parse_contract;

use super::AdminError;
use super::NodeState;
use super::wait_until_active;
use crate::api;
use crate::shared::Shared;

/// Returns the routes of this module.
pub fn routes() -> Router<Arc<Shared>> {
    Router::new()
        .route("/contracts", post(apply_contract))
        .route("/contracts/{customer}", get(show_contract))
}

async fn apply_contract(
    State(shared): NodeState,
    Extension(operation): Extension<Operation>,
    Json(call): Json<api::ApplyContract>,
) -> Result<Json<api::Accepted>, AdminError> {
    let contract = parse_contract(&call.source, &call.text).map_err(AdminError::Diagnostics)?;
    let customer = contract.customer.to_string();
    let table = &*shared.platform.table;
    let version =
        shared.writer.apply_contract_as(table, &operation, contract, call.seen_version).await?;
    let kind = EventKind::ContractApplied { customer, version };
    shared.events.record(kind, SystemTime::now());
    Ok(Json(wait_until_active(&shared, version).await))
}

async fn show_contract(
    State(shared): NodeState,
    Path(customer): Path<String>,
) -> Result<Json<Contract>, AdminError> {
    let config = shared.config();
    let contract = config.contract(&customer).cloned();
    contract
        .map(Json)
        .ok_or_else(|| AdminError::NotFound(format!("there is no contract of `{customer}`")))
}
