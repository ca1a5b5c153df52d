//! What a node knows of the members, itself included.

use std::net::SocketAddr;

use model::ConfigVersion;
use model::Incarnation;
use model::NodeId;
use model::ZoneId;
use wire::Count;

/// A member as one node sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Node.
    pub node: NodeId,
    /// Run of its process that was last heard of.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub admin_address: SocketAddr,
    /// Configuration in force there, as last reported.
    pub config_version: ConfigVersion,
    /// True if it was heard of within the silence limit and is not marked.
    pub is_alive: bool,
    /// Its counts as last reported, sorted by key.
    pub counts: Vec<Count>,
}
