//! Operations: changes that operators request, each under an id.

use model::ConfigVersion;
use model::OperationId;
use model::ids::random_id;
use serde::Deserialize;
use serde::Serialize;

/// Identifies a requested change and its author.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// Id of the change; a second request with the same id has no effect.
    pub id: OperationId,
    /// Operator or node that requests the change.
    pub author: String,
}

impl Operation {
    /// Creates an operation of `author` under a new random id.
    pub fn new(author: impl Into<String>) -> Self {
        Self { id: random_id(), author: author.into() }
    }
}

/// A change that was committed, or that did not change any row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptedChange {
    /// Version that the change produced; the current one if no row had to change.
    pub version: ConfigVersion,
    /// True if an earlier request with the same id had committed the change.
    pub is_repeat: bool,
}

/// Outcome of an operation whose reply was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperationOutcome {
    /// The change is active since this version.
    #[serde(rename = "in-force")]
    Active(ConfigVersion),
    /// The change is not active and never will be.
    Never,
}
