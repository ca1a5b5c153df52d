//! Tests of requests that are sent to several backend servers one after the other.

#[path = "common/node.rs"]
mod node;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use limits::LimitKey;
use standin::caller::call;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::node::ANY_PORT;
use crate::node::SECRET;
use crate::node::TestNode;
use crate::node::two_hosts;

/// Time in which each request in doubt is probed several times.
const PROBE_TIME: Duration = Duration::from_millis(500);
const NOT_RUN: &str =
    "HTTP/1.1 503 Unavailable\r\nsavorypitch-outcome: not-run\r\ncontent-length: 0\r\n\r\n";

/// Two backend servers. They read each request; the first `cut` requests get no response, and the
/// others the response that they were not run. By its replies to probes, the server that got
/// the first request is still running it.
struct Servers {
    cut: usize,
    /// Servers that got requests, in the order of the requests.
    requests: Mutex<Vec<usize>>,
}

impl Servers {
    async fn start(cut: usize) -> (Arc<Self>, TestNode) {
        let servers = Arc::new(Self { cut, requests: Mutex::default() });
        let addresses = [servers.serve(0).await, servers.serve(1).await];
        let node = TestNode::start(&two_hosts(addresses), 4, SECRET).await;
        node.limits.grant(&LimitKey::Slots("w2".into()), 4);
        node.limits.grant(&LimitKey::Connections("w2".into()), 8);
        (servers, node)
    }

    async fn serve(self: &Arc<Self>, server: usize) -> SocketAddr {
        let listener = TcpListener::bind(ANY_PORT).await.unwrap();
        let address = listener.local_addr().unwrap();
        let servers = self.clone();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let response = servers.response(server, &read_head(&mut stream).await);
                let _ = stream.write_all(response.as_bytes()).await;
            }
        });
        address
    }

    fn response(&self, server: usize, head: &str) -> String {
        let mut requests = self.requests.lock().unwrap();
        if head.contains("/.savorypitch/running/") {
            let is_running = requests.first() == Some(&server);
            let body = is_running.to_string();
            return format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        }
        requests.push(server);
        if requests.len() <= self.cut { String::new() } else { NOT_RUN.to_owned() }
    }

    fn requests(&self) -> Vec<usize> {
        self.requests.lock().unwrap().clone()
    }
}

async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => break,
        }
    }
    String::from_utf8_lossy(&head).into_owned()
}

/// Failure: the answer of the first attempt is lost, the retry is refused. The error says that the
/// request was not run, and a third attempt goes to the first host, where probes fence it.
#[tokio::test]
async fn a_refused_retry_does_not_hide_that_the_request_may_have_run() {
    let (servers, node) = Servers::start(1).await;
    let response = call(node.server.address, Method::GET, "/q/q/x", &[], String::new()).await;
    let response = response.unwrap();
    assert_eq!((response.status, response.outcome()), (StatusCode::BAD_GATEWAY, "unknown"));
    let body = String::from_utf8_lossy(&response.body).into_owned();
    assert!(body.contains("the connection ended without an answer"), "{body}");
    assert!(!body.contains("did not run"), "{body}");
    let requests = servers.requests();
    assert_eq!(requests.len(), 2, "{requests:?}");
    assert_ne!(requests[0], requests[1]);
}

/// Failure: the answers of two attempts are lost. The report of one host that it is not running the
/// request releases the slot of the other host, which still runs it.
#[tokio::test]
async fn a_probe_of_one_host_does_not_release_the_slot_of_another() {
    let (servers, node) = Servers::start(usize::MAX).await;
    let sent = call(node.server.address, Method::GET, "/q/q/x", &[], String::new()).await;
    assert_eq!(sent.unwrap().outcome(), "unknown");
    tokio::time::sleep(PROBE_TIME).await;
    let requests = servers.requests();
    assert_eq!(requests.len(), 2, "{requests:?}");
    let in_doubt = |server: usize| {
        let host = ["w1", "w2"][server];
        node.limits.get(&LimitKey::Slots(host.into())).unwrap().in_doubt
    };
    assert_eq!((in_doubt(requests[0]), in_doubt(requests[1])), (1, 0));
}
