//! Moving hosts from pools that have more than they need to pools that have too few.
//!
//! No run is stopped for a move: a host leaves its pool once nothing runs on it. Idle hosts are
//! moved first, then hosts of the spare pool, then busy hosts of pools above their target, the
//! least busy first.
//!
//! Peaks come round: the pool whose last peak is the longest ago is expected to have the next one,
//! and so is each pool that has had none. What no pool needs goes to these, up to a part of their
//! baseline, so that they don't begin their peak with the few hosts that were left to them. The
//! other pools keep what they need and a small reserve, and the rest goes to the spare pool.

use std::cmp::Reverse;
use std::time::Duration;

use crate::HostName;
use crate::Moment;
use crate::PoolName;
use crate::capacity::HostCounts;
use crate::capacity::PoolLoad;
use crate::capacity::PoolLoads;
use crate::capacity::host_targets;
use crate::hosts::Host;
use crate::hosts::HostIntent;
use crate::messages::HostState;
use crate::state::Scheduler;

/// Time that a host must have been idle before another pool may get it.
const IDLE_MIN: Duration = Duration::from_millis(300);
/// Part of its baseline up to which a pool gets idle hosts before its peak, in percent: enough
/// until the hosts that it requests have arrived. More would cost as much as the earlier start is
/// worth.
const FILL_PERCENT: usize = 60;
/// Time that a host must have been idle before it moves to a pool that is expected to have the next
/// peak. A peak pauses for shorter times than this.
const FILL_IDLE_MIN: Duration = Duration::from_millis(600);
/// A pool between its peaks keeps capacity for the next jobs: that of one host, and of one more for
/// each of this many hosts of its baseline.
const RESERVE_DIVISOR: usize = 8;
/// Time that a host must have been idle before it moves to the spare pool. An idle host costs about
/// as much in this time as a move.
const PARK_IDLE_MIN: Duration = Duration::from_millis(1_500);

impl Scheduler {
    /// Plans which hosts move to another pool.
    pub(crate) fn plan_moves(&mut self, loads: &PoolLoads, now: Moment) {
        self.record_baseline_hosts(loads);
        self.peaks.record(loads, now);
        let expected = self.peaks.expected_pools(loads, now);
        let is_held = |host: &&Host| host.entry.state != HostState::Down && !self.is_absent(host);
        let total = self.hosts.values().filter(is_held).count();
        let targets = host_targets(loads, total);
        let missing = |(name, load): (&PoolName, &PoolLoad)| {
            let target = targets.get(name).copied().unwrap_or(0);
            (target > load.hosts).then(|| (target - load.hosts, name.clone()))
        };
        let mut needy: Vec<(usize, PoolName)> = loads.iter().filter_map(missing).collect();
        needy.sort_by_key(|(missing, _)| Reverse(*missing));
        let mut donors = match needy.is_empty() {
            true => Vec::new(),
            false => self.donors(loads, &targets, &expected, now),
        };
        for (missing, pool) in needy {
            for _ in 0..missing {
                let Some(host) = donors.pop() else {
                    return;
                };
                self.plan_move(&host, &pool);
            }
        }
        self.fill_expected_pools(loads, &targets, &expected, now);
        self.park_idle_hosts(loads, &targets, &expected, now);
    }

    /// Moves idle hosts to the pools that are expected to have the next peak.
    fn fill_expected_pools(
        &mut self,
        loads: &PoolLoads,
        targets: &HostCounts,
        expected: &[PoolName],
        now: Moment,
    ) {
        let missing = |pool: &PoolName| {
            loads.get(pool).map_or(0, |load| {
                let filled = load.baseline_hosts * FILL_PERCENT / 100;
                filled.saturating_sub(load.hosts)
            })
        };
        let mut missing: Vec<(&PoolName, usize)> =
            expected.iter().map(|pool| (pool, missing(pool))).collect();
        let kept = |name: &PoolName, load: &PoolLoad| kept_hosts(name, load, targets, expected);
        let mut idle = self.idle_hosts(loads, kept, FILL_IDLE_MIN, now);
        // It is not known which of several pools is the next one, so they take turns.
        while missing.iter().any(|(_, count)| *count > 0) && !idle.is_empty() {
            for (pool, count) in missing.iter_mut().filter(|(_, count)| *count > 0) {
                if let Some(host) = idle.pop() {
                    self.plan_move(&host, pool);
                    *count -= 1;
                }
            }
        }
    }

    fn plan_move(&mut self, host: &HostName, pool: &PoolName) {
        self.is_baseline_hosts_dirty |=
            !std::mem::replace(&mut self.baseline_hosts.is_frozen, true);
        if let Some(host) = self.hosts.get_mut(host) {
            host.intent = Some(HostIntent::Move(pool.clone()));
        }
    }

    /// Moves hosts that have been idle for a long time to the spare pool, where they cost nothing.
    fn park_idle_hosts(
        &mut self,
        loads: &PoolLoads,
        targets: &HostCounts,
        expected: &[PoolName],
        now: Moment,
    ) {
        let config = self.config.clone();
        let Some((spare, _)) = config.pools.iter().find(|(_, pool)| pool.is_spare) else {
            return;
        };
        let kept = |name: &PoolName, load: &PoolLoad| kept_hosts(name, load, targets, expected);
        for host in self.idle_hosts(loads, kept, PARK_IDLE_MIN, now) {
            self.plan_move(&host, spare);
        }
    }

