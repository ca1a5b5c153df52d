//! Bodies of requests, collected within a budget.

use std::future::poll_fn;
use std::ops::Deref;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::Request;
use axum::extract::State;
use axum::middleware;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use bytes::Bytes;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use http_body::Body as _;
use tokio::sync::OwnedSemaphorePermit;

use crate::connection::Connection;
use crate::ledger::FREE_BODY_BYTES;
use crate::ledger::Phase;
use crate::metrics;

/// Longest time that a body waits for others to release bytes.
const ROOM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Smallest buffer for a body that is not empty, in bytes.
const BUFFER_BYTES_MIN: usize = 1_024;
/// Time after which a caller should send a refused request again, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// Why a body was not collected. The request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is larger than one request may have.
    #[error("the body is larger than {max_bytes} bytes")]
    TooLarge {
        /// Maximum size of a body, in bytes.
        max_bytes: usize,
    },
    /// The body is malformed, or its connection has ended.
    #[error("the body is malformed or was cut")]
    Broken,
    /// Other bodies hold the memory that is meant for bodies.
    #[error("there is no memory for the body now; the request was not executed")]
    NoRoom,
}

impl IntoResponse for BodyError {
    fn into_response(self) -> Response {
        let status = match self {
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Broken => StatusCode::BAD_REQUEST,
            Self::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = (status, self.to_string()).into_response();
        if self == Self::NoRoom {
            let retry_after = HeaderValue::from(RETRY_AFTER_S);
            response.headers_mut().insert(header::RETRY_AFTER, retry_after);
        }
        response
    }
}

/// A complete body; gives its bytes back to the budget when dropped.
pub struct HeldBody {
    bytes: Bytes,
    /// Bytes of the budget that the body has taken.
    taken: Vec<OwnedSemaphorePermit>,
    connection: Arc<Connection>,
}

impl HeldBody {
    /// Returns the body; the clone counts against the budget only while `self` lives.
    pub fn bytes(&self) -> Bytes {
        self.bytes.clone()
    }
}

impl Deref for HeldBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.connection.record_released();
    }
}

/// A buffer that copies the chunks of a body together, so that small chunks keep no read buffers
/// alive.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
}

impl BodyBuffer {
    /// Returns how many bytes the buffer must grow for another chunk: to twice its size, but not
    /// above `max_bytes`. Returns none if the body would be larger than that.
    pub fn growth(&self, chunk_bytes: usize, max_bytes: usize) -> Option<usize> {
        let needed = self.bytes.len() + chunk_bytes;
        let capacity = self.bytes.capacity();
        if needed > max_bytes {
            return None;
        }
        match needed <= capacity {
            true => Some(0),
            false => Some(needed.max(2 * capacity).max(BUFFER_BYTES_MIN).min(max_bytes) - capacity),
        }
    }

    /// Grows the buffer by what [`Self::growth`] has returned, and appends a chunk.
    pub fn append(&mut self, chunk: &[u8], growth_bytes: usize) {
        if growth_bytes > 0 {
            let spare = self.bytes.capacity() - self.bytes.len();
            self.bytes.reserve_exact(spare + growth_bytes);
        }
        self.bytes.extend_from_slice(chunk);
    }

    /// Returns the complete body.
    pub fn finish(self) -> Bytes {
        self.bytes.into()
    }
}

impl Connection {
    /// Collects the body of the connection's request.
    pub async fn collect(
        self: &Arc<Self>,
        body: Body,
        max_bytes: usize,
    ) -> Result<HeldBody, BodyError> {
        // Given back by dropping it, also if the body fails.
        let mut held =
            HeldBody { bytes: Bytes::new(), taken: Vec::new(), connection: self.clone() };
        if body.is_end_stream() {
            return Ok(held);
        }
        if body.size_hint().lower() > max_bytes as u64 {
            return Err(BodyError::TooLarge { max_bytes });
        }
        self.enter(Phase::Body);
        held.bytes = self.read_all(body, max_bytes, &mut held.taken).await?;
        self.enter(Phase::Serving);
        Ok(held)
    }

    async fn read_all(
        &self,
        mut body: Body,
        max_bytes: usize,
        taken: &mut Vec<OwnedSemaphorePermit>,
    ) -> Result<Bytes, BodyError> {
        let mut buffer = BodyBuffer::default();
        let mut held_bytes = 0;
        while let Some(frame) = poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await {
            let Ok(chunk) = frame.map_err(|_| BodyError::Broken)?.into_data() else {
                continue;
            };
            let growth = buffer.growth(chunk.len(), max_bytes);
            let growth = growth.ok_or(BodyError::TooLarge { max_bytes })?;
            let free = FREE_BODY_BYTES.saturating_sub(held_bytes);
            held_bytes += growth;
            let needed = growth.saturating_sub(free);
            if needed > 0 {
                let permit = self.take(needed, ROOM_TIMEOUT).await;
                taken.push(permit.ok_or_else(|| self.refuse())?);
            }
            buffer.append(&chunk, growth);
        }
        Ok(buffer.finish())
    }

    fn refuse(&self) -> BodyError {
        self.budget.count(metrics::BODIES_REFUSED);
        telemetry::log::line("body-refused")
            .field("port", self.budget.port())
            .text("why", BodyError::NoRoom)
            .write();
        BodyError::NoRoom
    }
}

/// Collects the body of each request within the budget before the router's handlers see it.
pub fn collect_bodies(router: Router, max_bytes: usize) -> Router {
    router.layer(middleware::from_fn_with_state(max_bytes, collect_body))
}

async fn collect_body(State(max_bytes): State<usize>, request: Request, next: Next) -> Response {
    let (mut head, body) = request.into_parts();
    let Some(connection) = head.extensions.remove::<Arc<Connection>>() else {
        return next.run(Request::from_parts(head, body)).await;
    };
    match connection.collect(body, max_bytes).await {
        // Held until the response is ready.
        Ok(held) => next.run(Request::from_parts(head, Body::from(held.bytes()))).await,
        Err(error) => error.into_response(),
    }
}
