//! Whether a request may be sent once more, and to how many in all.
//!
//! A request that was not sent, or that its receiver explicitly did not run, may go elsewhere
//! whatever its method. After its first byte was sent, only an idempotent request may. A budget
//! keeps retries to a portion of all requests, so that they cannot multiply an overload.

use http::Method;

/// Attempts of one request at most.
pub const ATTEMPTS_MAX: u32 = 3;

/// Cost of a retry; one request pays in one unit.
const RETRY_COST: u32 = 10;
/// Units kept at most: retries that may come at once.
const CREDITS_MAX: u32 = 10 * RETRY_COST;

/// Why an attempt brought no answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request was sent.
    NotSent,
    /// The receiver says that it has not run the request.
    NotRun,
    /// Some of the request was sent, and no answer came.
    NoResponse,
}

/// An attempt that failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Why it failed.
    pub failure: AttemptFailure,
    /// Attempts so far, this one included.
    pub attempts: u32,
    /// True if running the request twice is the same as running it once.
    pub is_idempotent: bool,
    /// True if the whole request can be sent again.
    pub is_replayable: bool,
}

/// Portion of requests that may be sent again.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    credits: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { credits: CREDITS_MAX }
    }
}

impl RetryBudget {
    /// A new request pays in.
    pub fn deposit(&mut self) {
        self.credits = (self.credits + 1).min(CREDITS_MAX);
    }

    /// Takes the cost of a retry; false if there is too little.
    pub fn withdraw(&mut self) -> bool {
        if self.credits < RETRY_COST {
            return false;
        }
        self.credits -= RETRY_COST;
        true
    }
}

/// True if the request of a failed attempt may be sent elsewhere, within the budget.
pub fn may_retry(attempt: FailedAttempt, budget: &mut RetryBudget) -> bool {
    if attempt.attempts >= ATTEMPTS_MAX || !attempt.is_replayable {
        return false;
    }
    if attempt.failure == AttemptFailure::NoResponse && !attempt.is_idempotent {
        return false;
    }
    budget.withdraw()
}

/// True if the method's requests may be run twice.
pub fn is_idempotent(method: &Method) -> bool {
    method.is_idempotent()
}
