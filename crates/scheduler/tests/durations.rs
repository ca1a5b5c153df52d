//! Learned durations of units, and what they change.

#[path = "common/simulation.rs"]
mod simulation;

use std::time::Duration;

use rstest::rstest;
use scheduler::BatchLimits;
use scheduler::JobRecord;
use scheduler::Policy;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::Step;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::seconds;
use simulation::step;
use simulation::unit;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };
const LIMITS: BatchLimits =
    BatchLimits { rows_max: 100, progress_rows_max: 100, bytes_max: simulation::BATCH_BYTES_MAX };

fn learning() -> Simulation {
    Simulation::with_policies(&["a"], config(3, NO_QUOTA), &[Policy::LearnedDurations])
}

/// Returns a step of one unit that takes a whole worker, with an estimate of 800 ms.
fn step_of(image: &str) -> Step {
    Step { image: Some(image.to_owned()), ..step(1, 16_000) }
}

/// Runs a job of one unit to its successful end, which is reported `took` after the start.
fn run_job(sim: &mut Simulation, id: &str, step: &Step, took: Duration) {
    sim.scheduler.add_job(job(id, vec![step.clone()], sim.now), sim.now);
    sim.run_round();
    sim.now += took;
    sim.complete_run(&unit(id, 0, 0), RunOutcome::Done);
    sim.report_all();
    sim.commit();
    sim.run_round();
}

fn run_jobs(sim: &mut Simulation, prefix: &str, count: usize, step: &Step, took: Duration) {
    for number in 0..count {
        run_job(sim, &format!("{prefix}{number:03}"), step, took);
    }
}

fn record_of(step: &Step) -> JobRecord {
    JobRecord { queue: "q".into(), steps: vec![step.clone()], ..JobRecord::default() }
}

fn expected_ms(sim: &Simulation, step: &Step) -> u64 {
    let record = record_of(step);
    sim.scheduler.durations().expected(&record, &record.steps[0]).as_millis() as u64
}

fn assert_close(found_ms: u64, expected_ms: u64) {
    let is_close = found_ms.abs_diff(expected_ms) * 20 <= expected_ms;
    assert!(is_close, "{found_ms} ms instead of {expected_ms} ms");
}

/// An estimate is trusted until enough runs have shown another duration; other images of the queue
/// keep theirs.
#[test]
fn eight_runs_replace_the_estimate() {
    let mut sim = learning();
    let slow = step_of("slow");
    run_jobs(&mut sim, "j", 7, &slow, millis(2_400));
    assert_eq!(expected_ms(&sim, &slow), 800);
    run_job(&mut sim, "last", &slow, millis(2_400));
    assert_close(expected_ms(&sim, &slow), 2_400);
    assert_eq!(expected_ms(&sim, &step_of("other")), 800);
    assert_eq!(sim.scheduler.take_counts().duration_samples, 8);
}

/// One unit in eight takes seven times as long: the typical duration stays.
#[test]
fn outliers_do_not_change_the_typical_duration() {
    let mut sim = learning();
    let kind = step_of("image");
    run_jobs(&mut sim, "a", 21, &kind, millis(800));
    run_jobs(&mut sim, "b", 3, &kind, millis(5_600));
    assert_close(expected_ms(&sim, &kind), 800);
}

/// A new version of a program takes another time: the old samples must not hold for long.
#[test]
fn a_change_of_the_durations_shows() {
    let mut sim = learning();
    let kind = step_of("image");
    run_jobs(&mut sim, "a", 300, &kind, millis(400));
    assert_close(expected_ms(&sim, &kind), 400);
    run_jobs(&mut sim, "b", 64, &kind, millis(1_600));
    assert_close(expected_ms(&sim, &kind), 1_600);
}

/// Runs that do not show how long a unit takes at full speed would make the expected durations
/// wrong.
#[rstest]
#[case::failed(Step::default(), RunOutcome::Failed)]
#[case::stopped(Step::default(), RunOutcome::Stopped)]
#[case::best_effort(Step { is_best_effort: true, ..Step::default() }, RunOutcome::Done)]
#[case::long_running(Step { is_long_running: true, ..Step::default() }, RunOutcome::Done)]
fn other_runs_are_no_samples(#[case] kind: Step, #[case] outcome: RunOutcome) {
    let mut sim = learning();
    let kind = Step { count: 8, requested: step(1, 1_000).requested, estimate_ms: 800, ..kind };
    sim.scheduler.add_job(job("j", vec![kind], sim.now), sim.now);
    assert_eq!(sim.run_round().len(), 8);
    sim.now += seconds(2);
    (0..8).for_each(|index| sim.complete_run(&unit("j", 0, index), outcome));
    sim.report_all();
    assert_eq!(sim.scheduler.take_counts().duration_samples, 0);
}

