//! Calls of an operator to a node under test.

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

/// Calls the operators' interface and returns the response, whatever its status.
pub async fn admin_response(
    node: &Node,
    method: Method,
    path: &str,
    body: &impl Serialize,
) -> Response {
    let headers = [
        ("authorization", &*format!("Bearer {OPERATOR_KEY}")),
        ("content-type", "application/json"),
    ];
    let path = format!("{}{path}", api::PREFIX);
    let body = serde_json::to_vec(body).unwrap();
    call(node.admin_address, method, &path, &headers, body).await.unwrap()
}

/// Calls the operators' interface and fails the test unless the call succeeds.
pub async fn admin<T: DeserializeOwned>(
    node: &Node,
    method: Method,
    path: &str,
    body: &impl Serialize,
) -> T {
    let response = admin_response(node, method, path, body).await;
    assert_eq!(response.status, StatusCode::OK, "{:?}", response.body);
    serde_json::from_slice(&response.body).unwrap()
}
