//! Refusals of new entries; a refused entry has not run and never will.

use std::time::Duration;

/// Why an entry was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// The queue is full, and the team has its part of it.
    #[error("the queue is full")]
    Full,
    /// The entry would not start in time.
    #[error("the deadline cannot be met")]
    Deadline,
}

/// An entry was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}; come back in {} ms", retry_after.as_millis())]
pub struct Refused {
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub retry_after: Duration,
}
