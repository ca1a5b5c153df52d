//! Hosts as the configuration knows them.
//!
//! A host row has one pool field, so a host is in exactly one pool by construction. Its state moves
//! through serving, draining, drained, rebooting and returning; each step raises the epoch, so that
//! a step decided on an older row is refused by the table.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::CustomerId;
use crate::ids::HostId;
use crate::ids::PoolId;
use crate::ids::RackId;
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
    pub fn takes_work(self) -> bool {
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
}

impl HostRow {
    /// Row of a host that starts in `spec.pool` and takes work.
    pub fn new(customer: CustomerId, spec: HostSpec) -> Self {
        Self { customer, spec, state: HostState::Serving, move_to: None, epoch: 1 }
    }

    /// Name of the host.
    pub fn id(&self) -> &HostId {
        &self.spec.id
    }
}
