//! A randomized soak: nodes as processes on a platform that misbehaves, and callers that check what they
//! were promised.
//!
//! Each seed draws faults: nodes that are paused, killed, stopped and started again; a table that is
//! away, slow or loses answers; connections that are delayed, silenced, cut one way or reset; workers
//! that end and come back. They come in series and overlap. While they do, workers note what must not
//! be; afterwards each job that was accepted must be completed, and none that was refused may have run.
//!
//! By hand: `SAVORYPITCH_SOAK_SEEDS=50 cargo test -p savorypitch --test soak -- --ignored`. A seed that
//! ever failed stays in [`REGRESSIONS`], with a line on the cause.

#[path = "../../../platform/tests/standin/proxy.rs"]
mod proxy;
#[path = "../../../platform/tests/standin/table.rs"]
mod table;
#[path = "../../../platform/tests/standin/workers.rs"]
mod workers;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use coordinator::http::CallError;
use coordinator::http::CallKind;
use coordinator::http::Client;
use coordinator::http::Request;
use http::HeaderName;
use http::Method;
use http::StatusCode;
use proxy::Fault;
use proxy::Proxy;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use serde_json::json;
use table::TableFault;
use table::TableStandin;
use workers::CAPACITY_MILLIS;
use workers::UNIT_MILLIS;
use workers::WorkerStandins;
use workers::worker_id;

/// Seeds that failed once, each with its cause.
const REGRESSIONS: [u64; 0] = [];
/// Seed of the run in CI.
const CI_SEED: u64 = 1;
const NODES: usize = 3;
const WORKERS: usize = 4;
/// Time for which faults are injected.
const FAULTS_TIME: Duration = Duration::from_secs(12);
/// Time after which the platform gives the id of a worker that has ended again, at the earliest.
const REUSE_MIN: Duration = Duration::from_millis(2_200);
/// Time in which everything ends once they are over: above the longest lease of a worker and the
/// validity of an owner.
const SETTLE_MAX: Duration = Duration::from_secs(30);
const READY_MAX: Duration = Duration::from_secs(30);
/// What is shown of a job that is completed.
const COMPLETED: &str = "{\"state\":\"completed\"}";
const KEY: &str = "key-of-the-soak";

/// A node's process, behind its own link to the table.
struct Node {
    ip: IpAddr,
    settings: PathBuf,
    link: Proxy,
    child: Child,
}

impl Node {
    fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    fn restart(&mut self) {
        // It has ended, or is to.
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = spawn(&self.settings);
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(sent.unwrap().success());
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // A process that has ended cannot be killed.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Ports of a node on its own loopback address.
const FRONT_PORT: u16 = 17_340;
const READY_PORT: u16 = 17_343;
const PEER_PORT: u16 = 17_000;

/// What became of a job, as its caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Accepted,
    Refused,
    Unknown,
}

struct Soak {
    table: TableStandin,
    workers: WorkerStandins,
    links: Vec<Proxy>,
    nodes: Vec<Node>,
    rng: StdRng,
    is_over: Arc<AtomicBool>,
    told: Arc<Mutex<Vec<(String, Told)>>>,
}

fn spawn(settings: &PathBuf) -> Child {
    Command::new(env!("CARGO_BIN_EXE_savorypitch"))
        .arg("serve-platform")
        .env("SAVORYPITCH_BOOT", settings)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

/// A loopback address of this process alone, on which the ports of a node are free.
fn own_ip() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    loop {
        let ip =
            IpAddr::V4(Ipv4Addr::new(127, high | 128, low, NEXT.fetch_add(1, Ordering::Relaxed)));
        let ports = [FRONT_PORT, READY_PORT, PEER_PORT, PEER_PORT + 1];
        if ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok()) {
            return ip;
        }
    }
}

impl Soak {
    async fn start(seed: u64) -> Self {
        let table = TableStandin::default();
        let (table_address, table_server) = table.serve().await;
        let workers = WorkerStandins::default();
        let mut links = Vec::new();
        for index in 0..WORKERS {
            let (id, address, server) = workers.add().await;
            let link = Proxy::start(address).await;
            register(&table, &workers, index, link.address);
            table.add_host(
                json!({ "machine": format!("h-{index}"), "pool": "p", "state": "up", "id": id }),
            );
            links.push(link);
            // They serve for as long as the test's process runs.
            std::mem::forget(server);
        }
        std::mem::forget(table_server);
        let mut nodes = Vec::new();
        for index in 0..NODES {
            let link = Proxy::start(table_address).await;
            let ip = own_ip();
            let settings = write_settings(seed, index, ip, link.address);
            let child = spawn(&settings);
            nodes.push(Node { ip, settings, link, child });
        }
        table.put("op", "config", &configuration(&nodes));
        let rng = StdRng::seed_from_u64(seed);
        let (is_over, told) = (Arc::default(), Arc::default());
        Self { table, workers, links, nodes, rng, is_over, told }
    }

