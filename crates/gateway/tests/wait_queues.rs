//! Tests of requests that wait for tokens while the configuration changes, or that must not wait.

#[path = "common/node.rs"]
mod node;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::StatusCode;
use limits::LimitKey;
use model::Config;
use rstest::rstest;
use standin::caller::Response;
use standin::caller::call;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::node::QueueText;
use crate::node::SECRET;
use crate::node::TestNode;
use crate::node::config_with_queue;
use crate::node::start;

/// Time in which the gateway uses a new configuration.
const UPDATE_TIME: Duration = Duration::from_millis(400);
/// Time that is much shorter than the waiting time of the queues.
const SOON: Duration = Duration::from_secs(5);

async fn send(node: &TestNode, deadline_ms: &str) -> Response {
    let headers = [("standin-job", "job"), ("savorypitch-deadline-ms", deadline_ms)];
    call(node.server.address, Method::POST, "/q/q/x", &headers, String::new()).await.unwrap()
}

fn set_config(node: &TestNode, config: Arc<Config>) {
    *node.context.config.lock().unwrap() = config;
}

/// Failure: a request waits in a queue that a configuration replaced. Later changes of the hosts do
/// not reach it, and it waits out its time although a host has a slot.
#[tokio::test]
async fn a_request_in_a_replaced_queue_starts_on_a_new_host() {
    let (backend, first) = start().await;
    let address = first.hosts[0].spec.address;
    let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let queue = |wait_max_ms| Some(QueueText { wait_max_ms });
    let node = TestNode::start(&config_with_queue(1, &[nowhere], queue(20_000)), 0, SECRET).await;
    let change = async {
        tokio::time::sleep(UPDATE_TIME).await;
        set_config(&node, config_with_queue(2, &[nowhere], queue(30_000)));
        tokio::time::sleep(UPDATE_TIME).await;
        set_config(&node, config_with_queue(3, &[nowhere, address], queue(30_000)));
        node.limits.grant(&LimitKey::Connections("w2".into()), 8);
        node.limits.grant(&LimitKey::Slots("w2".into()), 4);
    };
    let started = Instant::now();
    let (response, ()) = tokio::join!(send(&node, "15000"), change);
    assert_eq!(response.outcome(), "complete");
    assert!(started.elapsed() < SOON);
    assert_eq!(backend.runs_of("job"), 1);
}

/// Failure: a request waits out its time in a queue that no longer exists.
#[tokio::test]
async fn a_request_in_a_removed_queue_is_refused_at_once() {
    let (_, first) = start().await;
    let address = first.hosts[0].spec.address;
    let queue = Some(QueueText { wait_max_ms: 20_000 });
    let node = TestNode::start(&config_with_queue(1, &[address], queue), 0, SECRET).await;
    let change = async {
        tokio::time::sleep(UPDATE_TIME).await;
        set_config(&node, config_with_queue(2, &[address], None));
    };
    let started = Instant::now();
    let (response, ()) = tokio::join!(send(&node, "15000"), change);
    assert_eq!((response.status, response.outcome()), (StatusCode::NOT_FOUND, "not-run"));
    assert!(started.elapsed() < SOON);
}

/// Failure: short deadlines that end while a connection is opened count as failures of the backend
/// server, so callers in a hurry eject a slow one.
#[tokio::test]
async fn a_deadline_that_cuts_a_connect_does_not_count_against_the_server() {
    // Connects hang, since the queue of the listener is full.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(node::ANY_PORT).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut held = Vec::new();
    while let Ok(connected) = tokio::time::timeout(UPDATE_TIME, TcpStream::connect(address)).await {
        held.push(connected.unwrap());
    }
    let queue = Some(QueueText { wait_max_ms: 20_000 });
    let node = TestNode::start(&config_with_queue(1, &[address], queue), 4, SECRET).await;
    for _ in 0..8 {
        assert_eq!(send(&node, "30").await.outcome(), "not-run");
    }
    let totals = node.telemetry.totals();
    let ejections = totals.iter().filter(|(name, _)| name.contains("backend."));
    assert_eq!(ejections.count(), 0, "{totals:?}");
}

/// Failures: in a queue in which requests may not wait, none starts although there is a slot. Without
/// one, the request is dropped without a response, by a panic on a channel that is used up.
#[rstest]
#[case::starts(1, "complete", StatusCode::OK)]
#[case::refused(0, "not-run", StatusCode::SERVICE_UNAVAILABLE)]
#[tokio::test]
async fn a_request_that_may_not_wait_starts_or_is_refused(
    #[case] slots: u32,
    #[case] outcome: &str,
    #[case] status: StatusCode,
    #[values(None, Some(SECRET))] secret: Option<[u8; 32]>,
) {
    let (_, first) = start().await;
    let queue = Some(QueueText { wait_max_ms: 0 });
    let config = config_with_queue(1, &[first.hosts[0].spec.address], queue);
    let node = TestNode::start(&config, slots, secret).await;
    let response = send(&node, "15000").await;
    assert_eq!((response.outcome(), response.status), (outcome, status));
}

/// Failure: the configuration replaces the queue while the body of a request is read. The request
/// enters the old queue, where nothing starts it.
#[tokio::test]
async fn a_request_whose_queue_is_replaced_before_it_waits_starts() {
    let (backend, first) = start().await;
    let address = first.hosts[0].spec.address;
    let queue = |wait_max_ms| Some(QueueText { wait_max_ms });
    let node = TestNode::start(&config_with_queue(1, &[address], queue(20_000)), 0, SECRET).await;
    let mut stream = TcpStream::connect(node.server.address).await.unwrap();
    let head = "POST /q/q/x HTTP/1.1\r\nhost: n\r\nidempotency-key: k\r\nstandin-job: job\r\n\
                content-length: 1\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(UPDATE_TIME).await;
    set_config(&node, config_with_queue(2, &[address], queue(30_000)));
    tokio::time::sleep(UPDATE_TIME).await;
    stream.write_all(b"a").await.unwrap();
    tokio::time::sleep(UPDATE_TIME).await;
    node.limits.grant(&LimitKey::Slots("w1".into()), 4);
    node.limits.grant(&LimitKey::Connections("w1".into()), 8);
    let mut status = [0; 12];
    let read = tokio::time::timeout(SOON, stream.read_exact(&mut status)).await;
    read.expect("the request starts").unwrap();
    assert_eq!(&status, b"HTTP/1.1 200");
    assert_eq!(backend.runs_of("job"), 1);
}
