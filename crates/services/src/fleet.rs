//! Host list of the platform, which may be out of date, and actions on single hosts.

use std::net::SocketAddr;
use std::time::SystemTime;

use async_trait::async_trait;
use model::HostId;
use model::OperationId;
use serde::Deserialize;
use serde::Serialize;

use crate::table::Unavailable;

/// State of a host according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FleetHostState {
    /// The host was up when the platform last saw it.
    Live,
    /// The host is about to be removed, or was removed.
    Leaving,
}

/// An entry of the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetHost {
    /// Name of the host.
    pub id: HostId,
    /// Address of its backend server.
    pub address: SocketAddr,
    /// Number of the host's last boot. A host with another number at the same address has restarted
    /// or is another machine.
    pub boot_count: u64,
    /// State at `seen_at`.
    pub state: FleetHostState,
    /// When the platform last saw the host; may be in the past, because the list lags.
    pub seen_at: SystemTime,
}

/// Progress of a reboot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RebootState {
    /// The reboot was accepted and is not finished.
    Running,
    /// The host is up again.
    Done,
    /// The platform gave up on the reboot.
    Failed,
}

/// Interface to the platform's host list and host actions.
#[async_trait]
pub trait Fleet: Send + Sync {
    /// Returns the host list.
    async fn hosts(&self) -> Result<Vec<FleetHost>, Unavailable>;

    /// Requests a reboot of `host` and returns its state. A repeat with the same operation id only
    /// returns the state.
    async fn reboot(&self, host: &str, operation: &OperationId)
    -> Result<RebootState, Unavailable>;
}
