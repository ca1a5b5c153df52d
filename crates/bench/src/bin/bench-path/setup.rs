//! Starts the node, the backend servers and the callers, each on its own runtime.

use std::convert::Infallible;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use gateway::GatewaySettings;
use http::Method;
use http::Request;
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use model::TeamRef;
use model::key::KeyHolder;
use model::key::hash_key;
use node::Node;
use node::Platform;
use node::Settings;
use node::api;
use serde::Serialize;
use serde::de::DeserializeOwned;
use standin::backend::StandinBackend;
use standin::caller::call;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

use crate::heap;
use crate::load;
use crate::load::RunResult;

/// Name of the threads of the node.
pub const NODE_THREAD: &str = "node";

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const OPERATOR_KEY: &str = "operator-key-of-the-bench";
const BACKEND_COUNT: usize = 10;
/// Number of worker threads of the backend servers, and of the callers.
const OTHER_THREADS: usize = 2;
/// Maximum size of a frame of the large body, in bytes.
const FRAME_BYTES: usize = 64 << 10;
/// Time for the node to get its tokens, and for connections to be opened or closed.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// The running node, backend servers and callers.
pub struct Bench {
    /// Address of the node for callers.
    pub node_address: SocketAddr,
    /// Address of one backend server.
    pub backend_address: SocketAddr,
    callers: Runtime,
    /// Secret of the key that the callers use.
    secret: String,
    _node: (Runtime, Node),
    _backends: Runtime,
}

impl Bench {
    /// Starts all parts, configures the node, and checks that it serves a request.
    pub fn start(node_threads: usize) -> Self {
        let backends = runtime("backend", OTHER_THREADS);
        let addresses = backends.block_on(async {
            let mut addresses = Vec::new();
            for _ in 0..BACKEND_COUNT {
                let backend = Arc::new(StandinBackend::default());
                let server = standin::backend::serve(backend, ANY_PORT).await;
                addresses.push(server.expect("a port is free").0);
            }
            addresses
        });
        let node_runtime = runtime(NODE_THREAD, node_threads);
        let node = node_runtime
            .block_on(node_runtime.spawn(Node::start(settings(), Platform::embedded())))
            .expect("the node does not panic")
            .expect("the node starts");
        let callers = runtime("caller", OTHER_THREADS);
        let secret = callers.block_on(configure(node.admin_address, &addresses));
        callers.block_on(wait_until_ready(node.caller_address, &secret));
        Self {
            node_address: node.caller_address,
            backend_address: addresses[0],
            callers,
            secret,
            _node: (node_runtime, node),
            _backends: backends,
        }
    }

    /// Sends requests to `address` for `duration`; see [`load::run`].
    pub fn run(
        &self,
        address: SocketAddr,
        callers: usize,
        duration: Duration,
        per_s: Option<f64>,
    ) -> RunResult {
        self.callers.block_on(load::run(address, &self.secret, callers, duration, per_s))
    }

    /// Returns by how many bytes the heap of the node grows with `count` open connections, each of
    /// which has carried a request.
    pub fn heap_with_open_connections(&self, count: usize) -> i64 {
        self.callers.block_on(async {
            let before = heap::live_bytes();
            let mut open = Vec::with_capacity(count);
            for _ in 0..count {
                let mut sender = load::connect(self.node_address).await.expect("the node listens");
                let response = sender.send_request(load::new_request(&self.secret)).await;
                let body = response.expect("the node responds").into_body();
                body.collect().await.expect("the response is complete");
                open.push(sender);
            }
            tokio::time::sleep(SETTLE_TIME).await;
            heap::live_bytes() - before
        })
    }

    /// Returns by how many bytes the heap of the node grows at most while a body of `size_bytes` is
    /// sent and echoed.
    pub fn heap_peak_with_body(&self, size_bytes: u64) -> i64 {
        self.callers.block_on(async {
            // Waits until the connections of earlier measurements are closed.
            tokio::time::sleep(SETTLE_TIME).await;
            let before = heap::live_bytes();
            heap::reset_peak();
            let stream = TcpStream::connect(self.node_address).await.expect("the node listens");
            let handshake = http1::handshake(TokioIo::new(stream)).await;
            let (mut sender, connection) = handshake.expect("the connection is new");
            tokio::spawn(connection);
            let request = Request::post("/q/levy-validate/scans/1")
                .header("host", "bench")
                .header("authorization", format!("Bearer {}", self.secret))
                .body(LargeBody { remaining_bytes: size_bytes })
                .expect("the request is well formed");
            let response = sender.send_request(request).await.expect("the node responds");
            let mut body = response.into_body();
            let mut read_bytes = 0;
            while let Some(frame) = body.frame().await {
                let frame = frame.expect("the response is complete");
                read_bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
            }
            assert_eq!(read_bytes, size_bytes, "the whole body came back");
            heap::peak_bytes() - before
        })
    }
}

