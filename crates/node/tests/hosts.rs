//! Tests that drain, move, reboot and return hosts while requests run on them.

#[path = "common/operator.rs"]
mod operator;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use gateway::GatewaySettings;
use http::Method;
use http::StatusCode;
use membership::MemberEntry;
use model::HostState;
use model::TeamRef;
use model::WaveState;
use model::key::KeyHolder;
use model::key::hash_key;
use node::Node;
use node::Peering;
use node::Platform;
use node::Settings;
use node::Transport;
use node::api;
use rstest::rstest;
use services::FleetHost;
use services::FleetHostState;
use standin::backend::StandinBackend;
use standin::caller::call;
use standin::fleet::FleetFaults;
use standin::fleet::StandinFleet;
use wire::MemoryNetwork;

use self::operator::ANY_PORT;
use self::operator::OPERATOR_KEY;
use self::operator::admin;
use self::operator::admin_response;

fn settings(name: &str, node_count: u32, peering: Option<Peering>) -> Settings {
    Settings {
        node: name.into(),
        zone: "a".into(),
        caller_address: ANY_PORT,
        admin_address: ANY_PORT,
        operator_key_hash: Some(hash_key(OPERATOR_KEY)),
        peering,
        node_count,
        poll_interval: Duration::from_millis(40),
        metrics_address: None,
        gateway: GatewaySettings {
            connect_timeout: Duration::from_secs(5),
            request_timeout: Duration::from_secs(30),
            body_max_bytes: 1 << 30,
            ..GatewaySettings::default()
        },
    }
}

fn contract(backends: &[SocketAddr]) -> String {
    let mut text = r#"
customer = "levy"
profile = "share"
[[services]]
name = "validate"
unavailable_max = 1
[[queues]]
name = "levy-validate"
service = "validate"
teams = ["officers"]
[[teams]]
name = "officers"
running_max = 40
[[pools]]
name = "levy-validate"
service = "validate"
[[pools]]
name = "levy-spare"
"#
    .to_owned();
    for (index, backend) in backends.iter().enumerate() {
        text.push_str(&format!(
            r#"
[[hosts]]
name = "w{index}"
pool = "levy-validate"
address = "{backend}"
zone = "a"
rack = "r{index}"
slots = 8
connections_max = 64
processors = 16
memory_mib = 32768
"#
        ));
    }
    text
}

async fn host(node: &Node, id: &str) -> api::HostView {
    let hosts: Vec<api::HostView> = admin(node, Method::GET, "/hosts", &()).await;
    hosts.into_iter().find(|host| &*host.id == id).unwrap()
}

