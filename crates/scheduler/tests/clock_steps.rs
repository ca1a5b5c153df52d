//! Takeovers by a node whose time of day differs from that of the previous owner.

#[path = "common/simulation.rs"]
mod simulation;

use std::sync::Arc;

use scheduler::JobRecord;
use scheduler::Resources;
use scheduler::RunOutcome;
use simulation::SimulatedWorker;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::seconds;
use simulation::step;
use simulation::unit;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };

/// Creates a simulation with a job that is due each minute, and runs its first occurrence.
fn scheduled_job() -> (Simulation, Arc<JobRecord>) {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    let immediate = job("a", vec![step(1, 1_000)], sim.now);
    let record = Arc::new(JobRecord {
        first_due_ms: immediate.accepted_ms + 1_000,
        interval_ms: 60_000,
        repetitions: 2,
        ..(*immediate).clone()
    });
    sim.scheduler.add_job(record.clone(), sim.now);
    assert_eq!(sim.run_for(seconds(2)).len(), 1);
    (sim, record)
}

/// Guards against a finished occurrence that runs again: the clock of the successor was behind, so
/// that for it the occurrence was not due yet, and it dropped what was stored about it.
#[test]
fn a_finished_occurrence_does_not_run_again_if_the_clock_of_the_successor_is_behind() {
    let (mut sim, record) = scheduled_job();
    sim.complete_run(&unit("a", 0, 0), RunOutcome::Done);
    sim.run_for(millis(600));
    sim.clock_behind = seconds(5);
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[record]);
    let starts = sim.run_for(seconds(10));
    assert!(starts.is_empty(), "{starts:?}");
}

/// Guards against two runs of a unit: the clock of the successor was behind, and it forgot a run on
/// a silent worker whose occurrence was not due for it yet.
#[test]
fn a_running_occurrence_is_not_started_again_if_the_clock_of_the_successor_is_behind() {
    let (mut sim, record) = scheduled_job();
    sim.commit();
    sim.worker("w1").is_responsive = false;
    sim.clock_behind = seconds(5);
    sim.workers.push(SimulatedWorker { id: "w2".into(), ..sim.workers[0].clone() });
    sim.worker("w2").is_responsive = true;
    sim.worker("w2").running.clear();
    sim.take_over(2, config(3, NO_QUOTA), seconds(20), &[record]);
    let starts = sim.run_for(seconds(10));
    assert!(starts.is_empty(), "{starts:?}");
}
