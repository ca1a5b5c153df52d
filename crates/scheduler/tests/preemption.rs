//! Urgent units in a full pool: which runs they stop, the limits, and failures halfway.

#[path = "common/simulation.rs"]
mod simulation;

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use scheduler::Action;
use scheduler::Config;
use scheduler::JobRecord;
use scheduler::Policy;
use scheduler::Queue;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::Step;
use scheduler::UnitKey;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::seconds;
use simulation::step;
use simulation::unit;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };
const PREEMPTION: &[Policy] = &[Policy::Preemption];
/// The whole of a worker.
const WORKER_CPU_MILLIS: u64 = 16_000;
/// Estimated duration of work that does not end in time for any urgent unit.
const LONG_MS: u64 = 60_000;

/// Returns a configuration with the urgent queue `q` and the queue `batch` on the same pool, whose
/// jobs fail with their first failed run.
fn config_with_batch() -> Arc<Config> {
    let config = config(1, NO_QUOTA);
    let queue = config.queues.get("q").expect("a queue").clone();
    let queues = [("batch".into(), Queue { priority: 5, ..queue.clone() }), ("q".into(), queue)];
    Arc::new(Config { queues: queues.into_iter().collect(), ..(*config).clone() })
}

fn simulation(workers: &[&str]) -> Simulation {
    Simulation::with_policies(workers, config_with_batch(), PREEMPTION)
}

fn batch(sim: &Simulation, id: &str, team: &str, step: Step) -> Arc<JobRecord> {
    let record = job(id, vec![step], sim.now);
    let (queue, team) = ("batch".into(), Some(team.into()));
    Arc::new(JobRecord { queue, team, ..(*record).clone() })
}

fn long_step(count: u32, cpu_millis: u64) -> Step {
    Step { estimate_ms: LONG_MS, ..step(count, cpu_millis) }
}

/// Submits a job of the queue `batch` and starts it.
fn start_batch(sim: &mut Simulation, id: &str, team: &str, step: Step) -> Arc<JobRecord> {
    let record = batch(sim, id, team, step);
    sim.scheduler.add_job(record.clone(), sim.now);
    sim.run_for(millis(200));
    record
}

fn submit_urgent(sim: &mut Simulation, id: &str, count: u32, cpu_millis: u64) -> Arc<JobRecord> {
    let record = job(id, vec![step(count, cpu_millis)], sim.now);
    sim.scheduler.add_job(record.clone(), sim.now);
    record
}

/// Returns the units that were preempted, in that order.
fn preempted(sim: &Simulation) -> Vec<UnitKey> {
    let subject = |action: &Action| match action {
        Action::LogDecision { what: "preempted", subject, .. } => subject.parse().ok(),
        _ => None,
    };
    sim.other_actions.iter().filter_map(subject).collect()
}

fn is_running(sim: &Simulation, unit: &UnitKey) -> bool {
    sim.workers.iter().any(|worker| worker.running.iter().any(|run| run.unit == *unit))
}

/// Guards against urgent jobs that wait for long work of other queues, and against a stop that
/// counts as a failure, costs the checkpoint or loses the unit's place.
#[test]
fn an_urgent_unit_gets_the_capacity_of_work_that_can_wait() {
    let mut sim = simulation(&["w1"]);
    start_batch(&mut sim, "b1", "t", long_step(1, WORKER_CPU_MILLIS));
    start_batch(&mut sim, "b2", "t", long_step(1, WORKER_CPU_MILLIS));
    sim.worker("w1").running[0].checkpoint = "half".to_owned();
    sim.run_for(millis(200));
    submit_urgent(&mut sim, "u", 1, 8_000);
    let starts = sim.run_for(millis(600));
    assert_eq!(preempted(&sim), [unit("b1", 0, 0)]);
    assert!(is_running(&sim, &unit("u", 0, 0)), "{starts:?}");
    sim.complete_run(&unit("u", 0, 0), RunOutcome::Done);
    let resumed = sim.run_for(millis(600));
    let resumed: Vec<(&str, &str)> =
        resumed.iter().map(|start| (&*start.unit.job, &*start.checkpoint)).collect();
    assert_eq!(resumed, [("b1", "half")], "the job before the one that came later");
}

