//! Call that resolves an operation whose reply was lost.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::routing::post;
use control::ChangeError;
use control::OperationOutcome;

use super::AdminError;
use super::NodeState;
use crate::shared::Shared;

/// Returns the routes of this module.
pub fn routes() -> Router<Arc<Shared>> {
    Router::new().route("/operations/{id}", post(resolve))
}

/// Returns whether an operation became active. If it did not, it is prevented from ever becoming
/// active.
async fn resolve(
    State(shared): NodeState,
    Path(id): Path<String>,
) -> Result<Json<OperationOutcome>, AdminError> {
    let resolved = shared.writer.resolve(&*shared.platform.table, &id.as_str().into()).await;
    let unknown = ChangeError::Unknown { operation_id: id.into() };
    Ok(Json(resolved.ok_or(unknown)?))
}
