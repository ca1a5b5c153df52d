//! Taking over while workers are silent, ends are not stored and entries have left the registry.

#[path = "common/world.rs"]
mod world;

use scheduler::FinalState;
use scheduler::HostReply;
use scheduler::JobView;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::Step;
use world::World;
use world::config;
use world::entry;
use world::job;
use world::millis;
use world::seconds;
use world::step;
use world::unit;

const NO_BOUND: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };

#[test]
fn a_unit_found_running_goes_on() {
    let mut world = World::new(&["w1", "w2"], config(3, NO_BOUND));
    let record = job("a", vec![step(2, 1_000)], world.now);
    world.scheduler.add_job(record.clone(), world.now);
    assert_eq!(world.round().len(), 2);
    world.take_over(2, config(3, NO_BOUND), seconds(6), &[record]);
    let starts = world.pass(seconds(2));
    assert!(starts.is_empty(), "{starts:?}");
    assert_eq!(world.scheduler.view("a"), Some(JobView::Running));
}

#[test]
fn a_unit_found_nowhere_waits_for_the_lease_of_a_silent_worker() {
    let mut world = World::new(&["w1", "w2"], config(3, NO_BOUND));
    let record = job("a", vec![step(1, 1_000)], world.now);
    world.scheduler.add_job(record.clone(), world.now);
    let started_on = world.round()[0].worker.clone();
    world.worker(&started_on).answers = false;
    world.now += seconds(1);
    world.take_over(2, config(3, NO_BOUND), seconds(6), &[record]);
    assert!(world.pass(millis(5_800)).is_empty());
    let starts = world.pass(seconds(1));
    assert_eq!(starts.len(), 1);
    assert_ne!(starts[0].worker, started_on);
    assert!(starts[0].run > 1, "the number of a run rises");
}

#[test]
fn a_unit_that_no_row_names_waits_for_nobody() {
    let mut world = World::new(&["w1", "w2"], config(3, NO_BOUND));
    let record = job("a", vec![step(1, 1_000)], world.now);
    world.scheduler.add_job(record.clone(), world.now);
    // The owner ends before the run is stored, so that its order was never sent.
    world.scheduler.plan(world.now);
    assert!(world.carry_out().is_empty());
    world.worker("w1").answers = false;
    world.take_over(2, config(3, NO_BOUND), seconds(6), &[record]);
    assert_eq!(world.pass(millis(400)).len(), 1);
}

#[test]
fn a_worker_that_left_the_registry_is_waited_for() {
    let mut world = World::new(&["w1", "w2"], config(3, NO_BOUND));
    let record = job("a", vec![step(1, 1_000)], world.now);
    world.scheduler.add_job(record.clone(), world.now);
    let started_on = world.round()[0].worker.clone();
    // The store was away: the entry has lapsed, but the worker lives and has ended the unit.
    let gone = world.workers.iter().position(|worker| worker.id == started_on).unwrap();
    let mut gone = world.workers.remove(gone);
    gone.end(&unit("a", 0, 0), RunOutcome::Done);
    world.take_over(2, config(3, NO_BOUND), seconds(6), &[record]);
    assert!(world.pass(seconds(2)).is_empty());
    world.workers.push(gone);
    assert!(world.pass(seconds(2)).is_empty());
    assert!(matches!(world.scheduler.view("a"), Some(JobView::Ended(_))));
}

#[test]
fn a_run_stays_in_its_row_until_its_end_is_stored() {
    let mut world = World::new(&["w1"], config(3, NO_BOUND));
    let first = job("a", vec![step(1, 1_000)], world.now);
    world.scheduler.add_job(first.clone(), world.now);
    world.round();
    world.end(&unit("a", 0, 0), RunOutcome::Done);
    world.report_all();
    // A batch without room for the progress of the job, but with a new run on the same worker.
    let second = job("b", vec![step(1, 1_000)], world.now);
    world.scheduler.add_job(second.clone(), world.now);
    world.scheduler.plan(world.now);
    world.commit_at_most(0);
    // The owner ends, and the worker does not answer the next one, which may use another worker.
    world.add_worker("w2");
    world.worker("w1").answers = false;
    world.take_over(2, config(3, NO_BOUND), seconds(6), &[first, second]);
    assert!(world.pass(seconds(2)).is_empty());
    world.worker("w1").answers = true;
    assert!(world.pass(seconds(2)).iter().all(|order| order.unit != unit("a", 0, 0)));
    assert!(matches!(world.scheduler.view("a"), Some(JobView::Ended(_))));
}

