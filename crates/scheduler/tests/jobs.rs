//! Lifecycle of a job: order of steps, attempts, cancellation, quotas of teams and capacity of
//! workers.

#[path = "common/simulation.rs"]
mod simulation;

use std::time::Duration;

use rstest::rstest;
use scheduler::BatchLimits;
use scheduler::CancelOutcome;
use scheduler::FinalState;
use scheduler::JobView;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::Step;
use scheduler::WorkerRegistration;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::registration;
use simulation::seconds;
use simulation::step;
use simulation::unit;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };
/// Capacity for one unit of 4,000 millicores.
const SMALL: Resources = Resources { cpu_millis: 6_000, memory_mb: 32_768, gpus: 0 };

#[test]
fn a_step_starts_only_once_its_dependencies_are_stored() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    let second = Step { depends_on: vec![0], ..step(1, 1_000) };
    sim.scheduler.add_job(job("a", vec![step(2, 1_000), second], sim.now), sim.now);
    assert_eq!(sim.run_round().len(), 2);
    sim.complete_run(&unit("a", 0, 0), RunOutcome::Done);
    sim.complete_run(&unit("a", 0, 1), RunOutcome::Done);
    sim.report_all();
    sim.scheduler.plan(sim.now);
    assert!(sim.carry_out_actions().is_empty(), "the completions are not stored");
    sim.commit();
    let starts = sim.run_round();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].unit, unit("a", 1, 0));
    sim.complete_run(&unit("a", 1, 0), RunOutcome::Done);
    sim.report_all();
    assert_eq!(sim.scheduler.view("a"), Some(JobView::Running));
    sim.commit();
    assert_eq!(sim.scheduler.view("a"), Some(JobView::Ended(FinalState::Completed)));
}

#[test]
fn a_run_is_not_stored_before_the_completions_it_depends_on() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    let second = Step { depends_on: vec![0], ..step(1, 1_000) };
    sim.scheduler.add_job(job("a", vec![step(1, 1_000), second], sim.now), sim.now);
    sim.run_round();
    sim.complete_run(&unit("a", 0, 0), RunOutcome::Done);
    sim.report_all();
    sim.scheduler.plan(sim.now);
    // A batch whose limits leave no room for the progress of the job does not store its new run
    // either.
    sim.commit_with_limit(0);
    assert!(sim.carry_out_actions().is_empty());
    // A larger batch stores both, so the start command is sent after a single transaction.
    sim.commit();
    assert_eq!(sim.carry_out_actions().len(), 1);
}

#[test]
fn a_job_is_queued_until_one_of_its_units_starts() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![step(1, 1_000)], sim.now), sim.now);
    sim.scheduler.plan(sim.now);
    sim.commit();
    assert_eq!(sim.scheduler.view("a"), Some(JobView::Queued));
    assert_eq!(sim.scheduler.queued_jobs("q"), 1);
    sim.carry_out_actions();
    assert_eq!(sim.scheduler.view("a"), Some(JobView::Running));
    assert_eq!(sim.scheduler.queued_jobs("q"), 0);
}

#[test]
fn a_withdrawn_job_releases_its_reservations() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![step(16, 1_000)], sim.now), sim.now);
    sim.scheduler.plan(sim.now);
    sim.scheduler.withdraw_job("a", sim.now);
    assert_eq!(sim.scheduler.view("a"), None);
    sim.scheduler.add_job(job("b", vec![step(16, 1_000)], sim.now), sim.now);
    assert_eq!(sim.run_round().len(), 16);
}

#[test]
fn a_unit_that_fails_too_often_fails_its_job() {
    let mut sim = Simulation::new(&["w1", "w2", "w3"], config(2, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![step(1, 1_000)], sim.now), sim.now);
    for _ in 0..2 {
        assert_eq!(sim.run_round().len(), 1);
        sim.complete_run(&unit("a", 0, 0), RunOutcome::Failed);
        sim.report_all();
        sim.commit();
    }
    assert!(sim.run_round().is_empty());
    assert_eq!(sim.scheduler.view("a"), Some(JobView::Ended(FinalState::Failed)));
}

#[test]
fn a_cancelled_job_starts_no_units_and_its_runs_are_stopped() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    let second = Step { depends_on: vec![0], ..step(1, 1_000) };
    sim.scheduler.add_job(job("a", vec![step(2, 1_000), second], sim.now), sim.now);
    sim.run_round();
    assert_eq!(sim.scheduler.cancel("a"), CancelOutcome::Pending);
    sim.commit();
    assert!(sim.run_for(seconds(1)).is_empty());
    assert!(sim.worker("w1").running.is_empty());
    assert_eq!(sim.scheduler.cancel("a"), CancelOutcome::Ended);
    assert_eq!(sim.scheduler.cancel("b"), CancelOutcome::Unknown);
}

