//! Simulates maintenance waves over a whole fleet, with failures drawn from a seed.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::SystemTime;

use maintenance::Evidence;
use maintenance::HostEvidence;
use maintenance::HostList;
use maintenance::Moment;
use maintenance::NodeReport;
use maintenance::Probe;
use maintenance::advance_all;
use maintenance::lifecycle::AnyHost;
use maintenance::wave;
use model::Config;
use model::ConfigRow;
use model::HostId;
use model::HostRow;
use model::HostState;
use model::StopReason;
use model::WaveState;
use model::contract::Profile;
use model::wave::HostProgress;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use services::FleetHost;
use services::FleetHostState;
use services::RebootState;

use super::fleet::Shape;
use super::fleet::config;
use super::fleet::with_rows;

/// Virtual time that one tick advances.
const TICK: Duration = Duration::from_secs(30);
/// Number of ticks by which the host list is out of date.
const LIST_LAG_TICKS: usize = 2;
/// Time within which all waves must finish.
const MAINTENANCE_PERIOD: Duration = Duration::from_secs(49 * 24 * 3_600);
/// Shortest and longest duration of a drain, in seconds.
const DRAIN_RANGE_S: (u64, u64) = (10, 180);
/// Shortest and longest duration of a reboot, in seconds.
const REBOOT_RANGE_S: (u64, u64) = (240, 720);
/// Shortest and longest duration of a repair, in seconds.
const REPAIR_RANGE_S: (u64, u64) = (3_600, 14_400);
/// Fraction of the reboots that never end.
const STUCK_REBOOT_FRACTION: f64 = 0.005;
/// Fraction of the reboots after which the backend server does not respond.
const BROKEN_REBOOT_FRACTION: f64 = 0.005;

/// Rates of failures that maintenance does not cause.
#[derive(Clone, Copy, Debug)]
pub struct Failures {
    /// Failures of single hosts, per host and day.
    pub host_per_day: f64,
    /// Failures of a whole rack, per day in the fleet.
    pub rack_per_day: f64,
    /// Failures of a whole availability zone, per day in the fleet.
    pub zone_per_day: f64,
}

/// How hosts are chosen for maintenance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Waves, as planned by the functions that a node calls.
    Waves,
    /// Baseline: one host of the fleet at a time.
    OneAtATime,
    /// Baseline: a tenth of each pool at a time, whatever has failed.
    FixedPart,
}

/// Result of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaveResult {
    /// Time until maintenance of every host had finished; `MAINTENANCE_PERIOD` if it did not.
    pub time: Duration,
    /// True if maintenance of every host finished in time.
    pub is_finished: bool,
    /// Number of drains that exceeded an availability budget when they started, according to the
    /// actual state of the hosts.
    pub violations: u64,
    /// Number of times that later failures exceeded a budget that they would not have exceeded
    /// without maintenance.
    pub exceeded_by_failures: u64,
    /// Time that hosts were unavailable for maintenance, in host hours.
    pub maintenance_host_hours: f64,
    /// Number of failures of hosts that maintenance did not cause.
    pub failed_hosts: u64,
}

/// Actual state of a host, which the configuration and the host list follow with a delay.
#[derive(Clone, Copy, Debug, Default)]
struct ActualHost {
    boot_count: u64,
    /// Tick at which a failure is repaired; `None` if the host has not failed.
    down_until: Option<u64>,
    /// Latest reboot: epoch of the host's row, and the tick at which it ends; `u64::MAX` if it
    /// never does.
    reboot: Option<(u64, u64)>,
    /// Tick at which a backend server that did not respond after a reboot is repaired.
    broken_until: Option<u64>,
    /// Latest drain: epoch of the host's row, and the tick from which the host runs nothing.
    drain: Option<(u64, u64)>,
}

struct Simulation {
    config: Config,
    /// By position in `config.hosts`.
    actual_hosts: Vec<ActualHost>,
    /// Number of the service of each host; `None` for a spare host.
    service_indices: Vec<Option<usize>>,
    service_count: usize,
    unavailable_max: u32,
    /// Host lists of the last ticks, the oldest first; the first is the one that decisions see.
    host_lists: VecDeque<Vec<FleetHost>>,
    rng: SmallRng,
    failures: Failures,
    policy: Policy,
    tick: u64,
    /// Whether each service exceeded its budget at the last tick, although failures alone did not.
    was_over: Vec<bool>,
    /// Hosts whose maintenance has not started, for the baseline policies.
    waiting: Vec<usize>,
    result: WaveResult,
}

