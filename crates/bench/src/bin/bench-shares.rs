//! Closeness to share, queue waits and idle slots of the fair queue, in virtual time.
//!
//! The same load is run with the fleet's counts, with each node's own queue only, and first come
//! first served; the cost of a start is measured in real time.

use std::time::Duration;
use std::time::Instant;

use bench::shares_world::Load;
use bench::shares_world::NODES;
use bench::shares_world::Policy;
use bench::shares_world::SLOTS;
use bench::shares_world::World;
use bench::virtual_time::print_point;
use clap::Parser;
use model::TeamRef;
use model::contract::parse_contract;
use shares::Class;
use shares::Entry;
use shares::FairQueue;
use shares::Settings;

#[derive(Parser)]
struct Args {
    /// Print only points of series in JSON.
    #[arg(long)]
    json: bool,
    /// Seed of the load.
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

fn main() {
    let args = Args::parse();
    if args.json {
        print_costs();
        return;
    }
    for path in ["examples/levy.toml", "examples/studio.toml"] {
        let text = std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{path}: {error}"));
        let contract =
            parse_contract(path, &text).unwrap_or_else(|diagnostics| panic!("{diagnostics}"));
        println!("{} ({NODES} nodes, {SLOTS} slots, seed {})", contract.customer, args.seed);
        for load in [Load::Uneven, Load::Concentrated, Load::Bursts] {
            for policy in [Policy::Fleet, Policy::Local, Policy::FirstCome] {
                let mut world = World::new(&contract, load, policy, args.seed);
                world.run();
                world.print();
            }
        }
    }
    print_costs();
}

/// Cost of one start with its push and its end, by number of backlogged teams.
fn print_costs() {
    const ROUNDS: u32 = 20_000;
    for teams in [6, 52, 130, 260, 520] {
        let names: Vec<TeamRef> =
            (0..teams).map(|index| TeamRef::new("levy", format!("team-{index:03}"))).collect();
        let base = Instant::now();
        let wait_max = Duration::from_secs(10_000);
        let mut queue =
            FairQueue::new(Settings { waiting_max: 100_000, wait_max, urgent_percent: 25 });
        let entry = |team: &TeamRef| Entry {
            team: team.clone(),
            share_weight: 1,
            class: Class::Normal,
            deadline: base + wait_max,
        };
        for name in names.iter().cycle().take(teams * 4) {
            let _ = queue.push(entry(name), base);
        }
        let started = Instant::now();
        for round in 0..ROUNDS {
            let now = base + Duration::from_micros(u64::from(round));
            let _ = queue.push(entry(&names[round as usize % teams]), now);
            if let Some(ticket) = queue.pop(now, |_| true) {
                queue.finish(ticket, now);
            }
        }
        let cost_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
        print_point("shares.request_us", teams, cost_us);
    }
}
