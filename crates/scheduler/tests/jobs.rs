//! The life of a job: order of steps, attempts, cancellation, bounds of teams and of workers.

#[path = "common/world.rs"]
mod world;

use scheduler::BatchLimits;
use scheduler::CancelOutcome;
use scheduler::FinalState;
use scheduler::JobView;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::Step;
use world::World;
use world::config;
use world::job;
use world::millis;
use world::seconds;
use world::step;
use world::unit;

const NO_BOUND: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };

#[test]
fn a_step_starts_only_once_the_ends_before_it_are_stored() {
    let mut world = World::new(&["w1"], config(3, NO_BOUND));
    let second = Step { depends_on: vec![0], ..step(1, 1_000) };
    world.scheduler.add_job(job("a", vec![step(2, 1_000), second], world.now), world.now);
    assert_eq!(world.round().len(), 2);
    world.end(&unit("a", 0, 0), RunOutcome::Done);
    world.end(&unit("a", 0, 1), RunOutcome::Done);
    world.report_all();
    world.scheduler.plan(world.now);
    assert!(world.carry_out().is_empty(), "the ends are not stored");
    world.commit();
    let starts = world.round();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].unit, unit("a", 1, 0));
    world.end(&unit("a", 1, 0), RunOutcome::Done);
    world.report_all();
    assert_eq!(world.scheduler.view("a"), Some(JobView::Running));
    world.commit();
    assert_eq!(world.scheduler.view("a"), Some(JobView::Ended(FinalState::Completed)));
}

#[test]
fn a_run_is_not_stored_before_the_ends_that_it_waited_for() {
    let mut world = World::new(&["w1"], config(3, NO_BOUND));
    let second = Step { depends_on: vec![0], ..step(1, 1_000) };
    world.scheduler.add_job(job("a", vec![step(1, 1_000), second], world.now), world.now);
    world.round();
    world.end(&unit("a", 0, 0), RunOutcome::Done);
    world.report_all();
    world.scheduler.plan(world.now);
    // A batch without room for the progress of the job holds no run of it either.
    world.commit_at_most(0);
    assert!(world.carry_out().is_empty());
    // One that has room holds both, so that the run is ordered after one transaction.
    world.commit();
    assert_eq!(world.carry_out().len(), 1);
}

#[test]
fn a_job_waits_until_a_unit_of_it_has_been_started() {
    let mut world = World::new(&["w1"], config(3, NO_BOUND));
    world.scheduler.add_job(job("a", vec![step(1, 1_000)], world.now), world.now);
    world.scheduler.plan(world.now);
    world.commit();
    assert_eq!(world.scheduler.view("a"), Some(JobView::Queued));
    assert_eq!(world.scheduler.queued_jobs("q"), 1);
    world.carry_out();
    assert_eq!(world.scheduler.view("a"), Some(JobView::Running));
    assert_eq!(world.scheduler.queued_jobs("q"), 0);
}

#[test]
fn a_job_that_could_not_be_stored_leaves_nothing_behind() {
    let mut world = World::new(&["w1"], config(3, NO_BOUND));
    world.scheduler.add_job(job("a", vec![step(16, 1_000)], world.now), world.now);
    world.scheduler.plan(world.now);
    world.scheduler.withdraw_job("a", world.now);
    assert_eq!(world.scheduler.view("a"), None);
    world.scheduler.add_job(job("b", vec![step(16, 1_000)], world.now), world.now);
    assert_eq!(world.round().len(), 16);
}

#[test]
fn a_unit_that_fails_too_often_fails_its_job() {
    let mut world = World::new(&["w1", "w2", "w3"], config(2, NO_BOUND));
    world.scheduler.add_job(job("a", vec![step(1, 1_000)], world.now), world.now);
    for _ in 0..2 {
        assert_eq!(world.round().len(), 1);
        world.end(&unit("a", 0, 0), RunOutcome::Failed);
        world.report_all();
        world.commit();
    }
    assert!(world.round().is_empty());
    assert_eq!(world.scheduler.view("a"), Some(JobView::Ended(FinalState::Failed)));
}

#[test]
fn a_cancelled_job_starts_nothing_and_its_runs_are_stopped() {
    let mut world = World::new(&["w1"], config(3, NO_BOUND));
    let second = Step { depends_on: vec![0], ..step(1, 1_000) };
    world.scheduler.add_job(job("a", vec![step(2, 1_000), second], world.now), world.now);
    world.round();
    assert_eq!(world.scheduler.cancel("a"), CancelOutcome::Pending);
    world.commit();
    assert!(world.pass(seconds(1)).is_empty());
    assert!(world.worker("w1").running.is_empty());
    assert_eq!(world.scheduler.cancel("a"), CancelOutcome::Ended);
    assert_eq!(world.scheduler.cancel("b"), CancelOutcome::Unknown);
}

