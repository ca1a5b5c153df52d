//! Node processes, and two workers of which one starts again under its id and address.
//!
//! The second worker registers only once the first one is cut off, so that each start before goes to
//! the first one. The clock of the first incarnation is ahead, so that its deadlines are far in the
//! future for a later one.

use std::time::Duration;
use std::time::Instant;

use coordinator::http::CallKind;
use coordinator::http::Client;
use coordinator::http::Request;
use http::Method;
use http::StatusCode;
use serde_json::json;

use crate::callers::job_request;
use crate::node::Node;
use crate::node::READY_PORT;
use crate::node::free_ip;
use crate::node::spawn_node;
use crate::platform_setup::build_config;
use crate::platform_setup::register_worker;
use crate::platform_setup::write_settings;
use crate::proxy::Fault;
use crate::proxy::Proxy;
use crate::table::TableFault;
use crate::table::TableStandin;
use crate::workers::CallCounts;
use crate::workers::UNIT_MILLIS;
use crate::workers::WorkerStandins;
use crate::workers::worker_id;

/// The worker that starts again.
pub const RESTARTED: usize = 0;
/// The worker on which units run once the other one is cut off.
pub const OTHER: usize = 1;
/// Time that the clock of the first incarnation is ahead.
const CLOCK_AHEAD: Duration = Duration::from_secs(60);
/// Time for which a machine that has lost power is down.
const POWER_OFF_TIME: Duration = Duration::from_millis(600);
/// Time for which a process is down; shorter than the pause after a failed poll.
const PROCESS_DOWN_TIME: Duration = Duration::from_millis(100);
/// Time within which a reply over loopback arrives.
const REPLY_TIME: Duration = Duration::from_millis(100);
/// Time within which each step of a scenario happens: longer than the validity of an ownership, the
/// longest lease and the time for which calls may be in flight.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How a worker ends before it starts again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Its machine loses power: its connections remain open and silent.
    PowerLoss,
    /// Its process ends: its connections are closed.
    ProcessEnd,
}

pub struct Scenario {
    seed: u64,
    pub table: TableStandin,
    pub workers: WorkerStandins,
    links: Vec<Proxy>,
    nodes: Vec<Node>,
}

impl Scenario {
    /// Starts one node, the owner, and waits until it has polled the worker that is registered.
    /// `seed` is different for each scenario of a process.
    pub async fn start(seed: u64) -> Self {
        let table = TableStandin::default();
        let workers = WorkerStandins::default();
        let mut links = Vec::new();
        for index in [RESTARTED, OTHER] {
            let (id, address, server) = workers.add().await;
            links.push(Proxy::start(address).await);
            table.add_host(
                json!({ "machine": format!("h-{index}"), "pool": "p", "state": "up", "id": id }),
            );
            // The servers run until the test process ends.
            std::mem::forget(server);
        }
        let mut scenario = Self { seed, table, workers, links, nodes: Vec::new() };
        scenario.workers.advance_clock(RESTARTED, CLOCK_AHEAD);
        scenario.register(RESTARTED);
        scenario.add_node().await;
        scenario.wait_for(|calls| calls.polls_answered > 0).await;
        scenario
    }

