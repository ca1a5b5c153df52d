//! Hosts follow the demand: a pool that asks for more than it holds gets hosts of other pools.
//!
//! The pattern that this answers: the queues of the pools have their peaks by turns. Each asks for a
//! few seconds for more than its pool holds, and for next to nothing in between, so that most hosts
//! of the other pools are idle meanwhile. A host moves only once nothing runs on it. When the pools ask
//! for more than there is, each keeps what is its own, and the rest is divided by what they ask for
//! beyond that.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Moment;
use crate::PoolName;
use crate::ends::MISSES_MAX;
use crate::hosts::Goal;
use crate::hosts::Host;
use crate::job::JobRecord;
use crate::job::Resources;
use crate::job::Step;
use crate::live::Done;
use crate::live::Job;
use crate::report::HostState;
use crate::sorted::SortedMap;
use crate::state::Scheduler;

/// Times over which the rate of new work is taken, the shortest first: the first one in which
/// [`ARRIVALS_MIN`] jobs came, else the last.
const RATE_WINDOWS: [Duration; 3] =
    [Duration::from_millis(700), Duration::from_millis(1_500), Duration::from_millis(3_000)];
/// Jobs from which on a rate says more than chance.
const ARRIVALS_MIN: usize = 6;
/// What new work counts for at most, as a multiple of what runs and waits.
const RATE_PER_WANTED_MAX: u64 = 2;
/// Part of a host's processors that is planned to be in use, in percent; the rest is lost to units that
/// do not fit together.
const FILL_PERCENT: u64 = 90;
/// Hosts that a pool with units that last holds beside those on which they run, for those that have to
/// start again.
const LASTING_RESERVE: usize = 1;
/// Time for which units must have waited before another host is fetched for them.
const STARVED_AFTER: Duration = Duration::from_millis(300);

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
    /// Hosts that it had at first.
    pub baseline_hosts: usize,
    /// Hosts on which units that last run.
    pub long_running_hosts: usize,
    /// Units have waited for a while that fit on none of its workers.
    pub is_starved: bool,
    /// Units that last have waited for a while that fit on none of its workers.
    pub is_lasting_starved: bool,
    /// Workers that take new runs.
    pub ready_workers: usize,
    /// Hosts that are on their way to it.
    pub incoming_hosts: usize,
    /// Hosts that are being maintained or emptied for it, and those whose workers do not answer, have ended, or are in
    /// quarantine.
    pub unusable_hosts: usize,
    /// Hosts over which the units of a step must be spread.
    pub spread_hosts: usize,
    /// What runs.
    pub running: Resources,
    /// What waits and could run now.
    pub waiting: Resources,
    /// Thousandths of cores that the work of late needs while it goes on so.
    pub arrival_cpu_millis: u64,
    /// What its largest host has.
    pub host: Resources,
}

/// Loads of the pools that are no spare ones.
pub type PoolLoads = SortedMap<PoolName, PoolLoad>;

/// Number of hosts by pool.
pub type HostCounts = SortedMap<PoolName, usize>;

/// Hosts that the pools had at first, as they are stored.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct BaselineHosts {
    /// Number of hosts by pool.
    pub by_pool: HostCounts,
    /// A host was moved since, so that the numbers stay as they are.
    pub is_settled: bool,
}

impl Demand {
    fn add(&mut self, work: u64, now: Moment) {
        let longest = RATE_WINDOWS[RATE_WINDOWS.len() - 1];
        self.arrivals.retain(|(at, _)| now.saturating_sub(*at) <= longest);
        self.arrivals.push((now, work));
    }

    /// Thousandths of cores that the work of late would keep busy.
    fn arrival_cpu_millis(&self, now: Moment) -> u64 {
        let within = |window: Duration| {
            self.arrivals.iter().filter(move |(at, _)| now.saturating_sub(*at) <= window)
        };
        let enough = |window: &&Duration| within(**window).count() >= ARRIVALS_MIN;
        let longest = &RATE_WINDOWS[RATE_WINDOWS.len() - 1];
        let window = *RATE_WINDOWS.iter().find(enough).unwrap_or(longest);
        let work: u64 = within(window).map(|(_, work)| work).sum();
        work * 1_000 / window.as_millis() as u64
    }
}

impl PoolLoad {
    /// Hosts that the pool needs now.
    pub fn hosts_needed(&self) -> usize {
        let wanted = self.running.plus(&self.waiting);
        let coming = self.arrival_cpu_millis.min(wanted.cpu_millis * RATE_PER_WANTED_MAX);
        let for_cpu = hosts_for(wanted.cpu_millis.max(coming), self.host.cpu_millis);
        let for_memory = hosts_for(wanted.memory_mb, self.host.memory_mb);
        // Hosts that are still to come may have room.
        let have_all_come = self.ready_workers >= self.hosts;
        let for_starved = if self.is_starved && have_all_come { self.hosts + 1 } else { 0 };
        for_cpu.max(for_memory).max(for_starved).max(self.spread_hosts).max(self.for_lasting())
    }

