//! Stages of the takeover of an evicted incarnation.

use std::time::Instant;

use model::Incarnation;
use model::NodeId;

/// Stage of a takeover, as one node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// The eviction is in the table, and these members have agreed to it.
    Collecting {
        /// Members that have agreed, sorted by node.
        agreed: Vec<NodeId>,
    },
    /// A majority has agreed. The last lease of the evicted incarnation expires before `until`.
    Waiting {
        /// When the takeover may be written to the table.
        until: Instant,
    },
}

/// Takeover of the resources of all incarnations of a node up to one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Takeover {
    /// Evicted node.
    pub node: NodeId,
    /// Latest incarnation that is taken over.
    pub incarnation: Incarnation,
    /// Progress towards the write that allows the takeover.
    pub stage: Stage,
}

impl Takeover {
    /// Creates a takeover that no member has agreed to yet.
    pub fn new(node: NodeId, incarnation: Incarnation) -> Self {
        Self { node, incarnation, stage: Stage::Collecting { agreed: Vec::new() } }
    }

    /// Records the agreement of `member`. Once `majority` members have agreed, the takeover waits
    /// until `until`.
    pub fn record_agreement(&mut self, member: &NodeId, majority: usize, until: Instant) {
        let Stage::Collecting { agreed } = &mut self.stage else {
            return;
        };
        if let Err(index) = agreed.binary_search(member) {
            agreed.insert(index, member.clone());
        }
        if agreed.len() >= majority {
            self.stage = Stage::Waiting { until };
        }
    }

    /// True once the takeover may be written to the table.
    pub fn is_due(&self, now: Instant) -> bool {
        matches!(self.stage, Stage::Waiting { until } if now >= until)
    }
}
