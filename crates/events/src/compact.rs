//! Which batches to join and which to remove, so that their number stays bounded.

use std::time::Duration;

use model::NodeId;

use crate::batch::BatchName;
use crate::event::Event;

/// Node name of a joined batch.
const JOINED_NODE: &str = "joined";
/// Batches of one hour are joined, in milliseconds.
const JOIN_SPAN_MS: u64 = 3_600_000;
/// Time after the end of an hour in which late batches may come, in milliseconds.
const LATE_MAX_MS: u64 = 600_000;
/// Batches joined at once at most.
const PARTS_MAX: usize = 256;

/// What to do about the batches in the object store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Compaction {
    /// Batches to join into one; empty if there is nothing to join.
    pub join: Vec<BatchName>,
    /// Batches to remove, because they are older than the retention.
    pub remove: Vec<BatchName>,
}

impl BatchName {
    /// Name of a batch that joins others and starts with `first`.
    pub fn joined(first: &Event) -> Self {
        Self { node: NodeId::from(JOINED_NODE), ..Self::of(first) }
    }

    /// True if the batch joins others.
    pub fn is_joined(&self) -> bool {
        &*self.node == JOINED_NODE
    }

    /// Longest time that the batch covers, in milliseconds.
    pub fn span_max_ms(&self) -> u64 {
        if self.is_joined() { JOIN_SPAN_MS + LATE_MAX_MS } else { LATE_MAX_MS }
    }
}

/// Decides what to do about `names`, which are in order, at the wall time `now_ms`.
pub fn plan_compaction(names: &[BatchName], now_ms: u64, retention: Duration) -> Compaction {
    let retention_ms = retention.as_millis() as u64;
    let is_old = |name: &BatchName| name.first_ms + name.span_max_ms() + retention_ms < now_ms;
    let remove: Vec<BatchName> = names.iter().filter(|name| is_old(name)).cloned().collect();
    let settled = |name: &&BatchName| {
        let hour_end_ms = (name.first_ms / JOIN_SPAN_MS + 1) * JOIN_SPAN_MS;
        !name.is_joined() && !is_old(name) && hour_end_ms + LATE_MAX_MS < now_ms
    };
    let parts: Vec<BatchName> = names.iter().filter(settled).cloned().collect();
    let join = parts
        .chunk_by(|a, b| a.first_ms / JOIN_SPAN_MS == b.first_ms / JOIN_SPAN_MS)
        .find(|hour| hour.len() > 1)
        .map(|hour| hour[..hour.len().min(PARTS_MAX)].to_vec());
    Compaction { join: join.unwrap_or_default(), remove }
}
