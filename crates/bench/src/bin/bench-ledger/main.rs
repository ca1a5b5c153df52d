//! Measures the ledger of limits against its baselines, in virtual time over a table in memory.
//!
//! Baselines: an equal part of each limit for each node, and plain leases on each holding, which a
//! node renews and others may take once they have lapsed.

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

/// Steps in which tokens find their first holders, not measured.
const WARM_UP_STEPS: u64 = 100;
/// Steps of a measurement.
const STEPS: u64 = 500;
/// Time to live of a plain lease.
const LEASE_TTL: Duration = Duration::from_secs(6);
/// Renewals of a plain lease within its time to live.
const RENEWALS: f64 = 3.0;
/// Time between two looks of the node that takes over, and transactions in each.
const TAKE_OVER_LOOK: Duration = Duration::from_millis(800);
const TAKE_OVER_WRITES: u32 = 4;

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

/// Runs a fleet at full load; counts what it costs, and what of the limits is not used.
async fn run(grows_with: &str, size: f64, mut fleet: Fleet) -> Vec<Sample> {
    for _ in 0..WARM_UP_STEPS {
        fleet.step().await;
    }
    let calls = |fleet: &Fleet| {
        let load = |count: &std::sync::atomic::AtomicU64| count.load(Ordering::Relaxed) as f64;
        (load(&fleet.table.reads), load(&fleet.table.writes), load(&fleet.table.bytes))
    };
    let before = calls(&fleet);
    let mut unused = Unused::default();
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
        // The driver's own work is in it.
        sample("node-cpu-us-per-s", started.elapsed().as_micros() as f64 / elapsed_s / nodes),
        sample("unused-percent", unused.percent(unused.ledger)),
        sample("unused-equal-split-percent", unused.percent(unused.split)),
        sample("lease-writes-per-s", nodes * RENEWALS / LEASE_TTL.as_secs_f64()),
    ]
}

/// Tokens that callers asked for, the limit allowed, and no node with demand could use.
#[derive(Default)]
struct Unused {
    wanted: u64,
    ledger: u64,
    split: u64,
}

impl Unused {
    fn observe(&mut self, fleet: &Fleet) {
        let part = team_limit() / fleet.members.len() as u32;
        for team in 0..fleet.teams {
            let asked = fleet.asked(team);
            let wanted = asked.iter().sum::<u32>().min(team_limit());
            let key = LimitKey::Running(team_ref(team));
            let granted =
                |index: usize| fleet.members[index].tokens.get(&key).map_or(0, |row| row.granted);
            let by_ledger: u32 =
                asked.iter().enumerate().map(|(index, asked)| granted(index).min(*asked)).sum();
            let by_split: u32 = asked.iter().map(|asked| part.min(*asked)).sum();
            self.wanted += u64::from(wanted);
            self.ledger += u64::from(wanted.saturating_sub(by_ledger));
            self.split += u64::from(wanted.saturating_sub(by_split));
        }
    }

    fn percent(&self, unused: u64) -> f64 {
        unused as f64 * 100.0 / self.wanted.max(1) as f64
    }
}

/// Time to hand on what one of eight nodes held, after its take-over and the evidence.
async fn reclaim(hosts: usize) -> Vec<Sample> {
    let mut fleet = Fleet::new(8, 12, hosts);
    for _ in 0..WARM_UP_STEPS {
        fleet.step().await;
    }
    let gone: Holder = fleet.members.remove(0).holder;
    let quiet: Vec<HostId> = (0..hosts).map(|host| format!("host-{host:04}").into()).collect();
    let limits = fleet.limits.clone();
    let live: Vec<_> = fleet
        .members
        .iter()
        .map(|m| limits::MemberDemand { holder: m.holder.clone(), demands: Vec::new() })
        .collect();
    let now = SystemTime::UNIX_EPOCH + Duration::from_millis(fleet.step * STEP_MS);
    let view =
        ClusterView { limits: &limits, config_version: 1, members: &live, now, is_leaving: false };
    let heir = &mut fleet.members[0];
    let tokens = heir.tokens.clone();
    heir.ledger.reload(&fleet.table, &*tokens, &view).await.expect("the table answers");
    let mut writes = 0;
    loop {
        let step = heir.ledger.reclaim(&fleet.table, &*tokens, &view, &gone, &quiet).await;
        let step = step.expect("the table answers");
        writes += u32::from(matches!(step.tick, TickOutcome::Written { .. }));
        if step.remaining == 0 {
            break;
        }
    }
    let looks = writes.div_ceil(TAKE_OVER_WRITES);
    let size = hosts as f64;
    vec![
        Sample::new("reclaim-transactions", size, f64::from(writes)),
        Sample::new("reclaim-ms", size, (TAKE_OVER_LOOK * looks).as_millis() as f64),
        Sample::new("reclaim-lease-ms", size, LEASE_TTL.as_millis() as f64),
    ]
}
