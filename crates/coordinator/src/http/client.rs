//! HTTP/1.1 client with a bounded number of connections for each address and kind of call.
//!
//! A process may be replaced by a later one at its address. A connection ends with the process that
//! it leads to, so one that was opened while a process is known to have run leads to no later one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use scheduler::Moment;
use scheduler::SortedMap;
use telemetry::Telemetry;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::ReplyLimits;
use super::replies::Replies;
use crate::clock;

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Size of the read buffer of a connection, which limits the head of a reply, in bytes.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Maximum number of headers of a reply.
const HEADERS_MAX: usize = 100;

/// Kind of a call. Each kind has its own connections, so that calls whose response is held back
/// don't delay others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// Calls that are answered at once.
    Short,
    /// Calls whose response may be held back until something happens.
    Waiting,
}

impl CallKind {
    /// Maximum number of connections to one address.
    fn connections_max(self) -> usize {
        match self {
            Self::Short => 6,
            Self::Waiting => 4,
        }
    }
}

/// An HTTP request.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers beside `host` and `content-type`.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// JSON body; empty for none.
    pub body: Bytes,
    /// When the process that the request is meant for is known to have run.
    pub process_known_at: Option<Moment>,
    /// Body to send instead on a connection that was opened later.
    pub body_if_newer: Option<Bytes>,
    /// Time limit for the whole call, including the wait for a connection.
    pub timeout: Duration,
}

impl Request {
    /// Creates a request without extra headers.
    pub fn new(
        method: Method,
        path: impl Into<String>,
        body: impl Into<Bytes>,
        timeout: Duration,
    ) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: body.into(),
            process_known_at: None,
            body_if_newer: None,
            timeout,
        }
    }

    /// Sets when the process that the request is meant for is known to have run.
    pub fn meant_for_process_at(self, known_at: Option<Moment>) -> Self {
        Self { process_known_at: known_at, ..self }
    }

    /// Sets the body for a connection that may lead to a later process.
    pub fn body_if_newer(self, body: impl Into<Bytes>) -> Self {
        Self { body_if_newer: Some(body.into()), ..self }
    }

    /// Adds a header. A value that is not valid in a header is left out.
    pub fn header(mut self, name: HeaderName, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.push((name, value));
        }
        self
    }
}

/// An HTTP response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// The request can't have reached a later process than the one that it is meant for.
    pub is_to_known_process: bool,
}

/// Why a call got no response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The request was not sent.
    #[error("request not sent: {0}")]
    NotSent(String),
    /// The address refused the connection: no process listens there.
    #[error("connection refused")]
    ConnectionRefused,
    /// The request was sent and may have been carried out.
    #[error("no response: {why}")]
    NoResponse {
        /// What went wrong.
        why: String,
        /// The request can't have reached a later process than the one that it is meant for.
        is_to_known_process: bool,
    },
}

type Sender = SendRequest<Full<Bytes>>;

struct ConnectionPool {
    permits: Semaphore,
    idle: Mutex<Vec<Connection>>,
}

struct Connection {
    sender: Sender,
    /// When the connection was established.
    opened_at: Moment,
}

/// How far a request has got.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Sent {
    No,
    ToAnyProcess,
    ToKnownProcess,
}

type ConnectionPools = SortedMap<(SocketAddr, CallKind), Arc<ConnectionPool>>;

/// HTTP/1.1 client. Clones share their connections.
///
/// Lock order: the map of pools, then the idle connections of one pool; neither is held across an
/// await.
#[derive(Clone)]
pub struct Client {
    pools: Arc<Mutex<ConnectionPools>>,
    replies: Arc<Replies>,
}

impl Default for Client {
    fn default() -> Self {
        let telemetry = Telemetry::new(None).expect("metrics without a collector need no socket");
        Self::new(ReplyLimits::default(), telemetry)
    }
}

impl Client {
    /// Creates a client that reads replies within limits.
    pub fn new(limits: ReplyLimits, telemetry: Telemetry) -> Self {
        Self { pools: Arc::default(), replies: Arc::new(Replies::new(limits, telemetry)) }
    }

