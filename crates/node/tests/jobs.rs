//! End-to-end tests of jobs that are submitted through a node, run by stand-in workers and stored
//! in the table.

mod common {
    pub mod cluster;
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
use placement::protocol::WorkerReply;
use serde::Serialize;
use serde::de::DeserializeOwned;
use standin::caller::Response;
use standin::caller::call;
use standin::worker::StandinWorker;

use crate::common::cluster::ClusterOptions;
use crate::common::cluster::QUEUE;
use crate::common::cluster::admin;
use crate::common::cluster::contract;
use crate::common::cluster::grant;
use crate::common::cluster::settings;

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const TEST_TIMEOUT: Duration = Duration::from_secs(40);

/// A node, its stand-in workers and the key of a team.
struct TestCluster {
    node: Node,
    platform: Platform,
    workers: Vec<Arc<StandinWorker>>,
    addresses: Vec<SocketAddr>,
    secret: String,
    options: ClusterOptions,
}

impl TestCluster {
    async fn start(worker_count: usize, running_max: u32) -> Self {
        let mut workers = Vec::new();
        let mut addresses = Vec::new();
        for _ in 0..worker_count {
            let worker = Arc::new(StandinWorker::default());
            addresses.push(standin::worker::serve(worker.clone(), ANY_PORT).await.unwrap().0);
            workers.push(worker);
        }
        let options = ClusterOptions { running_max, ..ClusterOptions::default() };
        let platform = Platform::embedded();
        let node = Node::start(settings(&options, 0), platform.clone()).await.unwrap();
        let apply = api::ApplyContract {
            source: "levy.toml".to_owned(),
            text: contract(&options, &addresses),
            seen_version: None,
        };
        let _: api::Accepted = admin(&node, Method::POST, "/contracts", &apply).await;
        let secret = grant(&node, "officers").await.secret;
        Self { node, platform, workers, addresses, secret, options }
    }

    /// Stops the node without a notice or grace period, and starts its next incarnation.
    async fn restart(self) -> Self {
        let Self { node, platform, workers, addresses, secret, options } = self;
        node.stop(Duration::ZERO, Duration::ZERO).await;
        let node = Node::start(settings(&options, 0), platform.clone()).await.unwrap();
        Self { node, platform, workers, addresses, secret, options }
    }

    async fn call(&self, method: Method, path: &str, body: &impl Serialize) -> Response {
        let authorization = format!("Bearer {}", self.secret);
        let headers = [("authorization", &*authorization), ("content-type", "application/json")];
        let body = serde_json::to_vec(body).unwrap();
        call(self.node.caller_address, method, path, &headers, body).await.unwrap()
    }

    async fn call_ok<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> T {
        let response = self.call(method, path, body).await;
        assert!(response.status.is_success(), "{} {:?}", response.status, response.body);
        serde_json::from_slice(&response.body).unwrap()
    }

    async fn submit(&self, new_job: &NewJob) -> String {
        self.call_ok::<JobView>(Method::POST, "/jobs", new_job).await.id
    }

    async fn view(&self, id: &str) -> JobView {
        self.call_ok(Method::GET, &format!("/jobs/{id}"), &()).await
    }

