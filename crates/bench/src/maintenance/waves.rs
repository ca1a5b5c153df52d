//! Waves over a whole fleet, with failures drawn from a seed.

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
use super::fleet::after;
use super::fleet::config;

/// Time of one step.
const TICK: Duration = Duration::from_secs(30);
/// Ticks that the host list lags.
const LAG_TICKS: usize = 2;
/// Time that all waves have.
const ROUND: Duration = Duration::from_secs(49 * 24 * 3_600);
/// Shortest and longest time of a drain, in seconds.
const DRAIN_S: (u64, u64) = (10, 180);
/// Shortest and longest time of a reboot, in seconds.
const REBOOT_S: (u64, u64) = (240, 720);
/// Shortest and longest time of a repair, in seconds.
const REPAIR_S: (u64, u64) = (3_600, 14_400);
/// Part of all reboots that never end.
const ENDLESS_PART: f64 = 0.005;
/// Part of all reboots after which the backend server does not answer.
const BROKEN_PART: f64 = 0.005;

/// How often hosts fail by themselves.
#[derive(Clone, Copy, Debug)]
pub struct Failures {
    /// Failures of single hosts, for each host and day.
    pub host_per_day: f64,
    /// Losses of a rack, for the fleet and day.
    pub rack_per_day: f64,
    /// Losses of an availability zone, for the fleet and day.
    pub zone_per_day: f64,
}

/// Which hosts are started when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The functions that a node calls.
    Waves,
    /// One host of the fleet at a time.
    OneAtATime,
    /// A tenth of each pool at a time, whatever has failed.
    FixedPart,
}

/// What a run showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaveRun {
    /// Time until every host had its turn; `ROUND` if some never had.
    pub time: Duration,
    /// True if every host had its turn.
    pub finished: bool,
    /// Drains that began although they broke the budget, as hosts really were.
    pub violations: u64,
    /// Times that later failures broke a budget that they had not broken without planned work.
    pub overtaken: u64,
    /// Time that hosts were out for planned work, in host hours.
    pub out_hours: f64,
    /// Hosts that failed by themselves.
    pub failed: u64,
}

/// A host as it really is.
#[derive(Clone, Copy, Debug, Default)]
struct Truth {
    boot_count: u64,
    /// Tick at which a failure is repaired.
    down_until: Option<u64>,
    /// Reboot that is going on: epoch of its row, tick of its end, and whether it ends well.
    reboot: Option<(u64, u64)>,
    broken_until: Option<u64>,
    /// Epoch of the row that drains, and the tick at which it runs nothing.
    drain: Option<(u64, u64)>,
}

struct Run {
    config: Config,
    truths: Vec<Truth>,
    /// Service of each host, as a number.
    services: Vec<Option<usize>>,
    service_count: usize,
    unavailable_max: u32,
    lists: VecDeque<Vec<FleetHost>>,
    rng: SmallRng,
    failures: Failures,
    policy: Policy,
    tick: u64,
    over: Vec<bool>,
    /// Hosts that have not had their turn, for the simpler policies.
    waiting: Vec<usize>,
    result: WaveRun,
}

/// Runs all waves of a fleet.
pub fn run(
    seed: u64,
    shape: Shape,
    profile: Profile,
    policy: Policy,
    failures: Failures,
) -> WaveRun {
    let mut run = Run::new(seed, shape, profile, policy, failures);
    let ticks = ROUND.as_secs() / TICK.as_secs();
    while run.tick < ticks && !run.is_over() {
        run.step();
    }
    run.result.finished = run.is_over();
    run.result.time = TICK * run.tick as u32;
    run.result
}

