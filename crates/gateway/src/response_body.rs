//! Body of an answer on its way to the caller; its end says what becomes of the tokens.

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

/// Why an answer ended before its end.
#[derive(Debug, thiserror::Error)]
pub enum ResponseBodyError {
    /// The other end cut it.
    #[error("the answer was cut: {0}")]
    Cut(hyper::Error),
    /// The other end sent nothing for too long.
    #[error("the answer stopped coming")]
    IdleTimeout,
}

/// Where a connection goes once its answer has ended.
pub enum Origin {
    /// A backend server, with the tokens of the request.
    Backend(Arc<Backend>, InFlightTokens),
    /// Another node, which holds the tokens itself.
    Peer(Arc<IdleConnections>),
}

/// Body of an answer.
///
/// At the whole answer's end its tokens are free and its connection is idle. Dropped before, the
/// connection is closed and then the tokens are in doubt.
pub struct ResponseBody {
    inner: Incoming,
    /// Declared before the tokens, so that it is dropped before them.
    connection: Option<Connection>,
    origin: Option<Origin>,
    request_body: BodyMonitor,
    idle_timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl ResponseBody {
    /// Body that came on `connection`.
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
        // An answer that came before the end of its request leaves a connection nobody can use.
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
