//! Workers whose capacity shrinks below what runs there.

#[path = "common/simulation.rs"]
mod simulation;

use std::time::Duration;

use rstest::rstest;
use scheduler::Action;
use scheduler::Policy;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::StartCommand;
use scheduler::Step;
use scheduler::UnitKey;
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
const SHRUNK: &[Policy] = &[Policy::ShrunkWorkers];

/// Sets the capacity of a worker to half of what it was: 8 processors and 16 GB.
fn shrink(sim: &mut Simulation, id: &str) {
    let capacity = Resources { cpu_millis: 8_000, memory_mb: 16_384, gpus: 0 };
    let registration = WorkerRegistration { capacity, ..registration(id) };
    sim.scheduler.update_worker(registration, Duration::ZERO, sim.now);
}

/// A step whose units do not end soon.
fn long_step(count: u32, cpu_millis: u64) -> Step {
    Step { estimate_ms: 60_000, ..step(count, cpu_millis) }
}

fn start(sim: &mut Simulation, id: &str, step: Step) {
    sim.scheduler.add_job(job(id, vec![step], sim.now), sim.now);
    assert!(!sim.run_round().is_empty(), "{id} starts");
    sim.report_all();
    sim.now += millis(200);
}

/// Returns the jobs of the runs on a worker, sorted.
fn jobs_on(sim: &mut Simulation, id: &str) -> Vec<String> {
    let running = sim.worker(id).running.iter();
    let mut jobs: Vec<String> = running.map(|run| run.unit.job.to_string()).collect();
    jobs.sort();
    jobs
}

fn moved(sim: &Simulation) -> usize {
    let is_moved =
        |action: &&Action| matches!(action, Action::LogDecision { what: "run moved", .. });
    sim.other_actions.iter().filter(is_moved).count()
}

/// Half of the capacity goes while runs are on the worker: those that lose least are stopped until
/// the rest fits, and without the policy none is.
#[rstest]
#[case::on(SHRUNK, &["older", "serving"])]
#[case::off(&[], &["checkpoint", "older", "serving", "younger"])]
fn what_loses_least_is_stopped(#[case] policies: &[Policy], #[case] left: &[&str]) {
    let mut sim = Simulation::with_policies(&["a"], config(3, NO_QUOTA), policies);
    let serving = Step { is_long_running: true, tail_latency_target_ms: 50, ..long_step(1, 4_000) };
    start(&mut sim, "serving", serving);
    start(&mut sim, "older", long_step(1, 4_000));
    start(&mut sim, "checkpoint", Step { has_checkpoints: true, ..long_step(1, 4_000) });
    start(&mut sim, "younger", long_step(1, 4_000));
    shrink(&mut sim, "a");
    sim.run_for(seconds(2));
    assert_eq!(jobs_on(&mut sim, "a"), left);
    assert_eq!(sim.scheduler.take_counts().moved_runs, 4 - left.len() as u64);
    let worker = sim.scheduler.worker("a").unwrap();
    assert_eq!(worker.reserved.fits_in(&worker.registration.capacity), !policies.is_empty());
}

/// Best-effort units take no processors, so stopping them helps only where memory is short.
#[rstest]
#[case::memory(14_000, &["work"])]
#[case::processors(1_000, &["best-effort"])]
fn only_what_relieves_the_worker_is_stopped(#[case] memory_mb: u64, #[case] left: &[&str]) {
    let mut sim = Simulation::with_policies(&["a"], config(3, NO_QUOTA), SHRUNK);
    let with_memory = |step: Step, cpu_millis| Step {
        requested: Resources { cpu_millis, memory_mb, gpus: 0 },
        ..step
    };
    let cpu_millis = if memory_mb > 8_192 { 4_000 } else { 12_000 };
    start(&mut sim, "work", with_memory(long_step(1, 0), cpu_millis));
    let best_effort = Step { is_best_effort: true, ..long_step(1, 0) };
    start(&mut sim, "best-effort", with_memory(best_effort, 4_000));
    shrink(&mut sim, "a");
    sim.run_for(seconds(2));
    assert_eq!(jobs_on(&mut sim, "a"), left);
}

/// The excess ends by itself within a second: stopping would lose work for nothing. If the run
/// falls behind what was expected, it is stopped.
#[rstest]
#[case::ends(true, 0)]
#[case::falls_behind(false, 1)]
fn nothing_is_stopped_if_the_excess_ends_by_itself(#[case] ends: bool, #[case] stopped: usize) {
    let mut sim = Simulation::with_policies(&["a"], config(3, NO_QUOTA), SHRUNK);
    start(&mut sim, "long", long_step(1, 8_000));
    start(&mut sim, "short", step(1, 8_000));
    shrink(&mut sim, "a");
    sim.run_for(millis(400));
    assert_eq!((moved(&sim), sim.worker("a").running.len()), (0, 2));
    if ends {
        sim.complete_run(&unit("short", 0, 0), RunOutcome::Done);
    }
    sim.run_for(seconds(1));
    assert_eq!(moved(&sim), stopped);
    assert_eq!(jobs_on(&mut sim, "a"), ["long"]);
}

