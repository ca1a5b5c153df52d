//! Clients outside the limits: a node process on a platform stand-in meets a crowd of connections
//! that each hold as much of the process as they can.
//!
//! The machine of a node has 260 MB and 4,100 descriptors. The settings of these tests lower both to
//! 18 percent, 48 MB and 750 descriptors, and the crowd is [`CROWD`] connections. Each test checks
//! that the process lives, that its memory and descriptors have stayed within these limits, and that
//! an ordinary caller's job is accepted while the crowd is still connected. No check depends on the
//! speed of the machine. The tests run one at a time.

#[path = "outside_limits/crowd.rs"]
mod crowd;
#[path = "outside_limits/node.rs"]
mod node;
#[path = "../../../platform/tests/standin/proxy.rs"]
mod proxy;
#[path = "../../../platform/tests/standin/table.rs"]
#[allow(dead_code, reason = "these tests inject no faults of the table")]
mod table;

use std::time::Duration;

use crowd::Crowd;
use crowd::endless_server;
use node::LimitedNode;
use node::Port;
use proxy::Fault;
use serde_json::json;

/// Connections of a crowd.
const CROWD: usize = 200;
/// Connections of the crowd that takes descriptors; more than a process may have.
const DESCRIPTOR_CROWD: usize = 900;
/// Largest legal body, in bytes.
const BODY_BYTES: usize = 262_144;
/// Bytes of a head well over any limit; less than a read buffer of the HTTP library holds by default.
const HEAD_BYTES: usize = 400 << 10;
/// Bytes of the body in one-byte chunks; each chunk takes 6 bytes on the wire.
const TINY_CHUNKS: usize = 32 << 10;
/// Largest body that the calls between nodes may have had, in bytes.
const PEER_BODY_BYTES: usize = 2_000_000;
/// Requests that a client sends without reading a response.
const UNREAD_REQUESTS: usize = 8_000;

fn endless_head(head: &str) -> Vec<u8> {
    let mut bytes = format!("{head} HTTP/1.1\r\nhost: q.example\r\nx-filler: ").into_bytes();
    bytes.resize(HEAD_BYTES, b'a');
    bytes
}

fn empty_lines() -> Vec<u8> {
    b"\r\n".repeat(HEAD_BYTES / 2)
}

/// Returns a submission whose body of `length` bytes lacks its last byte.
fn short_body(head: &str, length: usize) -> Vec<u8> {
    let head = format!(
        "{head} HTTP/1.1\r\nhost: q.example\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + length - 1, b' ');
    bytes
}

/// Returns a submission in chunks, without the last chunk.
fn chunked_body(head: &str, chunk_bytes: usize, chunks: usize) -> Vec<u8> {
    let head = format!(
        "{head} HTTP/1.1\r\nhost: q.example\r\ncontent-type: application/json\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", " ".repeat(chunk_bytes));
    [head.into_bytes(), chunk.repeat(chunks).into_bytes()].concat()
}

/// Returns a complete request whose body repeats `part` until it has `length` bytes.
fn repeated_body(head: &str, parts: [&str; 3], length: usize) -> Vec<u8> {
    let [first, part, last] = parts;
    let count = (length - first.len() - last.len()) / part.len();
    let body = format!("{first}{}{last}", part.repeat(count));
    let head = format!(
        "{head} HTTP/1.1\r\nhost: q.example\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    (head + &body).into_bytes()
}

fn submission(index: usize) -> String {
    format!("POST /q/{index:016x}")
}

/// Sends the same kind of bytes on each connection of a crowd to a port, and checks the node.
async fn check_with(port: Port, bytes: impl Fn(usize) -> Vec<u8>) {
    let _turn = node::take_turn().await;
    let mut node = LimitedNode::start().await;
    let crowd = Crowd::send(node.address(port), CROWD, bytes).await;
    node.check("crowd").await;
    drop(crowd);
}

// Guards against a read buffer that grows with a head without end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_without_end_stay_within_the_memory() {
    check_with(Port::Front, |index| endless_head(&submission(index))).await;
}

// Guards against complete heads over the limit that are kept in the read buffer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_over_the_limit_stay_within_the_memory() {
    check_with(Port::Front, |index| {
        let line = format!("x-filler: {}\r\n", "a".repeat(4_000));
        let head = format!("GET /q/{index:016x} HTTP/1.1\r\nhost: q.example\r\n");
        [head, line.repeat(64), "\r\n".to_owned()].concat().into_bytes()
    })
    .await;
}

// Guards against empty lines before a request that are kept in the read buffer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn empty_lines_without_end_stay_within_the_memory() {
    check_with(Port::Front, |_| empty_lines()).await;
}

// Guards against legal bodies whose sum has no bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_one_byte_short_stay_within_the_memory() {
    check_with(Port::Front, |index| short_body(&submission(index), BODY_BYTES)).await;
}

// Guards against the same when all bodies grow together, piece by piece.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_piece_by_piece_one_byte_short_stay_within_the_memory() {
    let _turn = node::take_turn().await;
    let mut node = LimitedNode::start().await;
    let bytes = |index: usize| short_body(&submission(index), BODY_BYTES);
    let crowd = Crowd::send_in_pieces(node.address(Port::Front), CROWD, bytes).await;
    node.check("crowd").await;
    drop(crowd);
}

