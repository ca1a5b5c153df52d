//! Takeovers while workers are unresponsive, completions are not stored and workers have left the
//! registry.

#[path = "common/simulation.rs"]
mod simulation;

use std::time::Duration;

use rstest::rstest;
use scheduler::Action;
use scheduler::BatchLimits;
use scheduler::FinalState;
use scheduler::HostReply;
use scheduler::JobView;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::Step;
use scheduler::Wave;
use scheduler::WorkerReport;
use simulation::BATCH_BYTES_MAX;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::registration;
use simulation::seconds;
use simulation::step;
use simulation::unit;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };
/// Time after which a stored row shows that the worker has listed its runs. Those that it doesn't show
/// are waited for longer (`unknown_restarts`).
const ROW_CONFIRMED_AFTER: Duration = Duration::from_secs(3);

#[test]
fn a_unit_found_running_keeps_running() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let record = job("a", vec![step(2, 1_000)], sim.now);
    sim.scheduler.add_job(record.clone(), sim.now);
    assert_eq!(sim.run_round().len(), 2);
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[record]);
    let starts = sim.run_for(seconds(2));
    assert!(starts.is_empty(), "{starts:?}");
    assert_eq!(sim.scheduler.view("a"), Some(JobView::Running));
}

#[test]
fn a_unit_restarts_only_after_the_lease_of_an_unresponsive_worker_expired() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let record = job("a", vec![step(1, 1_000)], sim.now);
    sim.scheduler.add_job(record.clone(), sim.now);
    let started_on = sim.run_round()[0].worker.clone();
    sim.run_for(ROW_CONFIRMED_AFTER);
    sim.worker(&started_on).is_responsive = false;
    sim.now += seconds(1);
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[record]);
    assert!(sim.run_for(millis(5_800)).is_empty());
    let starts = sim.run_for(seconds(1));
    assert_eq!(starts.len(), 1);
    assert_ne!(starts[0].worker, started_on);
    assert!(starts[0].run > 1, "run numbers increase");
}

#[test]
fn a_unit_without_an_assignment_row_starts_at_once() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let record = job("a", vec![step(1, 1_000)], sim.now);
    sim.scheduler.add_job(record.clone(), sim.now);
    // The owner stops before the run is stored, so its start command was never sent.
    sim.scheduler.plan(sim.now);
    assert!(sim.carry_out_actions().is_empty());
    sim.worker("w1").is_responsive = false;
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[record]);
    assert_eq!(sim.run_for(millis(400)).len(), 1);
}

#[test]
fn a_unit_on_an_unregistered_worker_is_not_restarted() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let record = job("a", vec![step(1, 1_000)], sim.now);
    sim.scheduler.add_job(record.clone(), sim.now);
    let started_on = sim.run_round()[0].worker.clone();
    // The registry was unavailable and the registration expired, but the worker is alive and has
    // completed the unit.
    let unregistered = sim.workers.iter().position(|worker| worker.id == started_on).unwrap();
    let mut unregistered = sim.workers.remove(unregistered);
    unregistered.complete_run(&unit("a", 0, 0), RunOutcome::Done);
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[record]);
    assert!(sim.run_for(seconds(2)).is_empty());
    sim.workers.push(unregistered);
    assert!(sim.run_for(seconds(2)).is_empty());
    assert!(matches!(sim.scheduler.view("a"), Some(JobView::Ended(_))));
}

#[test]
fn a_run_stays_in_its_row_until_its_completion_is_stored() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    let first = job("a", vec![step(1, 1_000)], sim.now);
    sim.scheduler.add_job(first.clone(), sim.now);
    sim.run_round();
    sim.complete_run(&unit("a", 0, 0), RunOutcome::Done);
    sim.report_all();
    // A batch whose limits leave no room for the progress of the job, but which has a new run on
    // the same worker.
    let second = job("b", vec![step(1, 1_000)], sim.now);
    sim.scheduler.add_job(second.clone(), sim.now);
    sim.scheduler.plan(sim.now);
    sim.commit_with_limit(0);
    // The owner stops. The worker does not reply to its successor, which could use another worker.
    sim.add_worker("w2");
    sim.worker("w1").is_responsive = false;
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[first, second]);
    assert!(sim.run_for(seconds(2)).is_empty());
    sim.worker("w1").is_responsive = true;
    assert!(sim.run_for(seconds(2)).iter().all(|command| command.unit != unit("a", 0, 0)));
    assert!(matches!(sim.scheduler.view("a"), Some(JobView::Ended(_))));
}

