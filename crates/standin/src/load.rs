//! A bounded load of callers that checks every answer, and the runs behind it.
//!
//! Each request carries a job id and a body of its own, so that an answer to another request is
//! seen, and the backend servers count the runs of each job. Callers never repeat a request, except
//! those with an idempotency key, which are sent twice to two nodes.

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

/// Time between readiness checks of a node.
const READY_INTERVAL: Duration = Duration::from_millis(200);
/// Time that an answer may take before the caller gives up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// One in this many requests carries an idempotency key and is sent twice.
const IDEMPOTENT_EVERY: u64 = 20;

/// A key of a team.
#[derive(Clone, Debug)]
pub struct TeamKey {
    /// Customer.
    pub customer: String,
    /// Team.
    pub team: String,
    /// Secret text.
    pub secret: String,
}

/// What to send.
pub struct Plan {
    /// Caller addresses of the nodes.
    pub nodes: Vec<SocketAddr>,
    /// Contracts whose queues are used.
    pub contracts: Vec<Contract>,
    /// Keys to send with.
    pub keys: Vec<TeamKey>,
    /// Requests.
    pub requests: u64,
    /// Time over which they start.
    pub duration: Duration,
    /// Longest work of a request, in milliseconds.
    pub work_max_ms: u64,
    /// Seed of all choices.
    pub seed: u64,
}

/// What came back.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Requests sent, repeats included.
    pub sent: u64,
    /// Whole answers of a backend server.
    pub complete: u64,
    /// Answers that say that nothing has run.
    pub not_run: u64,
    /// Answers that say that something may have run.
    pub unknown: u64,
    /// Connections refused or cut without an answer.
    pub no_answer: u64,
    /// Answers to another request.
    pub wrong: u64,
    /// Jobs that ran more than once.
    pub doubled: u64,
    /// Jobs that ran although every answer said that nothing has run.
    pub false_not_run: u64,
    /// Complete jobs that never ran.
    pub false_complete: u64,
    /// Statuses and how often they came, sorted by status.
    pub statuses: Vec<(u16, u64)>,
}

impl Report {
    /// True if no answer was wrong and no outcome untrue.
    pub fn holds(&self) -> bool {
        self.wrong == 0
            && self.doubled == 0
            && self.false_not_run == 0
            && self.false_complete == 0
            && self.sent == self.complete + self.not_run + self.unknown + self.no_answer
    }
}

/// Outcomes of the answers to one job.
#[derive(Clone, Debug)]
struct Job {
    id: String,
    outcomes: Vec<Option<String>>,
}

#[derive(Default)]
struct Tally {
    report: Report,
    jobs: Vec<Job>,
}

/// Sends the whole plan and checks it against the runs at the backend servers.
pub async fn run(plan: Plan) -> Report {
    let plan = Arc::new(plan);
    let (ready, watched) = watch::channel(plan.nodes.clone());
    let balancer = tokio::spawn(watch_ready(plan.clone(), ready));
    let tally = Arc::new(Mutex::new(Tally::default()));
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let pause = plan.duration.div_f64(plan.requests.max(1) as f64);
    let start = tokio::time::Instant::now();
    let mut tasks = JoinSet::new();
    for number in 0..plan.requests {
        tokio::time::sleep_until(start + pause.mul_f64(number as f64)).await;
        let Some(request) = choose(&plan, number, &mut rng) else {
            continue;
        };
        tasks.spawn(send(request, watched.clone(), tally.clone()));
    }
    while tasks.join_next().await.is_some() {}
    balancer.abort();
    let tally = std::mem::take(&mut *tally.lock().expect("no holder panics"));
    let seen = runs_of(&plan.contracts).await;
    check(tally, &seen)
}

/// All that the contracts' backend servers have seen; those that do not answer are left out.
pub async fn runs_of(contracts: &[Contract]) -> Vec<BackendStats> {
    let mut all = Vec::new();
    for host in contracts.iter().flat_map(|contract| &contract.hosts) {
        if let Some(seen) = seen_at(host.address).await {
            all.push(seen);
        }
    }
    all
}

/// What one backend server has seen.
pub async fn seen_at(address: SocketAddr) -> Option<BackendStats> {
    let answer = call(address, Method::GET, "/standin/seen", &[], "").await.ok()?;
    serde_json::from_slice(&answer.body).ok()
}

struct Request {
    job: String,
    path: String,
    secret: Option<String>,
    idempotency_key: Option<String>,
    work_ms: u64,
}

