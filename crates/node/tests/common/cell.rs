//! Nodes, stand-in backend servers and a contract for one test.
#![allow(dead_code)]

#[path = "operator.rs"]
mod operator;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gateway::GatewaySettings;
use http::Method;
use model::TeamRef;
use model::key::KeyHolder;
use model::key::hash_key;
use node::Node;
use node::Platform;
use node::Settings;
use node::api;
use standin::backend::StandinBackend;
use standin::caller::Response;
use standin::caller::call;
use standin::platform_server::StandinPlatform;

use self::operator::ANY_PORT;

pub use self::operator::OPERATOR_KEY;
pub use self::operator::admin;

pub const QUEUE: &str = "levy-validate";
/// Bound on every wait of a test.
const PATIENCE: Duration = Duration::from_secs(20);

/// What a test starts.
pub struct Plan {
    pub nodes: u32,
    pub backends: usize,
    pub slots: u32,
    pub connections_max: u32,
    pub running_max: u32,
    pub waiting_max: u32,
    pub wait_max_ms: u64,
    pub unavailable_max: u32,
    /// Adds a host whose port nobody listens on.
    pub dead_host: bool,
    pub gateway: GatewaySettings,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            nodes: 1,
            backends: 1,
            slots: 8,
            connections_max: 64,
            running_max: 64,
            waiting_max: 100,
            wait_max_ms: 10_000,
            unavailable_max: 1,
            dead_host: false,
            gateway: GatewaySettings {
                connect_timeout: Duration::from_secs(5),
                request_timeout: Duration::from_secs(30),
                caller_idle_timeout: Duration::from_millis(400),
                backend_idle_timeout: Duration::from_millis(400),
                probe_interval: Duration::from_millis(50),
                body_max_bytes: 1 << 20,
                buffered_body_max_bytes: 64 << 10,
                stored_response_max_bytes: 16 << 10,
                claim_timeout: Duration::from_secs(1),
                ..GatewaySettings::default()
            },
        }
    }
}

/// What a test has started.
pub struct Cell {
    pub nodes: Vec<Node>,
    pub backends: Vec<Arc<StandinBackend>>,
    pub platform: Arc<StandinPlatform>,
    pub key: api::GrantedKey,
}

impl Cell {
    pub async fn start(plan: Plan) -> Self {
        let platform = Arc::new(StandinPlatform::default());
        let (platform_address, _) =
            standin::platform_server::serve(platform.clone(), ANY_PORT).await.unwrap();
        let mut backends = Vec::new();
        let mut addresses = Vec::new();
        for _ in 0..plan.backends {
            let backend = Arc::new(StandinBackend::default());
            addresses.push(standin::backend::serve(backend.clone(), ANY_PORT).await.unwrap().0);
            backends.push(backend);
        }
        if plan.dead_host {
            let listener = std::net::TcpListener::bind(ANY_PORT).unwrap();
            addresses.push(listener.local_addr().unwrap());
        }
        let mut nodes = Vec::new();
        for index in 0..plan.nodes {
            let remote = Platform::remote(platform_address, Duration::from_secs(5));
            nodes.push(Node::start(settings(&plan, index), remote).await.unwrap());
        }
        let apply = api::ApplyContract {
            source: "levy.toml".to_owned(),
            text: contract(&plan, &addresses),
            seen_version: None,
        };
        let _: api::Accepted = admin(&nodes[0], Method::POST, "/contracts", &apply).await;
        let key = grant(&nodes[0], "officers").await;
        let cell = Self { nodes, backends, platform, key };
        cell.settled(|cell| async {
            let mut ready = true;
            for node in &cell.nodes {
                ready &= cell.send_to(node, Job::default()).await.outcome() == "complete";
            }
            ready
        })
        .await;
        cell
    }

    /// Sends a request to the first node.
    pub async fn send(&self, job: Job<'_>) -> Response {
        self.send_to(&self.nodes[0], job).await
    }

    pub async fn send_to(&self, node: &Node, job: Job<'_>) -> Response {
        self.try_send_to(node, job).await.unwrap()
    }

    pub async fn try_send(&self, job: Job<'_>) -> std::io::Result<Response> {
        self.try_send_to(&self.nodes[0], job).await
    }

