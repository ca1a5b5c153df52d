//! What teams use in a shard, as its owner publishes it to the owners of the other shards.
//!
//! Each owner writes one row for its shard, so that the number of writes does not depend on the
//! number of jobs. The readers judge a row by its age, so the time in it has to agree among nodes
//! to within a second, as the times of acceptance of jobs do.

use std::time::Duration;

use scheduler::Moment;
use scheduler::PoolUses;
use serde::Deserialize;
use serde::Serialize;

/// Shortest time between two rows of a shard.
const PERIOD: Duration = Duration::from_secs(1);
/// Age at which an unchanged row is written again while anything is in use; readers halve a row
/// that is older than 5 s.
const RENEWAL_AGE: Duration = Duration::from_secs(4);

/// What teams use in a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TeamUsesRow {
    /// When the row was written, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What each team holds and has lately used in each pool.
    pub pools: PoolUses,
}

/// What the owner of a shard has published last.
#[derive(Clone, Debug, Default)]
pub struct TeamUsesPublisher {
    last: Option<Publication>,
}

#[derive(Clone, Debug)]
struct Publication {
    pools: PoolUses,
    at: Moment,
}

impl TeamUsesPublisher {
    /// Returns whether a row may be due at all.
    pub fn is_period_over(&self, now: Moment) -> bool {
        self.last.as_ref().is_none_or(|last| now.saturating_sub(last.at) >= PERIOD)
    }

    /// Returns whether a row with these uses is due.
    pub fn is_due(&self, pools: &PoolUses, now: Moment) -> bool {
        let Some(last) = &self.last else {
            return !pools.is_empty();
        };
        let age = now.saturating_sub(last.at);
        let is_renewed = age >= RENEWAL_AGE && !pools.is_empty();
        age >= PERIOD && (*pools != last.pools || is_renewed)
    }

    /// Records that a row with these uses is being written.
    pub fn record(&mut self, pools: PoolUses, now: Moment) {
        self.last = Some(Publication { pools, at: now });
    }
}
