//! Clients, backend servers and a platform that keep to no limit, against one node process.
//!
//! Each test checks that the process lives, that its memory and descriptors stay within those of its
//! machine, and that ordinary requests are answered while the crowd is still connected. The limits
//! of the node are lowered, so that a small crowd is enough.

#[path = "serve_outside_limits/crowd.rs"]
mod crowd;
#[path = "serve_outside_limits/node.rs"]
mod node;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use standin::platform_server::StandinPlatform;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::sync::MutexGuard;

use crate::crowd::CROWD;
use crate::crowd::Input;
use crate::crowd::send_from_crowd;
use crate::crowd::start_endless_server;
use crate::crowd::start_platform_relay;
use crate::node::ANY_PORT;
use crate::node::Node;
use crate::node::OPERATOR_KEY;

/// Size of a large body that is legal, in bytes.
const BODY_BYTES: usize = 1 << 20;
/// Size of a body that comes in chunks of one byte, in bytes.
const TINY_CHUNKS: usize = 32 * 1_024;
/// Bytes of a head, or of empty lines, that a client sends at most.
const ENDLESS_BYTES: usize = 1 << 20;

/// Lets one test run at a time, apart from the load of the others.
async fn run_alone() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::const_new(());
    LOCK.lock().await
}

/// Sends `input` from a crowd that stays connected, and checks the node beside it.
async fn expect_to_survive(address: impl Fn(&Node) -> SocketAddr, input: Input) {
    let _alone = run_alone().await;
    let mut node = Node::start(None, None).await;
    let crowd = send_from_crowd(address(&node), CROWD, input).await;
    node.expect_within_limits().await;
    drop(crowd);
}

fn callers(node: &Node) -> SocketAddr {
    node.caller_address
}

fn operators(node: &Node) -> SocketAddr {
    node.admin_address
}

/// Head of a request whose body the node reads whole before it sends it.
fn buffered_head(fields: &str) -> String {
    let key = "host: t\r\nidempotency-key: same\r\ncontent-type: application/json";
    format!("POST /q/q/large HTTP/1.1\r\n{key}\r\n{fields}\r\n\r\n")
}

fn short_body(head: String) -> Input {
    Input::new(head).then(b"a", BODY_BYTES - 1)
}

// A head without an end must be cut off before its bytes fill the memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_without_end_stay_within_the_memory() {
    let head = Input::new("GET /q/q/x HTTP/1.1\r\nhost: t\r\nx: ").then(b"a", ENDLESS_BYTES);
    expect_to_survive(callers, head).await;
}

// Heads that stop just below the limit must not hold a full buffer each for as long as they like.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_heads_stay_within_the_memory() {
    let head = Input::new("GET /q/q/x HTTP/1.1\r\nhost: t\r\nx: ").then(b"a", 60 * 1_024);
    expect_to_survive(callers, head).await;
}

// Complete heads over the limit must be refused without holding their bytes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_over_the_limit_stay_within_the_memory() {
    let head = Input::new("GET /q/q/x HTTP/1.1\r\nhost: t\r\nx: ")
        .then(b"a", 200 * 1_024)
        .then(b"\r\n", 4);
    expect_to_survive(callers, head).await;
}

// Empty lines before a request must not fill the buffer, nor restart the time limit of the head.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn empty_lines_without_end_stay_within_the_memory() {
    expect_to_survive(callers, Input::default().then(b"\r\n", ENDLESS_BYTES)).await;
}

// The sum of the bodies that the node reads whole must be bounded, not only the size of each.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_bodies_short_by_a_byte_stay_within_the_memory() {
    let head = buffered_head(&format!("content-length: {BODY_BYTES}"));
    expect_to_survive(callers, short_body(head)).await;
}

// Bodies that keep coming in pieces must not escape the bound of their sum.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_pieces_short_by_a_byte_stay_within_the_memory() {
    let head = buffered_head(&format!("content-length: {BODY_BYTES}"));
    expect_to_survive(callers, short_body(head).with_pause(Duration::from_millis(20))).await;
}

// Bodies without a length must count as they arrive.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_chunks_short_by_a_byte_stay_within_the_memory() {
    let head = buffered_head("transfer-encoding: chunked") + "100000\r\n";
    expect_to_survive(callers, short_body(head)).await;
}

// Each tiny chunk must not keep a read buffer alive.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tiny_chunks_short_of_the_end_stay_within_the_memory() {
    let head = buffered_head("transfer-encoding: chunked");
    expect_to_survive(callers, Input::new(head).then(b"1\r\na\r\n", TINY_CHUNKS * 6)).await;
}

// The same holds where the framework collects the body: the submission of jobs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tiny_chunks_of_jobs_stay_within_the_memory() {
    let head = buffered_head("transfer-encoding: chunked").replace("/q/q/large", "/jobs");
    expect_to_survive(callers, Input::new(head).then(b"1\r\na\r\n", TINY_CHUNKS * 6)).await;
}

// Streamed bodies that stop must not hold the connections that ordinary requests need.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streamed_bodies_short_by_a_byte_stay_within_the_memory() {
    let head = format!("POST /q/q/x HTTP/1.1\r\nhost: t\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
    expect_to_survive(callers, short_body(head)).await;
}

// The operators' port must be bounded like that of the callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_heads_of_operators_stay_within_the_memory() {
    let head = Input::new("GET /admin/v1/status HTTP/1.1\r\nx: ").then(b"a", 60 * 1_024);
    expect_to_survive(operators, head).await;
}

// Empty lines on the operators' port must be cut off as well.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn empty_lines_of_operators_stay_within_the_memory() {
    expect_to_survive(operators, Input::default().then(b"\r\n", ENDLESS_BYTES)).await;
}