    /// Starts a node that takes over from the owner if that ends.
    pub async fn add_node(&mut self) {
        let (table_address, server) = self.table.serve().await;
        std::mem::forget(server);
        let (index, ip) = (self.nodes.len(), free_ip());
        let link = Proxy::start(table_address).await;
        let settings = write_settings(self.seed, index, ip, link.address);
        let child = spawn_node(&settings);
        self.nodes.push(Node { ip, settings, link, child });
        self.table.put("op", "config", &build_config(&self.nodes));
        let address = (ip, READY_PORT).into();
        let client = Client::default();
        let deadline = Instant::now() + STEP_TIMEOUT;
        loop {
            let request = Request::new(Method::GET, "/v1/readiness", "", Duration::from_secs(1));
            let response = client.call(address, CallKind::Short, request).await;
            if response.is_ok_and(|response| response.status == StatusCode::OK) {
                return;
            }
            assert!(Instant::now() < deadline, "a node is not ready");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Kills the owner, the first node.
    pub fn kill_owner(&mut self) {
        self.nodes[0].child.kill().unwrap();
    }

    pub fn register(&self, worker: usize) {
        register_worker(&self.table, &self.workers, worker, self.links[worker].address);
    }

    /// Submits a job of one unit to the newest node, and returns once it is accepted.
    pub async fn submit(&self, id: &str, work: Duration) {
        self.workers.expect_job(id, vec![1]);
        let step = json!({ "count": 1, "cpu": UNIT_MILLIS, "memMb": 10, "estimateMs": work.as_millis() as u64 });
        let body = json!({ "spec": work.as_millis().to_string(), "steps": [step] }).to_string();
        let address = self.nodes[0].caller_address();
        let client = Client::default();
        let deadline = Instant::now() + STEP_TIMEOUT;
        loop {
            let request = job_request(Method::POST, id, body.clone());
            let response = client.call(address, CallKind::Short, request).await;
            if response.as_ref().is_ok_and(|response| response.status == StatusCode::OK) {
                return;
            }
            assert!(Instant::now() < deadline, "{id} is not accepted: {response:?}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits for calls to the worker that starts again.
    pub async fn wait_for(&self, has_happened: impl Fn(CallCounts) -> bool) {
        self.wait_for_calls(RESTARTED, has_happened).await;
    }

    async fn wait_for_calls(&self, worker: usize, has_happened: impl Fn(CallCounts) -> bool) {
        let deadline = Instant::now() + STEP_TIMEOUT;
        while !has_happened(self.workers.calls(worker)) {
            let calls = self.workers.calls(worker);
            assert!(Instant::now() < deadline, "timed out with {calls:?} to worker {worker}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the worker holds the reply to a poll back.
    pub async fn wait_for_waiting_poll(&self) {
        loop {
            let before = self.workers.calls(RESTARTED);
            tokio::time::sleep(REPLY_TIME).await;
            let calls = self.workers.calls(RESTARTED);
            if calls == before && calls.polls_received > calls.polls_answered {
                return;
            }
        }
    }

    /// Ends the worker and starts it again under its id and address, as a new incarnation.
    pub async fn restart_worker(&self, failure: Failure) {
        let link = &self.links[RESTARTED];
        self.workers.crash(RESTARTED);
        match failure {
            Failure::PowerLoss => {
                link.set_power(false);
                tokio::time::sleep(POWER_OFF_TIME).await;
                self.workers.restart(RESTARTED);
                link.set_power(true);
            }
            Failure::ProcessEnd => {
                link.set_fault(Fault::Reset);
                tokio::time::sleep(PROCESS_DOWN_TIME).await;
                self.workers.restart(RESTARTED);
                link.set_fault(Fault::None);
            }
        }
    }

    /// Lets replies of the worker be lost from now on.
    pub fn lose_replies(&self) {
        self.links[RESTARTED].set_fault(Fault::RepliesHeld);
    }

    /// Waits until the replies that were sent have arrived.
    pub async fn wait_for_replies(&self) {
        tokio::time::sleep(REPLY_TIME).await;
    }

    /// Cuts the worker off, which runs on, and registers the other one.
    pub fn cut_off(&self) {
        self.links[RESTARTED].set_fault(Fault::Held);
        self.register(OTHER);
    }

    /// Waits until the other worker starts a run, and checks that no rule was broken until then.
    pub async fn check_start_elsewhere(&self) {
        self.wait_for_calls(OTHER, |calls| calls.starts > 0).await;
        self.check_guarantees();
    }

    pub fn check_guarantees(&self) {
        let violations = self.workers.violations();
        assert!(violations.is_empty(), "{} restarted: {violations:#?}", worker_id(RESTARTED));
    }

    /// Lets the table refuse all calls, or serve them again.
    pub fn set_table_available(&self, is_available: bool) {
        let fault = if is_available { TableFault::None } else { TableFault::Unavailable };
        self.table.set_fault(fault);
    }

    /// Waits until a job is shown as completed.
    pub async fn wait_completed(&self, id: &str) {
        let client = Client::default();
        let address = self.nodes[0].caller_address();
        let deadline = Instant::now() + STEP_TIMEOUT;
        loop {
            let request = job_request(Method::GET, id, "");
            let response = client.call(address, CallKind::Short, request).await;
            let state = response.map(|response| response.body);
            if state.as_ref().is_ok_and(|body| body == "{\"state\":\"completed\"}") {
                return;
            }
            assert!(Instant::now() < deadline, "{id} is {state:?}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
