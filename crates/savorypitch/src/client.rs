//! HTTP client for the admin address of a node.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use model::Diagnostics;
use model::OperationId;
use model::ids::random_id;
use node::api;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use crate::args::Target;
use crate::failure::Failure;

/// Timeout of a call, including the time to connect.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Client that calls one node with the operator's key.
pub struct Client {
    target: Target,
}

impl Client {
    /// Creates a client of the node at `target`.
    pub fn new(target: Target) -> Self {
        Self { target }
    }

    /// Reads the resource at `path` and returns the decoded response.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        self.call(Method::GET, path, &())
    }

    /// Posts `body` to `path` and returns the decoded response.
    pub fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Failure> {
        self.call(Method::POST, path, body)
    }

    /// Deletes the resource at `path` and returns the decoded response.
    pub fn delete<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        self.call(Method::DELETE, path, &())
    }

    fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Failure> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| self.unreachable_error(error))?;
        let body = serde_json::to_vec(body).expect("request bodies have string keys only");
        let is_change = method != Method::GET;
        let operation_id = random_id();
        let exchange = self.send_request(method, path, &operation_id, body.into());
        let result = runtime.block_on(async { tokio::time::timeout(CALL_TIMEOUT, exchange).await });
        let (status, response_body) = match result {
            Ok(response) => response?,
            Err(_) if is_change => {
                return Err(unknown_outcome(&operation_id, "no response in time"));
            }
            Err(_) => return Err(self.unreachable_error("no response in time")),
        };
        if status == StatusCode::OK {
            return serde_json::from_slice(&response_body)
                .map_err(|error| self.unreachable_error(error));
        }
        Err(response_error(status, &response_body))
    }

    async fn send_request(
        &self,
        method: Method,
        path: &str,
        operation_id: &OperationId,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let stream = TcpStream::connect(self.target.node);
        let stream = stream.await.map_err(|error| self.unreachable_error(error))?;
        let handshake = http1::handshake(TokioIo::new(stream));
        let (mut sender, connection) =
            handshake.await.map_err(|error| self.unreachable_error(error))?;
        tokio::spawn(connection);
        let key = self.target.key.as_deref().unwrap_or_default();
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", api::PREFIX))
            .header(header::HOST, self.target.node.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {key}"))
            .header(header::CONTENT_TYPE, "application/json")
            .header(api::OPERATION_ID, &**operation_id)
            .body(Full::new(body))
            .map_err(|error| Failure::Refused(error.to_string()))?;
        let response = sender.send_request(request).await;
        let response = response.map_err(|error| unknown_outcome(operation_id, error))?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| unknown_outcome(operation_id, error))?;
        Ok((status, body.to_bytes()))
    }

    fn unreachable_error(&self, reason: impl ToString) -> Failure {
        Failure::Unreachable { address: self.target.node.to_string(), reason: reason.to_string() }
    }
}

fn unknown_outcome(operation_id: &OperationId, reason: impl ToString) -> Failure {
    let reason = reason.to_string();
    Failure::Unknown(format!(
        "{reason}; a change may have become active: `savorypitch operation {operation_id}` shows it"
    ))
}

fn response_error(status: StatusCode, response_body: &Bytes) -> Failure {
    if let Ok(diagnostics) = serde_json::from_slice::<Diagnostics>(response_body) {
        return Failure::Diagnostics(diagnostics);
    }
    let detail = match serde_json::from_slice::<api::Problem>(response_body) {
        Ok(problem) => problem.detail,
        Err(_) => format!("the node responded with status {status}"),
    };
    match status {
        StatusCode::GATEWAY_TIMEOUT => Failure::Unknown(detail),
        _ => Failure::Refused(detail),
    }
}
