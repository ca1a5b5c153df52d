//! Peaks of pools, and which pool is expected to have the next one.
//!
//! Queues have their peaks by turns. The order is not known beforehand, but a pool that has just
//! had its peak is the last one to have it again. This needs no knowledge of how long a peak lasts.

use std::time::Duration;

use crate::Moment;
use crate::PoolName;
use crate::capacity::PoolLoads;
use crate::sorted_map::SortedMap;

/// Part of its baseline that a pool needs during a peak, in percent.
const PEAK_PERCENT: usize = 75;
/// Time after which a pool that needs less than that is no longer at its peak.
const PEAK_PAUSE_MAX: Duration = Duration::from_millis(1_000);

/// Last peak of each pool.
#[derive(Clone, Debug, Default)]
pub struct Peaks {
    /// When each pool was last at a peak; pools that have had none are missing.
    last_at: SortedMap<PoolName, Moment>,
}

impl Peaks {
    /// Records which pools are at a peak now.
    pub fn record(&mut self, loads: &PoolLoads, now: Moment) {
        for (name, load) in loads.iter() {
            let is_peak = load.hosts_needed() * 100 > load.baseline_hosts * PEAK_PERCENT;
            if is_peak && load.baseline_hosts > 0 {
                self.last_at.insert(name.clone(), now);
            }
        }
    }

    /// Returns the pools of which one is expected to have the next peak: those that have had none
    /// or, if all have, the one whose last peak is the longest ago. Pools that are at a peak are
    /// not among them.
    pub fn expected_pools(&self, loads: &PoolLoads, now: Moment) -> Vec<PoolName> {
        let names = || loads.iter().map(|(name, _)| name);
        let without_peak: Vec<PoolName> =
            names().filter(|name| !self.last_at.contains(*name)).cloned().collect();
        if !without_peak.is_empty() {
            return without_peak;
        }
        let last_at = |name: &PoolName| self.last_at.get(name).copied().unwrap_or_default();
        let calm = names().filter(|name| now.saturating_sub(last_at(name)) > PEAK_PAUSE_MAX);
        calm.min_by_key(|name| last_at(name)).cloned().into_iter().collect()
    }
}
