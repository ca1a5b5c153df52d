//! Lending between pools over a day of the users' load.
//!
//! Each queue in turn asks for five times its mean for a few seconds, and for a twentieth between.
//! Every two hours the backlog of another service triples its mean for an hour and a half.

use std::time::Duration;
use std::time::SystemTime;

use maintenance::Evidence;
use maintenance::HostEvidence;
use maintenance::HostList;
use maintenance::Moment;
use maintenance::NodeReport;
use maintenance::Probe;
use maintenance::advance_all;
use maintenance::lend::LendingPolicy;
use maintenance::lend::PoolDemand;
use maintenance::lend::next_loan;
use model::Config;
use model::ConfigRow;
use model::HostState;
use model::PoolId;
use model::contract::Profile;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::fleet::Shape;
use super::fleet::TODAY;
use super::fleet::after;
use super::fleet::config;

/// Virtual time of a run.
const DAY_S: u64 = 24 * 3_600;
/// Time over which shares are compared.
const WINDOW_S: u64 = 60;
/// Mean demand of a service, in hosts.
const MEAN: f64 = 4.0;
/// Time that a host needs to drain.
const DRAIN: Duration = Duration::from_secs(60);
/// Time between a change of pool and the first healthy answer.
const RETURN: Duration = Duration::from_secs(20);
/// Time between the starts of two backlogs.
const BACKLOG_PERIOD_S: u64 = 7_200;
/// Length of a backlog.
const BACKLOG_S: u64 = 5_400;
/// Growth of a service's mean while it has a backlog.
const BACKLOG_FACTOR: f64 = 3.0;

/// What a run showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct LendingRun {
    /// Moves begun.
    pub moves: u64,
    /// Mean distance from the fair shares of the fleet, as a part of them.
    pub share_error: f64,
    /// Mean part of the hosts that was spare, draining or returning.
    pub buffer: f64,
}

/// Policy that moves on the demand of the moment.
pub const INSTANTANEOUS: LendingPolicy = LendingPolicy {
    time_constant: Duration::ZERO,
    target_utilization: 1.0,
    borrow_band: 0.0,
    return_band: 0.0,
    cooldown: Duration::ZERO,
};

/// Runs a day of one customer under `policy`; `None` lends nothing.
pub fn run(seed: u64, profile: Profile, policy: Option<LendingPolicy>) -> LendingRun {
    let shape = Shape { customers: 1, hosts: TODAY.hosts / 2, ..TODAY };
    let mut day = Day::new(config(shape, profile), seed, policy);
    for second in 0..DAY_S {
        day.second(second);
    }
    day.result()
}

struct Day {
    config: Config,
    rng: SmallRng,
    policy: Option<LendingPolicy>,
    demands: Vec<PoolDemand>,
    pools: Vec<PoolId>,
    /// Queue that has its burst, and when the burst ends.
    burst: usize,
    burst_until: u64,
    /// Sums over the window.
    asked: Vec<f64>,
    held: Vec<f64>,
    errors: f64,
    windows: u64,
    idle: f64,
    moves: u64,
}

impl Day {
    fn new(config: Config, seed: u64, policy: Option<LendingPolicy>) -> Self {
        let pools: Vec<PoolId> = config.contracts[0]
            .pools
            .iter()
            .filter(|pool| pool.service.is_some())
            .map(|pool| pool.name.clone())
            .collect();
        let start = at(0);
        Self {
            config,
            rng: SmallRng::seed_from_u64(seed),
            policy,
            demands: pools.iter().map(|pool| PoolDemand::new(pool.clone(), MEAN, start)).collect(),
            asked: vec![0.0; pools.len()],
            held: vec![0.0; pools.len()],
            pools,
            burst: 0,
            burst_until: 0,
            errors: 0.0,
            windows: 0,
            idle: 0.0,
            moves: 0,
        }
    }

    fn second(&mut self, second: u64) {
        if second >= self.burst_until {
            self.burst = (self.burst + 1) % self.pools.len();
            self.burst_until = second + self.rng.random_range(3..=6);
        }
        let now = at(second);
        for index in 0..self.pools.len() {
            let demand = self.demand(index, second);
            self.asked[index] += demand;
            self.held[index] += f64::from(self.serving(index));
            if let Some(policy) = &self.policy {
                self.demands[index].observe(demand, now, policy);
            }
        }
        let total = self.config.hosts.len() as f64;
        let serving: u32 = (0..self.pools.len()).map(|index| self.serving(index)).sum();
        self.idle += (total - f64::from(serving)) / total;
        self.advance(now);
        self.lend(now);
        if (second + 1).is_multiple_of(WINDOW_S) {
            self.close_window();
        }
    }

