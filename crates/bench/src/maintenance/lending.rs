//! Simulates lending between pools over a day of changing load.
//!
//! Each pool in turn has a burst of a few seconds, in which its demand is five times its mean; at
//! other times its demand is a twentieth of the mean. Every two hours another service gets a
//! backlog that triples its mean demand for an hour and a half.

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
use super::fleet::config;
use super::fleet::with_rows;

/// Simulated time, in seconds.
const SIMULATED_S: u64 = 24 * 3_600;
/// Length of the windows over which the service of the pools is compared with fair shares, in
/// seconds.
const WINDOW_S: u64 = 60;
/// Mean demand of a service without a backlog, in hosts.
const MEAN_DEMAND_HOSTS: f64 = 4.0;
/// Time that a host needs to drain.
const DRAIN_TIME: Duration = Duration::from_secs(60);
/// Time that a host needs after a change of its pool until its backend server is healthy.
const RETURN_TIME: Duration = Duration::from_secs(20);
/// Time between the starts of two backlogs, in seconds.
const BACKLOG_PERIOD_S: u64 = 7_200;
/// Length of a backlog, in seconds.
const BACKLOG_S: u64 = 5_400;
/// Mean demand of a service with a backlog, as a multiple of the usual mean.
const BACKLOG_FACTOR: f64 = 3.0;

/// Result of one simulated day.
#[derive(Clone, Copy, Debug, Default)]
pub struct LendingResult {
    /// Number of moves of hosts.
    pub moves: u64,
    /// Mean deviation from the fair shares of the fleet, as a fraction of them.
    pub share_error: f64,
    /// Mean fraction of the hosts that serve no service, because they are spare, draining or
    /// returning.
    pub buffer: f64,
}

/// Baseline policy that moves hosts according to the current demand, without smoothing, bands or
/// cooldown.
pub const INSTANTANEOUS: LendingPolicy = LendingPolicy {
    time_constant: Duration::ZERO,
    target_utilization: 1.0,
    borrow_band: 0.0,
    return_band: 0.0,
    cooldown: Duration::ZERO,
};

/// Simulates a day of one customer under `policy`; `None` lends nothing.
pub fn run(seed: u64, profile: Profile, policy: Option<LendingPolicy>) -> LendingResult {
    let shape = Shape { customers: 1, hosts: TODAY.hosts / 2, ..TODAY };
    let mut day = Day::new(config(shape, profile), seed, policy);
    for second in 0..SIMULATED_S {
        day.run_second(second);
    }
    day.result()
}

