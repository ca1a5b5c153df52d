//! Several nodes share limits over one platform, under skewed load and faults of the table.

#[path = "common/cell.rs"]
mod cell;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Method;
use membership::MemberEntry;
use node::Node;
use node::Peering;
use node::Platform;
use node::Settings;
use node::Transport;
use node::api;
use standin::backend::StandinBackend;
use standin::caller::call;
use standin::platform_server::PlatformFaults;
use standin::platform_server::StandinPlatform;
use tokio::task::JoinSet;
use wire::MemoryNetwork;

use crate::cell::Plan;
use crate::cell::QUEUE;
use crate::cell::admin;
use crate::cell::contract;
use crate::cell::grant;
use crate::cell::settings;

const NODES: usize = 3;
const SLOTS: u32 = 4;
const LIMIT: u32 = 6;
/// Tokens that come to a node with all the callers: more than an equal part.
const MOVED: u32 = LIMIT / 2;
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Bound on every wait.
const PATIENCE: Duration = Duration::from_secs(30);

struct Fleet {
    platform: Arc<StandinPlatform>,
    platform_address: SocketAddr,
    backends: Vec<Arc<StandinBackend>>,
    network: MemoryNetwork,
    members: Vec<MemberEntry>,
    nodes: Vec<Node>,
    secret: String,
}

fn plan() -> Plan {
    Plan { slots: SLOTS, running_max: LIMIT, wait_max_ms: 500, ..Plan::default() }
}

impl Fleet {
    async fn start() -> Self {
        let platform = Arc::new(StandinPlatform::default());
        let served = standin::platform_server::serve(platform.clone(), ANY_PORT).await;
        let mut backends = Vec::new();
        let mut addresses = Vec::new();
        for _ in 0..2 {
            let backend = Arc::new(StandinBackend::default());
            addresses.push(standin::backend::serve(backend.clone(), ANY_PORT).await.unwrap().0);
            backends.push(backend);
        }
        let members = (0..NODES).map(|index| MemberEntry {
            node: format!("n{index}").into(),
            peer_address: format!("127.0.0.1:{}", index + 1).parse().unwrap(),
        });
        let mut fleet = Self {
            platform,
            platform_address: served.unwrap().0,
            backends,
            network: MemoryNetwork::default(),
            members: members.collect(),
            nodes: Vec::new(),
            secret: String::new(),
        };
        for index in 0..NODES {
            let node = fleet.start_node(index).await;
            fleet.nodes.push(node);
        }
        let apply = api::ApplyContract {
            source: "levy.toml".to_owned(),
            text: contract(&plan(), &addresses),
            seen_version: None,
        };
        let _: api::Accepted = admin(&fleet.nodes[0], Method::POST, "/contracts", &apply).await;
        fleet.secret = grant(&fleet.nodes[0], "officers").await.secret;
        fleet
    }

    async fn start_node(&self, index: usize) -> Node {
        let peering = Peering {
            listen: self.members[index].peer_address,
            members: self.members.clone(),
            cluster: "test".to_owned(),
            secret: "secret-of-the-test-cluster".to_owned(),
            ttl: Duration::from_millis(1_500),
            heartbeat_interval: Duration::from_millis(50),
            transport: Transport::Memory(self.network.clone()),
        };
        let mut settings = Settings { peering: Some(peering), ..settings(&plan(), index as u32) };
        settings.gateway.cluster_secret = Some([7; 32]);
        let platform = Platform::remote(self.platform_address, Duration::from_millis(500));
        Node::start(settings, platform).await.unwrap()
    }

    /// Requests that run now at all backend servers.
    fn running(&self) -> usize {
        self.backends.iter().map(|backend| backend.stats().running.len()).sum()
    }

    /// Sends requests to one node until `end`; returns how many were complete.
    async fn load(&self, index: usize, end: impl Future<Output = ()>) -> usize {
        let complete = Arc::new(AtomicUsize::new(0));
        let over = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        for _ in 0..2 * LIMIT {
            let (address, secret) = (self.nodes[index].caller_address, self.secret.clone());
            let (complete, over) = (complete.clone(), over.clone());
            callers.spawn(async move {
                let authorization = format!("Bearer {secret}");
                let headers = [("authorization", &*authorization), ("standin-delay-ms", "40")];
                let path = format!("/q/{QUEUE}/x");
                while !over.load(Ordering::Relaxed) {
                    let answer = call(address, Method::POST, &path, &headers, "x").await.unwrap();
                    match answer.outcome() {
                        "complete" => complete.fetch_add(1, Ordering::Relaxed),
                        outcome => {
                            assert_eq!(outcome, "not-run");
                            tokio::time::sleep(Duration::from_millis(20)).await;
                            0
                        }
                    };
                }
            });
        }
        let sampled = async {
            loop {
                let running = self.running();
                assert!(running <= LIMIT as usize, "{running} run");
                tokio::time::sleep(Duration::from_millis(3)).await;
            }
        };
        tokio::select! {
            () = sampled => {}
            () = end => {}
        }
        over.store(true, Ordering::Relaxed);
        while let Some(ended) = callers.join_next().await {
            ended.unwrap();
        }
        complete.load(Ordering::Relaxed)
    }

