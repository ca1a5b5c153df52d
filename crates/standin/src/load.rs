//! Load generator that checks every response against the runs at the backend servers.
//!
//! Each request has a unique job id, which is also its body: a response to another request is
//! detected, and the backend servers count the runs of each job. Callers never repeat a request,
//! except one with an idempotency key, which is sent to two nodes, one after the other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use model::Contract;
use model::contract::Access;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::backend::BackendStats;
use crate::caller::Response;
use crate::caller::call;

/// Time between two rounds of readiness checks.
const READY_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a caller stops waiting for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// One in this many requests has an idempotency key and is sent twice.
const IDEMPOTENT_EVERY: u64 = 20;

/// API key of a team.
#[derive(Clone, Debug)]
pub struct TeamKey {
    /// Customer of the team.
    pub customer: String,
    /// Name of the team.
    pub team: String,
    /// Secret that is sent as bearer token.
    pub secret: String,
}

/// Size and targets of a load.
pub struct LoadPlan {
    /// Caller addresses of the nodes.
    pub nodes: Vec<SocketAddr>,
    /// Contracts whose queues receive the requests.
    pub contracts: Vec<Contract>,
    /// Keys that the requests are sent with; drawn at random.
    pub keys: Vec<TeamKey>,
    /// Number of requests, repeats not included.
    pub requests: u64,
    /// Time over which the requests are started, evenly spaced.
    pub duration: Duration,
    /// Longest time that a request runs at a backend server, in milliseconds.
    pub work_max_ms: u64,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Counts of the responses, and of those that contradict the runs at the backend servers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Requests that were sent, including repeats.
    pub sent: u64,
    /// Responses with outcome `complete`: the whole response of a backend server.
    pub complete: u64,
    /// Responses with outcome `not-run`: the request has not run.
    pub not_run: u64,
    /// Responses with any other outcome: the request may have run.
    pub unknown: u64,
    /// Requests without a response: no node was ready, the connection failed, or the request timed
    /// out.
    #[serde(rename = "no_answer")]
    pub no_response: u64,
    /// Responses with the body of another request.
    pub wrong: u64,
    /// Jobs that ran more than once.
    pub doubled: u64,
    /// Jobs that ran although every response had the outcome `not-run`.
    pub false_not_run: u64,
    /// Jobs with outcome `complete` that never ran.
    pub false_complete: u64,
    /// Number of responses by status code, sorted by status code.
    pub statuses: Vec<(u16, u64)>,
}

impl LoadReport {
    /// Returns whether no response was wrong, no job ran twice, every outcome was true, and every
    /// request was counted once.
    pub fn is_consistent(&self) -> bool {
        self.wrong == 0
            && self.doubled == 0
            && self.false_not_run == 0
            && self.false_complete == 0
            && self.sent == self.complete + self.not_run + self.unknown + self.no_response
    }
}

/// Outcomes of the responses to one job; `None` for a request without a response.
#[derive(Clone, Debug)]
struct Job {
    id: String,
    outcomes: Vec<Option<String>>,
}

#[derive(Default)]
struct Results {
    report: LoadReport,
    jobs: Vec<Job>,
}

/// Sends all requests of `plan` and checks the responses against the runs at the backend servers.
pub async fn run_load(plan: LoadPlan) -> LoadReport {
    let plan = Arc::new(plan);
    let (ready, ready_nodes) = watch::channel(plan.nodes.clone());
    let balancer = tokio::spawn(poll_readiness(plan.clone(), ready));
    let results = Arc::new(Mutex::new(Results::default()));
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let pause = plan.duration.div_f64(plan.requests.max(1) as f64);
    let start = tokio::time::Instant::now();
    let mut tasks = JoinSet::new();
    for number in 0..plan.requests {
        tokio::time::sleep_until(start + pause.mul_f64(number as f64)).await;
        let Some(request) = draw_request(&plan, number, &mut rng) else {
            continue;
        };
        tasks.spawn(send_request(request, ready_nodes.clone(), results.clone()));
    }
    while tasks.join_next().await.is_some() {}
    balancer.abort();
    let results = std::mem::take(&mut *results.lock().expect("lock is never poisoned"));
    let stats = fetch_all_stats(&plan.contracts).await;
    verify(results, &stats)
}

/// Fetches the statistics of the contracts' backend servers, without those that do not respond.
pub async fn fetch_all_stats(contracts: &[Contract]) -> Vec<BackendStats> {
    let mut all = Vec::new();
    for host in contracts.iter().flat_map(|contract| &contract.hosts) {
        if let Some(stats) = fetch_stats(host.address).await {
            all.push(stats);
        }
    }
    all
}

/// Fetches the statistics of one backend server; `None` if it does not respond.
pub async fn fetch_stats(address: SocketAddr) -> Option<BackendStats> {
    let response = call(address, Method::GET, "/standin/seen", &[], "").await.ok()?;
    serde_json::from_slice(&response.body).ok()
}

struct Request {
    job: String,
    path: String,
    secret: Option<String>,
    idempotency_key: Option<String>,
    work_ms: u64,
}