    async fn wait_for_state(&self, id: &str, state: &str) -> JobView {
        let reached = async {
            loop {
                let view = self.view(id).await;
                if view.state == state {
                    return view;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let waited = tokio::time::timeout(TEST_TIMEOUT, reached).await;
        waited.unwrap_or_else(|_| panic!("{id} does not reach the state {state} in time"))
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
        is_idempotent: false,
        attempts_max: None,
        body: body.to_owned(),
    }
}

#[tokio::test]
async fn job_runs_once_and_its_result_is_stored() {
    let cluster = TestCluster::start(2, 8).await;
    let id = cluster.submit(&job("run-ms=50")).await;
    let view = cluster.wait_for_state(&id, "succeeded").await;
    assert_eq!(view.attempts, 1);
    let result = cluster.call(Method::GET, &format!("/jobs/{id}/result"), &()).await;
    assert_eq!(result.body, "run-ms=50");
    assert_eq!(cluster.starts_of(&id), 1);
}

#[tokio::test]
async fn failing_job_is_retried_up_to_its_attempts_if_it_is_idempotent() {
    let cluster = TestCluster::start(3, 8).await;
    let single_attempt = cluster.submit(&job("fail")).await;
    let retried = cluster.submit(&NewJob { is_idempotent: true, ..job("fail") }).await;
    assert_eq!(cluster.wait_for_state(&single_attempt, "failed").await.attempts, 1);
    assert_eq!(cluster.wait_for_state(&retried, "failed").await.attempts, 3);
    assert_eq!((cluster.starts_of(&single_attempt), cluster.starts_of(&retried)), (1, 3));
}

#[tokio::test]
async fn job_that_can_never_run_is_rejected_at_once() {
    let cluster = TestCluster::start(1, 8).await;
    let large = NewJob { size: Size::of_cores(17, 1_024, 0), ..job("") };
    let response = cluster.call(Method::POST, "/jobs", &large).await;
    assert_eq!(response.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(response.outcome(), "not-run");
    assert!(String::from_utf8_lossy(&response.body).contains("no worker of pool"));
    let unknown_queue = NewJob { queue: "nowhere".to_owned(), ..job("") };
    let response = cluster.call(Method::POST, "/jobs", &unknown_queue).await;
    assert_eq!(response.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn cancelling_most_of_a_queue_leaves_the_rest_to_run_within_the_limit() {
    let cluster = TestCluster::start(1, 4).await;
    let mut ids = Vec::new();
    for _ in 0..40 {
        ids.push(cluster.submit(&job("run-ms=300")).await);
    }
    let cancel = CancelJobs { ids: ids[4..].to_vec() };
    let cancelled_jobs: CancelAccepted =
        cluster.call_ok(Method::POST, "/jobs/cancel", &cancel).await;
    assert_eq!(cancelled_jobs.accepted, 36);
    for id in &ids[..4] {
        cluster.wait_for_state(id, "succeeded").await;
    }
    let mut cancelled = 0;
    for id in &ids[4..] {
        let final_state = tokio::time::timeout(TEST_TIMEOUT, async {
            loop {
                let state = cluster.view(id).await.state;
                if state == "succeeded" || state == "cancelled" {
                    return state;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
        cancelled += usize::from(final_state.await.unwrap() == "cancelled");
    }
    assert!(cancelled >= 30, "{cancelled} jobs were cancelled");
    assert!(cluster.workers[0].running_peak() <= 4, "the team may run at most 4 tasks at a time");
}

#[tokio::test]
async fn lost_reply_to_a_start_does_not_run_a_job_twice() {
    let cluster = TestCluster::start(1, 8).await;
    cluster.workers[0].lose_replies(1);
    let id = cluster.submit(&job("run-ms=1500")).await;
    cluster.wait_for_state(&id, "succeeded").await;
    assert_eq!(cluster.starts_of(&id), 1);
}

#[tokio::test]
async fn lost_start_is_sent_again() {
    let cluster = TestCluster::start(1, 8).await;
    cluster.workers[0].lose_starts(1);
    let id = cluster.submit(&job("")).await;
    assert_eq!(cluster.wait_for_state(&id, "succeeded").await.attempts, 1);
    assert_eq!(cluster.starts_of(&id), 1);
}

#[tokio::test]
async fn late_start_of_an_earlier_holder_is_rejected() {
    let cluster = TestCluster::start(1, 8).await;
    let first = cluster.submit(&job("")).await;
    cluster.wait_for_state(&first, "succeeded").await;
    let cluster = cluster.restart().await;
    let second = cluster.submit(&job("")).await;
    cluster.wait_for_state(&second, "succeeded").await;
    let late = StartCommand {
        pool: "levy-validate".into(),
        epoch: 1,
        task: "levy-validate:late.1".to_owned(),
        size: Size::default(),
        body: String::new(),
        lease_ms: 10_000,
    };
    let reply = HttpWorkers.start(cluster.addresses[0], &late).await.unwrap();
    assert!(matches!(reply, WorkerReply::Superseded), "{reply:?}");
    assert_eq!(cluster.starts_of("levy-validate:late"), 0);
}

#[tokio::test]
async fn tasks_of_a_worker_that_reboots_during_a_takeover_end_as_unknown() {
    let cluster = TestCluster::start(1, 8).await;
    let id = cluster.submit(&job("run-ms=60000")).await;
    cluster.wait_for_state(&id, "leased").await;
    cluster.workers[0].reboot();
    let cluster = cluster.restart().await;
    cluster.wait_for_state(&id, "unknown").await;
    assert_eq!(cluster.starts_of(&id), 1);
}

#[tokio::test]
async fn next_holder_takes_over_running_and_waiting_jobs() {
    let cluster = TestCluster::start(1, 8).await;
    let id = cluster.submit(&job("run-ms=3000")).await;
    cluster.wait_for_state(&id, "leased").await;
    let waiting = cluster.submit(&NewJob { size: Size::of_cores(16, 1_024, 0), ..job("") }).await;
    let cluster = cluster.restart().await;
    assert_eq!(cluster.wait_for_state(&id, "succeeded").await.attempts, 1);
    assert_eq!(cluster.wait_for_state(&waiting, "succeeded").await.attempts, 1);
    assert_eq!((cluster.starts_of(&id), cluster.starts_of(&waiting)), (1, 1));
}

#[tokio::test]
async fn job_runs_once_if_its_holder_ends_between_lease_and_start() {
    let cluster = TestCluster::start(1, 8).await;
    // The first job gives the worker a recent contact, so that it gets the second one although it
    // no longer replies.
    let first = cluster.submit(&job("")).await;
    cluster.wait_for_state(&first, "succeeded").await;
    cluster.workers[0].set_unresponsive(true);
    let id = cluster.submit(&job("")).await;
    cluster.wait_for_state(&id, "leased").await;
    assert_eq!(cluster.starts_of(&id), 0);
    let cluster = cluster.restart().await;
    cluster.workers[0].set_unresponsive(false);
    cluster.wait_for_state(&id, "succeeded").await;
    assert_eq!(cluster.starts_of(&id), 1, "{:?}", cluster.workers[0].started());
}

#[tokio::test]
async fn job_with_an_expired_lease_ends_as_unknown_unless_it_is_idempotent() {
    let cluster = TestCluster::start(1, 8).await;
    let single_attempt = cluster.submit(&job("run-ms=60000")).await;
    let retried = cluster.submit(&NewJob { is_idempotent: true, ..job("run-ms=60000") }).await;
    cluster.wait_for_state(&single_attempt, "leased").await;
    cluster.wait_for_state(&retried, "leased").await;
    cluster.workers[0].set_unresponsive(true);
    cluster.wait_for_state(&single_attempt, "unknown").await;
    cluster.wait_for_state(&retried, "waiting").await;
    assert_eq!(cluster.starts_of(&single_attempt), 1);
}

#[tokio::test]
async fn tasks_of_a_rebooted_worker_end_as_unknown_and_do_not_run_twice() {
    let cluster = TestCluster::start(1, 8).await;
    let id = cluster.submit(&job("run-ms=60000")).await;
    cluster.wait_for_state(&id, "leased").await;
    cluster.workers[0].reboot();
    cluster.wait_for_state(&id, "unknown").await;
    assert_eq!(cluster.starts_of(&id), 1);
}
