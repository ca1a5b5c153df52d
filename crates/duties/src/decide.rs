//! Which node should hold a duty, and what a node does about it.

use model::NodeId;

use crate::DutyRow;
use crate::Holder;

/// What a node does about a duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Writes itself as the holder.
    Take {
        /// Epoch of the new holder.
        epoch: u64,
    },
    /// Gives the duty up to the preferred node.
    GiveUp {
        /// Epoch in which it was held.
        epoch: u64,
    },
    /// Nothing.
    Leave,
}

/// Decides what `me` does about a duty whose row is `row`.
///
/// `live` are the nodes that take new work; `is_gone` is true only if the holder can no longer act.
pub fn decide(
    name: &str,
    row: Option<&DutyRow>,
    me: &Holder,
    live: &[NodeId],
    is_gone: impl Fn(&Holder) -> bool,
) -> Step {
    let wanted = preferred_holder(name, live) == Some(&me.node);
    let Some(row) = row else {
        return if wanted { Step::Take { epoch: 1 } } else { Step::Leave };
    };
    let free = match &row.holder {
        None => true,
        Some(holder) if holder == me => {
            let heir = !wanted && !live.is_empty();
            return if heir { Step::GiveUp { epoch: row.epoch } } else { Step::Leave };
        }
        // An earlier run of this node's own process has ended.
        Some(holder) if holder.node == me.node => holder.incarnation < me.incarnation,
        Some(holder) => is_gone(holder),
    };
    if wanted && free { Step::Take { epoch: row.epoch + 1 } } else { Step::Leave }
}

/// Node that should hold a duty: the one with the highest hash of both names.
pub fn preferred_holder<'a>(name: &str, live: &'a [NodeId]) -> Option<&'a NodeId> {
    live.iter().max_by_key(|node| score(name, node))
}

fn score(name: &str, node: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(name.as_bytes());
    hasher.update(&[0]);
    hasher.update(node.as_bytes());
    *hasher.finalize().as_bytes()
}
