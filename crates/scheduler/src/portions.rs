//! Portions of a team's quota.
//!
//! A quota holds for the whole fleet, while each shard decides alone which units it starts. The
//! quota is therefore divided: a shard starts units only within its portion, and one row per team
//! holds the portions of all shards. A transfer changes two portions in one write of that row, so
//! that the portions never add up to more than the quota.
//!
//! A portion is a fraction of the quota rather than an amount. When operators change a quota, all
//! portions change with it, and their sum stays within it.
//!
//! What no shard holds is free, and a shard that needs more takes it with one write. It takes a
//! little more than it needs, so that not every job costs a write. If too little is free, the shard
//! requests the rest, and the shards that hold more than they use give all of that: to the requests
//! in the order in which they were made, and what is left becomes free. The oldest request thus
//! collects all that is unused, so that a unit that is larger than a usual portion starts too.

use serde::Deserialize;
use serde::Serialize;

use crate::job::Resources;

/// Number of a shard, counted from 0.
pub type ShardIndex = u16;
/// Fraction of a quota, in millionths.
pub type Portion = u32;

/// The whole quota.
pub const WHOLE: Portion = 1_000_000;

/// Portions of a team's quota, as they are stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PortionRow {
    /// Shards that have held or requested a portion, sorted.
    pub shards: Vec<ShardPortion>,
}

/// Portion of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardPortion {
    /// Number of the shard.
    pub shard: ShardIndex,
    /// Portion that the shard may use.
    pub held: Portion,
    /// Request for a larger portion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<PortionRequest>,
}

/// Request of a shard for a larger portion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PortionRequest {
    /// Portion that the shard needs in total.
    pub needed: Portion,
    /// When it was requested, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

/// Returns the portion that a shard holds before it has taken any: a single shard has the whole
/// quota.
pub fn initial_portion(shard_count: usize) -> Portion {
    if shard_count <= 1 { WHOLE } else { 0 }
}

/// Returns the smallest portion of `quota` that covers `amount`; an amount of 0 in `quota` is no
/// limit. The result exceeds [`WHOLE`] if the amount exceeds the quota.
pub fn portion_of(amount: &Resources, quota: &Resources) -> Portion {
    let portion = |amount: u64, limit: u64| match limit {
        0 => 0,
        limit => amount.saturating_mul(u64::from(WHOLE)).div_ceil(limit),
    };
    let largest = portion(amount.cpu_millis, quota.cpu_millis)
        .max(portion(amount.memory_mb, quota.memory_mb))
        .max(portion(amount.gpus, quota.gpus));
    Portion::try_from(largest).unwrap_or(Portion::MAX)
}

impl PortionRow {
    /// Returns the portion that a shard may use.
    pub fn held(&self, shard: ShardIndex, shard_count: usize) -> Portion {
        self.entry(shard).map_or(initial_portion(shard_count), |entry| entry.held)
    }

    /// Returns the unserved request of a shard.
    pub fn request(&self, shard: ShardIndex) -> Option<PortionRequest> {
        self.entry(shard)?.request
    }

    /// Returns whether any shard other than `shard` has an unserved request.
    pub fn has_request_of_other(&self, shard: ShardIndex) -> bool {
        self.shards.iter().any(|entry| entry.shard != shard && entry.request.is_some())
    }

    /// Returns the shards that hold a portion, sorted.
    pub fn holders(&self) -> impl Iterator<Item = ShardIndex> {
        self.shards.iter().filter(|entry| entry.held > 0).map(|entry| entry.shard)
    }

    /// Returns the shard whose request is the oldest, without regard to `shard`.
    pub fn oldest_request_of_other(&self, shard: ShardIndex) -> Option<ShardIndex> {
        let others = self.shards.iter().filter(|entry| entry.shard != shard);
        let oldest = others.filter_map(|entry| Some((entry.request?.since_ms, entry.shard))).min();
        oldest.map(|(_, shard)| shard)
    }