/// Guards against effects of the policy while it is off.
#[test]
fn nothing_is_stopped_without_the_policy() {
    let mut sim = Simulation::new(&["w1"], config_with_batch());
    start_batch(&mut sim, "b", "t", long_step(1, WORKER_CPU_MILLIS));
    submit_urgent(&mut sim, "u", 1, 8_000);
    sim.run_for(seconds(3));
    assert!(is_running(&sim, &unit("b", 0, 0)));
    assert!(preempted(&sim).is_empty());
}

/// Guards against stopping more work than has to be: the age counts only since the last checkpoint,
/// wider units lose more in the same time, and the youngest goes first among equals.
#[rstest]
#[case::youngest(&[(1, 8_000), (1, 8_000), (1, 8_000)], None, "b3")]
#[case::checkpoint(&[(1, 8_000), (1, 8_000), (1, 8_000)], Some("w1"), "b1")]
#[case::narrow(&[(1, 9_000), (1, 16_000), (1, 16_000)], None, "b1")]
fn the_least_work_is_lost(
    #[case] jobs: &[(u32, u64)],
    #[case] checkpoint_on: Option<&str>,
    #[case] victim: &str,
) {
    let mut sim = simulation(&["w1", "w2", "w3"]);
    // Each job fills the memory of a worker.
    for (number, (count, cpu_millis)) in jobs.iter().enumerate() {
        let mut step = long_step(*count, *cpu_millis);
        step.requested.memory_mb = 32_000;
        start_batch(&mut sim, &format!("b{}", number + 1), "t", step);
    }
    sim.run_for(seconds(2));
    if let Some(worker) = checkpoint_on {
        sim.worker(worker).running[0].checkpoint = "c".to_owned();
        sim.run_for(millis(200));
    }
    submit_urgent(&mut sim, "u", 1, 8_000);
    sim.run_for(millis(600));
    assert_eq!(preempted(&sim), [unit(victim, 0, 0)]);
}

/// Guards against stops that are not needed or help nobody: capacity comes free in time, the runs
/// that may be stopped are too small together, or they are long-running.
#[rstest]
#[case::free_in_time(Step { estimate_ms: 300, ..step(1, 16_000) }, 8_000)]
#[case::not_enough_on_one_worker(long_step(1, 8_000), 16_000)]
#[case::long_running(Step { is_long_running: true, ..step(1, 16_000) }, 8_000)]
fn nothing_is_stopped_in_vain(#[case] batch_step: Step, #[case] urgent_cpu_millis: u64) {
    let mut sim = simulation(&["w1"]);
    // Another urgent run takes half of the worker if the batch job leaves it.
    submit_urgent(&mut sim, "first", 1, 8_000 * u64::from(urgent_cpu_millis == 16_000));
    start_batch(&mut sim, "b", "t", batch_step);
    submit_urgent(&mut sim, "u", 1, urgent_cpu_millis);
    sim.run_for(millis(600));
    assert!(is_running(&sim, &unit("b", 0, 0)));
    assert!(preempted(&sim).is_empty());
}

/// Guards against a burst of urgent jobs that stops the work of all others, or of one team, at
/// once.
#[rstest]
#[case::one_team(1, 4)]
#[case::many_teams(20, 10)]
fn preemptions_of_a_second_are_limited(#[case] teams: usize, #[case] limit: usize) {
    let workers: Vec<String> = (0..20).map(|number| format!("w{number:02}")).collect();
    let workers: Vec<&str> = workers.iter().map(String::as_str).collect();
    let mut sim = simulation(&workers);
    for number in 0..20 {
        let team = format!("t{}", number % teams);
        start_batch(&mut sim, &format!("b{number:02}"), &team, long_step(1, WORKER_CPU_MILLIS));
    }
    // The urgent units take long as well, so that none gets the capacity of another one in time.
    let urgent = job("u", vec![long_step(20, WORKER_CPU_MILLIS)], sim.now);
    sim.scheduler.add_job(urgent, sim.now);
    sim.run_for(millis(1_000));
    assert_eq!(preempted(&sim).len(), limit);
    sim.run_for(millis(1_000));
    assert_eq!(preempted(&sim).len(), (2 * limit).min(20));
}

