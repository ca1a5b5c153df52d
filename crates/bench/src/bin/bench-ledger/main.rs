//! Measures the ledger of limits in virtual time over a table in memory, and compares it with two
//! baselines.
//!
//! The first baseline gives each node an equal part of each limit. The second has a simple lease on
//! each holding, which its node renews, and which another node may take over once it has expired.

mod fleet;

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use bench::sample::Sample;
use clap::Parser;
use limits::ClusterView;
use limits::Holder;
use limits::LimitKey;
use limits::TickOutcome;
use model::HostId;

use crate::fleet::Fleet;
use crate::fleet::STEP_MS;
use crate::fleet::team_limit;
use crate::fleet::team_ref;

/// Number of steps before the measurement, in which the tokens are first distributed.
const WARM_UP_STEPS: u64 = 100;
/// Number of steps of a measurement.
const STEPS: u64 = 500;
/// Duration of a simple lease.
const LEASE_TTL: Duration = Duration::from_secs(6);
/// Number of renewals of a simple lease within its duration.
const RENEWALS: f64 = 3.0;
/// Time between two ticks of the node that takes over.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(800);
/// Maximum number of transactions of a reclaim in one tick.
const RECLAIM_WRITES_MAX: u32 = 4;

/// Measures the ledger of limits.
#[derive(Parser)]
struct Args {
    /// Print JSON lines.
    #[arg(long)]
    json: bool,
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let args = Args::parse();
    let print = |sample: Sample| sample.print(args.json);
    for nodes in [2, 4, 8, 16, 32, 64] {
        run("nodes", nodes as f64, Fleet::new(nodes, 12, 50)).await.into_iter().for_each(print);
    }
    for teams in [12, 60, 180, 520] {
        run("teams", teams as f64, Fleet::new(8, teams, 50)).await.into_iter().for_each(print);
    }
    for hosts in [50, 200, 800, 1_600] {
        run("hosts", hosts as f64, Fleet::new(8, 12, hosts)).await.into_iter().for_each(print);
    }
    for hosts in [50, 200, 800, 1_600] {
        reclaim(hosts).await.into_iter().for_each(print);
    }
}

/// Runs a fleet under full load; measures the costs, and the tokens that could not be used.
async fn run(grows_with: &str, size: f64, mut fleet: Fleet) -> Vec<Sample> {
    for _ in 0..WARM_UP_STEPS {
        fleet.step().await;
    }
    let calls = |fleet: &Fleet| {
        let load = |count: &std::sync::atomic::AtomicU64| count.load(Ordering::Relaxed) as f64;
        (load(&fleet.table.reads), load(&fleet.table.writes), load(&fleet.table.bytes))
    };
    let before = calls(&fleet);
    let mut unused = UnusedTokens::default();
    let started = Instant::now();
    for _ in 0..STEPS {
        fleet.step().await;
        unused.observe(&fleet);
    }
    let elapsed_s = (STEPS * STEP_MS) as f64 / 1_000.0;
    let after = calls(&fleet);
    let nodes = fleet.members.len() as f64;
    let sample = |name: &str, value: f64| {
        Sample::new(&format!("ledger-{name}-by-{grows_with}"), size, value)
    };
    vec![
        sample("reads-per-s", (after.0 - before.0) / elapsed_s),
        sample("writes-per-s", (after.1 - before.1) / elapsed_s),
        sample("node-bytes-per-s", (after.2 - before.2) / elapsed_s / nodes),
        // Includes the work of the simulation itself.
        sample("node-cpu-us-per-s", started.elapsed().as_micros() as f64 / elapsed_s / nodes),
        sample("unused-percent", unused.percent(unused.with_ledger)),
        sample("unused-equal-split-percent", unused.percent(unused.with_equal_split)),
        sample("lease-writes-per-s", nodes * RENEWALS / LEASE_TTL.as_secs_f64()),
    ]
}

/// Tokens that were in demand within the limit, but not granted to the nodes with the demand; sums
/// over all teams and steps.
#[derive(Default)]
struct UnusedTokens {
    /// Demand within the limits.
    usable_demand: u64,
    /// Unused tokens with the ledger.
    with_ledger: u64,
    /// Unused tokens if each node had an equal part of each limit.
    with_equal_split: u64,
}

impl UnusedTokens {
    fn observe(&mut self, fleet: &Fleet) {
        let equal_part = team_limit() / fleet.members.len() as u32;
        for team in 0..fleet.teams {
            let demanded = fleet.team_demands(team);
            let usable_demand = demanded.iter().sum::<u32>().min(team_limit());
            let key = LimitKey::Running(team_ref(team));
            let granted =
                |index: usize| fleet.members[index].tokens.get(&key).map_or(0, |row| row.granted);
            let granted_by_ledger: u32 = demanded
                .iter()
                .enumerate()
                .map(|(index, demanded)| granted(index).min(*demanded))
                .sum();
            let granted_by_equal_split: u32 =
                demanded.iter().map(|demanded| equal_part.min(*demanded)).sum();
            self.usable_demand += u64::from(usable_demand);
            self.with_ledger += u64::from(usable_demand.saturating_sub(granted_by_ledger));
            self.with_equal_split +=
                u64::from(usable_demand.saturating_sub(granted_by_equal_split));
        }
    }

    /// Returns unused tokens as a percentage of the demand within the limits.
    fn percent(&self, unused: u64) -> f64 {
        unused as f64 * 100.0 / self.usable_demand.max(1) as f64
    }
}

/// Measures the time to distribute the tokens of one of eight nodes to the others, after its
/// takeover is allowed and all hosts have reported that they run nothing of it.
async fn reclaim(hosts: usize) -> Vec<Sample> {
    let mut fleet = Fleet::new(8, 12, hosts);
    for _ in 0..WARM_UP_STEPS {
        fleet.step().await;
    }
    let gone: Holder = fleet.members.remove(0).holder;
    let cleared_hosts: Vec<HostId> =
        (0..hosts).map(|host| format!("host-{host:04}").into()).collect();
    let limits = fleet.limits.clone();
    let live: Vec<_> = fleet
        .members
        .iter()
        .map(|m| limits::MemberDemand { holder: m.holder.clone(), demands: Vec::new() })
        .collect();
    let now = SystemTime::UNIX_EPOCH + Duration::from_millis(fleet.step * STEP_MS);
    let view =
        ClusterView { limits: &limits, config_version: 1, members: &live, now, is_leaving: false };
    let successor = &mut fleet.members[0];
    let tokens = successor.tokens.clone();
    successor
        .ledger
        .reload(&fleet.table, &*tokens, &view)
        .await
        .expect("the table in memory never fails");
    let mut writes = 0;
    loop {
        let outcome =
            successor.ledger.reclaim(&fleet.table, &*tokens, &view, &gone, &cleared_hosts).await;
        let outcome = outcome.expect("the table in memory never fails");
        writes += u32::from(matches!(outcome.tick, TickOutcome::Written { .. }));
        if outcome.remaining == 0 {
            break;
        }
    }
    let ticks = writes.div_ceil(RECLAIM_WRITES_MAX);
    let size = hosts as f64;
    vec![
        Sample::new("reclaim-transactions", size, f64::from(writes)),
        Sample::new("reclaim-ms", size, (RECLAIM_INTERVAL * ticks).as_millis() as f64),
        Sample::new("reclaim-lease-ms", size, LEASE_TTL.as_millis() as f64),
    ]
}
