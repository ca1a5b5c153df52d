//! Distribution of hosts over pools by demand.
//!
//! The queues of different pools have their peaks at different times. For a few seconds, a queue
//! requests more than its pool holds, while most hosts of the other pools are idle; between its
//! peaks, it requests almost nothing. A pool that needs more than it holds therefore gets hosts of
//! other pools. A host moves only once nothing runs on it. If the pools together need more hosts
//! than there are, each gets what it needs up to its baseline, and the rest is divided in
//! proportion to what they need beyond it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Moment;
use crate::PoolName;
use crate::absent_hosts::scale_baselines;
use crate::hosts::Host;
use crate::hosts::HostIntent;
use crate::job::JobRecord;
use crate::job::Resources;
use crate::job::Step;
use crate::live_jobs::FinishState;
use crate::live_jobs::Job;
use crate::messages::HostState;
use crate::sorted_map::SortedMap;
use crate::state::Scheduler;
use crate::worker_reports::FAILED_POLLS_MAX;

/// Time windows for measuring the rate of new work, shortest first. The first window with at least
/// [`ARRIVALS_MIN`] jobs is used, otherwise the last one.
const RATE_WINDOWS: [Duration; 3] =
    [Duration::from_millis(700), Duration::from_millis(1_500), Duration::from_millis(3_000)];
/// Minimum number of jobs in a window for its rate to be more than chance.
const ARRIVALS_MIN: usize = 6;
/// Maximum processors that are planned for new work, as a multiple of those of running and waiting
/// work.
const ARRIVAL_FACTOR_MAX: u64 = 2;
/// Planned utilization of a host's processors, in percent. The rest is lost to units that do not
/// fit together.
const TARGET_UTILIZATION_PERCENT: u64 = 90;
/// Additional hosts for a pool with long-running units, so that these can restart on another host.
const LONG_RUNNING_RESERVE_HOSTS: usize = 1;
/// Time that units must have waited before another host is requested for them.
const STARVED_AFTER: Duration = Duration::from_millis(300);

/// Number of jobs over which the mean work of a job is taken.
const MEAN_JOBS: u64 = 64;

/// Work that was recently submitted to the queues of a pool.
///
/// The work of single jobs differs by an order of magnitude, so that the work of the few jobs in a
/// window says little about those to come. The rate of new work is therefore the rate of jobs times
/// the mean work of many earlier ones.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Times at which jobs were accepted, oldest first.
    arrivals: Vec<Moment>,
    /// Number of jobs in the mean, at most [`MEAN_JOBS`].
    mean_jobs: u64,
    /// Mean work of a job in core-milliseconds.
    mean_work: u64,
}

/// What a pool holds and needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Hosts that belong to the pool or are moving to it.
    pub hosts: usize,
    /// Hosts that the pool had before any host was moved.
    pub baseline_hosts: usize,
    /// Hosts of the pool that count as absent, since their zone is evacuated or lost; not among
    /// `hosts`.
    pub absent_hosts: usize,
    /// Hosts that run long-running units.
    pub long_running_hosts: usize,
    /// Some units have been waiting for a while and fit on none of the pool's workers.
    pub is_starved: bool,
    /// Some long-running units have been waiting for a while and fit on none of the pool's workers.
    pub is_long_running_starved: bool,
    /// Workers that accept new runs.
    pub ready_workers: usize,
    /// Workers that are slow, since they have just started.
    pub cold_workers: usize,
    /// Hosts that are moving to the pool or planned to.
    pub incoming_hosts: usize,
    /// Hosts that are drained for maintenance or under maintenance, and hosts whose workers do not
    /// reply, have ended or are quarantined.
    pub unusable_hosts: usize,
    /// Minimum number of hosts over which the units of a step have to be spread.
    pub spread_hosts_min: usize,
    /// Resources that runs reserve.
    pub running: Resources,
    /// Resources of units that wait and could run now.
    pub waiting: Resources,
    /// Processors that keep up with the recent rate of new work, in thousandths of a core.
    pub arrival_cpu_millis: u64,
    /// Largest processor and memory capacity of any of the pool's workers, or their mean with the
    /// policy [`crate::Policy::ShrunkWorkers`].
    pub host_capacity: Resources,
}

/// Loads of all pools that are not spare.
pub type PoolLoads = SortedMap<PoolName, PoolLoad>;

/// Number of hosts by pool.
pub type HostCounts = SortedMap<PoolName, usize>;

/// Number of hosts that each pool had before any host was moved, as it is stored.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct BaselineHosts {
    /// Number of hosts by pool.
    pub by_pool: HostCounts,
    /// A host has been moved, so the numbers are not updated any more.
    #[serde(rename = "is_settled")]
    pub is_frozen: bool,
}