/// Guards against units that start after their job was cancelled: a run that was being stored when
/// the cancellation came was started once it was stored.
#[test]
fn a_run_that_is_being_stored_is_not_started_after_a_cancellation() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![step(1, 1_000)], sim.now), sim.now);
    sim.scheduler.plan(sim.now);
    let limits = BatchLimits {
        rows_max: 100,
        progress_rows_max: 100,
        bytes_max: simulation::BATCH_BYTES_MAX,
    };
    let batch = sim.scheduler.take_batch(limits, sim.now);
    assert_eq!(batch.assignments.len(), 1);
    assert_eq!(sim.scheduler.cancel("a"), CancelOutcome::Pending);
    sim.scheduler.handle_commit(&batch, sim.now);
    assert!(sim.carry_out_actions().is_empty());
    sim.commit();
    assert_eq!(sim.scheduler.view("a"), Some(JobView::Ended(FinalState::Cancelled)));
}

#[test]
fn no_worker_exceeds_its_capacity() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![step(20, 3_000)], sim.now), sim.now);
    assert_eq!(sim.run_round().len(), 10);
    assert!(sim.run_for(seconds(1)).is_empty());
    sim.complete_run(&unit("a", 0, 0), RunOutcome::Done);
    assert_eq!(sim.run_for(millis(200)).len(), 1);
}

#[test]
fn no_team_exceeds_its_quota() {
    let quota = Resources { cpu_millis: 5_000, memory_mb: 0, gpus: 0 };
    let mut sim = Simulation::new(&["w1", "w2"], config(3, quota));
    sim.scheduler.add_job(job("a", vec![step(20, 1_000)], sim.now), sim.now);
    assert_eq!(sim.run_round().len(), 5);
    sim.complete_run(&unit("a", 0, 0), RunOutcome::Done);
    assert_eq!(sim.run_for(millis(200)).len(), 1);
}

#[test]
fn units_of_a_step_are_spread_over_workers() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let spread = Step { per_worker_max: 1, ..step(5, 1_000) };
    sim.scheduler.add_job(job("a", vec![spread], sim.now), sim.now);
    let starts = sim.run_round();
    assert_eq!(starts.len(), 2);
    assert_ne!(starts[0].worker, starts[1].worker);
}

#[test]
fn a_gang_starts_completely_or_not_at_all() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    let gang = Step { is_gang: true, ..step(5, 4_000) };
    sim.scheduler.add_job(job("a", vec![gang.clone()], sim.now), sim.now);
    assert!(sim.run_round().is_empty(), "five units of four cores do not fit");
    let small = Step { count: 4, ..gang };
    sim.scheduler.add_job(job("b", vec![small], sim.now), sim.now);
    let starts = sim.run_for(millis(200));
    assert_eq!(starts.len(), 4);
    assert!(starts.iter().all(|command| command.run == starts[0].run));
    // One successful unit finishes the whole gang.
    sim.complete_run(&unit("b", 0, 2), RunOutcome::Done);
    sim.run_for(millis(400));
    assert_eq!(sim.scheduler.view("b"), Some(JobView::Ended(FinalState::Completed)));
}

#[test]
fn a_start_without_reply_keeps_its_reservation_until_it_cannot_take_effect() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    sim.worker("w1").is_responsive = false;
    sim.scheduler.add_job(job("a", vec![step(1, 16_000)], sim.now), sim.now);
    assert_eq!(sim.run_round().len(), 1);
    sim.worker("w1").is_responsive = true;
    // The worker replied to the stop command and lists no run, so the start command cannot take
    // effect any more.
    let starts = sim.run_for(seconds(4));
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].run, 2);
}

#[test]
fn occurrences_run_when_they_are_due() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    let mut record = (*job("a", vec![step(1, 1_000)], sim.now)).clone();
    record.first_due_ms = record.accepted_ms + 1_000;
    record.interval_ms = 2_000;
    record.repetitions = 2;
    sim.scheduler.add_job(record.into(), sim.now);
    assert!(sim.run_for(millis(800)).is_empty());
    assert_eq!(sim.run_for(millis(400)).len(), 1);
    sim.complete_run(&unit("a", 0, 0), RunOutcome::Done);
    let starts = sim.run_for(seconds(2));
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].unit.occurrence, 1);
    let second = scheduler::UnitKey { occurrence: 1, ..unit("a", 0, 0) };
    sim.complete_run(&second, RunOutcome::Done);
    sim.run_for(millis(400));
    assert_eq!(sim.scheduler.view("a"), Some(JobView::Ended(FinalState::Completed)));
}

