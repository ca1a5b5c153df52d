//! Reading of whole bodies within a budget, and the middleware that does so for handlers that
//! collect bodies.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use axum::body::Body;
use axum::extract::Request;
use axum::extract::State;
use axum::middleware::Next;
use axum::response::Response;
use bytes::Bytes;
use http::StatusCode;
use http_body::Body as _;
use http_body::Frame;
use http_body::SizeHint;
use model::ids::random_id;

use crate::budget::BudgetExhausted;
use crate::budget::ConnectionBudget;
use crate::budget::Reservation;
use crate::error_response::GatewayError;
use crate::handler::RETRY_AFTER;
use crate::request_body::BodyLimits;
use crate::request_body::BodyState;
use crate::request_body::OutboundBody;
use crate::stream::READ_BUFFER_MAX_BYTES;

/// Longest time to wait until the bytes of closed connections are freed.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time that a large response waits for the bytes of its buffers.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Size of a part of a response from which its buffers are taken from the budget, in bytes.
const LARGE_FRAME_BYTES: usize = 8 * 1_024;
/// Buffers of a large response: those of the connections that it comes from and is sent on.
const RESPONSE_BUFFERS_BYTES: usize = 3 * READ_BUFFER_MAX_BYTES;
/// First capacity of a buffer, in bytes.
const CAPACITY_MIN_BYTES: usize = 4 * 1_024;

/// Reason why a body could not be read whole.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub enum ReadError {
    /// It failed on the caller's side.
    #[error("the body ended in state {0:?}")]
    Caller(BodyState),
    /// No memory was left for it.
    #[error(transparent)]
    Budget(#[from] BudgetExhausted),
}

impl ReadError {
    /// Returns the error for the caller; the request has not run.
    pub fn into_error(self) -> GatewayError {
        match self {
            Self::Caller(state) => {
                let failure = state.failure();
                let (status, detail) = failure.unwrap_or((StatusCode::BAD_REQUEST, "no body came"));
                GatewayError::not_run(status, detail)
            }
            Self::Budget(error) => {
                GatewayError::retryable(StatusCode::SERVICE_UNAVAILABLE, error, RETRY_AFTER)
            }
        }
    }
}

/// Buffer that takes its capacity from the budget of a connection before it grows. Without a budget
/// it is unbounded.
pub struct BoundedBuffer {
    bytes: Vec<u8>,
    reservation: Option<Reservation>,
    /// Taken in addition once the buffer is large: buffers of the connection that fills it.
    source_bytes: usize,
}

/// Content of a buffer, which returns its bytes to the budget when it is dropped.
struct Owned(BoundedBuffer);

impl AsRef<[u8]> for Owned {
    fn as_ref(&self) -> &[u8] {
        &self.0.bytes
    }
}

impl BoundedBuffer {
    /// Creates an empty buffer.
    pub fn new(budget: Option<&ConnectionBudget>) -> Self {
        let reservation = budget.map(ConnectionBudget::reservation);
        Self { bytes: Vec::new(), reservation, source_bytes: 0 }
    }

    /// Creates an empty buffer for a response of a backend server.
    pub fn of_response(budget: Option<&ConnectionBudget>) -> Self {
        Self { source_bytes: RESPONSE_BUFFERS_BYTES, ..Self::new(budget) }
    }