    /// Hosts that it needs for units that last. While one of them finds no room, hosts that are lost or
    /// leave for a wave are replaced: a wave may keep some away all the time.
    fn for_lasting(&self) -> usize {
        if self.long_running_hosts == 0 && !self.is_lasting_starved {
            return 0;
        }
        let wanted = self.long_running_hosts + LASTING_RESERVE;
        match (self.is_lasting_starved, self.incoming_hosts) {
            (false, _) => wanted,
            (true, 0) => (wanted + self.unusable_hosts).max(self.hosts + 1),
            (true, _) => wanted + self.unusable_hosts,
        }
    }
}

/// Hosts that each pool should hold, if there are `total`.
pub fn host_targets(loads: &PoolLoads, total: usize) -> HostCounts {
    let base = |load: &PoolLoad| load.hosts_needed().min(load.baseline_hosts);
    let base_sum: usize = loads.values().map(base).sum();
    let extra_sum: usize = loads.values().map(|load| load.hosts_needed() - base(load)).sum();
    let rest = total.saturating_sub(base_sum);
    let target = |load: &PoolLoad| {
        let extra = load.hosts_needed() - base(load);
        match extra_sum > rest {
            true => base(load) + rest * extra / extra_sum,
            false => load.hosts_needed(),
        }
    };
    loads.iter().map(|(name, load)| (name.clone(), target(load))).collect()
}

impl Scheduler {
    /// Counts what a new job asks for.
    pub(crate) fn count_demand(&mut self, record: &JobRecord, now: Moment) {
        let work = |step: &Step| {
            u64::from(step.count) * step.estimate_ms * step.requested.cpu_millis / 1_000
        };
        let batch = record.steps.iter().filter(|step| !step.is_long_running);
        let asked: u64 = batch.map(work).sum();
        if asked > 0 {
            self.demand.entry_or(record.pool.clone(), Demand::default).add(asked, now);
        }
    }

    /// Takes in how many hosts the pools had at first.
    pub fn restore_baseline_hosts(&mut self, baseline_hosts: BaselineHosts) {
        self.baseline_hosts = baseline_hosts;
    }

    /// How much each pool that is no spare one holds and needs.
    pub fn pool_loads(&self, now: Moment) -> PoolLoads {
        let pools = self.config.pools.iter().filter(|(_, pool)| !pool.is_spare);
        let mut loads: PoolLoads =
            pools.map(|(name, _)| (name.clone(), PoolLoad::default())).collect();
        for (name, load) in loads.iter_mut() {
            let is_long = |since: &Moment| now.saturating_sub(*since) >= STARVED_AFTER;
            load.is_starved = self.starved_since.get(name).is_some_and(is_long);
            load.is_lasting_starved = self.lasting_starved_since.get(name).is_some_and(is_long);
            load.arrival_cpu_millis =
                self.demand.get(name).map_or(0, |demand| demand.arrival_cpu_millis(now));
            load.baseline_hosts = self.baseline_hosts.by_pool.get(name).copied().unwrap_or(0);
        }
        for host in self.hosts.values().filter(|host| host.entry.state != HostState::Down) {
            if let Some(load) = loads.get_mut(host.pool_to_be()) {
                load.hosts += 1;
                let is_coming = host.is_moving(now);
                load.incoming_hosts += usize::from(is_coming);
                load.unusable_hosts += usize::from(!is_coming && self.is_lost(host, now));
            }
        }
        for worker in self.workers.values() {
            if let Some(load) = loads.get_mut(&worker.registration.pool) {
                load.running += worker.used;
                load.ready_workers += usize::from(self.takes_runs(worker, now));
                let capacity = worker.registration.capacity;
                load.host.cpu_millis = load.host.cpu_millis.max(capacity.cpu_millis);
                load.host.memory_mb = load.host.memory_mb.max(capacity.memory_mb);
                let has_lasting = worker.runs.iter().any(|key| self.is_long_running(key));
                load.long_running_hosts += usize::from(has_lasting);
            }
        }
        for job in self.jobs.values().filter(|job| job.final_state.is_none()) {
            if let Some(load) = loads.get_mut(&self.pool_of(job)) {
                add_waiting(load, job);
            }
        }
        loads
    }

    /// True if a host cannot be used, for all that is known.
    fn is_lost(&self, host: &Host, now: Moment) -> bool {
        let is_leaving = matches!(host.goal, Some(Goal::Maintain(_)));
        if is_leaving || host.entry.state == HostState::InMaintenance {
            return true;
        }
        let Some(worker) = host.entry.worker.as_ref().and_then(|id| self.workers.get(id)) else {
            // A host that has just been found may be starting.
            return host.had_worker;
        };
        !worker.is_registered
            || worker.misses >= MISSES_MAX
            || self.evidence.is_quarantined(&worker.registration.id, now)
    }

    /// Notes how many hosts the pools have, until one is moved.
    pub(crate) fn note_own_hosts(&mut self, loads: &PoolLoads) {
        if self.baseline_hosts.is_settled {
            return;
        }
        for (name, load) in loads.iter() {
            let own = self.baseline_hosts.by_pool.entry_or(name.clone(), || 0);
            if load.hosts > *own {
                *own = load.hosts;
                self.is_own_hosts_dirty = true;
            }
        }
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
