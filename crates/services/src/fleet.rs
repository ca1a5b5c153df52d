//! The platform's view of hosts: a lagging list, and actions on single hosts.

use std::net::SocketAddr;
use std::time::SystemTime;

use async_trait::async_trait;
use model::HostId;
use model::OperationId;
use serde::Deserialize;
use serde::Serialize;

use crate::table::Unavailable;

/// What the platform says about a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FleetHostState {
    /// Up, as of the list's time.
    Live,
    /// About to go, or gone.
    Leaving,
}

/// An entry of the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetHost {
    /// Host.
    pub id: HostId,
    /// Address of its backend server.
    pub address: SocketAddr,
    /// Number of the host's last boot; a host with another number at the same address is new.
    pub boot_count: u64,
    /// State as of `seen_at`.
    pub state: FleetHostState,
    /// When the platform saw it; the list lags.
    pub seen_at: SystemTime,
}

/// How far a reboot is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RebootState {
    /// Accepted; the host is on its way down or up.
    Running,
    /// The host is up again.
    Done,
    /// The platform gave up.
    Failed,
}

/// Window on the platform's host list and host actions.
#[async_trait]
pub trait Fleet: Send + Sync {
    /// The host list.
    async fn hosts(&self) -> Result<Vec<FleetHost>, Unavailable>;

    /// Asks for a reboot; a repeat with the same operation id starts nothing new.
    async fn reboot(&self, host: &str, operation: &OperationId)
    -> Result<RebootState, Unavailable>;
}