#[test]
fn unstored_failures_count_in_any_order() {
    let mut sim = Simulation::new(&["w1", "w2", "w3"], config(3, NO_QUOTA));
    let record = job("a", vec![step(1, 1_000)], sim.now);
    sim.scheduler.add_job(record.clone(), sim.now);
    // Each of three workers still lists a failed run, and none of the failures is stored.
    for (id, run) in [("w1", 1), ("w2", 2), ("w3", 3)] {
        let worker = sim.worker(id);
        worker.add_run(&unit("a", 0, 0), run);
        worker.complete_run(&unit("a", 0, 0), RunOutcome::Failed);
    }
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[record]);
    for id in ["w3", "w2", "w1"] {
        sim.report(id);
    }
    sim.commit();
    assert!(sim.run_round().is_empty(), "all attempts are used up");
    assert!(matches!(sim.scheduler.view("a"), Some(JobView::Ended(_))));
}

#[test]
fn a_reported_run_replaces_an_older_one_in_doubt() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let record = job("a", vec![step(1, 1_000)], sim.now);
    sim.scheduler.add_job(record.clone(), sim.now);
    let first = sim.run_round().remove(0);
    sim.worker(&first.worker).is_responsive = false;
    let second = sim.run_for(seconds(8)).remove(0);
    assert_ne!(first.worker, second.worker);
    // The row of the first worker still names the run whose lease has expired.
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[record]);
    assert!(sim.run_for(seconds(8)).is_empty());
    assert_eq!(sim.worker(&second.worker).running.len(), 1, "the run is not stopped");
}

#[test]
fn an_unresponsive_worker_gets_no_new_leases() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let record = job("a", vec![step(1, 1_000)], sim.now);
    sim.scheduler.add_job(record, sim.now);
    let command = sim.run_round().remove(0);
    sim.worker(&command.worker).is_responsive = false;
    let mut starts = Vec::new();
    for _ in 0..50 {
        sim.scheduler.request_lease(&command.worker, sim.now);
        starts.extend(sim.run_for(millis(200)));
    }
    assert_eq!(starts.len(), 1, "the unit restarts elsewhere once the lease has expired");
}

#[test]
fn a_worker_terminated_by_a_host_command_is_removed_at_once() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![step(32, 1_000)], sim.now), sim.now);
    sim.run_round();
    sim.list_hosts_in_pool(&[("h1", "w1"), ("h2", "w2")]);
    for run in sim.worker("w1").running.clone() {
        sim.complete_run(&run.unit, RunOutcome::Done);
    }
    let hosts = vec!["h1".into()];
    let wave = Wave { id: 1, hosts, duration_ms: 4_000, unavailable_hosts_max: 1 };
    sim.scheduler.set_waves(vec![wave], sim.now);
    sim.run_for(seconds(1));
    let is_command = |action: &Action| matches!(action, Action::MaintainHost { .. });
    assert!(sim.other_actions.iter().any(is_command));
    assert!(sim.assignments.get("w1").is_some());
    sim.scheduler.handle_host_reply(&"h1".into(), HostReply::Accepted, sim.now);
    // The registry still lists the terminated worker for a while.
    sim.scheduler.update_worker(registration("w1"), seconds(0), sim.now);
    sim.commit();
    assert!(sim.assignments.get("w1").is_none());
    assert!(sim.assignments.get("w2").is_some());
}

#[test]
fn a_run_in_doubt_of_an_ended_job_counts_against_the_quota_after_a_takeover() {
    let quota = Resources { cpu_millis: 2_000, memory_mb: 0, gpus: 0 };
    let mut sim = Simulation::new(&["w1", "w2"], config(3, quota));
    let first = job("a", vec![step(1, 2_000)], sim.now);
    sim.scheduler.add_job(first.clone(), sim.now);
    let starts = sim.run_round();
    let (unresponsive, other) =
        if &*starts[0].worker == "w1" { ("w1", "w2") } else { ("w2", "w1") };
    sim.run_for(ROW_CONFIRMED_AFTER);
    // The job is cancelled while its worker is disconnected and keeps running it.
    sim.worker(unresponsive).is_responsive = false;
    sim.scheduler.cancel("a");
    sim.commit();
    let second = job("b", vec![step(1, 2_000)], sim.now);
    sim.take_over(2, config(3, quota), seconds(6), &[first, second]);
    assert!(sim.run_for(seconds(2)).is_empty(), "the quota is in use");
    assert_eq!(sim.scheduler.view("a"), Some(JobView::Ended(FinalState::Cancelled)));
    let starts = sim.run_for(seconds(6));
    assert_eq!(starts.iter().map(|start| &*start.worker).collect::<Vec<&str>>(), [other]);
}

