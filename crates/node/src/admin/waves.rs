//! Calls that plan, start, pause and list maintenance waves.

use std::sync::Arc;
use std::time::SystemTime;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::routing::get;
use axum::routing::post;
use control::ChangeError;
use gateway::NodeContext;
use maintenance::RowChanges;
use maintenance::WaveError;
use maintenance::wave;
use model::WaveRow;
use model::wave::HostProgress;

use super::AdminError;
use super::NodeState;
use super::wait_until_active;
use crate::api;
use crate::maintain::commit_change;
use crate::maintain::moment;
use crate::shared::Shared;

/// Returns the routes of this module.
pub fn routes() -> Router<Arc<Shared>> {
    Router::new()
        .route("/waves", get(list_waves))
        .route("/waves/{pool}/plan", post(plan_wave))
        .route("/waves/{pool}/start", post(start_wave))
        .route("/waves/{pool}/pause", post(pause_wave))
}

async fn list_waves(State(shared): NodeState) -> Json<Vec<api::WaveView>> {
    let config = shared.config();
    let now = SystemTime::now();
    let views = config.waves.iter().map(|row| api::WaveView {
        id: row.id.clone(),
        round: row.round,
        customer: row.customer.clone(),
        state: row.state.clone(),
        waiting: row.count(HostProgress::Waiting),
        started: row.count(HostProgress::Started),
        done: row.count(HostProgress::Done),
        failed: row.count(HostProgress::Failed),
        deadline_ms: row.deadline_ms,
        urgency: wave::urgency(&config, row, now),
        hosts: row.hosts.clone(),
    });
    Json(views.collect())
}

async fn plan_wave(
    State(shared): NodeState,
    Path(pool): Path<String>,
) -> Result<Json<api::Accepted>, AdminError> {
    let version = commit_change(&shared, |config| {
        wave::plan(config, &pool, moment(config)).map(wave_changes).map_err(invalid)
    });
    Ok(Json(wait_until_active(&shared, version.await?).await))
}

async fn start_wave(
    State(shared): NodeState,
    Path(pool): Path<String>,
) -> Result<Json<api::Accepted>, AdminError> {
    let version = commit_change(&shared, |config| {
        wave::start(config, &pool).map(wave_changes).map_err(invalid)
    });
    Ok(Json(wait_until_active(&shared, version.await?).await))
}

async fn pause_wave(
    State(shared): NodeState,
    Path(pool): Path<String>,
) -> Result<Json<api::Accepted>, AdminError> {
    let version = commit_change(&shared, |config| {
        wave::pause(config, &pool).map(wave_changes).map_err(invalid)
    });
    Ok(Json(wait_until_active(&shared, version.await?).await))
}

fn wave_changes(row: WaveRow) -> RowChanges {
    RowChanges { hosts: Vec::new(), waves: vec![row] }
}

fn invalid(error: WaveError) -> ChangeError {
    ChangeError::Invalid { reason: error.to_string() }
}
