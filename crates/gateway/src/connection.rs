//! HTTP/1 connections that the gateway opens; each carries one request at a time.
//!
//! A connection is closed as soon as its [`Connection`] is dropped. It is kept for another request
//! only after the answer and the request have both ended.

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

/// Idle connections kept to one address.
const IDLE_MAX: usize = 16;
/// Time after which an idle connection is closed.
const IDLE_TIME_MAX: Duration = Duration::from_secs(30);
/// Time in which an idle connection has to show that it is ready.
const READY_TIMEOUT: Duration = Duration::from_millis(50);
/// Silence before the system asks the other end whether it is there.
const KEEPALIVE_TIME: Duration = Duration::from_secs(10);
/// Time between two such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Questions without an answer after which the connection is broken.
const KEEPALIVE_RETRIES: u32 = 3;

/// An open connection that carries one request at a time.
pub struct Connection {
    sender: SendRequest<OutboundBody>,
    task: JoinHandle<()>,
    idle_since: Instant,
}

/// Why an exchange brought no answer.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// No byte of the request was sent; here it is back.
    #[error("the request was not sent: {reason}")]
    NotSent {
        /// The request.
        request: Box<Request<OutboundBody>>,
        /// What was seen.
        reason: String,
    },
    /// Some of the request was sent.
    #[error("the connection ended without an answer: {0}")]
    NoResponse(hyper::Error),
}

impl Connection {
    /// Opens a connection; `token` is held until it is closed.
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
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // How the connection ends is seen by the exchange that it carries.
            let _ = connection.await;
            drop(token);
        });
        Ok(Self { sender, task, idle_since: Instant::now() })
    }

    /// Sends a request and waits for the head of its answer.
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
        // The last answer has ended, so this takes one turn of the connection's task.
        let ready = tokio::time::timeout(READY_TIMEOUT, self.sender.ready()).await;
        matches!(ready, Ok(Ok(())))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections to one address; the last used is taken first.
#[derive(Default)]
pub struct IdleConnections {
    idle: Mutex<Vec<Connection>>,
}

impl IdleConnections {
    /// An idle connection that is ready.
    pub async fn take(&self) -> Option<Connection> {
        loop {
            let mut connection = self.idle.lock().expect("no holder panics").pop()?;
            if connection.is_ready().await {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection whose request and answer have ended.
    pub fn put(&self, mut connection: Connection, now: Instant) {
        connection.idle_since = now;
        let mut idle = self.idle.lock().expect("no holder panics");
        if idle.len() < IDLE_MAX {
            idle.push(connection);
        }
    }

    /// True if there is none.
    pub fn is_empty(&self) -> bool {
        self.idle.lock().expect("no holder panics").is_empty()
    }

    /// Closes connections that have been idle for long, and all of them if `all` is set.
    pub fn close_expired(&self, now: Instant, all: bool) {
        let mut idle = self.idle.lock().expect("no holder panics");
        idle.retain(|c| !all && now.saturating_duration_since(c.idle_since) < IDLE_TIME_MAX);
    }
}