impl Demand {
    fn add(&mut self, work: u64, accepted_at: Moment, now: Moment) {
        let longest = RATE_WINDOWS[RATE_WINDOWS.len() - 1];
        let is_recent = |at: &Moment| now.saturating_sub(*at) <= longest;
        self.arrivals.retain(is_recent);
        if is_recent(&accepted_at) {
            self.arrivals.push(accepted_at);
        }
        self.mean_jobs = (self.mean_jobs + 1).min(MEAN_JOBS);
        let others = self.mean_work.saturating_mul(self.mean_jobs - 1);
        self.mean_work = others.saturating_add(work) / self.mean_jobs;
    }

    /// Returns the processors that the recent rate of new work keeps busy, in thousandths of a
    /// core.
    fn arrival_cpu_millis(&self, now: Moment) -> u64 {
        let arrivals_within = |window: Duration| {
            self.arrivals.iter().filter(|at| now.saturating_sub(**at) <= window).count()
        };
        let has_enough_arrivals = |window: &&Duration| arrivals_within(**window) >= ARRIVALS_MIN;
        let longest = &RATE_WINDOWS[RATE_WINDOWS.len() - 1];
        let window = *RATE_WINDOWS.iter().find(has_enough_arrivals).unwrap_or(longest);
        let work = self.mean_work.saturating_mul(arrivals_within(window) as u64);
        work.saturating_mul(1_000) / window.as_millis() as u64
    }
}

impl PoolLoad {
    /// Returns the number of hosts that the pool needs now.
    pub fn hosts_needed(&self) -> usize {
        // A host that has not arrived yet may have capacity for the waiting units.
        let have_all_arrived = self.ready_workers >= self.hosts;
        let for_starved = if self.is_starved && have_all_arrived { self.hosts + 1 } else { 0 };
        self.hosts_for_work()
            .max(for_starved)
            .max(self.spread_hosts_min)
            .max(self.hosts_for_long_running())
    }

    /// Returns the number of hosts needed for the resources of what runs, waits and arrives.
    fn hosts_for_work(&self) -> usize {
        let wanted = self.running.plus(&self.waiting);
        let arriving_cpu_millis =
            self.arrival_cpu_millis.min(wanted.cpu_millis * ARRIVAL_FACTOR_MAX);
        let for_cpu =
            hosts_for(wanted.cpu_millis.max(arriving_cpu_millis), self.host_capacity.cpu_millis);
        let for_memory = hosts_for(wanted.memory_mb, self.host_capacity.memory_mb);
        for_cpu.max(for_memory)
    }

    /// Returns how many hosts may be drained while the pool still has those that its work needs.
    /// Without new work these are all, since disruption budgets protect the long-running units.
    pub(crate) fn drainable_hosts(&self) -> usize {
        if self.waiting == Resources::default() && self.arrival_cpu_millis == 0 {
            return self.hosts;
        }
        let usable = self.hosts.saturating_sub(self.incoming_hosts + self.unusable_hosts);
        usable.saturating_sub(self.hosts_for_work())
    }

    /// Returns how many whole hosts the free capacity of `hosts` hosts amounts to.
    pub(crate) fn free_hosts(&self, hosts: usize) -> usize {
        let wanted = self.running.plus(&self.waiting);
        let free = |wanted: u64, of_host: u64| {
            (of_host * hosts as u64).saturating_sub(wanted).checked_div(of_host).unwrap_or(0)
        };
        let free_cpu = free(wanted.cpu_millis, self.host_capacity.cpu_millis);
        let free_memory = free(wanted.memory_mb, self.host_capacity.memory_mb);
        free_cpu.min(free_memory) as usize
    }

    /// Returns the number of hosts needed for long-running units. If such a unit fits on none,
    /// unusable hosts are replaced: a wave may keep some hosts unavailable all the time.
    fn hosts_for_long_running(&self) -> usize {
        if self.long_running_hosts == 0 && !self.is_long_running_starved {
            return 0;
        }
        let wanted = self.long_running_hosts + LONG_RUNNING_RESERVE_HOSTS;
        match (self.is_long_running_starved, self.incoming_hosts) {
            (false, _) => wanted,
            (true, 0) => (wanted + self.unusable_hosts).max(self.hosts + 1),
            (true, _) => wanted + self.unusable_hosts,
        }
    }
}

