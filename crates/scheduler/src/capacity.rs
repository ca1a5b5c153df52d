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
use crate::job::Resources;
use crate::job::Step;
use crate::job::UnitKey;
use crate::report::HostState;
use crate::sorted::SortedMap;
use crate::state::Done;
use crate::state::Job;
use crate::state::Scheduler;
use crate::turns::Expected;
use crate::turns::Turns;

/// Time over which the rate of new work is taken.
const RATE_WINDOW: Duration = Duration::from_millis(700);
/// Part of a host's processors that is planned to be in use, in percent; the rest is lost to units that
/// do not fit together.
const FILL_PERCENT: u64 = 90;
/// Time for which a host must have been idle before another pool may have it.
const IDLE_MIN: Duration = Duration::from_millis(300);
/// Hosts that a pool with units that last holds beside those on which they run, for those that have to
/// start again.
const LASTING_RESERVE: usize = 1;
/// What new work counts for at most, as a multiple of what runs and waits.
const RATE_PER_WANTED_MAX: u64 = 2;
/// Time for which units must have waited before another host is fetched for them.
const STARVED_AFTER: Duration = Duration::from_millis(300);
/// Time before an expected peak at which hosts are fetched for it: a host moves in about this time.
const EXPECTED_LEAD: Duration = Duration::from_millis(2_200);
/// Time after an expected peak for which hosts are held for it.
const EXPECTED_HELD: Duration = Duration::from_millis(1_500);
/// Part of the hosts of a pool's last peak that are fetched before the next, in percent.
const EXPECTED_PERCENT: u64 = 70;
/// Hosts that a pool keeps beside those that it needs for units that last, for the begin of its peak.
const RESERVE_HOSTS: usize = 2;
/// Time for which a host must have been idle before it goes to the spare pool: what it costs to stand
/// for this long is about what a move costs.
const PARK_IDLE_MIN: Duration = Duration::from_millis(1_500);

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
    /// Units have waited for a while that fit on none of its workers.
    pub is_starved: bool,
    /// Hosts that a peak needs that is about to begin.
    pub expected_hosts: usize,
    /// Hosts that it has of its own.
    pub own_hosts: usize,
    /// Hosts over which the units of a step must be spread.
    pub spread_hosts: usize,
    /// What runs.
    pub running: Resources,
    /// What of it lasts.
    pub lasting: Resources,
    /// What waits and could run now.
    pub waiting: Resources,
    /// Thousandths of cores that the work of late needs while it goes on so.
    pub rate_cpu_millis: u64,
    /// What its largest host has.
    pub host: Resources,
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
        let wanted = self.running.plus(&self.waiting);
        // A few large jobs make a high rate, of which only the first steps can run at once.
        let coming = self.rate_cpu_millis.min(wanted.cpu_millis * RATE_PER_WANTED_MAX);
        let cpu_millis = wanted.cpu_millis.max(coming);
        let for_cpu = hosts_for(cpu_millis, self.host.cpu_millis);
        let for_memory = hosts_for(wanted.memory_mb, self.host.memory_mb);
        let for_starved = if self.is_starved { self.hosts + 1 } else { 0 };
        let for_lasting = match self.lasting_hosts {
            0 => 0,
            hosts => hosts + LASTING_RESERVE,
        };
        let for_work = for_cpu.max(for_memory).max(for_starved).max(self.expected_hosts);
        for_work.max(self.spread_hosts).max(for_lasting)
    }

    /// Hosts that the pool keeps though they are idle.
    pub fn hosts_kept(&self) -> usize {
        let for_lasting = self.lasting_hosts.max(self.spread_hosts) + RESERVE_HOSTS;
        self.hosts_needed().max(for_lasting).max(self.own_hosts)
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
        self.note_turns(now);
        let loads = self.pool_loads(now);
        self.park_idle(&loads, now);
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

    /// Learns from the work of the pools when they have their peaks.
    fn note_turns(&mut self, now: Moment) {
        let now_ms = self.unix_ms(now);
        for (pool, load) in self.pool_loads(now).iter() {
            self.turns.note_pool(pool, load.hosts);
            let work = load.running.plus(&load.waiting).minus(&load.lasting);
            let hosts = hosts_for(work.cpu_millis, load.host.cpu_millis);
            self.is_turns_dirty |= self.turns.note_work(pool, hosts, now_ms);
        }
    }

    /// Takes in what is stored of the pools' peaks.
    pub fn restore_turns(&mut self, turns: Turns) {
        self.turns = turns;
    }

    /// How much each pool that is no spare one holds and needs.
    pub fn pool_loads(&self, now: Moment) -> SortedMap<PoolName, PoolLoad> {
        let pools = self.config.pools.iter().filter(|(_, pool)| !pool.is_spare);
        let mut loads: SortedMap<PoolName, PoolLoad> =
            pools.map(|(name, _)| (name.clone(), PoolLoad::default())).collect();
        let expected = self.turns.expected();
        for (name, load) in loads.iter_mut() {
            load.own_hosts = self.turns.own_hosts(name);
            let is_near = |expected: &&Expected| {
                let at = self.moment_of(expected.at_ms);
                expected.pool == *name && now + EXPECTED_LEAD >= at && now <= at + EXPECTED_HELD
            };
            load.expected_hosts = expected.as_ref().filter(is_near).map_or(0, |expected| {
                (expected.hosts as u64 * EXPECTED_PERCENT).div_ceil(100) as usize
            });
            load.is_starved = self
                .starved_since
                .get(name)
                .is_some_and(|since| now.saturating_sub(*since) >= STARVED_AFTER);
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
                load.running += worker.used;
                for key in worker.runs.iter().filter(|key| self.is_lasting(key)) {
                    if let Some(run) = self.unit(key).and_then(|unit| unit.run.as_ref()) {
                        load.lasting += run.room;
                    }
                }
                let capacity = worker.entry.capacity;
                load.host.cpu_millis = load.host.cpu_millis.max(capacity.cpu_millis);
                load.host.memory_mb = load.host.memory_mb.max(capacity.memory_mb);
                let has_lasting = worker.runs.iter().any(|key| self.is_lasting(key));
                load.lasting_hosts += usize::from(has_lasting);
            }
        }
        for job in self.jobs.values().filter(|job| job.ending.is_none()) {
            if let Some(load) = loads.get_mut(&self.pool_of(job)) {
                add_waiting(load, job);
            }
        }
        loads
    }

    /// Sends hosts that have been idle for long to the spare pool, where they cost nothing.
    fn park_idle(&mut self, loads: &SortedMap<PoolName, PoolLoad>, now: Moment) {
        let mut spare = self.config.pools.iter().filter(|(_, pool)| pool.is_spare);
        let Some(spare) = spare.next().map(|(name, _)| name.clone()) else {
            return;
        };
        let (_, idle) = self.idle_hosts(loads, PoolLoad::hosts_kept, PARK_IDLE_MIN, now);
        for name in idle {
            if let Some(host) = self.hosts.get_mut(&name) {
                host.goal = Some(Goal::Move(spare.clone()));
            }
        }
    }

    /// Hosts that other pools may have, the best last.
    fn donors(&self, loads: &SortedMap<PoolName, PoolLoad>, now: Moment) -> Vec<HostName> {
        let (mut spare, mut idle) = self.idle_hosts(loads, PoolLoad::hosts_needed, IDLE_MIN, now);
        spare.append(&mut idle);
        spare
    }

    /// Hosts of the spare pool, and hosts of others beyond what these keep that have been idle for a
    /// time.
    fn idle_hosts(
        &self,
        loads: &SortedMap<PoolName, PoolLoad>,
        kept: impl Fn(&PoolLoad) -> usize,
        idle_min: Duration,
        now: Moment,
    ) -> (Vec<HostName>, Vec<HostName>) {
        let mut spare = Vec::new();
        let mut idle = Vec::new();
        let mut left: SortedMap<PoolName, usize> = loads
            .iter()
            .map(|(name, load)| (name.clone(), load.hosts.saturating_sub(kept(load))))
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
                worker.runs.is_empty() && now.saturating_sub(worker.busy_at) >= idle_min
            });
            if is_idle {
                *left -= 1;
                idle.push(name.clone());
            }
        }
        (spare, idle)
    }
}

/// Hosts that are needed for an amount of a resource.
fn hosts_for(amount: u64, of_host: u64) -> usize {
    match of_host * FILL_PERCENT / 100 {
        0 => 0,
        usable => amount.div_ceil(usable) as usize,
    }
}

/// Adds what the units of a job need that could run now.
fn add_waiting(load: &mut PoolLoad, job: &Job) {
    for occurrence in &job.occurrences {
        for (step, units) in job.record.steps.iter().zip(&occurrence.steps) {
            if !crate::plan::is_ready(step, occurrence) {
                continue;
            }
            let open = units.iter().filter(|unit| unit.done == Done::No);
            let open: Vec<bool> = open.map(|unit| unit.run.is_none()).collect();
            for _ in open.iter().filter(|waits| **waits) {
                load.waiting += step.room();
            }
            if step.per_worker_max > 0 {
                let hosts = open.len().div_ceil(step.per_worker_max as usize);
                load.spread_hosts = load.spread_hosts.max(hosts);
            }
        }
    }
}
