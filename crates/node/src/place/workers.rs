//! Client of the task interface of workers.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use placement::protocol::COMMAND_PATH;
use placement::protocol::RENEW_PATH;
use placement::protocol::RenewRequest;
use placement::protocol::START_PATH;
use placement::protocol::StartCommand;
use placement::protocol::TaskCommand;
use placement::protocol::WorkerReply;
use serde::Serialize;
use tokio::net::TcpStream;

/// Longest time that a call to a worker may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The worker did not reply. It may still have executed the call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no reply from the worker: {reason}")]
pub struct Unresponsive {
    /// Timeout, or error of the connection or of the response.
    pub reason: String,
}

/// Task interface of workers.
#[async_trait]
pub trait Workers: Send + Sync {
    /// Starts a task under a lease. A repeated call does not start it again.
    async fn start(
        &self,
        worker: SocketAddr,
        start: &StartCommand,
    ) -> Result<WorkerReply, Unresponsive>;

    /// Renews leases. The reply reports the usage of tasks and the outcomes of finished ones.
    async fn renew(
        &self,
        worker: SocketAddr,
        renew: &RenewRequest,
    ) -> Result<WorkerReply, Unresponsive>;

    /// Checkpoints, throttles or stops a task.
    async fn command(
        &self,
        worker: SocketAddr,
        command: &TaskCommand,
    ) -> Result<WorkerReply, Unresponsive>;
}

/// Calls workers over HTTP. Each call opens a new connection, so that a broken connection cannot
/// remain undetected between calls.
pub struct HttpWorkers;

#[async_trait]
impl Workers for HttpWorkers {
    async fn start(
        &self,
        worker: SocketAddr,
        start: &StartCommand,
    ) -> Result<WorkerReply, Unresponsive> {
        call(worker, START_PATH, start).await
    }

    async fn renew(
        &self,
        worker: SocketAddr,
        renew: &RenewRequest,
    ) -> Result<WorkerReply, Unresponsive> {
        call(worker, RENEW_PATH, renew).await
    }

    async fn command(
        &self,
        worker: SocketAddr,
        command: &TaskCommand,
    ) -> Result<WorkerReply, Unresponsive> {
        call(worker, COMMAND_PATH, command).await
    }
}

async fn call(
    address: SocketAddr,
    path: &str,
    message: &impl Serialize,
) -> Result<WorkerReply, Unresponsive> {
    match tokio::time::timeout(CALL_TIMEOUT, exchange(address, path, message)).await {
        Ok(reply) => reply,
        Err(_) => Err(unresponsive("timeout")),
    }
}

async fn exchange(
    address: SocketAddr,
    path: &str,
    message: &impl Serialize,
) -> Result<WorkerReply, Unresponsive> {
    let body = serde_json::to_vec(message).map_err(unresponsive)?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(unresponsive)?;
    let stream = TcpStream::connect(address).await.map_err(unresponsive)?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(unresponsive)?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await.map_err(unresponsive)?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(unresponsive)?.to_bytes();
    if status != StatusCode::OK {
        return Err(unresponsive(format!("status {status}")));
    }
    serde_json::from_slice(&body).map_err(unresponsive)
}

fn unresponsive(reason: impl ToString) -> Unresponsive {
    Unresponsive { reason: reason.to_string() }
}
