//! What the gateway needs to know of the rest of the node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use model::Config;
use model::NodeId;
use model::ServiceId;
use model::TeamRef;

/// Another node that may have tokens to spare.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the node.
    pub node: NodeId,
    /// Its address for callers.
    pub address: SocketAddr,
}

/// Window on the configuration and on the node's right to act.
pub trait NodeContext: Send + Sync {
    /// Configuration in force at this node.
    fn config(&self) -> Arc<Config>;

    /// True while the node may take new work.
    fn may_admit(&self, now: Instant) -> bool;

    /// Name of this run of the node's process, as backend servers report about it.
    fn dispatcher(&self) -> Option<Arc<str>> {
        None
    }

    /// Nodes that hold spare tokens for `team` on `service`, the best first.
    fn peers_with_spare_tokens(&self, _team: &TeamRef, _service: &ServiceId) -> Vec<Peer> {
        Vec::new()
    }
}
