//! Tokens that a request holds, from the grant until it is certain that the request no longer runs.
//!
//! [`HeldTokens`] belong to a request of which nothing was sent, so dropping them releases them.
//! When the request is sent they become [`InFlightTokens`]. Dropping those marks them as in doubt,
//! because at that point it is unknown whether the request is still running. Once it is certain
//! that the request has ended, [`InFlightTokens::finish`] releases them.

use std::sync::Arc;
use std::time::Instant;

use limits::LimitKey;
use limits::LimitTable;
use model::RequestId;
use shares::Ticket;

use crate::backends::Backend;
use crate::wait_queue::WaitQueue;
use crate::wait_queue::WaitQueues;

/// Token of an open connection, released on drop.
pub struct ConnectionToken {
    limits: Arc<LimitTable>,
    key: LimitKey,
}

impl ConnectionToken {
    /// Takes a token of the limit `key`, if one is spare.
    pub fn try_acquire(limits: &Arc<LimitTable>, key: &LimitKey) -> Option<Self> {
        limits.try_acquire(key).then(|| Self { limits: limits.clone(), key: key.clone() })
    }
}

impl Drop for ConnectionToken {
    fn drop(&mut self) {
        self.limits.release(&self.key);
    }
}

/// Entry of a started request in its wait queue, which still counts it towards its team.
#[derive(Clone)]
pub struct StartedEntry {
    /// Wait queue that started the request.
    pub wait_queue: Arc<WaitQueue>,
    /// Ticket of the request in that queue.
    pub ticket: Ticket,
}

/// Tokens of a request of which nothing was sent: one for a slot of a backend server, and one of
/// its team's limit of running requests. Released on drop.
pub struct HeldTokens {
    tokens: Option<Tokens>,
}

struct Tokens {
    wait_queues: Arc<WaitQueues>,
    started_entry: Option<StartedEntry>,
    team_limit: LimitKey,
    backend: Arc<Backend>,
}

impl HeldTokens {
    /// Wraps tokens that were taken from the limits of `backend` and `team_limit`. `started_entry`
    /// is `None` for a retry, which does not pass through the wait queue again.
    pub fn new(
        wait_queues: Arc<WaitQueues>,
        started_entry: Option<StartedEntry>,
        team_limit: LimitKey,
        backend: Arc<Backend>,
    ) -> Self {
        Self { tokens: Some(Tokens { wait_queues, started_entry, team_limit, backend }) }
    }

    /// Returns the backend server that the slot belongs to.
    pub fn backend(&self) -> &Arc<Backend> {
        &self.tokens.as_ref().expect("tokens are present until drop").backend
    }

    /// Releases the slot and continues with one of `backend`, whose token the caller has taken.
    pub fn switch_backend(&mut self, backend: Arc<Backend>) {
        let tokens = self.tokens.as_mut().expect("tokens are present until drop");
        tokens.wait_queues.limits.release(&tokens.backend.slots);
        tokens.backend = backend;
    }

    /// Converts the tokens just before the first byte of `request` is sent: from now on it may be
    /// running.
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

/// Tokens of a request that may be running. Marked as in doubt on drop.
pub struct InFlightTokens {
    request: RequestId,
    tokens: Option<Tokens>,
}

impl InFlightTokens {
    /// Releases the tokens; it is certain that the request no longer runs.
    pub fn finish(mut self) {
        if let Some(tokens) = self.tokens.take() {
            tokens.release();
        }
    }

    /// Converts the tokens back: nothing was sent, or the backend server reports that it did not
    /// run the request.
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
        self.wait_queues.limits.release(&self.team_limit);
        self.finish_entry();
    }

    fn mark_in_doubt(self, request: RequestId) {
        self.wait_queues.limits.mark_in_doubt(&self.backend.slots);
        self.wait_queues.limits.mark_in_doubt(&self.team_limit);
        self.wait_queues.in_doubt.add(
            request,
            self.backend.clone(),
            self.team_limit.clone(),
            Instant::now(),
        );
        self.finish_entry();
    }

    fn finish_entry(self) {
        let now = Instant::now();
        if let Some(started_entry) = &self.started_entry {
            started_entry.wait_queue.finish(started_entry.ticket, now);
        }
        self.wait_queues.grant_all(now);
    }
}
