//! A cluster for one test: nodes, stand-in backend servers, a stand-in platform and a contract.
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
/// Longest time that a test waits for anything.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Size and limits of the cluster that a test starts.
pub struct ClusterOptions {
    pub nodes: u32,
    pub backends: usize,
    pub slots: u32,
    pub connections_max: u32,
    pub running_max: u32,
    pub waiting_max: u32,
    pub wait_max_ms: u64,
    pub unavailable_max: u32,
    /// Adds a host on whose port nobody listens.
    pub has_unreachable_host: bool,
    pub gateway: GatewaySettings,
}

impl Default for ClusterOptions {
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
            has_unreachable_host: false,
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

/// A running cluster.
pub struct TestCluster {
    pub nodes: Vec<Node>,
    pub backends: Vec<Arc<StandinBackend>>,
    pub platform: Arc<StandinPlatform>,
    pub key: api::GrantedKey,
}

impl TestCluster {
    /// Starts the cluster and waits until each node serves requests.
    pub async fn start(options: ClusterOptions) -> Self {
        let platform = Arc::new(StandinPlatform::default());
        let (platform_address, _) =
            standin::platform_server::serve(platform.clone(), ANY_PORT).await.unwrap();
        let mut backends = Vec::new();
        let mut addresses = Vec::new();
        for _ in 0..options.backends {
            let backend = Arc::new(StandinBackend::default());
            addresses.push(standin::backend::serve(backend.clone(), ANY_PORT).await.unwrap().0);
            backends.push(backend);
        }
        if options.has_unreachable_host {
            let listener = std::net::TcpListener::bind(ANY_PORT).unwrap();
            addresses.push(listener.local_addr().unwrap());
        }
        let mut nodes = Vec::new();
        for index in 0..options.nodes {
            let remote = Platform::remote(platform_address, Duration::from_secs(5));
            nodes.push(Node::start(settings(&options, index), remote).await.unwrap());
        }
        let apply = api::ApplyContract {
            source: "levy.toml".to_owned(),
            text: contract(&options, &addresses),
            seen_version: None,
        };
        let _: api::Accepted = admin(&nodes[0], Method::POST, "/contracts", &apply).await;
        let key = grant(&nodes[0], "officers").await;
        let cluster = Self { nodes, backends, platform, key };
        cluster
            .wait_until(|cluster| async {
                let mut ready = true;
                for node in &cluster.nodes {
                    ready &=
                        cluster.send_to(node, TestRequest::default()).await.outcome() == "complete";
                }
                ready
            })
            .await;
        cluster
    }

    /// Sends a request to the first node.
    pub async fn send(&self, request: TestRequest<'_>) -> Response {
        self.send_to(&self.nodes[0], request).await
    }

    pub async fn send_to(&self, node: &Node, request: TestRequest<'_>) -> Response {
        self.try_send_to(node, request).await.unwrap()
    }

    pub async fn try_send(&self, request: TestRequest<'_>) -> std::io::Result<Response> {
        self.try_send_to(&self.nodes[0], request).await
    }

    pub async fn try_send_to(
        &self,
        node: &Node,
        request: TestRequest<'_>,
    ) -> std::io::Result<Response> {
        let authorization = format!("Bearer {}", self.key.secret);
        let mut headers = vec![("authorization", &*authorization), ("standin-job", request.name)];
        headers.extend_from_slice(request.headers);
        let path = format!("/q/{QUEUE}/{}", request.name);
        let sent =
            call(node.caller_address, request.method, &path, &headers, request.body.to_vec());
        tokio::time::timeout(TEST_TIMEOUT, sent).await.expect("the call ends in time")
    }

    /// Returns how often the requests with this name were run, over all backend servers.
    pub fn runs_of(&self, name: &str) -> u32 {
        self.backends.iter().map(|backend| backend.runs_of(name)).sum()
    }

    /// Returns the slots in use and in doubt at the first node.
    pub async fn slots(&self) -> (u32, u32) {
        let hosts: Vec<api::HostView> = admin(&self.nodes[0], Method::GET, "/hosts", &()).await;
        hosts.iter().fold((0, 0), |(r, d), host| (r + host.running, d + host.in_doubt))
    }

    /// Returns the team's tokens in use and in doubt at the first node.
    pub async fn team(&self) -> (u32, u32) {
        let teams: Vec<api::TeamView> = admin(&self.nodes[0], Method::GET, "/teams", &()).await;
        teams.iter().fold((0, 0), |(r, d), team| (r + team.running, d + team.in_doubt))
    }

    /// Returns the events that the first node reads, as JSON text.
    pub async fn events(&self) -> String {
        let events: serde_json::Value = admin(&self.nodes[0], Method::GET, "/timeline", &()).await;
        events.to_string()
    }

    /// Waits until `holds` returns true.
    pub async fn wait_until<'a, F: Future<Output = bool>>(&'a self, holds: impl Fn(&'a Self) -> F) {
        let waited = tokio::time::timeout(TEST_TIMEOUT, async {
            while !holds(self).await {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        });
        waited.await.expect("the state is reached in time");
    }

    /// Waits until no slot is in use or in doubt.
    pub async fn wait_until_free(&self) {
        self.wait_until(|cluster| async { cluster.slots().await == (0, 0) }).await;
        self.wait_until(|cluster| async { cluster.team().await == (0, 0) }).await;
    }
}

/// A request of a caller; `name` identifies its runs at the backend servers.
#[derive(Clone)]
pub struct TestRequest<'a> {
    pub name: &'a str,
    pub method: Method,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
}

impl Default for TestRequest<'_> {
    fn default() -> Self {
        Self { name: "warm-up", method: Method::POST, headers: &[], body: b"steel" }
    }
}

pub fn settings(options: &ClusterOptions, index: u32) -> Settings {
    Settings {
        node: format!("n{index}").into(),
        zone: "a".into(),
        caller_address: ANY_PORT,
        admin_address: ANY_PORT,
        operator_key_hash: Some(hash_key(OPERATOR_KEY)),
        peering: None,
        node_count: options.nodes,
        poll_interval: Duration::from_millis(50),
        metrics_address: None,
        gateway: options.gateway.clone(),
    }
}

pub fn contract(options: &ClusterOptions, addresses: &[SocketAddr]) -> String {
    let ClusterOptions { slots, connections_max, running_max, waiting_max, wait_max_ms, .. } =
        options;
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
        options.unavailable_max
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