fn draw_request(plan: &LoadPlan, number: u64, rng: &mut SmallRng) -> Option<Request> {
    let key = &plan.keys[rng.random_range(0..plan.keys.len())];
    let contract = plan.contracts.iter().find(|c| *c.customer == *key.customer)?;
    let queues: Vec<_> = contract.queues.iter().filter(|queue| queue.allows(&key.team)).collect();
    let queue = queues[rng.random_range(0..queues.len())];
    let is_open = queue.access == Access::Open;
    let job = format!("job-{}-{number}", plan.seed);
    Some(Request {
        path: format!("/q/{}/work/{number}", queue.name),
        secret: (!is_open).then(|| key.secret.clone()),
        idempotency_key: number.is_multiple_of(IDEMPOTENT_EVERY).then(|| job.clone()),
        work_ms: rng.random_range(0..=plan.work_max_ms),
        job,
    })
}

async fn send_request(
    request: Request,
    ready: watch::Receiver<Vec<SocketAddr>>,
    results: Arc<Mutex<Results>>,
) {
    let mut responses = vec![send_once(&request, 0, &ready).await];
    if request.idempotency_key.is_some() {
        responses.push(send_once(&request, 1, &ready).await);
    }
    let mut results = results.lock().expect("lock is never poisoned");
    let mut job = Job { id: request.job.clone(), outcomes: Vec::new() };
    for response in responses {
        results.report.record_response(&request, response.as_ref());
        job.outcomes.push(response.map(|response| response.outcome().to_owned()));
    }
    results.jobs.push(job);
}

/// Sends the request to a ready node that its job id selects. Attempt 1 uses the next ready node, so
/// that a repeat reaches another node if at least two are ready.
async fn send_once(
    request: &Request,
    attempt: usize,
    ready: &watch::Receiver<Vec<SocketAddr>>,
) -> Option<Response> {
    let nodes = ready.borrow().clone();
    if nodes.is_empty() {
        return None;
    }
    let hash = request.job.bytes().map(usize::from).sum::<usize>();
    let node = nodes[(hash + attempt) % nodes.len()];
    let authorization = request.secret.as_ref().map(|secret| format!("Bearer {secret}"));
    let work_ms = request.work_ms.to_string();
    let mut headers = vec![("standin-job", &*request.job), ("standin-delay-ms", &*work_ms)];
    if let Some(authorization) = &authorization {
        headers.push(("authorization", authorization));
    }
    if let Some(key) = &request.idempotency_key {
        headers.push(("idempotency-key", key));
    }
    let body = request.job.clone();
    let response = call(node, Method::POST, &request.path, &headers, body);
    tokio::time::timeout(RESPONSE_TIMEOUT, response).await.ok()?.ok()
}

impl LoadReport {
    fn record_response(&mut self, request: &Request, response: Option<&Response>) {
        self.sent += 1;
        let Some(response) = response else {
            self.no_response += 1;
            return;
        };
        self.record_status(response.status);
        match response.outcome() {
            "complete" => {
                self.complete += 1;
                if response.body != request.job {
                    self.wrong += 1;
                }
            }
            "not-run" => self.not_run += 1,
            _ => self.unknown += 1,
        }
    }

    fn record_status(&mut self, status: StatusCode) {
        let status = status.as_u16();
        match self.statuses.binary_search_by_key(&status, |(other, _)| *other) {
            Ok(index) => self.statuses[index].1 += 1,
            Err(index) => self.statuses.insert(index, (status, 1)),
        }
    }
}

/// Compares the outcomes that callers received with the runs at the backend servers.
fn verify(results: Results, stats: &[BackendStats]) -> LoadReport {
    let mut runs: Vec<(&str, u32)> = stats
        .iter()
        .flat_map(|stats| &stats.runs)
        .map(|runs| (runs.job.as_str(), runs.count))
        .collect();
    runs.sort_unstable();
    let mut report = results.report;
    for job in &results.jobs {
        let first = runs.partition_point(|(other, _)| *other < job.id.as_str());
        let job_runs = runs[first..].iter().take_while(|(other, _)| *other == job.id);
        let count: u32 = job_runs.map(|(_, count)| count).sum();
        let has_outcome =
            |outcome: &str| job.outcomes.iter().flatten().any(|other| other == outcome);
        let is_reported_not_run =
            job.outcomes.iter().all(|outcome| outcome.as_deref() == Some("not-run"));
        report.doubled += u64::from(count > 1);
        report.false_not_run += u64::from(is_reported_not_run && count > 0);
        report.false_complete += u64::from(has_outcome("complete") && count == 0);
    }
    report
}

/// Acts as a load balancer: keeps the list of the nodes whose readiness check succeeds.
async fn poll_readiness(plan: Arc<LoadPlan>, ready: watch::Sender<Vec<SocketAddr>>) {
    loop {
        let mut nodes = Vec::new();
        for node in &plan.nodes {
            let response = call(*node, Method::GET, "/readyz", &[], "").await;
            if response.is_ok_and(|response| response.status == StatusCode::OK) {
                nodes.push(*node);
            }
        }
        if ready.send(nodes).is_err() {
            return;
        }
        tokio::time::sleep(READY_INTERVAL).await;
    }
}
