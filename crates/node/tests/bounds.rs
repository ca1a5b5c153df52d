//! Tests of the limits of the callers' interface and of malformed input, over raw sockets where an
//! HTTP client would reject the input.

#[path = "common/cluster.rs"]
mod cluster;

use std::time::Duration;

use http::StatusCode;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::cluster::ClusterOptions;
use crate::cluster::QUEUE;
use crate::cluster::TestCluster;
use crate::cluster::TestRequest;

/// Sends `head` and `body` unchanged and reads until the node closes the connection.
async fn send_raw(cluster: &TestCluster, head: &str, body: &[u8]) -> String {
    let mut stream = TcpStream::connect(cluster.nodes[0].caller_address).await.unwrap();
    let request = format!(
        "POST /q/{QUEUE}/raw HTTP/1.1\r\nhost: t\r\nauthorization: Bearer {}\r\n\
         standin-job: raw\r\nstandin-collect: 1\r\n{head}\r\n",
        cluster.key.secret
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    // The node may respond and close before it has read the whole body.
    let _ = stream.write_all(body).await;
    let mut response = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(20), stream.read_to_end(&mut response));
    let _ = read.await.expect("the node responds or closes in time");
    String::from_utf8_lossy(&response).into_owned()
}

#[rstest]
#[case::two_lengths("content-length: 4\r\ncontent-length: 5\r\n", "steel")]
#[case::length_list("content-length: 4, 5\r\n", "steel")]
#[case::negative_length("content-length: -1\r\n", "")]
#[case::signed_length("content-length: +5\r\n", "steel")]
#[case::not_chunked("transfer-encoding: gzip\r\n", "steel")]
#[case::chunked_not_last("transfer-encoding: chunked, identity\r\n", "0\r\n\r\n")]
#[case::space_before_colon("content-length : 5\r\n", "steel")]
#[case::folded("x: a\r\n content-length: 5\r\n", "")]
#[tokio::test]
async fn ambiguous_head_is_rejected(#[case] head: &str, #[case] body: &str) {
    let cluster = TestCluster::start(ClusterOptions::default()).await;
    let response = send_raw(&cluster, head, body.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    assert_eq!(cluster.runs_of("raw"), 0);
}

#[rstest]
#[case::length_first("content-length: 6\r\ntransfer-encoding: chunked\r\n")]
#[case::length_last("transfer-encoding: chunked\r\ncontent-length: 6\r\n")]
#[tokio::test]
async fn content_length_with_chunked_encoding_smuggles_no_second_request(#[case] head: &str) {
    let cluster = TestCluster::start(ClusterOptions::default()).await;
    let smuggled = format!(
        "0\r\n\r\nPOST /q/{QUEUE}/x HTTP/1.1\r\nhost: t\r\nauthorization: Bearer {}\r\n\
         standin-job: smuggled\r\ncontent-length: 0\r\n\r\n",
        cluster.key.secret
    );
    let response = send_raw(&cluster, head, smuggled.as_bytes()).await;
    assert_eq!(response.matches("HTTP/1.1 ").count(), 1, "{response}");
    assert_eq!(cluster.runs_of("smuggled"), 0);
}

#[rstest]
#[case::not_hexadecimal("zz\r\nsteel\r\n0\r\n\r\n")]
#[case::no_line_end("5\r\nsteelX0\r\n\r\n")]
#[case::too_long("fffffffffffffffff\r\nsteel\r\n0\r\n\r\n")]
#[tokio::test]
async fn malformed_chunk_gets_the_outcome_unknown(#[case] body: &str) {
    let cluster = TestCluster::start(ClusterOptions::default()).await;
    let response = send_raw(&cluster, "transfer-encoding: chunked\r\n", body.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    assert!(response.contains("savorypitch-outcome: unknown"), "{response}");
    cluster.wait_until_free().await;
}

#[tokio::test]
async fn body_above_the_limit_is_rejected() {
    let cluster = TestCluster::start(ClusterOptions::default()).await;
    let large = vec![7; (1 << 20) + 1];
    let response =
        cluster.send(TestRequest { name: "sized", body: &large, ..TestRequest::default() }).await;
    assert_eq!((response.status, response.outcome()), (StatusCode::PAYLOAD_TOO_LARGE, "not-run"));
    assert_eq!(cluster.runs_of("sized"), 0);

    let mut chunk = format!("{:x}\r\n", large.len()).into_bytes();
    chunk.extend_from_slice(&large);
    let response = send_raw(&cluster, "transfer-encoding: chunked\r\n", &chunk).await;
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
    assert!(response.contains("savorypitch-outcome: unknown"), "part of it was sent: {response}");
    cluster.wait_until_free().await;

    let whole = &large[..1 << 20];
    let response =
        cluster.send(TestRequest { name: "fits", body: whole, ..TestRequest::default() }).await;
    assert_eq!((response.outcome(), response.body == whole), ("complete", true));
}

#[tokio::test]
async fn body_that_stalls_times_out() {
    let cluster = TestCluster::start(ClusterOptions::default()).await;
    let response = send_raw(&cluster, "content-length: 10\r\n", b"steel").await;
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(response.contains("savorypitch-outcome: unknown"), "{response}");
    cluster.wait_until_free().await;
}

#[tokio::test]
async fn heads_above_the_limits_are_rejected() {
    let cluster = TestCluster::start(ClusterOptions::default()).await;
    let many: String = (0..120).map(|number| format!("x-{number}: 1\r\n")).collect();
    let long = format!("x: {}\r\n", "y".repeat(400 << 10));
    for head in [many, long] {
        let response = send_raw(&cluster, &format!("{head}content-length: 0\r\n"), b"").await;
        // The response may be lost if the node closes before it has read the whole head.
        assert!(response.starts_with("HTTP/1.1 431") || response.is_empty(), "{response}");
    }
    assert_eq!(cluster.runs_of("raw"), 0);
}

#[tokio::test]
async fn caller_cannot_set_headers_of_the_gateway() {
    let cluster = TestCluster::start(ClusterOptions::default()).await;
    let forged = format!("{}{}", "a".repeat(32), "b".repeat(64));
    let headers = [
        ("savorypitch-forwarded", &*forged),
        ("savorypitch-team", "levy/verifiers"),
        ("savorypitch-request-id", "mine"),
        ("savorypitch-deadline-ms", "5000"),
        ("connection", "x-hop"),
        ("x-hop", "1"),
    ];
    let response = cluster
        .send(TestRequest { name: "forged", headers: &headers, ..TestRequest::default() })
        .await;
    assert_eq!(response.outcome(), "complete");
    let id = response.header("savorypitch-request-id");
    assert!(id.len() == 32 && !id.starts_with("aaaa"), "{id}");
    let remaining_ms = cluster.backends[0].stats().last_deadline_ms.unwrap();
    assert!(
        remaining_ms > 0 && remaining_ms < 5_000,
        "the time spent in the node is subtracted: {remaining_ms}"
    );

    for (text, status) in [("x", StatusCode::BAD_REQUEST), ("0", StatusCode::SERVICE_UNAVAILABLE)] {
        let headers = [("savorypitch-deadline-ms", text)];
        let response = cluster
            .send(TestRequest { name: "dead", headers: &headers, ..TestRequest::default() })
            .await;
        assert_eq!((response.status, response.outcome()), (status, "not-run"));
    }
    assert_eq!(cluster.runs_of("dead"), 0);
}
