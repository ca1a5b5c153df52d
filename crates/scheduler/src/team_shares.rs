//! Fair shares of teams in a pool that has too little capacity for all that wait.
//!
//! The load: one team sends nine times what it usually does, or all queues have their peak at once.
//! By deadlines alone all jobs become late together. While a pool has less free capacity than is
//! waiting for it, teams therefore get capacity by weight: weighted max-min fairness over the
//! dominant resource ([`crate::share_level`]), of what they hold and have lately used
//! ([`crate::team_use`]). It only orders what waits: whatever a team leaves goes to the others at
//! once. Teams at or below their share keep the order by deadline among themselves; the others come
//! after them.
//!
//! A team without a weight, and all jobs without a team together, count with the smallest weight
//! that is set.

use crate::Moment;
use crate::PoolName;
use crate::amounts::Amounts;
use crate::candidates::Candidates;
use crate::config::Config;
use crate::job::Resources;
use crate::job::UnitKey;
use crate::placement_order::OrderedStep;
use crate::placement_order::PlacementOrder;
use crate::placement_order::TeamInRound;
use crate::plan::WaitingStep;
use crate::policies::Policy;
use crate::portions::ShardIndex;
use crate::portions::WHOLE;
use crate::priority::Urgency;
use crate::settings::Settings;
use crate::share_level::Claim;
use crate::share_level::fair_level;
use crate::sorted_map::SortedMap;
use crate::state::Scheduler;
use crate::team_use::Claimant;
use crate::team_use::PoolUses;
use crate::team_use::TeamUses;

/// Thousandths in a whole.
pub(crate) const PER_MILLE: f64 = 1_000.0;

/// Share and use of a team in a pool, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamShare {
    /// The team; none for jobs of queues that are open to all.
    pub team: Claimant,
    /// Share in thousandths of the pool's capacity, counted like the use.
    pub share_permille: u64,
    /// What the team holds and has lately used, in thousandths of the pool's capacity.
    pub use_permille: u64,
}

/// What the units of a team wait for in a pool.
#[derive(Clone, Debug)]
struct TeamDemand {
    team: Claimant,
    waiting: Resources,
}

/// What teams use of each pool, and their shares.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamShares {
    uses: TeamUses,
    /// The policy is enabled, so that uses are recorded.
    is_enabled: bool,
    /// A team has a weight, so that shares have an effect.
    has_weights: bool,
    /// Runs have to be counted anew, since queues may have other pools.
    needs_recount: bool,
    /// Shares and uses of the pools that were full at the last placement.
    full_pools: SortedMap<PoolName, Vec<TeamShare>>,
}

impl TeamShares {
    /// Applies a new configuration.
    pub fn handle_config(&mut self, settings: &Settings, config: &Config) {
        self.is_enabled = settings.policies.enables(Policy::FairShares);
        self.has_weights = self.is_enabled && smallest_weight(config).is_some();
        self.needs_recount = self.is_enabled;
    }
}

impl Scheduler {
    /// Returns the shares and uses of teams in the pools that were full at the last placement.
    pub fn team_shares(&self) -> impl Iterator<Item = (&PoolName, &[TeamShare])> {
        self.team_shares.full_pools.iter().map(|(pool, shares)| (pool, shares.as_slice()))
    }

    /// Returns what teams use in this shard, for the owners of the other shards; none if shares
    /// have no effect.
    pub fn team_uses(&self, now: Moment) -> Option<PoolUses> {
        self.team_shares.has_weights.then(|| self.team_shares.uses.published(now))
    }

    /// Sets what teams use in another shard, as its owner has published it at a Unix time.
    pub fn set_foreign_team_uses(&mut self, shard: ShardIndex, uses: PoolUses, written_ms: u64) {
        let written_at = self.moment_of(written_ms);
        self.team_shares.uses.set_foreign(shard, uses, written_at);
    }

    /// Records that a unit's team holds a reservation in the unit's pool.
    pub(crate) fn add_team_use(&mut self, key: &UnitKey, reservation: &Resources, now: Moment) {
        if self.team_shares.is_enabled
            && let Some(job) = self.jobs.get(&key.job)
        {
            let (pool, team) = (self.pool_of(job), job.record.team.clone());
            self.team_shares.uses.add(&pool, &team, reservation, now);
        }
    }

    /// Records that a unit's team has given up a reservation.
    pub(crate) fn remove_team_use(&mut self, key: &UnitKey, reservation: &Resources, now: Moment) {
        if self.team_shares.is_enabled
            && let Some(job) = self.jobs.get(&key.job)
        {
            let (pool, team) = (self.pool_of(job), job.record.team.clone());
            self.team_shares.uses.remove(&pool, &team, reservation, now);
        }
    }

    /// Returns the order in which the steps of a pool are placed in this round; `steps` are sorted
    /// by priority.
    pub(crate) fn placement_order(
        &mut self,
        pool: &PoolName,
        steps: &[WaitingStep],
        candidates: &Candidates,
        now: Moment,
    ) -> PlacementOrder {
        if std::mem::take(&mut self.team_shares.needs_recount) {
            self.recount_team_uses(now);
        }
        self.team_shares.full_pools.remove(pool);
        if !self.team_shares.has_weights {
            return PlacementOrder::by_priority(steps.len());
        }
        let free = candidates.free_capacity();
        if !self.is_contended(pool, steps, &free) {
            return PlacementOrder::by_priority(steps.len());
        }
        let (ordered, waiting) = self.ordered_steps(pool, steps);
        let uses = &self.team_shares.uses;
        let held = waiting.iter().map(|waiting| uses.held(pool, &waiting.team));
        let capacity = held.fold(free, |sum, held| sum.plus(&held));
        let teams = self.teams_in_round(pool, &waiting, &capacity, now);
        let shares = waiting.iter().zip(&teams).map(|(waiting, in_round)| TeamShare {
            team: waiting.team.clone(),
            share_permille: (in_round.share * PER_MILLE) as u64,
            use_permille: (in_round.used() * PER_MILLE) as u64,
        });
        let shares: Vec<TeamShare> = shares.collect();
        self.team_shares.full_pools.insert(pool.clone(), shares);
        PlacementOrder::by_shares(ordered, teams, capacity)
    }

