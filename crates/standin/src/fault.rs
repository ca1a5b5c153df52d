//! Ways in which a stand-in backend server fails.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use axum::body::Bytes;
use http_body::Body;
use http_body::Frame;
use tokio::time::Sleep;

/// Time between the half of a body and its cut.
const CUT_DELAY: Duration = Duration::from_millis(20);

/// Value of the `Standin-Fault` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// `cut-head`: runs the request, then closes the connection without an answer.
    CutHead,
    /// `cut-body`: announces the whole body, sends half of it and closes.
    CutBody,
    /// `cut-chunked`: sends half of the body in chunks and closes without the last chunk.
    CutChunked,
    /// `silent`: runs the request and never answers; the connection stays open.
    Silent,
    /// `silent-midway`: sends half of the body, and then nothing.
    SilentMidway,
    /// `fail`: answers 500.
    Fail,
    /// `not-run`: says that it has not run the request.
    NotRun,
}

impl Fault {
    /// Reads a header value.
    pub fn parse(text: &str) -> Option<Self> {
        Some(match text {
            "cut-head" => Self::CutHead,
            "cut-body" => Self::CutBody,
            "cut-chunked" => Self::CutChunked,
            "silent" => Self::Silent,
            "silent-midway" => Self::SilentMidway,
            "fail" => Self::Fail,
            "not-run" => Self::NotRun,
            _ => return None,
        })
    }
}

/// Half of a body, and then its fault.
pub struct FaultyBody {
    fault: Fault,
    whole_bytes: u64,
    half: Option<Bytes>,
    /// Lets the half be written before the fault.
    pause: Pin<Box<Sleep>>,
}

impl FaultyBody {
    /// First half of `whole`, followed by `fault`.
    pub fn new(fault: Fault, whole: Bytes) -> Self {
        let half = Some(whole.slice(..whole.len() / 2));
        let pause = Box::pin(tokio::time::sleep(CUT_DELAY));
        Self { fault, whole_bytes: whole.len() as u64, half, pause }
    }

    /// Length that the head announces.
    pub fn announced_length(&self) -> Option<u64> {
        (self.fault != Fault::CutChunked).then_some(self.whole_bytes)
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
        if self.fault == Fault::SilentMidway || self.pause.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())))
    }
}