#[test]
fn a_finished_gang_counts_against_the_quota_where_it_may_still_run() {
    let quota = Resources { cpu_millis: 2_000, memory_mb: 0, gpus: 0 };
    let mut sim = Simulation::new(&["w1", "w2"], config(3, quota));
    let gang = Step { is_gang: true, per_worker_max: 1, ..step(2, 1_000) };
    let later = Step { depends_on: vec![0], ..step(1, 2_000) };
    let record = job("a", vec![gang, later], sim.now);
    sim.scheduler.add_job(record.clone(), sim.now);
    let starts = sim.run_round();
    assert_eq!(starts.len(), 2);
    sim.run_for(ROW_CONFIRMED_AFTER);
    // One worker is disconnected, and the unit on the other one finishes the step.
    let (unresponsive, other) = (starts[0].worker.clone(), starts[1].unit.clone());
    sim.worker(&unresponsive).is_responsive = false;
    sim.complete_run(&other, RunOutcome::Done);
    sim.report_all();
    sim.commit();
    sim.take_over(2, config(3, quota), seconds(6), &[record]);
    assert!(sim.run_for(seconds(2)).is_empty(), "the quota is in use");
    assert_eq!(sim.run_for(seconds(6)).len(), 1);
}

// Guards against a report without the start of its incarnation, which may come from none that has
// these runs: it does not show that they have ended.
#[test]
fn a_report_of_an_unknown_incarnation_ends_no_runs() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![step(2, 1_000)], sim.now), sim.now);
    assert_eq!(sim.run_round().len(), 2);
    sim.run_for(millis(400));
    let worker = sim.workers.iter().find(|worker| !worker.running.is_empty()).expect("one runs");
    let id = worker.id.clone();
    let clock_ms = sim.now.as_millis() as u64;
    let report = WorkerReport { clock_ms, ..WorkerReport::default() };
    let poll = sim.poll(&id);
    sim.scheduler.handle_report(&id, &report, poll, sim.now);
    assert!(sim.run_round().is_empty(), "the units run already");
}

// Guards against a run that no stored row names: a worker lists one that its owner took for ended or
// did not know. The successor started the unit at once on another worker.
#[test]
fn a_run_that_a_worker_lists_unexpectedly_is_stored() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    sim.worker("w1").add_run(&unit("a", 0, 0), 1);
    let record = job("a", vec![step(1, 1_000)], sim.now);
    sim.scheduler.add_job(record.clone(), sim.now);
    sim.report("w1");
    assert!(sim.run_round().is_empty(), "the unit runs already");
    sim.add_worker("w2");
    sim.worker("w1").is_responsive = false;
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[record]);
    sim.report("w2");
    let starts = sim.run_for(seconds(2));
    assert!(starts.is_empty(), "{starts:?}");
}

// Guards against a run that no stored row names: a worker was removed, came back under its id and
// got a run, and the removal of its earlier row was stored with the new row or after it. The
// successor started the unit at once on another worker.
#[rstest]
#[case::in_the_same_transaction(16)]
#[case::in_a_later_transaction(1)]
fn the_row_of_a_worker_that_came_back_is_not_removed(#[case] rows_max: usize) {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    let first = job("a", vec![step(1, 1_000)], sim.now);
    sim.scheduler.add_job(first.clone(), sim.now);
    assert_eq!(sim.run_round().len(), 1);
    sim.worker("w1").crash();
    let token = sim.poll("w1").token;
    sim.scheduler.handle_worker_gone(&"w1".into(), token, "another instance answers", sim.now);
    sim.restart_worker("w1");
    sim.report("w1");
    let second = job("b", vec![step(1, 1_000)], sim.now);
    sim.scheduler.add_job(second.clone(), sim.now);
    sim.scheduler.plan(sim.now);
    let limits = BatchLimits { rows_max, progress_rows_max: 0, bytes_max: BATCH_BYTES_MAX };
    while sim.commit_batch(limits) {}
    let starts = sim.carry_out_actions();
    assert!(starts.iter().any(|start| start.unit == unit("b", 0, 0)), "{starts:?}");
    // The successor does not reach the worker, and could use another one.
    sim.add_worker("w2");
    sim.worker("w1").is_responsive = false;
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[first, second]);
    sim.report("w2");
    let starts = sim.run_for(seconds(2));
    assert!(starts.iter().all(|start| start.unit != unit("b", 0, 0)), "{starts:?}");
}
