//! Rows of the membership in the table.

use std::net::SocketAddr;

use model::Incarnation;
use model::NodeId;
use model::ZoneId;
use serde::Deserialize;
use serde::Serialize;

use crate::list::MemberList;

/// Row of one node; it stays when the node's process ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRow {
    /// Name of the node.
    pub node: NodeId,
    /// Latest incarnation that was registered.
    pub incarnation: Incarnation,
    /// Incarnations up to this one are evicted.
    #[serde(rename = "marked_up_to")]
    pub evicted_up_to: Incarnation,
    /// The resources of incarnations up to this one may be taken over; never above `evicted_up_to`.
    #[serde(rename = "taken_up_to")]
    pub takeover_up_to: Incarnation,
    /// Availability zone of the node's host.
    pub zone: ZoneId,
    /// Address that serves callers.
    pub caller_address: SocketAddr,
    /// Address that serves operators.
    pub admin_address: SocketAddr,
    /// Address on which the node accepts connections from its peers.
    pub peer_address: SocketAddr,
}

impl MemberRow {
    /// Returns the row after `incarnation` was registered. It evicts the earlier incarnations, so
    /// that their takeover starts without waiting for the silence limit.
    pub fn with_incarnation(mut self, incarnation: Incarnation) -> Self {
        self.evicted_up_to = self.evicted_up_to.max(self.incarnation);
        self.incarnation = incarnation;
        self
    }

    /// Returns the row after the incarnations up to `incarnation` were evicted.
    pub fn with_eviction(mut self, incarnation: Incarnation) -> Self {
        self.evicted_up_to = self.evicted_up_to.max(incarnation);
        self
    }

    /// Returns the row after the takeover of the incarnations up to `incarnation` was allowed.
    pub fn with_takeover(mut self, incarnation: Incarnation) -> Self {
        self.takeover_up_to = self.takeover_up_to.max(incarnation);
        self.with_eviction(incarnation)
    }

    /// Returns the number for the next incarnation: the wall clock in milliseconds, but above all
    /// earlier incarnations even if the clock was set back.
    pub fn next_incarnation(&self, wall_ms: u64) -> Incarnation {
        wall_ms.max(self.incarnation.max(self.evicted_up_to) + 1)
    }
}

/// Result of one read of the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TableView {
    /// Rows that were read, sorted by node.
    pub rows: Vec<MemberRow>,
    /// The member list; `None` if it was not read or has not been written yet.
    pub list: Option<MemberList>,
    /// True if `rows` holds all rows as of one moment, false if only the row of this node was read.
    pub is_complete: bool,
}
