//! Several nodes over links in memory and over TCP: silence, cuts, outages of the table, take-over,
//! replacement of all nodes, and a cold start from peers.

#[path = "common/operator.rs"]
mod operator;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gateway::GatewaySettings;
use http::Method;
use http::StatusCode;
use membership::MemberEntry;
use model::key::hash_key;
use node::Node;
use node::Peering;
use node::Platform;
use node::Settings;
use node::Transport;
use node::api;
use standin::caller::call;
use standin::platform_server::PlatformFaults;
use standin::platform_server::StandinPlatform;
use tokio::time::Instant;
use tokio::time::sleep;
use wire::MemoryNetwork;

use self::operator::ANY_PORT;
use self::operator::OPERATOR_KEY;
use self::operator::admin;

const SECRET: &str = "secret-of-the-test-cluster";
const TTL: Duration = Duration::from_millis(2_500);
const HEARTBEAT: Duration = Duration::from_millis(150);
/// Bound on every wait of a test.
const PATIENCE: Duration = Duration::from_secs(30);
const DOWN: PlatformFaults = PlatformFaults { is_down: true, delay_ms: 0, lose_replies: 0 };
const CONTRACT: &str = r#"
customer = "levy"
profile = "share"
"#;

struct Cluster {
    platform: Arc<StandinPlatform>,
    platform_address: SocketAddr,
    network: MemoryNetwork,
    members: Vec<MemberEntry>,
    tcp: bool,
}

impl Cluster {
    async fn new(count: usize, tcp: bool) -> Self {
        let platform = Arc::new(StandinPlatform::default());
        let served = standin::platform_server::serve(platform.clone(), ANY_PORT).await;
        let mut members = Vec::new();
        for index in 0..count {
            let peer_address = free_address();
            members.push(MemberEntry { node: name(index), peer_address });
        }
        let network = MemoryNetwork::default();
        Self { platform, platform_address: served.unwrap().0, network, members, tcp }
    }

    async fn start(&self, index: usize, secret: &str) -> Node {
        let transport = match self.tcp {
            true => Transport::Tcp,
            false => Transport::Memory(self.network.clone()),
        };
        let peering = Peering {
            listen: self.members[index].peer_address,
            members: self.members.clone(),
            cluster: "test".to_owned(),
            secret: secret.to_owned(),
            ttl: TTL,
            heartbeat_interval: HEARTBEAT,
            transport,
        };
        let settings = Settings {
            node: name(index),
            zone: "a".into(),
            caller_address: ANY_PORT,
            admin_address: ANY_PORT,
            operator_key_hash: Some(hash_key(OPERATOR_KEY)),
            peering: Some(peering),
            node_count: 1,
            poll_interval: Duration::from_millis(100),
            metrics_address: None,
            gateway: GatewaySettings {
                connect_timeout: Duration::from_secs(5),
                request_timeout: Duration::from_secs(30),
                body_max_bytes: 1 << 20,
                ..GatewaySettings::default()
            },
        };
        let platform = Platform::remote(self.platform_address, Duration::from_millis(500));
        Node::start(settings, platform).await.unwrap()
    }

    async fn start_all(&self) -> Vec<Node> {
        let mut nodes = Vec::new();
        for index in 0..self.members.len() {
            nodes.push(self.start(index, SECRET).await);
        }
        let apply = api::ApplyContract {
            source: "levy.toml".to_owned(),
            text: CONTRACT.to_owned(),
            seen_version: None,
        };
        let accepted: api::Accepted = admin(&nodes[0], Method::POST, "/contracts", &apply).await;
        assert_eq!(accepted.version, 1);
        for node in &nodes {
            until("all members are alive and ready", || async {
                alive(node).await.len() == nodes.len() && is_ready(node).await
            })
            .await;
        }
        nodes
    }
}

/// A free address that a restarted node can listen on again: no outgoing connection takes its port,
/// since those leave from 127.0.0.1.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let own = [127, high | 1, low, NEXT.fetch_add(1, Ordering::Relaxed)];
    std::net::TcpListener::bind(SocketAddr::from((own, 0))).unwrap().local_addr().unwrap()
}

fn name(index: usize) -> model::NodeId {
    format!("n{index}").into()
}

async fn status(node: &Node) -> api::StatusView {
    admin(node, Method::GET, "/status", &()).await
}

async fn alive(node: &Node) -> Vec<model::NodeId> {
    let members = status(node).await.members;
    members.into_iter().filter(|member| member.is_alive).map(|member| member.node).collect()
}

async fn incarnation(node: &Node, of: &str) -> u64 {
    let members = status(node).await.members;
    members.iter().find(|member| *member.node == *of).map_or(0, |member| member.incarnation)
}

async fn counter(node: &Node, name: &str) -> u64 {
    let name = format!("savorypitch.{name}");
    let metrics = status(node).await.metrics;
    metrics.iter().find(|(held, _)| *held == name).map_or(0, |(_, value)| *value)
}

async fn is_ready(node: &Node) -> bool {
    let answer = call(node.caller_address, Method::GET, "/readyz", &[], "").await.unwrap();
    answer.status == StatusCode::OK
}

