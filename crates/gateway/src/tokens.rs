//! Tokens that a request holds, from the moment that it may run until its work has ended for certain.
//!
//! [`Held`] tokens belong to a request of which nothing was sent, so dropping them gives them back.
//! Once the request is on its way they are [`InFlight`], and dropping those leaves them in doubt:
//! whoever drops them, for whatever reason, does not know whether the work goes on.

use std::sync::Arc;
use std::time::Instant;

use limits::LimitKey;
use limits::LimitTable;
use model::RequestId;
use shares::Ticket;

use crate::backends::Backend;
use crate::waiting::Line;
use crate::waiting::Lines;

/// Token of an open connection.
pub struct ConnectionToken {
    limits: Arc<LimitTable>,
    key: LimitKey,
}

impl ConnectionToken {
    /// Takes a token of `key`; `None` if there is none to spare.
    pub fn take(limits: &Arc<LimitTable>, key: &LimitKey) -> Option<Self> {
        limits.try_acquire(key).then(|| Self { limits: limits.clone(), key: key.clone() })
    }
}

impl Drop for ConnectionToken {
    fn drop(&mut self) {
        self.limits.release(&self.key);
    }
}

/// Place of a started request in its line.
#[derive(Clone)]
pub struct Start {
    /// Line.
    pub line: Arc<Line>,
    /// Ticket in the line.
    pub ticket: Ticket,
}

/// Tokens of a request of which nothing was sent.
pub struct Held {
    tokens: Option<Tokens>,
}

struct Tokens {
    lines: Arc<Lines>,
    start: Option<Start>,
    running: LimitKey,
    backend: Arc<Backend>,
}

impl Held {
    /// Tokens that were taken for `backend`.
    pub fn new(
        lines: Arc<Lines>,
        start: Option<Start>,
        running: LimitKey,
        backend: Arc<Backend>,
    ) -> Self {
        Self { tokens: Some(Tokens { lines, start, running, backend }) }
    }

    /// Backend server that the slot belongs to.
    pub fn backend(&self) -> &Arc<Backend> {
        &self.tokens.as_ref().expect("held until dropped").backend
    }

    /// Changes the slot for one of another backend server, for which a token was taken.
    pub fn move_to(&mut self, backend: Arc<Backend>) {
        let tokens = self.tokens.as_mut().expect("held until dropped");
        tokens.lines.limits.release(&tokens.backend.slots);
        tokens.backend = backend;
    }

    /// From now on the request may be running.
    pub fn dispatch(mut self, request: RequestId) -> InFlight {
        InFlight { request, tokens: self.tokens.take() }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if let Some(tokens) = self.tokens.take() {
            tokens.release();
        }
    }
}

/// Tokens of a request that may be running.
pub struct InFlight {
    request: RequestId,
    tokens: Option<Tokens>,
}

impl InFlight {
    /// The work has ended for certain.
    pub fn finish(mut self) {
        if let Some(tokens) = self.tokens.take() {
            tokens.release();
        }
    }

    /// Nothing was sent after all.
    pub fn unsent(mut self) -> Held {
        Held { tokens: self.tokens.take() }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(tokens) = self.tokens.take() {
            tokens.doubt(self.request.clone());
        }
    }
}

impl Tokens {
    fn release(self) {
        self.lines.limits.release(&self.backend.slots);
        self.lines.limits.release(&self.running);
        self.end();
    }

    fn doubt(self, request: RequestId) {
        self.lines.limits.mark_in_doubt(&self.backend.slots);
        self.lines.limits.mark_in_doubt(&self.running);
        self.lines.doubts.add(request, self.backend.clone(), self.running.clone(), Instant::now());
        self.end();
    }

    fn end(self) {
        let now = Instant::now();
        if let Some(start) = &self.start {
            start.line.finished(start.ticket, now);
        }
        self.lines.serve_all(now);
    }
}
