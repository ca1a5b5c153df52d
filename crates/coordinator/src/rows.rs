//! Rows of the product's tables.

use std::net::SocketAddr;

use bytes::Bytes;
use scheduler::JobRecord;
use scheduler::WaveId;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ports::Row;

/// Key of the owner's row.
pub const OWNER_KEY: &str = "owner";

/// Key of the row with the hosts that were ordered of late, in the owner's table.
pub const HOST_COMMANDS_KEY: &str = "hosts";

/// Key of the row with the hosts that the pools had at first, in the owner's table.
pub const BASELINE_HOSTS_KEY: &str = "pools";

/// Begin of the keys of waves in the table of progress; no job's id begins so.
pub const WAVE_KEY_PREFIX: &str = "wave/";

/// Key of the row that says which hosts of a wave have been maintained.
pub fn wave_key(wave: WaveId) -> String {
    format!("{WAVE_KEY_PREFIX}{wave}")
}

/// Who owns the scheduling.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct OwnerRow {
    /// Fencing token of its orders; each owner's is higher.
    pub epoch: u64,
    /// Number of its last transaction.
    pub sequence: u64,
    /// Node.
    pub node: String,
    /// Unique number of the node's process.
    pub incarnation: u64,
    /// Address for other nodes; none at the very first.
    pub address: Option<SocketAddr>,
    /// True if it has given up the ownership.
    pub is_released: bool,
}

/// A request that a node stored since it could not reach the owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InboxRow {
    /// A job was submitted.
    Submit(JobRecord),
    /// A job was cancelled.
    Cancel {
        /// Id of the job.
        job: String,
    },
}

/// A row whose value could not be read.
#[derive(Debug, thiserror::Error)]
#[error("row {key} cannot be read: {source}")]
pub struct RowError {
    key: String,
    source: serde_json::Error,
}

/// Value of a row.
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(value).expect("rows have string keys only"))
}

/// Reads the value of a row; one that cannot be read is logged and left out.
pub(crate) fn decode_or_log<T: DeserializeOwned>(row: &Row) -> Option<T> {
    decode(&row.key, &row.value)
        .inspect_err(|error| {
            telemetry::log::line("row-unreadable").text("why", error).write();
        })
        .ok()
}

/// Reads the value of a row.
pub fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, RowError> {
    serde_json::from_slice(value).map_err(|source| RowError { key: key.to_owned(), source })
}
