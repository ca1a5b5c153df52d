//! Decides which batches to join and which to remove, so that their number stays bounded.

use std::time::Duration;

use model::NodeId;

use crate::batch::BatchName;
use crate::event::Event;

/// Takes the place of the node in the name of a joined batch.
const JOINED_NODE: &str = "joined";
/// Batches whose first events are within the same interval of this length are joined, in
/// milliseconds.
const JOIN_SPAN_MS: u64 = 3_600_000;
/// Time after the end of an hour during which batches of that hour may still arrive, in
/// milliseconds.
const LATENESS_MAX_MS: u64 = 600_000;
/// Maximum number of batches that are joined at once.
const JOINED_BATCHES_MAX: usize = 256;

/// Batches to join and to remove.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Compaction {
    /// Batches to join into one batch; empty if there are none.
    pub join: Vec<BatchName>,
    /// Batches to delete because they are older than the retention.
    pub remove: Vec<BatchName>,
}

impl BatchName {
    /// Returns the name of a joined batch whose first event is `first`.
    pub fn joined(first: &Event) -> Self {
        Self { node: NodeId::from(JOINED_NODE), ..Self::of(first) }
    }

    /// Returns true if the batch was joined from others.
    pub fn is_joined(&self) -> bool {
        &*self.node == JOINED_NODE
    }

    /// Returns the maximum time between the first and the last event of the batch, in milliseconds.
    pub fn span_max_ms(&self) -> u64 {
        if self.is_joined() { JOIN_SPAN_MS + LATENESS_MAX_MS } else { LATENESS_MAX_MS }
    }
}

/// Decides which of the batches `names` to join and to remove at the wall time `now_ms`. `names`
/// must be sorted.
pub fn plan_compaction(names: &[BatchName], now_ms: u64, retention: Duration) -> Compaction {
    let retention_ms = retention.as_millis() as u64;
    let is_expired = |name: &BatchName| name.first_ms + name.span_max_ms() + retention_ms < now_ms;
    let remove: Vec<BatchName> = names.iter().filter(|name| is_expired(name)).cloned().collect();
    let is_joinable = |name: &&BatchName| {
        let hour_end_ms = (name.first_ms / JOIN_SPAN_MS + 1) * JOIN_SPAN_MS;
        !name.is_joined() && !is_expired(name) && hour_end_ms + LATENESS_MAX_MS < now_ms
    };
    let parts: Vec<BatchName> = names.iter().filter(is_joinable).cloned().collect();
    let join = parts
        .chunk_by(|a, b| a.first_ms / JOIN_SPAN_MS == b.first_ms / JOIN_SPAN_MS)
        .find(|hour| hour.len() > 1)
        .map(|hour| hour[..hour.len().min(JOINED_BATCHES_MAX)].to_vec());
    Compaction { join: join.unwrap_or_default(), remove }
}
