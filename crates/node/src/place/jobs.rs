//! The callers' interface for jobs.
//!
//! | call | body | response |
//! |---|---|---|
//! | `POST /jobs` | [`NewJob`] | [`JobView`], once the job is stored |
//! | `GET /jobs/{id}` | | [`JobView`] |
//! | `GET /jobs/{id}/result` | | result of the job |
//! | `DELETE /jobs/{id}` | | [`CancelAccepted`] |
//! | `POST /jobs/cancel` | [`CancelJobs`] | [`CancelAccepted`] |

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::middleware::from_fn_with_state;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use bytes::Bytes;
use gateway::NodeContext;
use gateway::WholeBodyLimits;
use gateway::read_body_within_budget;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use model::Config;
use model::Outcome;
use model::TeamRef;
use model::ids::random_id;
use model::key::KeyHolder;
use placement::AnyTask;
use placement::Class;
use placement::Job;
use placement::JobId;
use placement::PoolCapacity;
use placement::Size;
use placement::Task;
use placement::admit::check_team;
use placement::admit::choose_pool;
use routing::AdmissionError;
use serde::Deserialize;
use serde::Serialize;
use services::FinalOutcome;
use services::Precondition;
use services::Write;

use crate::place::rows;
use crate::place::rows::StoredJob;
use crate::shared::Shared;

/// Maximum size of a job's body, in bytes.
const BODY_MAX_BYTES: usize = 64 * 1_024;
/// Maximum size of the body of a request, in bytes.
const REQUEST_MAX_BYTES: u64 = 2 << 20;
/// Maximum number of attempts of a job, if the caller sets none.
const ATTEMPTS_DEFAULT: u32 = 3;
/// Upper bound on the maximum number of attempts that a caller may set.
const ATTEMPTS_MAX: u32 = 10;
/// Maximum number of cancellations in one transaction.
const CANCEL_GROUP_JOBS_MAX: usize = 100;
/// Maximum number of jobs in one call to cancel jobs.
const CANCEL_JOBS_MAX: usize = 10_000;
/// Longest time to wait for the outcome of a transaction.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Value of the `retry-after` header on errors that are temporary, in seconds.
const RETRY_AFTER_S: u64 = 1;
/// Number of characters after the pool in a job id that is derived from an idempotency key.
const KEYED_ID_LENGTH: usize = 32;

type NodeState = State<Arc<Shared>>;

/// Body of `POST /jobs`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NewJob {
    /// Queue to submit to; a pool of its service runs the job.
    pub queue: String,
    /// Name for what the job does. Jobs of a team with the same kind share size estimates.
    pub kind: String,
    /// Resources that the job needs, as estimated by the caller.
    pub size: Size,
    /// Class of the job, which decides how soon it should start.
    #[serde(default)]
    pub class: Class,
    /// True if running the job twice has the same effect as running it once.
    #[serde(default)]
    #[serde(rename = "idempotent")]
    pub is_idempotent: bool,
    /// Maximum number of attempts, clamped to the range from 1 to the upper bound of the node;
    /// `None` for the default of the node.
    #[serde(default)]
    pub attempts_max: Option<u32>,
    /// Input for the worker; opaque to the node.
    #[serde(default)]
    pub body: String,
}

/// State of a job, as shown to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Id of the job.
    pub id: String,
    /// `waiting`, `leased`, or the outcome of a finished job.
    pub state: String,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Worker that the job is leased to; `None` unless it is leased.
    pub worker: Option<String>,
}

/// Body of `POST /jobs/cancel`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelJobs {
    /// Ids of the jobs. Unknown jobs and jobs of other teams are ignored.
    pub ids: Vec<String>,
}

/// Response to a cancellation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelAccepted {
    /// Number of jobs whose cancellation was requested. Jobs that have finished are not changed.
    pub accepted: usize,
}

/// Error response to a caller.
struct JobError {
    status: StatusCode,
    detail: String,
    outcome: Outcome,
}

impl JobError {
    fn new(status: StatusCode, detail: impl ToString) -> Self {
        Self { status, detail: detail.to_string(), outcome: Outcome::NotRun }
    }

    fn unavailable(detail: impl ToString) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, detail)
    }
}

impl IntoResponse for JobError {
    fn into_response(self) -> Response {
        let problem = crate::api::Problem { detail: self.detail };
        let mut response = (self.status, Json(problem)).into_response();
        let headers = response.headers_mut();
        let outcome = HeaderValue::from_static(self.outcome.as_str());
        headers.insert("savorypitch-outcome", outcome);
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
        }
        response
    }
}

/// Returns the routes of the callers' interface for jobs.
pub fn router(shared: Arc<Shared>) -> Router {
    let limits = WholeBodyLimits {
        max_bytes: REQUEST_MAX_BYTES,
        idle_timeout: shared.settings.gateway.caller_idle_timeout,
    };
    Router::new()
        .route("/jobs", post(submit))
        .route("/jobs/cancel", post(cancel_many))
        .route_layer(from_fn_with_state(limits, read_body_within_budget))
        .route("/jobs/{id}", get(status).delete(cancel_one))
        .route("/jobs/{id}/result", get(result))
        .with_state(shared)
}

