//! Faults that a stand-in backend server injects into its responses.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use axum::body::Bytes;
use http_body::Body;
use http_body::Frame;
use tokio::time::Sleep;

/// Time between the first half of a body and the cut.
const CUT_DELAY: Duration = Duration::from_millis(20);

/// Fault that a request selects by its `Standin-Fault` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// `cut-head`: runs the request, then closes the connection without a response.
    CutHead,
    /// `cut-body`: announces the length of the whole body, sends half of it and closes the
    /// connection.
    CutBody,
    /// `cut-chunked`: sends half of the body in chunks and closes the connection without the last
    /// chunk.
    CutChunked,
    /// `silent`: runs the request and never responds; the connection stays open.
    Unresponsive,
    /// `silent-midway`: sends half of the body and then nothing; the connection stays open.
    StalledBody,
    /// `fail`: runs the request and responds with status 500.
    Fail,
    /// `not-run`: does not run the request and responds that it was not run.
    NotRun,
}

impl Fault {
    /// Parses a header value; `None` if it names no fault.
    pub fn parse(text: &str) -> Option<Self> {
        Some(match text {
            "cut-head" => Self::CutHead,
            "cut-body" => Self::CutBody,
            "cut-chunked" => Self::CutChunked,
            "silent" => Self::Unresponsive,
            "silent-midway" => Self::StalledBody,
            "fail" => Self::Fail,
            "not-run" => Self::NotRun,
            _ => return None,
        })
    }
}

/// Response body that sends its first half and then fails or stalls.
pub struct FaultyBody {
    fault: Fault,
    announced_bytes: u64,
    half: Option<Bytes>,
    /// Gives the first half time to reach the caller before the fault.
    pause: Pin<Box<Sleep>>,
}

impl FaultyBody {
    /// Creates a body that sends the first half of `whole` and then fails or stalls as `fault` says.
    pub fn new(fault: Fault, whole: Bytes) -> Self {
        let half = Some(whole.slice(..whole.len() / 2));
        let pause = Box::pin(tokio::time::sleep(CUT_DELAY));
        Self { fault, announced_bytes: whole.len() as u64, half, pause }
    }

    /// Returns the length for the `content-length` header; `None` for a chunked body.
    pub fn announced_length(&self) -> Option<u64> {
        (self.fault != Fault::CutChunked).then_some(self.announced_bytes)
    }
}

impl Body for FaultyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(half) = self.half.take() {
            return Poll::Ready(Some(Ok(Frame::data(half))));
        }
        if self.fault == Fault::StalledBody || self.pause.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())))
    }
}