/// Guards against a unit that is stopped again and again and never ends.
#[test]
fn a_preempted_unit_is_exempt_for_a_while() {
    let mut sim = simulation(&["w1"]);
    start_batch(&mut sim, "b", "t", long_step(1, WORKER_CPU_MILLIS));
    let mut stops_at = Vec::new();
    for number in 0..60 {
        let id = format!("u{number}");
        submit_urgent(&mut sim, &id, 1, WORKER_CPU_MILLIS);
        sim.run_for(millis(400));
        let urgent: Vec<UnitKey> = sim.workers[0].running.iter().map(|r| r.unit.clone()).collect();
        for unit in urgent.iter().filter(|unit| unit.job.starts_with('u')) {
            sim.complete_run(unit, RunOutcome::Done);
        }
        sim.scheduler.cancel(&id);
        sim.run_for(millis(400));
        stops_at.resize(preempted(&sim).len(), sim.now);
    }
    let pauses: Vec<Duration> = stops_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(!pauses.is_empty() && pauses.iter().all(|pause| *pause >= seconds(10)), "{pauses:?}");
}

/// Guards against a gang of which one unit is stopped and the others wait for it, and against one
/// that is stopped although the limit of its team does not allow all of it.
#[rstest]
#[case::within_the_limit(3, 3)]
#[case::beyond_the_limit(5, 0)]
fn a_gang_is_stopped_whole_or_not_at_all(#[case] size: u32, #[case] stopped: usize) {
    let workers = ["w1", "w2", "w3", "w4", "w5"];
    let mut sim = simulation(&workers[..size as usize]);
    let gang = Step { is_gang: true, ..long_step(size, WORKER_CPU_MILLIS) };
    start_batch(&mut sim, "b", "t", gang);
    submit_urgent(&mut sim, "u", 1, 8_000);
    sim.run_for(millis(600));
    assert_eq!(preempted(&sim).len(), stopped);
    assert_eq!(is_running(&sim, &unit("u", 0, 0)), stopped > 0);
}

/// Guards against stops for an urgent gang that cannot start as a whole.
#[rstest]
#[case::all_fit(2, 2)]
#[case::one_does_not(3, 0)]
fn an_urgent_gang_stops_runs_for_all_units_or_none(#[case] size: u32, #[case] stopped: usize) {
    let mut sim = simulation(&["w1", "w2"]);
    start_batch(&mut sim, "b", "t", long_step(2, WORKER_CPU_MILLIS));
    let gang = Step { is_gang: true, ..step(size, WORKER_CPU_MILLIS) };
    sim.scheduler.add_job(job("u", vec![gang], sim.now), sim.now);
    sim.run_for(millis(600));
    assert_eq!(preempted(&sim).len(), stopped);
    assert_eq!(is_running(&sim, &unit("u", 0, 1)), stopped > 0);
}

/// Guards against freed capacity that others take before all of it is free: of two runs that are
/// stopped for a wide urgent unit, one ends earlier.
#[test]
fn freed_capacity_is_held_until_all_of_it_is_free() {
    let mut sim = simulation(&["w1"]);
    start_batch(&mut sim, "b", "t", long_step(2, 8_000));
    start_batch(&mut sim, "small", "t", long_step(50, 1_000));
    submit_urgent(&mut sim, "u", 1, WORKER_CPU_MILLIS);
    sim.scheduler.plan(sim.now);
    sim.commit();
    let is_stop = |action: &Action| matches!(action, Action::Stop { .. });
    assert_eq!(sim.scheduler.take_actions().iter().filter(|action| is_stop(action)).count(), 2);
    sim.complete_run(&unit("b", 0, 0), RunOutcome::Stopped);
    let starts = sim.run_for(millis(400));
    assert!(starts.is_empty(), "{starts:?}");
    sim.complete_run(&unit("b", 0, 1), RunOutcome::Stopped);
    sim.run_for(millis(400));
    assert!(is_running(&sim, &unit("u", 0, 0)));
}

