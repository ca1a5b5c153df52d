//! Whether this node may act, and which incarnations of other nodes no longer may.

use std::sync::RwLock;
use std::time::Instant;

use membership::IncarnationSet;
use model::Incarnation;

/// How long a node may act.
enum Permission {
    /// Always: no other node can take over the resources of a node without peers.
    Always,
    /// Until its leases expire; `None` if it has no lease.
    Until(Option<Instant>),
}

/// Whether this node may act, and which incarnations of other nodes no longer may.
pub struct NodeStatus {
    permission: RwLock<Permission>,
    /// Incarnations whose resources may be taken over.
    gone: RwLock<IncarnationSet>,
}

impl NodeStatus {
    /// Returns the initial status: a node with peers may not act before it has a lease.
    pub fn new(has_peers: bool) -> Self {
        let permission = if has_peers { Permission::Until(None) } else { Permission::Always };
        Self { permission: RwLock::new(permission), gone: RwLock::default() }
    }

    /// Returns true if this node may act at `now`.
    pub fn may_act(&self, now: Instant) -> bool {
        match *self.permission.read().expect("lock is never poisoned") {
            Permission::Always => true,
            Permission::Until(until) => until.is_some_and(|until| now < until),
        }
    }

    /// Sets the time until which this node may act; `None` if it may not act.
    pub fn set_until(&self, until: Option<Instant>) {
        *self.permission.write().expect("lock is never poisoned") = Permission::Until(until);
    }

    /// Records that the resources of the incarnations of `node` up to this one may be taken over.
    pub fn set_gone(&self, node: &str, incarnation: Incarnation) {
        self.gone.write().expect("lock is never poisoned").insert_up_to(node, incarnation);
    }

    /// Returns true if the resources of the incarnation may be taken over.
    pub fn is_gone(&self, node: &str, incarnation: Incarnation) -> bool {
        self.gone.read().expect("lock is never poisoned").contains(node, incarnation)
    }
}
