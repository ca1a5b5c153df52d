//! Lends hosts between the pools of a customer according to their smoothed demand.
//!
//! A move takes minutes of a host's time and a burst lasts seconds, so demand is smoothed over a
//! much longer time than a burst. A pool borrows a host when its smoothed demand exceeds its hosts
//! by more than a band, and returns one when its demand falls below its hosts by more than a wider
//! band; after a move it waits for a cooldown. The widths of the bands depend on the contract's
//! profile: a deviation from the shares justifies more moves than idle capacity does. Only lent
//! hosts are returned; a host that an operator has moved stays in its pool.

use std::time::Duration;
use std::time::SystemTime;

use model::Config;
use model::Contract;
use model::HostId;
use model::HostRow;
use model::HostState;
use model::PoolId;
use model::contract::Profile;

use crate::lifecycle::Moment;
use crate::transition::move_host;

/// Thresholds and times of lending.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LendingPolicy {
    /// Time constant of the exponential smoothing of demand; also the minimum observation time
    /// before a pool lends or borrows.
    pub time_constant: Duration,
    /// Fraction of a pool's capacity that demand should use, above 0 and at most 1.
    pub target_utilization: f64,
    /// A pool borrows if it is short of more than this number of hosts.
    pub borrow_band: f64,
    /// A pool returns or lends a host if it has more than this number of surplus hosts.
    pub return_band: f64,
    /// Time after a move during which the pool takes part in no other move.
    pub cooldown: Duration,
}

impl LendingPolicy {
    /// Returns the policy for a profile.
    pub fn of(profile: Profile) -> Self {
        match profile {
            Profile::Share => Self {
                time_constant: Duration::from_secs(300),
                target_utilization: 0.8,
                borrow_band: 0.6,
                return_band: 1.4,
                cooldown: Duration::from_secs(300),
            },
            Profile::Buffer => Self {
                time_constant: Duration::from_secs(900),
                target_utilization: 0.9,
                borrow_band: 1.0,
                return_band: 2.0,
                cooldown: Duration::from_secs(1_200),
            },
        }
    }
}

/// Smoothed demand of one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolDemand {
    /// Pool whose demand this is.
    pub pool: PoolId,
    /// Smoothed demand, in hosts.
    hosts: f64,
    /// When demand was first observed.
    first_observed_at: SystemTime,
    /// When demand was last observed.
    last_observed_at: SystemTime,
    /// When the pool last took part in a move; `None` if it has not.
    moved_at: Option<SystemTime>,
}

impl PoolDemand {
    /// Starts with a first observation of a demand of `hosts` hosts at `now`.
    pub fn new(pool: PoolId, hosts: f64, now: SystemTime) -> Self {
        Self { pool, hosts, first_observed_at: now, last_observed_at: now, moved_at: None }
    }

    /// Updates the smoothed demand with a demand of `hosts` hosts at `now`.
    pub fn observe(&mut self, hosts: f64, now: SystemTime, policy: &LendingPolicy) {
        let elapsed = now.duration_since(self.last_observed_at).unwrap_or_default();
        self.last_observed_at = now;
        let constant_s = policy.time_constant.as_secs_f64();
        let elapsed_s = elapsed.as_secs_f64();
        let age_s = now.duration_since(self.first_observed_at).unwrap_or_default().as_secs_f64();
        if constant_s == 0.0 || age_s == 0.0 {
            self.hosts = hosts;
            return;
        }
        // Until a time constant has passed this is the plain mean, so that a burst at the start
        // quickly loses weight.
        let weight = (1.0 - (-elapsed_s / constant_s).exp()).max(elapsed_s / age_s);
        self.hosts += weight * (hosts - self.hosts);
    }

    /// Starts the cooldown after a move in which the pool takes part.
    pub fn record_move(&mut self, now: SystemTime) {
        self.moved_at = Some(now);
    }

    fn is_ready(&self, now: SystemTime, policy: &LendingPolicy) -> bool {
        let age = |at| now.duration_since(at).unwrap_or_default();
        let has_cooldown_passed = self.moved_at.is_none_or(|at| age(at) >= policy.cooldown);
        has_cooldown_passed && age(self.first_observed_at) >= policy.time_constant
    }
}

/// A host that should move to another pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Row of the host with which its move starts.
    pub row: HostRow,
    /// Pool that the host leaves.
    pub from: PoolId,
    /// Pool that the host joins.
    pub to: PoolId,
}

