//! Transactional table of the platform.

use async_trait::async_trait;
use bytes::Bytes;
use model::OperationId;
use serde::Deserialize;
use serde::Serialize;

/// Version of a row. A later commit gives the rows that it writes a higher version than all earlier
/// commits.
pub type RowVersion = u64;

/// A row of the table, as read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row; rows sort by key.
    pub key: String,
    /// Version of the commit that last wrote the row.
    pub version: RowVersion,
    /// Value; must be UTF-8 text.
    #[serde(with = "text_value")]
    pub value: Bytes,
}

/// Selects a range of rows in key order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// Only rows whose key starts with this prefix.
    pub prefix: String,
    /// Only rows with a higher key than this one; `None` for no such limit.
    pub after: Option<String>,
    /// Maximum number of rows.
    pub rows_max: usize,
}

impl Scan {
    /// Selects all rows whose key starts with `prefix`; the service may return fewer.
    pub fn prefix(prefix: impl Into<String>) -> Self {
        Self { prefix: prefix.into(), after: None, rows_max: usize::MAX }
    }
}

/// Condition on a row that must hold for a transaction to commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Precondition {
    /// The row does not exist.
    Absent {
        /// Key of the row.
        key: String,
    },
    /// The row exists at this version.
    VersionIs {
        /// Key of the row.
        key: String,
        /// Required version.
        version: RowVersion,
    },
}

impl Precondition {
    /// Requires that a row is still as it was read: `row`, or absent if `row` is `None`.
    pub fn unchanged(key: impl Into<String>, row: Option<&Row>) -> Self {
        let key = key.into();
        match row {
            Some(row) => Self::VersionIs { key, version: row.version },
            None => Self::Absent { key },
        }
    }

    /// Returns the key of the row.
    pub fn key(&self) -> &str {
        match self {
            Self::Absent { key } | Self::VersionIs { key, .. } => key,
        }
    }
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Write {
    /// Creates or replaces a row.
    Put {
        /// Key of the row.
        key: String,
        /// New value; must be UTF-8 text.
        #[serde(with = "text_value")]
        value: Bytes,
    },
    /// Deletes a row, if it exists.
    Delete {
        /// Key of the row.
        key: String,
    },
}

impl Write {
    /// Returns a write that creates or replaces the row `key`.
    pub fn put(key: impl Into<String>, value: impl Into<Bytes>) -> Self {
        Self::Put { key: key.into(), value: value.into() }
    }

    /// Returns a write that creates or replaces the row `key` with `value` as JSON.
    pub fn put_json<T: Serialize>(key: impl Into<String>, value: &T) -> Self {
        let bytes =
            serde_json::to_vec(value).expect("rows serialize to JSON: their map keys are strings");
        Self::put(key, bytes)
    }
}

/// Writes that are committed together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Unique id; [`crate::Committer`] adds a write that stores it as a row.
    pub operation_id: OperationId,
    /// Conditions that must all hold.
    pub preconditions: Vec<Precondition>,
    /// Writes, applied in order.
    pub writes: Vec<Write>,
}

/// Outcome of one attempt to commit a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommitOutcome {
    /// All writes are committed.
    Committed {
        /// Version of the written rows.
        version: RowVersion,
    },
    /// A precondition did not hold, and nothing was written.
    Conflict {
        /// Key of the first row that did not meet its precondition.
        key: String,
    },
    /// The service refused the transaction, and nothing was written.
    Refused {
        /// Reason given by the service.
        reason: String,
    },
    /// No reply arrived. The writes may have been committed, or may still be committed.
    Unknown,
}

/// A service of the platform did not reply, or its reply was not usable.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the platform did not answer: {reason}")]
pub struct Unavailable {
    /// What went wrong.
    pub reason: String,
}

impl Unavailable {
    /// Creates the error of a call that failed with `reason`.
    pub fn new(reason: impl ToString) -> Self {
        Self { reason: reason.to_string() }
    }
}

/// Interface to the platform's table service.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads one row; `None` if it does not exist.
    async fn get(&self, key: &str) -> Result<Option<Row>, Unavailable>;

    /// Reads rows in key order. All rows of one reply are as of the same moment.
    async fn scan(&self, scan: Scan) -> Result<Vec<Row>, Unavailable>;

    /// Makes one attempt to commit a transaction. Prefer [`crate::Committer`], which resolves lost
    /// replies.
    async fn commit(&self, transaction: &Transaction) -> CommitOutcome;
}

/// Serializes values as JSON strings instead of lists of numbers.
mod text_value {
    use bytes::Bytes;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::ser::Error;

    pub fn serialize<S: Serializer>(value: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
        let text = std::str::from_utf8(value).map_err(S::Error::custom)?;
        serializer.serialize_str(text)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
        Ok(Bytes::from(String::deserialize(deserializer)?))
    }
}
