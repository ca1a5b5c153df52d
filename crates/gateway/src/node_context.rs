//! Interface through which the gateway accesses the rest of its node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use model::Config;
use model::NodeId;
use model::ServiceId;
use model::TeamRef;

/// Another node, to which requests can be forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the node.
    pub node: NodeId,
    /// Address on which it serves callers.
    pub address: SocketAddr,
}

/// Gives access to the configuration, the node's permission to take work, and its peers.
pub trait NodeContext: Send + Sync {
    /// Returns the configuration that is active at this node.
    fn config(&self) -> Arc<Config>;

    /// Returns true while the node may admit requests and send them to backend servers.
    fn may_admit(&self, now: Instant) -> bool;

    /// Returns the name of this incarnation of the node, under which backend servers report whether
    /// they run any of its requests. `None` if requests are sent without the dispatcher header.
    fn dispatcher(&self) -> Option<Arc<str>> {
        None
    }

    /// Returns the nodes that have spare tokens for `team` and `service`, the preferred one first.
    fn peers_with_spare_tokens(&self, _team: &TeamRef, _service: &ServiceId) -> Vec<Peer> {
        Vec::new()
    }
}