async fn submit(
    State(shared): NodeState,
    headers: HeaderMap,
    Json(new_job): Json<NewJob>,
) -> Result<(StatusCode, Json<JobView>), JobError> {
    if shared.is_stopping() || !shared.may_admit(Instant::now()) {
        return Err(JobError::unavailable("this node may not take work now"));
    }
    if new_job.body.len() > BODY_MAX_BYTES {
        return Err(JobError::new(StatusCode::PAYLOAD_TOO_LARGE, "the job's body is too large"));
    }
    let stored = admit(&shared.config(), &new_job, &headers)?;
    let job = stored.job().id.clone();
    let absent = |key: String| Precondition::Absent { key };
    let preconditions = vec![absent(rows::live_key(&job)), absent(rows::finished_key(&job))];
    let writes = vec![
        Write::put_json(rows::live_key(&job), &stored),
        Write::put_json(rows::submission_key(&job), &stored),
    ];
    let table = &*shared.platform.table;
    match shared.committer.commit(table, preconditions, writes, SETTLE_TIMEOUT).await {
        FinalOutcome::Committed => {
            shared.telemetry.count("job.submitted");
            Ok((StatusCode::ACCEPTED, Json(job_view(&stored))))
        }
        // A job with the same idempotency key was submitted before.
        FinalOutcome::Conflict { .. } => {
            let stored = find_job(&shared, &job).await?;
            Ok((StatusCode::ACCEPTED, Json(job_view(&stored))))
        }
        FinalOutcome::Refused { reason } => Err(JobError::unavailable(reason)),
        FinalOutcome::Unknown { .. } => {
            let detail = format!("the job may have been taken: ask for it as {job}");
            let outcome = Outcome::Unknown;
            Err(JobError { status: StatusCode::GATEWAY_TIMEOUT, detail, outcome })
        }
    }
}

/// Checks the caller's key and permission and the job's size, and chooses the pool for the job.
fn admit(config: &Config, new_job: &NewJob, headers: &HeaderMap) -> Result<StoredJob, JobError> {
    let admitted = routing::admit(config, &new_job.queue, bearer(headers)).map_err(|error| {
        let status = match error {
            AdmissionError::NoQueue => StatusCode::NOT_FOUND,
            AdmissionError::NoKey | AdmissionError::BadKey => StatusCode::UNAUTHORIZED,
            AdmissionError::NoPermission => StatusCode::FORBIDDEN,
        };
        JobError::new(status, error)
    })?;
    let not_runnable = |reason| JobError::new(StatusCode::UNPROCESSABLE_ENTITY, reason);
    let no_queue = || JobError::new(StatusCode::NOT_FOUND, AdmissionError::NoQueue);
    let (contract, queue) = config.queue(&new_job.queue).ok_or_else(no_queue)?;
    let no_team = || JobError::new(StatusCode::FORBIDDEN, AdmissionError::NoPermission);
    let team = contract.team(&admitted.team.team).ok_or_else(no_team)?;
    check_team(queue, team).map_err(not_runnable)?;
    let mut job = Job {
        id: JobId::from(""),
        team: admitted.team,
        kind: new_job.kind.as_str().into(),
        declared: new_job.size,
        class: new_job.class,
        idempotent: new_job.is_idempotent,
        attempts_max: new_job.attempts_max.unwrap_or(ATTEMPTS_DEFAULT).clamp(1, ATTEMPTS_MAX),
    };
    let capacities = capacities(config);
    let pool = choose_pool(contract, queue, &job, &capacities).map_err(not_runnable)?;
    job.id = rows::job_id(&pool, &id_suffix(headers, &job.team));
    let task = AnyTask::Waiting(Task::new(job, team.share_weight));
    Ok(StoredJob { queue: queue.name.clone(), body: new_job.body.clone(), task })
}

/// Returns the part of a job id after the pool: random, or derived from the team and the
/// idempotency key, so that a repeat gets the same id.
fn id_suffix(headers: &HeaderMap, team: &TeamRef) -> String {
    let Some(key) = headers.get("idempotency-key") else {
        return random_id().to_string();
    };
    let mut text = format!("{team}\n").into_bytes();
    text.extend_from_slice(key.as_bytes());
    let text = String::from_utf8_lossy(&text).into_owned();
    model::key::hash_key(&text)[..KEYED_ID_LENGTH].to_owned()
}

fn capacities(config: &Config) -> Vec<PoolCapacity> {
    let pools = config.contracts.iter().flat_map(|contract| &contract.pools);
    pools
        .map(|pool| {
            let hosts = config.hosts.iter().filter(|host| host.spec.pool == pool.name);
            let size = |host: &model::HostRow| {
                let spec = &host.spec;
                Size::of_cores(spec.processors, spec.memory_mib, spec.accelerators)
            };
            PoolCapacity { pool: pool.name.clone(), workers: hosts.map(size).collect() }
        })
        .collect()
}

async fn status(
    State(shared): NodeState,
    headers: HeaderMap,
    Path(id): Path<String>,
) -> Result<Json<JobView>, JobError> {
    let stored = find_team_job(&shared, &headers, &id).await?;
    Ok(Json(job_view(&stored)))
}