/// Returns the next move that lends a host of `contract` or returns a lent one; `None` if none is
/// due. `demands` is sorted by pool, and `absent` by host.
pub fn next_loan(
    config: &Config,
    contract: &Contract,
    demands: &[PoolDemand],
    policy: &LendingPolicy,
    absent: &[HostId],
    moment: Moment,
) -> Option<Loan> {
    let spare = contract.pools.iter().find(|pool| pool.service.is_none())?;
    let pools = balances(config, contract, demands, policy, moment.now);
    let eligible = || pools.iter().filter(|pool| pool.is_ready);
    let max_shortfall = eligible().max_by(|a, b| a.shortfall.total_cmp(&b.shortfall));
    let max_surplus = eligible().min_by(|a, b| a.shortfall.total_cmp(&b.shortfall));
    let start_move = |host: &HostRow, to: &PoolId, home_pool: Option<PoolId>| {
        let mut row = move_host(config, host.id(), to, absent, moment).ok()?;
        row.lent_from = home_pool;
        Some(Loan { row, from: host.spec.pool.clone(), to: to.clone() })
    };
    let lend = |from: &PoolId, to: &PoolId| {
        let host = host_to_move(config, from, to)?;
        let home_pool = host.home_pool().unwrap_or(from);
        start_move(host, to, Some(home_pool.clone()).filter(|home_pool| home_pool != to))
    };
    if let Some(borrower) = max_shortfall.filter(|pool| pool.shortfall > policy.borrow_band) {
        let from_spare = lend(&spare.name, borrower.pool);
        let from_lender = || {
            let lender =
                max_surplus.filter(|pool| -pool.shortfall > policy.return_band && pool.can_lend)?;
            lend(lender.pool, borrower.pool)
        };
        return from_spare.or_else(from_lender);
    }
    let pool_with_surplus = eligible()
        .filter(|pool| -pool.shortfall > policy.return_band && pool.lent_host.is_some())
        .min_by(|a, b| a.shortfall.total_cmp(&b.shortfall))?;
    let lent_host = pool_with_surplus.lent_host?;
    start_move(lent_host, lent_host.home_pool()?, None)
}

/// The hosts of a pool compared with its demand.
struct Balance<'a> {
    pool: &'a PoolId,
    /// Number of hosts that the pool is short of; negative for surplus hosts.
    shortfall: f64,
    /// A serving host that was lent to the pool and can be returned.
    lent_host: Option<&'a HostRow>,
    /// True if the pool, with one host fewer, still has at least the hosts that the contract lists
    /// for it less the `unavailable_max` of its service, and at least one.
    can_lend: bool,
    is_ready: bool,
}

fn balances<'a>(
    config: &'a Config,
    contract: &'a Contract,
    demands: &[PoolDemand],
    policy: &LendingPolicy,
    now: SystemTime,
) -> Vec<Balance<'a>> {
    let mut balances = Vec::new();
    for pool in &contract.pools {
        let Some(service) = pool.service.as_ref().and_then(|name| contract.service(name)) else {
            continue;
        };
        let Ok(index) = demands.binary_search_by(|demand| demand.pool.cmp(&pool.name)) else {
            continue;
        };
        let demand = &demands[index];
        let is_assigned = |row: &&HostRow| {
            row.move_to.as_ref().unwrap_or(&row.spec.pool) == &pool.name
                && row.state != HostState::Failed
        };
        let host_count = config.hosts.iter().filter(is_assigned).count() as u32;
        let contract_host_count =
            contract.hosts.iter().filter(|spec| spec.pool == pool.name).count() as u32;
        balances.push(Balance {
            pool: &pool.name,
            shortfall: demand.hosts / policy.target_utilization - f64::from(host_count),
            lent_host: config.hosts.iter().find(|row| {
                row.spec.pool == pool.name
                    && row.state == HostState::Serving
                    && row.home_pool().is_some()
            }),
            can_lend: host_count
                > contract_host_count.saturating_sub(service.unavailable_max).max(1),
            is_ready: demand.is_ready(now, policy),
        });
    }
    balances
}

/// Returns the serving host of `from` in whose zone `to` has the fewest hosts.
fn host_to_move<'a>(config: &'a Config, from: &PoolId, to: &PoolId) -> Option<&'a HostRow> {
    let hosts = || config.hosts.iter();
    let hosts_of_target = |row: &HostRow| {
        hosts().filter(|other| other.spec.pool == *to && other.spec.zone == row.spec.zone).count()
    };
    hosts()
        .filter(|row| row.spec.pool == *from && row.state == HostState::Serving)
        .min_by_key(|row| hosts_of_target(row))
}
