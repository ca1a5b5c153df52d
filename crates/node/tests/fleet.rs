//! Tests of several nodes that share limits through one platform, under skewed load and faults of
//! the table.

#[path = "common/cluster.rs"]
mod cluster;

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

use crate::cluster::ClusterOptions;
use crate::cluster::QUEUE;
use crate::cluster::admin;
use crate::cluster::contract;
use crate::cluster::grant;
use crate::cluster::settings;

const NODES: usize = 3;
const SLOTS: u32 = 4;
const LIMIT: u32 = 6;
/// Tokens that must move to the node that gets all the load; more than its equal part.
const MOVED_TOKENS: u32 = LIMIT / 2;
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Longest time that a test waits for anything.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

struct Fleet {
    platform: Arc<StandinPlatform>,
    platform_address: SocketAddr,
    backends: Vec<Arc<StandinBackend>>,
    network: MemoryNetwork,
    members: Vec<MemberEntry>,
    nodes: Vec<Node>,
    secret: String,
}

fn options() -> ClusterOptions {
    ClusterOptions {
        slots: SLOTS,
        running_max: LIMIT,
        wait_max_ms: 500,
        ..ClusterOptions::default()
    }
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
            text: contract(&options(), &addresses),
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
        let mut settings =
            Settings { peering: Some(peering), ..settings(&options(), index as u32) };
        settings.gateway.cluster_secret = Some([7; 32]);
        let platform = Platform::remote(self.platform_address, Duration::from_millis(500));
        Node::start(settings, platform).await.unwrap()
    }

    /// Returns the number of requests that are running at all backend servers.
    fn running(&self) -> usize {
        self.backends.iter().map(|backend| backend.stats().running.len()).sum()
    }

    /// Sends requests to one node until `end` is ready, and returns how many were completed. Fails
    /// if more requests run at a time than the limit allows.
    async fn load(&self, index: usize, end: impl Future<Output = ()>) -> usize {
        let complete = Arc::new(AtomicUsize::new(0));
        let is_stopped = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        for _ in 0..2 * LIMIT {
            let (address, secret) = (self.nodes[index].caller_address, self.secret.clone());
            let (complete, is_stopped) = (complete.clone(), is_stopped.clone());
            callers.spawn(async move {
                let authorization = format!("Bearer {secret}");
                let headers = [("authorization", &*authorization), ("standin-delay-ms", "40")];
                let path = format!("/q/{QUEUE}/x");
                while !is_stopped.load(Ordering::Relaxed) {
                    let response = call(address, Method::POST, &path, &headers, "x").await.unwrap();
                    match response.outcome() {
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
        let check_limit = async {
            loop {
                let running = self.running();
                assert!(running <= LIMIT as usize, "{running} requests are running");
                tokio::time::sleep(Duration::from_millis(3)).await;
            }
        };
        tokio::select! {
            () = check_limit => {}
            () = end => {}
        }
        is_stopped.store(true, Ordering::Relaxed);
        while let Some(ended) = callers.join_next().await {
            ended.unwrap();
        }
        complete.load(Ordering::Relaxed)
    }

    async fn wait_for_tokens(&self, index: usize, count: u32) {
        let has_tokens = async {
            loop {
                let teams: Vec<api::TeamView> =
                    admin(&self.nodes[index], Method::GET, "/teams", &()).await;
                if teams[0].granted >= count {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, has_tokens)
            .await
            .expect("the node gets the tokens in time");
    }

    /// Checks that no backend server ever ran more requests than it has slots.
    fn check_slots(&self) {
        for backend in &self.backends {
            let stats = backend.stats();
            assert!(stats.running_peak <= SLOTS as usize, "{} ran", stats.running_peak);
            assert!(stats.connections_peak <= 64, "{} connections", stats.connections_peak);
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limits_hold_under_skewed_load_and_faults_of_the_table() {
    let mut fleet = Fleet::start().await;
    let second = || tokio::time::sleep(Duration::from_secs(1));
    for index in [0, 2] {
        // The tokens may arrive at once; the extra second lets requests complete.
        let moved = async {
            fleet.wait_for_tokens(index, MOVED_TOKENS).await;
            second().await;
        };
        assert!(fleet.load(index, moved).await > 0);
        assert!(fleet.load(index, second()).await > 0);
    }
    fleet.platform.set_faults(PlatformFaults { is_down: true, ..PlatformFaults::default() });
    assert!(fleet.load(2, second()).await > 0);
    // Node 1 forwards the requests for which it has no tokens.
    assert!(fleet.load(1, second()).await > 0);
    fleet.platform.set_faults(PlatformFaults {
        delay_ms: 150,
        lose_replies: 6,
        ..PlatformFaults::default()
    });
    assert!(fleet.load(0, second()).await > 0);
    fleet.platform.set_faults(PlatformFaults::default());

    // A stopping node releases its tokens, and its next incarnation starts without any.
    let stopped = fleet.nodes.remove(0).stop(Duration::ZERO, TEST_TIMEOUT).await;
    assert!(stopped.is_graceful);
    let node = fleet.start_node(0).await;
    fleet.nodes.insert(0, node);
    let moved = async {
        fleet.wait_for_tokens(0, MOVED_TOKENS).await;
        second().await;
    };
    assert!(fleet.load(0, moved).await > 0);
    fleet.check_slots();
}

#[tokio::test]
async fn change_is_active_on_all_nodes_and_the_loser_of_a_race_gets_a_conflict() {
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
        ("authorization", &*format!("Bearer {}", cluster::OPERATOR_KEY)),
        ("content-type", "application/json"),
    ];
    let path = format!("{}/contracts", api::PREFIX);
    let send = |index: usize| {
        let address = fleet.nodes[index].admin_address;
        call(address, Method::POST, &path, &headers, body.clone())
    };
    let (first, second) = tokio::join!(send(0), send(1));
    let responses = [first.unwrap(), second.unwrap()];
    assert_eq!(responses.iter().filter(|response| response.status.is_success()).count(), 1);
    let rejected = responses.iter().find(|response| !response.status.is_success()).unwrap();
    let detail = String::from_utf8_lossy(&rejected.body).into_owned();
    assert!(detail.contains("by the operator of the settings changed contract/studio"), "{detail}");
}