impl Run {
    fn new(seed: u64, shape: Shape, profile: Profile, policy: Policy, failures: Failures) -> Self {
        let mut config = config(shape, profile);
        let mut names: Vec<_> = config.contracts.iter().flat_map(|c| &c.services).collect();
        names.sort_by(|a, b| a.name.cmp(&b.name));
        let number = |row: &HostRow| {
            let service = config.service_of(row)?;
            names.binary_search_by(|other| other.name.cmp(&service.name)).ok()
        };
        let services: Vec<_> = config.hosts.iter().map(number).collect();
        let service_count = names.len();
        let moment = Moment { version: config.version + 1, now: at(0) };
        if policy == Policy::Waves {
            let pools = config.contracts.iter().flat_map(|contract| &contract.pools);
            let waves = pools.filter_map(|pool| {
                let mut wave = wave::plan(&config, &pool.name, moment).ok()?;
                wave.state = WaveState::Running;
                Some(ConfigRow::Wave(wave))
            });
            config = after(&config, waves.collect());
        }
        let hosts = config.hosts.len();
        Self {
            truths: vec![Truth { boot_count: 1, ..Truth::default() }; hosts],
            services,
            service_count,
            unavailable_max: shape.unavailable_max,
            lists: VecDeque::new(),
            rng: SmallRng::seed_from_u64(seed),
            failures,
            policy,
            tick: 0,
            over: vec![false; service_count],
            waiting: (0..hosts).collect(),
            result: WaveRun::default(),
            config,
        }
    }

    fn is_over(&self) -> bool {
        match self.policy {
            Policy::Waves => self.config.waves.iter().all(|wave| {
                wave.state == WaveState::Done
                    || wave
                        .hosts
                        .iter()
                        .all(|h| matches!(h.progress, HostProgress::Done | HostProgress::Failed))
            }),
            _ => self.waiting.is_empty() && !self.in_work().any(|_| true),
        }
    }

    fn step(&mut self) {
        self.tick += 1;
        self.fail_and_repair();
        self.list();
        let evidence = self.gather();
        let moment = Moment { version: self.config.version + 1, now: at(self.tick) };
        let mut evidence = evidence;
        let mut step = advance_all(&self.config, &evidence, |_| true, moment);
        if step.drains().next().is_some() {
            // As a node does, the hosts beside them are probed before drains begin.
            evidence.unresponsive = self.unresponsive();
            step = advance_all(&self.config, &evidence, |_| true, moment);
        }
        let mut started: Vec<usize> = Vec::new();
        for row in &step.hosts {
            let index = self.index(row);
            if row.state == HostState::Draining
                && self.config.hosts[index].state == HostState::Serving
            {
                started.push(index);
            }
        }
        self.commit(step.rows());
        if self.policy != Policy::Waves {
            started = self.start_simply();
        }
        self.judge(&started);
    }

    fn commit(&mut self, rows: Vec<ConfigRow>) {
        if rows.is_empty() {
            return;
        }
        self.config = after(&self.config, rows);
    }

    fn index(&self, row: &HostRow) -> usize {
        let found = self.config.hosts.binary_search_by(|other| other.id().cmp(row.id()));
        found.expect("the fleet keeps its hosts")
    }

    fn fail_and_repair(&mut self) {
        let days = TICK.as_secs_f64() / 86_400.0;
        let hosts = self.truths.len();
        if self.rng.random_bool((self.failures.host_per_day * hosts as f64 * days).min(1.0)) {
            let index = self.rng.random_range(0..hosts);
            self.lose(|_, other| other == index);
        }
        if self.rng.random_bool((self.failures.rack_per_day * days).min(1.0)) {
            let rack = self.config.hosts[self.rng.random_range(0..hosts)].spec.rack.clone();
            self.lose(|row, _| row.spec.rack == rack);
        }
        if self.rng.random_bool((self.failures.zone_per_day * days).min(1.0)) {
            let zone = self.config.hosts[self.rng.random_range(0..hosts)].spec.zone.clone();
            self.lose(|row, _| row.spec.zone == zone);
        }
        let tick = self.tick;
        for truth in &mut self.truths {
            if truth.down_until.is_some_and(|until| until <= tick) {
                truth.down_until = None;
                truth.boot_count += 1;
            }
            if truth.broken_until.is_some_and(|until| until <= tick) {
                truth.broken_until = None;
            }
            if truth.reboot.is_some_and(|(_, until)| until == tick) {
                truth.boot_count += 1;
            }
        }
    }

