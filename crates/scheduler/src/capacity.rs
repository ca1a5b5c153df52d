//! Hosts follow the demand: a pool that asks for more than it holds gets idle hosts of other pools.
//!
//! The pattern that this answers: the queues of the pools have their peaks by turns. Each asks for a
//! few seconds for more than its pool holds, and for next to nothing in between, so that most hosts
//! of the other pools are idle meanwhile. A host moves only while nothing runs on it.

use std::time::Duration;

use crate::HostName;
use crate::Moment;
use crate::PoolName;
use crate::hosts::Goal;
use crate::job::JobRecord;
use crate::job::Step;
use crate::job::UnitKey;
use crate::report::HostState;
use crate::sorted::SortedMap;
use crate::state::Done;
use crate::state::Job;
use crate::state::Scheduler;

/// Time over which the rate of new work is taken.
const RATE_WINDOW: Duration = Duration::from_millis(700);
/// Part of a host's processors that is planned to be in use, in percent; the rest is lost to units that
/// do not fit together.
const FILL_PERCENT: u64 = 90;
/// Time for which a host must have been idle before another pool may have it.
const IDLE_MIN: Duration = Duration::from_millis(300);
/// Hosts that a pool keeps for units that last, beside those that run some.
const LASTING_RESERVE: usize = 1;

/// Work that a queue has asked for of late.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// When jobs came, and their work in core-milliseconds; the oldest first.
    arrivals: Vec<(Moment, u64)>,
}

/// How much a pool holds and needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Hosts that work in it or are on their way to it.
    pub hosts: usize,
    /// Hosts on which units that last run.
    pub lasting_hosts: usize,
    /// Thousandths of cores that run.
    pub running_cpu_millis: u64,
    /// Thousandths of cores that wait and could run now.
    pub waiting_cpu_millis: u64,
    /// Thousandths of cores that the work of late needs while it goes on so.
    pub rate_cpu_millis: u64,
    /// Thousandths of cores of its largest host.
    pub host_cpu_millis: u64,
}

impl Demand {
    fn add(&mut self, work: u64, now: Moment) {
        self.drop_old(now);
        self.arrivals.push((now, work));
    }

    fn drop_old(&mut self, now: Moment) {
        self.arrivals.retain(|(at, _)| now.saturating_sub(*at) <= RATE_WINDOW);
    }

    /// Thousandths of cores that the work of the last window would keep busy.
    fn rate_cpu_millis(&self, now: Moment) -> u64 {
        let recent = self.arrivals.iter().filter(|(at, _)| now.saturating_sub(*at) <= RATE_WINDOW);
        let work: u64 = recent.map(|(_, work)| work).sum();
        work * 1_000 / RATE_WINDOW.as_millis() as u64
    }
}

impl PoolLoad {
    /// Hosts that the pool needs now.
    pub fn hosts_needed(&self) -> usize {
        let cpu = (self.running_cpu_millis + self.waiting_cpu_millis).max(self.rate_cpu_millis);
        let host = (self.host_cpu_millis * FILL_PERCENT / 100).max(1);
        let for_work = cpu.div_ceil(host) as usize;
        for_work.max(self.lasting_hosts + LASTING_RESERVE)
    }
}

impl Scheduler {
    /// Counts what a new job asks for.
    pub(crate) fn count_demand(&mut self, record: &JobRecord, now: Moment) {
        let work =
            |step: &Step| u64::from(step.count) * step.estimate_ms * step.need.cpu_millis / 1_000;
        let batch = record.steps.iter().filter(|step| !step.is_lasting);
        let asked: u64 = batch.map(work).sum();
        if asked > 0 {
            self.demand.entry_or(record.pool.clone(), Demand::default).add(asked, now);
        }
    }

    /// Learns how long a unit took.
    pub(crate) fn learn_time(&mut self, _key: &UnitKey, _since: Option<Moment>, _now: Moment) {}

