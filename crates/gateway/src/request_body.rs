//! Bodies of requests to backend servers and other nodes: streamed from the caller within limits,
//! or buffered in memory.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use axum::body::Body as CallerBody;
use bytes::Bytes;
use http::StatusCode;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::bounded_body::BoundedBuffer;
use crate::bounded_body::ReadError;
use crate::budget::ConnectionBudget;

/// State of the transfer of a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum BodyState {
    /// Not sent completely yet.
    Open,
    /// Sent completely.
    Ended,
    /// Failed: larger than allowed.
    TooLarge,
    /// Failed: the caller sent nothing for the idle timeout.
    Silent,
    /// Failed: the body was malformed, or the caller's connection was closed.
    Broken,
}

impl BodyState {
    const ALL: [Self; 5] = [Self::Open, Self::Ended, Self::TooLarge, Self::Silent, Self::Broken];

    /// Returns the status and the reason for the caller, if the body failed on the caller's side.
    pub fn failure(self) -> Option<(StatusCode, &'static str)> {
        match self {
            Self::Open | Self::Ended => None,
            Self::TooLarge => Some((StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")),
            Self::Silent => Some((StatusCode::REQUEST_TIMEOUT, "the body stopped coming")),
            Self::Broken => Some((StatusCode::BAD_REQUEST, "the body is malformed or was cut")),
        }
    }
}

/// Shared handle to the state of a body, which remains usable after the body was handed over to be
/// sent.
#[derive(Clone, Debug)]
pub struct BodyMonitor(Arc<AtomicU8>);

impl BodyMonitor {
    /// Returns the current state of the body.
    pub fn state(&self) -> BodyState {
        BodyState::ALL[usize::from(self.0.load(Ordering::Acquire))]
    }

    fn set(&self, state: BodyState) {
        self.0.store(state as u8, Ordering::Release);
    }
}

/// Failure of a body on the caller's side.
#[derive(Debug, thiserror::Error)]
#[error("the caller's body ended in state {0:?}")]
pub struct BodyError(BodyState);

/// Limits of a streamed body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size, in bytes.
    pub max_bytes: u64,
    /// Maximum time without data from the caller.
    pub idle_timeout: Duration,
}

/// Body of a request to a backend server or another node.
#[derive(Debug)]
pub struct OutboundBody {
    source: Source,
    monitor: BodyMonitor,
}

#[derive(Debug)]
enum Source {
    Streamed {
        inner: CallerBody,
        remaining_bytes: u64,
        idle_timeout: Duration,
        timer: Option<Pin<Box<Sleep>>>,
    },
    Buffered {
        bytes: Option<Bytes>,
    },
}

impl OutboundBody {
    /// Creates a body that is streamed from the caller.
    pub fn streamed(inner: CallerBody, limits: BodyLimits) -> Self {
        let BodyLimits { max_bytes, idle_timeout } = limits;
        let state = if inner.is_end_stream() { BodyState::Ended } else { BodyState::Open };
        let source =
            Source::Streamed { inner, remaining_bytes: max_bytes, idle_timeout, timer: None };
        Self { source, monitor: monitor(state) }
    }

    /// Creates a body from its whole content.
    pub fn buffered(bytes: Bytes) -> Self {
        let bytes = Some(bytes).filter(|bytes| !bytes.is_empty());
        let state = if bytes.is_none() { BodyState::Ended } else { BodyState::Open };
        Self { source: Source::Buffered { bytes }, monitor: monitor(state) }
    }

    /// Returns a handle to the state of the body.
    pub fn monitor(&self) -> BodyMonitor {
        self.monitor.clone()
    }

    /// Returns the whole content if the body can be sent again: if it is buffered or empty.
    pub fn replay(&self) -> Option<Bytes> {
        match &self.source {
            Source::Buffered { bytes } => Some(bytes.clone().unwrap_or_default()),
            Source::Streamed { inner, .. } => inner.is_end_stream().then(Bytes::new),
        }
    }

    /// Reads the whole body into memory, which is taken from `budget` before it is used.
    pub async fn read_all(mut self, budget: Option<&ConnectionBudget>) -> Result<Bytes, ReadError> {
        let mut whole = BoundedBuffer::new(budget);
        // The length was checked against the limits; without one, the buffer grows as data arrives.
        let length = self.size_hint().exact().map_or(0, |length| length as usize);
        whole.grow_to(length).await?;
        while let Some(frame) = std::future::poll_fn(|c| Pin::new(&mut self).poll_frame(c)).await {
            let frame = frame.map_err(|BodyError(state)| ReadError::Caller(state))?;
            if let Ok(data) = frame.into_data() {
                whole.extend(&data).await?;
            }
        }
        Ok(whole.freeze())
    }
}

fn monitor(state: BodyState) -> BodyMonitor {
    BodyMonitor(Arc::new(AtomicU8::new(state as u8)))
}

impl Body for OutboundBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        let polled = match &mut this.source {
            Source::Buffered { bytes } => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Source::Streamed { inner, remaining_bytes, idle_timeout, timer } => {
                poll_streamed(inner, remaining_bytes, *idle_timeout, timer, context)
            }
        };
        match &polled {
            Poll::Ready(Some(Err(state))) => this.monitor.set(*state),
            Poll::Ready(None) => this.monitor.set(BodyState::Ended),
            Poll::Ready(Some(Ok(_))) if this.is_end_stream() => this.monitor.set(BodyState::Ended),
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        polled.map_err(BodyError)
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Streamed { inner, .. } => inner.is_end_stream(),
            Source::Buffered { bytes } => bytes.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Streamed { inner, .. } => inner.size_hint(),
            Source::Buffered { bytes } => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
        }
    }
}

fn poll_streamed(
    inner: &mut CallerBody,
    remaining_bytes: &mut u64,
    idle_timeout: Duration,
    timer: &mut Option<Pin<Box<Sleep>>>,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, BodyState>>> {
    match Pin::new(inner).poll_frame(context) {
        Poll::Pending if poll_idle_timeout(timer, idle_timeout, context) => {
            Poll::Ready(Some(Err(BodyState::Silent)))
        }
        Poll::Pending => Poll::Pending,
        Poll::Ready(None) => Poll::Ready(None),
        Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(BodyState::Broken))),
        Poll::Ready(Some(Ok(frame))) => {
            *timer = None;
            let size_bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
            if size_bytes > *remaining_bytes {
                return Poll::Ready(Some(Err(BodyState::TooLarge)));
            }
            *remaining_bytes -= size_bytes;
            Poll::Ready(Some(Ok(frame)))
        }
    }
}

/// Returns true once `idle_timeout` has passed since the first call with an empty `timer`. Wakes
/// the task when that happens. The caller empties `timer` whenever data arrives.
pub fn poll_idle_timeout(
    timer: &mut Option<Pin<Box<Sleep>>>,
    idle_timeout: Duration,
    context: &mut Context<'_>,
) -> bool {
    let ends_at = Instant::now() + idle_timeout;
    let timer = timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(ends_at)));
    timer.as_mut().poll(context).is_ready()
}
