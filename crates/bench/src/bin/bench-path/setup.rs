//! The node, the backend servers and the callers, each on a runtime of its own.

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
use crate::load::Run;

/// Name of the node's threads.
pub const NODE_THREAD: &str = "node";

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const OPERATOR_KEY: &str = "operator-key-of-the-bench";
const BACKENDS: usize = 10;
const OTHER_THREADS: usize = 2;
/// Bytes of one frame of the large body.
const FRAME_BYTES: usize = 64 << 10;
/// Time for the node to have its tokens, and for connections to settle.
const SETTLE: Duration = Duration::from_secs(1);

/// All parts, running.
pub struct Bench {
    /// Address of the node for callers.
    pub node_address: SocketAddr,
    /// Address of one backend server.
    pub backend_address: SocketAddr,
    callers: Runtime,
    secret: String,
    _node: (Runtime, Node),
    _backends: Runtime,
}

impl Bench {
    /// Starts all parts and waits until a request goes through.
    pub fn start(node_threads: usize) -> Self {
        let backends = runtime("backend", OTHER_THREADS);
        let addresses = backends.block_on(async {
            let mut addresses = Vec::new();
            for _ in 0..BACKENDS {
                let backend = Arc::new(StandinBackend::default());
                let served = standin::backend::serve(backend, ANY_PORT).await;
                addresses.push(served.expect("a port is free").0);
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

    /// Sends for `length` to `address`.
    pub fn run(
        &self,
        address: SocketAddr,
        callers: usize,
        length: Duration,
        per_s: Option<f64>,
    ) -> Run {
        self.callers.block_on(load::run(address, &self.secret, callers, length, per_s))
    }

    /// Bytes of heap that the node needs more for `count` connections that have carried a request.
    pub fn heap_with_open_connections(&self, count: usize) -> i64 {
        self.callers.block_on(async {
            let before = heap::live_bytes();
            let mut open = Vec::with_capacity(count);
            for _ in 0..count {
                let mut sender = load::connect(self.node_address).await.expect("the node listens");
                let sent = sender.send_request(load::request(&self.secret)).await;
                let body = sent.expect("the node answers").into_body();
                body.collect().await.expect("the answer is whole");
                open.push(sender);
            }
            tokio::time::sleep(SETTLE).await;
            heap::live_bytes() - before
        })
    }

    /// Most bytes of heap that the node needs more while `size_bytes` are sent and echoed.
    pub fn heap_peak_with_body(&self, size_bytes: u64) -> i64 {
        self.callers.block_on(async {
            // Connections of earlier measurements are closed meanwhile.
            tokio::time::sleep(SETTLE).await;
            let before = heap::live_bytes();
            heap::reset_peak();
            let stream = TcpStream::connect(self.node_address).await.expect("the node listens");
            let handshake = http1::handshake(TokioIo::new(stream)).await;
            let (mut sender, connection) = handshake.expect("the connection is new");
            tokio::spawn(connection);
            let request = Request::post("/q/levy-validate/scans/1")
                .header("host", "bench")
                .header("authorization", format!("Bearer {}", self.secret))
                .body(LargeBody { left_bytes: size_bytes })
                .expect("the request is well formed");
            let answer = sender.send_request(request).await.expect("the node answers");
            let mut body = answer.into_body();
            let mut read_bytes = 0;
            while let Some(frame) = body.frame().await {
                let frame = frame.expect("the answer is whole");
                read_bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
            }
            assert_eq!(read_bytes, size_bytes, "the whole body came back");
            heap::peak_bytes() - before
        })
    }
}

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

async fn configure(admin_address: SocketAddr, backends: &[SocketAddr]) -> String {
    let apply = api::ApplyContract {
        source: "bench.toml".to_owned(),
        text: contract(backends),
        seen_version: None,
    };
    let _: api::Accepted = admin(admin_address, "/contracts", &apply).await;
    let grant = api::GrantKey { holder: KeyHolder::Team(TeamRef::new("levy", "officers")) };
    let key: api::GrantedKey = admin(admin_address, "/keys", &grant).await;
    key.secret
}

async fn wait_until_ready(address: SocketAddr, secret: &str) {
    tokio::time::sleep(SETTLE).await;
    let authorization = format!("Bearer {secret}");
    let headers = [("authorization", &*authorization)];
    let answer = call(address, Method::POST, "/q/levy-validate/x", &headers, "x").await;
    let answer = answer.expect("the node answers");
    assert!(answer.status.is_success(), "{answer:?}");
}

async fn admin<T: DeserializeOwned>(address: SocketAddr, path: &str, body: &impl Serialize) -> T {
    let authorization = format!("Bearer {OPERATOR_KEY}");
    let headers = [("authorization", &*authorization), ("content-type", "application/json")];
    let body = serde_json::to_vec(body).expect("messages are plain");
    let path = format!("{}{path}", api::PREFIX);
    let answer = call(address, Method::POST, &path, &headers, body).await;
    let answer = answer.expect("the node answers");
    serde_json::from_slice(&answer.body).unwrap_or_else(|_| panic!("{answer:?}"))
}

fn contract(backends: &[SocketAddr]) -> String {
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

/// Body of zeros.
struct LargeBody {
    left_bytes: u64,
}

impl http_body::Body for LargeBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        static ZEROS: [u8; FRAME_BYTES] = [0; FRAME_BYTES];
        let size = self.left_bytes.min(FRAME_BYTES as u64) as usize;
        if size == 0 {
            return Poll::Ready(None);
        }
        self.left_bytes -= size as u64;
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(&ZEROS[..size])))))
    }
}
