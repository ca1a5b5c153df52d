//! Servers within a budget, over loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Router;
use axum::routing::any;
use inbound::Budget;
use inbound::FREE_BODY_BYTES;
use inbound::Limits;
use rstest::rstest;
use telemetry::Telemetry;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
const BODY_BYTES_MAX: usize = 64 << 10;
/// Longest time that a test waits for a response.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

struct TestServer {
    address: SocketAddr,
    /// Number of requests that have run.
    executed: Arc<AtomicUsize>,
    telemetry: Telemetry,
    _stop: watch::Sender<bool>,
}

impl TestServer {
    async fn start(limits: Limits) -> Self {
        let executed = Arc::new(AtomicUsize::new(0));
        let count = executed.clone();
        let handler = move |body: axum::body::Bytes| async move {
            count.fetch_add(1, Ordering::Relaxed);
            body.len().to_string()
        };
        let router = Router::new().route("/", any(handler));
        let router = inbound::collect_bodies(router, BODY_BYTES_MAX);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = watch::channel(false);
        let telemetry = Telemetry::new(None).unwrap();
        let budget = Budget::new("test", limits, telemetry.clone());
        tokio::spawn(inbound::serve(listener, router, budget, stopped));
        Self { address, executed, telemetry, _stop: stop }
    }

    async fn connect(&self, bytes: &[u8]) -> TcpStream {
        let mut connection = TcpStream::connect(self.address).await.unwrap();
        connection.write_all(bytes).await.unwrap();
        connection
    }

    fn total(&self, name: &str) -> u64 {
        let name = format!("savorypitch.{name}");
        let totals = self.telemetry.totals();
        totals.iter().find(|(found, _)| *found == name).map_or(0, |(_, total)| *total)
    }
}

/// Reads until the other end closes the connection, or `until` has been received.
async fn read_until(connection: &mut TcpStream, until: &str) -> String {
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    let reading = async {
        while !text.contains(until) {
            match connection.read(&mut buffer).await {
                Ok(count @ 1..) => text.push_str(&String::from_utf8_lossy(&buffer[..count])),
                _ => break,
            }
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, reading).await.expect("the server responds or closes");
    text
}

fn post(length: usize, sent: usize) -> Vec<u8> {
    let head = format!("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n\r\n");
    [head.into_bytes(), vec![b' '; sent]].concat()
}

// Guards against idle connections that keep out a caller, and against closing one that was served
// in favour of those that never sent a request.
#[tokio::test]
async fn connection_that_was_never_served_is_closed_first() {
    let server = TestServer::start(Limits { connections_max: 3, ..Limits::default() }).await;
    let mut served = server.connect(REQUEST).await;
    read_until(&mut served, "\r\n\r\n0").await;
    let mut oldest_idle = server.connect(b"").await;
    let _newer_idle = server.connect(b"").await;
    let mut newcomer = server.connect(REQUEST).await;
    assert!(read_until(&mut newcomer, "\r\n\r\n0").await.starts_with("HTTP/1.1 200"));
    assert_eq!(read_until(&mut oldest_idle, "never").await, "");
    served.write_all(REQUEST).await.unwrap();
    assert!(read_until(&mut served, "\r\n\r\n0").await.starts_with("HTTP/1.1 200"));
    assert_eq!(server.total(inbound::metrics::CLOSED_FOR_ROOM), 1);
}

// Guards against a connection that is not read again after its writes were blocked.
#[tokio::test]
async fn pipelined_requests_are_all_answered_once_the_caller_reads() {
    const REQUESTS: usize = 40_000;
    let server = TestServer::start(Limits::default()).await;
    let (mut reader, mut writer) = TcpStream::connect(server.address).await.unwrap().into_split();
    let sending = tokio::spawn(async move {
        writer.write_all(&REQUEST.repeat(REQUESTS)).await.unwrap();
        writer
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut received = Vec::new();
    let reading = async {
        while received.windows(12).filter(|part| part == b"HTTP/1.1 200").count() < REQUESTS {
            let mut buffer = vec![0; 8 << 20];
            while let Ok(Ok(count @ 1..)) =
                tokio::time::timeout(Duration::from_millis(300), reader.read(&mut buffer)).await
            {
                received.extend_from_slice(&buffer[..count]);
            }
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, reading).await.expect("all requests are answered");
    drop(sending.await);
}

// Guards against a body within the limits that is refused in calm, and one over them that is read.
#[rstest]
#[case::empty(0, "200")]
#[case::small(100, "200")]
#[case::largest(BODY_BYTES_MAX, "200")]
#[case::too_large(BODY_BYTES_MAX + 1, "413")]
#[tokio::test]
async fn bodies_are_read_up_to_the_limit(#[case] length: usize, #[case] status: &str) {
    let server = TestServer::start(Limits::default()).await;
    let mut connection = server.connect(&post(length, 0)).await;
    // Fails if the request is refused before its body is read.
    let _ = connection.write_all(&vec![b' '; length]).await;
    let expected = if status == "200" { format!("\r\n\r\n{length}") } else { "larger".to_owned() };
    let response = read_until(&mut connection, &expected).await;
    assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{response}");
}

// Guards against a refusal of a request that runs, and against small bodies that wait for large ones.
#[tokio::test]
async fn body_without_room_is_refused_and_does_not_run() {
    let server = TestServer::start(Limits { body_bytes_max: 0, ..Limits::default() }).await;
    let mut large = server.connect(&post(32 << 10, 32 << 10)).await;
    let response = read_until(&mut large, "not executed").await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.to_lowercase().contains("retry-after: 1"), "{response}");
    assert_eq!(server.executed.load(Ordering::Relaxed), 0);
    assert_eq!(server.total(inbound::metrics::BODIES_REFUSED), 1);
    let small_bytes = FREE_BODY_BYTES / 2;
    let mut small = server.connect(&post(small_bytes, small_bytes)).await;
    let response = read_until(&mut small, &small_bytes.to_string()).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

// Guards against bodies that stand still and keep the memory from one that comes in.
#[tokio::test]
async fn body_that_stands_still_makes_room_for_one_that_comes() {
    let limits = Limits { body_bytes_max: 64 << 10, ..Limits::default() };
    let server = TestServer::start(limits).await;
    let mut stalled = server.connect(&post(60 << 10, (60 << 10) - 1)).await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let mut coming = server.connect(&post(50 << 10, 50 << 10)).await;
    let response = read_until(&mut coming, &(50 << 10).to_string()).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(read_until(&mut stalled, "never").await, "");
}

// Guards against a head whose time begins anew with each empty line or byte.
#[rstest]
#[case::empty_lines("\r\n")]
#[case::bytes("x")]
#[tokio::test]
async fn head_without_end_is_closed(#[case] piece: &str) {
    let limits = Limits { head_timeout: Duration::from_millis(500), ..Limits::default() };
    let server = TestServer::start(limits).await;
    let mut connection = server.connect(piece.as_bytes()).await;
    let sending = async {
        while connection.write_all(piece.as_bytes()).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, sending).await.expect("the connection is closed");
    assert_eq!(server.total(inbound::metrics::CLOSED_LATE), 1);
}