    fn demand(&self, index: usize, second: u64) -> f64 {
        let period = second / BACKLOG_PERIOD_S;
        let in_backlog = second % BACKLOG_PERIOD_S < BACKLOG_S;
        let has_backlog = in_backlog && period as usize % self.pools.len() == index;
        let mean = if has_backlog { MEAN * BACKLOG_FACTOR } else { MEAN };
        if self.burst == index { mean * 5.0 } else { mean / 20.0 }
    }

    fn serving(&self, index: usize) -> u32 {
        let pool = &self.pools[index];
        let hosts = self.config.hosts.iter();
        hosts.filter(|row| row.spec.pool == *pool && row.state == HostState::Serving).count() as u32
    }

    /// Lets hosts drain and return in their time.
    fn advance(&mut self, now: SystemTime) {
        let moment = Moment { version: self.config.version + 1, now };
        let busy = self.config.hosts.iter().filter(|row| row.state != HostState::Serving);
        let hosts: Vec<HostEvidence> = busy
            .map(|row| {
                let age = Duration::from_millis(moment.now_ms() - row.since_ms);
                let mut own = HostEvidence::none(row);
                if row.state == HostState::Draining && age >= DRAIN {
                    let config_version = Some(self.config.version);
                    own.reports = vec![NodeReport { config_version, running: Some(0) }];
                }
                if row.state == HostState::Returning && age >= RETURN {
                    own.probe = Some(Probe::Healthy { at: now });
                }
                own
            })
            .collect();
        if hosts.is_empty() {
            return;
        }
        let evidence = Evidence {
            gathered_at: now,
            hosts,
            list: HostList::default(),
            unresponsive: Vec::new(),
        };
        let rows = advance_all(&self.config, &evidence, |_| true, moment).rows();
        self.commit(rows);
    }

    fn lend(&mut self, now: SystemTime) {
        let Some(policy) = self.policy else {
            return;
        };
        let moment = Moment { version: self.config.version + 1, now };
        let contract = &self.config.contracts[0];
        let loan = next_loan(&self.config, contract, &self.demands, &policy, &[], moment);
        let Some(loan) = loan else {
            return;
        };
        for demand in &mut self.demands {
            if demand.pool == loan.from || demand.pool == loan.to {
                demand.record_move(now);
            }
        }
        self.moves += 1;
        self.commit(vec![ConfigRow::Host(loan.row)]);
    }

    fn commit(&mut self, rows: Vec<ConfigRow>) {
        if rows.is_empty() {
            return;
        }
        self.config = after(&self.config, rows);
    }

    fn close_window(&mut self) {
        let mean =
            |sums: &[f64]| -> Vec<f64> { sums.iter().map(|sum| sum / WINDOW_S as f64).collect() };
        let asked = mean(&self.asked);
        let held = mean(&self.held);
        let fair = fair_shares(&asked, self.config.hosts.len() as f64);
        let got = asked.iter().zip(&held).map(|(asked, held)| asked.min(*held));
        let distance: f64 = got.zip(&fair).map(|(got, fair)| (got - fair).abs()).sum();
        self.errors += distance / fair.iter().sum::<f64>();
        self.windows += 1;
        self.asked.fill(0.0);
        self.held.fill(0.0);
    }

    fn result(&self) -> LendingRun {
        LendingRun {
            moves: self.moves,
            share_error: self.errors / self.windows as f64,
            buffer: self.idle / DAY_S as f64,
        }
    }
}

/// Shares of `capacity` that give nobody more than it asks, and all others as much as any.
fn fair_shares(asked: &[f64], capacity: f64) -> Vec<f64> {
    let mut level = capacity;
    if asked.iter().sum::<f64>() > capacity {
        let (mut low, mut high) = (0.0, capacity);
        for _ in 0..50 {
            level = (low + high) / 2.0;
            let given: f64 = asked.iter().map(|asked| asked.min(level)).sum();
            if given > capacity { high = level } else { low = level }
        }
    }
    asked.iter().map(|asked| asked.min(level)).collect()
}

fn at(second: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000 + second)
}
