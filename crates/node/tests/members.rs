//! Tests of several nodes over in-memory and TCP links: silent and cut links, outages of the table,
//! takeover, replacement of all nodes, and a cold start from peers.

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
/// Longest time that a test waits for anything.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
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
    uses_tcp: bool,
}

impl Cluster {
    async fn new(count: usize, uses_tcp: bool) -> Self {
        let platform = Arc::new(StandinPlatform::default());
        let served = standin::platform_server::serve(platform.clone(), ANY_PORT).await;
        let mut members = Vec::new();
        for index in 0..count {
            let peer_address = free_address();
            members.push(MemberEntry { node: name(index), peer_address });
        }
        let network = MemoryNetwork::default();
        Self { platform, platform_address: served.unwrap().0, network, members, uses_tcp }
    }

    async fn start(&self, index: usize, secret: &str) -> Node {
        let transport = match self.uses_tcp {
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
            wait_until("all members are alive and ready", || async {
                alive_members(node).await.len() == nodes.len() && is_ready(node).await
            })
            .await;
        }
        nodes
    }
}

/// Returns a free address that a restarted node can listen on again. No outgoing connection can
/// take its port in the meantime, because those use 127.0.0.1.
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

async fn alive_members(node: &Node) -> Vec<model::NodeId> {
    let members = status(node).await.members;
    members.into_iter().filter(|member| member.is_alive).map(|member| member.node).collect()
}

async fn incarnation(node: &Node, member_name: &str) -> u64 {
    let members = status(node).await.members;
    members
        .iter()
        .find(|member| *member.node == *member_name)
        .map_or(0, |member| member.incarnation)
}

async fn counter(node: &Node, name: &str) -> u64 {
    let name = format!("savorypitch.{name}");
    let metrics = status(node).await.metrics;
    metrics.iter().find(|(metric, _)| *metric == name).map_or(0, |(_, value)| *value)
}

async fn is_ready(node: &Node) -> bool {
    let response = call(node.caller_address, Method::GET, "/readyz", &[], "").await.unwrap();
    response.status == StatusCode::OK
}

async fn wait_until<F: Future<Output = bool>>(what: &str, mut check: impl FnMut() -> F) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !check().await {
        assert!(Instant::now() < deadline, "not reached within {TEST_TIMEOUT:?}: {what}");
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn majority_keeps_admitting_during_a_table_outage_and_an_isolated_node_fences_itself() {
    let cluster = Cluster::new(3, false).await;
    let nodes = cluster.start_all().await;
    cluster.platform.set_faults(DOWN);
    let outage_ends = Instant::now() + TTL * 2;
    while Instant::now() < outage_ends {
        for node in &nodes {
            assert!(is_ready(node).await, "a node with a majority admits work");
        }
        sleep(Duration::from_millis(100)).await;
    }
    let writes = counter(&nodes[0], "member.table_writes").await;
    assert!(
        writes <= 2,
        "{writes} writes; expected only the registration and the first member list"
    );
    for other in ["n1", "n2"] {
        cluster.network.cut("n0", other);
        cluster.network.cut(other, "n0");
    }
    wait_until("the isolated node fences itself", || async { !is_ready(&nodes[0]).await }).await;
    assert!(is_ready(&nodes[1]).await && is_ready(&nodes[2]).await);
    cluster.network.heal();
    wait_until("the node is back", || async { is_ready(&nodes[0]).await }).await;
    assert_eq!(incarnation(&nodes[1], "n0").await, incarnation(&nodes[0], "n0").await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_node_is_taken_over_and_returns_as_a_new_incarnation() {
    let cluster = Cluster::new(3, true).await;
    let mut nodes = cluster.start_all().await;
    let failed = nodes.remove(0);
    let first = incarnation(&nodes[0], "n0").await;
    failed.fail().await;
    for node in &nodes {
        wait_until("the takeover of the failed node is allowed", || async {
            node.is_member_gone("n0", first)
        })
        .await;
    }
    let returned = cluster.start(0, SECRET).await;
    wait_until("the node is back", || async { is_ready(&returned).await }).await;
    let second = incarnation(&returned, "n0").await;
    assert!(second > first);
    assert!(!nodes[0].is_member_gone("n0", second));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn link_cut_in_one_direction_is_redialled_and_no_node_is_evicted() {
    let cluster = Cluster::new(3, false).await;
    let nodes = cluster.start_all().await;
    let old_incarnation = incarnation(&nodes[1], "n0").await;
    cluster.network.cut("n0", "n1");
    wait_until("the silent link is redialled", || async {
        cluster.network.redials("n0", "n1") > 0
    })
    .await;
    sleep(TTL * 2).await;
    assert!(is_ready(&nodes[0]).await);
    assert_eq!(
        incarnation(&nodes[2], "n0").await,
        old_incarnation,
        "the silence that a single node sees evicts no node"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_isolated_for_too_long_returns_as_a_new_incarnation() {
    let cluster = Cluster::new(3, false).await;
    let nodes = cluster.start_all().await;
    let first = incarnation(&nodes[1], "n0").await;
    for other in ["n1", "n2"] {
        cluster.network.cut("n0", other);
        cluster.network.cut(other, "n0");
    }
    wait_until("the takeover of the incarnation is allowed", || async {
        nodes[1].is_member_gone("n0", first)
    })
    .await;
    assert!(!is_ready(&nodes[0]).await, "an evicted incarnation admits no work");
    cluster.network.heal();
    wait_until("the node is back", || async {
        is_ready(&nodes[0]).await && incarnation(&nodes[1], "n0").await > first
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn messages_with_another_secret_are_rejected() {
    let cluster = Cluster::new(3, true).await;
    let nodes = [cluster.start(0, SECRET).await, cluster.start(1, SECRET).await];
    let foreign_node = cluster.start(2, "another-secret-altogether").await;
    wait_until("the messages of the foreign node are rejected", || async {
        counter(&nodes[0], "peer.refused.hash").await > 0
    })
    .await;
    assert!(!alive_members(&nodes[0]).await.contains(&name(2)));
    assert!(!alive_members(&foreign_node).await.contains(&name(0)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cold_node_gets_the_configuration_from_its_peers() {
    let cluster = Cluster::new(4, false).await;
    let mut nodes = cluster.start_all().await;
    cluster.platform.set_faults(DOWN);
    let stopped = nodes.remove(3);
    let old_incarnation = incarnation(&stopped, "n3").await;
    stopped.stop(Duration::ZERO, Duration::from_secs(5)).await;
    wait_until("the node has left the cluster", || async {
        nodes[0].is_member_gone("n3", old_incarnation)
    })
    .await;
    let cold = cluster.start(3, SECRET).await;
    wait_until("the cold node is ready", || async { is_ready(&cold).await }).await;
    assert_eq!(status(&cold).await.config_version, 1);
    assert!(counter(&cold, "config.from_peer").await > 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_nodes_are_replaced_one_by_one() {
    let cluster = Cluster::new(3, true).await;
    let mut nodes = cluster.start_all().await;
    for index in 0..3 {
        let old = nodes.remove(0);
        let old_incarnation = incarnation(&old, &name(index)).await;
        old.stop(Duration::ZERO, Duration::from_secs(5)).await;
        for node in &nodes {
            wait_until("the takeover of a node that left is allowed at once", || async {
                node.is_member_gone(&name(index), old_incarnation)
            })
            .await;
            assert!(is_ready(node).await);
        }
        let new = cluster.start(index, SECRET).await;
        wait_until("the new incarnation is ready", || async {
            is_ready(&new).await && alive_members(&new).await.len() == 3
        })
        .await;
        nodes.push(new);
    }
}
