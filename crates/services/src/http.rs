//! HTTP client of the platform's services.
//!
//! | request | request body | response body |
//! |---|---|---|
//! | `POST /table/get` | key in JSON | row in JSON, or `null` |
//! | `POST /table/scan` | [`Scan`] | list of rows |
//! | `POST /table/commit` | [`Transaction`] | [`CommitOutcome`] |
//! | `PUT`, `GET`, `DELETE /objects/{name}` | bytes | bytes |
//! | `GET /objects?prefix=` | | list of names |
//! | `GET /hosts` | | list of [`FleetHost`] |
//! | `POST /hosts/{id}/reboot` | operation id in JSON | [`RebootState`] |
//!
//! Each call uses an idle connection or opens a new one, and fails after the call timeout. The
//! connection of a failed call is not reused.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use model::OperationId;
use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use crate::fleet::Fleet;
use crate::fleet::FleetHost;
use crate::fleet::RebootState;
use crate::objects::Objects;
use crate::table::CommitOutcome;
use crate::table::Row;
use crate::table::Scan;
use crate::table::Table;
use crate::table::Transaction;
use crate::table::Unavailable;

/// Default for the maximum size of a reply, in bytes.
const REPLY_MAX_BYTES: usize = 64 << 20;
/// Maximum number of idle connections that are kept open.
const IDLE_CONNECTIONS_MAX: usize = 16;
/// Characters of object names and prefixes that are escaped in a URI.
const ESCAPED: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'/').remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Client of all platform services, at one address.
pub struct HttpPlatform {
    address: SocketAddr,
    call_timeout: Duration,
    reply_max_bytes: usize,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

impl HttpPlatform {
    /// Creates a client of the platform at `address`. Connections are opened when they are needed.
    pub fn new(address: SocketAddr, call_timeout: Duration) -> Self {
        let reply_max_bytes = REPLY_MAX_BYTES;
        Self { address, call_timeout, reply_max_bytes, idle: Mutex::default() }
    }

    /// Makes calls fail whose replies have more than `reply_max_bytes`.
    pub fn with_reply_max_bytes(self, reply_max_bytes: usize) -> Self {
        Self { reply_max_bytes, ..self }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), Unavailable> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(Unavailable::new)?;
        match tokio::time::timeout(self.call_timeout, self.exchange(request)).await {
            Ok(response) => response,
            Err(_) => Err(Unavailable::new("timeout")),
        }
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), Unavailable> {
        let mut sender = self.sender().await?;
        let response = sender.send_request(request).await.map_err(Unavailable::new)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), self.reply_max_bytes);
        let body = body.collect().await.map_err(Unavailable::new)?.to_bytes();
        let mut idle = self.idle.lock().expect("lock is never poisoned");
        if idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push(sender);
        }
        Ok((status, body))
    }

    async fn sender(&self) -> Result<SendRequest<Full<Bytes>>, Unavailable> {
        while let Some(mut sender) = self.pop_idle() {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = TcpStream::connect(self.address).await.map_err(Unavailable::new)?;
        stream.set_nodelay(true).map_err(Unavailable::new)?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(Unavailable::new)?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn pop_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        self.idle.lock().expect("lock is never poisoned").pop()
    }

    async fn call_json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Unavailable> {
        let body = serde_json::to_vec(body).map_err(Unavailable::new)?;
        let (status, response) = self.call(method, path, body.into()).await?;
        if status != StatusCode::OK {
            return Err(Unavailable::new(format!("status {status}")));
        }
        serde_json::from_slice(&response).map_err(Unavailable::new)
    }
}

#[async_trait]
impl Table for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Row>, Unavailable> {
        self.call_json(Method::POST, "/table/get", &key).await
    }

    async fn scan(&self, scan: Scan) -> Result<Vec<Row>, Unavailable> {
        self.call_json(Method::POST, "/table/scan", &scan).await
    }

    async fn commit(&self, transaction: &Transaction) -> CommitOutcome {
        let outcome = self.call_json(Method::POST, "/table/commit", transaction).await;
        // Whatever the error was, the service may have received the transaction.
        outcome.unwrap_or(CommitOutcome::Unknown)
    }
}

#[async_trait]
impl Objects for HttpPlatform {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), Unavailable> {
        let (status, _) = self.call(Method::PUT, &object_path(name), body).await?;
        expect_success(status)
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, Unavailable> {
        let (status, body) = self.call(Method::GET, &object_path(name), Bytes::new()).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        expect_success(status)?;
        Ok(Some(body))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, Unavailable> {
        self.call_json(Method::GET, &list_path(prefix), &()).await
    }

    async fn delete(&self, name: &str) -> Result<(), Unavailable> {
        let (status, _) = self.call(Method::DELETE, &object_path(name), Bytes::new()).await?;
        expect_success(status)
    }
}

#[async_trait]
impl Fleet for HttpPlatform {
    async fn hosts(&self) -> Result<Vec<FleetHost>, Unavailable> {
        self.call_json(Method::GET, "/hosts", &()).await
    }

    async fn reboot(
        &self,
        host: &str,
        operation: &OperationId,
    ) -> Result<RebootState, Unavailable> {
        self.call_json(Method::POST, &format!("/hosts/{host}/reboot"), operation).await
    }
}

fn list_path(prefix: &str) -> String {
    format!("/objects?prefix={}", utf8_percent_encode(prefix, ESCAPED))
}

fn object_path(name: &str) -> String {
    format!("/objects/{}", utf8_percent_encode(name, ESCAPED))
}

fn expect_success(status: StatusCode) -> Result<(), Unavailable> {
    if status.is_success() {
        return Ok(());
    }
    Err(Unavailable::new(format!("status {status}")))
}