/// Long-running units leave one after another, as the disruption budget of their step allows.
#[test]
fn long_running_units_leave_within_their_budget() {
    let mut sim = Simulation::with_policies(&["a", "b"], config(3, NO_QUOTA), SHRUNK);
    let long_running = Step { is_long_running: true, ..long_step(4, 4_000) };
    sim.scheduler.add_job(job("j", vec![long_running], sim.now), sim.now);
    sim.run_round();
    sim.report_all();
    assert_eq!(sim.worker("a").running.len(), 4);
    // The budget counts units as unavailable on workers that the owner does not know for long.
    let mut starts: Vec<StartCommand> = Vec::new();
    let mut least = 4;
    shrink(&mut sim, "a");
    for _ in 0..40 {
        for running in sim.workers.iter_mut().flat_map(|worker| &mut worker.running) {
            running.progress_percent = 100;
        }
        sim.now += millis(100);
        sim.report_all();
        sim.commit();
        starts.extend(sim.run_round());
        least = least.min(sim.workers.iter().map(|worker| worker.running.len()).sum());
    }
    assert_eq!(starts.iter().filter(|start| &*start.worker == "b").count(), 2);
    assert_eq!((sim.worker("a").running.len(), least), (2, 3));
}

/// A quarter of the fleet shrinks in the middle of a peak: it soon fits, no unit runs twice, no
/// stop counts as a failure, and all jobs get done.
#[test]
fn a_quarter_of_the_fleet_shrinks_in_a_peak() {
    let ids: Vec<String> = (0..16).map(|number| format!("w{number:02}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut sim = Simulation::with_policies(&ids, config(1, NO_QUOTA), SHRUNK);
    for number in 0..100 {
        let step = Step { has_checkpoints: number % 3 == 0, ..long_step(1, 4_000) };
        sim.scheduler.add_job(job(&format!("j{number:03}"), vec![step], sim.now), sim.now);
    }
    sim.run_round();
    sim.report_all();
    ids[..4].iter().for_each(|id| shrink(&mut sim, id));
    sim.run_for(seconds(2));
    for worker in sim.scheduler.workers() {
        assert!(worker.reserved.fits_in(&worker.registration.capacity));
    }
    assert_eq!(moved(&sim), 8);
    for _ in 0..4 {
        let mut running: Vec<UnitKey> =
            sim.workers.iter().flat_map(|w| &w.running).map(|run| run.unit.clone()).collect();
        let count = running.len();
        running.sort();
        running.dedup();
        assert_eq!(running.len(), count, "a unit runs twice");
        running.iter().for_each(|unit| sim.complete_run(unit, RunOutcome::Done));
        sim.report_all();
        sim.commit();
        sim.run_for(millis(400));
    }
    assert_eq!(sim.scheduler.live_jobs(), 0);
    assert!(sim.stored_progress.values().all(|progress| progress.failed_runs.is_empty()));
}

/// The worker is silent while its run is stopped: the unit does not start elsewhere before it is
/// certain that the run has ended.
#[test]
fn a_unit_on_a_silent_shrunk_worker_waits() {
    let mut sim = Simulation::with_policies(&["a", "b"], config(3, NO_QUOTA), SHRUNK);
    start(&mut sim, "first", long_step(1, 8_000));
    start(&mut sim, "second", long_step(1, 8_000));
    assert_eq!(jobs_on(&mut sim, "a").len(), 2);
    shrink(&mut sim, "a");
    sim.worker("a").is_responsive = false;
    assert!(sim.run_for(seconds(2)).is_empty());
    assert_eq!(moved(&sim), 1);
    assert_eq!(sim.run_for(seconds(4)).len(), 2, "the lease has expired");
}

/// Owner change: the successor finds the runs in the reports and relieves the worker too.
#[test]
fn a_successor_relieves_the_worker() {
    let mut sim = Simulation::with_policies(&["a"], config(3, NO_QUOTA), SHRUNK);
    let record = job("j", vec![long_step(2, 8_000)], sim.now);
    sim.scheduler.add_job(record.clone(), sim.now);
    assert_eq!(sim.run_round().len(), 2);
    sim.take_over(2, config(3, NO_QUOTA), Duration::ZERO, &[record]);
    shrink(&mut sim, "a");
    sim.run_for(seconds(2));
    assert_eq!(sim.worker("a").running.len(), 1);
}

/// A pool whose hosts are planned with the largest capacity of any worker gets too few of them.
#[rstest]
#[case::on(SHRUNK, 12_000)]
#[case::off(&[], 16_000)]
fn targets_use_the_present_capacity(#[case] policies: &[Policy], #[case] cpu_millis: u64) {
    let mut sim = Simulation::with_policies(&["a", "b"], config(3, NO_QUOTA), policies);
    shrink(&mut sim, "a");
    let loads = sim.scheduler.pool_loads(sim.now);
    assert_eq!(loads.get("p").unwrap().host_capacity.cpu_millis, cpu_millis);
}
