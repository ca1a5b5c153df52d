//! Bodies of responses on their way to the caller. Whether the body was received completely decides
//! whether the tokens of the request are released or in doubt.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use tokio::time::Sleep;

use crate::backends::Backend;
use crate::connection::Connection;
use crate::connection::IdleConnections;
use crate::request_body::BodyMonitor;
use crate::request_body::BodyState;
use crate::request_body::poll_idle_timeout;
use crate::tokens::InFlightTokens;

/// Reason why the body of a response is incomplete.
#[derive(Debug, thiserror::Error)]
pub enum ResponseBodyError {
    /// The backend server or node closed the connection, or sent something malformed.
    #[error("the answer was cut: {0}")]
    Cut(hyper::Error),
    /// The backend server or node sent nothing for the idle timeout.
    #[error("the answer stopped coming")]
    IdleTimeout,
}

/// Source of a response. Determines the pool that its connection is returned to.
pub enum Origin {
    /// A backend server; with the tokens of the request.
    Backend(Arc<Backend>, InFlightTokens),
    /// Another node, which itself holds the tokens; with the pool of connections to it.
    Peer(Arc<IdleConnections>),
}

/// Body of a response.
///
/// Once the response is complete, the tokens are released and the connection is returned to its
/// pool. If the body is dropped earlier, the connection is closed, and then the tokens are marked
/// as in doubt.
pub struct ResponseBody {
    inner: Incoming,
    /// Declared before `origin`, so that it is dropped before the tokens.
    connection: Option<Connection>,
    origin: Option<Origin>,
    request_body: BodyMonitor,
    idle_timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl ResponseBody {
    /// Creates the body of a response that is received on `connection`. `request_body` is the body
    /// of its request, and `idle_timeout` the maximum time without data.
    pub fn new(
        inner: Incoming,
        connection: Connection,
        origin: Origin,
        request_body: BodyMonitor,
        idle_timeout: Duration,
    ) -> Self {
        let (connection, origin) = (Some(connection), Some(origin));
        let mut body = Self { inner, connection, origin, request_body, idle_timeout, timer: None };
        if body.inner.is_end_stream() {
            body.finish();
        }
        body
    }

    fn finish(&mut self) {
        let (Some(connection), Some(origin)) = (self.connection.take(), self.origin.take()) else {
            return;
        };
        // If the response was complete before its request was, the rest of the request is still
        // expected on the connection, which makes it unusable.
        let is_reusable = self.request_body.state() == BodyState::Ended;
        match origin {
            Origin::Backend(backend, in_flight) => {
                if is_reusable {
                    backend.idle.put(connection, Instant::now());
                }
                in_flight.finish();
            }
            Origin::Peer(idle) if is_reusable => idle.put(connection, Instant::now()),
            Origin::Peer(_) => {}
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        let this = &mut *self;
        match Pin::new(&mut this.inner).poll_frame(context) {
            Poll::Pending if poll_idle_timeout(&mut this.timer, this.idle_timeout, context) => {
                Poll::Ready(Some(Err(ResponseBodyError::IdleTimeout)))
            }
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => {
                this.finish();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => Poll::Ready(Some(Err(ResponseBodyError::Cut(error)))),
            Poll::Ready(Some(Ok(frame))) => {
                this.timer = None;
                if this.inner.is_end_stream() {
                    this.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