    /// Decides which hosts work in another pool.
    pub(crate) fn plan_moves(&mut self, now: Moment) {
        let loads = self.pool_loads(now);
        let needy = loads.iter().filter(|(_, load)| load.hosts_needed() > load.hosts);
        let mut needy: Vec<(usize, PoolName)> =
            needy.map(|(p, load)| (load.hosts_needed() - load.hosts, p.clone())).collect();
        needy.sort_by(|a, b| b.0.cmp(&a.0));
        if needy.is_empty() {
            return;
        }
        let mut donors = self.donors(&loads, now);
        for (missing, pool) in needy {
            for _ in 0..missing {
                let Some(host) = donors.pop() else {
                    return;
                };
                if let Some(host) = self.hosts.get_mut(&host) {
                    host.goal = Some(Goal::Move(pool.clone()));
                }
            }
        }
    }

    /// How much each pool that is no spare one holds and needs.
    pub fn pool_loads(&self, now: Moment) -> SortedMap<PoolName, PoolLoad> {
        let pools = self.config.pools.iter().filter(|(_, pool)| !pool.is_spare);
        let mut loads: SortedMap<PoolName, PoolLoad> =
            pools.map(|(name, _)| (name.clone(), PoolLoad::default())).collect();
        for (name, load) in loads.iter_mut() {
            load.rate_cpu_millis =
                self.demand.get(name).map_or(0, |demand| demand.rate_cpu_millis(now));
        }
        for host in self.hosts.values() {
            let pool = match &host.goal {
                Some(Goal::Move(pool)) => pool,
                _ => &host.entry.pool,
            };
            if let Some(load) = loads.get_mut(pool)
                && host.entry.state != HostState::Down
            {
                load.hosts += 1;
            }
        }
        for worker in self.workers.values() {
            if let Some(load) = loads.get_mut(&worker.entry.pool) {
                load.running_cpu_millis += worker.used.cpu_millis;
                load.host_cpu_millis = load.host_cpu_millis.max(worker.entry.capacity.cpu_millis);
                let has_lasting = worker.runs.iter().any(|key| self.is_lasting(key));
                load.lasting_hosts += usize::from(has_lasting);
            }
        }
        for job in self.jobs.values().filter(|job| job.ending.is_none()) {
            if let Some(load) = loads.get_mut(&self.pool_of(job)) {
                load.waiting_cpu_millis += waiting_cpu_millis(job);
            }
        }
        loads
    }

    /// Hosts that other pools may have, the best last.
    fn donors(&self, loads: &SortedMap<PoolName, PoolLoad>, now: Moment) -> Vec<HostName> {
        let mut spare = Vec::new();
        let mut idle = Vec::new();
        let mut left: SortedMap<PoolName, usize> = loads
            .iter()
            .map(|(name, load)| (name.clone(), load.hosts.saturating_sub(load.hosts_needed())))
            .collect();
        for (name, host) in self.hosts.iter().filter(|(_, host)| host.is_free(now)) {
            let pool = &host.entry.pool;
            if self.config.pools.get(pool).is_some_and(|pool| pool.is_spare) {
                spare.push(name.clone());
                continue;
            }
            let Some(left) = left.get_mut(pool).filter(|left| **left > 0) else {
                continue;
            };
            let worker = self.worker_of(host).and_then(|id| self.workers.get(&id));
            let is_idle = worker.is_some_and(|worker| {
                worker.runs.is_empty() && now.saturating_sub(worker.busy_at) >= IDLE_MIN
            });
            if is_idle {
                *left -= 1;
                idle.push(name.clone());
            }
        }
        spare.append(&mut idle);
        spare
    }
}

/// Thousandths of cores of the units of a job that could run now and do not.
fn waiting_cpu_millis(job: &Job) -> u64 {
    let mut cpu_millis = 0;
    for occurrence in &job.occurrences {
        for (step, units) in job.record.steps.iter().zip(&occurrence.steps) {
            if step.fills || !crate::plan::is_ready(step, occurrence) {
                continue;
            }
            let waits = units.iter().filter(|unit| unit.done == Done::No && unit.run.is_none());
            cpu_millis += waits.count() as u64 * step.need.cpu_millis;
        }
    }
    cpu_millis
}
