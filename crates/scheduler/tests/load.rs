//! Many ends and many new runs at once: what one transaction holds of them.

#[path = "common/world.rs"]
mod world;

use scheduler::BatchLimits;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::Step;
use scheduler::UnitKey;
use world::World;
use world::config;
use world::job;
use world::step;

const NO_BOUND: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };
const WORKERS: usize = 200;
const LIMITS: BatchLimits = BatchLimits { rows_max: 70, progress_rows_max: 70 };

fn world_of_workers() -> World {
    let ids: Vec<String> = (0..WORKERS).map(|number| format!("w{number:03}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    World::new(&ids, config(3, NO_BOUND))
}

/// Ends the first unit on each worker, as all of them report then.
fn end_one_on_each(world: &mut World) {
    let running: Vec<UnitKey> =
        world.workers.iter().map(|worker| worker.running[0].unit.clone()).collect();
    for unit in &running {
        world.end(unit, RunOutcome::Done);
    }
    world.report_all();
}

#[test]
fn ends_and_new_runs_share_a_transaction_when_there_are_many_of_both() {
    let mut world = world_of_workers();
    // Each worker has room for one unit at a time, and there are two jobs of a unit for each.
    for number in 0..WORKERS * 2 {
        let record = job(&format!("j{number:04}"), vec![step(1, 16_000)], world.now);
        world.scheduler.add_job(record, world.now);
    }
    assert_eq!(world.round().len(), WORKERS);
    end_one_on_each(&mut world);
    world.scheduler.plan(world.now);
    let batch = world.scheduler.take_batch(LIMITS, world.now);
    assert!(batch.row_count() <= LIMITS.rows_max);
    assert!(batch.progress.len() >= 15, "ends: {}", batch.progress.len());
    assert!(batch.assignments.len() >= 30, "new runs: {}", batch.assignments.len());
}

#[test]
fn ends_take_the_whole_transaction_when_there_are_no_new_runs() {
    let mut world = world_of_workers();
    for number in 0..WORKERS {
        let later = Step { depends_on: vec![0], ..step(1, 16_000) };
        let steps = vec![step(2, 8_000), later];
        let record = job(&format!("j{number:04}"), steps, world.now);
        world.scheduler.add_job(record, world.now);
    }
    world.round();
    end_one_on_each(&mut world);
    let batch = world.scheduler.take_batch(LIMITS, world.now);
    assert!(batch.progress.len() >= 60, "{}", batch.progress.len());
}
