//! Hosts in the configuration.
//!
//! A host row has one pool field, so a host is in exactly one pool by construction. A host goes
//! through the states serving, draining, drained, rebooting and returning. Each transition
//! increments the epoch, so that the table rejects a transition that was decided on an older row.
//! The row has everything that a node needs to continue a transition after another node has died.

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

/// State in the life cycle of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host gets new work.
    Serving,
    /// The host gets no new work; running work may finish.
    Draining,
    /// The host runs nothing.
    Drained,
    /// The platform is rebooting the host.
    Rebooting,
    /// The host is up again and has not yet been shown to be healthy.
    Returning,
    /// The host is lost or broken.
    Failed,
}

impl HostState {
    /// Returns true if new work may be placed on the host.
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

/// Why a host gets no new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopReason {
    /// An operator drained it. It stays drained until an operator returns it.
    Operator,
    /// It is moving to another pool.
    Move,
    /// This maintenance wave reboots it.
    Wave(WaveId),
    /// The platform's host list no longer has it.
    Absent,
    /// A reboot did not finish in time, or the platform gave up on it.
    RebootFailed,
    /// It came back and was not shown to be healthy in time.
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

/// Properties of a host, as written in its contract.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSpec {
    /// Name of the host; unique in the fleet.
    pub id: HostId,
    /// Initial pool in a contract; current pool in a [`HostRow`].
    pub pool: PoolId,
    /// Address of its backend server.
    pub address: SocketAddr,
    /// Availability zone that the host is in.
    pub zone: ZoneId,
    /// Rack that the host is in.
    pub rack: RackId,
    /// Maximum number of requests that its backend server runs at the same time.
    pub slots: u32,
    /// Maximum number of connections that its backend server accepts.
    pub connections_max: u32,
    /// Number of processor cores.
    pub processors: u32,
    /// Main memory, in MiB.
    pub memory_mib: u64,
    /// Number of accelerators; 0 if the contract has none.
    pub accelerators: u32,
}

/// Row of a host in the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// Customer that owns the host.
    pub customer: CustomerId,
    /// Properties; `spec.pool` is the current pool.
    pub spec: HostSpec,
    /// State in the life cycle.
    pub state: HostState,
    /// Pool that the host moves to once it is drained; `None` if it stays in its pool.
    pub move_to: Option<PoolId>,
    /// Incremented with each change of the row; starts at 1.
    pub epoch: u64,
    /// Why it gets no new work; `None` while it is serving.
    #[serde(default)]
    pub reason: Option<StopReason>,
    /// Version of the configuration that set the current state.
    #[serde(default)]
    pub since_version: ConfigVersion,
    /// When the current state was entered, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub since_ms: u64,
    /// The platform's boot count of the host, as last seen before the current state.
    #[serde(default)]
    pub boot_count: Option<u64>,
    /// Pool that it belongs to while it is lent to another pool.
    #[serde(default)]
    pub lent_from: Option<PoolId>,
    /// When its last maintenance ended, in milliseconds since the Unix epoch; `None` if it had
    /// none.
    #[serde(default)]
    #[serde(rename = "maintained_ms")]
    pub maintenance_ended_ms: Option<u64>,
}

impl HostRow {
    /// Creates the row of a new host, which is serving in `spec.pool`.
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

    /// Returns the pool that a lent host belongs to; `None` if the host is in its own pool.
    pub fn home_pool(&self) -> Option<&PoolId> {
        self.lent_from.as_ref().filter(|home| **home != self.spec.pool)
    }

    /// Returns the name of the host.
    pub fn id(&self) -> &HostId {
        &self.spec.id
    }
}
