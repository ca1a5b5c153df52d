//! Which pool has its peak next.
//!
//! The pattern that this answers: the queues of the pools peak one after another, in an order and at
//! intervals that stay the same for a while. Both are learnt from when the peaks began. A pool is
//! expected next if its last peak is the longest ago; the time is that of the last begin plus the usual
//! interval between two. Expectations are used while they came true at least as often as not.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::PoolName;
use crate::sorted::SortedMap;

/// Begins of peaks that are remembered.
const BEGINS_MAX: usize = 12;
/// Begins from which on the next one is expected.
const BEGINS_MIN: usize = 3;
/// Part of a pool's own hosts that its work must fill for a peak to begin, in percent.
const BEGIN_PERCENT: u64 = 30;
/// Part of a pool's own hosts below which its work must fall for a peak to end, in percent.
const END_PERCENT: u64 = 15;
/// How much earlier or later than expected a peak may begin.
const TOLERANCE: Duration = Duration::from_millis(1_500);

/// What is known of a pool's peaks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct PoolTurns {
    /// Hosts that it had at first.
    own_hosts: usize,
    /// Hosts that its last peak needed.
    peak_hosts: usize,
    /// When its last peak began, in milliseconds since the Unix epoch; none if it had none.
    began_ms: Option<u64>,
    /// It has its peak.
    is_peaking: bool,
}

/// What is known of the peaks of all pools.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turns {
    pools: SortedMap<PoolName, PoolTurns>,
    /// When peaks began, in milliseconds since the Unix epoch; the last one last.
    begins_ms: Vec<u64>,
    /// Expectations that came true.
    hits: u32,
    /// Expectations that did not.
    misses: u32,
}

/// A peak that is expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expected {
    /// Pool.
    pub pool: PoolName,
    /// When it begins, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Hosts that the last peak needed.
    pub hosts: usize,
}

impl Turns {
    /// Notes how many hosts a pool has; before the first peak of any pool these are its own.
    pub fn note_pool(&mut self, pool: &PoolName, hosts: usize) {
        let turns = self.pools.entry_or(pool.clone(), PoolTurns::default);
        if self.begins_ms.is_empty() {
            turns.own_hosts = turns.own_hosts.max(hosts);
        }
    }

    /// Takes in how many hosts a pool's work fills; true if a peak has begun or ended.
    pub fn note_work(&mut self, pool: &PoolName, hosts: usize, now_ms: u64) -> bool {
        let Some(turns) = self.pools.get_mut(pool) else {
            return false;
        };
        let percent = (hosts * 100 / turns.own_hosts.max(1)) as u64;
        if turns.is_peaking {
            turns.peak_hosts = turns.peak_hosts.max(hosts);
            turns.is_peaking = percent > END_PERCENT;
            return !turns.is_peaking;
        }
        if percent < BEGIN_PERCENT {
            return false;
        }
        self.begin(pool, hosts, now_ms);
        true
    }

    /// Hosts that a pool had at first.
    pub fn own_hosts(&self, pool: &PoolName) -> usize {
        self.pools.get(pool).map_or(0, |turns| turns.own_hosts)
    }

    /// The peak that is expected next.
    pub fn expected(&self) -> Option<Expected> {
        if self.begins_ms.len() < BEGINS_MIN || self.misses > self.hits + 1 {
            return None;
        }
        let last_ms = *self.begins_ms.last()?;
        let had =
            self.pools.iter().filter_map(|(name, turns)| Some((turns.began_ms?, name, turns)));
        let (_, pool, turns) = had.min_by_key(|(began_ms, _, _)| *began_ms)?;
        let at_ms = last_ms + self.interval_ms()?;
        Some(Expected { pool: pool.clone(), at_ms, hosts: turns.peak_hosts })
    }

    fn begin(&mut self, pool: &PoolName, hosts: usize, now_ms: u64) {
        if let Some(expected) = self.expected() {
            let is_hit = expected.pool == *pool
                && expected.at_ms.abs_diff(now_ms) <= TOLERANCE.as_millis() as u64;
            match is_hit {
                true => self.hits += 1,
                false => self.misses += 1,
            }
        }
        if let Some(turns) = self.pools.get_mut(pool) {
            turns.is_peaking = true;
            turns.peak_hosts = hosts;
            turns.began_ms = Some(now_ms);
        }
        self.begins_ms.push(now_ms);
        if self.begins_ms.len() > BEGINS_MAX {
            self.begins_ms.remove(0);
        }
    }

    /// Usual time between the begins of two peaks: the median.
    fn interval_ms(&self) -> Option<u64> {
        let pairs = self.begins_ms.windows(2);
        let mut intervals: Vec<u64> = pairs.map(|pair| pair[1].saturating_sub(pair[0])).collect();
        intervals.sort_unstable();
        intervals.get(intervals.len() / 2).copied()
    }
}

impl PartialEq for SortedMap<PoolName, PoolTurns> {
    fn eq(&self, other: &Self) -> bool {
        self.iter().eq(other.iter())
    }
}

impl Eq for SortedMap<PoolName, PoolTurns> {}
