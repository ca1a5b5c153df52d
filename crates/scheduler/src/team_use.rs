//! What teams hold and have lately used in each pool, in this shard and in others.
//!
//! What a team has used lately is the exponentially decaying average of what its runs held. It has
//! the unit of what they hold, so that both can be added: a team that has just had a burst counts
//! as holding more than it does, and the others get what it had too much. The average changes only
//! when a run is added or removed, or when it is read.

use std::time::Duration;

use crate::Moment;
use crate::PoolName;
use crate::TeamName;
use crate::amounts::Amounts;
use crate::job::Resources;
use crate::portions::ShardIndex;
use crate::sorted_map::SortedMap;

/// Time in which half of what a team has used lately is forgotten. A queue's peak lasts about as
/// long, so that most of it is paid back before the next one.
const RECENT_USE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Age from which the row of another shard counts by half. Rows are written at least every 4 s
/// while anything is in use.
const STALE_AGE: Duration = Duration::from_secs(5);
/// Age from which the row of another shard does not count.
const EXPIRED_AGE: Duration = Duration::from_secs(15);
/// Time for which the sum over the other shards is reused.
const SUM_PERIOD: Duration = Duration::from_millis(250);

/// Whose runs hold capacity: a team, or none for jobs of queues that are open to all.
pub type Claimant = Option<TeamName>;

/// What each team uses in each pool.
pub type PoolUses = SortedMap<PoolName, SortedMap<Claimant, Resources>>;

/// What a team holds and has lately used in a pool.
#[derive(Clone, Copy, Debug, Default)]
struct TeamUse {
    held: Resources,
    /// Decaying average of `held` up to `updated_at`.
    recent: Amounts,
    updated_at: Moment,
}

/// What teams use in other shards, as the owners of these have published it.
#[derive(Clone, Debug, Default)]
struct ForeignUses {
    by_shard: SortedMap<ShardIndex, ForeignUse>,
    sums: SortedMap<PoolName, SortedMap<Claimant, Amounts>>,
    summed_at: Moment,
}

/// What teams use in another shard.
#[derive(Clone, Debug)]
struct ForeignUse {
    pools: PoolUses,
    written_at: Moment,
}

/// What teams hold and have lately used in each pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamUses {
    pools: SortedMap<PoolName, SortedMap<Claimant, TeamUse>>,
    foreign: ForeignUses,
}

impl TeamUse {
    /// Returns the decaying average at a later time.
    fn recent_at(&self, now: Moment) -> Amounts {
        let elapsed = now.saturating_sub(self.updated_at);
        let kept = 0.5_f64.powf(elapsed.as_secs_f64() / RECENT_USE_HALF_LIFE.as_secs_f64());
        self.recent.scaled(kept) + Amounts::from(&self.held).scaled(1.0 - kept)
    }

    fn set_held(&mut self, held: Resources, now: Moment) {
        self.recent = self.recent_at(now);
        self.held = held;
        self.updated_at = now;
    }
}

impl TeamUses {
    /// Records that a run of a team has been added.
    pub fn add(&mut self, pool: &PoolName, team: &Claimant, reservation: &Resources, now: Moment) {
        let team_use = self.entry(pool, team);
        team_use.set_held(team_use.held.plus(reservation), now);
    }

    /// Records that a run of a team has been removed.
    pub fn remove(
        &mut self,
        pool: &PoolName,
        team: &Claimant,
        reservation: &Resources,
        now: Moment,
    ) {
        let team_use = self.entry(pool, team);
        team_use.set_held(team_use.held.minus(reservation), now);
    }

    /// Forgets what teams hold, before all runs are counted anew, and teams that use nothing.
    pub fn reset_held(&mut self, now: Moment) {
        self.pools.retain(|_, teams| {
            teams.retain(|_, team_use| {
                team_use.set_held(Resources::default(), now);
                team_use.recent.rounded() != Resources::default()
            });
            !teams.is_empty()
        });
    }

    /// Returns the teams that hold something or have lately used something in a pool.
    pub fn teams(&self, pool: &PoolName) -> impl Iterator<Item = &Claimant> {
        self.pools.get(pool).into_iter().flat_map(|teams| teams.iter().map(|(team, _)| team))
    }

    /// Returns what a team holds in a pool of this shard.
    pub fn held(&self, pool: &PoolName, team: &Claimant) -> Resources {
        self.get(pool, team).map(|team_use| team_use.held).unwrap_or_default()
    }

    /// Returns what a team has lately used in a pool of this shard.
    pub fn recent(&self, pool: &PoolName, team: &Claimant, now: Moment) -> Amounts {
        self.get(pool, team).map(|team_use| team_use.recent_at(now)).unwrap_or_default()
    }

    /// Returns what a team uses in a pool of all other shards, and has lately used there.
    pub fn foreign(&mut self, pool: &PoolName, team: &Claimant, now: Moment) -> Amounts {
        self.foreign.update_sums(now);
        let sum = self.foreign.sums.get(pool).and_then(|teams| teams.get(team));
        sum.copied().unwrap_or_default()
    }

    /// Sets what teams use in another shard, as its owner has published it.
    pub fn set_foreign(&mut self, shard: ShardIndex, pools: PoolUses, written_at: Moment) {
        self.foreign.by_shard.insert(shard, ForeignUse { pools, written_at });
        self.foreign.summed_at = Moment::ZERO;
    }

    /// Returns what each team holds and has lately used in this shard, for the other shards.
    pub fn published(&self, now: Moment) -> PoolUses {
        let used = |team_use: &TeamUse| {
            (Amounts::from(&team_use.held) + team_use.recent_at(now)).rounded()
        };
        let teams = |teams: &SortedMap<Claimant, TeamUse>| {
            let teams = teams.iter().map(|(team, team_use)| (team.clone(), used(team_use)));
            teams.filter(|(_, used)| *used != Resources::default()).collect()
        };
        let pools = self.pools.iter().map(|(pool, uses)| (pool.clone(), teams(uses)));
        pools.filter(|(_, teams): &(_, SortedMap<Claimant, Resources>)| !teams.is_empty()).collect()
    }

    fn entry(&mut self, pool: &PoolName, team: &Claimant) -> &mut TeamUse {
        let teams = self.pools.entry_or(pool.clone(), SortedMap::default);
        teams.entry_or(team.clone(), TeamUse::default)
    }

    fn get(&self, pool: &PoolName, team: &Claimant) -> Option<&TeamUse> {
        self.pools.get(pool)?.get(team)
    }
}

impl ForeignUses {
    /// Adds up the rows of the other shards by their age, unless this was done a moment ago.
    fn update_sums(&mut self, now: Moment) {
        let is_recent = now.saturating_sub(self.summed_at) < SUM_PERIOD;
        if self.by_shard.is_empty() || (is_recent && self.summed_at != Moment::ZERO) {
            return;
        }
        self.summed_at = now;
        self.sums = SortedMap::default();
        self.by_shard.retain(|_, row| now.saturating_sub(row.written_at) <= EXPIRED_AGE);
        for row in self.by_shard.values() {
            let is_stale = now.saturating_sub(row.written_at) > STALE_AGE;
            let factor = if is_stale { 0.5 } else { 1.0 };
            for (pool, teams) in row.pools.iter() {
                let sums = self.sums.entry_or(pool.clone(), SortedMap::default);
                for (team, used) in teams.iter() {
                    let sum = sums.entry_or(team.clone(), Amounts::default);
                    *sum = *sum + Amounts::from(used).scaled(factor);
                }
            }
        }
    }
}