/// Simulates the maintenance of all hosts of a fleet.
pub fn run(
    seed: u64,
    shape: Shape,
    profile: Profile,
    policy: Policy,
    failures: Failures,
) -> WaveResult {
    let mut simulation = Simulation::new(seed, shape, profile, policy, failures);
    let ticks = MAINTENANCE_PERIOD.as_secs() / TICK.as_secs();
    while simulation.tick < ticks && !simulation.is_finished() {
        simulation.run_tick();
    }
    simulation.result.is_finished = simulation.is_finished();
    simulation.result.time = TICK * simulation.tick as u32;
    simulation.result
}

impl Simulation {
    fn new(seed: u64, shape: Shape, profile: Profile, policy: Policy, failures: Failures) -> Self {
        let mut config = config(shape, profile);
        let mut services_by_name: Vec<_> =
            config.contracts.iter().flat_map(|c| &c.services).collect();
        services_by_name.sort_by(|a, b| a.name.cmp(&b.name));
        let service_index = |row: &HostRow| {
            let service = config.service_of(row)?;
            services_by_name.binary_search_by(|other| other.name.cmp(&service.name)).ok()
        };
        let service_indices: Vec<_> = config.hosts.iter().map(service_index).collect();
        let service_count = services_by_name.len();
        let moment = Moment { version: config.version + 1, now: time_at(0) };
        if policy == Policy::Waves {
            let pools = config.contracts.iter().flat_map(|contract| &contract.pools);
            let waves = pools.filter_map(|pool| {
                let mut wave = wave::plan(&config, &pool.name, moment).ok()?;
                wave.state = WaveState::Running;
                Some(ConfigRow::Wave(wave))
            });
            config = with_rows(&config, waves.collect());
        }
        let hosts = config.hosts.len();
        Self {
            actual_hosts: vec![ActualHost { boot_count: 1, ..ActualHost::default() }; hosts],
            service_indices,
            service_count,
            unavailable_max: shape.unavailable_max,
            host_lists: VecDeque::new(),
            rng: SmallRng::seed_from_u64(seed),
            failures,
            policy,
            tick: 0,
            was_over: vec![false; service_count],
            waiting: (0..hosts).collect(),
            result: WaveResult::default(),
            config,
        }
    }

    fn is_finished(&self) -> bool {
        match self.policy {
            Policy::Waves => self.config.waves.iter().all(|wave| {
                wave.state == WaveState::Done
                    || wave
                        .hosts
                        .iter()
                        .all(|h| matches!(h.progress, HostProgress::Done | HostProgress::Failed))
            }),
            _ => self.waiting.is_empty() && !self.hosts_under_maintenance().any(|_| true),
        }
    }

    fn run_tick(&mut self) {
        self.tick += 1;
        self.fail_and_repair();
        self.publish_host_list();
        let evidence = self.gather_evidence();
        let moment = Moment { version: self.config.version + 1, now: time_at(self.tick) };
        let mut evidence = evidence;
        let mut changes = advance_all(&self.config, &evidence, |_| true, moment);
        if changes.drains().next().is_some() {
            // A node probes the other hosts before it starts drains.
            evidence.unresponsive = self.unresponsive();
            changes = advance_all(&self.config, &evidence, |_| true, moment);
        }
        let mut started: Vec<usize> = Vec::new();
        for row in &changes.hosts {
            let index = self.host_index(row);
            if row.state == HostState::Draining
                && self.config.hosts[index].state == HostState::Serving
            {
                started.push(index);
            }
        }
        self.commit(changes.rows());
        if self.policy != Policy::Waves {
            started = self.start_by_baseline_policy();
        }
        self.check_budgets(&started);
    }

    fn commit(&mut self, rows: Vec<ConfigRow>) {
        if rows.is_empty() {
            return;
        }
        self.config = with_rows(&self.config, rows);
    }

    fn host_index(&self, row: &HostRow) -> usize {
        let found = self.config.hosts.binary_search_by(|other| other.id().cmp(row.id()));
        found.expect("no host is added or removed")
    }

    /// Draws new failures, and ends repairs and reboots whose time has come.
    fn fail_and_repair(&mut self) {
        let days = TICK.as_secs_f64() / 86_400.0;
        let hosts = self.actual_hosts.len();
        if self.rng.random_bool((self.failures.host_per_day * hosts as f64 * days).min(1.0)) {
            let index = self.rng.random_range(0..hosts);
            self.fail_hosts(|_, other| other == index);
        }
        if self.rng.random_bool((self.failures.rack_per_day * days).min(1.0)) {
            let rack = self.config.hosts[self.rng.random_range(0..hosts)].spec.rack.clone();
            self.fail_hosts(|row, _| row.spec.rack == rack);
        }
        if self.rng.random_bool((self.failures.zone_per_day * days).min(1.0)) {
            let zone = self.config.hosts[self.rng.random_range(0..hosts)].spec.zone.clone();
            self.fail_hosts(|row, _| row.spec.zone == zone);
        }
        let tick = self.tick;
        for host in &mut self.actual_hosts {
            if host.down_until.is_some_and(|until| until <= tick) {
                host.down_until = None;
                host.boot_count += 1;
            }
            if host.broken_until.is_some_and(|until| until <= tick) {
                host.broken_until = None;
            }
            if host.reboot.is_some_and(|(_, until)| until == tick) {
                host.boot_count += 1;
            }
        }
    }