    /// Returns the portion that a shard may use of what it holds. While an older request of another
    /// shard is unserved, that is at most an equal part for each shard that holds or requests some:
    /// a shard whose units keep waiting would otherwise never have a spare portion to give.
    pub fn usable(&self, shard: ShardIndex, shard_count: usize) -> Portion {
        let held = self.held(shard, shard_count);
        let order = |entry: &ShardPortion| Some((entry.request?.since_ms, entry.shard));
        let own_order = self.entry(shard).and_then(order);
        let others = self.shards.iter().filter(|entry| entry.shard != shard).filter_map(order);
        if !others.into_iter().any(|other| own_order.is_none_or(|own| other < own)) {
            return held;
        }
        let is_claimant = |entry: &&ShardPortion| entry.held > 0 || entry.request.is_some();
        let claimants = self.shards.iter().filter(is_claimant).count() as Portion;
        held.min(WHOLE / claimants.max(1))
    }

    /// Returns the sum of all portions.
    pub fn total(&self) -> Portion {
        self.shards.iter().map(|entry| entry.held).sum()
    }

    /// Returns the row after a shard has stated that it needs a portion of `needed` in total. It
    /// takes what is free of that, with a part of the rest, and requests what is missing. A request
    /// that the portion covers is withdrawn.
    pub fn with_need(
        &self,
        shard: ShardIndex,
        needed: Portion,
        now_ms: u64,
        shard_count: usize,
    ) -> PortionRow {
        let free = WHOLE.saturating_sub(self.total());
        let mut row = self.clone();
        let entry = row.entry_mut(shard);
        let missing = needed.saturating_sub(entry.held);
        if missing > 0 {
            let reserve = free.saturating_sub(missing) / shard_count.max(1) as Portion;
            entry.held += free.min(missing) + reserve;
        }
        let since_ms = entry.request.map_or(now_ms, |request| request.since_ms);
        entry.request = (entry.held < needed).then_some(PortionRequest { needed, since_ms });
        row
    }

    /// Returns the row after a shard that uses `in_use` of the quota has given up the rest of its
    /// portion, first to the shards that request it; none if it gives nothing, since it uses all or
    /// its own request is older.
    pub fn with_gifts(&self, giver: ShardIndex, in_use: Portion) -> Option<PortionRow> {
        let order = |entry: &ShardPortion| Some((entry.request?.since_ms, entry.shard));
        let own_order = self.entry(giver).and_then(order);
        let mut requesters: Vec<(u64, ShardIndex)> = self
            .shards
            .iter()
            .filter(|entry| entry.shard != giver)
            .filter_map(order)
            .filter(|order| own_order.is_none_or(|own| *order < own))
            .collect();
        requesters.sort_unstable();
        let mut spare = self.entry(giver)?.held.saturating_sub(in_use);
        if requesters.is_empty() || spare == 0 {
            return None;
        }
        let mut row = self.clone();
        row.entry_mut(giver).held -= spare;
        for (_, shard) in requesters {
            let entry = row.entry_mut(shard);
            let Some(request) = entry.request else {
                continue;
            };
            let gift = request.needed.saturating_sub(entry.held).min(spare);
            entry.held += gift;
            spare -= gift;
            if entry.held >= request.needed {
                entry.request = None;
            }
        }
        Some(row)
    }

    fn entry(&self, shard: ShardIndex) -> Option<&ShardPortion> {
        let index = self.shards.binary_search_by_key(&shard, |entry| entry.shard).ok()?;
        self.shards.get(index)
    }

    fn entry_mut(&mut self, shard: ShardIndex) -> &mut ShardPortion {
        let found = self.shards.binary_search_by_key(&shard, |entry| entry.shard);
        let index = found.unwrap_or_else(|index| {
            self.shards.insert(index, ShardPortion { shard, held: 0, request: None });
            index
        });
        &mut self.shards[index]
    }
}