    fn lose(&mut self, is_lost: impl Fn(&HostRow, usize) -> bool) {
        let lost: Vec<usize> = (0..self.truths.len())
            .filter(|index| is_lost(&self.config.hosts[*index], *index))
            .collect();
        for index in lost {
            let until = self.tick + self.ticks(REPAIR_S);
            self.truths[index].down_until = Some(until);
            self.truths[index].reboot = None;
            self.result.failed += 1;
        }
    }

    /// Ticks of a time between bounds, at least one.
    fn ticks(&mut self, (least_s, most_s): (u64, u64)) -> u64 {
        (self.rng.random_range(least_s..=most_s)).div_ceil(TICK.as_secs()).max(1)
    }

    fn is_up(&self, index: usize) -> bool {
        let truth = &self.truths[index];
        truth.down_until.is_none() && truth.reboot.is_none_or(|(_, until)| until <= self.tick)
    }

    fn list(&mut self) {
        let now = at(self.tick);
        let entries = (0..self.truths.len()).filter(|index| self.is_up(*index)).map(|index| {
            let row = &self.config.hosts[index];
            FleetHost {
                id: row.id().clone(),
                address: row.spec.address,
                boot_count: self.truths[index].boot_count,
                state: FleetHostState::Live,
                seen_at: now,
            }
        });
        let entries = entries.collect();
        self.lists.push_back(entries);
        if self.lists.len() > LAG_TICKS + 1 {
            self.lists.pop_front();
        }
    }

    fn gather(&mut self) -> Evidence {
        let mut hosts = Vec::new();
        for index in 0..self.config.hosts.len() {
            let row = self.config.hosts[index].clone();
            if matches!(row.state, HostState::Serving | HostState::Drained) {
                continue;
            }
            if row.state == HostState::Failed {
                self.repair(index);
                continue;
            }
            let mut own = HostEvidence::none(&row);
            match row.state {
                HostState::Draining if self.has_drained(index) => {
                    let config_version = Some(self.config.version);
                    own.reports = vec![NodeReport { config_version, running: Some(0) }];
                }
                HostState::Rebooting => own.reboot = Some(self.reboot(index)),
                HostState::Returning => {
                    let answers = self.is_up(index) && self.truths[index].broken_until.is_none();
                    let healthy = Probe::Healthy { at: at(self.tick) };
                    own.probe = Some(if answers { healthy } else { Probe::Unresponsive });
                }
                _ => {}
            }
            hosts.push(own);
        }
        let list = HostList::new(self.lists.front().cloned().unwrap_or_default());
        Evidence { gathered_at: at(self.tick), hosts, list, unresponsive: Vec::new() }
    }

    /// People repair hosts that came back broken or did not come back.
    fn repair(&mut self, index: usize) {
        let until = self.tick + self.ticks(REPAIR_S);
        let truth = &mut self.truths[index];
        if truth.reboot.is_some_and(|(_, end)| end == u64::MAX) {
            truth.reboot = None;
            truth.down_until = Some(until);
        }
        let row = &self.config.hosts[index];
        let is_repaired = truth.broken_until.is_none() && truth.down_until.is_none();
        if row.reason == Some(StopReason::Broken) && is_repaired {
            let moment = Moment { version: self.config.version + 1, now: at(self.tick) };
            let returned = maintenance::return_host(&self.config, row.id(), moment);
            self.commit(returned.ok().map(ConfigRow::Host).into_iter().collect());
        }
    }

    fn has_drained(&mut self, index: usize) -> bool {
        let epoch = self.config.hosts[index].epoch;
        if self.truths[index].drain.is_none_or(|(other, _)| other != epoch) {
            let until = self.tick + self.ticks(DRAIN_S);
            self.truths[index].drain = Some((epoch, until));
        }
        self.truths[index].drain.is_some_and(|(_, until)| until <= self.tick)
    }