// Bodies of operators' calls are read whole, so their sum must be bounded too.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_of_operators_stay_within_the_memory() {
    let head = format!(
        "POST /admin/v1/contracts HTTP/1.1\r\nauthorization: Bearer {OPERATOR_KEY}\r\n\
         content-type: application/json\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    expect_to_survive(operators, short_body(head)).await;
}

// Tiny chunks on the operators' port must not keep a read buffer alive each.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tiny_chunks_of_operators_stay_within_the_memory() {
    let head = format!(
        "POST /admin/v1/contracts HTTP/1.1\r\nauthorization: Bearer {OPERATOR_KEY}\r\n\
         content-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    expect_to_survive(operators, Input::new(head).then(b"1\r\na\r\n", TINY_CHUNKS * 6)).await;
}

// Answers that a client does not read must not pile up.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_without_reading_stay_within_the_memory() {
    let request = b"GET /healthz HTTP/1.1\r\nhost: t\r\n\r\n";
    expect_to_survive(callers, Input::default().then(request, request.len() * 20_000)).await;
}

// Refused requests with bodies on a kept connection must be drained or closed, and must not run.
#[rstest::rstest]
#[case::get("GET", "/q/q/refused", "idempotency-key: ")]
#[case::delete("DELETE", "/jobs/none", "x: y")]
#[case::wrong_key("POST", "/jobs", "authorization: Bearer wrong")]
#[case::no_queue("POST", "/q/none/refused", "authorization: Bearer wrong")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_of_refused_requests_stay_within_the_memory(
    #[case] method: &str,
    #[case] path: &str,
    #[case] field: &str,
) {
    let _alone = run_alone().await;
    let mut node = Node::start(None, None).await;
    let runs_before = node.backend.stats().run_count;
    let head = format!("{method} {path} HTTP/1.1\r\nhost: t\r\n{field}\r\n");
    let head = format!("{head}content-length: {BODY_BYTES}\r\n\r\n");
    let twice = short_body(head.clone()).then(b"a", 1).then(head.as_bytes(), head.len());
    let crowd = send_from_crowd(node.caller_address, CROWD, twice.then(b"a", BODY_BYTES - 1)).await;
    let runs_after = node.backend.stats().run_count;
    node.expect_within_limits().await;
    assert_eq!(runs_after, runs_before, "refused requests ran");
    drop(crowd);
}

// Large answers must not pile up in the node for callers that do not read them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_readers_stay_within_the_memory() {
    let _alone = run_alone().await;
    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n";
    let endless = start_endless_server(head, b"a").await;
    let mut node = Node::start(None, Some(endless)).await;
    let request = Input::new("GET /q/bad/large HTTP/1.1\r\nhost: t\r\n\r\n");
    let crowd = send_from_crowd(node.caller_address, CROWD, request).await;
    node.expect_within_limits().await;
    drop(crowd);
}

// A backend server's head without an end must be cut off, and must not fill the memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn backend_heads_without_end_stay_within_the_memory() {
    let _alone = run_alone().await;
    let endless = start_endless_server(b"HTTP/1.1 200 OK\r\nx: ", b"a").await;
    let mut node = Node::start(None, Some(endless)).await;
    let request = Input::new("GET /q/bad/large HTTP/1.1\r\nhost: t\r\n\r\n");
    let crowd = send_from_crowd(node.caller_address, CROWD, request).await;
    node.expect_within_limits().await;
    drop(crowd);
}

// Answers that are read whole to be stored for repeats must be bounded in their sum.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stored_answers_stay_within_the_memory() {
    let _alone = run_alone().await;
    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n";
    let endless = start_endless_server(head, b"a").await;
    let mut node = Node::start(None, Some(endless)).await;
    let mut crowd = Vec::new();
    for index in 0..CROWD {
        let head = format!("GET /q/bad/x HTTP/1.1\r\nhost: t\r\nidempotency-key: {index}\r\n\r\n");
        crowd.extend(send_from_crowd(node.caller_address, 1, Input::new(head)).await);
    }
    node.expect_within_limits().await;
    drop(crowd);
}

// Callers must not take the last descriptors: the node needs some for backend servers and its table.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections_leave_descriptors_for_ordinary_requests() {
    let _alone = run_alone().await;
    let mut node = Node::start(None, None).await;
    let mut crowd = send_from_crowd(node.caller_address, CROWD, Input::default()).await;
    crowd.extend(send_from_crowd(node.admin_address, CROWD, Input::default()).await);
    node.expect_within_limits().await;
    drop(crowd);
}

// Replies of the table without an end must not fill the memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_replies_without_end_stay_within_the_memory() {
    let _alone = run_alone().await;
    let platform = Arc::<StandinPlatform>::default();
    let (address, _) = standin::platform_server::serve(platform, ANY_PORT).await.unwrap();
    let is_endless = Arc::new(AtomicBool::new(false));
    let relay = start_platform_relay(address, is_endless.clone()).await;
    let mut node = Node::start(Some(relay), None).await;
    is_endless.store(true, Ordering::Relaxed);
    // Several polls of the configuration, each of which reads from the table.
    tokio::time::sleep(Duration::from_secs(5)).await;
    is_endless.store(false, Ordering::Relaxed);
    node.expect_within_limits().await;
}

// Limits for crowds must not refuse a single request that keeps to its own limits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_single_large_request_is_served_in_calm() {
    let _alone = run_alone().await;
    let mut node = Node::start(None, None).await;
    let head = buffered_head(&format!("content-length: {BODY_BYTES}\r\nconnection: close"));
    let mut stream = TcpStream::connect(node.caller_address).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'a'; BODY_BYTES]).await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    assert!(answer.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&answer[..200]));
    assert!(answer.len() > BODY_BYTES);
    node.expect_within_limits().await;
}
