//! Calls to a node's admin address.

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

/// Longest time of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Client of one node.
pub struct Client {
    target: Target,
}

impl Client {
    /// Client of the node at `target`.
    pub fn new(target: Target) -> Self {
        Self { target }
    }

    /// Reads.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        self.call(Method::GET, path, &())
    }

    /// Changes.
    pub fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Failure> {
        self.call(Method::POST, path, body)
    }

    /// Removes.
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
            .map_err(|error| self.unreachable(error))?;
        let body = serde_json::to_vec(body).expect("calls have string keys only");
        let changes = method != Method::GET;
        let operation_id = random_id();
        let exchange = self.exchange(method, path, &operation_id, body.into());
        let answered =
            runtime.block_on(async { tokio::time::timeout(CALL_TIMEOUT, exchange).await });
        let (status, answer) = match answered {
            Ok(answer) => answer?,
            Err(_) if changes => {
                return Err(unknown(&operation_id, "no answer in time"));
            }
            Err(_) => return Err(self.unreachable("no answer in time")),
        };
        if status == StatusCode::OK {
            return serde_json::from_slice(&answer).map_err(|error| self.unreachable(error));
        }
        Err(refusal(status, &answer))
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        operation_id: &OperationId,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let stream = TcpStream::connect(self.target.node);
        let stream = stream.await.map_err(|error| self.unreachable(error))?;
        let handshake = http1::handshake(TokioIo::new(stream));
        let (mut sender, connection) = handshake.await.map_err(|error| self.unreachable(error))?;
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
        let response = response.map_err(|error| unknown(operation_id, error))?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| unknown(operation_id, error))?;
        Ok((status, body.to_bytes()))
    }

    fn unreachable(&self, reason: impl ToString) -> Failure {
        Failure::Unreachable { address: self.target.node.to_string(), reason: reason.to_string() }
    }
}

fn unknown(operation_id: &OperationId, reason: impl ToString) -> Failure {
    let reason = reason.to_string();
    Failure::Unknown(format!(
        "{reason}; a change may be in force: `savorypitch operation {operation_id}` tells"
    ))
}

fn refusal(status: StatusCode, answer: &Bytes) -> Failure {
    if let Ok(diagnostics) = serde_json::from_slice::<Diagnostics>(answer) {
        return Failure::Diagnostics(diagnostics);
    }
    let detail = match serde_json::from_slice::<api::Problem>(answer) {
        Ok(problem) => problem.detail,
        Err(_) => format!("the node answered with status {status}"),
    };
    match status {
        StatusCode::GATEWAY_TIMEOUT => Failure::Unknown(detail),
        _ => Failure::Refused(detail),
    }
}
