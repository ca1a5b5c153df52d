//! TCP stream to a caller, with a timeout for writes and a part of the budget for callers.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::budget::ConnectionBudget;
use crate::request_body::poll_idle_timeout;

/// Maximum size of the read buffer of a connection, which limits the head of a request, in bytes.
pub const READ_BUFFER_MAX_BYTES: usize = 64 * 1_024;
/// Largest buffers of a request that is received: its own, and those of the connection to the backend
/// server that it is sent on.
const REQUEST_BUFFERS_BYTES: usize = 3 * READ_BUFFER_MAX_BYTES;
/// Bytes of a response that wait in the connection while the caller does not read.
const BLOCKED_WRITE_BYTES: usize = READ_BUFFER_MAX_BYTES;

/// TCP stream to a caller. Writes fail with [`io::ErrorKind::TimedOut`] if the caller stops
/// reading.
///
/// Nothing is read while a write is blocked: the HTTP library holds back only responses with a body,
/// so responses without one would pile up in its write buffer.
pub struct CallerStream {
    inner: TcpStream,
    write_timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    budget: Option<ConnectionBudget>,
    is_read_blocked: bool,
    is_write_blocked: bool,
    /// A read was held back while a write was blocked, and must be polled again.
    is_read_held_back: bool,
}

impl CallerStream {
    /// Wraps `inner`; a write may block for at most `write_timeout`.
    pub fn new(
        inner: TcpStream,
        write_timeout: Duration,
        budget: Option<ConnectionBudget>,
    ) -> Self {
        let (is_read_blocked, is_write_blocked) = (true, false);
        let is_read_held_back = false;
        let timer = None;
        Self {
            inner,
            write_timeout,
            timer,
            budget,
            is_read_blocked,
            is_write_blocked,
            is_read_held_back,
        }
    }

    fn record_read(&mut self, bytes: Option<usize>) {
        let Some(budget) = &self.budget else { return };
        match bytes {
            Some(bytes) => budget.receive(bytes, REQUEST_BUFFERS_BYTES, Instant::now()),
            None if !self.is_read_blocked => budget.set_read_blocked(),
            None => {}
        }
        self.is_read_blocked = bytes.is_none();
    }

    fn record_write(&mut self, is_blocked: bool) {
        if let Some(budget) = &self.budget
            && is_blocked != self.is_write_blocked
        {
            budget.set_write_blocked(is_blocked, BLOCKED_WRITE_BYTES, Instant::now());
        }
        self.is_write_blocked = is_blocked;
    }

    fn apply_timeout<T>(
        &mut self,
        polled: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        self.record_write(polled.is_pending());
        if polled.is_ready() && std::mem::take(&mut self.is_read_held_back) {
            context.waker().wake_by_ref();
        }
        if polled.is_ready() {
            self.timer = None;
            return polled;
        }
        if poll_idle_timeout(&mut self.timer, self.write_timeout, context) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_write_blocked {
            self.is_read_held_back = true;
            return Poll::Pending;
        }
        let filled_bytes = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        self.record_read(polled.is_ready().then(|| buffer.filled().len() - filled_bytes));
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.apply_timeout(polled, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.apply_timeout(polled, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