    /// Lets the hosts fail for which `is_affected` returns true.
    fn fail_hosts(&mut self, is_affected: impl Fn(&HostRow, usize) -> bool) {
        let affected: Vec<usize> = (0..self.actual_hosts.len())
            .filter(|index| is_affected(&self.config.hosts[*index], *index))
            .collect();
        for index in affected {
            let until = self.tick + self.random_ticks(REPAIR_RANGE_S);
            self.actual_hosts[index].down_until = Some(until);
            self.actual_hosts[index].reboot = None;
            self.result.failed_hosts += 1;
        }
    }

    /// Draws a duration between two bounds; returns it in ticks, at least one.
    fn random_ticks(&mut self, (min_s, max_s): (u64, u64)) -> u64 {
        (self.rng.random_range(min_s..=max_s)).div_ceil(TICK.as_secs()).max(1)
    }

    fn is_up(&self, index: usize) -> bool {
        let host = &self.actual_hosts[index];
        host.down_until.is_none() && host.reboot.is_none_or(|(_, until)| until <= self.tick)
    }

    /// Adds the host list of this tick.
    fn publish_host_list(&mut self) {
        let now = time_at(self.tick);
        let entries =
            (0..self.actual_hosts.len()).filter(|index| self.is_up(*index)).map(|index| {
                let row = &self.config.hosts[index];
                FleetHost {
                    id: row.id().clone(),
                    address: row.spec.address,
                    boot_count: self.actual_hosts[index].boot_count,
                    state: FleetHostState::Live,
                    seen_at: now,
                }
            });
        let entries = entries.collect();
        self.host_lists.push_back(entries);
        if self.host_lists.len() > LIST_LAG_TICKS + 1 {
            self.host_lists.pop_front();
        }
    }

    /// Collects what a node observes of the hosts.
    fn gather_evidence(&mut self) -> Evidence {
        let mut hosts = Vec::new();
        for index in 0..self.config.hosts.len() {
            let row = self.config.hosts[index].clone();
            if matches!(row.state, HostState::Serving | HostState::Drained) {
                continue;
            }
            if row.state == HostState::Failed {
                self.update_repair(index);
                continue;
            }
            let mut host_evidence = HostEvidence::none(&row);
            match row.state {
                HostState::Draining if self.update_drain(index) => {
                    let config_version = Some(self.config.version);
                    host_evidence.reports = vec![NodeReport { config_version, running: Some(0) }];
                }
                HostState::Rebooting => host_evidence.reboot = Some(self.update_reboot(index)),
                HostState::Returning => {
                    let is_responding =
                        self.is_up(index) && self.actual_hosts[index].broken_until.is_none();
                    let healthy = Probe::Healthy { at: time_at(self.tick) };
                    host_evidence.probe =
                        Some(if is_responding { healthy } else { Probe::Unresponsive });
                }
                _ => {}
            }
            hosts.push(host_evidence);
        }
        let list = HostList::new(self.host_lists.front().cloned().unwrap_or_default());
        Evidence { gathered_at: time_at(self.tick), hosts, list, unresponsive: Vec::new() }
    }

    /// Simulates operators, who repair a host that is broken after its reboot or never returned.
    fn update_repair(&mut self, index: usize) {
        let until = self.tick + self.random_ticks(REPAIR_RANGE_S);
        let host = &mut self.actual_hosts[index];
        if host.reboot.is_some_and(|(_, end)| end == u64::MAX) {
            host.reboot = None;
            host.down_until = Some(until);
        }
        let row = &self.config.hosts[index];
        let is_repaired = host.broken_until.is_none() && host.down_until.is_none();
        if row.reason == Some(StopReason::Broken) && is_repaired {
            let moment = Moment { version: self.config.version + 1, now: time_at(self.tick) };
            let returned = maintenance::return_host(&self.config, row.id(), moment);
            self.commit(returned.ok().map(ConfigRow::Host).into_iter().collect());
        }
    }

