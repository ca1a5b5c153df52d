//! Claims of idempotency keys: what a caller's repeat is told, from the row that its first try left.
//!
//! The row is written before the request is dispatched and settled once its end is known. A holder
//! that died leaves it unsettled; after [`Claim::answer_by_ms`] such a claim reads as unknown.

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
    pub answer_by_ms: u64,
    /// How it stands.
    pub state: ClaimState,
}

/// What a repeat is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The key was used for another request.
    Other,
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
pub fn judge_repeat(claim: &Claim, digest: &str, now_ms: u64) -> Repeat {
    if claim.digest != digest {
        return Repeat::Other;
    }
    match claim.state {
        ClaimState::Running if now_ms < claim.answer_by_ms => Repeat::Running,
        ClaimState::Running | ClaimState::Unknown => Repeat::Unknown,
        ClaimState::Complete => Repeat::FirstAnswer,
        ClaimState::NotKept => Repeat::NotKept,
    }
}
