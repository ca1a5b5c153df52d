//! Refusals of new entries. A refused entry has not run and will not run.

use std::time::Duration;

/// Why an entry was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// The queue is full, and no other team has more entries relative to its weight.
    #[error("the queue is full")]
    Full,
    /// The deadline has passed, or the entry would probably miss it or wait longer than allowed.
    #[error("the deadline cannot be met")]
    Deadline,
}

/// A refused entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}; retry after {} ms", retry_after.as_millis())]
pub struct Refused {
    /// Why it was refused.
    pub reason: Reason,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}
