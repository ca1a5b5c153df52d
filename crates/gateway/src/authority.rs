//! What the gateway needs to know of the rest of the node.

use std::sync::Arc;
use std::time::Instant;

use model::Config;

/// Window on the configuration and on the node's right to act.
pub trait Authority: Send + Sync {
    /// Configuration in force at this node.
    fn config(&self) -> Arc<Config>;

    /// True while the node may take new work.
    fn may_admit(&self, now: Instant) -> bool;
}
