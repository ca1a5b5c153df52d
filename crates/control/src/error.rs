//! Errors of configuration changes, worded so that an operator knows what to do next.

use std::fmt;

use model::Change;
use model::ConfigRow;
use model::ConfigVersion;
use model::OperationId;
use services::Unavailable;

/// Why a change did not become active, or may not have.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// Another change was committed after the configuration was read.
    #[error("the configuration changed meanwhile; look at it and try again")]
    Conflict,
    /// Other changes were committed first, and this one cannot be decided again without the
    /// operator.
    #[error("version {seen} is no longer in force: {}", join_summaries(.since))]
    Raced {
        /// Version on which the change was based.
        seen: ConfigVersion,
        /// Version that is active now.
        version: ConfigVersion,
        /// The first changes that were committed after `seen`, oldest first.
        since: Vec<ChangeSummary>,
    },
    /// The change would make the configuration invalid.
    #[error("{reason}")]
    Invalid {
        /// What would be invalid, and what the operator can do.
        reason: String,
    },
    /// This request did not write the change.
    #[error("the change was not accepted: {reason}")]
    NotAccepted {
        /// What the table reported.
        reason: String,
    },
    /// The table did not reply; the change may be active, or may still become active.
    #[error(
        "the table did not answer; the change may be in force or come into force: \
         `savorypitch operation {operation_id}` tells, and gives it up if it is not in force"
    )]
    Unknown {
        /// Id under which the outcome can be resolved.
        operation_id: OperationId,
    },
}

/// Author and rows of a committed change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeSummary {
    /// Version that the change produced.
    pub version: ConfigVersion,
    /// Operator or node that made the change.
    pub author: String,
    /// Names of the rows that the change wrote.
    pub rows: Vec<String>,
}

impl From<&Change> for ChangeSummary {
    fn from(change: &Change) -> Self {
        let rows = change.rows.iter().map(ConfigRow::name).collect();
        Self { version: change.version, author: change.author.clone(), rows }
    }
}

impl fmt::Display for ChangeSummary {
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

fn join_summaries(summaries: &[ChangeSummary]) -> String {
    let summaries: Vec<String> = summaries.iter().map(ChangeSummary::to_string).collect();
    summaries.join("; ")
}
