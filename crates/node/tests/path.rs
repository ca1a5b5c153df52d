//! Tests the path of a request from the contract and the key to the backend server, and the
//! withdrawal of the key.

#[path = "common/operator.rs"]
mod operator;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gateway::GatewaySettings;
use http::Method;
use http::StatusCode;
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

use self::operator::ANY_PORT;
use self::operator::OPERATOR_KEY;
use self::operator::admin;

fn settings() -> Settings {
    Settings {
        node: "n1".into(),
        zone: "a".into(),
        caller_address: ANY_PORT,
        admin_address: ANY_PORT,
        operator_key_hash: Some(hash_key(OPERATOR_KEY)),
        peering: None,
        node_count: 1,
        poll_interval: Duration::from_millis(50),
        metrics_address: None,
        gateway: GatewaySettings {
            connect_timeout: Duration::from_secs(5),
            request_timeout: Duration::from_secs(30),
            body_max_bytes: 1 << 30,
            ..GatewaySettings::default()
        },
    }
}

fn contract(backend: SocketAddr) -> String {
    format!(
        r#"
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
running_max = 4
[[teams]]
name = "verifiers"
running_max = 4
[[pools]]
name = "levy-validate"
service = "validate"
[[hosts]]
name = "w1"
pool = "levy-validate"
address = "{backend}"
zone = "a"
rack = "r1"
slots = 8
connections_max = 64
processors = 16
memory_mib = 32768
"#
    )
}

async fn grant(node: &Node, team: &str) -> api::GrantedKey {
    let holder = KeyHolder::Team(TeamRef::new("levy", team));
    admin(node, Method::POST, "/keys", &api::GrantKey { holder }).await
}

async fn send(node: &Node, queue: &str, secret: &str) -> Response {
    let headers = [("authorization", &*format!("Bearer {secret}"))];
    let path = format!("/q/{queue}/consignments/7?year=2026");
    call(node.caller_address, Method::POST, &path, &headers, "steel").await.unwrap()
}

#[tokio::test]
async fn request_reaches_the_backend_server_until_its_key_is_withdrawn() {
    let backend = Arc::new(StandinBackend::default());
    let (backend_address, _) = standin::backend::serve(backend, ANY_PORT).await.unwrap();
    let node = Node::start(settings(), Platform::embedded()).await.unwrap();
    let apply = api::ApplyContract {
        source: "levy.toml".to_owned(),
        text: contract(backend_address),
        seen_version: None,
    };
    let accepted: api::Accepted = admin(&node, Method::POST, "/contracts", &apply).await;
    assert_eq!(accepted.version, 1);

    let officers = grant(&node, "officers").await;
    let response = send(&node, "levy-validate", &officers.secret).await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.outcome(), "complete");
    assert_eq!(response.body, "steel");
    assert_eq!(response.header("savorypitch-request-id").len(), 32);

    let verifiers = grant(&node, "verifiers").await;
    let response = send(&node, "levy-validate", &verifiers.secret).await;
    assert_eq!(response.status, StatusCode::FORBIDDEN);
    assert_eq!(response.outcome(), "not-run");
    let response = send(&node, "levy-nothing", &officers.secret).await;
    assert_eq!(response.status, StatusCode::NOT_FOUND);

    let path = format!("/keys/{}", officers.id);
    let _: api::Accepted = admin(&node, Method::DELETE, &path, &()).await;
    let response = send(&node, "levy-validate", &officers.secret).await;
    assert_eq!(response.status, StatusCode::UNAUTHORIZED);

    let stopped = node.stop(Duration::ZERO, Duration::from_secs(30)).await;
    assert!(stopped.is_graceful);
}
