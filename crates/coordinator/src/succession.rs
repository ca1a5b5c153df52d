//! Which node should own the scheduling after this one.
//!
//! The pattern that this answers: hosts of very unequal size. The work of an owner grows with the
//! number of workers, so that a node with little processor time falls behind, loses its leases and is
//! replaced by the next one. Of the nodes that reach the store, the one with the most processor time
//! goes first; among equals the one that has started last, since the others of a rolling restart are
//! stopped before it.

use std::net::SocketAddr;
use std::time::Duration;

use scheduler::Moment;

/// Age of a follower's last question up to which it may become the owner; above two looks.
const FOLLOWER_AGE_MAX: Duration = Duration::from_millis(900);
/// Time for which a stronger node must have followed before it is given the ownership.
const STEADY_MIN: Duration = Duration::from_millis(1_500);
/// Processor time of another node from which on it is stronger, in percent of this one's.
const STRONGER_PERCENT: u64 = 150;

/// A node that follows the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Follower {
    /// Its address for other nodes.
    pub address: SocketAddr,
    /// When it has started.
    pub started_at: Moment,
    /// When it has asked last.
    pub seen_at: Moment,
    /// Processor time that it may use, in thousandths of a core.
    pub cpu_millis: u64,
    /// The store answers it.
    pub is_store_up: bool,
}

/// Nodes that follow the owner, with the time since when each has done so without a break.
#[derive(Clone, Debug, Default)]
pub struct Followers {
    entries: Vec<(Follower, Moment)>,
}

impl Followers {
    /// Notes that a node has asked whether the owner works.
    pub fn record(&mut self, follower: Follower) {
        let now = follower.seen_at;
        self.entries.retain(|(other, _)| is_recent(other, now));
        let known = self.entries.iter_mut().find(|(other, _)| other.address == follower.address);
        match known {
            Some((previous, since)) => {
                // A process that was started again begins anew.
                let is_same = previous.started_at + FOLLOWER_AGE_MAX >= follower.started_at;
                if !is_same || (follower.is_store_up && !previous.is_store_up) {
                    *since = now;
                }
                *previous = follower;
            }
            None => self.entries.push((follower, now)),
        }
    }

    /// The node that should own the scheduling if this one cannot.
    pub fn successor(&self, now: Moment) -> Option<SocketAddr> {
        let recent =
            self.entries.iter().map(|(follower, _)| follower).filter(|f| is_recent(f, now));
        let best = recent.max_by_key(|f| (f.is_store_up, f.cpu_millis, f.started_at));
        best.map(|follower| follower.address)
    }

    /// True if a node has followed for a while that is stronger than one with `cpu_millis`.
    pub fn has_stronger(&self, cpu_millis: u64, now: Moment) -> bool {
        self.entries.iter().any(|(follower, since)| {
            is_recent(follower, now)
                && follower.is_store_up
                && now.saturating_sub(*since) >= STEADY_MIN
                && is_stronger(follower.cpu_millis, cpu_millis)
        })
    }

    /// Most processor time of a follower that the store answers, in thousandths of a core.
    pub fn strongest_cpu_millis(&self, now: Moment) -> u64 {
        let recent = self.entries.iter().map(|(follower, _)| follower);
        let able = recent.filter(|follower| is_recent(follower, now) && follower.is_store_up);
        able.map(|follower| follower.cpu_millis).max().unwrap_or(0)
    }
}

/// True if a node with `other_millis` of processor time should own the scheduling rather than one with
/// `own_millis`.
pub fn is_stronger(other_millis: u64, own_millis: u64) -> bool {
    other_millis * 100 >= own_millis * STRONGER_PERCENT && other_millis > own_millis
}

fn is_recent(follower: &Follower, now: Moment) -> bool {
    now.saturating_sub(follower.seen_at) <= FOLLOWER_AGE_MAX
}
