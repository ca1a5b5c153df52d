//! The transactional table.

use async_trait::async_trait;
use bytes::Bytes;
use model::OperationId;
use serde::Deserialize;
use serde::Serialize;

/// Version of a row; a later write of any row has a larger version.
pub type RowVersion = u64;

/// A row as read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Version of the last write.
    pub version: RowVersion,
    /// Value; UTF-8 text.
    #[serde(with = "text_value")]
    pub value: Bytes,
}

/// A range of rows in key order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// Prefix of all keys.
    pub prefix: String,
    /// Only keys after this one.
    pub after: Option<String>,
    /// Rows at most.
    pub rows_max: usize,
}

impl Scan {
    /// All rows below `prefix`, up to the service's own bound.
    pub fn prefix(prefix: impl Into<String>) -> Self {
        Self { prefix: prefix.into(), after: None, rows_max: usize::MAX }
    }
}

/// What must hold for a transaction to commit.
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
        /// Version that was read.
        version: RowVersion,
    },
}

impl Precondition {
    /// The row is still as it was read; `None` for a row that was absent.
    pub fn unchanged(key: impl Into<String>, row: Option<&Row>) -> Self {
        let key = key.into();
        match row {
            Some(row) => Self::VersionIs { key, version: row.version },
            None => Self::Absent { key },
        }
    }

    /// Key of the row.
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
        /// New value; UTF-8 text.
        #[serde(with = "text_value")]
        value: Bytes,
    },
    /// Removes a row, if it exists.
    Delete {
        /// Key of the row.
        key: String,
    },
}

impl Write {
    /// Creates or replaces the row `key`.
    pub fn put(key: impl Into<String>, value: impl Into<Bytes>) -> Self {
        Self::Put { key: key.into(), value: value.into() }
    }

    /// Creates or replaces the row `key` with `value` in JSON.
    pub fn put_json<T: Serialize>(key: impl Into<String>, value: &T) -> Self {
        let bytes = serde_json::to_vec(value).expect("rows have string keys only");
        Self::put(key, bytes)
    }
}

/// Writes that happen together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Unique id; stored as a row in the same transaction.
    pub operation_id: OperationId,
    /// All must hold.
    pub preconditions: Vec<Precondition>,
    /// Applied in order.
    pub writes: Vec<Write>,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommitOutcome {
    /// All writes are in force.
    Committed {
        /// Version of the written rows.
        version: RowVersion,
    },
    /// A precondition did not hold; nothing was written.
    Conflict {
        /// Key of the first row that did not match.
        key: String,
    },
    /// The service refused the transaction; nothing was written.
    Refused {
        /// Why.
        reason: String,
    },
    /// No answer came; the writes may be in force, or may come into force later.
    Unknown,
}

/// The service did not answer a read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the platform did not answer: {reason}")]
pub struct Unavailable {
    /// What was seen.
    pub reason: String,
}

impl Unavailable {
    /// Reads that failed with `reason`.
    pub fn new(reason: impl ToString) -> Self {
        Self { reason: reason.to_string() }
    }
}

/// Window on the platform's table service.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads one row.
    async fn get(&self, key: &str) -> Result<Option<Row>, Unavailable>;

    /// Reads rows in key order; one answer shows one moment.
    async fn scan(&self, scan: Scan) -> Result<Vec<Row>, Unavailable>;

    /// Commits a transaction once; prefer [`crate::Committer`], which resolves lost answers.
    async fn commit(&self, transaction: &Transaction) -> CommitOutcome;
}

/// Carries values as JSON strings instead of lists of numbers.
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
