//! Jobs end to end: submitted through a node, run by stand-in workers, stored in the table.

mod common {
    pub mod cell;
}

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use node::Node;
use node::Platform;
use node::api;
use node::jobs::CancelAccepted;
use node::jobs::CancelJobs;
use node::jobs::JobView;
use node::jobs::NewJob;
use node::workers::HttpWorkers;
use node::workers::Workers;
use placement::Class;
use placement::Size;
use placement::protocol::StartCommand;
use placement::protocol::WorkerReply as WorkerAnswer;
use serde::Serialize;
use serde::de::DeserializeOwned;
use standin::caller::Answer;
use standin::caller::call;
use standin::worker::StandinWorker;

use crate::common::cell::Plan;
use crate::common::cell::QUEUE;
use crate::common::cell::admin;
use crate::common::cell::contract;
use crate::common::cell::grant;
use crate::common::cell::settings;

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const PATIENCE: Duration = Duration::from_secs(40);

/// A node, its workers and a key.
struct Cell {
    node: Node,
    platform: Platform,
    workers: Vec<Arc<StandinWorker>>,
    addresses: Vec<SocketAddr>,
    secret: String,
    plan: Plan,
}

impl Cell {
    async fn start(workers_count: usize, running_max: u32) -> Self {
        let mut workers = Vec::new();
        let mut addresses = Vec::new();
        for _ in 0..workers_count {
            let worker = Arc::new(StandinWorker::default());
            addresses.push(standin::worker::serve(worker.clone(), ANY_PORT).await.unwrap().0);
            workers.push(worker);
        }
        let plan = Plan { running_max, ..Plan::default() };
        let platform = Platform::embedded();
        let node = Node::start(settings(&plan, 0), platform.clone()).await.unwrap();
        let apply = api::ApplyContract {
            source: "levy.toml".to_owned(),
            text: contract(&plan, &addresses),
            seen_version: None,
        };
        let _: api::Accepted = admin(&node, Method::POST, "/contracts", &apply).await;
        let secret = grant(&node, "officers").await.secret;
        Self { node, platform, workers, addresses, secret, plan }
    }

    /// Ends the node without notice to anybody, and starts its next run.
    async fn restart(self) -> Self {
        let Self { node, platform, workers, addresses, secret, plan } = self;
        node.stop(Duration::ZERO, Duration::ZERO).await;
        let node = Node::start(settings(&plan, 0), platform.clone()).await.unwrap();
        Self { node, platform, workers, addresses, secret, plan }
    }

