//! A gateway with a node context that the test controls, and a stand-in backend server.
#![allow(dead_code)]

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use axum::Router;
use axum::extract::Request;
use events::Recorder;
use gateway::Dependencies;
use gateway::Gateway;
use gateway::GatewaySettings;
use gateway::NodeContext;
use gateway::Peer;
use gateway::Server;
use http::Method;
use limits::LimitKey;
use limits::LimitTable;
use model::Config;
use model::ConfigRow;
use model::HostRow;
use model::HostState;
use model::ServiceId;
use model::TeamRef;
use model::contract::parse_contract;
use services::MemoryObjects;
use services::MemoryTable;
use standin::backend::StandinBackend;
use standin::caller::Response;
use standin::caller::call;
use telemetry::Telemetry;

pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
pub const SECRET: [u8; 32] = [9; 32];
const QUEUE: Option<QueueText> = Some(QueueText { wait_max_ms: 300 });

/// Settings of the queue in a configuration.
#[derive(Clone, Copy, Debug)]
pub struct QueueText {
    pub wait_max_ms: u64,
}

/// Node context whose values the test sets.
pub struct TestContext {
    pub config: Mutex<Arc<Config>>,
    pub peers: Mutex<Vec<Peer>>,
    pub is_fenced: AtomicBool,
}

impl NodeContext for TestContext {
    fn config(&self) -> Arc<Config> {
        self.config.lock().unwrap().clone()
    }

    fn may_admit(&self, _now: Instant) -> bool {
        !self.is_fenced.load(Ordering::Relaxed)
    }

    fn peers_with_spare_tokens(&self, _team: &TeamRef, _service: &ServiceId) -> Vec<Peer> {
        self.peers.lock().unwrap().clone()
    }
}

pub struct TestNode {
    pub context: Arc<TestContext>,
    pub server: Server,
    pub limits: Arc<LimitTable>,
    pub telemetry: Telemetry,
}

impl TestNode {
    /// Starts a gateway that holds `slots` tokens for slots of the only backend server.
    /// Without a `secret`, the node has no cluster.
    pub async fn start(
        config: &Arc<Config>,
        slots: u32,
        secret: impl Into<Option<[u8; 32]>>,
    ) -> Self {
        let limits = Arc::new(LimitTable::default());
        limits.grant(&LimitKey::Slots("w1".into()), slots);
        limits.grant(&LimitKey::Connections("w1".into()), slots * 2);
        limits.grant(&LimitKey::Running(TeamRef::new("levy", "desk")), 8);
        let context = Arc::new(TestContext {
            config: Mutex::new(config.clone()),
            peers: Mutex::default(),
            is_fenced: AtomicBool::new(false),
        });
        let telemetry = Telemetry::new(None).unwrap();
        let gateway = Gateway::start(Dependencies {
            node: context.clone(),
            limits: limits.clone(),
            events: Arc::new(Recorder::new("n".into(), 1)),
            telemetry: telemetry.clone(),
            table: Arc::new(MemoryTable::default()),
            objects: Arc::new(MemoryObjects::default()),
            settings: GatewaySettings {
                cluster_secret: secret.into(),
                connect_timeout: Duration::from_secs(5),
                probe_interval: Duration::from_millis(20),
                ..GatewaySettings::default()
            },
        });
        let router =
            Router::new().fallback(move |request: Request| gateway.clone().handle(request));
        let server = gateway::serve(ANY_PORT, router).await.unwrap();
        Self { context, server, limits, telemetry }
    }

    pub fn set_peers(&self, others: &[&Self]) {
        let peer = |other: &&Self| Peer { node: "peer".into(), address: other.server.address };
        *self.context.peers.lock().unwrap() = others.iter().map(peer).collect();
    }

    pub async fn send(&self, job: &str, body: &str) -> Response {
        self.send_with_delay(job, body, 0).await
    }

    pub async fn send_with_delay(&self, job: &str, body: &str, delay_ms: u64) -> Response {
        let delay_ms = delay_ms.to_string();
        let headers = [("standin-job", job), ("standin-delay-ms", &*delay_ms)];
        let sent = call(self.server.address, Method::POST, "/q/q/x?y=1", &headers, body.to_owned());
        sent.await.unwrap()
    }

    pub fn forwarded_count(&self) -> u64 {
        let totals = self.telemetry.totals();
        totals.iter().find(|(name, _)| name.ends_with("request.forwarded")).map_or(0, |t| t.1)
    }
}

pub async fn start() -> (Arc<StandinBackend>, Arc<Config>) {
    let backend = Arc::new(StandinBackend::default());
    let (address, _) = standin::backend::serve(backend.clone(), ANY_PORT).await.unwrap();
    (backend, config(1, address, HostState::Serving))
}

/// Returns a configuration with a single host in `state`.
pub fn config(version: u64, address: SocketAddr, state: HostState) -> Arc<Config> {
    config_with_hosts(version, &[address], state, QUEUE)
}

/// Returns a configuration with the serving hosts `w1` and `w2`.
pub fn two_hosts(addresses: [SocketAddr; 2]) -> Arc<Config> {
    config_with_hosts(1, &addresses, HostState::Serving, QUEUE)
}

/// Returns a configuration with serving hosts `w1`, `w2` and so on.
pub fn config_with_queue(
    version: u64,
    addresses: &[SocketAddr],
    queue: Option<QueueText>,
) -> Arc<Config> {
    config_with_hosts(version, addresses, HostState::Serving, queue)
}

fn config_with_hosts(
    version: u64,
    addresses: &[SocketAddr],
    state: HostState,
    queue: Option<QueueText>,
) -> Arc<Config> {
    let mut text = String::from(
        r#"
customer = "levy"
profile = "share"
[[services]]
name = "s"
unavailable_max = 0
[[teams]]
name = "desk"
running_max = 8
[[pools]]
name = "p"
service = "s"
"#,
    );
    if let Some(QueueText { wait_max_ms }) = queue {
        text.push_str(&format!(
            "[[queues]]\nname = \"q\"\nservice = \"s\"\nopen = true\nopen_team = \"desk\"\n\
             wait_max_ms = {wait_max_ms}\n"
        ));
    }
    for (index, address) in addresses.iter().enumerate() {
        text.push_str(&format!(
            "[[hosts]]\nname = \"w{}\"\npool = \"p\"\naddress = \"{address}\"\nzone = \"a\"\n\
             rack = \"r1\"\nslots = 8\nconnections_max = 64\nprocessors = 16\nmemory_mib = 32768\n",
            index + 1
        ));
    }
    let contract = parse_contract("levy.toml", &text).unwrap();
    let hosts = contract.hosts.iter().map(|spec| {
        let mut host = HostRow::new(contract.customer.clone(), spec.clone());
        host.state = state;
        ConfigRow::Host(host)
    });
    let rows = std::iter::once(ConfigRow::Contract(contract.clone())).chain(hosts);
    Arc::new(Config::from_rows(version, rows.collect()))
}
