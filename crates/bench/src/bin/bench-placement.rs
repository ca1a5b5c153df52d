//! Waits, idle workers and wasted runs of placement in virtual time, and the cost of its decisions.

use std::time::Duration;
use std::time::Instant;

use bench::placement_world::Policy;
use bench::placement_world::World;
use bench::virtual_time::print_point;
use bench::virtual_time::quantile;
use clap::Parser;
use model::TeamRef;
use model::contract::parse_contract;
use placement::Class;
use placement::Job;
use placement::JobId;
use placement::PendingJob;
use placement::Pool;
use placement::PoolSettings;
use placement::Size;
use placement::TaskOutcome;
use placement::WorkerSpec;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Workers, accelerators and teams of the target.
const WORKERS: usize = 1_600;
const ACCELERATORS: usize = 2_000;
const TEAMS: usize = 520;
const ZONES: usize = 17;
const WORKERS_IN_RACK: usize = 4;
/// Accelerators of a worker that has any.
const ACCELERATORS_EACH: u32 = 8;
/// Decisions that are timed at each size.
const DECISIONS: usize = 4_000;

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
    if !args.json {
        for path in ["examples/levy.toml", "examples/studio.toml"] {
            print_policies(path, args.seed);
        }
    }
    for workers in [WORKERS / 16, WORKERS / 4, WORKERS / 2, WORKERS] {
        print_costs(workers, args.seed);
        print_fragmentation(workers, args.seed);
    }
}

fn print_policies(path: &str, seed: u64) {
    let text = std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{path}: {error}"));
    let contract =
        parse_contract(path, &text).unwrap_or_else(|diagnostics| panic!("{diagnostics}"));
    println!(
        "{} ({} workers, one of them broken, seed {seed})",
        contract.customer,
        contract.hosts.len()
    );
    for (name, policy) in [("placement", Policy::Learnt), ("best fit, declared", Policy::BestFit)] {
        let mut world = World::new(&contract, policy, seed);
        world.run();
        world.print(name);
    }
}

/// Times decisions of a full pool in which tasks end and others take their place.
fn print_costs(workers: usize, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let base = Instant::now();
    let mut pool = Pool::new(PoolSettings { waiting_max: 50_000, ..PoolSettings::default() });
    pool.set_workers((0..workers).map(|index| spec(index, workers)).collect());
    let mut running: Vec<JobId> = Vec::new();
    let mut next_job = 0;
    let mut costs_us = Vec::new();
    let mut now = base;
    while costs_us.len() < DECISIONS {
        while pool.waiting() < 2_000 {
            let _ = pool.submit(PendingJob::new(random_job(next_job, &mut rng), 1, now));
            next_job += 1;
        }
        let started = Instant::now();
        let placed = pool.place_next(now, |_| true);
        let cost_us = started.elapsed().as_secs_f64() * 1e6;
        let is_full = next_job > workers * 8;
        if is_full {
            costs_us.push(cost_us);
        }
        match placed {
            Some(placed) => running.push(placed.pending.job.id),
            None => {
                now += Duration::from_millis(10);
                pool.tick(now);
                for _ in 0..8.min(running.len()) {
                    let job = running.swap_remove(rng.random_range(0..running.len()));
                    pool.finish_task(&job, TaskOutcome::Succeeded, now);
                }
            }
        }
    }
    print_point("placement.decision_p50_us", workers, quantile(&mut costs_us, 0.5));
    print_point("placement.decision_p99_us", workers, quantile(&mut costs_us, 0.99));
    let started = Instant::now();
    let cancelled: Vec<JobId> = (0..next_job).map(id).filter(|id| !id.ends_with('0')).collect();
    let cancelled = pool.cancel(cancelled, now);
    let cost_ms = started.elapsed().as_secs_f64() * 1e3;
    let count = cancelled.waiting.len() + cancelled.running.len();
    print_point("placement.cancel_ms", count, cost_ms);
}

/// Keeps half of the accelerators in use by small tasks that come and go, and tells which part of
/// the free ones is on workers that are not wholly free.
fn print_fragmentation(workers: usize, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let now = Instant::now();
    let mut pool = Pool::new(PoolSettings::default());
    pool.set_workers((0..workers).map(|index| spec(index, workers)).collect());
    let all: u32 = pool.free().iter().map(|(_, free)| free.accelerators).sum();
    let mut running: Vec<(JobId, u32)> = Vec::new();
    for index in 0..DECISIONS {
        while running.iter().map(|(_, count)| count).sum::<u32>() > all / 2 {
            let (job, _) = running.swap_remove(rng.random_range(0..running.len()));
            pool.finish_task(&job, TaskOutcome::Succeeded, now);
        }
        let accelerators = rng.random_range(1..4);
        let declared = Size::of_cores(1, 1_024, accelerators);
        let job = Job { declared, class: Class::Normal, ..random_job(index, &mut rng) };
        let _ = pool.submit(PendingJob::new(job, 1, now));
        while let Some(placed) = pool.place_next(now, |_| true) {
            running.push((placed.pending.job.id, placed.size.accelerators));
        }
    }
    let free: Vec<u32> = pool.free().iter().map(|(_, free)| free.accelerators).collect();
    let sum: u32 = free.iter().sum();
    let broken: u32 = free.iter().filter(|free| **free < ACCELERATORS_EACH).sum();
    let portion = 100.0 * f64::from(broken) / f64::from(sum.max(1));
    print_point("placement.fragmented_percent", workers, portion);
}

fn spec(index: usize, workers: usize) -> WorkerSpec {
    let rack = index / WORKERS_IN_RACK;
    let accelerated = workers * ACCELERATORS / WORKERS / ACCELERATORS_EACH as usize;
    let accelerators = if index < accelerated { ACCELERATORS_EACH } else { 0 };
    WorkerSpec {
        id: format!("w{index:05}").into(),
        zone: format!("z{:02}", rack % ZONES).into(),
        rack: format!("r{rack:04}").into(),
        capacity: Size::of_cores(16, 32_768, accelerators),
        is_schedulable: true,
    }
}

fn id(index: usize) -> JobId {
    format!("j{index:07}").into()
}

fn random_job(index: usize, rng: &mut SmallRng) -> Job {
    let team = rng.random_range(0..TEAMS);
    let accelerators = match rng.random_range(0..20) {
        0..2 => rng.random_range(1..4),
        2 => ACCELERATORS_EACH,
        _ => 0,
    };
    Job {
        id: id(index),
        team: TeamRef::new("levy", format!("team-{team:03}")),
        kind: format!("kind-{}", rng.random_range(0..4)).into(),
        declared: Size::of_cores(
            rng.random_range(1..8),
            rng.random_range(512..16_384),
            accelerators,
        ),
        class: if rng.random_range(0..50) == 0 { Class::Urgent } else { Class::Normal },
        idempotent: true,
        attempts_max: 3,
    }
}
