//! Tests node processes: one is suspended beyond its lease and continued, one is killed, and one
//! gets SIGHUP.

use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use membership::MemberRow;
use services::Table;
use standin::caller::call;
use standin::platform_server::StandinPlatform;
use tokio::time::Instant;
use tokio::time::sleep;

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const NODES: usize = 3;
const OPERATOR_KEY: &str = "operator-key-of-the-test";
/// Duration of a membership lease, in milliseconds.
const TTL_MS: &str = "2000";
/// Longest time that a test waits for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Node process; killed when dropped.
struct NodeProcess {
    child: Child,
    caller_address: SocketAddr,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Fails if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Cluster {
    platform: Arc<StandinPlatform>,
    platform_address: SocketAddr,
    peers: Vec<SocketAddr>,
}

impl Cluster {
    fn start(&self, index: usize) -> NodeProcess {
        let caller_address = free_address();
        let peers: Vec<String> =
            self.peers.iter().enumerate().map(|(i, address)| format!("n{i}={address}")).collect();
        let child = Command::new(env!("CARGO_BIN_EXE_savorypitch"))
            .arg("serve")
            .args(["--node-id", &format!("n{index}")])
            .args(["--listen", &caller_address.to_string()])
            .args(["--admin-listen", &free_address().to_string()])
            .args(["--platform", &self.platform_address.to_string()])
            .args(["--peer-listen", &self.peers[index].to_string()])
            .args(["--peers", &peers.join(",")])
            .args(["--member-ttl-ms", TTL_MS, "--heartbeat-interval-ms", "200"])
            .env("SAVORYPITCH_CLUSTER_SECRET", "secret-of-the-test-cluster")
            .env("SAVORYPITCH_OPERATOR_KEY", OPERATOR_KEY)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        NodeProcess { child, caller_address }
    }

    async fn read_member_row(&self, index: usize) -> MemberRow {
        let row = self.platform.table.get(&format!("member/node/n{index}")).await.unwrap();
        serde_json::from_slice(&row.unwrap().value).unwrap()
    }
}

/// Returns a free address on which a node can listen again after a restart. Outgoing connections
/// come from 127.0.0.1, so none of them takes its port in the meantime.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let own_ip = [127, high | 1, low, NEXT.fetch_add(1, Ordering::Relaxed)];
    std::net::TcpListener::bind(SocketAddr::from((own_ip, 0))).unwrap().local_addr().unwrap()
}

fn signal(process: &NodeProcess, name: &str) {
    let pid = process.child.id().to_string();
    assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
}

/// Returns the readiness status of a node, or why the node does not respond.
async fn try_get_readiness(address: SocketAddr) -> Result<StatusCode, String> {
    let response = call(address, Method::GET, "/readyz", &[], "").await;
    response.map(|response| response.status).map_err(|error| format!("{error:?}"))
}

/// Returns the readiness status of a node; `None` if the node does not respond.
async fn get_readiness(address: SocketAddr) -> Option<StatusCode> {
    try_get_readiness(address).await.ok()
}

async fn wait_until<F: Future<Output = bool>>(what: &str, mut check: impl FnMut() -> F) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !check().await {
        assert!(Instant::now() < deadline, "not within {WAIT_TIMEOUT:?}: {what}");
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn suspended_and_killed_nodes_are_taken_over_and_return_as_new_incarnations() {
    let platform = Arc::new(StandinPlatform::default());
    let platform_server =
        standin::platform_server::serve(platform.clone(), ANY_PORT).await.unwrap();
    let peers = (0..NODES).map(|_| free_address()).collect();
    let cluster = Cluster { platform, platform_address: platform_server.0, peers };
    let mut nodes: Vec<NodeProcess> = (0..NODES).map(|index| cluster.start(index)).collect();
    accept_contract(&cluster).await;
    for node in &nodes {
        let ready = || async { get_readiness(node.caller_address).await == Some(StatusCode::OK) };
        wait_until("the node is ready", ready).await;
    }

    let suspended = cluster.read_member_row(0).await.incarnation;
    signal(&nodes[0], "-STOP");
    wait_until("the suspended incarnation is taken over", || async {
        cluster.read_member_row(0).await.takeover_up_to >= suspended
    })
    .await;
    // Sent while the node is suspended: the node responds before it has had contact with any peer.
    let readiness_request = tokio::spawn(try_get_readiness(nodes[0].caller_address));
    sleep(Duration::from_millis(200)).await;
    signal(&nodes[0], "-CONT");
    assert_eq!(readiness_request.await.unwrap(), Ok(StatusCode::SERVICE_UNAVAILABLE));
    wait_until("the continued node is ready as a new incarnation", || async {
        let is_ready = get_readiness(nodes[0].caller_address).await == Some(StatusCode::OK);
        is_ready && cluster.read_member_row(0).await.incarnation > suspended
    })
    .await;

    let killed = cluster.read_member_row(1).await.incarnation;
    nodes[1].child.kill().unwrap();
    wait_until("the killed incarnation is taken over", || async {
        cluster.read_member_row(1).await.takeover_up_to >= killed
    })
    .await;
    nodes[1] = cluster.start(1);
    wait_until("the killed node is ready again", || async {
        get_readiness(nodes[1].caller_address).await == Some(StatusCode::OK)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sighup_does_not_stop_a_node() {
    let platform = Arc::new(StandinPlatform::default());
    let platform_server =
        standin::platform_server::serve(platform.clone(), ANY_PORT).await.unwrap();
    let cluster =
        Cluster { platform, platform_address: platform_server.0, peers: vec![free_address()] };
    let mut node = cluster.start(0);
    accept_contract(&cluster).await;
    let ready = || async { get_readiness(node.caller_address).await == Some(StatusCode::OK) };
    wait_until("the node is ready", ready).await;
    signal(&node, "-HUP");
    sleep(Duration::from_millis(300)).await;
    assert_eq!(node.child.try_wait().unwrap(), None, "the node still runs");
    assert_eq!(get_readiness(node.caller_address).await, Some(StatusCode::OK));
}

/// Writes a contract to the table, as a node does that accepts it from an operator.
async fn accept_contract(cluster: &Cluster) {
    let text = "customer = \"levy\"\nprofile = \"share\"\n";
    let contract = model::contract::parse_contract("levy.toml", text).unwrap();
    let writer = control::ConfigWriter::new("test");
    writer.apply_contract(&cluster.platform.table, contract, None).await.unwrap();
}
