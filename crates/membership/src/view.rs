//! The members as one node sees them, itself included.

use std::net::SocketAddr;

use model::ConfigVersion;
use model::Incarnation;
use model::NodeId;
use model::ZoneId;
use wire::LimitCounts;

/// A member as one node sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Name of the node.
    pub node: NodeId,
    /// Latest known incarnation of the node.
    pub incarnation: Incarnation,
    /// Availability zone of the node's host.
    pub zone: ZoneId,
    /// Address that serves callers.
    pub caller_address: SocketAddr,
    /// Address that serves operators.
    pub admin_address: SocketAddr,
    /// Version of the node's active configuration, as last reported.
    pub config_version: ConfigVersion,
    /// True if a message has arrived within the silence limit and the incarnation is not evicted.
    pub is_alive: bool,
    /// Running, queued and spare counts by limit, as last reported, sorted by key.
    pub counts: Vec<LimitCounts>,
}