/// Returns the number of hosts that each pool should hold if there are `total` hosts.
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
    /// Records the work of a job as demand of its pool, from the time at which it was accepted: the
    /// jobs that a new owner restores have not all arrived now.
    pub(crate) fn record_demand(&mut self, record: &JobRecord, accepted_at: Moment, now: Moment) {
        let work = |step: &Step| {
            let expected_ms = self.durations.expected(record, step).as_millis() as u64;
            let unit_work = expected_ms.saturating_mul(step.requested.cpu_millis) / 1_000;
            u64::from(step.count).saturating_mul(unit_work)
        };
        let finite_steps = record.steps.iter().filter(|step| !step.is_long_running);
        let requested_work = finite_steps.map(work).fold(0, u64::saturating_add);
        if requested_work > 0 {
            let demand = self.demand.entry_or(record.pool.clone(), Demand::default);
            demand.add(requested_work, accepted_at, now);
        }
    }

    /// Restores the baseline number of hosts of each pool.
    pub fn restore_baseline_hosts(&mut self, baseline_hosts: BaselineHosts) {
        self.baseline_hosts = baseline_hosts;
    }

    /// Returns what each pool that is not spare holds and needs.
    pub fn pool_loads(&self, now: Moment) -> PoolLoads {
        let pools = self.config.pools.iter().filter(|(_, pool)| !pool.is_spare);
        let mut loads: PoolLoads =
            pools.map(|(name, _)| (name.clone(), PoolLoad::default())).collect();
        for (name, load) in loads.iter_mut() {
            let has_waited_long = |since: &Moment| now.saturating_sub(*since) >= STARVED_AFTER;
            load.is_starved = self.starved_since.get(name).is_some_and(has_waited_long);
            load.is_long_running_starved =
                self.long_running_starved_since.get(name).is_some_and(has_waited_long);
            load.arrival_cpu_millis =
                self.demand.get(name).map_or(0, |demand| demand.arrival_cpu_millis(now));
            load.baseline_hosts = self.baseline_hosts.by_pool.get(name).copied().unwrap_or(0);
        }
        for host in self.hosts.values().filter(|host| host.entry.state != HostState::Down) {
            if let Some(load) = loads.get_mut(host.target_pool()) {
                if self.is_absent(host) {
                    load.absent_hosts += 1;
                    continue;
                }
                load.hosts += 1;
                let is_incoming = host.is_moving(now);
                load.incoming_hosts += usize::from(is_incoming);
                load.unusable_hosts += usize::from(!is_incoming && self.is_unusable(host, now));
            }
        }
        for worker in self.workers.values() {
            if let Some(load) = loads.get_mut(&worker.registration.pool) {
                load.running += self.lasting_reservation(worker);
                load.ready_workers += usize::from(self.accepts_runs(worker, now));
                load.cold_workers += usize::from(worker.is_registered && worker.is_cold(now));
                let capacity = worker.registration.capacity;
                load.host_capacity.cpu_millis =
                    load.host_capacity.cpu_millis.max(capacity.cpu_millis);
                load.host_capacity.memory_mb = load.host_capacity.memory_mb.max(capacity.memory_mb);
                load.long_running_hosts += usize::from(worker.long_running_runs > 0);
            }
        }
        scale_baselines(&mut loads);
        self.use_present_capacity(&mut loads);
        for job in self.jobs.values().filter(|job| job.final_state.is_none()) {
            if let Some(load) = loads.get_mut(&self.pool_of(&job.record)) {
                add_waiting(load, job);
            }
        }
        loads
    }

    /// Returns true if a host is not expected to run new units.
    fn is_unusable(&self, host: &Host, now: Moment) -> bool {
        let is_leaving = matches!(host.intent, Some(HostIntent::Maintain(_)));
        if is_leaving || host.entry.state == HostState::InMaintenance {
            return true;
        }
        let Some(worker) = host.entry.worker.as_ref().and_then(|id| self.workers.get(id)) else {
            // A host that was found recently may still be starting its worker.
            return host.had_worker;
        };
        !worker.is_registered
            || worker.failed_polls >= FAILED_POLLS_MAX
            || self.failure_history.is_quarantined(&worker.registration.id, now)
    }

    /// Records how many hosts each pool has, until the first host is moved.
    pub(crate) fn record_baseline_hosts(&mut self, loads: &PoolLoads) {
        if self.baseline_hosts.is_frozen {
            return;
        }
        for (name, load) in loads.iter() {
            let baseline = self.baseline_hosts.by_pool.entry_or(name.clone(), || 0);
            if load.hosts > *baseline {
                *baseline = load.hosts;
                self.is_baseline_hosts_dirty = true;
            }
        }
    }
}

/// Returns the number of hosts needed for an amount of a resource.
fn hosts_for(amount: u64, of_host: u64) -> usize {
    match of_host * TARGET_UTILIZATION_PERCENT / 100 {
        0 => 0,
        usable => amount.div_ceil(usable) as usize,
    }
}

/// Adds the resources of the units of a job that wait and could run now.
fn add_waiting(load: &mut PoolLoad, job: &Job) {
    for occurrence in &job.occurrences {
        for (step, units) in job.record.steps.iter().zip(&occurrence.steps) {
            if !crate::plan::is_ready(step, occurrence) {
                continue;
            }
            let unfinished =
                units.iter().filter(|unit| unit.finish_state == FinishState::Unfinished);
            let unfinished: Vec<bool> = unfinished.map(|unit| unit.run.is_none()).collect();
            for _ in unfinished.iter().filter(|waits| **waits) {
                load.waiting += step.reservation();
            }
            if step.per_worker_max > 0 {
                let hosts = unfinished.len().div_ceil(step.per_worker_max as usize);
                load.spread_hosts_min = load.spread_hosts_min.max(hosts);
            }
        }
    }
}