fn choose(plan: &Plan, number: u64, rng: &mut SmallRng) -> Option<Request> {
    let key = &plan.keys[rng.random_range(0..plan.keys.len())];
    let contract = plan.contracts.iter().find(|c| *c.customer == *key.customer)?;
    let queues: Vec<_> = contract.queues.iter().filter(|queue| queue.allows(&key.team)).collect();
    let queue = queues[rng.random_range(0..queues.len())];
    let open = queue.access == Access::Open;
    let job = format!("job-{}-{number}", plan.seed);
    Some(Request {
        path: format!("/q/{}/work/{number}", queue.name),
        secret: (!open).then(|| key.secret.clone()),
        idempotency_key: number.is_multiple_of(IDEMPOTENT_EVERY).then(|| job.clone()),
        work_ms: rng.random_range(0..=plan.work_max_ms),
        job,
    })
}

async fn send(request: Request, ready: watch::Receiver<Vec<SocketAddr>>, tally: Arc<Mutex<Tally>>) {
    let mut answers = vec![send_once(&request, 0, &ready).await];
    if request.idempotency_key.is_some() {
        answers.push(send_once(&request, 1, &ready).await);
    }
    let mut tally = tally.lock().expect("no holder panics");
    let mut job = Job { id: request.job.clone(), outcomes: Vec::new() };
    for answer in answers {
        tally.report.count(&request, answer.as_ref());
        job.outcomes.push(answer.map(|answer| answer.outcome().to_owned()));
    }
    tally.jobs.push(job);
}

async fn send_once(
    request: &Request,
    turn: usize,
    ready: &watch::Receiver<Vec<SocketAddr>>,
) -> Option<Response> {
    let nodes = ready.borrow().clone();
    if nodes.is_empty() {
        return None;
    }
    let spread = request.job.bytes().map(usize::from).sum::<usize>();
    let node = nodes[(spread + turn) % nodes.len()];
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
    let answer = call(node, Method::POST, &request.path, &headers, body);
    tokio::time::timeout(ANSWER_TIMEOUT, answer).await.ok()?.ok()
}

impl Report {
    fn count(&mut self, request: &Request, answer: Option<&Response>) {
        self.sent += 1;
        let Some(answer) = answer else {
            self.no_answer += 1;
            return;
        };
        self.count_status(answer.status);
        match answer.outcome() {
            "complete" => {
                self.complete += 1;
                if answer.body != request.job {
                    self.wrong += 1;
                }
            }
            "not-run" => self.not_run += 1,
            _ => self.unknown += 1,
        }
    }

    fn count_status(&mut self, status: StatusCode) {
        let status = status.as_u16();
        match self.statuses.binary_search_by_key(&status, |(other, _)| *other) {
            Ok(index) => self.statuses[index].1 += 1,
            Err(index) => self.statuses.insert(index, (status, 1)),
        }
    }
}

/// Compares what callers were told with what the backend servers ran.
fn check(tally: Tally, seen: &[BackendStats]) -> Report {
    let mut runs: Vec<(&str, u32)> = seen
        .iter()
        .flat_map(|seen| &seen.runs)
        .map(|runs| (runs.job.as_str(), runs.count))
        .collect();
    runs.sort_unstable();
    let mut report = tally.report;
    for job in &tally.jobs {
        let first = runs.partition_point(|(other, _)| *other < job.id.as_str());
        let of_job = runs[first..].iter().take_while(|(other, _)| *other == job.id);
        let count: u32 = of_job.map(|(_, count)| count).sum();
        let told = |outcome: &str| job.outcomes.iter().flatten().any(|told| told == outcome);
        let all_not_run = job.outcomes.iter().all(|told| told.as_deref() == Some("not-run"));
        report.doubled += u64::from(count > 1);
        report.false_not_run += u64::from(all_not_run && count > 0);
        report.false_complete += u64::from(told("complete") && count == 0);
    }
    report
}

/// Does what a balancer does: sends to the nodes that say that they are ready.
async fn watch_ready(plan: Arc<Plan>, ready: watch::Sender<Vec<SocketAddr>>) {
    loop {
        let mut nodes = Vec::new();
        for node in &plan.nodes {
            let answer = call(*node, Method::GET, "/readyz", &[], "").await;
            if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
                nodes.push(*node);
            }
        }
        if ready.send(nodes).is_err() {
            return;
        }
        tokio::time::sleep(READY_INTERVAL).await;
    }
}
