//! What is logged and counted when a unit is started again, or is listed by two workers.

#[path = "common/simulation.rs"]
mod simulation;

use scheduler::Action;
use scheduler::EndEvidence;
use scheduler::Resources;
use scheduler::RunOutcome;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::seconds;
use simulation::step;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };

/// Starts a unit on `w1`, the only responsive worker, and lets `w2` reply from then on.
fn start_on_first(sim: &mut Simulation) {
    sim.worker("w2").is_responsive = false;
    sim.scheduler.add_job(job("a", vec![step(1, 1_000)], sim.now), sim.now);
    let starts = sim.run_for(millis(400));
    assert_eq!(&*starts[0].worker, "w1");
    sim.worker("w2").is_responsive = true;
}

fn evidence(sim: &Simulation) -> Vec<EndEvidence> {
    let logged = sim.other_actions.iter().filter_map(|action| match action {
        Action::LogRestartedUnit { ended, .. } => Some(ended.evidence),
        _ => None,
    });
    logged.collect()
}

/// Guards against a second start of a unit of which no log line tells why the first run counted as
/// ended.
#[test]
fn a_second_start_names_the_evidence_that_the_first_run_has_ended() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    start_on_first(&mut sim);
    assert!(evidence(&sim).is_empty(), "a first start has no run before it");
    sim.worker("w1").is_responsive = false;
    assert_eq!(sim.run_for(seconds(8)).len(), 1);
    assert_eq!(evidence(&sim), [EndEvidence::LeaseExpired]);
}

#[test]
fn a_listed_failure_is_the_evidence_for_the_next_start() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    start_on_first(&mut sim);
    let unit = sim.worker("w1").running[0].unit.clone();
    sim.complete_run(&unit, RunOutcome::Failed);
    sim.run_for(millis(400));
    assert_eq!(evidence(&sim), [EndEvidence::Completion(RunOutcome::Failed)]);
}

/// Guards against units that run twice without a sign of it: a worker lists a run of a unit that is
/// assigned to another worker.
#[test]
fn a_unit_that_is_listed_by_two_workers_is_counted() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    start_on_first(&mut sim);
    let running = sim.worker("w1").running.clone();
    sim.worker("w2").running = running;
    sim.report("w2");
    assert_eq!(sim.scheduler.take_counts().units_on_two_workers, 1);
    let actions = sim.scheduler.take_actions();
    let is_logged = |action: &Action| matches!(action, Action::LogUnexpectedRun { assigned: Some(run), .. } if &*run.worker == "w1");
    assert!(actions.iter().any(is_logged), "{actions:?}");
}

/// Guards against a job that is forgotten while its units run: a refused transaction that held the
/// job once more took it out.
#[test]
fn a_job_whose_unit_was_started_is_not_withdrawn() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    start_on_first(&mut sim);
    assert!(!sim.scheduler.withdraw_job("a", sim.now));
    assert!(sim.scheduler.view("a").is_some());
}