    fn reboot(&mut self, index: usize) -> RebootState {
        let epoch = self.config.hosts[index].epoch;
        if self.truths[index].reboot.is_none_or(|(other, _)| other != epoch) {
            let endless = self.rng.random_bool(ENDLESS_PART);
            let until = if endless { u64::MAX } else { self.tick + self.ticks(REBOOT_S) };
            let broken = self.rng.random_bool(BROKEN_PART);
            let repaired = self.tick + self.ticks(REPAIR_S);
            let truth = &mut self.truths[index];
            truth.reboot = Some((epoch, until));
            truth.broken_until = broken.then_some(repaired);
        }
        let ended = self.truths[index].reboot.is_some_and(|(_, until)| until <= self.tick);
        if ended { RebootState::Done } else { RebootState::Running }
    }

    fn unresponsive(&self) -> Vec<HostId> {
        let unresponsive = (0..self.truths.len()).filter(|index| !self.is_up(*index));
        unresponsive.map(|index| self.config.hosts[index].id().clone()).collect()
    }

    fn in_work(&self) -> impl Iterator<Item = &HostRow> {
        self.config.hosts.iter().filter(|row| is_planned(row))
    }

    /// Starts hosts as the simpler policies do.
    fn start_simply(&mut self) -> Vec<usize> {
        let mut started = Vec::new();
        let moment = Moment { version: self.config.version + 1, now: at(self.tick) };
        let mut in_work = self.in_work().count();
        for index in self.waiting.clone() {
            if self.policy == Policy::OneAtATime && in_work > 0 {
                break;
            }
            let row = &self.config.hosts[index];
            let AnyHost::Serving(host) = AnyHost::from(row) else {
                continue;
            };
            if self.policy == Policy::FixedPart {
                let pool = self.config.hosts.iter().filter(|o| o.spec.pool == row.spec.pool);
                let part = pool.clone().count().div_ceil(10);
                let busy = pool.filter(|other| is_planned(other)).count();
                if busy >= part {
                    continue;
                }
            }
            let drained = host.drain(StopReason::Wave("simple".into()), None, moment).into_row();
            self.waiting.retain(|other| *other != index);
            self.commit(vec![ConfigRow::Host(drained)]);
            in_work += 1;
            started.push(index);
        }
        started
    }

    /// Compares the budgets with the hosts as they really are.
    fn judge(&mut self, started: &[usize]) {
        let mut unavailable = vec![0_u32; self.service_count];
        let mut failed = vec![0_u32; self.service_count];
        for (index, row) in self.config.hosts.iter().enumerate() {
            if is_planned(row) {
                self.result.out_hours += TICK.as_secs_f64() / 3_600.0;
            }
            let Some(service) = self.services[index] else {
                continue;
            };
            let is_down = self.truths[index].down_until.is_some();
            let is_lost = is_down || row.state == HostState::Failed;
            unavailable[service] += u32::from(is_lost || row.state != HostState::Serving);
            failed[service] +=
                u32::from(is_lost || (!is_planned(row) && row.state != HostState::Serving));
        }
        for index in started {
            if let Some(service) = self.services[*index] {
                let broken = unavailable[service] > self.unavailable_max;
                self.result.violations += u64::from(broken);
            }
        }
        for service in 0..self.service_count {
            let max = self.unavailable_max;
            let over = unavailable[service] > max && failed[service] <= max;
            let began = over && !self.over[service];
            self.result.overtaken += u64::from(began);
            self.over[service] = over;
        }
    }
}

/// True while planned work keeps `row` out.
fn is_planned(row: &HostRow) -> bool {
    matches!(row.reason, Some(StopReason::Wave(_)))
        && !matches!(row.state, HostState::Serving | HostState::Failed)
}

fn at(tick: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000) + TICK * tick as u32
}