    /// Sends a request and reads the complete response.
    pub async fn call(
        &self,
        address: SocketAddr,
        kind: CallKind,
        request: Request,
    ) -> Result<Response, CallError> {
        let time_limit = request.timeout;
        let mut sent = Sent::No;
        match timeout(time_limit, self.exchange(address, kind, request, &mut sent)).await {
            Ok(result) => result,
            Err(_) if sent == Sent::No => Err(CallError::NotSent("timed out".to_owned())),
            Err(_) => {
                // The other connections to this address may be broken as well.
                self.close_idle(address);
                Err(no_response("timed out", sent))
            }
        }
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut pools = self.pools.lock().expect("lock is never poisoned");
        pools.retain(|(other, _), _| *other != address);
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        kind: CallKind,
        request: Request,
        sent: &mut Sent,
    ) -> Result<Response, CallError> {
        let pool = self.pool(address, kind);
        let _permit = pool.permits.acquire().await.expect("the semaphore is never closed");
        let mut connection = match pool.take_idle() {
            Some(connection) => connection,
            None => connect(address).await?,
        };
        let is_to_known_process =
            request.process_known_at.is_some_and(|known_at| connection.opened_at <= known_at);
        let request = encode(address, request, is_to_known_process)?;
        *sent = if is_to_known_process { Sent::ToKnownProcess } else { Sent::ToAnyProcess };
        let response = connection.sender.send_request(request).await;
        let (head, body) = response.map_err(|error| no_response(error, *sent))?.into_parts();
        let body = self.replies.read(body).await.map_err(|error| no_response(error, *sent))?;
        pool.return_idle(connection);
        Ok(Response { status: head.status, headers: head.headers, body, is_to_known_process })
    }

    fn pool(&self, address: SocketAddr, kind: CallKind) -> Arc<ConnectionPool> {
        let mut pools = self.pools.lock().expect("lock is never poisoned");
        let new = || {
            let permits = Semaphore::new(kind.connections_max());
            Arc::new(ConnectionPool { permits, idle: Mutex::new(Vec::new()) })
        };
        pools.entry_or((address, kind), new).clone()
    }
}

impl ConnectionPool {
    /// Returns an idle connection that the other end has not closed.
    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("lock is never poisoned");
        while let Some(connection) = idle.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn return_idle(&self, connection: Connection) {
        if !connection.sender.is_closed() {
            self.idle.lock().expect("lock is never poisoned").push(connection);
        }
    }
}

fn no_response(why: impl ToString, sent: Sent) -> CallError {
    let is_to_known_process = sent == Sent::ToKnownProcess;
    CallError::NoResponse { why: why.to_string(), is_to_known_process }
}

async fn connect(address: SocketAddr) -> Result<Connection, CallError> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            return Err(CallError::ConnectionRefused);
        }
        Ok(Err(error)) => return Err(CallError::NotSent(error.to_string())),
        Err(_) => return Err(CallError::NotSent("connecting timed out".to_owned())),
    };
    stream.set_nodelay(true).map_err(|error| CallError::NotSent(error.to_string()))?;
    let handshake = hyper::client::conn::http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .max_headers(HEADERS_MAX)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = handshake.map_err(|error| CallError::NotSent(error.to_string()))?;
    tokio::spawn(async move {
        // The request on the connection gets the error.
        let _ = connection.await;
    });
    Ok(Connection { sender, opened_at: clock::now() })
}

fn encode(
    address: SocketAddr,
    request: Request,
    is_to_known_process: bool,
) -> Result<http::Request<Full<Bytes>>, CallError> {
    let body = request.body_if_newer.filter(|_| !is_to_known_process).unwrap_or(request.body);
    let has_body = !body.is_empty();
    let mut encoded = http::Request::builder()
        .method(request.method)
        .uri(request.path)
        .header(http::header::HOST, address.to_string());
    if has_body {
        encoded = encoded.header(http::header::CONTENT_TYPE, "application/json");
    }
    for (name, value) in request.headers {
        encoded = encoded.header(name, value);
    }
    encoded
        .body(Full::new(body))
        .map_err(|error| CallError::NotSent(format!("malformed request: {error}")))
}
