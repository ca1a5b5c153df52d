//! The operators' interface over HTTP and JSON.

use std::sync::Arc;
use std::time::Instant;
use std::time::SystemTime;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::Request;
use axum::extract::State;
use axum::middleware::Next;
use axum::middleware::from_fn_with_state;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::delete;
use axum::routing::get;
use axum::routing::post;
use control::ChangeError;
use events::Event;
use events::EventKind;
use gateway::Authority;
use http::StatusCode;
use http::header;
use limits::LimitKey;
use model::ConfigVersion;
use model::Contract;
use model::Findings;
use model::TeamRef;
use model::contract::Access;
use model::contract::parse_contract;
use model::key::KeyHolder;
use model::key::hash_key;

use crate::api;
use crate::follower::poll_once;
use crate::shared::Shared;

type Node = State<Arc<Shared>>;

/// Routes of the operators' interface.
pub fn router(shared: Arc<Shared>) -> Router {
    let routes = Router::new()
        .route("/contracts", post(apply_contract))
        .route("/contracts/{customer}", get(show_contract))
        .route("/keys", get(list_keys).post(grant_key))
        .route("/keys/{id}", delete(withdraw_key))
        .route("/queues", get(list_queues))
        .route("/hosts", get(list_hosts))
        .route("/teams", get(list_teams))
        .route("/status", get(status))
        .route("/events", get(list_events))
        .layer(from_fn_with_state(shared.clone(), authorize))
        .with_state(shared);
    Router::new().nest(api::PREFIX, routes)
}

/// Why an operator's call failed.
enum AdminError {
    Change(ChangeError),
    Findings(Findings),
    NotFound(String),
}

impl From<ChangeError> for AdminError {
    fn from(error: ChangeError) -> Self {
        Self::Change(error)
    }
}

impl IntoResponse for AdminError {
    fn into_response(self) -> Response {
        let (status, detail) = match self {
            Self::Findings(findings) => {
                return (StatusCode::UNPROCESSABLE_ENTITY, Json(findings)).into_response();
            }
            Self::NotFound(detail) => (StatusCode::NOT_FOUND, detail),
            Self::Change(error) => (status_of(&error), error.to_string()),
        };
        (status, Json(api::Problem { detail })).into_response()
    }
}

fn status_of(error: &ChangeError) -> StatusCode {
    match error {
        ChangeError::Conflict => StatusCode::CONFLICT,
        ChangeError::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        ChangeError::NotAccepted { .. } => StatusCode::SERVICE_UNAVAILABLE,
        ChangeError::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    }
}

async fn authorize(State(shared): Node, request: Request, next: Next) -> Response {
    let value = request.headers().get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
    let secret = value.and_then(|value| value.strip_prefix("Bearer "));
    if secret.is_some_and(|secret| is_operator(&shared, secret)) {
        return next.run(request).await;
    }
    let detail = "an operator's key is needed: set SAVORYPITCH_KEY or --key".to_owned();
    (StatusCode::UNAUTHORIZED, Json(api::Problem { detail })).into_response()
}

fn is_operator(shared: &Shared, secret: &str) -> bool {
    if shared.settings.operator_key_hash.as_deref() == Some(&*hash_key(secret)) {
        return true;
    }
    let config = shared.config();
    config.granted_key(secret).is_some_and(|key| key.holder == KeyHolder::Operator)
}

async fn accepted(shared: &Shared, version: ConfigVersion) -> api::Accepted {
    poll_once(shared).await;
    api::Accepted { version, in_force: vec![shared.settings.node.clone()], missing: Vec::new() }
}

async fn apply_contract(
    State(shared): Node,
    Json(call): Json<api::ApplyContract>,
) -> Result<Json<api::Accepted>, AdminError> {
    let contract = parse_contract(&call.source, &call.text).map_err(AdminError::Findings)?;
    let customer = contract.customer.to_string();
    let table = &*shared.platform.table;
    let version = shared.writer.apply_contract(table, contract, call.seen).await?;
    let kind = EventKind::ContractApplied { customer, version };
    shared.events.record(kind, SystemTime::now());
    Ok(Json(accepted(&shared, version).await))
}

async fn show_contract(
    State(shared): Node,
    Path(customer): Path<String>,
) -> Result<Json<Contract>, AdminError> {
    let config = shared.config();
    let contract = config.contract(&customer).cloned();
    contract
        .map(Json)
        .ok_or_else(|| AdminError::NotFound(format!("there is no contract of `{customer}`")))
}

async fn grant_key(
    State(shared): Node,
    Json(call): Json<api::GrantKey>,
) -> Result<Json<api::GrantedKey>, AdminError> {
    let holder = call.holder.to_string();
    let (secret, version) = shared.writer.grant(&*shared.platform.table, call.holder).await?;
    let id = model::KeyId::from(&hash_key(&secret)[..12]);
    shared.events.record(EventKind::KeyGranted { key: id.clone(), holder }, SystemTime::now());
    let accepted = accepted(&shared, version).await;
    Ok(Json(api::GrantedKey { id, secret, accepted }))
}

async fn withdraw_key(
    State(shared): Node,
    Path(id): Path<String>,
) -> Result<Json<api::Accepted>, AdminError> {
    let version = shared.writer.withdraw(&*shared.platform.table, &id).await?;
    shared.events.record(EventKind::KeyWithdrawn { key: id.into() }, SystemTime::now());
    Ok(Json(accepted(&shared, version).await))
}

async fn list_keys(State(shared): Node) -> Json<Vec<api::KeyView>> {
    let config = shared.config();
    let views = config.keys.iter().map(|key| api::KeyView {
        id: key.id.clone(),
        holder: key.holder.to_string(),
        state: key.state,
    });
    Json(views.collect())
}

async fn list_queues(State(shared): Node) -> Json<Vec<api::QueueView>> {
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

async fn list_teams(State(shared): Node) -> Json<Vec<api::TeamView>> {
    let config = shared.config();
    let mut views = Vec::new();
    for contract in &config.contracts {
        for team in &contract.teams {
            let team_ref = TeamRef::new(contract.customer.clone(), team.name.clone());
            let allotment = shared.limits.get(&LimitKey::Running(team_ref.clone()));
            views.push(api::TeamView {
                team: team_ref,
                share_weight: team.share_weight,
                running_max: team.running_max,
                granted: allotment.as_ref().map_or(0, |row| row.granted),
                running: allotment.as_ref().map_or(0, |row| row.running),
                in_doubt: allotment.as_ref().map_or(0, |row| row.in_doubt),
            });
        }
    }
    Json(views)
}

async fn status(State(shared): Node) -> Json<api::StatusView> {
    Json(api::StatusView {
        node: shared.settings.node.clone(),
        zone: shared.settings.zone.clone(),
        config_version: shared.config().version,
        admits: shared.may_admit(Instant::now()),
        metrics: shared.telemetry.totals(),
    })
}

async fn list_events(State(shared): Node) -> Json<Vec<Event>> {
    Json(shared.events.since(0))
}
