//! Tests the forwarding of requests from a node without tokens to a node with spare tokens.

#[path = "common/node.rs"]
mod node;

use std::time::Duration;

use gateway::Peer;
use http::StatusCode;

use crate::node::ANY_PORT;
use crate::node::SECRET;
use crate::node::TestNode;
use crate::node::start;

#[tokio::test]
async fn request_is_forwarded_once_to_the_peer_with_tokens() {
    let (backend, config) = start().await;
    let empty_node = TestNode::start(&config, 0, SECRET).await;
    let spare_node = TestNode::start(&config, 4, SECRET).await;
    let second_empty_node = TestNode::start(&config, 0, SECRET).await;
    empty_node.set_peers(&[&second_empty_node, &spare_node]);
    // If the request were forwarded a second time, it would return to the first node.
    second_empty_node.set_peers(&[&empty_node]);
    let response = empty_node.send("forwarded", "").await;
    assert_eq!((response.status, response.outcome()), (StatusCode::OK, "complete"));
    assert_eq!((empty_node.forwarded_count(), second_empty_node.forwarded_count()), (2, 0));
    assert_eq!(backend.runs_of("forwarded"), 1);

    // A streamed body cannot be sent again, so the caller gets the refusal of the first peer.
    let response = empty_node.send("body", "steel").await;
    assert_eq!((response.status, response.outcome()), (StatusCode::SERVICE_UNAVAILABLE, "not-run"));
    empty_node.set_peers(&[&spare_node]);
    let response = empty_node.send("body", "steel").await;
    assert_eq!((response.outcome(), &*response.body), ("complete", &b"steel"[..]));
    assert_eq!(backend.runs_of("body"), 1);
    assert!(response.header("savorypitch-request-id").len() == 32);
}

#[tokio::test]
async fn forward_marker_of_another_cluster_is_ignored() {
    let (backend, config) = start().await;
    let other_cluster = TestNode::start(&config, 0, [1; 32]).await;
    let empty_node = TestNode::start(&config, 0, SECRET).await;
    let spare_node = TestNode::start(&config, 4, SECRET).await;
    other_cluster.set_peers(&[&empty_node]);
    empty_node.set_peers(&[&spare_node]);
    let response = other_cluster.send("stranger", "").await;
    assert_eq!(response.outcome(), "complete");
    assert_eq!(
        empty_node.forwarded_count(),
        1,
        "a request with a marker of another cluster is treated as a caller's and forwarded"
    );
    assert_eq!(backend.runs_of("stranger"), 1);
}

#[tokio::test]
async fn closed_peer_is_skipped_and_cut_connection_is_unknown() {
    let (backend, config) = start().await;
    let empty_node = TestNode::start(&config, 0, SECRET).await;
    let closed = TestNode::start(&config, 4, SECRET).await;
    let spare_node = TestNode::start(&config, 4, SECRET).await;
    empty_node.set_peers(&[&closed, &spare_node]);
    let address = closed.server.address;
    closed.server.stop(Duration::ZERO).await;
    assert!(tokio::net::TcpStream::connect(address).await.is_err());
    let response = empty_node.send("passed", "steel").await;
    assert_eq!(response.outcome(), "complete");
    assert_eq!(backend.runs_of("passed"), 1);

    let listener = tokio::net::TcpListener::bind(ANY_PORT).await.unwrap();
    let cutting_address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 64];
            let _ = tokio::io::AsyncReadExt::read(&mut stream, &mut head).await;
        }
    });
    let cutting_peer = Peer { node: "cutter".into(), address: cutting_address };
    let spare_peer = Peer { node: "spare".into(), address: spare_node.server.address };
    *empty_node.context.peers.lock().unwrap() = vec![cutting_peer, spare_peer];
    let response = empty_node.send("cut", "steel").await;
    assert_eq!((response.status, response.outcome()), (StatusCode::BAD_GATEWAY, "unknown"));
    assert_eq!(backend.runs_of("cut"), 0, "a request that may have run is not retried");
}