    pub async fn try_send_to(&self, node: &Node, job: Job<'_>) -> std::io::Result<Response> {
        let authorization = format!("Bearer {}", self.key.secret);
        let mut headers = vec![("authorization", &*authorization), ("standin-job", job.name)];
        headers.extend_from_slice(job.headers);
        let path = format!("/q/{QUEUE}/{}", job.name);
        let sent = call(node.caller_address, job.method, &path, &headers, job.body.to_vec());
        tokio::time::timeout(PATIENCE, sent).await.expect("an answer or an error comes in time")
    }

    /// Runs of a job at all backend servers.
    pub fn runs_of(&self, job: &str) -> u32 {
        self.backends.iter().map(|backend| backend.runs_of(job)).sum()
    }

    /// Slots in use and in doubt at the first node.
    pub async fn slots(&self) -> (u32, u32) {
        let hosts: Vec<api::HostView> = admin(&self.nodes[0], Method::GET, "/hosts", &()).await;
        hosts.iter().fold((0, 0), |(r, d), host| (r + host.running, d + host.in_doubt))
    }

    /// Running tokens of the team in use and in doubt at the first node.
    pub async fn team(&self) -> (u32, u32) {
        let teams: Vec<api::TeamView> = admin(&self.nodes[0], Method::GET, "/teams", &()).await;
        teams.iter().fold((0, 0), |(r, d), team| (r + team.running, d + team.in_doubt))
    }

    /// Names of the events of the first node.
    pub async fn events(&self) -> String {
        let events: serde_json::Value = admin(&self.nodes[0], Method::GET, "/timeline", &()).await;
        events.to_string()
    }

    /// Waits until `holds`.
    pub async fn settled<'a, F: Future<Output = bool>>(&'a self, holds: impl Fn(&'a Self) -> F) {
        let waited = tokio::time::timeout(PATIENCE, async {
            while !holds(self).await {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        });
        waited.await.expect("the state is reached in time");
    }

    /// Waits until no slot is in use or in doubt.
    pub async fn all_free(&self) {
        self.settled(|cell| async { cell.slots().await == (0, 0) }).await;
        self.settled(|cell| async { cell.team().await == (0, 0) }).await;
    }
}

/// A request.
#[derive(Clone)]
pub struct Job<'a> {
    pub name: &'a str,
    pub method: Method,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
}

impl Default for Job<'_> {
    fn default() -> Self {
        Self { name: "warm-up", method: Method::POST, headers: &[], body: b"steel" }
    }
}

pub fn settings(plan: &Plan, index: u32) -> Settings {
    Settings {
        node: format!("n{index}").into(),
        zone: "a".into(),
        caller_address: ANY_PORT,
        admin_address: ANY_PORT,
        operator_key_hash: Some(hash_key(OPERATOR_KEY)),
        peering: None,
        node_count: plan.nodes,
        poll_interval: Duration::from_millis(50),
        metrics_address: None,
        gateway: plan.gateway.clone(),
    }
}

pub fn contract(plan: &Plan, addresses: &[SocketAddr]) -> String {
    let Plan { slots, connections_max, running_max, waiting_max, wait_max_ms, .. } = plan;
    let mut text = format!(
        r#"
customer = "levy"
profile = "share"
[[services]]
name = "validate"
unavailable_max = {}
[[queues]]
name = "{QUEUE}"
service = "validate"
teams = ["officers"]
waiting_max = {waiting_max}
wait_max_ms = {wait_max_ms}
[[teams]]
name = "officers"
running_max = {running_max}
[[pools]]
name = "levy-validate"
service = "validate"
"#,
        plan.unavailable_max
    );
    for (index, address) in addresses.iter().enumerate() {
        text.push_str(&format!(
            r#"
[[hosts]]
name = "w{index}"
pool = "levy-validate"
address = "{address}"
zone = "a"
rack = "r{index}"
slots = {slots}
connections_max = {connections_max}
processors = 16
memory_mib = 32768
"#
        ));
    }
    text
}

pub async fn grant(node: &Node, team: &str) -> api::GrantedKey {
    let holder = KeyHolder::Team(TeamRef::new("levy", team));
    admin(node, Method::POST, "/keys", &api::GrantKey { holder }).await
}
