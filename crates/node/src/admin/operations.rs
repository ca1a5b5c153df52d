//! Operations whose outcome was not known.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::routing::post;
use control::ChangeError;
use control::OperationOutcome;

use super::AdminError;
use super::Node;
use crate::shared::Shared;

/// Routes.
pub fn routes() -> Router<Arc<Shared>> {
    Router::new().route("/operations/{id}", post(resolve))
}

/// Says what became of an operation; one that is not in force is given up for good.
async fn resolve(
    State(shared): Node,
    Path(id): Path<String>,
) -> Result<Json<OperationOutcome>, AdminError> {
    let resolved = shared.writer.resolve(&*shared.platform.table, &id.as_str().into()).await;
    let unknown = ChangeError::Unknown { operation_id: id.into() };
    Ok(Json(resolved.ok_or(unknown)?))
}
