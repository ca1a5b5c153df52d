//! Why a change is not in force, told so that an operator can act on it.

use std::fmt;

use model::Change;
use model::ConfigRow;
use model::ConfigVersion;
use model::OperationId;
use services::Unavailable;

/// Why a change is not in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// Another operator was faster.
    #[error("the configuration changed meanwhile; look at it and try again")]
    Conflict,
    /// Another operator's change came first.
    #[error("version {seen} is no longer in force: {}", list(.since))]
    Raced {
        /// Version that the change rested on.
        seen: ConfigVersion,
        /// Version in force now.
        version: ConfigVersion,
        /// What has changed since.
        since: Vec<ChangeNote>,
    },
    /// The change would break the configuration.
    #[error("{reason}")]
    Invalid {
        /// What would break.
        reason: String,
    },
    /// The change was not written.
    #[error("the change was not accepted: {reason}")]
    NotAccepted {
        /// What was seen.
        reason: String,
    },
    /// The table did not answer; the change may be in force.
    #[error(
        "the table did not answer; the change may be in force or come into force: \
         `savorypitch operation {operation_id}` tells, and gives it up if it is not in force"
    )]
    Unknown {
        /// Id under which the outcome can be resolved.
        operation_id: OperationId,
    },
}

/// Who changed what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeNote {
    /// Version that the change led to.
    pub version: ConfigVersion,
    /// Who made it.
    pub author: String,
    /// Names of the rows that it wrote.
    pub rows: Vec<String>,
}

impl From<&Change> for ChangeNote {
    fn from(change: &Change) -> Self {
        let rows = change.rows.iter().map(ConfigRow::name).collect();
        Self { version: change.version, author: change.author.clone(), rows }
    }
}

impl fmt::Display for ChangeNote {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = self.rows.join(", ");
        write!(f, "version {} by {} changed {rows}", self.version, self.author)
    }
}

impl From<Unavailable> for ChangeError {
    fn from(unavailable: Unavailable) -> Self {
        Self::NotAccepted { reason: unavailable.to_string() }
    }
}

fn list(notes: &[ChangeNote]) -> String {
    let notes: Vec<String> = notes.iter().map(ChangeNote::to_string).collect();
    notes.join("; ")
}