    async fn call(&self, method: Method, path: &str, body: &impl Serialize) -> Answer {
        let authorization = format!("Bearer {}", self.secret);
        let headers = [("authorization", &*authorization), ("content-type", "application/json")];
        let body = serde_json::to_vec(body).unwrap();
        call(self.node.caller_address, method, path, &headers, body).await.unwrap()
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> T {
        let answer = self.call(method, path, body).await;
        assert!(answer.status.is_success(), "{} {:?}", answer.status, answer.body);
        serde_json::from_slice(&answer.body).unwrap()
    }

    async fn submit(&self, new: &NewJob) -> String {
        self.ask::<JobView>(Method::POST, "/jobs", new).await.id
    }

    async fn view(&self, id: &str) -> JobView {
        self.ask(Method::GET, &format!("/jobs/{id}"), &()).await
    }

    async fn reaches(&self, id: &str, state: &str) -> JobView {
        let reached = async {
            loop {
                let view = self.view(id).await;
                if view.state == state {
                    return view;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let waited = tokio::time::timeout(PATIENCE, reached).await;
        waited.unwrap_or_else(|_| panic!("{id} does not reach {state}"))
    }

    fn starts_of(&self, id: &str) -> usize {
        let started = self.workers.iter().flat_map(|worker| worker.started());
        started.filter(|task| task.rsplit_once('.').is_some_and(|(job, _)| job == id)).count()
    }
}

fn job(body: &str) -> NewJob {
    NewJob {
        queue: QUEUE.to_owned(),
        kind: "emissions".to_owned(),
        size: Size::of_cores(1, 1_024, 0),
        class: Class::Normal,
        idempotent: false,
        attempts_max: None,
        body: body.to_owned(),
    }
}

#[tokio::test]
async fn job_runs_once_and_gives_its_result_back() {
    let cell = Cell::start(2, 8).await;
    let id = cell.submit(&job("run-ms=50")).await;
    let view = cell.reaches(&id, "succeeded").await;
    assert_eq!(view.attempts, 1);
    let result = cell.call(Method::GET, &format!("/jobs/{id}/result"), &()).await;
    assert_eq!(result.body, "run-ms=50");
    assert_eq!(cell.starts_of(&id), 1);
}

#[tokio::test]
async fn failing_job_is_tried_again_within_its_attempts_if_it_is_idempotent() {
    let cell = Cell::start(3, 8).await;
    let once = cell.submit(&job("fail")).await;
    let again = cell.submit(&NewJob { idempotent: true, ..job("fail") }).await;
    assert_eq!(cell.reaches(&once, "failed").await.attempts, 1);
    assert_eq!(cell.reaches(&again, "failed").await.attempts, 3);
    assert_eq!((cell.starts_of(&once), cell.starts_of(&again)), (1, 3));
}

#[tokio::test]
async fn job_that_can_never_run_is_refused_at_once() {
    let cell = Cell::start(1, 8).await;
    let large = NewJob { size: Size::of_cores(17, 1_024, 0), ..job("") };
    let answer = cell.call(Method::POST, "/jobs", &large).await;
    assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(answer.outcome(), "not-run");
    assert!(String::from_utf8_lossy(&answer.body).contains("no worker of pool"));
    let nowhere = NewJob { queue: "nowhere".to_owned(), ..job("") };
    let answer = cell.call(Method::POST, "/jobs", &nowhere).await;
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn most_of_a_queue_is_cancelled_and_the_rest_runs_within_the_limit() {
    let cell = Cell::start(1, 4).await;
    let mut ids = Vec::new();
    for _ in 0..40 {
        ids.push(cell.submit(&job("run-ms=300")).await);
    }
    let cancel = CancelJobs { ids: ids[4..].to_vec() };
    let cancelling: CancelAccepted = cell.ask(Method::POST, "/jobs/cancel", &cancel).await;
    assert_eq!(cancelling.accepted, 36);
    for id in &ids[..4] {
        cell.reaches(id, "succeeded").await;
    }
    let mut cancelled = 0;
    for id in &ids[4..] {
        let ended = tokio::time::timeout(PATIENCE, async {
            loop {
                let state = cell.view(id).await.state;
                if state == "succeeded" || state == "cancelled" {
                    return state;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
        cancelled += usize::from(ended.await.unwrap() == "cancelled");
    }
    assert!(cancelled >= 30, "{cancelled} jobs were cancelled");
    assert!(cell.workers[0].running_peak() <= 4, "the team's upper limit is 4");
}

#[tokio::test]
async fn lost_answer_of_a_start_does_not_run_a_job_twice() {
    let cell = Cell::start(1, 8).await;
    cell.workers[0].lose_answers(1);
    let id = cell.submit(&job("run-ms=1500")).await;
    cell.reaches(&id, "succeeded").await;
    assert_eq!(cell.starts_of(&id), 1);
}

#[tokio::test]
async fn start_that_is_lost_on_its_way_is_sent_again() {
    let cell = Cell::start(1, 8).await;
    cell.workers[0].lose_starts(1);
    let id = cell.submit(&job("")).await;
    assert_eq!(cell.reaches(&id, "succeeded").await.attempts, 1);
    assert_eq!(cell.starts_of(&id), 1);
}

#[tokio::test]
async fn late_start_of_an_earlier_holder_is_refused() {
    let cell = Cell::start(1, 8).await;
    let first = cell.submit(&job("")).await;
    cell.reaches(&first, "succeeded").await;
    let cell = cell.restart().await;
    let second = cell.submit(&job("")).await;
    cell.reaches(&second, "succeeded").await;
    let late = StartCommand {
        pool: "levy-validate".into(),
        epoch: 1,
        task: "levy-validate:late.1".to_owned(),
        size: Size::default(),
        body: String::new(),
        lease_ms: 10_000,
    };
    let answer = HttpWorkers.start(cell.addresses[0], &late).await.unwrap();
    assert!(matches!(answer, WorkerAnswer::Superseded), "{answer:?}");
    assert_eq!(cell.starts_of("levy-validate:late"), 0);
}

#[tokio::test]
async fn worker_that_reboots_between_two_holders_has_lost_its_tasks() {
    let cell = Cell::start(1, 8).await;
    let id = cell.submit(&job("run-ms=60000")).await;
    cell.reaches(&id, "leased").await;
    cell.workers[0].reboot();
    let cell = cell.restart().await;
    cell.reaches(&id, "unknown").await;
    assert_eq!(cell.starts_of(&id), 1);
}

#[tokio::test]
async fn next_holder_takes_over_what_runs() {
    let cell = Cell::start(1, 8).await;
    let id = cell.submit(&job("run-ms=3000")).await;
    cell.reaches(&id, "leased").await;
    let waiting = cell.submit(&NewJob { size: Size::of_cores(16, 1_024, 0), ..job("") }).await;
    let cell = cell.restart().await;
    assert_eq!(cell.reaches(&id, "succeeded").await.attempts, 1);
    assert_eq!(cell.reaches(&waiting, "succeeded").await.attempts, 1);
    assert_eq!((cell.starts_of(&id), cell.starts_of(&waiting)), (1, 1));
}

#[tokio::test]
async fn holder_that_ends_between_lease_and_start_leaves_a_job_that_runs_once() {
    let cell = Cell::start(1, 8).await;
    // The worker is heard, then refuses every call.
    let first = cell.submit(&job("")).await;
    cell.reaches(&first, "succeeded").await;
    cell.workers[0].set_silent(true);
    let id = cell.submit(&job("")).await;
    cell.reaches(&id, "leased").await;
    assert_eq!(cell.starts_of(&id), 0);
    let cell = cell.restart().await;
    cell.workers[0].set_silent(false);
    cell.reaches(&id, "succeeded").await;
    assert_eq!(cell.starts_of(&id), 1, "{:?}", cell.workers[0].started());
}

#[tokio::test]
async fn lapsed_lease_ends_unknown_or_runs_again_elsewhere() {
    let cell = Cell::start(1, 8).await;
    let once = cell.submit(&job("run-ms=60000")).await;
    let again = cell.submit(&NewJob { idempotent: true, ..job("run-ms=60000") }).await;
    cell.reaches(&once, "leased").await;
    cell.reaches(&again, "leased").await;
    cell.workers[0].set_silent(true);
    cell.reaches(&once, "unknown").await;
    cell.reaches(&again, "waiting").await;
    assert_eq!(cell.starts_of(&once), 1);
}

#[tokio::test]
async fn rebooted_worker_has_forgotten_its_tasks_and_none_runs_twice() {
    let cell = Cell::start(1, 8).await;
    let id = cell.submit(&job("run-ms=60000")).await;
    cell.reaches(&id, "leased").await;
    cell.workers[0].reboot();
    cell.reaches(&id, "unknown").await;
    assert_eq!(cell.starts_of(&id), 1);
}