    /// Returns the steps as the order sees them, and what the units of each team wait for.
    fn ordered_steps(
        &self,
        pool: &PoolName,
        steps: &[WaitingStep],
    ) -> (Vec<OrderedStep>, Vec<TeamDemand>) {
        let mut demands: Vec<TeamDemand> = Vec::new();
        let mut indices: SortedMap<Claimant, usize> = SortedMap::default();
        let mut index_of = |team: &Claimant, demands: &mut Vec<TeamDemand>| {
            if let Some(index) = indices.get(team) {
                return *index;
            }
            indices.insert(team.clone(), demands.len());
            demands.push(TeamDemand { team: team.clone(), waiting: Resources::default() });
            demands.len() - 1
        };
        for team in self.team_shares.uses.teams(pool) {
            index_of(team, &mut demands);
        }
        let ordered = steps.iter().map(|step| {
            let team = index_of(&step.team, &mut demands);
            demands[team].waiting += step.demand();
            OrderedStep {
                has_strong_suspect: step.has_strong_suspect,
                queue_priority: step.priority.queue_priority,
                is_long_running: step.priority.urgency == Urgency::LongRunning,
                team,
                units: step.units.len(),
            }
        });
        (ordered.collect(), demands)
    }

    /// Forgets the pools in which nothing waits any more.
    pub(crate) fn retain_full_pools(&mut self, is_waiting: impl Fn(&PoolName) -> bool) {
        self.team_shares.full_pools.retain(|pool, _| is_waiting(pool));
    }

    /// Returns true if a pool has less free capacity than is waiting for it, or if a unit found no
    /// worker with enough of it at the last placement.
    fn is_contended(&self, pool: &PoolName, steps: &[WaitingStep], free: &Resources) -> bool {
        let mut waiting = Resources::default();
        let exceeds_free = |step: &WaitingStep| {
            waiting += step.demand();
            !waiting.fits_in(free)
        };
        self.starved_since.contains(pool) || steps.iter().any(exceeds_free)
    }

    /// Returns what each team uses of a pool and its share, in the order of `waiting`.
    fn teams_in_round(
        &mut self,
        pool: &PoolName,
        waiting: &[TeamDemand],
        capacity: &Resources,
        now: Moment,
    ) -> Vec<TeamInRound> {
        let weight_min = smallest_weight(&self.config).unwrap_or(1.0);
        let mut claims = Vec::with_capacity(waiting.len());
        let mut teams = Vec::with_capacity(waiting.len());
        for TeamDemand { team, waiting } in waiting {
            let name = team.as_ref();
            let configured = name.and_then(|name| self.config.teams.get(name));
            let weight = configured.map(|team| team.rate_share).filter(|weight| *weight > 0.0);
            let weight = weight.unwrap_or(weight_min);
            let usable = name.map_or(*waiting, |name| self.within_quota(name, waiting));
            let uses = &mut self.team_shares.uses;
            let past = uses.recent(pool, team, now) + uses.foreign(pool, team, now);
            let past = past.fractions_of(capacity).largest();
            let held = uses.held(pool, team);
            let demand = Amounts::from(&held.plus(&usable)).fractions_of(capacity);
            let held = Amounts::from(&held).fractions_of(capacity);
            claims.push(Claim { weight, demand, past });
            teams.push(TeamInRound { weight, held, past, share: 0.0 });
        }
        let level = fair_level(&claims);
        for team in &mut teams {
            team.share = team.weight * level;
        }
        teams
    }

    /// Returns the part of `waiting` that a team may start within its quota.
    fn within_quota(&self, team: &str, waiting: &Resources) -> Resources {
        let quota = self.config.teams.get(team).map(|team| team.quota).unwrap_or_default();
        let used = self.team_usage(team);
        let portion = self.quota_portion(team);
        let within = |waiting: u64, used: u64, quota: u64| match quota {
            0 => waiting,
            quota => {
                let usable = u128::from(quota) * u128::from(portion) / u128::from(WHOLE);
                waiting.min((usable as u64).saturating_sub(used))
            }
        };
        Resources {
            cpu_millis: within(waiting.cpu_millis, used.cpu_millis, quota.cpu_millis),
            memory_mb: within(waiting.memory_mb, used.memory_mb, quota.memory_mb),
            gpus: within(waiting.gpus, used.gpus, quota.gpus),
        }
    }

    /// Counts anew what teams hold in each pool.
    fn recount_team_uses(&mut self, now: Moment) {
        self.team_shares.uses.reset_held(now);
        let mut held = Vec::new();
        for worker in self.workers.values() {
            for key in &worker.runs {
                let run = self.run_on(key, &worker.registration.id);
                held.extend(run.map(|run| (key.clone(), run.reservation)));
            }
        }
        for (key, reservation) in held {
            self.add_team_use(&key, &reservation, now);
        }
    }
}

/// Returns the smallest weight that is set for a team; none if none is.
pub(crate) fn smallest_weight(config: &Config) -> Option<f64> {
    let weights = config.teams.values().map(|team| team.rate_share);
    weights.filter(|weight| *weight > 0.0).min_by(f64::total_cmp)
}
