//! Hosts as the configuration knows them.
//!
//! A host row has one pool field, so a host is in exactly one pool by construction. Its state moves
//! through serving, draining, drained, rebooting and returning; each step raises the epoch, so that
//! a step decided on an older row is refused by the table. Everything that a node needs to carry a
//! step on after another node died is in the row.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ConfigVersion;
use crate::ids::CustomerId;
use crate::ids::HostId;
use crate::ids::PoolId;
use crate::ids::RackId;
use crate::ids::WaveId;
use crate::ids::ZoneId;

/// Step of a host's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// Takes new work.
    Serving,
    /// Takes no new work; running work ends.
    Draining,
    /// Runs nothing.
    Drained,
    /// The platform reboots it.
    Rebooting,
    /// Up again, not yet shown to be healthy.
    Returning,
    /// Lost or broken.
    Failed,
}

impl HostState {
    /// True if new work may be placed on the host.
    pub fn is_schedulable(self) -> bool {
        self == Self::Serving
    }
}

impl fmt::Display for HostState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Serving => "serving",
            Self::Draining => "draining",
            Self::Drained => "drained",
            Self::Rebooting => "rebooting",
            Self::Returning => "returning",
            Self::Failed => "failed",
        })
    }
}

/// Why a host takes no work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopReason {
    /// An operator drained it; it stays drained until an operator returns it.
    Operator,
    /// It moves to another pool.
    Move,
    /// A maintenance wave reboots it.
    Wave(WaveId),
    /// The platform's host list lost it.
    Absent,
    /// A reboot did not end in time, or the platform gave up.
    RebootFailed,
    /// It came back broken.
    Broken,
}

impl fmt::Display for StopReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Operator => f.write_str("operator"),
            Self::Move => f.write_str("move"),
            Self::Wave(wave) => write!(f, "wave {wave}"),
            Self::Absent => f.write_str("absent from the host list"),
            Self::RebootFailed => f.write_str("reboot failed"),
            Self::Broken => f.write_str("came back broken"),
        }
    }
}

/// What a contract says about a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSpec {
    /// Name of the host.
    pub id: HostId,
    /// Pool that the host starts in.
    pub pool: PoolId,
    /// Address of its backend server.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Rack.
    pub rack: RackId,
    /// Requests that its backend server runs at once.
    pub slots: u32,
    /// Connections that its backend server accepts.
    pub connections_max: u32,
    /// Processor cores.
    pub processors: u32,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Accelerators.
    pub accelerators: u32,
}

/// A host as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// Customer that owns the host.
    pub customer: CustomerId,
    /// Properties; `spec.pool` is the pool that the host is in now.
    pub spec: HostSpec,
    /// Step of the life cycle.
    pub state: HostState,
    /// Pool that the host moves to once it is drained.
    pub move_to: Option<PoolId>,
    /// Grows with each change of the row.
    pub epoch: u64,
    /// Why it takes no work; `None` while it serves.
    #[serde(default)]
    pub reason: Option<StopReason>,
    /// Version of the configuration that brought the present state.
    #[serde(default)]
    pub since_version: ConfigVersion,
    /// When the present state began, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub since_ms: u64,
    /// Number of the last boot that was seen before the present state.
    #[serde(default)]
    pub boot_count: Option<u64>,
    /// Pool that it belongs to while it is lent to another.
    #[serde(default)]
    pub lent_from: Option<PoolId>,
    /// When the last maintenance ended, in milliseconds since the Unix epoch.
    #[serde(default)]
    #[serde(rename = "maintained_ms")]
    pub maintenance_ended_ms: Option<u64>,
}

impl HostRow {
    /// Row of a host that starts in `spec.pool` and takes work.
    pub fn new(customer: CustomerId, spec: HostSpec) -> Self {
        Self {
            customer,
            spec,
            state: HostState::Serving,
            move_to: None,
            epoch: 1,
            reason: None,
            since_version: 0,
            since_ms: 0,
            boot_count: None,
            lent_from: None,
            maintenance_ended_ms: None,
        }
    }

    /// Pool that a lent host belongs to.
    pub fn home_pool(&self) -> Option<&PoolId> {
        self.lent_from.as_ref().filter(|home| **home != self.spec.pool)
    }

    /// Name of the host.
    pub fn id(&self) -> &HostId {
        &self.spec.id
    }
}
