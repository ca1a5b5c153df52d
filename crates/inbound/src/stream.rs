//! A stream that reports progress to the budget, and is not read while its writes are blocked.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::connection::Connection;

/// Stream of a connection.
///
/// While the caller doesn't read its responses, no further requests are read. Otherwise responses
/// without a body would pile up in the write buffer of the HTTP library, which bounds only bodies.
pub(crate) struct TrackedStream<S> {
    inner: S,
    connection: Arc<Connection>,
    is_write_blocked: bool,
    /// A read was held back and must be polled again.
    is_read_held_back: bool,
}

impl<S> TrackedStream<S> {
    pub fn new(inner: S, connection: Arc<Connection>) -> Self {
        Self { inner, connection, is_write_blocked: false, is_read_held_back: false }
    }

    fn record_write(&mut self, written: &Poll<io::Result<usize>>, context: &mut Context<'_>) {
        self.is_write_blocked = written.is_pending();
        if written.is_pending() {
            return;
        }
        self.connection.record_write();
        if std::mem::take(&mut self.is_read_held_back) {
            context.waker().wake_by_ref();
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TrackedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_write_blocked {
            self.is_read_held_back = true;
            return Poll::Pending;
        }
        let length_before = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
        let read_bytes = buffer.filled().len() - length_before;
        if read_bytes > 0 {
            self.connection.record_read(read_bytes);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TrackedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.record_write(&written, context);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.record_write(&written, context);
        written
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
