//! Callers' interface of jobs.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /jobs` | [`NewJob`] | [`JobView`], once the job is stored |
//! | `GET /jobs/{id}` | | [`JobView`] |
//! | `GET /jobs/{id}/result` | | what the job gave back |
//! | `DELETE /jobs/{id}` | | [`CancelAccepted`] |
//! | `POST /jobs/cancel` | [`CancelJobs`] | [`CancelAccepted`] |

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use bytes::Bytes;
use gateway::NodeContext;
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
use services::Precondition;
use services::Settled;
use services::Write;

use crate::place::rows;
use crate::place::rows::StoredJob;
use crate::shared::Shared;

/// Largest body of a job, in bytes.
const BODY_MAX_BYTES: usize = 64 * 1_024;
/// Runs of a job at most, if the caller does not say.
const ATTEMPTS_DEFAULT: u32 = 3;
/// Runs of a job at most.
const ATTEMPTS_MAX: u32 = 10;
/// Jobs cancelled in one transaction.
const CANCEL_GROUP_MAX: usize = 100;
/// Jobs cancelled in one call.
const CANCEL_MAX: usize = 10_000;
/// Time that a transaction may take to settle.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
/// When a caller may try again after a refusal that passes by itself.
const RETRY_AFTER_S: u64 = 1;
/// Bytes of the digest that makes an id of an idempotency key.
const KEYED_ID_LENGTH: usize = 32;

type Node = State<Arc<Shared>>;

/// A job to run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NewJob {
    /// Queue; its service's pools run the job.
    pub queue: String,
    /// What the job does; jobs of one kind share what is learnt of their sizes.
    pub kind: String,
    /// Size as far as the caller knows.
    pub size: Size,
    /// How soon it should start.
    #[serde(default)]
    pub class: Class,
    /// True if a second run does no harm.
    #[serde(default)]
    pub is_idempotent: bool,
    /// Runs at most.
    #[serde(default)]
    pub attempts_max: Option<u32>,
    /// What to run, for the worker.
    #[serde(default)]
    pub body: String,
}

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Id.
    pub id: String,
    /// `waiting`, `leased`, or how it ended.
    pub state: String,
    /// Runs so far.
    pub attempts: u32,
    /// Worker, while it is leased.
    pub worker: Option<String>,
}

/// Jobs to cancel.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelJobs {
    /// Ids.
    pub ids: Vec<String>,
}

/// Answer to a cancellation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelAccepted {
    /// Jobs that are being cancelled; those that have ended meanwhile stay as they are.
    pub accepted: usize,
}

/// Why a call was refused.
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

/// Routes of the callers' interface of jobs.
pub fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/jobs", post(submit))
        .route("/jobs/cancel", post(cancel_many))
        .route("/jobs/{id}", get(status).delete(cancel_one))
        .route("/jobs/{id}/result", get(result))
        .with_state(shared)
}

async fn submit(
    State(shared): Node,
    headers: HeaderMap,
    Json(new): Json<NewJob>,
) -> Result<(StatusCode, Json<JobView>), JobError> {
    if shared.is_stopping() || !shared.may_admit(Instant::now()) {
        return Err(JobError::unavailable("this node may not take work now"));
    }
    if new.body.len() > BODY_MAX_BYTES {
        return Err(JobError::new(StatusCode::PAYLOAD_TOO_LARGE, "the job's body is too large"));
    }
    let stored = admit(&shared.config(), &new, &headers)?;
    let job = stored.job().id.clone();
    let absent = |key: String| Precondition::Absent { key };
    let preconditions = vec![absent(rows::live_key(&job)), absent(rows::done_key(&job))];
    let writes = vec![
        Write::put_json(rows::live_key(&job), &stored),
        Write::put_json(rows::new_key(&job), &stored),
    ];
    let table = &*shared.platform.table;
    match shared.committer.commit(table, preconditions, writes, SETTLE_TIMEOUT).await {
        Settled::Committed => {
            shared.telemetry.count("job.submitted");
            Ok((StatusCode::ACCEPTED, Json(view(&stored))))
        }
        // The same idempotency key came before.
        Settled::Conflict { .. } => {
            let stored = find(&shared, &job).await?;
            Ok((StatusCode::ACCEPTED, Json(view(&stored))))
        }
        Settled::Refused { reason } => Err(JobError::unavailable(reason)),
        Settled::Unknown { .. } => {
            let detail = format!("the job may have been taken: ask for it as {job}");
            let outcome = Outcome::Unknown;
            Err(JobError { status: StatusCode::GATEWAY_TIMEOUT, detail, outcome })
        }
    }
}

