//! Calls of an operator to a node of a test.

use std::net::SocketAddr;

use http::Method;
use http::StatusCode;
use node::Node;
use node::api;
use serde::Serialize;
use serde::de::DeserializeOwned;
use standin::caller::Response;
use standin::caller::call;

pub const OPERATOR_KEY: &str = "operator-key-of-the-test";
pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Calls the operators' interface; any answer will do.
pub async fn admin_raw(node: &Node, method: Method, path: &str, body: &impl Serialize) -> Response {
    let headers = [
        ("authorization", &*format!("Bearer {OPERATOR_KEY}")),
        ("content-type", "application/json"),
    ];
    let path = format!("{}{path}", api::PREFIX);
    let body = serde_json::to_vec(body).unwrap();
    call(node.admin_address, method, &path, &headers, body).await.unwrap()
}

/// Calls the operators' interface and demands that it accepts.
pub async fn admin<T: DeserializeOwned>(
    node: &Node,
    method: Method,
    path: &str,
    body: &impl Serialize,
) -> T {
    let answer = admin_raw(node, method, path, body).await;
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    serde_json::from_slice(&answer.body).unwrap()
}
