//! Measures waits, idle workers and wasted runs under placement in virtual time, and the cost of
//! its decisions in real time.

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

/// Number of workers of the target fleet.
const WORKERS: usize = 1_600;
/// Number of accelerators of the target fleet.
const ACCELERATORS: usize = 2_000;
/// Number of teams of the target fleet.
const TEAMS: usize = 520;
/// Number of availability zones of the target fleet.
const ZONES: usize = 17;
const WORKERS_PER_RACK: usize = 4;
/// Number of accelerators of each worker that has any.
const ACCELERATORS_PER_WORKER: u32 = 8;
/// Number of timed decisions at each size, and of jobs that are placed to measure fragmentation.
const DECISIONS: usize = 4_000;

#[derive(Parser)]
struct Args {
    /// Print only the series, as JSON lines.
    #[arg(long)]
    json: bool,
    /// Seed of the simulated load.
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

fn main() {
    let args = Args::parse();
    if !args.json {
        for path in ["examples/levy.toml", "examples/studio.toml"] {
            simulate_policies(path, args.seed);
        }
    }
    for workers in [WORKERS / 16, WORKERS / 4, WORKERS / 2, WORKERS] {
        measure_costs(workers, args.seed);
        measure_fragmentation(workers, args.seed);
    }
}

fn simulate_policies(path: &str, seed: u64) {
    let text = std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{path}: {error}"));
    let contract =
        parse_contract(path, &text).unwrap_or_else(|diagnostics| panic!("{diagnostics}"));
    println!(
        "{} ({} workers, one of them broken, seed {seed})",
        contract.customer,
        contract.hosts.len()
    );
    for (name, policy) in
        [("placement", Policy::EstimatedSizes), ("best fit, declared", Policy::BestFit)]
    {
        let mut world = World::new(&contract, policy, seed);
        world.run();
        world.print(name);
    }
}

/// Measures the time of the decisions in a full pool, in which new tasks replace ended ones.
fn measure_costs(workers: usize, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let epoch = Instant::now();
    let mut pool = Pool::new(PoolSettings { waiting_max: 50_000, ..PoolSettings::default() });
    pool.set_workers((0..workers).map(|index| worker_spec(index, workers)).collect());
    let mut running: Vec<JobId> = Vec::new();
    let mut next_job = 0;
    let mut costs_us = Vec::new();
    let mut now = epoch;
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
    let cancelled: Vec<JobId> = (0..next_job).map(job_id).filter(|id| !id.ends_with('0')).collect();
    let cancelled = pool.cancel(cancelled, now);
    let cost_ms = started.elapsed().as_secs_f64() * 1e3;
    let count = cancelled.waiting.len() + cancelled.running.len();
    print_point("placement.cancel_ms", count, cost_ms);
}

/// Measures the percentage of the free accelerators that are on partly used workers.
///
/// Small tasks start and end, so that they use about half of all accelerators.
fn measure_fragmentation(workers: usize, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let now = Instant::now();
    let mut pool = Pool::new(PoolSettings::default());
    pool.set_workers((0..workers).map(|index| worker_spec(index, workers)).collect());
    let total: u32 = pool.free().iter().map(|(_, free)| free.accelerators).sum();
    let mut running: Vec<(JobId, u32)> = Vec::new();
    for index in 0..DECISIONS {
        while running.iter().map(|(_, count)| count).sum::<u32>() > total / 2 {
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
    let total_free: u32 = free.iter().sum();
    let fragmented: u32 = free.iter().filter(|free| **free < ACCELERATORS_PER_WORKER).sum();
    let fragmented_percent = 100.0 * f64::from(fragmented) / f64::from(total_free.max(1));
    print_point("placement.fragmented_percent", workers, fragmented_percent);
}

fn worker_spec(index: usize, workers: usize) -> WorkerSpec {
    let rack = index / WORKERS_PER_RACK;
    let accelerated_workers = workers * ACCELERATORS / WORKERS / ACCELERATORS_PER_WORKER as usize;
    let accelerators = if index < accelerated_workers { ACCELERATORS_PER_WORKER } else { 0 };
    WorkerSpec {
        id: format!("w{index:05}").into(),
        zone: format!("z{:02}", rack % ZONES).into(),
        rack: format!("r{rack:04}").into(),
        capacity: Size::of_cores(16, 32_768, accelerators),
        is_schedulable: true,
    }
}

fn job_id(index: usize) -> JobId {
    format!("j{index:07}").into()
}

fn random_job(index: usize, rng: &mut SmallRng) -> Job {
    let team = rng.random_range(0..TEAMS);
    let accelerators = match rng.random_range(0..20) {
        0..2 => rng.random_range(1..4),
        2 => ACCELERATORS_PER_WORKER,
        _ => 0,
    };
    Job {
        id: job_id(index),
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