async fn until<F: Future<Output = bool>>(what: &str, mut check: impl FnMut() -> F) {
    let deadline = Instant::now() + PATIENCE;
    while !check().await {
        assert!(Instant::now() < deadline, "not within {PATIENCE:?}: {what}");
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn majority_carries_an_outage_of_the_table_and_a_lone_node_fences_itself() {
    let cluster = Cluster::new(3, false).await;
    let nodes = cluster.start_all().await;
    cluster.platform.set_faults(DOWN);
    let outage_ends = Instant::now() + TTL * 2;
    while Instant::now() < outage_ends {
        for node in &nodes {
            assert!(is_ready(node).await, "a node with a majority admits");
        }
        sleep(Duration::from_millis(100)).await;
    }
    let writes = counter(&nodes[0], "member.table_writes").await;
    assert!(writes <= 2, "{writes} writes: a registration and the first list");
    for other in ["n1", "n2"] {
        cluster.network.cut("n0", other);
        cluster.network.cut(other, "n0");
    }
    until("the lone node fences itself", || async { !is_ready(&nodes[0]).await }).await;
    assert!(is_ready(&nodes[1]).await && is_ready(&nodes[2]).await);
    cluster.network.heal();
    until("the node is back", || async { is_ready(&nodes[0]).await }).await;
    assert_eq!(incarnation(&nodes[1], "n0").await, incarnation(&nodes[0], "n0").await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_node_is_taken_over_and_comes_back_as_a_new_run() {
    let cluster = Cluster::new(3, true).await;
    let mut nodes = cluster.start_all().await;
    let failed = nodes.remove(0);
    let first = incarnation(&nodes[0], "n0").await;
    failed.fail().await;
    for node in &nodes {
        until("the failed node is taken over", || async { node.is_member_gone("n0", first) }).await;
    }
    let returned = cluster.start(0, SECRET).await;
    until("the node is back", || async { is_ready(&returned).await }).await;
    let second = incarnation(&returned, "n0").await;
    assert!(second > first);
    assert!(!nodes[0].is_member_gone("n0", second));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn link_cut_one_way_is_redialled_and_nobody_is_marked() {
    let cluster = Cluster::new(3, false).await;
    let nodes = cluster.start_all().await;
    let run = incarnation(&nodes[1], "n0").await;
    cluster.network.cut("n0", "n1");
    until("the silent link is dialled anew", || async { cluster.network.redials("n0", "n1") > 0 })
        .await;
    sleep(TTL * 2).await;
    assert!(is_ready(&nodes[0]).await);
    assert_eq!(incarnation(&nodes[2], "n0").await, run, "one witness of silence marks nobody");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_cut_off_too_long_returns_as_a_new_run() {
    let cluster = Cluster::new(3, false).await;
    let nodes = cluster.start_all().await;
    let first = incarnation(&nodes[1], "n0").await;
    for other in ["n1", "n2"] {
        cluster.network.cut("n0", other);
        cluster.network.cut(other, "n0");
    }
    until("the run is taken over", || async { nodes[1].is_member_gone("n0", first) }).await;
    assert!(!is_ready(&nodes[0]).await, "a run that was taken over admits nothing");
    cluster.network.heal();
    until("the node is back", || async {
        is_ready(&nodes[0]).await && incarnation(&nodes[1], "n0").await > first
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_with_another_secret_is_refused() {
    let cluster = Cluster::new(3, true).await;
    let nodes = [cluster.start(0, SECRET).await, cluster.start(1, SECRET).await];
    let stranger = cluster.start(2, "another-secret-altogether").await;
    until("its messages are refused", || async {
        counter(&nodes[0], "peer.refused.hash").await > 0
    })
    .await;
    assert!(!alive(&nodes[0]).await.contains(&name(2)));
    assert!(!alive(&stranger).await.contains(&name(0)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cold_node_gets_the_configuration_from_its_peers() {
    let cluster = Cluster::new(4, false).await;
    let mut nodes = cluster.start_all().await;
    cluster.platform.set_faults(DOWN);
    let stopped = nodes.remove(3);
    let run = incarnation(&stopped, "n3").await;
    stopped.stop(Duration::ZERO, Duration::from_secs(5)).await;
    until("its goodbye has arrived", || async { nodes[0].is_member_gone("n3", run) }).await;
    let cold = cluster.start(3, SECRET).await;
    until("the cold node is ready", || async { is_ready(&cold).await }).await;
    assert_eq!(status(&cold).await.config_version, 1);
    assert!(counter(&cold, "config.from_peer").await > 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_nodes_are_replaced_one_by_one() {
    let cluster = Cluster::new(3, true).await;
    let mut nodes = cluster.start_all().await;
    for index in 0..3 {
        let old = nodes.remove(0);
        let run = incarnation(&old, &name(index)).await;
        old.stop(Duration::ZERO, Duration::from_secs(5)).await;
        for node in &nodes {
            until("a node that left is gone at once", || async {
                node.is_member_gone(&name(index), run)
            })
            .await;
            assert!(is_ready(node).await);
        }
        let new = cluster.start(index, SECRET).await;
        until("the new run is ready", || async {
            is_ready(&new).await && alive(&new).await.len() == 3
        })
        .await;
        nodes.push(new);
    }
}
