//! Bounds and malformed input of the caller interface, over raw sockets where a client would refuse.

#[path = "common/cell.rs"]
mod cell;

use std::time::Duration;

use http::StatusCode;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::cell::Cell;
use crate::cell::Job;
use crate::cell::Plan;
use crate::cell::QUEUE;

/// Sends `head` and `body` as they are and reads until the node closes.
async fn raw(cell: &Cell, head: &str, body: &[u8]) -> String {
    let mut stream = TcpStream::connect(cell.nodes[0].caller_address).await.unwrap();
    let request = format!(
        "POST /q/{QUEUE}/raw HTTP/1.1\r\nhost: t\r\nauthorization: Bearer {}\r\n\
         standin-job: raw\r\nstandin-collect: 1\r\n{head}\r\n",
        cell.key.secret
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    // The node may answer and close before it has read all.
    let _ = stream.write_all(body).await;
    let mut answer = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(20), stream.read_to_end(&mut answer));
    let _ = read.await.expect("the node answers or closes in time");
    String::from_utf8_lossy(&answer).into_owned()
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
async fn ambiguous_head_is_refused(#[case] head: &str, #[case] body: &str) {
    let cell = Cell::start(Plan::default()).await;
    let answer = raw(&cell, head, body.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert_eq!(cell.runs_of("raw"), 0);
}

#[rstest]
#[case::length_first("content-length: 6\r\ntransfer-encoding: chunked\r\n")]
#[case::length_last("transfer-encoding: chunked\r\ncontent-length: 6\r\n")]
#[tokio::test]
async fn length_with_chunked_hides_no_second_request(#[case] head: &str) {
    let cell = Cell::start(Plan::default()).await;
    let smuggled = format!(
        "0\r\n\r\nPOST /q/{QUEUE}/x HTTP/1.1\r\nhost: t\r\nauthorization: Bearer {}\r\n\
         standin-job: smuggled\r\ncontent-length: 0\r\n\r\n",
        cell.key.secret
    );
    let answer = raw(&cell, head, smuggled.as_bytes()).await;
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
    assert_eq!(cell.runs_of("smuggled"), 0);
}

#[rstest]
#[case::not_hexadecimal("zz\r\nsteel\r\n0\r\n\r\n")]
#[case::no_line_end("5\r\nsteelX0\r\n\r\n")]
#[case::too_long("fffffffffffffffff\r\nsteel\r\n0\r\n\r\n")]
#[tokio::test]
async fn bad_chunk_ends_truthfully(#[case] body: &str) {
    let cell = Cell::start(Plan::default()).await;
    let answer = raw(&cell, "transfer-encoding: chunked\r\n", body.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("savorypitch-outcome: unknown"), "{answer}");
    cell.all_free().await;
}

#[tokio::test]
async fn body_over_the_bound() {
    let cell = Cell::start(Plan::default()).await;
    let large = vec![7; (1 << 20) + 1];
    let answer = cell.send(Job { name: "sized", body: &large, ..Job::default() }).await;
    assert_eq!((answer.status, answer.outcome()), (StatusCode::PAYLOAD_TOO_LARGE, "not-run"));
    assert_eq!(cell.runs_of("sized"), 0);

    let mut chunk = format!("{:x}\r\n", large.len()).into_bytes();
    chunk.extend_from_slice(&large);
    let answer = raw(&cell, "transfer-encoding: chunked\r\n", &chunk).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("savorypitch-outcome: unknown"), "part of it was sent: {answer}");
    cell.all_free().await;

    let whole = &large[..1 << 20];
    let answer = cell.send(Job { name: "fits", body: whole, ..Job::default() }).await;
    assert_eq!((answer.outcome(), answer.body == whole), ("complete", true));
}

#[tokio::test]
async fn body_that_stops_coming() {
    let cell = Cell::start(Plan::default()).await;
    let answer = raw(&cell, "content-length: 10\r\n", b"steel").await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("savorypitch-outcome: unknown"), "{answer}");
    cell.all_free().await;
}

#[tokio::test]
async fn heads_over_the_bounds() {
    let cell = Cell::start(Plan::default()).await;
    let many: String = (0..120).map(|number| format!("x-{number}: 1\r\n")).collect();
    let long = format!("x: {}\r\n", "y".repeat(400 << 10));
    for head in [many, long] {
        let answer = raw(&cell, &format!("{head}content-length: 0\r\n"), b"").await;
        // The answer may be lost if the node closes before it has read all.
        assert!(answer.starts_with("HTTP/1.1 431") || answer.is_empty(), "{answer}");
    }
    assert_eq!(cell.runs_of("raw"), 0);
}

#[tokio::test]
async fn caller_cannot_speak_for_the_gateway() {
    let cell = Cell::start(Plan::default()).await;
    let forged = format!("{}{}", "a".repeat(32), "b".repeat(64));
    let headers = [
        ("savorypitch-forwarded", &*forged),
        ("savorypitch-team", "levy/verifiers"),
        ("savorypitch-request-id", "mine"),
        ("savorypitch-deadline-ms", "5000"),
        ("connection", "x-hop"),
        ("x-hop", "1"),
    ];
    let answer = cell.send(Job { name: "forged", headers: &headers, ..Job::default() }).await;
    assert_eq!(answer.outcome(), "complete");
    let id = answer.header("savorypitch-request-id");
    assert!(id.len() == 32 && !id.starts_with("aaaa"), "{id}");
    let left_ms = cell.backends[0].stats().last_deadline_ms.unwrap();
    assert!(left_ms > 0 && left_ms < 5_000, "less what was spent here: {left_ms}");

    for (text, status) in [("x", StatusCode::BAD_REQUEST), ("0", StatusCode::SERVICE_UNAVAILABLE)] {
        let headers = [("savorypitch-deadline-ms", text)];
        let answer = cell.send(Job { name: "dead", headers: &headers, ..Job::default() }).await;
        assert_eq!((answer.status, answer.outcome()), (status, "not-run"));
    }
    assert_eq!(cell.runs_of("dead"), 0);
}