#[test]
fn failures_that_were_not_stored_count_in_any_order() {
    let mut world = World::new(&["w1", "w2", "w3"], config(3, NO_BOUND));
    let record = job("a", vec![step(1, 1_000)], world.now);
    world.scheduler.add_job(record.clone(), world.now);
    // Three workers still list a failed run each, none of which is stored.
    for (id, run) in [("w1", 1), ("w2", 2), ("w3", 3)] {
        let worker = world.worker(id);
        worker.run(&unit("a", 0, 0), run);
        worker.end(&unit("a", 0, 0), RunOutcome::Failed);
    }
    world.take_over(2, config(3, NO_BOUND), seconds(6), &[record]);
    for id in ["w3", "w2", "w1"] {
        world.report(id);
    }
    world.commit();
    assert!(world.round().is_empty(), "all attempts are used up");
    assert!(matches!(world.scheduler.view("a"), Some(JobView::Ended(_))));
}

#[test]
fn a_listed_run_supersedes_an_older_one_in_doubt() {
    let mut world = World::new(&["w1", "w2"], config(3, NO_BOUND));
    let record = job("a", vec![step(1, 1_000)], world.now);
    world.scheduler.add_job(record.clone(), world.now);
    let first = world.round().remove(0);
    world.worker(&first.worker).answers = false;
    let second = world.pass(seconds(8)).remove(0);
    assert_ne!(first.worker, second.worker);
    // The row of the first worker still names the run whose lease was over.
    world.take_over(2, config(3, NO_BOUND), seconds(6), &[record]);
    assert!(world.pass(seconds(8)).is_empty());
    assert_eq!(world.worker(&second.worker).running.len(), 1, "the run is not stopped");
}

#[test]
fn a_silent_worker_is_not_asked_for_new_leases() {
    let mut world = World::new(&["w1", "w2"], config(3, NO_BOUND));
    let record = job("a", vec![step(1, 1_000)], world.now);
    world.scheduler.add_job(record, world.now);
    let order = world.round().remove(0);
    world.worker(&order.worker).answers = false;
    let mut starts = Vec::new();
    for _ in 0..50 {
        world.scheduler.request_lease(&order.worker, world.now);
        starts.extend(world.pass(millis(200)));
    }
    assert_eq!(starts.len(), 1, "the unit runs elsewhere once the lease is over");
}

#[test]
fn a_worker_that_an_order_has_ended_is_forgotten_at_once() {
    let mut world = World::new(&["w1", "w2"], config(3, NO_BOUND));
    world.scheduler.add_job(job("a", vec![step(32, 1_000)], world.now), world.now);
    world.round();
    world.list_hosts(&[("h1", "w1"), ("h2", "w2")]);
    world.scheduler.handle_host_reply(&"h1".into(), HostReply::Accepted, world.now);
    // The registry still lists it for a while.
    world.scheduler.update_worker(entry("w1"), seconds(0), world.now);
    world.commit();
    assert!(world.assignments.get("w1").is_none());
    assert!(world.assignments.get("w2").is_some());
}

#[test]
fn a_run_of_an_ended_job_that_may_be_left_counts_for_its_team_with_the_next_owner() {
    let quota = Resources { cpu_millis: 2_000, memory_mb: 0, gpus: 0 };
    let mut world = World::new(&["w1", "w2"], config(3, quota));
    let first = job("a", vec![step(1, 2_000)], world.now);
    world.scheduler.add_job(first.clone(), world.now);
    let starts = world.round();
    let (silent, other) = if &*starts[0].worker == "w1" { ("w1", "w2") } else { ("w2", "w1") };
    // It is cancelled while its worker is cut off and works on.
    world.worker(silent).answers = false;
    world.scheduler.cancel("a");
    world.commit();
    let second = job("b", vec![step(1, 2_000)], world.now);
    world.take_over(2, config(3, quota), seconds(6), &[first, second]);
    assert!(world.pass(seconds(2)).is_empty(), "the bound is in use");
    assert_eq!(world.scheduler.view("a"), Some(JobView::Ended(FinalState::Cancelled)));
    let starts = world.pass(seconds(6));
    assert_eq!(starts.iter().map(|start| &*start.worker).collect::<Vec<&str>>(), [other]);
}

#[test]
fn a_gang_that_has_ended_counts_for_its_team_where_it_may_still_run() {
    let quota = Resources { cpu_millis: 2_000, memory_mb: 0, gpus: 0 };
    let mut world = World::new(&["w1", "w2"], config(3, quota));
    let gang = Step { is_gang: true, per_worker_max: 1, ..step(2, 1_000) };
    let later = Step { depends_on: vec![0], ..step(1, 2_000) };
    let record = job("a", vec![gang, later], world.now);
    world.scheduler.add_job(record.clone(), world.now);
    let starts = world.round();
    assert_eq!(starts.len(), 2);
    // One worker is cut off, and the unit on the other ends the step.
    let (silent, other) = (starts[0].worker.clone(), starts[1].unit.clone());
    world.worker(&silent).answers = false;
    world.end(&other, RunOutcome::Done);
    world.report_all();
    world.commit();
    world.take_over(2, config(3, quota), seconds(6), &[record]);
    assert!(world.pass(seconds(2)).is_empty(), "the bound is in use");
    assert_eq!(world.pass(seconds(6)).len(), 1);
}