#[test]
fn completions_are_acknowledged_only_if_their_jobs_fit_into_the_batch() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    for id in ["c", "b", "a"] {
        sim.scheduler.add_job(job(id, vec![step(1, 1_000)], sim.now), sim.now);
    }
    sim.run_round();
    for id in ["c", "b", "a"] {
        sim.complete_run(&unit(id, 0, 0), RunOutcome::Done);
    }
    sim.report_all();
    // The jobs are stored in the order in which they changed, not in the order of their
    // identifiers.
    for (id, number) in [("c", 1), ("b", 2), ("a", 3)] {
        // A finished job takes two rows.
        let limits = BatchLimits {
            rows_max: 10,
            progress_rows_max: 2,
            bytes_max: simulation::BATCH_BYTES_MAX,
        };
        let batch = sim.scheduler.take_batch(limits, sim.now);
        let stored: Vec<&str> = batch.progress.iter().map(|(id, _)| &**id).collect();
        assert_eq!(stored, [id]);
        assert_eq!(
            batch.completions.iter().map(|completions| completions.number).collect::<Vec<u64>>(),
            [number]
        );
        sim.scheduler.handle_commit(&batch, sim.now);
    }
}

// Guards against a start on a worker whose capacity shrank, or which began to leave, while the run
// was being stored.
#[rstest]
#[case::shrunk(WorkerRegistration { capacity: SMALL, ..registration("w1") })]
#[case::leaving(WorkerRegistration { is_draining: true, ..registration("w1") })]
fn a_run_is_not_started_on_a_worker_that_stopped_taking_it(#[case] changed: WorkerRegistration) {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![step(4, 4_000)], sim.now), sim.now);
    sim.scheduler.plan(sim.now);
    sim.scheduler.update_worker(changed.clone(), Duration::ZERO, sim.now);
    sim.commit();
    let starts = sim.carry_out_actions();
    let fits = if changed.is_draining { 0 } else { 1 };
    assert_eq!(starts.len(), fits, "{starts:?}");
    // Once the worker takes runs again, the other units start there.
    sim.scheduler.update_worker(registration("w1"), Duration::ZERO, sim.now);
    assert_eq!(sim.run_for(seconds(1)).len(), 4 - fits);
}

// Guards against a gang that starts without a unit whose worker stopped taking runs meanwhile, and
// waits for it in vain.
#[test]
fn a_gang_is_not_started_without_a_unit_on_a_worker_that_stopped_taking_runs() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let gang = Step { is_gang: true, per_worker_max: 1, ..step(2, 4_000) };
    sim.scheduler.add_job(job("a", vec![gang], sim.now), sim.now);
    sim.scheduler.plan(sim.now);
    let leaving = WorkerRegistration { is_draining: true, ..registration("w2") };
    sim.scheduler.update_worker(leaving, Duration::ZERO, sim.now);
    sim.commit();
    sim.carry_out_actions();
    assert!(sim.workers.iter().all(|worker| worker.running.is_empty()));
}

// Guards against giving up the runs of a worker that is silent for a moment: without reports they
// show no progress.
#[test]
fn the_runs_of_a_silent_worker_are_not_stopped_as_stalled() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![step(2, 1_000)], sim.now), sim.now);
    sim.scheduler.add_job(job("b", vec![step(2, 1_000)], sim.now), sim.now);
    sim.run_round();
    for _ in 0..10 {
        sim.scheduler.request_lease("w1", sim.now);
        sim.run_for(millis(200));
    }
    let runs_before = sim.worker("w1").running.len();
    assert_eq!(runs_before, 4);
    sim.worker("w1").is_responsive = false;
    sim.run_for(millis(4_000));
    sim.worker("w1").is_responsive = true;
    sim.run_for(seconds(1));
    assert_eq!(sim.worker("w1").running.len(), runs_before);
    sim.scheduler.add_job(job("c", vec![step(8, 1_000)], sim.now), sim.now);
    assert_eq!(sim.run_for(seconds(1)).len(), 8);
    assert!(sim.worker("w1").running.len() > runs_before, "the worker gets new runs");
}

/// Guards against a step that fits nowhere holding back a smaller one, or one whose own
/// restriction was the reason holding back one without it.
#[rstest]
#[case::too_large(Step { ..step(1, 12_000) })]
#[case::label_that_no_worker_has(Step { label: Some("other".to_owned()), ..step(1, 1_000) })]
#[case::spread_over_more_workers(Step { per_worker_max: 1, ..step(3, 1_000) })]
fn a_step_that_fits_nowhere_does_not_hold_back_others(#[case] first: Step) {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    sim.scheduler.add_job(job("0-running", vec![step(1, 6_000)], sim.now), sim.now);
    sim.run_round();
    sim.scheduler.add_job(job("1-first", vec![first], sim.now), sim.now);
    sim.scheduler.add_job(job("2-small", vec![step(2, 1_000)], sim.now), sim.now);
    let starts = sim.run_round();
    let small = starts.iter().filter(|start| &*start.unit.job == "2-small").count();
    assert_eq!(small, 2);
}
