//! Fencing tokens of the calls to workers.
//!
//! A worker refuses calls with a lower token than it has seen, so that it refuses an earlier owner.
//! A worker that starts again under its id has seen no token, and calls that were meant for its
//! earlier incarnation may still reach it: they would acknowledge completions that nobody has
//! stored, extend its lease by a deadline of another clock, or start a unit that runs elsewhere by
//! then. So the owner uses a higher token for each incarnation, and starts runs there only once the
//! worker has replied to a call with that token. The tokens of the next owner are all higher.

use crate::FencingToken;
use crate::state::Scheduler;

/// Number of tokens that one owner uses at most.
const TOKENS_PER_EPOCH: u64 = 1 << 20;

/// The tokens of one owner.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tokens {
    epoch: u64,
    last: u64,
}

impl Tokens {
    pub fn new(epoch: u64) -> Self {
        Self { epoch, last: 0 }
    }

    /// Returns a token that is higher than all before.
    pub fn next(&mut self) -> FencingToken {
        self.last = (self.last + 1).min(TOKENS_PER_EPOCH - 1);
        self.epoch * TOKENS_PER_EPOCH + self.last
    }
}

impl Scheduler {
    /// Handles a worker's refusal of a call since it has seen a higher token. The higher one may be
    /// that of a later call of this owner; otherwise another owner has taken over.
    pub fn handle_fenced(&mut self, worker: &str, token: FencingToken) {
        self.is_fenced |= self.is_current_token(worker, token);
    }

    /// Returns true if a call with this token was sent to the incarnation and the address that are
    /// known of the worker.
    pub(crate) fn is_current_token(&self, worker: &str, token: FencingToken) -> bool {
        self.workers.get(worker).is_some_and(|worker| worker.token == token)
    }
}
