//! Limits of a batch when many completions and many new runs arrive at the same time: neither may
//! starve the other.

#[path = "common/simulation.rs"]
mod simulation;

use scheduler::BatchLimits;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::Step;
use scheduler::UnitKey;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::step;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };
const WORKERS: usize = 200;
const LIMITS: BatchLimits =
    BatchLimits { rows_max: 70, progress_rows_max: 70, bytes_max: simulation::BATCH_BYTES_MAX };

fn simulation_with_workers() -> Simulation {
    let ids: Vec<String> = (0..WORKERS).map(|number| format!("w{number:03}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    Simulation::new(&ids, config(3, NO_QUOTA))
}

/// Completes one unit on each worker; all workers then report it.
fn complete_one_run_per_worker(sim: &mut Simulation) {
    let running: Vec<UnitKey> =
        sim.workers.iter().map(|worker| worker.running[0].unit.clone()).collect();
    for unit in &running {
        sim.complete_run(unit, RunOutcome::Done);
    }
    sim.report_all();
}

#[test]
fn completions_and_new_runs_share_a_batch_when_there_are_many_of_both() {
    let mut sim = simulation_with_workers();
    // Each worker has capacity for one unit at a time, and there are two jobs with one unit for
    // each worker.
    for number in 0..WORKERS * 2 {
        let record = job(&format!("j{number:04}"), vec![step(1, 16_000)], sim.now);
        sim.scheduler.add_job(record, sim.now);
    }
    assert_eq!(sim.run_round().len(), WORKERS);
    complete_one_run_per_worker(&mut sim);
    sim.scheduler.plan(sim.now);
    let batch = sim.scheduler.take_batch(LIMITS, sim.now);
    assert!(batch.row_count() <= LIMITS.rows_max);
    assert!(batch.progress.len() >= 15, "completions: {}", batch.progress.len());
    assert!(batch.assignments.len() >= 30, "new runs: {}", batch.assignments.len());
}

#[test]
fn completions_fill_the_batch_when_there_are_no_new_runs() {
    let mut sim = simulation_with_workers();
    for number in 0..WORKERS {
        let later = Step { depends_on: vec![0], ..step(1, 16_000) };
        let steps = vec![step(2, 8_000), later];
        let record = job(&format!("j{number:04}"), steps, sim.now);
        sim.scheduler.add_job(record, sim.now);
    }
    sim.run_round();
    complete_one_run_per_worker(&mut sim);
    let batch = sim.scheduler.take_batch(LIMITS, sim.now);
    assert!(batch.progress.len() >= 60, "{}", batch.progress.len());
}
