//! A node without tokens sends a request once to a node that has some.

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
async fn request_goes_to_the_peer_with_tokens_once() {
    let (backend, config) = start().await;
    let without_tokens = TestNode::start(&config, 0, SECRET).await;
    let with_tokens = TestNode::start(&config, 4, SECRET).await;
    let also_without_tokens = TestNode::start(&config, 0, SECRET).await;
    without_tokens.set_peers(&[&also_without_tokens, &with_tokens]);
    // Were it sent on again, it would come back here.
    also_without_tokens.set_peers(&[&without_tokens]);
    let answer = without_tokens.send("forwarded", "").await;
    assert_eq!((answer.status, answer.outcome()), (StatusCode::OK, "complete"));
    assert_eq!((without_tokens.forwarded_count(), also_without_tokens.forwarded_count()), (2, 0));
    assert_eq!(backend.runs_of("forwarded"), 1);

    // A body that has been sent cannot be sent again, so the refusal of the first peer stands.
    let answer = without_tokens.send("body", "steel").await;
    assert_eq!((answer.status, answer.outcome()), (StatusCode::SERVICE_UNAVAILABLE, "not-run"));
    without_tokens.set_peers(&[&with_tokens]);
    let answer = without_tokens.send("body", "steel").await;
    assert_eq!((answer.outcome(), &*answer.body), ("complete", &b"steel"[..]));
    assert_eq!(backend.runs_of("body"), 1);
    assert!(answer.header("savorypitch-request-id").len() == 32);
}

#[tokio::test]
async fn mark_of_another_cluster_is_not_believed() {
    let (backend, config) = start().await;
    let stranger = TestNode::start(&config, 0, [1; 32]).await;
    let without_tokens = TestNode::start(&config, 0, SECRET).await;
    let with_tokens = TestNode::start(&config, 4, SECRET).await;
    stranger.set_peers(&[&without_tokens]);
    without_tokens.set_peers(&[&with_tokens]);
    let answer = stranger.send("stranger", "").await;
    assert_eq!(answer.outcome(), "complete");
    assert_eq!(
        without_tokens.forwarded_count(),
        1,
        "to this node it is a caller's request like any other"
    );
    assert_eq!(backend.runs_of("stranger"), 1);
}

#[tokio::test]
async fn peer_that_is_gone_is_passed_over_and_one_that_is_cut_is_unknown() {
    let (backend, config) = start().await;
    let without_tokens = TestNode::start(&config, 0, SECRET).await;
    let gone = TestNode::start(&config, 4, SECRET).await;
    let with_tokens = TestNode::start(&config, 4, SECRET).await;
    without_tokens.set_peers(&[&gone, &with_tokens]);
    let address = gone.server.address;
    gone.server.stop(Duration::ZERO).await;
    assert!(tokio::net::TcpStream::connect(address).await.is_err());
    let answer = without_tokens.send("passed", "steel").await;
    assert_eq!(answer.outcome(), "complete");
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
    let spare_peer = Peer { node: "spare".into(), address: with_tokens.server.address };
    *without_tokens.context.peers.lock().unwrap() = vec![cutting_peer, spare_peer];
    let answer = without_tokens.send("cut", "steel").await;
    assert_eq!((answer.status, answer.outcome()), (StatusCode::BAD_GATEWAY, "unknown"));
    assert_eq!(backend.runs_of("cut"), 0, "nobody may try it again");
}
