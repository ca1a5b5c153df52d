//! A node without tokens sends a request once to a node that has some.

#[path = "common/entry.rs"]
mod entry;

use std::time::Duration;

use gateway::Peer;
use http::StatusCode;

use crate::entry::ANY_PORT;
use crate::entry::Entry;
use crate::entry::SECRET;
use crate::entry::start;

#[tokio::test]
async fn request_goes_to_the_peer_with_tokens_once() {
    let (backend, config) = start().await;
    let poor = Entry::start(&config, 0, SECRET).await;
    let rich = Entry::start(&config, 4, SECRET).await;
    let also_poor = Entry::start(&config, 0, SECRET).await;
    poor.may_send_to(&[&also_poor, &rich]);
    // Were it sent on again, it would come back here.
    also_poor.may_send_to(&[&poor]);
    let answer = poor.send("forwarded", "").await;
    assert_eq!((answer.status, answer.outcome()), (StatusCode::OK, "complete"));
    assert_eq!((poor.forwards(), also_poor.forwards()), (2, 0));
    assert_eq!(backend.runs_of("forwarded"), 1);

    // A body that has been sent cannot be sent again, so the refusal of the first peer stands.
    let answer = poor.send("body", "steel").await;
    assert_eq!((answer.status, answer.outcome()), (StatusCode::SERVICE_UNAVAILABLE, "not-run"));
    poor.may_send_to(&[&rich]);
    let answer = poor.send("body", "steel").await;
    assert_eq!((answer.outcome(), &*answer.body), ("complete", &b"steel"[..]));
    assert_eq!(backend.runs_of("body"), 1);
    assert!(answer.header("savorypitch-request-id").len() == 32);
}

#[tokio::test]
async fn mark_of_another_cluster_is_not_believed() {
    let (backend, config) = start().await;
    let stranger = Entry::start(&config, 0, [1; 32]).await;
    let poor = Entry::start(&config, 0, SECRET).await;
    let rich = Entry::start(&config, 4, SECRET).await;
    stranger.may_send_to(&[&poor]);
    poor.may_send_to(&[&rich]);
    let answer = stranger.send("stranger", "").await;
    assert_eq!(answer.outcome(), "complete");
    assert_eq!(poor.forwards(), 1, "to this node it is a caller's request like any other");
    assert_eq!(backend.runs_of("stranger"), 1);
}

#[tokio::test]
async fn peer_that_is_gone_is_passed_over_and_one_that_is_cut_is_unknown() {
    let (backend, config) = start().await;
    let poor = Entry::start(&config, 0, SECRET).await;
    let gone = Entry::start(&config, 4, SECRET).await;
    let rich = Entry::start(&config, 4, SECRET).await;
    poor.may_send_to(&[&gone, &rich]);
    let address = gone.server.address;
    gone.server.stop(Duration::ZERO).await;
    assert!(tokio::net::TcpStream::connect(address).await.is_err());
    let answer = poor.send("passed", "steel").await;
    assert_eq!(answer.outcome(), "complete");
    assert_eq!(backend.runs_of("passed"), 1);

    let listener = tokio::net::TcpListener::bind(ANY_PORT).await.unwrap();
    let cutter = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 64];
            let _ = tokio::io::AsyncReadExt::read(&mut stream, &mut head).await;
        }
    });
    let cutting = Peer { node: "cutter".into(), address: cutter };
    let spare = Peer { node: "spare".into(), address: rich.server.address };
    *poor.view.peers.lock().unwrap() = vec![cutting, spare];
    let answer = poor.send("cut", "steel").await;
    assert_eq!((answer.status, answer.outcome()), (StatusCode::BAD_GATEWAY, "unknown"));
    assert_eq!(backend.runs_of("cut"), 0, "nobody may try it again");
}
