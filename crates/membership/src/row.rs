//! Rows of the table.

use std::net::SocketAddr;

use model::Incarnation;
use model::NodeId;
use model::ZoneId;
use serde::Deserialize;
use serde::Serialize;

use crate::list::MemberList;

/// Row of one node; it outlives the runs of the node's process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRow {
    /// Node.
    pub node: NodeId,
    /// Last run that was registered.
    pub incarnation: Incarnation,
    /// Runs up to this one are marked as gone.
    #[serde(rename = "marked_up_to")]
    pub evicted_up_to: Incarnation,
    /// What runs up to this one held may be taken; never above `evicted_up_to`.
    #[serde(rename = "taken_up_to")]
    pub takeover_up_to: Incarnation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub admin_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
}

impl MemberRow {
    /// Row after a new run was registered: earlier runs are marked, so that their take-over starts
    /// without waiting for silence.
    pub fn with_incarnation(mut self, incarnation: Incarnation) -> Self {
        self.evicted_up_to = self.evicted_up_to.max(self.incarnation);
        self.incarnation = incarnation;
        self
    }

    /// Row after the runs up to `incarnation` were marked.
    pub fn with_eviction(mut self, incarnation: Incarnation) -> Self {
        self.evicted_up_to = self.evicted_up_to.max(incarnation);
        self
    }

    /// Row after what the runs up to `incarnation` held may be taken.
    pub fn with_takeover(mut self, incarnation: Incarnation) -> Self {
        self.takeover_up_to = self.takeover_up_to.max(incarnation);
        self.with_eviction(incarnation)
    }

    /// Number of the next run: above all earlier ones, also when the wall clock stepped back.
    pub fn next_incarnation(&self, wall_ms: u64) -> Incarnation {
        wall_ms.max(self.incarnation.max(self.evicted_up_to) + 1)
    }
}

/// What one read of the table showed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TableView {
    /// Rows, sorted by node.
    pub rows: Vec<MemberRow>,
    /// The member list, if it has been written.
    pub list: Option<MemberList>,
    /// True if these are all rows, as of one moment.
    pub is_complete: bool,
}