#[test]
fn no_worker_gets_more_than_it_has() {
    let mut world = World::new(&["w1", "w2"], config(3, NO_BOUND));
    world.scheduler.add_job(job("a", vec![step(20, 3_000)], world.now), world.now);
    assert_eq!(world.round().len(), 10);
    assert!(world.pass(seconds(1)).is_empty());
    world.end(&unit("a", 0, 0), RunOutcome::Done);
    assert_eq!(world.pass(millis(200)).len(), 1);
}

#[test]
fn no_team_gets_more_than_its_bound() {
    let quota = Resources { cpu_millis: 5_000, memory_mb: 0, gpus: 0 };
    let mut world = World::new(&["w1", "w2"], config(3, quota));
    world.scheduler.add_job(job("a", vec![step(20, 1_000)], world.now), world.now);
    assert_eq!(world.round().len(), 5);
    world.end(&unit("a", 0, 0), RunOutcome::Done);
    assert_eq!(world.pass(millis(200)).len(), 1);
}

#[test]
fn units_of_a_step_are_spread() {
    let mut world = World::new(&["w1", "w2"], config(3, NO_BOUND));
    let spread = Step { per_worker_max: 1, ..step(5, 1_000) };
    world.scheduler.add_job(job("a", vec![spread], world.now), world.now);
    let starts = world.round();
    assert_eq!(starts.len(), 2);
    assert_ne!(starts[0].worker, starts[1].worker);
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut world = World::new(&["w1"], config(3, NO_BOUND));
    let gang = Step { is_gang: true, ..step(5, 4_000) };
    world.scheduler.add_job(job("a", vec![gang.clone()], world.now), world.now);
    assert!(world.round().is_empty(), "five units of four cores do not fit");
    let small = Step { count: 4, ..gang };
    world.scheduler.add_job(job("b", vec![small], world.now), world.now);
    let starts = world.pass(millis(200));
    assert_eq!(starts.len(), 4);
    assert!(starts.iter().all(|order| order.run == starts[0].run));
    // One end that is done stands for all.
    world.end(&unit("b", 0, 2), RunOutcome::Done);
    world.pass(millis(400));
    assert_eq!(world.scheduler.view("b"), Some(JobView::Ended(FinalState::Completed)));
}

#[test]
fn an_order_that_was_not_answered_keeps_its_room_until_it_cannot_take_effect() {
    let mut world = World::new(&["w1"], config(3, NO_BOUND));
    world.worker("w1").answers = false;
    world.scheduler.add_job(job("a", vec![step(1, 16_000)], world.now), world.now);
    assert_eq!(world.round().len(), 1);
    world.worker("w1").answers = true;
    // The worker has answered the stop and lists nothing: the order can have no effect any more.
    let starts = world.pass(seconds(4));
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].run, 2);
}

#[test]
fn occurrences_run_when_they_are_due() {
    let mut world = World::new(&["w1"], config(3, NO_BOUND));
    let mut record = (*job("a", vec![step(1, 1_000)], world.now)).clone();
    record.first_due_ms = record.accepted_ms + 1_000;
    record.interval_ms = 2_000;
    record.repetitions = 2;
    world.scheduler.add_job(record.into(), world.now);
    assert!(world.pass(millis(800)).is_empty());
    assert_eq!(world.pass(millis(400)).len(), 1);
    world.end(&unit("a", 0, 0), RunOutcome::Done);
    let starts = world.pass(seconds(2));
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].unit.occurrence, 1);
    let second = scheduler::UnitKey { occurrence: 1, ..unit("a", 0, 0) };
    world.end(&second, RunOutcome::Done);
    world.pass(millis(400));
    assert_eq!(world.scheduler.view("a"), Some(JobView::Ended(FinalState::Completed)));
}

#[test]
fn ends_are_acknowledged_as_far_as_their_jobs_fit_into_a_batch() {
    let mut world = World::new(&["w1"], config(3, NO_BOUND));
    for id in ["c", "b", "a"] {
        world.scheduler.add_job(job(id, vec![step(1, 1_000)], world.now), world.now);
    }
    world.round();
    for id in ["c", "b", "a"] {
        world.end(&unit(id, 0, 0), RunOutcome::Done);
    }
    world.report_all();
    // The jobs are stored in the order in which they changed, not in that of their ids.
    for (id, number) in [("c", 1), ("b", 2), ("a", 3)] {
        // An ended job takes two rows.
        let limits = BatchLimits { rows_max: 10, progress_rows_max: 2 };
        let batch = world.scheduler.take_batch(limits, world.now);
        let stored: Vec<&str> = batch.progress.iter().map(|(id, _)| &**id).collect();
        assert_eq!(stored, [id]);
        assert_eq!(
            batch.completions.iter().map(|completions| completions.number).collect::<Vec<u64>>(),
            [number]
        );
        world.scheduler.handle_commit(&batch, world.now);
    }
}
