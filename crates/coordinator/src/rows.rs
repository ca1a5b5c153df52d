//! Contents of the rows that nodes store in the platform's tables.

use std::net::SocketAddr;

use bytes::Bytes;
use scheduler::JobRecord;
use scheduler::ShardIndex;
use scheduler::TeamName;
use scheduler::WaveId;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ports::Row;
use crate::sharding::stable_hash;

/// Key of the owner's row.
pub const OWNER_KEY: &str = "owner";

/// Key, in the owner's table, of the row with the layout of the shards.
pub const LAYOUT_KEY: &str = "layout";

/// Key, in the owner's table, of the row with the hosts that recently got commands.
pub const HOST_COMMANDS_KEY: &str = "hosts";

/// Key, in the owner's table, of the row with the baseline hosts of each pool.
pub const BASELINE_HOSTS_KEY: &str = "pools";

/// Key, in the owner's table, of the row with the measured durations of units.
pub const DURATIONS_KEY: &str = "durations";

/// Prefix of the keys of maintenance waves in the table of progress; no job id begins with it.
pub const WAVE_KEY_PREFIX: &str = "wave/";

/// Number of groups into which the rows of divisions are split. Each group has a part of the store
/// of its own, so that changes of different groups don't wait for each other.
pub const DIVISION_GROUPS: u64 = 16;

/// What a row in the table of divisions is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DivisionKey {
    /// The portions of a team's quota.
    Team(TeamName),
    /// The shards that are done with a wave.
    Wave(WaveId),
    /// The epoch of a shard's owner, in each group. Changes of rows of the group require it.
    Epoch(ShardIndex),
}

impl DivisionKey {
    /// Returns the group of the row; none for an epoch, which is in every group.
    pub fn group(&self) -> Option<u64> {
        let name = match self {
            Self::Team(team) => format!("team/{team}"),
            Self::Wave(wave) => format!("wave/{wave}"),
            Self::Epoch(_) => return None,
        };
        Some(stable_hash(name.as_bytes()) % DIVISION_GROUPS)
    }

    /// Returns the key of the row in a group: the group, what the row is about, and its name.
    pub fn in_group(&self, group: u64) -> String {
        match self {
            Self::Team(team) => format!("{group}/team/{team}"),
            Self::Wave(wave) => format!("{group}/wave/{wave}"),
            Self::Epoch(shard) => format!("{group}/epoch/{shard}"),
        }
    }

    /// Decodes the key of a row; returns its group too.
    pub fn parse(key: &str) -> Option<(u64, Self)> {
        let (group, rest) = key.split_once('/')?;
        let (kind, name) = rest.split_once('/')?;
        let parsed = match kind {
            "team" => Self::Team(name.into()),
            "wave" => Self::Wave(name.parse().ok()?),
            "epoch" => Self::Epoch(name.parse().ok()?),
            _ => return None,
        };
        Some((group.parse().ok()?, parsed))
    }
}

/// Returns the key of a row that lists shards of hosts, by its number.
pub fn layout_hosts_key(number: usize) -> String {
    format!("layout/hosts/{number}")
}

/// Returns the key of the row that lists the maintained hosts of a wave.
pub fn wave_key(wave: WaveId) -> String {
    format!("{WAVE_KEY_PREFIX}{wave}")
}

/// Identifies the node that owns the scheduling.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct OwnerRow {
    /// Fencing token of the owner's commands, higher than those of all earlier owners.
    pub epoch: u64,
    /// Number of the last transaction; rises with each one, across owners too.
    pub sequence: u64,
    /// Name of the node.
    pub node: String,
    /// Unique number of the node's process.
    pub incarnation: u64,
    /// Address of the owner for other nodes; none before there was an owner.
    pub address: Option<SocketAddr>,
    /// Whether the owner has released the ownership.
    pub is_released: bool,
    /// For how long the owner had held the ownership when it sent this transaction, in
    /// milliseconds. Rows of earlier versions lack it.
    pub held_ms: u64,
}

/// Shards that have maintained all of their hosts of a wave, in the order in which they were done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveDivisionRow {
    /// Numbers of the shards.
    pub done: Vec<ShardIndex>,
}

/// A request that a node stored because it could not reach the owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InboxRow {
    /// A caller submitted this job.
    Submit(JobRecord),
    /// A caller cancelled a job.
    Cancel {
        /// Id of the job.
        job: String,
        /// Shard that has the job.
        #[serde(default)]
        shard: ShardIndex,
    },
}

/// A row whose value could not be decoded.
#[derive(Debug, thiserror::Error)]
#[error("row {key} cannot be decoded: {source}")]
pub struct RowError {
    key: String,
    source: serde_json::Error,
}

/// Encodes the value of a row.
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(value).expect("serialization fails only for non-string keys"))
}

/// Decodes the value of a row; logs a failure and returns none for it.
pub(crate) fn decode_or_log<T: DeserializeOwned>(row: &Row) -> Option<T> {
    decode(&row.key, &row.value)
        .inspect_err(|error| {
            telemetry::log::line("row-unreadable").text("why", error).write();
        })
        .ok()
}

/// Decodes the value of a row.
pub fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, RowError> {
    serde_json::from_slice(value).map_err(|source| RowError { key: key.to_owned(), source })
}