    async fn wait_for_tokens(&self, index: usize, count: u32) {
        let enough = async {
            loop {
                let teams: Vec<api::TeamView> =
                    admin(&self.nodes[index], Method::GET, "/teams", &()).await;
                if teams[0].granted >= count {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(PATIENCE, enough).await.expect("the tokens come in time");
    }

    /// No backend server ever ran more than its slots.
    fn check_slots(&self) {
        for backend in &self.backends {
            let seen = backend.stats();
            assert!(seen.running_peak <= SLOTS as usize, "{} ran", seen.running_peak);
            assert!(seen.connections_peak <= 64, "{} connections", seen.connections_peak);
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limits_hold_under_skewed_load_and_faults_of_the_table() {
    let mut fleet = Fleet::start().await;
    let second = || tokio::time::sleep(Duration::from_secs(1));
    for index in [0, 2] {
        // Tokens may come at once; the second gives requests the time to end.
        let moved = async {
            fleet.wait_for_tokens(index, MOVED).await;
            second().await;
        };
        assert!(fleet.load(index, moved).await > 0);
        assert!(fleet.load(index, second()).await > 0);
    }
    fleet.platform.set_faults(PlatformFaults { is_down: true, ..PlatformFaults::default() });
    assert!(fleet.load(2, second()).await > 0);
    // What node 1 has no tokens for, it sends on.
    assert!(fleet.load(1, second()).await > 0);
    fleet.platform.set_faults(PlatformFaults {
        delay_ms: 150,
        lose_replies: 6,
        ..PlatformFaults::default()
    });
    assert!(fleet.load(0, second()).await > 0);
    fleet.platform.set_faults(PlatformFaults::default());

    // A node that stops hands on what it holds, and its next run starts with nothing.
    let stopped = fleet.nodes.remove(0).stop(Duration::ZERO, PATIENCE).await;
    assert!(stopped.is_graceful);
    let node = fleet.start_node(0).await;
    fleet.nodes.insert(0, node);
    let moved = async {
        fleet.wait_for_tokens(0, MOVED).await;
        second().await;
    };
    assert!(fleet.load(0, moved).await > 0);
    fleet.check_slots();
}

#[tokio::test]
async fn accepted_names_every_node_and_racing_operators_are_told() {
    let fleet = Fleet::start().await;
    let holder = model::key::KeyHolder::Operator;
    let granted: api::GrantedKey =
        admin(&fleet.nodes[1], Method::POST, "/keys", &api::GrantKey { holder }).await;
    assert_eq!(granted.accepted.active_nodes.len(), NODES);
    assert!(granted.accepted.missing.is_empty());
    let path = format!("/keys/{}", granted.id);
    let withdrawn: api::Accepted = admin(&fleet.nodes[2], Method::DELETE, &path, &()).await;
    assert_eq!(withdrawn.active_nodes.len(), NODES);
    let text = "customer = \"studio\"\nprofile = \"buffer\"\n".to_owned();
    let seen_version = Some(withdrawn.version);
    let apply = api::ApplyContract { source: "studio.toml".to_owned(), text, seen_version };
    let body = serde_json::to_vec(&apply).unwrap();
    let headers = [
        ("authorization", &*format!("Bearer {}", cell::OPERATOR_KEY)),
        ("content-type", "application/json"),
    ];
    let path = format!("{}/contracts", api::PREFIX);
    let send = |index: usize| {
        let address = fleet.nodes[index].admin_address;
        call(address, Method::POST, &path, &headers, body.clone())
    };
    let (first, second) = tokio::join!(send(0), send(1));
    let answers = [first.unwrap(), second.unwrap()];
    assert_eq!(answers.iter().filter(|answer| answer.status.is_success()).count(), 1);
    let lost = answers.iter().find(|answer| !answer.status.is_success()).unwrap();
    let detail = String::from_utf8_lossy(&lost.body).into_owned();
    assert!(detail.contains("by the operator of the settings changed contract/studio"), "{detail}");
}
