//! Calls that grant, withdraw and list keys.

use std::sync::Arc;
use std::time::SystemTime;

use axum::Extension;
use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::routing::delete;
use axum::routing::get;
use control::Operation;
use events::EventKind;
use gateway::NodeContext;
use model::key::hash_key;

use super::AdminError;
use super::NodeState;
use super::wait_until_active;
use crate::api;
use crate::shared::Shared;

/// Returns the routes of this module.
pub fn routes() -> Router<Arc<Shared>> {
    Router::new()
        .route("/keys", get(list_keys).post(grant_key))
        .route("/keys/{id}", delete(withdraw_key))
}

async fn grant_key(
    State(shared): NodeState,
    Extension(operation): Extension<Operation>,
    Json(call): Json<api::GrantKey>,
) -> Result<Json<api::GrantedKey>, AdminError> {
    let holder = call.holder.to_string();
    let table = &*shared.platform.table;
    let (secret, version) = shared.writer.grant_as(table, &operation, call.holder).await?;
    let id = model::KeyId::from(&hash_key(&secret)[..12]);
    shared.events.record(EventKind::KeyGranted { key: id.clone(), holder }, SystemTime::now());
    let accepted = wait_until_active(&shared, version).await;
    Ok(Json(api::GrantedKey { id, secret, accepted }))
}

async fn withdraw_key(
    State(shared): NodeState,
    Extension(operation): Extension<Operation>,
    Path(id): Path<String>,
) -> Result<Json<api::Accepted>, AdminError> {
    let version = shared.writer.withdraw_as(&*shared.platform.table, &operation, &id).await?;
    shared.events.record(EventKind::KeyWithdrawn { key: id.into() }, SystemTime::now());
    Ok(Json(wait_until_active(&shared, version).await))
}

async fn list_keys(State(shared): NodeState) -> Json<Vec<api::KeyView>> {
    let config = shared.config();
    let views = config.keys.iter().map(|key| api::KeyView {
        id: key.id.clone(),
        holder: key.holder.to_string(),
        state: key.state,
    });
    Json(views.collect())
}