/// A run that resumes has less to do than a whole one.
#[test]
fn resumed_runs_are_no_samples() {
    let mut sim = learning();
    let kind = Step { has_checkpoints: true, ..step_of("image") };
    sim.scheduler.add_job(job("j", vec![kind.clone()], sim.now), sim.now);
    sim.run_round();
    sim.complete_run(&unit("j", 0, 0), RunOutcome::Stopped);
    sim.worker("a").completions[0].checkpoint = "half".to_owned();
    sim.report_all();
    sim.commit();
    assert_eq!(sim.run_round()[0].checkpoint, "half");
    sim.complete_run(&unit("j", 0, 0), RunOutcome::Done);
    sim.report_all();
    assert_eq!(sim.scheduler.take_counts().duration_samples, 0);
}

/// Owner change: the successor begins with what is stored, and does not count runs whose start it
/// has not seen. Without a readable row, it begins anew.
#[test]
fn a_successor_begins_with_the_stored_durations() {
    let mut sim = learning();
    let kind = step_of("image");
    run_jobs(&mut sim, "a", 12, &kind, millis(2_400));
    sim.now += seconds(2);
    sim.commit();
    let running = job("running", vec![kind.clone()], sim.now);
    sim.scheduler.add_job(running.clone(), sim.now);
    sim.run_round();
    sim.take_over(2, config(3, NO_QUOTA), Duration::ZERO, std::slice::from_ref(&running));
    assert_close(expected_ms(&sim, &kind), 2_400);
    sim.report_all();
    sim.complete_run(&unit("running", 0, 0), RunOutcome::Done);
    sim.report_all();
    assert_eq!(sim.scheduler.take_counts().duration_samples, 0);
    sim.durations = None;
    sim.take_over(3, config(3, NO_QUOTA), Duration::ZERO, &[]);
    assert_eq!(expected_ms(&sim, &kind), 800);
}

/// Guards against samples that each of several owners ages again, so that changes of the owner in a
/// row make it fall back to the estimates.
#[test]
fn samples_are_aged_once_by_all_owners_together() {
    let mut sim = learning();
    let (slow, other) = (step_of("slow"), step_of("other"));
    run_jobs(&mut sim, "j", 16, &slow, millis(2_400));
    sim.run_for(seconds(2));
    sim.now += seconds(310);
    for epoch in 2..5 {
        sim.take_over(epoch, config(3, NO_QUOTA), Duration::ZERO, &[]);
        sim.report_all();
        // A sample of other work makes the owner store all samples.
        run_job(&mut sim, &format!("other{epoch}"), &other, millis(800));
        sim.run_for(seconds(3));
    }
    assert_close(expected_ms(&sim, &slow), 2_400);
}

/// A row per transaction, or one that grows with the images, would burden the store.
#[test]
fn the_stored_row_is_bounded_in_rate_and_size() {
    let mut sim = learning();
    let rows_before = sim.scheduler.take_batch(LIMITS, sim.now).durations;
    assert!(rows_before.is_none());
    let mut rows = 0;
    let started_at = sim.now;
    for number in 0..300 {
        run_job(&mut sim, &format!("j{number:03}"), &step_of(&format!("i{number}")), millis(100));
        rows += usize::from(std::mem::take(&mut sim.durations).is_some());
    }
    let periods = (sim.now - started_at).as_secs() as usize / 2;
    assert!(rows > periods / 2 && rows <= periods + 1, "{rows} rows in {periods} periods");
    run_job(&mut sim, "last", &step_of("last"), millis(100));
    sim.now += seconds(2);
    sim.commit();
    let stored = serde_json::to_value(sim.durations.as_ref().unwrap()).unwrap();
    let kinds = stored["kinds"].as_array().unwrap();
    assert_eq!(kinds.len(), 256);
    assert!(kinds.iter().any(|kind| kind["i"] == "last"), "the newest is kept");
    assert!(!kinds.iter().any(|kind| kind["i"] == "i0"), "the oldest is evicted");
}

/// With the measured durations, the job with the earlier latest start goes first, whatever callers
/// have estimated. Without the policy nothing is measured.
#[rstest]
#[case::on(&[Policy::LearnedDurations], "short")]
#[case::off(&[], "long")]
fn the_order_follows_measured_durations(#[case] policies: &[Policy], #[case] first: &str) {
    let mut sim = Simulation::with_policies(&["a"], config(3, NO_QUOTA), policies);
    let (long, short) = (step_of("long"), step_of("short"));
    run_jobs(&mut sim, "a", 8, &long, millis(4_000));
    assert_eq!(sim.durations.is_some(), !policies.is_empty());
    sim.scheduler.add_job(job("busy", vec![short.clone()], sim.now), sim.now);
    sim.run_round();
    // Both have the same estimate, and the long one came first.
    sim.scheduler.add_job(job("long", vec![long], sim.now - millis(50)), sim.now);
    sim.scheduler.add_job(job("short", vec![short], sim.now), sim.now);
    sim.complete_run(&unit("busy", 0, 0), RunOutcome::Done);
    sim.report_all();
    sim.commit();
    let starts = sim.run_round();
    assert_eq!(starts.iter().map(|start| &*start.unit.job).collect::<Vec<_>>(), [first]);
}
