//! Tokens that a running request holds, and the body that gives them back.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use limits::LimitKey;
use limits::LimitTable;
use tokio::sync::Notify;

/// Tokens of one dispatched request.
pub struct Tokens {
    limits: Arc<LimitTable>,
    freed: Arc<Notify>,
    keys: Vec<LimitKey>,
}

impl Tokens {
    /// Takes a token of each key, or none at all.
    pub fn take(
        limits: &Arc<LimitTable>,
        freed: &Arc<Notify>,
        keys: Vec<LimitKey>,
    ) -> Option<Self> {
        for (index, key) in keys.iter().enumerate() {
            if !limits.take(key) {
                keys[..index].iter().for_each(|taken| limits.release(taken));
                return None;
            }
        }
        Some(Self { limits: limits.clone(), freed: freed.clone(), keys })
    }

    /// Holds the tokens back: their work may still be running.
    pub fn doubt(mut self) {
        for key in std::mem::take(&mut self.keys) {
            self.limits.doubt(&key);
        }
    }
}

impl Drop for Tokens {
    fn drop(&mut self) {
        for key in std::mem::take(&mut self.keys) {
            self.limits.release(&key);
        }
        self.freed.notify_waiters();
    }
}

/// Body of a backend server's answer; its tokens are free once the whole answer has come.
pub struct AnswerBody {
    inner: Incoming,
    tokens: Option<Tokens>,
}

impl AnswerBody {
    /// Body that gives back `tokens` at its end.
    pub fn new(inner: Incoming, tokens: Tokens) -> Self {
        let mut body = Self { inner, tokens: Some(tokens) };
        body.release_at_end();
        body
    }

    fn release_at_end(&mut self) {
        if self.inner.is_end_stream() {
            self.tokens = None;
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        match &polled {
            Poll::Ready(None) => self.tokens = None,
            Poll::Ready(Some(Ok(_))) => self.release_at_end(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => {}
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

impl Drop for AnswerBody {
    fn drop(&mut self) {
        // An answer that ended early says nothing about the work behind it.
        if let Some(tokens) = self.tokens.take() {
            tokens.doubt();
        }
    }
}
