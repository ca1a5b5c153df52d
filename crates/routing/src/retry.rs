//! Rules for sending a failed request again.
//!
//! A request of which no byte was sent, or that the receiver explicitly did not run, may be sent to
//! another backend server whatever its method. Once its first byte was sent, only an idempotent
//! request may be sent again. A budget limits retries to a fraction of all requests, so that they
//! cannot amplify an overload.

use http::Method;

/// Maximum number of attempts for one request, the first included.
pub const ATTEMPTS_MAX: u32 = 3;

/// Credits that a retry costs. Each new request adds one, so in the long run at most one retry is
/// made for ten requests.
const RETRY_COST: u32 = 10;
/// Maximum number of credits; allows a burst of ten retries.
const CREDITS_MAX: u32 = 10 * RETRY_COST;

/// Reason why an attempt gave no response for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request was sent.
    NotSent,
    /// The receiver reports that it did not run the request.
    NotRun,
    /// Some of the request was sent, and no response was received.
    NoResponse,
}

/// Failed attempt of a request, as far as it matters for a retry.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Reason of the failure.
    pub failure: AttemptFailure,
    /// Number of attempts so far, this one included.
    pub attempts: u32,
    /// True if running the request twice has the same effect as running it once.
    pub is_idempotent: bool,
    /// True if the whole request, with its body, is still available to be sent again.
    pub is_replayable: bool,
}

/// Limits retries to a fraction of the requests, with an allowance for short bursts.
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
    /// Adds the credit of a new request.
    pub fn deposit(&mut self) {
        self.credits = (self.credits + 1).min(CREDITS_MAX);
    }

    /// Pays for a retry; returns false if there are too few credits.
    pub fn withdraw(&mut self) -> bool {
        if self.credits < RETRY_COST {
            return false;
        }
        self.credits -= RETRY_COST;
        true
    }
}

/// Returns true if the request of a failed attempt may be sent again, and pays for that from
/// `budget`.
pub fn may_retry(attempt: FailedAttempt, budget: &mut RetryBudget) -> bool {
    if attempt.attempts >= ATTEMPTS_MAX || !attempt.is_replayable {
        return false;
    }
    if attempt.failure == AttemptFailure::NoResponse && !attempt.is_idempotent {
        return false;
    }
    budget.withdraw()
}

/// Returns true if HTTP defines `method` as idempotent, so that a request may run twice.
pub fn is_idempotent(method: &Method) -> bool {
    method.is_idempotent()
}