/// Guards against capacity that stays idle because it is held for a unit that does not come.
#[test]
fn a_hold_ends_with_its_urgent_job() {
    let mut sim = simulation(&["w1"]);
    start_batch(&mut sim, "b", "t", long_step(1, WORKER_CPU_MILLIS));
    submit_urgent(&mut sim, "u", 1, 8_000);
    sim.run_round();
    assert_eq!(preempted(&sim).len(), 1);
    sim.scheduler.cancel("u");
    sim.run_for(millis(600));
    assert!(is_running(&sim, &unit("b", 0, 0)));
}

/// Guards against stops for a gang whose other units get capacity only later: what was freed would
/// go to others meanwhile, such as the stopped unit itself.
#[test]
fn an_urgent_gang_gets_all_its_capacity_at_once() {
    let mut sim = simulation(&["w1", "w2"]);
    start_batch(&mut sim, "b1", "t", long_step(1, WORKER_CPU_MILLIS));
    let ends_in_time = Step { estimate_ms: 2_500, ..step(1, WORKER_CPU_MILLIS) };
    start_batch(&mut sim, "b2", "t", ends_in_time);
    let gang = Step { is_gang: true, estimate_ms: 4_000, ..step(2, WORKER_CPU_MILLIS) };
    sim.scheduler.add_job(job("u", vec![gang], sim.now), sim.now);
    sim.run_for(millis(600));
    assert_eq!(preempted(&sim).len(), 2);
    assert!(is_running(&sim, &unit("u", 0, 0)) && is_running(&sim, &unit("u", 0, 1)));
}

/// Guards against a unit that runs twice, or nowhere, because the owner changed after it had
/// decided to stop it: once before the stop was sent, once after.
#[rstest]
#[case::stop_not_sent(false)]
#[case::stop_sent(true)]
fn a_new_owner_repeats_or_forgets_a_stop(#[case] is_sent: bool) {
    let mut sim = simulation(&["w1"]);
    let victim = start_batch(&mut sim, "b", "t", long_step(1, WORKER_CPU_MILLIS));
    let urgent = submit_urgent(&mut sim, "u", 1, 8_000);
    sim.scheduler.plan(sim.now);
    sim.commit();
    if is_sent {
        sim.carry_out_actions();
    } else {
        sim.scheduler.take_actions();
    }
    let config = config_with_batch();
    sim.take_over(2, config, seconds(5), &[victim, urgent]);
    for _ in 0..20 {
        sim.run_for(millis(200));
        let runs = |id: &str| {
            let running = sim.workers.iter().flat_map(|worker| &worker.running);
            running.filter(|run| &*run.unit.job == id).count()
        };
        assert!(runs("b") + runs("u") <= 1, "both need the worker");
    }
    assert!(is_running(&sim, &unit("u", 0, 0)));
    sim.complete_run(&unit("u", 0, 0), RunOutcome::Done);
    sim.run_for(seconds(1));
    assert!(is_running(&sim, &unit("b", 0, 0)));
}

/// Guards against a unit that is started elsewhere while its silent worker may still run it, and
/// against an urgent unit that waits for this worker.
#[test]
fn a_silent_victim_does_not_run_twice() {
    let mut sim = simulation(&["w1", "w2"]);
    start_batch(&mut sim, "b1", "t", long_step(1, WORKER_CPU_MILLIS));
    start_batch(&mut sim, "b2", "t", long_step(1, WORKER_CPU_MILLIS));
    // The youngest is chosen, and its worker falls silent before the stop arrives.
    let silent = sim.workers.iter().find(|w| w.running[0].unit.job.ends_with('2')).unwrap();
    let silent = silent.id.clone();
    sim.worker(&silent).is_responsive = false;
    submit_urgent(&mut sim, "u", 1, 8_000);
    sim.run_round();
    assert_eq!(preempted(&sim), [unit("b2", 0, 0)]);
    sim.scheduler.handle_failed_poll(&silent, sim.now);
    let mut starts = sim.run_for(seconds(1));
    assert_eq!(preempted(&sim), [unit("b2", 0, 0), unit("b1", 0, 0)]);
    assert!(is_running(&sim, &unit("u", 0, 0)));
    starts.extend(sim.run_for(seconds(3)));
    assert!(starts.iter().all(|start| &*start.unit.job != "b2"), "{starts:?}");
}
