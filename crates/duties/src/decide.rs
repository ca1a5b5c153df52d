//! Decides which node should hold a duty, and whether a node acquires, releases or keeps it.

use model::NodeId;

use crate::DutyRow;
use crate::Holder;

/// What a node does with the row of a duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyAction {
    /// Writes itself as the holder.
    Acquire {
        /// Epoch of the new holder.
        epoch: u64,
    },
    /// Removes itself as the holder, so that the preferred node can acquire the duty.
    Release {
        /// Epoch in which this node held the duty.
        epoch: u64,
    },
    /// Leaves the row as it is.
    Keep,
}

/// Decides what `me` does with the duty `name`, whose row is `row`.
///
/// `live` holds the nodes that accept new work. `is_gone` must return true only for a holder that
/// can no longer act.
pub fn decide(
    name: &str,
    row: Option<&DutyRow>,
    me: &Holder,
    live: &[NodeId],
    is_gone: impl Fn(&Holder) -> bool,
) -> DutyAction {
    let is_preferred = preferred_holder(name, live) == Some(&me.node);
    let Some(row) = row else {
        return if is_preferred { DutyAction::Acquire { epoch: 1 } } else { DutyAction::Keep };
    };
    let is_free = match &row.holder {
        None => true,
        Some(holder) if holder == me => {
            let has_successor = !is_preferred && !live.is_empty();
            return if has_successor {
                DutyAction::Release { epoch: row.epoch }
            } else {
                DutyAction::Keep
            };
        }
        // An earlier incarnation of this node has ended.
        Some(holder) if holder.node == me.node => holder.incarnation < me.incarnation,
        Some(holder) => is_gone(holder),
    };
    if is_preferred && is_free {
        DutyAction::Acquire { epoch: row.epoch + 1 }
    } else {
        DutyAction::Keep
    }
}

/// Returns the node that should hold a duty: the one for which the hash of the duty's name and its
/// own name is highest.
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
