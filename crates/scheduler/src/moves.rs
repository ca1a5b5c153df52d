//! Moves of hosts between pools: from those that hold more than they need to those that lack some.
//!
//! Nothing is stopped for a move: a host leaves once nothing runs on it. Idle hosts go first, then those
//! of the spare pool, then busy ones of pools that hold more than their part, the least busy first.

use std::cmp::Reverse;
use std::time::Duration;

use crate::HostName;
use crate::Moment;
use crate::PoolName;
use crate::capacity::HostCounts;
use crate::capacity::PoolLoad;
use crate::capacity::PoolLoads;
use crate::capacity::host_targets;
use crate::hosts::Goal;
use crate::hosts::Host;
use crate::report::HostState;
use crate::state::Scheduler;

/// Time for which a host must have been idle before another pool may have it.
const IDLE_MIN: Duration = Duration::from_millis(300);
/// Time for which a host must have been idle before it goes to the spare pool: what it costs to stand
/// for this long is about what a move costs.
const PARK_IDLE_MIN: Duration = Duration::from_millis(1_500);

impl Scheduler {
    /// Decides which hosts work in another pool.
    pub(crate) fn plan_moves(&mut self, now: Moment) {
        let loads = self.pool_loads(now);
        self.note_own_hosts(&loads);
        let total = self.hosts.values().filter(|host| host.entry.state != HostState::Down).count();
        let targets = host_targets(&loads, total);
        let missing = |(name, load): (&PoolName, &PoolLoad)| {
            let target = targets.get(name).copied().unwrap_or(0);
            (target > load.hosts).then(|| (target - load.hosts, name.clone()))
        };
        let mut needy: Vec<(usize, PoolName)> = loads.iter().filter_map(missing).collect();
        needy.sort_by_key(|(missing, _)| Reverse(*missing));
        if needy.is_empty() {
            self.park_idle(&loads, &targets, now);
            return;
        }
        let mut donors = self.donors(&loads, &targets, now);
        for (missing, pool) in needy {
            for _ in 0..missing {
                let Some(host) = donors.pop() else {
                    return;
                };
                self.move_to(&host, &pool);
            }
        }
    }

    fn move_to(&mut self, host: &HostName, pool: &PoolName) {
        self.is_own_hosts_dirty |= !std::mem::replace(&mut self.baseline_hosts.is_settled, true);
        if let Some(host) = self.hosts.get_mut(host) {
            host.goal = Some(Goal::Move(pool.clone()));
        }
    }

    /// Sends hosts that have been idle for long to the spare pool, where they cost nothing.
    fn park_idle(&mut self, loads: &PoolLoads, targets: &HostCounts, now: Moment) {
        let config = self.config.clone();
        let Some((spare, _)) = config.pools.iter().find(|(_, pool)| pool.is_spare) else {
            return;
        };
        let kept = |name: &PoolName, load: &PoolLoad| {
            load.baseline_hosts.max(targets.get(name).copied().unwrap_or(0))
        };
        for host in self.idle_hosts(loads, kept, PARK_IDLE_MIN, now) {
            self.move_to(&host, spare);
        }
    }

    /// Hosts that other pools may have, the best last: idle ones, those of the spare pool, and those
    /// of pools that hold more than they should, which are emptied first.
    fn donors(&self, loads: &PoolLoads, targets: &HostCounts, now: Moment) -> Vec<HostName> {
        let target = |name: &PoolName, _: &PoolLoad| targets.get(name).copied().unwrap_or(0);
        let mut idle = self.idle_hosts(loads, target, IDLE_MIN, now);
        let mut donors = self.busy_donors(loads, target, idle.len(), now);
        let is_spare = |host: &&Host| {
            self.config.pools.get(&host.entry.pool).is_some_and(|pool| pool.is_spare)
        };
        let free = self.hosts.values().filter(|host| host.is_free(now));
        donors.extend(free.filter(is_spare).map(|host| host.entry.name.clone()));
        donors.append(&mut idle);
        donors
    }

    /// Hosts beyond what their pools keep that have been idle for a time.
    fn idle_hosts(
        &self,
        loads: &PoolLoads,
        kept: impl Fn(&PoolName, &PoolLoad) -> usize,
        idle_min: Duration,
        now: Moment,
    ) -> Vec<HostName> {
        let mut left = surplus(loads, kept);
        let mut idle = Vec::new();
        for (name, host) in self.hosts.iter().filter(|(_, host)| host.is_free(now)) {
            let Some(left) = left.get_mut(&host.entry.pool).filter(|left| **left > 0) else {
                continue;
            };
            let worker = self.worker_of(host).and_then(|id| self.workers.get(&id));
            let is_idle = worker.is_some_and(|worker| {
                worker.runs.is_empty() && now.saturating_sub(worker.busy_at) >= idle_min
            });
            if is_idle {
                *left -= 1;
                idle.push(name.clone());
            }
        }
        idle
    }

    /// Hosts at work without lasting units, of pools that hold more than `kept`; the least busy last.
    fn busy_donors(
        &self,
        loads: &PoolLoads,
        kept: impl Fn(&PoolName, &PoolLoad) -> usize,
        idle: usize,
        now: Moment,
    ) -> Vec<HostName> {
        let mut left = surplus(loads, |name, load| kept(name, load) + idle);
        let mut busy: Vec<(u64, HostName, PoolName)> = Vec::new();
        for (name, host) in self.hosts.iter().filter(|(_, host)| host.is_free(now)) {
            let Some(worker) = self.worker_of(host).and_then(|id| self.workers.get(&id)) else {
                continue;
            };
            let has_lasting = worker.runs.iter().any(|key| self.is_long_running(key));
            if !worker.runs.is_empty() && !has_lasting {
                busy.push((worker.used.cpu_millis, name.clone(), host.entry.pool.clone()));
            }
        }
        busy.sort();
        let mut donors = Vec::new();
        for (_, name, pool) in busy {
            if let Some(left) = left.get_mut(&pool).filter(|left| **left > 0) {
                *left -= 1;
                donors.push(name);
            }
        }
        donors.reverse();
        donors
    }
}

/// Hosts that the pools hold beyond what they keep.
fn surplus(loads: &PoolLoads, kept: impl Fn(&PoolName, &PoolLoad) -> usize) -> HostCounts {
    let beyond = |(name, load): (&PoolName, &PoolLoad)| {
        (name.clone(), load.hosts.saturating_sub(kept(name, load)))
    };
    loads.iter().map(beyond).collect()
}