// Guards against chunked bodies whose sum has no bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_chunks_without_the_last_one_stay_within_the_memory() {
    check_with(Port::Front, |index| chunked_body(&submission(index), 65_000, 4)).await;
}

// Guards against a buffer of its own for each chunk of a byte.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunks_of_a_byte_without_the_last_one_stay_within_the_memory() {
    check_with(Port::Front, |index| chunked_body(&submission(index), 1, TINY_CHUNKS)).await;
}

// Guards against a readiness port without the limits of the callers' port.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn readiness_port_stays_within_the_memory() {
    check_with(Port::Ready, |index| match index % 2 {
        0 => endless_head("GET /v1/readiness"),
        _ => empty_lines(),
    })
    .await;
}

// Guards against a metrics port without the limits of the callers' port.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn metrics_port_stays_within_the_memory() {
    check_with(Port::Metrics, |index| match index % 2 {
        0 => endless_head("GET /metrics"),
        _ => empty_lines(),
    })
    .await;
}

// Guards against heads without end on the port for other nodes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_without_end_on_the_peer_port_stay_within_the_memory() {
    check_with(Port::Peer, |_| endless_head("POST /peer/0/ping")).await;
}

// Guards against bodies whose sum has no bound on the port for other nodes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_one_byte_short_on_the_peer_port_stay_within_the_memory() {
    check_with(Port::Peer, |_| short_body("POST /peer/0/submit", PEER_BODY_BYTES)).await;
}

// Guards against responses that pile up for a client that reads none of them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_responses_stay_within_the_memory() {
    check_with(Port::Front, |index| {
        format!("GET /q/{index:016x} HTTP/1.1\r\nhost: q.example\r\n\r\n")
            .repeat(UNREAD_REQUESTS / 10)
            .into_bytes()
    })
    .await;
}

// Guards against the same for responses without a body, which nothing holds back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_responses_without_a_body_stay_within_the_memory() {
    check_with(Port::Ready, |_| {
        b"GET /v1/readiness HTTP/1.1\r\nhost: r\r\n\r\n".repeat(UNREAD_REQUESTS)
    })
    .await;
}

// Guards against a body that nobody reads: on a request without use for one, or refused before it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_nobody_reads_stay_within_the_memory() {
    check_with(Port::Front, |index| {
        let head = match index % 4 {
            0 => format!("GET /q/{index:016x}"),
            1 => format!("DELETE /q/{index:016x}"),
            2 => format!("POST /closed/{index:016x}"),
            _ => format!("POST /no-such-queue/{index:016x}"),
        };
        let mut bytes = short_body(&head, BODY_BYTES);
        bytes.push(b' ');
        [bytes, short_body(&head, BODY_BYTES)].concat()
    })
    .await;
}

// Guards against a job of very many steps that is decoded whole before it is refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_of_very_many_steps_stay_within_the_memory() {
    let parts = ["{\"steps\":[", "{},", "{}]}"];
    check_with(Port::Front, |index| repeated_body(&submission(index), parts, BODY_BYTES)).await;
}

// Guards against an error response that lists each of very many mistakes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_to_very_many_mistakes_stay_within_the_memory() {
    let parts = ["{\"steps\":[{\"dependsOn\":[", "9,", "9]}]}"];
    check_with(Port::Front, |index| repeated_body(&submission(index), parts, BODY_BYTES)).await;
}

// Guards against the same job of very many steps on the port for other nodes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_of_very_many_steps_on_the_peer_port_stay_within_the_memory() {
    let parts = ["{\"id\":\"a\",\"steps\":[", "{},", "{}]}"];
    check_with(Port::Peer, |_| repeated_body("POST /peer/0/submit", parts, PEER_BODY_BYTES)).await;
}

// Guards against callers that take the last descriptors, with none left for the table.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_callers_leave_descriptors_for_the_table() {
    let _turn = node::take_turn().await;
    let mut node = LimitedNode::start().await;
    let crowd = Crowd::send(node.address(Port::Front), DESCRIPTOR_CROWD, |_| Vec::new()).await;
    // The node has to open its connections to the table again.
    node.table_link.set_fault(Fault::Reset);
    tokio::time::sleep(Duration::from_millis(300)).await;
    node.table_link.set_fault(Fault::None);
    node.check("crowd").await;
    drop(crowd);
}

// Guards against a list of hosts without end that is collected whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reply_without_end_of_the_list_of_hosts_stays_within_the_memory() {
    let _turn = node::take_turn().await;
    let cloud = endless_server().await;
    let mut node = LimitedNode::start_with_hosts_at(cloud).await;
    node.check_after(Duration::from_secs(5)).await;
}

// Guards against replies without end of workers that are collected whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replies_without_end_of_workers_stay_within_the_memory() {
    let _turn = node::take_turn().await;
    let worker = endless_server().await;
    let mut node = LimitedNode::start().await;
    for index in 0..4 {
        let registration = json!({ "service": "p", "address": worker, "zone": "a",
            "state": "ready", "labels": ["a"], "capacity": { "cpu": 8_000, "memMb": 10_000 },
            "born": 1, "machine": format!("h-{index}") });
        node.table.put("servers", &format!("w-{index}"), &registration);
    }
    node.check_after(Duration::from_secs(5)).await;
}
