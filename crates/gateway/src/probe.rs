//! Asks a backend server, on a new connection, whether it is running a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Limited;
use limits::LimitTable;
use model::RequestId;

use crate::backends::Backend;
use crate::body::OutboundBody;
use crate::connection::Connection;
use crate::tokens::ConnectionToken;

/// Path below which a backend server says whether a request id is running: `true` or `false`.
pub const RUNNING_PATH: &str = "/.savorypitch/running/";
/// Path below which a backend server says whether it is running any request of a dispatcher. Once it
/// has said `false`, it must refuse requests of that dispatcher.
pub const DISPATCHED_PATH: &str = "/.savorypitch/dispatched/";
/// Largest report, in bytes.
const REPORT_MAX_BYTES: usize = 16;

/// What a backend server reports about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It is running.
    Running,
    /// It is not running.
    NotRunning,
    /// No report came.
    Unreachable,
}

/// Asks backend servers.
#[derive(Clone)]
pub struct Prober {
    /// Limits, for the token of the new connection.
    pub limits: Arc<LimitTable>,
    /// Time for one question.
    pub timeout: Duration,
}

impl Prober {
    /// Asks `backend` on a new connection whether `request` is running.
    pub async fn ask(&self, backend: &Backend, request: &RequestId) -> ProbeResult {
        let Some(token) = ConnectionToken::take(&self.limits, &backend.connections) else {
            return ProbeResult::Unreachable;
        };
        let path = format!("{RUNNING_PATH}{request}");
        self.ask_path(backend.address, Some(token), path).await
    }

    /// Asks the backend server at `address` whether it is running any request of `dispatcher`, which
    /// is gone. The new connection counts as one of those that the dispatcher has left.
    pub async fn probe_dispatcher(&self, address: SocketAddr, dispatcher: &str) -> ProbeResult {
        let path = format!("{DISPATCHED_PATH}{dispatcher}");
        self.ask_path(address, None, path).await
    }

    async fn ask_path(
        &self,
        address: SocketAddr,
        token: Option<ConnectionToken>,
        path: String,
    ) -> ProbeResult {
        let asked = self.try_ask(address, token, path);
        match tokio::time::timeout(self.timeout, asked).await {
            Ok(Some(true)) => ProbeResult::Running,
            Ok(Some(false)) => ProbeResult::NotRunning,
            Ok(None) | Err(_) => ProbeResult::Unreachable,
        }
    }

    async fn try_ask(
        &self,
        address: SocketAddr,
        token: Option<ConnectionToken>,
        path: String,
    ) -> Option<bool> {
        let opened = Connection::open(address, self.timeout, token).await;
        let mut connection = opened.ok()?;
        let question = Request::get(path)
            .header(header::HOST, HeaderValue::from_str(&address.to_string()).ok()?)
            .body(OutboundBody::held(Bytes::new()))
            .ok()?;
        let answer = connection.exchange(question).await.ok()?;
        if answer.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(answer.into_body(), REPORT_MAX_BYTES).collect().await.ok()?;
        match &*body.to_bytes() {
            b"true" => Some(true),
            b"false" => Some(false),
            _ => None,
        }
    }
}