    /// Appends a copy of `data`, so that the read buffer behind it can be freed.
    pub async fn extend(&mut self, data: &[u8]) -> Result<(), BudgetExhausted> {
        let needed_bytes = self.bytes.len() + data.len();
        if needed_bytes > self.bytes.capacity() {
            self.grow_to(needed_bytes.next_power_of_two().max(CAPACITY_MIN_BYTES)).await?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Makes the capacity at least `capacity`, in bytes.
    pub async fn grow_to(&mut self, capacity: usize) -> Result<(), BudgetExhausted> {
        if let Some(reservation) = &mut self.reservation {
            let source_bytes = if capacity > LARGE_FRAME_BYTES { self.source_bytes } else { 0 };
            reservation.grow_to(capacity + source_bytes, FREE_TIMEOUT).await?;
        }
        self.bytes.reserve_exact(capacity.saturating_sub(self.bytes.len()));
        Ok(())
    }

    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the content.
    pub fn freeze(self) -> Bytes {
        if self.bytes.is_empty() { Bytes::new() } else { Bytes::from_owner(Owned(self)) }
    }
}

/// Limits of bodies that a handler reads whole.
#[derive(Clone, Copy, Debug)]
pub struct WholeBodyLimits {
    /// Maximum size, in bytes.
    pub max_bytes: u64,
    /// Maximum time without data from the caller.
    pub idle_timeout: Duration,
}

/// Middleware: reads the body within the budget of its connection before the handler collects it.
pub async fn read_body_within_budget(
    State(limits): State<WholeBodyLimits>,
    request: Request,
    next: Next,
) -> Response {
    let budget = request.extensions().get::<ConnectionBudget>().cloned();
    let WholeBodyLimits { max_bytes, idle_timeout } = limits;
    let (parts, body) = request.into_parts();
    let is_too_large = body.size_hint().lower() > max_bytes;
    let body = OutboundBody::streamed(body, BodyLimits { max_bytes, idle_timeout });
    let read = match is_too_large {
        true => Err(ReadError::Caller(BodyState::TooLarge)),
        false => body.read_all(budget.as_ref()).await,
    };
    match read {
        Ok(bytes) => next.run(Request::from_parts(parts, Body::from(bytes))).await,
        Err(error) => error.into_error().into_response(&random_id()),
    }
}

/// Body of a request that tells the budget when it has been received.
pub struct TrackedBody {
    inner: Body,
    budget: ConnectionBudget,
}

impl TrackedBody {
    /// Wraps the body of a request whose head has just been received.
    pub fn wrap(inner: Body, budget: ConnectionBudget) -> Body {
        if inner.is_end_stream() {
            budget.set_running(true, Instant::now());
            return inner;
        }
        Body::new(Self { inner, budget })
    }
}

impl http_body::Body for TrackedBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        let has_ended = matches!(polled, Poll::Ready(None)) || self.inner.is_end_stream();
        if polled.is_ready() && has_ended {
            self.budget.set_running(true, Instant::now());
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Body of a response that takes its buffers from the budget once it turns out to be large, and
/// tells the budget when it has been sent, by being dropped.
pub struct TrackedResponse {
    inner: Body,
    buffers: ResponseBuffers,
    budget: ConnectionBudget,
}

/// Buffers of a response in the budget.
enum ResponseBuffers {
    /// Small so far.
    Unreserved,
    /// Waits for the budget; nothing is read from the backend server in the meantime.
    Waiting(Pin<Box<dyn Future<Output = Result<Reservation, BudgetExhausted>> + Send>>),
    /// Held until the response has been sent.
    Reserved { _reservation: Reservation },
}

impl TrackedResponse {
    /// Wraps the body of a response.
    pub fn wrap(inner: Body, budget: ConnectionBudget) -> Body {
        Body::new(Self { inner, buffers: ResponseBuffers::Unreserved, budget })
    }

    fn poll_buffers(&mut self, context: &mut Context<'_>) -> Poll<Result<(), BudgetExhausted>> {
        if let ResponseBuffers::Waiting(reserved) = &mut self.buffers {
            let reservation = std::task::ready!(reserved.as_mut().poll(context))?;
            self.buffers = ResponseBuffers::Reserved { _reservation: reservation };
        }
        Poll::Ready(Ok(()))
    }

    fn start_reserving(&mut self) {
        let mut reservation = self.budget.reservation();
        self.buffers = ResponseBuffers::Waiting(Box::pin(async move {
            reservation.grow_to(RESPONSE_BUFFERS_BYTES, RESPONSE_TIMEOUT).await?;
            Ok(reservation)
        }));
    }
}

impl Drop for TrackedResponse {
    fn drop(&mut self) {
        self.budget.set_running(false, Instant::now());
    }
}

impl http_body::Body for TrackedResponse {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        if let Err(error) = std::task::ready!(self.poll_buffers(context)) {
            return Poll::Ready(Some(Err(axum::Error::new(error))));
        }
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && matches!(self.buffers, ResponseBuffers::Unreserved)
            && frame.data_ref().is_some_and(|data| data.len() >= LARGE_FRAME_BYTES)
            && !self.inner.is_end_stream()
        {
            self.start_reserving();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
