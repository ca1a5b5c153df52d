//! Operations: changes that an operator asked for, each under an id.

use model::ConfigVersion;
use model::OperationId;
use model::ids::random_id;
use serde::Deserialize;
use serde::Serialize;

/// Who asks for a change, and under which id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// Id; a repeat under the same id changes nothing.
    pub id: OperationId,
    /// Who asks.
    pub author: String,
}

impl Operation {
    /// New operation of `author`.
    pub fn new(author: impl Into<String>) -> Self {
        Self { id: random_id(), author: author.into() }
    }
}

/// An accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptedChange {
    /// Version that it led to.
    pub version: ConfigVersion,
    /// True if an earlier call under the same id had made it.
    pub repeated: bool,
}

/// What became of an operation whose outcome was not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperationOutcome {
    /// It is in force since this version.
    #[serde(rename = "in-force")]
    Active(ConfigVersion),
    /// It is not in force and never will be.
    Never,
}
