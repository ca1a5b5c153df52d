//! Maintenance waves. A wave reboots the hosts of one pool in order, within the availability budget
//! of their service.
//!
//! A wave is a row of the configuration. Therefore one change can start the drain of a host and
//! record it in the wave, changes by operators and by the planner have one order, and every node can
//! show the wave.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::CustomerId;
use crate::ids::HostId;
use crate::ids::PoolId;
use crate::ids::WaveId;

/// State of a wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveState {
    /// Drains no host until an operator starts the wave.
    Planned,
    /// Drains and reboots hosts as the availability budget allows.
    Running,
    /// An operator paused it. Hosts under maintenance are finished; no others are drained.
    Paused,
    /// At least `missing_max` of its hosts have not returned. The wave continues by itself once
    /// fewer are missing.
    Halted {
        /// Hosts that have not returned, in the order of the wave.
        missing: Vec<HostId>,
    },
    /// Every host was rebooted or has failed.
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

/// How far the wave has got with a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostProgress {
    /// Not started.
    Waiting,
    /// Its drain was started.
    Started,
    /// Rebooted and serving again, moved to another pool, or removed from the fleet.
    Done,
    /// Failed; it has not returned from its maintenance.
    Failed,
}

/// A host of a wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveHost {
    /// Name of the host.
    pub host: HostId,
    /// How far the wave has got with it.
    #[serde(rename = "turn")]
    pub progress: HostProgress,
}

/// Row of a wave in the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRow {
    /// Name of the wave: that of its pool, so that the next wave of the pool replaces this one.
    pub id: WaveId,
    /// Number of the wave among those of its pool, starting at 1.
    pub round: u32,
    /// Customer that the pool belongs to.
    pub customer: CustomerId,
    /// Pool whose hosts the wave reboots.
    pub pool: PoolId,
    /// State of the wave.
    pub state: WaveState,
    /// Hosts in the order in which they are rebooted.
    pub hosts: Vec<WaveHost>,
    /// The wave halts while at least this many hosts are missing.
    pub missing_max: u32,
    /// When the wave was planned, in milliseconds since the Unix epoch.
    pub planned_ms: u64,
    /// When the wave must be finished, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Incremented with each change of the row.
    pub epoch: u64,
}

impl WaveRow {
    /// Returns the number of hosts at `progress`.
    pub fn count(&self, progress: HostProgress) -> usize {
        self.hosts.iter().filter(|host| host.progress == progress).count()
    }
}
