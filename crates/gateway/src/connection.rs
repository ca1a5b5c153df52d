//! HTTP/1 client connections, and pools of idle ones.
//!
//! A connection carries one request at a time and is closed when its [`Connection`] is dropped. It
//! is returned to a pool only after both the request and the response have been transferred
//! completely.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::request_body::OutboundBody;
use crate::tokens::ConnectionToken;

/// Maximum size of the read buffer of a connection, which limits the head of a response, in bytes.
const READ_BUFFER_MAX_BYTES: usize = 64 * 1_024;
/// Maximum number of idle connections to one address.
const IDLE_CONNECTIONS_MAX: usize = 16;
/// Time after which an idle connection is closed.
const IDLE_TIME_MAX: Duration = Duration::from_secs(30);
/// Maximum time to wait until an idle connection is ready for another request.
const READY_TIMEOUT: Duration = Duration::from_millis(50);
/// Idle time after which the operating system sends the first TCP keepalive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(10);
/// Time between two TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Number of unacknowledged TCP keepalive probes after which the connection counts as broken.
const KEEPALIVE_RETRIES: u32 = 3;

/// An open connection that carries one request at a time.
pub struct Connection {
    sender: SendRequest<OutboundBody>,
    task: JoinHandle<()>,
    idle_since: Instant,
}

/// Reason why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[error("the request was not sent: {reason}")]
    NotSent {
        /// The request, which can be sent on another connection.
        request: Box<Request<OutboundBody>>,
        /// Error message of the HTTP client.
        reason: String,
    },
    /// Some of the request was sent, so it may have run.
    #[error("the connection ended without an answer: {0}")]
    NoResponse(hyper::Error),
}

impl Connection {
    /// Opens a connection. Holds `token` until the connection is closed.
    pub async fn open(
        address: SocketAddr,
        timeout: Duration,
        token: Option<ConnectionToken>,
    ) -> io::Result<Self> {
        let connected = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
        let stream = connected.map_err(|_| io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_TIME)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_RETRIES);
        SockRef::from(&stream).set_tcp_keepalive(&keepalive)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_MAX_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // An error is also reported to the request that is using the connection.
            let _ = connection.await;
            drop(token);
        });
        Ok(Self { sender, task, idle_since: Instant::now() })
    }

    /// Sends a request and waits for the head of its response.
    pub async fn exchange(
        &mut self,
        request: Request<OutboundBody>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        self.sender.try_send_request(request).await.map_err(|mut failed| {
            let unsent = failed.take_message();
            let error = failed.into_error();
            match unsent {
                Some(request) => {
                    let request = Box::new(request);
                    ExchangeError::NotSent { request, reason: error.to_string() }
                }
                None => ExchangeError::NoResponse(error),
            }
        })
    }

    async fn is_ready(&mut self) -> bool {
        if self.sender.is_ready() {
            return true;
        }
        // The last response is complete, so the connection's task needs to be polled only once
        // more.
        let ready = tokio::time::timeout(READY_TIMEOUT, self.sender.ready()).await;
        matches!(ready, Ok(Ok(())))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Pool of idle connections to one address, used last in, first out.
#[derive(Default)]
pub struct IdleConnections {
    idle: Mutex<Vec<Connection>>,
}

impl IdleConnections {
    /// Removes and returns a connection that is ready for a request, if there is one.
    pub async fn take(&self) -> Option<Connection> {
        loop {
            let mut connection = self.idle.lock().expect("lock is never poisoned").pop()?;
            if connection.is_ready().await {
                return Some(connection);
            }
        }
    }

    /// Adds a connection whose request and response are complete. Closes it if the pool is full.
    pub fn put(&self, mut connection: Connection, now: Instant) {
        connection.idle_since = now;
        let mut idle = self.idle.lock().expect("lock is never poisoned");
        if idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push(connection);
        }
    }

    /// Returns true if the pool has no connection.
    pub fn is_empty(&self) -> bool {
        self.idle.lock().expect("lock is never poisoned").is_empty()
    }

    /// Closes the connections that have been idle for too long, or all of them if `close_all` is
    /// true.
    pub fn close_expired(&self, now: Instant, close_all: bool) {
        let mut idle = self.idle.lock().expect("lock is never poisoned");
        idle.retain(|c| !close_all && now.saturating_duration_since(c.idle_since) < IDLE_TIME_MAX);
    }
}
