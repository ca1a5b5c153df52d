//! Probes of backend servers: whether a server is running a request, asked on a new connection.

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
use crate::connection::Connection;
use crate::request_body::OutboundBody;
use crate::tokens::ConnectionToken;

/// Path prefix, followed by a request ID, under which a backend server reports whether it is
/// running that request. The response body is `true` or `false`.
pub const RUNNING_PATH: &str = "/.savorypitch/running/";
/// Path prefix, followed by a dispatcher, under which a backend server reports whether it is
/// running any request of that dispatcher. Once it has reported `false`, it must refuse all further
/// requests of the dispatcher.
pub const DISPATCHED_PATH: &str = "/.savorypitch/dispatched/";
/// Maximum size of the body of a probe's response, in bytes.
const RESPONSE_MAX_BYTES: usize = 16;

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The server reports that it is running the request.
    Running,
    /// The server reports that it is not running the request.
    NotRunning,
    /// The server gave no valid response, or there was no token for a connection to it.
    Unreachable,
}

/// Sends probes to backend servers.
#[derive(Clone)]
pub struct Prober {
    /// Limits, from which the token of a probe's connection is taken.
    pub limits: Arc<LimitTable>,
    /// Timeout of one probe, including the time to open its connection.
    pub timeout: Duration,
}

impl Prober {
    /// Probes on a new connection whether `backend` is running `request`.
    pub async fn probe_request(&self, backend: &Backend, request: &RequestId) -> ProbeResult {
        let Some(token) = ConnectionToken::try_acquire(&self.limits, &backend.connections) else {
            return ProbeResult::Unreachable;
        };
        let path = format!("{RUNNING_PATH}{request}");
        self.probe_path(backend.address, Some(token), path).await
    }

    /// Probes whether the backend server at `address` is running any request of `dispatcher`, a
    /// node that is gone. Takes no connection token: the new connection uses one of those that the
    /// dispatcher held.
    pub async fn probe_dispatcher(&self, address: SocketAddr, dispatcher: &str) -> ProbeResult {
        let path = format!("{DISPATCHED_PATH}{dispatcher}");
        self.probe_path(address, None, path).await
    }

    async fn probe_path(
        &self,
        address: SocketAddr,
        token: Option<ConnectionToken>,
        path: String,
    ) -> ProbeResult {
        let probe = self.try_probe(address, token, path);
        match tokio::time::timeout(self.timeout, probe).await {
            Ok(Some(true)) => ProbeResult::Running,
            Ok(Some(false)) => ProbeResult::NotRunning,
            Ok(None) | Err(_) => ProbeResult::Unreachable,
        }
    }

    async fn try_probe(
        &self,
        address: SocketAddr,
        token: Option<ConnectionToken>,
        path: String,
    ) -> Option<bool> {
        let opened = Connection::open(address, self.timeout, token).await;
        let mut connection = opened.ok()?;
        let request = Request::get(path)
            .header(header::HOST, HeaderValue::from_str(&address.to_string()).ok()?)
            .body(OutboundBody::buffered(Bytes::new()))
            .ok()?;
        let response = connection.exchange(request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES).collect().await.ok()?;
        match &*body.to_bytes() {
            b"true" => Some(true),
            b"false" => Some(false),
            _ => None,
        }
    }
}