/// Checks the key, the right and the size of a new job, and chooses its pool.
fn admit(config: &Config, new: &NewJob, headers: &HeaderMap) -> Result<StoredJob, JobError> {
    let admitted = routing::admit(config, &new.queue, bearer(headers)).map_err(|denied| {
        let status = match denied {
            AdmissionError::NoQueue => StatusCode::NOT_FOUND,
            AdmissionError::NoKey | AdmissionError::BadKey => StatusCode::UNAUTHORIZED,
            AdmissionError::NoPermission => StatusCode::FORBIDDEN,
        };
        JobError::new(status, denied)
    })?;
    let not_runnable = |reason| JobError::new(StatusCode::UNPROCESSABLE_ENTITY, reason);
    let no_queue = || JobError::new(StatusCode::NOT_FOUND, AdmissionError::NoQueue);
    let (contract, queue) = config.queue(&new.queue).ok_or_else(no_queue)?;
    let no_team = || JobError::new(StatusCode::FORBIDDEN, AdmissionError::NoPermission);
    let team = contract.team(&admitted.team.team).ok_or_else(no_team)?;
    check_team(queue, team).map_err(not_runnable)?;
    let mut job = Job {
        id: JobId::from(""),
        team: admitted.team,
        kind: new.kind.as_str().into(),
        declared: new.size,
        class: new.class,
        idempotent: new.is_idempotent,
        attempts_max: new.attempts_max.unwrap_or(ATTEMPTS_DEFAULT).clamp(1, ATTEMPTS_MAX),
    };
    let capacities = capacities(config);
    let pool = choose_pool(contract, queue, &job, &capacities).map_err(not_runnable)?;
    job.id = rows::job_id(&pool, &id_suffix(headers, &job.team));
    let task = AnyTask::Waiting(Task::new(job, team.share_weight));
    Ok(StoredJob { queue: queue.name.clone(), body: new.body.clone(), task })
}

/// Random, or the same for each repeat with the same idempotency key.
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
    State(shared): Node,
    headers: HeaderMap,
    Path(id): Path<String>,
) -> Result<Json<JobView>, JobError> {
    let stored = find_own(&shared, &headers, &id).await?;
    Ok(Json(view(&stored)))
}

async fn result(
    State(shared): Node,
    headers: HeaderMap,
    Path(id): Path<String>,
) -> Result<Bytes, JobError> {
    let stored = find_own(&shared, &headers, &id).await?;
    if !matches!(stored.task, AnyTask::Ended(_)) {
        return Err(JobError::new(StatusCode::CONFLICT, "the job has not ended"));
    }
    let found = shared.platform.objects.get(&rows::result_name(&id)).await;
    let found = found.map_err(JobError::unavailable)?;
    found.ok_or_else(|| JobError::new(StatusCode::NOT_FOUND, "the job gave nothing back"))
}

async fn cancel_one(
    State(shared): Node,
    headers: HeaderMap,
    Path(id): Path<String>,
) -> Result<Json<CancelAccepted>, JobError> {
    find_own(&shared, &headers, &id).await?;
    write_cancellations(&shared, &[id]).await
}

async fn cancel_many(
    State(shared): Node,
    headers: HeaderMap,
    Json(cancel): Json<CancelJobs>,
) -> Result<Json<CancelAccepted>, JobError> {
    let team = team_of(&shared.config(), &headers)?;
    if cancel.ids.len() > CANCEL_MAX {
        let detail = format!("at most {CANCEL_MAX} jobs can be cancelled in one call");
        return Err(JobError::new(StatusCode::PAYLOAD_TOO_LARGE, detail));
    }
    let mut own = Vec::with_capacity(cancel.ids.len());
    for id in cancel.ids {
        match find(&shared, &id).await {
            Ok(stored) if stored.job().team == team => own.push(id),
            Ok(_) => {}
            Err(error) if error.status == StatusCode::NOT_FOUND => {}
            Err(error) => return Err(error),
        }
    }
    write_cancellations(&shared, &own).await
}

/// Puts cancellations into the inboxes, many in one transaction.
async fn write_cancellations(
    shared: &Shared,
    ids: &[String],
) -> Result<Json<CancelAccepted>, JobError> {
    let table = &*shared.platform.table;
    for group in ids.chunks(CANCEL_GROUP_MAX) {
        let writes = group.iter().map(|id| Write::put(rows::cancel_key(id), "[]")).collect();
        match shared.committer.commit(table, Vec::new(), writes, SETTLE_TIMEOUT).await {
            Settled::Committed => {}
            // A cancellation that is repeated changes nothing.
            _ => return Err(JobError::unavailable("not all jobs were cancelled; ask again")),
        }
    }
    shared.telemetry.count_many("job.cancel_asked", ids.len() as u64);
    Ok(Json(CancelAccepted { accepted: ids.len() }))
}

async fn find_own(shared: &Shared, headers: &HeaderMap, id: &str) -> Result<StoredJob, JobError> {
    let team = team_of(&shared.config(), headers)?;
    let stored = find(shared, id).await?;
    if stored.job().team != team {
        return Err(no_job());
    }
    Ok(stored)
}

/// Reads a job that is live or over; it goes from the first to the second in one transaction, and
/// never back.
async fn find(shared: &Shared, id: &str) -> Result<StoredJob, JobError> {
    if rows::pool_of(id).is_none() {
        return Err(no_job());
    }
    for key in [rows::live_key(id), rows::done_key(id)] {
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
    let denied = |denied| JobError::new(StatusCode::UNAUTHORIZED, denied);
    let secret = bearer(headers).ok_or_else(|| denied(AdmissionError::NoKey))?;
    let key = config.granted_key(secret).ok_or_else(|| denied(AdmissionError::BadKey))?;
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

fn view(stored: &StoredJob) -> JobView {
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
