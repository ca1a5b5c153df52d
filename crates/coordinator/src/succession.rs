//! Chooses the node that should own the scheduling next.
//!
//! Nodes run on hosts of very unequal size, and the work of an owner grows with the number of
//! workers. An owner with little processor time falls behind, loses its leases and is replaced by
//! the next node. The successor is therefore the node with the most processor time among those that
//! reach the store. A node that owns shards already divides its time among them and one more. Among
//! equals, the successor is the one that started last, because a rolling restart stops the others
//! before it; among those that started in the same second, each shard prefers another one.

use std::net::SocketAddr;
use std::time::Duration;

use scheduler::Moment;
use scheduler::ShardIndex;

use crate::sharding::stable_hash;

/// Largest age of a follower's last poll at which it may still become the owner; above two poll
/// periods.
const FOLLOWER_AGE_MAX: Duration = Duration::from_millis(900);
/// Time for which a stronger node must have followed before it is given the ownership.
const STEADY_MIN: Duration = Duration::from_millis(1_500);
/// Processor time at or above which another node counts as stronger, in percent of this node's.
const STRONGER_PERCENT: u64 = 150;

/// A node that polls the owner and may succeed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Follower {
    /// Address of the node for other nodes.
    pub address: SocketAddr,
    /// When the node's process started, by the owner's clock.
    pub started_at: Moment,
    /// When the node last polled the owner, by the owner's clock.
    pub seen_at: Moment,
    /// Processor time that the node has for the shard, in thousandths of a core.
    pub cpu_millis: u64,
    /// Whether the node's last call to the store succeeded.
    pub is_store_up: bool,
}

/// Nodes that follow the owner, each with the time since when it has followed without a gap.
#[derive(Clone, Debug, Default)]
pub struct Followers {
    entries: Vec<(Follower, Moment)>,
}

impl Followers {
    /// Records a poll by a follower, and drops the followers whose last poll is too old.
    pub fn record(&mut self, follower: Follower) {
        let now = follower.seen_at;
        self.entries.retain(|(other, _)| is_recent(other, now));
        let known = self.entries.iter_mut().find(|(other, _)| other.address == follower.address);
        match known {
            Some((previous, since)) => {
                // A restarted process has to follow for the full time again. The slack covers the
                // delays of polls, since `started_at` is the time of a poll less the uptime.
                let is_same = previous.started_at + FOLLOWER_AGE_MAX >= follower.started_at;
                if !is_same || (follower.is_store_up && !previous.is_store_up) {
                    *since = now;
                }
                *previous = follower;
            }
            None => self.entries.push((follower, now)),
        }
    }

    /// Returns the address of the node that should own the shard if this one can't.
    pub fn successor(&self, shard: ShardIndex, now: Moment) -> Option<SocketAddr> {
        let recent =
            self.entries.iter().map(|(follower, _)| follower).filter(|f| is_recent(f, now));
        let preference = |f: &Follower| stable_hash(format!("{shard} {}", f.address).as_bytes());
        let best = recent
            .max_by_key(|f| (f.is_store_up, f.cpu_millis, f.started_at.as_secs(), preference(f)));
        best.map(|follower| follower.address)
    }

    /// Returns whether a node that is stronger than one with `cpu_millis` has followed for
    /// `STEADY_MIN`.
    pub fn has_stronger(&self, cpu_millis: u64, now: Moment) -> bool {
        self.entries.iter().any(|(follower, since)| {
            is_recent(follower, now)
                && follower.is_store_up
                && now.saturating_sub(*since) >= STEADY_MIN
                && is_stronger(follower.cpu_millis, cpu_millis)
        })
    }

    /// Returns the most processor time of a follower that reaches the store, in thousandths of a
    /// core; 0 if there is none.
    pub fn strongest_cpu_millis(&self, now: Moment) -> u64 {
        let all = self.entries.iter().map(|(follower, _)| follower);
        let able = all.filter(|follower| is_recent(follower, now) && follower.is_store_up);
        able.map(|follower| follower.cpu_millis).max().unwrap_or(0)
    }
}

/// Returns whether a node with `other_millis` of processor time should own the scheduling instead
/// of one with `own_millis`.
pub fn is_stronger(other_millis: u64, own_millis: u64) -> bool {
    other_millis * 100 >= own_millis * STRONGER_PERCENT && other_millis > own_millis
}

fn is_recent(follower: &Follower, now: Moment) -> bool {
    now.saturating_sub(follower.seen_at) <= FOLLOWER_AGE_MAX
}