    /// Starts the drain of a host if necessary; returns true once the host runs nothing.
    fn update_drain(&mut self, index: usize) -> bool {
        let epoch = self.config.hosts[index].epoch;
        if self.actual_hosts[index].drain.is_none_or(|(of_epoch, _)| of_epoch != epoch) {
            let until = self.tick + self.random_ticks(DRAIN_RANGE_S);
            self.actual_hosts[index].drain = Some((epoch, until));
        }
        self.actual_hosts[index].drain.is_some_and(|(_, until)| until <= self.tick)
    }

    /// Starts the reboot of a host if necessary; returns its state.
    fn update_reboot(&mut self, index: usize) -> RebootState {
        let epoch = self.config.hosts[index].epoch;
        if self.actual_hosts[index].reboot.is_none_or(|(of_epoch, _)| of_epoch != epoch) {
            let is_stuck = self.rng.random_bool(STUCK_REBOOT_FRACTION);
            let until =
                if is_stuck { u64::MAX } else { self.tick + self.random_ticks(REBOOT_RANGE_S) };
            let is_broken = self.rng.random_bool(BROKEN_REBOOT_FRACTION);
            let repaired_at = self.tick + self.random_ticks(REPAIR_RANGE_S);
            let host = &mut self.actual_hosts[index];
            host.reboot = Some((epoch, until));
            host.broken_until = is_broken.then_some(repaired_at);
        }
        let has_ended =
            self.actual_hosts[index].reboot.is_some_and(|(_, until)| until <= self.tick);
        if has_ended { RebootState::Done } else { RebootState::Running }
    }

    /// Returns the hosts that are down.
    fn unresponsive(&self) -> Vec<HostId> {
        let unresponsive = (0..self.actual_hosts.len()).filter(|index| !self.is_up(*index));
        unresponsive.map(|index| self.config.hosts[index].id().clone()).collect()
    }

    fn hosts_under_maintenance(&self) -> impl Iterator<Item = &HostRow> {
        self.config.hosts.iter().filter(|row| is_under_maintenance(row))
    }

    /// Starts the maintenance of hosts under a baseline policy; returns the hosts.
    fn start_by_baseline_policy(&mut self) -> Vec<usize> {
        let mut started = Vec::new();
        let moment = Moment { version: self.config.version + 1, now: time_at(self.tick) };
        let mut under_maintenance = self.hosts_under_maintenance().count();
        for index in self.waiting.clone() {
            if self.policy == Policy::OneAtATime && under_maintenance > 0 {
                break;
            }
            let row = &self.config.hosts[index];
            let AnyHost::Serving(host) = AnyHost::from(row) else {
                continue;
            };
            if self.policy == Policy::FixedPart {
                let pool = self.config.hosts.iter().filter(|o| o.spec.pool == row.spec.pool);
                let concurrency_max = pool.clone().count().div_ceil(10);
                let pool_under_maintenance =
                    pool.filter(|other| is_under_maintenance(other)).count();
                if pool_under_maintenance >= concurrency_max {
                    continue;
                }
            }
            let drained = host.drain(StopReason::Wave("simple".into()), None, moment).into_row();
            self.waiting.retain(|other| *other != index);
            self.commit(vec![ConfigRow::Host(drained)]);
            under_maintenance += 1;
            started.push(index);
        }
        started
    }

    /// Compares the availability budgets with the actual state of the hosts.
    fn check_budgets(&mut self, started: &[usize]) {
        let mut unavailable = vec![0_u32; self.service_count];
        let mut failed = vec![0_u32; self.service_count];
        for (index, row) in self.config.hosts.iter().enumerate() {
            if is_under_maintenance(row) {
                self.result.maintenance_host_hours += TICK.as_secs_f64() / 3_600.0;
            }
            let Some(service) = self.service_indices[index] else {
                continue;
            };
            let is_down = self.actual_hosts[index].down_until.is_some();
            let is_lost = is_down || row.state == HostState::Failed;
            unavailable[service] += u32::from(is_lost || row.state != HostState::Serving);
            failed[service] += u32::from(
                is_lost || (!is_under_maintenance(row) && row.state != HostState::Serving),
            );
        }
        for index in started {
            if let Some(service) = self.service_indices[*index] {
                let is_violation = unavailable[service] > self.unavailable_max;
                self.result.violations += u64::from(is_violation);
            }
        }
        for service in 0..self.service_count {
            let max = self.unavailable_max;
            let is_over = unavailable[service] > max && failed[service] <= max;
            let is_new = is_over && !self.was_over[service];
            self.result.exceeded_by_failures += u64::from(is_new);
            self.was_over[service] = is_over;
        }
    }
}

/// Returns true while a host is unavailable for maintenance.
fn is_under_maintenance(row: &HostRow) -> bool {
    matches!(row.reason, Some(StopReason::Wave(_)))
        && !matches!(row.state, HostState::Serving | HostState::Failed)
}

fn time_at(tick: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000) + TICK * tick as u32
}
