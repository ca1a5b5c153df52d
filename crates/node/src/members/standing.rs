//! Whether this node may act, and which runs of others no longer do.

use std::sync::RwLock;
use std::time::Instant;

use membership::IncarnationSet;
use model::Incarnation;

/// Until when a node may act.
enum Right {
    /// A node without peers has nobody to take from it.
    Always,
    /// Until its proofs lapse; `None` without any.
    Until(Option<Instant>),
}

/// Whether this node may act, and which runs of others no longer do.
pub struct Standing {
    right: RwLock<Right>,
    gone: RwLock<IncarnationSet>,
}

impl Standing {
    /// Standing of a node with or without peers.
    pub fn new(has_peers: bool) -> Self {
        let right = if has_peers { Right::Until(None) } else { Right::Always };
        Self { right: RwLock::new(right), gone: RwLock::default() }
    }

    /// True while this node may act.
    pub fn may_act(&self, now: Instant) -> bool {
        match *self.right.read().expect("no holder panics") {
            Right::Always => true,
            Right::Until(until) => until.is_some_and(|until| now < until),
        }
    }

    /// Lets this node act until `until`.
    pub fn set_until(&self, until: Option<Instant>) {
        *self.right.write().expect("no holder panics") = Right::Until(until);
    }

    /// Notes that what a run held may be taken.
    pub fn set_gone(&self, node: &str, incarnation: Incarnation) {
        self.gone.write().expect("no holder panics").insert_up_to(node, incarnation);
    }

    /// True if what a run held may be taken.
    pub fn is_gone(&self, node: &str, incarnation: Incarnation) -> bool {
        self.gone.read().expect("no holder panics").contains(node, incarnation)
    }
}