    async fn wait_ready(&self) {
        let client = Client::default();
        let until = Instant::now() + READY_MAX;
        for node in &self.nodes {
            let address = SocketAddr::new(node.ip, READY_PORT);
            let ask = || Request::new(Method::GET, "/v1/readiness", "", Duration::from_secs(1));
            while !client
                .call(address, CallKind::Short, ask())
                .await
                .is_ok_and(|a| a.status == StatusCode::OK)
            {
                assert!(Instant::now() < until, "a node is not ready");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Injects faults one after another; each is over after a while of its own.
    async fn inject(&mut self) {
        let until = Instant::now() + FAULTS_TIME;
        let mut overs: Vec<(Instant, Over)> = Vec::new();
        while Instant::now() < until {
            let pause = Duration::from_millis(self.rng.random_range(100..900));
            tokio::time::sleep(pause).await;
            let length = Duration::from_millis(self.rng.random_range(100..3_000));
            let over = self.one_fault();
            let length = match over {
                Over::StartWorker(_) => length.max(REUSE_MIN),
                _ => length,
            };
            overs.push((Instant::now() + length, over));
            let now = Instant::now();
            let (ended, left) = overs.into_iter().partition(|(at, _)| *at <= now);
            overs = left;
            for (_, over) in ended {
                self.end_fault(over);
            }
        }
        overs.sort_by_key(|(at, _)| *at);
        for (at, over) in overs {
            tokio::time::sleep(at.saturating_duration_since(Instant::now())).await;
            self.end_fault(over);
        }
    }

    fn one_fault(&mut self) -> Over {
        let node = self.rng.random_range(0..NODES);
        let worker = self.rng.random_range(0..WORKERS);
        let faults = [Fault::Delayed, Fault::Held, Fault::RepliesHeld, Fault::Reset];
        let fault = *faults.choose(&mut self.rng).expect("there are faults");
        match self.rng.random_range(0..9) {
            0 => {
                self.nodes[node].signal("-STOP");
                Over::Continue(node)
            }
            1 => {
                self.nodes[node].restart();
                Over::Nothing
            }
            2 => {
                self.nodes[node].signal("-TERM");
                Over::Restart(node)
            }
            3 => {
                self.nodes[node].signal("-HUP");
                Over::Nothing
            }
            4 | 5 => {
                let moods = [
                    TableFault::Unavailable,
                    TableFault::Slow,
                    TableFault::LosesReplies,
                    TableFault::CommitsLate,
                ];
                self.table.set_fault(*moods.choose(&mut self.rng).expect("there are moods"));
                Over::Table
            }
            6 => {
                self.nodes[node].link.set_fault(fault);
                Over::NodeLink(node)
            }
            7 => {
                self.links[worker].set_fault(fault);
                Over::WorkerLink(worker)
            }
            _ => match self.workers.crash(worker) {
                true => Over::StartWorker(worker),
                false => Over::Nothing,
            },
        }
    }

    fn end_fault(&mut self, over: Over) {
        match over {
            Over::Nothing => {}
            Over::Continue(node) => self.nodes[node].signal("-CONT"),
            Over::Restart(node) => self.nodes[node].restart(),
            Over::Table => self.table.set_fault(TableFault::None),
            Over::NodeLink(node) => self.nodes[node].link.set_fault(Fault::None),
            Over::WorkerLink(worker) => self.links[worker].set_fault(Fault::None),
            Over::StartWorker(worker) => {
                self.workers.restart(worker);
                register(&self.table, &self.workers, worker, self.links[worker].address);
            }
        }
    }

    /// Callers that submit jobs until the faults are over; each keeps its connections.
    fn spawn_callers(&mut self) -> Vec<tokio::task::JoinHandle<()>> {
        let fronts: Vec<SocketAddr> = self.nodes.iter().map(Node::front).collect();
        (0..4)
            .map(|_| {
                let rng = StdRng::seed_from_u64(self.rng.random());
                let (workers, is_over) = (self.workers.clone(), self.is_over.clone());
                tokio::spawn(call(rng, fronts.clone(), workers, is_over, self.told.clone()))
            })
            .collect()
    }

    /// All that was accepted is completed, and nothing that was refused has run.
    async fn check(&self) {
        let client = Client::default();
        let until = Instant::now() + SETTLE_MAX;
        let told = self.told.lock().unwrap().clone();
        let started = self.workers.started_jobs();
        for (id, told) in &told {
            match told {
                Told::Accepted => self.wait_completed(&client, id, until).await,
                Told::Refused => assert!(!started.contains(id), "{id} was refused and has run"),
                Told::Unknown => {}
            }
        }
        let faults = self.workers.violations();
        assert!(faults.is_empty(), "{faults:#?}");
        let count = |wanted| told.iter().filter(|(_, told)| *told == wanted).count();
        let accepted = count(Told::Accepted);
        println!(
            "{accepted} accepted, {} refused, {} unknown",
            count(Told::Refused),
            count(Told::Unknown)
        );
        assert!(accepted > 0, "nothing was accepted");
    }

    /// Asks one node after another until one shows the job as completed.
    async fn wait_completed(&self, client: &Client, id: &str, until: Instant) {
        for node in self.nodes.iter().cycle() {
            let answer =
                client.call(node.front(), CallKind::Short, request(Method::GET, id, "")).await;
            let state = answer.map(|answer| (answer.status, answer.body));
            if matches!(&state, Ok((StatusCode::OK, body)) if body == COMPLETED) {
                return;
            }
            assert!(Instant::now() < until, "{id} was accepted and is {state:?}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

/// How a fault ends.
enum Over {
    Nothing,
    Continue(usize),
    Restart(usize),
    Table,
    NodeLink(usize),
    WorkerLink(usize),
    StartWorker(usize),
}

fn request(method: Method, id: &str, body: impl Into<bytes::Bytes>) -> Request {
    Request::new(method, format!("/q/{id}"), body, Duration::from_secs(3))
        .header(HeaderName::from_static("authorization"), &format!("Bearer {KEY}"))
}

async fn call(
    mut rng: StdRng,
    fronts: Vec<SocketAddr>,
    workers: WorkerStandins,
    is_over: Arc<AtomicBool>,
    told: Arc<Mutex<Vec<(String, Told)>>>,
) {
    let client = Client::default();
    while !is_over.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..250))).await;
        let id = format!("{:016x}", rng.random::<u64>());
        let counts: Vec<u64> =
            (0..rng.random_range(1..3)).map(|_| rng.random_range(1..4)).collect();
        workers.expect_job(&id, counts.clone());
        let work_ms = rng.random_range(20..400).to_string();
        let step = |(index, count): (usize, &u64)| {
            let depends_on: Vec<usize> = index.checked_sub(1).into_iter().collect();
            json!({ "count": count, "cpu": UNIT_MILLIS, "memMb": 10, "estimateMs": 200, "dependsOn": depends_on })
        };
        let steps: Vec<serde_json::Value> = counts.iter().enumerate().map(step).collect();
        let body = json!({ "spec": work_ms, "steps": steps }).to_string();
        let mut outcome = Told::Refused;
        for _ in 0..3 {
            let front = *fronts.choose(&mut rng).expect("there are nodes");
            let sent =
                client.call(front, CallKind::Short, request(Method::POST, &id, body.clone())).await;
            let is_refused = match sent.map(|answer| answer.status) {
                Ok(StatusCode::OK) => {
                    outcome = Told::Accepted;
                    break;
                }
                Ok(status) => status != StatusCode::GATEWAY_TIMEOUT,
                Err(CallError::NotSent(_) | CallError::ConnectionRefused) => true,
                Err(CallError::NoResponse(_)) => false,
            };
            if !is_refused {
                outcome = Told::Unknown;
            }
        }
        told.lock().unwrap().push((id, outcome));
    }
}

fn register(table: &TableStandin, workers: &WorkerStandins, index: usize, address: SocketAddr) {
    let entry = json!({
        "service": "p", "address": address, "zone": "a", "state": "ready", "labels": ["a"],
        "capacity": { "cpu": CAPACITY_MILLIS, "memMb": 10_000 }, "born": workers.incarnation_started_ms(index),
        "machine": format!("h-{index}"),
    });
    table.put("servers", &worker_id(index), &entry);
}

/// A configuration with a queue for each name under which callers know a node.
fn configuration(nodes: &[Node]) -> serde_json::Value {
    let route = |node: &Node| {
        json!({ "name": format!("q-{}", node.ip), "host": node.ip, "pathPrefix": "/q/", "service": "p",
            "attempts": 3, "stretch": 1.6, "targetLatencyMs": 600 })
    };
    let routes: Vec<serde_json::Value> = nodes.iter().map(route).collect();
    json!({
        "version": 1,
        "routes": routes,
        "services": [{ "name": "p" }],
        "tenants": [{ "name": "t", "apiKeys": [KEY], "weight": 1 }],
        "limits": { "maxBodyBytes": 100_000 },
    })
}

fn write_settings(seed: u64, index: usize, ip: IpAddr, table: SocketAddr) -> PathBuf {
    let text = json!({
        "node": format!("n{index}"), "ip": ip, "zone": "a",
        "listen": { "front": SocketAddr::new(ip, FRONT_PORT), "ready": SocketAddr::new(ip, READY_PORT) },
        "portRange": [PEER_PORT, PEER_PORT + 1],
        "platform": { "address": table }, "cloud": { "address": table },
    });
    let name = format!("savorypitch-soak-{}-{seed}-{index}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text.to_string()).unwrap();
    path
}

async fn soak(seed: u64) {
    println!("seed {seed}");
    let mut soak = Soak::start(seed).await;
    soak.wait_ready().await;
    let callers = soak.spawn_callers();
    soak.inject().await;
    soak.is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap();
    }
    soak.check().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_faults() {
    for seed in REGRESSIONS.into_iter().chain([CI_SEED]) {
        soak(seed).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "some minutes, by hand"]
async fn promises_hold_under_faults_of_many_seeds() {
    let count = std::env::var("SAVORYPITCH_SOAK_SEEDS").ok().and_then(|text| text.parse().ok());
    let first = std::env::var("SAVORYPITCH_SOAK_FIRST").ok().and_then(|text| text.parse().ok());
    let first: u64 = first.unwrap_or(100);
    for seed in first..first + count.unwrap_or(50) {
        soak(seed).await;
    }
}
