//! A completion is acknowledged only once what it shows is stored.

#[path = "common/simulation.rs"]
mod simulation;

use scheduler::BatchLimits;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::SentPoll;
use scheduler::Step;
use scheduler::WorkerReport;
use simulation::BATCH_BYTES_MAX;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::step;
use simulation::unit;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };

/// Guards against a gang that runs again after it was done: the completion of its second unit was
/// acknowledged although it was not stored that the gang had finished, which the first unit's
/// completion had shown.
#[test]
fn no_completion_of_a_gang_is_acknowledged_before_its_success_is_stored() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let gang = Step { is_gang: true, per_worker_max: 1, ..step(2, 1_000) };
    sim.scheduler.add_job(job("a", vec![gang], sim.now), sim.now);
    assert_eq!(sim.run_round().len(), 2);
    for index in 0..2 {
        sim.complete_run(&unit("a", 0, index), RunOutcome::Done);
        sim.report_all();
    }
    let limits = BatchLimits { rows_max: 100, progress_rows_max: 0, bytes_max: BATCH_BYTES_MAX };
    let batch = sim.scheduler.take_batch(limits, sim.now);
    assert!(batch.progress.is_empty(), "{batch:?}");
    assert_eq!(batch.completions, []);
    sim.commit();
    assert!(sim.workers.iter().all(|worker| worker.completions.is_empty()), "both are in the end");
}

/// Guards against completions that are never acknowledged: the worker closes each connection, and
/// polls on new ones acknowledge nothing.
#[test]
fn completions_are_acknowledged_on_a_new_connection_if_others_fail_to() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![step(1, 1_000)], sim.now), sim.now);
    assert_eq!(sim.run_round().len(), 1);
    sim.complete_run(&unit("a", 0, 0), RunOutcome::Done);
    sim.report("w1");
    sim.commit();
    let report = |sim: &mut Simulation, acknowledged_completion, is_acknowledgement_withheld| {
        let poll =
            SentPoll { acknowledged_completion, is_acknowledgement_withheld, ..sim.poll("w1") };
        let report = WorkerReport { incarnation_started_ms: 1, ..WorkerReport::default() };
        sim.scheduler.handle_report(&"w1".into(), &report, poll, sim.now);
    };
    let closes_connections =
        |sim: &Simulation| sim.scheduler.worker("w1").unwrap().closes_connections();
    for _ in 0..4 {
        // A repeated poll acknowledges nothing on purpose.
        report(&mut sim, 0, false);
    }
    for _ in 0..4 {
        assert!(!closes_connections(&sim));
        report(&mut sim, 0, true);
    }
    assert!(closes_connections(&sim));
    report(&mut sim, 1, false);
    assert!(!closes_connections(&sim));
}
