//! Maintenance waves: the hosts of one pool, rebooted in order inside their service's budget.
//!
//! A wave is a row of the configuration, so that a change can start a drain and note it in the wave
//! at once, operators' changes are ordered with the planner's, and every node can show it.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::CustomerId;
use crate::ids::HostId;
use crate::ids::PoolId;
use crate::ids::WaveId;

/// What a wave does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveState {
    /// Starts nothing until an operator starts it.
    Planned,
    /// Starts hosts as the budget allows.
    Running,
    /// An operator paused it; hosts in work are finished.
    Paused,
    /// Too many of its hosts have not returned; goes on by itself once they have.
    Halted {
        /// Hosts that have not returned, in the order of the wave.
        missing: Vec<HostId>,
    },
    /// Every host has had its turn.
    Done,
}

impl fmt::Display for WaveState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Planned => f.write_str("planned"),
            Self::Running => f.write_str("running"),
            Self::Paused => f.write_str("paused"),
            Self::Halted { missing } => write!(f, "halted: {} not back", missing.join(", ")),
            Self::Done => f.write_str("done"),
        }
    }
}

/// How far a host of a wave is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostProgress {
    /// Not begun.
    Waiting,
    /// Its drain has begun.
    Started,
    /// Rebooted and serving again.
    Done,
    /// Did not return.
    Failed,
}

/// A host of a wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveHost {
    /// Host.
    pub host: HostId,
    /// How far it is.
    #[serde(rename = "turn")]
    pub progress: HostProgress,
}

/// A wave as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRow {
    /// Name; that of the pool, so that a pool's next wave replaces its last one.
    pub id: WaveId,
    /// Number of the wave among those of its pool, from 1.
    pub round: u32,
    /// Customer of the pool.
    pub customer: CustomerId,
    /// Pool whose hosts it reboots.
    pub pool: PoolId,
    /// What it does.
    pub state: WaveState,
    /// Hosts in the order of their turns.
    pub hosts: Vec<WaveHost>,
    /// Hosts that may be missing at once before the wave halts.
    pub missing_max: u32,
    /// When it was planned, in milliseconds since the Unix epoch.
    pub planned_ms: u64,
    /// When every host must have had its turn, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Grows with each change of the row.
    pub epoch: u64,
}

impl WaveRow {
    /// Hosts whose turn is `turn`.
    pub fn count(&self, progress: HostProgress) -> usize {
        self.hosts.iter().filter(|host| host.progress == progress).count()
    }
}
