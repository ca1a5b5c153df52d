//! Claims of idempotency keys, and the response to a repeat of a key that has a claim.
//!
//! The claim row is written before the first request with a key is dispatched, and gets its final
//! state once the outcome of that request is known. If the node that holds the claim dies in
//! between, the row stays in [`ClaimState::Running`]; after [`Claim::response_due_ms`] such a claim
//! counts as unknown.

use model::RequestId;
use serde::Deserialize;
use serde::Serialize;

/// State of the request that holds the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// A node is dispatching it or waits for its response.
    Running,
    /// It completed, and its response is in the object store.
    Complete,
    /// It completed, and its response was not stored, mostly because it was too large.
    #[serde(rename = "not-kept")]
    NotStored,
    /// It may have run, and its response is lost.
    Unknown,
}

/// Table row of a claimed idempotency key, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Request that holds the key.
    pub request: RequestId,
    /// Digest of its method, target and body; tells a repeat from another request with the same
    /// key.
    pub digest: String,
    /// Time at or after which a claim that is still in state running counts as unknown, in
    /// milliseconds since the Unix epoch.
    #[serde(rename = "answer_by_ms")]
    pub response_due_ms: u64,
    /// State of the request.
    pub state: ClaimState,
}

/// How the gateway responds to a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatOutcome {
    /// Error: the key was used for a different request.
    DifferentRequest,
    /// Error: the first request is still running.
    Running,
    /// The response to the first request, from the object store.
    StoredResponse,
    /// Error: the first request completed, but its response was not stored.
    NotStored,
    /// Error: the first request may have run.
    Unknown,
}

/// Decides how to respond at `now_ms` to a request with `digest` whose key is held by `claim`.
pub fn resolve_repeat(claim: &Claim, digest: &str, now_ms: u64) -> RepeatOutcome {
    if claim.digest != digest {
        return RepeatOutcome::DifferentRequest;
    }
    match claim.state {
        ClaimState::Running if now_ms < claim.response_due_ms => RepeatOutcome::Running,
        ClaimState::Running | ClaimState::Unknown => RepeatOutcome::Unknown,
        ClaimState::Complete => RepeatOutcome::StoredResponse,
        ClaimState::NotStored => RepeatOutcome::NotStored,
    }
}
