//! Claims of idempotency keys: what a caller's repeat is told, from the row that its first try left.
//!
//! The row is written before the request is dispatched and settled once its end is known. A holder
//! that died leaves it unsettled; after [`Claim::response_due_ms`] such a claim reads as unknown.

use model::RequestId;
use serde::Deserialize;
use serde::Serialize;

/// How the claimed request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// Its holder is carrying it.
    Running,
    /// Answered; the answer is in the object store.
    Complete,
    /// Answered; the answer was too large to keep.
    NotKept,
    /// It may have run, and its answer is lost.
    Unknown,
}

/// Row of a claimed idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Request that holds the key.
    pub request: RequestId,
    /// Digest of its method, path and body.
    pub digest: String,
    /// When a claim that still says running is no longer believed, in ms since the Unix epoch.
    #[serde(rename = "answer_by_ms")]
    pub response_due_ms: u64,
    /// How it stands.
    pub state: ClaimState,
}

/// What a repeat is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatOutcome {
    /// The key was used for another request.
    DifferentRequest,
    /// The first try is still running.
    Running,
    /// The first try's answer, from the object store.
    FirstAnswer,
    /// The first try was answered, and the answer was not kept.
    NotKept,
    /// The first try may have run.
    Unknown,
}

/// Decides what a repeat with `digest` is told at `now_ms`.
pub fn resolve_repeat(claim: &Claim, digest: &str, now_ms: u64) -> RepeatOutcome {
    if claim.digest != digest {
        return RepeatOutcome::DifferentRequest;
    }
    match claim.state {
        ClaimState::Running if now_ms < claim.response_due_ms => RepeatOutcome::Running,
        ClaimState::Running | ClaimState::Unknown => RepeatOutcome::Unknown,
        ClaimState::Complete => RepeatOutcome::FirstAnswer,
        ClaimState::NotKept => RepeatOutcome::NotKept,
    }
}
