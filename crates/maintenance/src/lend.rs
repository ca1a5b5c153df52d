//! Lending of hosts between the pools of a customer, by smoothed demand.
//!
//! A move costs minutes of a host's time and a burst lasts seconds, so demand is smoothed over a time
//! much longer than a burst. A pool borrows when its smoothed demand passes what it has by a band,
//! and gives back when it falls below by a wider one; after a move the pool rests. The widths come
//! from the contract's profile: closeness to share is worth more moves than idle capacity is. Only
//! hosts that were lent are given back; what an operator moved stays where it is.

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

/// How readily hosts are lent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LendingPolicy {
    /// Time over which demand is smoothed.
    pub time_constant: Duration,
    /// Part of a pool's capacity that demand should fill.
    pub target_utilization: f64,
    /// Hosts that a pool must lack before it borrows.
    pub borrow_band: f64,
    /// Hosts that a pool must have to spare before it gives back.
    pub return_band: f64,
    /// Time after a move in which the pool takes no part in another.
    pub cooldown: Duration,
}

impl LendingPolicy {
    /// Policy for a profile.
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

/// Demand of one pool over time.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolDemand {
    /// Pool.
    pub pool: PoolId,
    /// Smoothed demand, in hosts.
    hosts: f64,
    /// When demand was first seen.
    since: SystemTime,
    /// When demand was last seen.
    at: SystemTime,
    /// When the pool last took part in a move.
    moved_at: Option<SystemTime>,
}

impl PoolDemand {
    /// Demand first seen at `now`.
    pub fn new(pool: PoolId, hosts: f64, now: SystemTime) -> Self {
        Self { pool, hosts, since: now, at: now, moved_at: None }
    }

    /// Takes note of a demand of `hosts` at `now`.
    pub fn observe(&mut self, hosts: f64, now: SystemTime, policy: &LendingPolicy) {
        let elapsed = now.duration_since(self.at).unwrap_or_default();
        self.at = now;
        let constant_s = policy.time_constant.as_secs_f64();
        let elapsed_s = elapsed.as_secs_f64();
        let age_s = now.duration_since(self.since).unwrap_or_default().as_secs_f64();
        if constant_s == 0.0 || age_s == 0.0 {
            self.hosts = hosts;
            return;
        }
        // The plain mean until a time constant has passed, so that a first burst soon counts little.
        let weight = (1.0 - (-elapsed_s / constant_s).exp()).max(elapsed_s / age_s);
        self.hosts += weight * (hosts - self.hosts);
    }

    /// Takes note of a move that the pool takes part in.
    pub fn record_move(&mut self, now: SystemTime) {
        self.moved_at = Some(now);
    }

    fn is_ready(&self, now: SystemTime, policy: &LendingPolicy) -> bool {
        let age = |at| now.duration_since(at).unwrap_or_default();
        let rested = self.moved_at.is_none_or(|at| age(at) >= policy.cooldown);
        rested && age(self.since) >= policy.time_constant
    }
}

/// A host that should move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Row with which its move begins.
    pub row: HostRow,
    /// Pool that it leaves.
    pub from: PoolId,
    /// Pool that it goes to.
    pub to: PoolId,
}

/// The next loan among the pools of `contract`; `demands` is sorted by pool.
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
    let ready = || pools.iter().filter(|pool| pool.ready);
    let neediest = ready().max_by(|a, b| a.lack.total_cmp(&b.lack));
    let richest = ready().min_by(|a, b| a.lack.total_cmp(&b.lack));
    let begin = |host: &HostRow, to: &PoolId, home: Option<PoolId>| {
        let mut row = move_host(config, host.id(), to, absent, moment).ok()?;
        row.lent_from = home;
        Some(Loan { row, from: host.spec.pool.clone(), to: to.clone() })
    };
    let lend = |from: &PoolId, to: &PoolId| {
        let host = host_to_move(config, from, to)?;
        let home = host.home().unwrap_or(from);
        begin(host, to, Some(home.clone()).filter(|home| home != to))
    };
    if let Some(needy) = neediest.filter(|pool| pool.lack > policy.borrow_band) {
        let from_spare = lend(&spare.name, needy.pool);
        let from_rich = || {
            let rich = richest.filter(|pool| -pool.lack > policy.return_band && pool.may_lend)?;
            lend(rich.pool, needy.pool)
        };
        return from_spare.or_else(from_rich);
    }
    let rich = ready()
        .filter(|pool| -pool.lack > policy.return_band && pool.lent.is_some())
        .min_by(|a, b| a.lack.total_cmp(&b.lack))?;
    let lent = rich.lent?;
    begin(lent, lent.home()?, None)
}

/// What a pool has against what it should have.
struct Balance<'a> {
    pool: &'a PoolId,
    /// Hosts that it lacks; negative for hosts to spare.
    lack: f64,
    /// Host that was lent to it and can be given back.
    lent: Option<&'a HostRow>,
    /// It keeps its service's floor without one more host.
    may_lend: bool,
    ready: bool,
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
        let will_be = |row: &&HostRow| {
            row.move_to.as_ref().unwrap_or(&row.spec.pool) == &pool.name
                && row.state != HostState::Failed
        };
        let has = config.hosts.iter().filter(will_be).count() as u32;
        let listed = contract.hosts.iter().filter(|spec| spec.pool == pool.name).count() as u32;
        balances.push(Balance {
            pool: &pool.name,
            lack: demand.hosts / policy.target_utilization - f64::from(has),
            lent: config.hosts.iter().find(|row| {
                row.spec.pool == pool.name
                    && row.state == HostState::Serving
                    && row.home().is_some()
            }),
            may_lend: has > listed.saturating_sub(service.unavailable_max).max(1),
            ready: demand.is_ready(now, policy),
        });
    }
    balances
}

/// Serving host of `from` whose zone has the fewest hosts of `to`.
fn host_to_move<'a>(config: &'a Config, from: &PoolId, to: &PoolId) -> Option<&'a HostRow> {
    let hosts = || config.hosts.iter();
    let there = |row: &HostRow| {
        hosts().filter(|other| other.spec.pool == *to && other.spec.zone == row.spec.zone).count()
    };
    hosts()
        .filter(|row| row.spec.pool == *from && row.state == HostState::Serving)
        .min_by_key(|row| there(row))
}