async fn result(
    State(shared): NodeState,
    headers: HeaderMap,
    Path(id): Path<String>,
) -> Result<Bytes, JobError> {
    let stored = find_team_job(&shared, &headers, &id).await?;
    if !matches!(stored.task, AnyTask::Ended(_)) {
        return Err(JobError::new(StatusCode::CONFLICT, "the job has not ended"));
    }
    let found = shared.platform.objects.get(&rows::result_name(&id)).await;
    let found = found.map_err(JobError::unavailable)?;
    found.ok_or_else(|| JobError::new(StatusCode::NOT_FOUND, "the job gave nothing back"))
}

async fn cancel_one(
    State(shared): NodeState,
    headers: HeaderMap,
    Path(id): Path<String>,
) -> Result<Json<CancelAccepted>, JobError> {
    find_team_job(&shared, &headers, &id).await?;
    write_cancellations(&shared, &[id]).await
}

async fn cancel_many(
    State(shared): NodeState,
    headers: HeaderMap,
    Json(cancel): Json<CancelJobs>,
) -> Result<Json<CancelAccepted>, JobError> {
    let team = team_of(&shared.config(), &headers)?;
    if cancel.ids.len() > CANCEL_JOBS_MAX {
        let detail = format!("at most {CANCEL_JOBS_MAX} jobs can be cancelled in one call");
        return Err(JobError::new(StatusCode::PAYLOAD_TOO_LARGE, detail));
    }
    let mut own = Vec::with_capacity(cancel.ids.len());
    for id in cancel.ids {
        match find_job(&shared, &id).await {
            Ok(stored) if stored.job().team == team => own.push(id),
            Ok(_) => {}
            Err(error) if error.status == StatusCode::NOT_FOUND => {}
            Err(error) => return Err(error),
        }
    }
    write_cancellations(&shared, &own).await
}

/// Writes cancellations to the inboxes, in groups of one transaction each.
async fn write_cancellations(
    shared: &Shared,
    ids: &[String],
) -> Result<Json<CancelAccepted>, JobError> {
    let table = &*shared.platform.table;
    for group in ids.chunks(CANCEL_GROUP_JOBS_MAX) {
        let writes = group.iter().map(|id| Write::put(rows::cancellation_key(id), "[]")).collect();
        match shared.committer.commit(table, Vec::new(), writes, SETTLE_TIMEOUT).await {
            FinalOutcome::Committed => {}
            // The caller may repeat the call, because cancelling a job twice has no further effect.
            _ => return Err(JobError::unavailable("not all jobs were cancelled; ask again")),
        }
    }
    shared.telemetry.count_many("job.cancel_asked", ids.len() as u64);
    Ok(Json(CancelAccepted { accepted: ids.len() }))
}

async fn find_team_job(
    shared: &Shared,
    headers: &HeaderMap,
    id: &str,
) -> Result<StoredJob, JobError> {
    let team = team_of(&shared.config(), headers)?;
    let stored = find_job(shared, id).await?;
    if stored.job().team != team {
        return Err(no_job());
    }
    Ok(stored)
}

/// Reads a job that is live or finished.
///
/// It reads the live row first: a job becomes finished in one transaction and never live again, so
/// that one of the two reads finds it.
async fn find_job(shared: &Shared, id: &str) -> Result<StoredJob, JobError> {
    if rows::pool_of(id).is_none() {
        return Err(no_job());
    }
    for key in [rows::live_key(id), rows::finished_key(id)] {
        let row = shared.platform.table.get(&key).await.map_err(JobError::unavailable)?;
        if let Some(row) = row {
            return rows::decode(&row).map_err(JobError::unavailable);
        }
    }
    Err(no_job())
}

fn no_job() -> JobError {
    JobError::new(StatusCode::NOT_FOUND, "there is no such job")
}

fn team_of(config: &Config, headers: &HeaderMap) -> Result<TeamRef, JobError> {
    let unauthorized = |error| JobError::new(StatusCode::UNAUTHORIZED, error);
    let secret = bearer(headers).ok_or_else(|| unauthorized(AdmissionError::NoKey))?;
    let key = config.granted_key(secret).ok_or_else(|| unauthorized(AdmissionError::BadKey))?;
    match &key.holder {
        KeyHolder::Team(team) => Ok(team.clone()),
        KeyHolder::Operator => {
            Err(JobError::new(StatusCode::FORBIDDEN, AdmissionError::NoPermission))
        }
    }
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, secret) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| secret.trim())
}

fn job_view(stored: &StoredJob) -> JobView {
    let id = stored.job().id.to_string();
    let (state, attempts, worker) = match &stored.task {
        AnyTask::Waiting(task) => ("waiting".to_owned(), task.attempts, None),
        AnyTask::Leased(task) => {
            ("leased".to_owned(), task.attempts, Some(task.state.worker.to_string()))
        }
        AnyTask::Ended(task) => (task.state.outcome.to_string(), task.attempts, None),
    };
    JobView { id, state, attempts, worker }
}
