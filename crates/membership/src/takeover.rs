//! Steps of taking over what a marked run held.

use std::time::Instant;

use model::Incarnation;
use model::NodeId;

/// How far a take-over is, as one node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// The mark is in the table; these members have agreed to it.
    Collecting {
        /// Sorted by node.
        agreed: Vec<NodeId>,
    },
    /// A majority agreed; the run's last proof lapses before `until`.
    Waiting {
        /// When the take-over may be written.
        until: Instant,
    },
}

/// Take-over of all runs of a node up to one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Takeover {
    /// Node.
    pub node: NodeId,
    /// Last run that is taken over.
    pub incarnation: Incarnation,
    /// Step.
    pub stage: Stage,
}

impl Takeover {
    /// Claim that nobody has agreed to.
    pub fn new(node: NodeId, incarnation: Incarnation) -> Self {
        Self { node, incarnation, stage: Stage::Collecting { agreed: Vec::new() } }
    }

    /// Notes that `member` agreed; with `majority` agreements the wait until `until` begins.
    pub fn agree(&mut self, member: &NodeId, majority: usize, until: Instant) {
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

    /// True once the take-over may be written.
    pub fn is_due(&self, now: Instant) -> bool {
        matches!(self.stage, Stage::Waiting { until } if now >= until)
    }
}
