//! Interface to the transport between nodes.

use std::net::SocketAddr;

use bytes::Bytes;
use model::NodeId;

/// Why a link could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("cannot use {address} for peers: {reason}")]
pub struct LinkError {
    /// Configured address.
    pub address: SocketAddr,
    /// Error text of the transport library.
    pub reason: String,
}

/// Sends frames to peers. A frame that cannot be queued at once is dropped.
pub trait Link: Send + Sync {
    /// Returns the address at which this node listens for its peers.
    fn local_address(&self) -> SocketAddr;

    /// Replaces the peers, which are sorted by node; closes connections to nodes not in `peers`.
    fn set_peers(&self, peers: &[(NodeId, SocketAddr)]);

    /// Queues a frame for `peer`; returns false if it was dropped. A queued frame can still be lost.
    fn send(&self, peer: &str, frame: Bytes) -> bool;

    /// Closes the connection to a peer and opens a new one.
    fn redial(&self, peer: &str);
}