async fn wait_for(node: &Node, id: &str, has_expected_state: impl Fn(&api::HostView) -> bool) {
    for _ in 0..500 {
        if has_expected_state(&host(node, id).await) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the host did not reach the expected state: {:?}", host(node, id).await);
}

async fn wait_until_served(node: &Node, key: &api::GrantedKey) {
    let authorization = format!("Bearer {}", key.secret);
    let mut last = String::new();
    for _ in 0..500 {
        let headers = [("authorization", &*authorization)];
        let path = "/q/levy-validate/x";
        let response = call(node.caller_address, Method::POST, path, &headers, "x").await.unwrap();
        if response.outcome() == "complete" {
            return;
        }
        last = format!("{} {:?}", response.status, response.body);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the node serves no request: {last}");
}

/// Waits until a node holds the maintenance duty of the pool.
async fn wait_until_duty_is_held(platform: &Platform) {
    for _ in 0..500 {
        if platform.table.get("duty/maintenance/levy-validate").await.unwrap().is_some() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("no node acquired the maintenance duty");
}

async fn wait_until_configured(node: &Node) {
    for _ in 0..500 {
        let hosts: Vec<api::HostView> = admin(node, Method::GET, "/hosts", &()).await;
        if !hosts.is_empty() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the node received no configuration");
}

async fn start(nodes: u32) -> Vec<Node> {
    start_on(nodes, Platform::embedded(), false).await.0
}

/// Returns the peering settings of nodes that share an in-memory network.
fn peerings(nodes: u32) -> Vec<Peering> {
    let network = MemoryNetwork::default();
    let member = |index: u32| MemberEntry {
        node: format!("n{index}").into(),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1 + index as u16)),
    };
    let members: Vec<MemberEntry> = (0..nodes).map(member).collect();
    let peering = |entry: &MemberEntry| Peering {
        listen: entry.peer_address,
        members: members.clone(),
        cluster: "test".to_owned(),
        secret: "secret-of-the-test-cluster".to_owned(),
        ttl: Duration::from_millis(1_500),
        heartbeat_interval: Duration::from_millis(50),
        transport: Transport::Memory(network.clone()),
    };
    members.iter().map(peering).collect()
}

async fn start_on(nodes: u32, platform: Platform, has_peers: bool) -> (Vec<Node>, Vec<SocketAddr>) {
    let mut backends = Vec::new();
    for _ in 0..3 {
        let served = standin::backend::serve(Arc::new(StandinBackend::default()), ANY_PORT).await;
        backends.push(served.unwrap().0);
    }
    let mut started = Vec::new();
    let peerings = peerings(nodes);
    for index in 0..nodes {
        let name = format!("n{index}");
        let settings = match has_peers {
            true => settings(&name, 1, Some(peerings[index as usize].clone())),
            false => settings(&name, nodes, None),
        };
        started.push(Node::start(settings, platform.clone()).await.unwrap());
    }
    let apply = api::ApplyContract {
        source: "levy.toml".to_owned(),
        text: contract(&backends),
        seen_version: None,
    };
    let _: api::Accepted = admin(&started[0], Method::POST, "/contracts", &apply).await;
    (started, backends)
}

async fn stop(nodes: Vec<Node>) {
    for node in nodes {
        assert!(node.stop(Duration::ZERO, Duration::from_secs(30)).await.is_graceful);
    }
}

#[rstest]
#[tokio::test]
async fn move_waits_for_running_requests_of_all_nodes_and_the_budget_rejects_another_drain(
    #[values(false, true)] has_peers: bool,
    #[values(0, 1)] busy_node: usize,
) {
    let platform = Platform::embedded();
    let (nodes, _) = start_on(2, platform.clone(), has_peers).await;
    let holder = KeyHolder::Team(TeamRef::new("levy", "officers"));
    let key: api::GrantedKey =
        admin(&nodes[0], Method::POST, "/keys", &api::GrantKey { holder }).await;
    wait_until_configured(&nodes[busy_node]).await;
    wait_until_served(&nodes[busy_node], &key).await;
    wait_until_duty_is_held(&platform).await;
    // Two requests are few enough that the node has the tokens itself and forwards none.
    let mut requests = Vec::new();
    for _ in 0..2 {
        let address = nodes[busy_node].caller_address;
        let authorization = format!("Bearer {}", key.secret);
        requests.push(tokio::spawn(async move {
            let headers = [("authorization", &*authorization), ("standin-delay-ms", "4000")];
            call(address, Method::POST, "/q/levy-validate/x", &headers, "x").await.unwrap()
        }));
    }
    let (hosts, moving_host) = wait_until_running(&nodes[busy_node]).await;
    let other =
        hosts.iter().find(|host| host.id != moving_host).expect("there are three hosts").id.clone();
    let running_at_other = host(&nodes[1 - busy_node], &moving_host).await.running;
    assert_eq!(running_at_other, 0, "only one node runs requests there");

    let move_to_spare = api::MoveHost { pool: "levy-spare".into() };
    let _: api::Accepted =
        admin(&nodes[0], Method::POST, &format!("/hosts/{moving_host}/move"), &move_to_spare).await;
    let refused =
        admin_response(&nodes[0], Method::POST, &format!("/hosts/{other}/drain"), &()).await;
    assert_eq!(refused.status, StatusCode::UNPROCESSABLE_ENTITY);
    let detail = serde_json::from_slice::<api::Problem>(&refused.body).unwrap().detail;
    assert!(
        detail.contains("service `validate`")
            && detail.contains(&format!("{moving_host} (draining)")),
        "{detail}"
    );
    assert!(detail.contains("may be free in about"), "{detail}");

    tokio::time::sleep(Duration::from_millis(300)).await;
    let moving = host(&nodes[0], &moving_host).await;
    assert_eq!((moving.state, &*moving.pool), (HostState::Draining, "levy-validate"));
    for request in requests {
        assert_eq!(request.await.unwrap().outcome(), "complete");
    }
    wait_for(&nodes[0], &moving_host, |host| {
        &*host.pool == "levy-spare" && host.state.is_schedulable()
    })
    .await;
    let _: api::Accepted =
        admin(&nodes[1], Method::POST, &format!("/hosts/{other}/drain"), &()).await;
    stop(nodes).await;
}

/// Waits until a host runs a request of the node, and returns all hosts and the id of that one.
async fn wait_until_running(node: &Node) -> (Vec<api::HostView>, model::HostId) {
    for _ in 0..1_000 {
        let hosts: Vec<api::HostView> = admin(node, Method::GET, "/hosts", &()).await;
        let busy_host = hosts.iter().find(|host| host.running > 0).map(|host| host.id.clone());
        if let Some(id) = busy_host {
            return (hosts, id);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("no host runs a request of the node");
}

#[tokio::test]
async fn drained_host_gets_no_work_until_it_is_returned() {
    let nodes = start(1).await;
    let _: api::Accepted = admin(&nodes[0], Method::POST, "/hosts/w0/drain", &()).await;
    wait_for(&nodes[0], "w0", |host| host.state == HostState::Drained).await;
    let again = admin_response(&nodes[0], Method::POST, "/hosts/w0/drain", &()).await;
    assert_eq!(again.status, StatusCode::UNPROCESSABLE_ENTITY);
    let _: api::Accepted = admin(&nodes[0], Method::POST, "/hosts/w0/return", &()).await;
    wait_for(&nodes[0], "w0", |host| host.state.is_schedulable()).await;
    stop(nodes).await;
}

#[tokio::test]
async fn concurrent_drains_do_not_exceed_the_availability_budget() {
    let nodes = start(2).await;
    wait_until_configured(&nodes[1]).await;
    let (first, second) = tokio::join!(
        admin_response(&nodes[0], Method::POST, "/hosts/w0/drain", &()),
        admin_response(&nodes[1], Method::POST, "/hosts/w1/drain", &()),
    );
    let accepted =
        [first, second].iter().filter(|response| response.status == StatusCode::OK).count();
    assert_eq!(accepted, 1);
    stop(nodes).await;
}

#[tokio::test]
async fn wave_reboots_each_host_once_despite_lost_replies_and_racing_nodes() {
    let fleet = Arc::new(StandinFleet::default());
    let platform = Platform { fleet: fleet.clone(), ..Platform::embedded() };
    let (nodes, backends) = start_on(2, platform, false).await;
    wait_until_configured(&nodes[1]).await;
    let listed = backends.iter().enumerate().map(|(index, address)| FleetHost {
        id: format!("w{index}").into(),
        address: *address,
        boot_count: 7,
        state: FleetHostState::Live,
        seen_at: SystemTime::now(),
    });
    fleet.set_hosts(listed.collect());
    fleet.set_faults(FleetFaults { reboot_ms: 100, lose_replies: 4, ..FleetFaults::default() });

    let _: api::Accepted = admin(&nodes[0], Method::POST, "/waves/levy-validate/plan", &()).await;
    let _: api::Accepted = admin(&nodes[1], Method::POST, "/waves/levy-validate/start", &()).await;
    let mut last = Vec::new();
    for _ in 0..1_000 {
        last = admin::<Vec<api::WaveView>>(&nodes[0], Method::GET, "/waves", &()).await;
        if last[0].state == WaveState::Done {
            break;
        }
        let hosts: Vec<api::HostView> = admin(&nodes[0], Method::GET, "/hosts", &()).await;
        let unavailable_count = hosts.iter().filter(|host| !host.state.is_schedulable()).count();
        assert!(unavailable_count <= 1, "{hosts:?}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!((&last[0].state, last[0].done), (&WaveState::Done, 3), "{last:?}");
    let mut rebooted: Vec<_> = fleet.reboots().iter().map(|reboot| reboot.host.clone()).collect();
    rebooted.sort();
    assert_eq!(rebooted, ["w0".into(), "w1".into(), "w2".into()]);
    stop(nodes).await;
}