/// Builds a runtime whose threads have this name; allocations of the node's threads are counted.
fn runtime(name: &'static str, threads: usize) -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .on_thread_start(move || {
            if name == NODE_THREAD {
                heap::count_this_thread();
            }
        })
        .enable_all()
        .build()
        .expect("the system has threads")
}

fn settings() -> Settings {
    Settings {
        node: "n1".into(),
        zone: "a".into(),
        caller_address: ANY_PORT,
        admin_address: ANY_PORT,
        operator_key_hash: Some(hash_key(OPERATOR_KEY)),
        peering: None,
        node_count: 1,
        poll_interval: Duration::from_secs(1),
        metrics_address: None,
        gateway: GatewaySettings { body_max_bytes: 2 << 30, ..GatewaySettings::default() },
    }
}

/// Applies the contract and grants a key; returns its secret.
async fn configure(admin_address: SocketAddr, backends: &[SocketAddr]) -> String {
    let apply = api::ApplyContract {
        source: "bench.toml".to_owned(),
        text: contract_text(backends),
        seen_version: None,
    };
    let _: api::Accepted = call_admin(admin_address, "/contracts", &apply).await;
    let grant = api::GrantKey { holder: KeyHolder::Team(TeamRef::new("levy", "officers")) };
    let key: api::GrantedKey = call_admin(admin_address, "/keys", &grant).await;
    key.secret
}

async fn wait_until_ready(address: SocketAddr, secret: &str) {
    tokio::time::sleep(SETTLE_TIME).await;
    let authorization = format!("Bearer {secret}");
    let headers = [("authorization", &*authorization)];
    let response = call(address, Method::POST, "/q/levy-validate/x", &headers, "x").await;
    let response = response.expect("the node responds");
    assert!(response.status.is_success(), "{response:?}");
}

/// Sends a request to the admin API of the node and parses the response.
async fn call_admin<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> T {
    let authorization = format!("Bearer {OPERATOR_KEY}");
    let headers = [("authorization", &*authorization), ("content-type", "application/json")];
    let body = serde_json::to_vec(body).expect("the message can be serialized");
    let path = format!("{}{path}", api::PREFIX);
    let response = call(address, Method::POST, &path, &headers, body).await;
    let response = response.expect("the node responds");
    serde_json::from_slice(&response.body).unwrap_or_else(|_| panic!("{response:?}"))
}

fn contract_text(backends: &[SocketAddr]) -> String {
    let mut text = r#"
customer = "levy"
profile = "share"
[[services]]
name = "validate"
unavailable_max = 3
[[queues]]
name = "levy-validate"
service = "validate"
teams = ["officers"]
waiting_max = 4000
[[teams]]
name = "officers"
running_max = 80
[[pools]]
name = "levy-validate"
service = "validate"
"#
    .to_owned();
    for (index, address) in backends.iter().enumerate() {
        text.push_str(&format!(
            "[[hosts]]\nname = \"w{index}\"\npool = \"levy-validate\"\naddress = \"{address}\"\n\
             zone = \"a\"\nrack = \"r{index}\"\nslots = 8\nconnections_max = 64\n\
             processors = 16\nmemory_mib = 32768\n"
        ));
    }
    text
}

/// Request body of zeros that is generated frame by frame.
struct LargeBody {
    remaining_bytes: u64,
}

impl http_body::Body for LargeBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        static ZEROS: [u8; FRAME_BYTES] = [0; FRAME_BYTES];
        let size = self.remaining_bytes.min(FRAME_BYTES as u64) as usize;
        if size == 0 {
            return Poll::Ready(None);
        }
        self.remaining_bytes -= size as u64;
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(&ZEROS[..size])))))
    }
}