/// The simulated day of one customer.
struct Day {
    config: Config,
    rng: SmallRng,
    policy: Option<LendingPolicy>,
    demands: Vec<PoolDemand>,
    /// Pools that have a service.
    pools: Vec<PoolId>,
    /// Position in `pools` of the pool that has a burst.
    bursting_pool: usize,
    /// Second at which the burst ends.
    burst_until: u64,
    /// Demand of each pool, summed over the seconds of the current window, in hosts.
    demanded: Vec<f64>,
    /// Serving hosts of each pool, summed over the seconds of the current window.
    served: Vec<f64>,
    /// Relative deviations from the fair shares, summed over all windows.
    error_sum: f64,
    window_count: u64,
    /// Fractions of the hosts that serve no service, summed over all seconds.
    unavailable_sum: f64,
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
        let start = time_at(0);
        Self {
            config,
            rng: SmallRng::seed_from_u64(seed),
            policy,
            demands: pools
                .iter()
                .map(|pool| PoolDemand::new(pool.clone(), MEAN_DEMAND_HOSTS, start))
                .collect(),
            demanded: vec![0.0; pools.len()],
            served: vec![0.0; pools.len()],
            pools,
            bursting_pool: 0,
            burst_until: 0,
            error_sum: 0.0,
            window_count: 0,
            unavailable_sum: 0.0,
            moves: 0,
        }
    }

    fn run_second(&mut self, second: u64) {
        if second >= self.burst_until {
            self.bursting_pool = (self.bursting_pool + 1) % self.pools.len();
            self.burst_until = second + self.rng.random_range(3..=6);
        }
        let now = time_at(second);
        for index in 0..self.pools.len() {
            let demand = self.demand_hosts(index, second);
            self.demanded[index] += demand;
            self.served[index] += f64::from(self.serving_count(index));
            if let Some(policy) = &self.policy {
                self.demands[index].observe(demand, now, policy);
            }
        }
        let total = self.config.hosts.len() as f64;
        let serving: u32 = (0..self.pools.len()).map(|index| self.serving_count(index)).sum();
        self.unavailable_sum += (total - f64::from(serving)) / total;
        self.advance(now);
        self.lend(now);
        if (second + 1).is_multiple_of(WINDOW_S) {
            self.finish_window();
        }
    }

    /// Returns the demand of a pool at a second, in hosts.
    fn demand_hosts(&self, index: usize, second: u64) -> f64 {
        let period = second / BACKLOG_PERIOD_S;
        let in_backlog = second % BACKLOG_PERIOD_S < BACKLOG_S;
        let has_backlog = in_backlog && period as usize % self.pools.len() == index;
        let mean = if has_backlog { MEAN_DEMAND_HOSTS * BACKLOG_FACTOR } else { MEAN_DEMAND_HOSTS };
        if self.bursting_pool == index { mean * 5.0 } else { mean / 20.0 }
    }

    fn serving_count(&self, index: usize) -> u32 {
        let pool = &self.pools[index];
        let hosts = self.config.hosts.iter();
        hosts.filter(|row| row.spec.pool == *pool && row.state == HostState::Serving).count() as u32
    }

    /// Advances the hosts that drain or return once their time has passed.
    fn advance(&mut self, now: SystemTime) {
        let moment = Moment { version: self.config.version + 1, now };
        let not_serving = self.config.hosts.iter().filter(|row| row.state != HostState::Serving);
        let hosts: Vec<HostEvidence> = not_serving
            .map(|row| {
                let age = Duration::from_millis(moment.now_ms() - row.since_ms);
                let mut host_evidence = HostEvidence::none(row);
                if row.state == HostState::Draining && age >= DRAIN_TIME {
                    let config_version = Some(self.config.version);
                    host_evidence.reports = vec![NodeReport { config_version, running: Some(0) }];
                }
                if row.state == HostState::Returning && age >= RETURN_TIME {
                    host_evidence.probe = Some(Probe::Healthy { at: now });
                }
                host_evidence
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
        self.config = with_rows(&self.config, rows);
    }

    /// Compares the service in the window with the fair shares, and starts the next window.
    fn finish_window(&mut self) {
        let mean =
            |sums: &[f64]| -> Vec<f64> { sums.iter().map(|sum| sum / WINDOW_S as f64).collect() };
        let demanded = mean(&self.demanded);
        let served = mean(&self.served);
        let fair = fair_shares(&demanded, self.config.hosts.len() as f64);
        let received = demanded.iter().zip(&served).map(|(demanded, served)| demanded.min(*served));
        let distance: f64 =
            received.zip(&fair).map(|(received, fair)| (received - fair).abs()).sum();
        self.error_sum += distance / fair.iter().sum::<f64>();
        self.window_count += 1;
        self.demanded.fill(0.0);
        self.served.fill(0.0);
    }

    fn result(&self) -> LendingResult {
        LendingResult {
            moves: self.moves,
            share_error: self.error_sum / self.window_count as f64,
            buffer: self.unavailable_sum / SIMULATED_S as f64,
        }
    }
}

/// Returns the max-min fair shares of `capacity`.
///
/// No pool receives more than its demand, and all pools with unmet demand receive the same.
fn fair_shares(demanded: &[f64], capacity: f64) -> Vec<f64> {
    let mut share_max = capacity;
    if demanded.iter().sum::<f64>() > capacity {
        let (mut lower, mut upper) = (0.0, capacity);
        for _ in 0..50 {
            share_max = (lower + upper) / 2.0;
            let allocated: f64 = demanded.iter().map(|demanded| demanded.min(share_max)).sum();
            if allocated > capacity { upper = share_max } else { lower = share_max }
        }
    }
    demanded.iter().map(|demanded| demanded.min(share_max)).collect()
}

fn time_at(second: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000 + second)
}