    /// Returns the hosts that other pools may get, the best one last: idle hosts, hosts of the
    /// spare pool, idle hosts of pools that are expected to have the next peak, and busy hosts of
    /// pools above their target, which have to be drained first.
    fn donors(
        &self,
        loads: &PoolLoads,
        targets: &HostCounts,
        expected: &[PoolName],
        now: Moment,
    ) -> Vec<HostName> {
        let target = |name: &PoolName, _: &PoolLoad| targets.get(name).copied().unwrap_or(0);
        let kept = |name: &PoolName, load: &PoolLoad| kept_hosts(name, load, targets, expected);
        let mut idle = self.idle_hosts(loads, kept, IDLE_MIN, now);
        let mut idle_in_expected = self.idle_hosts(loads, target, IDLE_MIN, now);
        idle_in_expected.retain(|host| !idle.contains(host));
        let idle_count = idle.len() + idle_in_expected.len();
        let mut donors = self.busy_donors(loads, target, idle_count, now);
        donors.append(&mut idle_in_expected);
        let is_spare = |host: &&Host| {
            self.config.pools.get(&host.entry.pool).is_some_and(|pool| pool.is_spare)
        };
        let available = self.hosts.values().filter(|host| self.may_move(host, now));
        donors.extend(available.filter(is_spare).map(|host| host.entry.name.clone()));
        donors.append(&mut idle);
        donors
    }

    /// Returns the hosts that their pools can spare and that have been idle for at least
    /// `idle_min`.
    fn idle_hosts(
        &self,
        loads: &PoolLoads,
        kept: impl Fn(&PoolName, &PoolLoad) -> usize,
        idle_min: Duration,
        now: Moment,
    ) -> Vec<HostName> {
        let mut surplus_left = surplus_by_pool(loads, kept);
        let mut idle = Vec::new();
        for (name, host) in self.hosts.iter().filter(|(_, host)| self.may_move(host, now)) {
            let Some(surplus_left) =
                surplus_left.get_mut(&host.entry.pool).filter(|surplus_left| **surplus_left > 0)
            else {
                continue;
            };
            let worker = self.worker_of(host).and_then(|id| self.workers.get(&id));
            let is_idle = worker.is_some_and(|worker| {
                worker.runs.is_empty() && now.saturating_sub(worker.last_busy_at) >= idle_min
            });
            if is_idle {
                *surplus_left -= 1;
                idle.push(name.clone());
            }
        }
        idle
    }

    /// Returns busy hosts without long-running units in pools that hold more than `kept` plus
    /// `idle_count` hosts, the least busy one last.
    fn busy_donors(
        &self,
        loads: &PoolLoads,
        kept: impl Fn(&PoolName, &PoolLoad) -> usize,
        idle_count: usize,
        now: Moment,
    ) -> Vec<HostName> {
        let mut surplus_left = surplus_by_pool(loads, |name, load| kept(name, load) + idle_count);
        let mut busy: Vec<(u64, HostName, PoolName)> = Vec::new();
        for (name, host) in self.hosts.iter().filter(|(_, host)| self.may_move(host, now)) {
            let Some(worker) = self.worker_of(host).and_then(|id| self.workers.get(&id)) else {
                continue;
            };
            if !worker.runs.is_empty() && worker.long_running_runs == 0 {
                busy.push((worker.reserved.cpu_millis, name.clone(), host.entry.pool.clone()));
            }
        }
        busy.sort();
        let mut donors = Vec::new();
        for (_, name, pool) in busy {
            if let Some(surplus_left) =
                surplus_left.get_mut(&pool).filter(|surplus_left| **surplus_left > 0)
            {
                *surplus_left -= 1;
                donors.push(name);
            }
        }
        donors.reverse();
        donors
    }
}

/// Returns the number of hosts that a pool keeps while no other one needs them.
fn kept_hosts(
    name: &PoolName,
    load: &PoolLoad,
    targets: &HostCounts,
    expected: &[PoolName],
) -> usize {
    let target = targets.get(name).copied().unwrap_or(0);
    let baseline = target.max(load.baseline_hosts);
    match expected.contains(name) {
        true => baseline,
        // The next job would otherwise wait for a host to arrive. Hosts that long-running units are
        // spread over have free capacity for it as well.
        false => {
            let reserve = load.baseline_hosts / RESERVE_DIVISOR + 1;
            baseline.min(target + reserve.saturating_sub(load.free_hosts(target)))
        }
    }
}

/// Returns how many hosts each pool holds beyond those that it keeps.
fn surplus_by_pool(loads: &PoolLoads, kept: impl Fn(&PoolName, &PoolLoad) -> usize) -> HostCounts {
    let pool_surplus = |(name, load): (&PoolName, &PoolLoad)| {
        (name.clone(), load.hosts.saturating_sub(kept(name, load)))
    };
    loads.iter().map(pool_surplus).collect()
}
