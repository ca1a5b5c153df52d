//! Decisions about a caller's request: admission, choice of a backend server, health of backend
//! servers, retries, deadlines, and repeats of idempotency keys.
//!
//! All functions are pure: they depend only on the configuration, the given state and the current
//! time.

mod admission;
mod choice;
mod claim;
mod deadline;
mod health;
mod retry;

pub use admission::Admission;
pub use admission::AdmissionError;
pub use admission::admit;
pub use choice::choose;
pub use claim::Claim;
pub use claim::ClaimState;
pub use claim::RepeatOutcome;
pub use claim::resolve_repeat;
pub use deadline::Deadline;
pub use health::EJECTION_TIME_BASE;
pub use health::EJECTION_TIME_MAX;
pub use health::FAILURES_TO_EJECT;
pub use health::Health;
pub use health::Observation;
pub use health::SLOW_START_TIME;
pub use health::may_eject;
pub use retry::ATTEMPTS_MAX;
pub use retry::AttemptFailure;
pub use retry::FailedAttempt;
pub use retry::RetryBudget;
pub use retry::is_idempotent;
pub use retry::may_retry;
