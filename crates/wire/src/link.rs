//! Window on the transport between nodes.

use std::net::SocketAddr;

use bytes::Bytes;
use model::NodeId;

/// Why a link could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("cannot use {address} for peers: {reason}")]
pub struct LinkError {
    /// Address of the setting.
    pub address: SocketAddr,
    /// What the library said.
    pub reason: String,
}

/// Sends frames to peers; what cannot be sent at once is dropped.
pub trait Link: Send + Sync {
    /// Address that peers reach this node at.
    fn local_address(&self) -> SocketAddr;

    /// Replaces the peers, sorted by node; connections to others are closed.
    fn set_peers(&self, peers: &[(NodeId, SocketAddr)]);

    /// Sends a frame; false if it was dropped.
    fn send(&self, peer: &str, frame: Bytes) -> bool;

    /// Closes the connection to a peer and dials anew.
    fn redial(&self, peer: &str);
}
