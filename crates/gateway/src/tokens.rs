//! Tokens that a request holds, from the moment that it may run until its work has ended for certain.
//!
//! [`HeldTokens`] tokens belong to a request of which nothing was sent, so dropping them gives them back.
//! Once the request is on its way they are [`InFlightTokens`], and dropping those leaves them in doubt:
//! whoever drops them, for whatever reason, does not know whether the work goes on.

use std::sync::Arc;
use std::time::Instant;

use limits::LimitKey;
use limits::LimitTable;
use model::RequestId;
use shares::Ticket;

use crate::backends::Backend;
use crate::wait_queue::WaitQueue;
use crate::wait_queue::WaitQueues;

/// Token of an open connection.
pub struct ConnectionToken {
    limits: Arc<LimitTable>,
    key: LimitKey,
}

impl ConnectionToken {
    /// Takes a token of `key`; `None` if there is none to spare.
    pub fn take(limits: &Arc<LimitTable>, key: &LimitKey) -> Option<Self> {
        limits.take(key).then(|| Self { limits: limits.clone(), key: key.clone() })
    }
}

impl Drop for ConnectionToken {
    fn drop(&mut self) {
        self.limits.release(&self.key);
    }
}

/// Place of a started request in its line.
#[derive(Clone)]
pub struct StartedEntry {
    /// Line.
    pub wait_queue: Arc<WaitQueue>,
    /// Ticket in the line.
    pub ticket: Ticket,
}

/// Tokens of a request of which nothing was sent.
pub struct HeldTokens {
    tokens: Option<Tokens>,
}

struct Tokens {
    wait_queues: Arc<WaitQueues>,
    started_entry: Option<StartedEntry>,
    running: LimitKey,
    backend: Arc<Backend>,
}

impl HeldTokens {
    /// Tokens that were taken for `backend`.
    pub fn new(
        wait_queues: Arc<WaitQueues>,
        started_entry: Option<StartedEntry>,
        running: LimitKey,
        backend: Arc<Backend>,
    ) -> Self {
        Self { tokens: Some(Tokens { wait_queues, started_entry, running, backend }) }
    }

    /// Backend server that the slot belongs to.
    pub fn backend(&self) -> &Arc<Backend> {
        &self.tokens.as_ref().expect("tokens are present until drop").backend
    }

    /// Changes the slot for one of another backend server, for which a token was taken.
    pub fn switch_backend(&mut self, backend: Arc<Backend>) {
        let tokens = self.tokens.as_mut().expect("tokens are present until drop");
        tokens.wait_queues.limits.release(&tokens.backend.slots);
        tokens.backend = backend;
    }

    /// From now on the request may be running.
    pub fn dispatch(mut self, request: RequestId) -> InFlightTokens {
        InFlightTokens { request, tokens: self.tokens.take() }
    }
}

impl Drop for HeldTokens {
    fn drop(&mut self) {
        if let Some(tokens) = self.tokens.take() {
            tokens.release();
        }
    }
}

/// Tokens of a request that may be running.
pub struct InFlightTokens {
    request: RequestId,
    tokens: Option<Tokens>,
}

impl InFlightTokens {
    /// The work has ended for certain.
    pub fn finish(mut self) {
        if let Some(tokens) = self.tokens.take() {
            tokens.release();
        }
    }

    /// Nothing was sent after all.
    pub fn into_held(mut self) -> HeldTokens {
        HeldTokens { tokens: self.tokens.take() }
    }
}

impl Drop for InFlightTokens {
    fn drop(&mut self) {
        if let Some(tokens) = self.tokens.take() {
            tokens.mark_in_doubt(self.request.clone());
        }
    }
}

impl Tokens {
    fn release(self) {
        self.wait_queues.limits.release(&self.backend.slots);
        self.wait_queues.limits.release(&self.running);
        self.finish_entry();
    }

    fn mark_in_doubt(self, request: RequestId) {
        self.wait_queues.limits.doubt(&self.backend.slots);
        self.wait_queues.limits.doubt(&self.running);
        self.wait_queues.in_doubt.add(
            request,
            self.backend.clone(),
            self.running.clone(),
            Instant::now(),
        );
        self.finish_entry();
    }

    fn finish_entry(self) {
        let now = Instant::now();
        if let Some(started_entry) = &self.started_entry {
            started_entry.wait_queue.finished(started_entry.ticket, now);
        }
        self.wait_queues.grant_all(now);
    }
}
