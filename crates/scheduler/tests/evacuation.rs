//! Evacuation of zones: nothing starts there, long-running units leave within their budgets, and
//! pools are refilled from elsewhere.

#[path = "common/simulation.rs"]
mod simulation;

use std::time::Duration;

use rstest::rstest;
use scheduler::Action;
use scheduler::EvacuationState;
use scheduler::Moment;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::Scheduler;
use scheduler::Settings;
use scheduler::StartCommand;
use scheduler::Step;
use scheduler::WorkerRegistration;
use scheduler::ZoneName;
use simulation::Simulation;
use simulation::UNIX_MS;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::registration;
use simulation::seconds;
use simulation::step;
use simulation::unit;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };
/// `evacMs` of the deployments.
const BOUND: Duration = Duration::from_secs(5);
/// Four fifths of [`BOUND`].
const READ_AGE_MAX: Duration = Duration::from_secs(4);

/// Puts workers into zones, each with its host.
fn set_zones(sim: &mut Simulation, zones: &[(&str, &str)]) {
    for (worker, zone) in zones {
        let registration = WorkerRegistration { zone: (*zone).into(), ..registration(worker) };
        sim.scheduler.update_worker(registration, Duration::ZERO, sim.now);
    }
    let hosts: Vec<String> = zones.iter().map(|(worker, _)| format!("h-{worker}")).collect();
    let entries: Vec<(&str, &str)> =
        hosts.iter().zip(zones).map(|(host, (worker, _))| (host.as_str(), *worker)).collect();
    sim.list_hosts_in_pool(&entries);
}

fn evacuate(sim: &mut Simulation, zones: &[&str]) {
    let zones: Vec<ZoneName> = zones.iter().map(|zone| (*zone).into()).collect();
    sim.scheduler.set_evacuated_zones(&zones);
}

/// Creates an owner that has not read the operators' rows, on a deployment with a bound.
fn simulation_with_bound(ids: &[&str]) -> Simulation {
    let mut sim = Simulation::new(ids, config(3, NO_QUOTA));
    let settings = Settings { evacuation_bound: Some(BOUND), ..Settings::default() };
    let unix_ms = UNIX_MS + sim.now.as_millis() as u64;
    sim.scheduler = Scheduler::new(settings, 2, unix_ms, sim.now);
    sim.scheduler.set_config(config(3, NO_QUOTA));
    let registrations = ids.iter().map(|id| registration(id)).collect();
    sim.scheduler.set_workers(registrations, Duration::ZERO, sim.now);
    sim.report_all();
    sim
}

fn logged(sim: &Simulation) -> Vec<(EvacuationState, usize)> {
    let logged = sim.other_actions.iter().filter_map(|action| match action {
        Action::LogEvacuation { state, runs, .. } => {
            Some((*state, runs.long_running + runs.finite))
        }
        _ => None,
    });
    logged.collect()
}

fn decisions(sim: &Simulation, wanted: &str) -> usize {
    let is_wanted = |a: &&Action| matches!(a, Action::LogDecision { what, .. } if *what == wanted);
    sim.other_actions.iter().filter(is_wanted).count()
}

fn long_running(count: u32, unavailable_max: u32) -> Step {
    Step { is_long_running: true, unavailable_max, ..step(count, 1_000) }
}

/// Runs for a time in which all units are fully available.
fn run_available(sim: &mut Simulation, time: Duration) -> Vec<StartCommand> {
    let until = sim.now + time;
    let mut starts = Vec::new();
    while sim.now < until {
        sim.now += millis(100);
        for running in sim.workers.iter_mut().flat_map(|worker| &mut worker.running) {
            running.progress_percent = 100;
        }
        sim.report_all();
        starts.extend(sim.run_round());
    }
    starts
}

/// Load: an evacuation that begins in a stream of jobs. Guards against starts in the zone, against
/// stopping finite units, and against an evacuation that does not end with its row.
#[test]
fn nothing_starts_in_an_evacuated_zone_and_finite_units_finish() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    set_zones(&mut sim, &[("w1", "a"), ("w2", "b")]);
    sim.scheduler.add_job(job("a", vec![step(20, 1_000)], sim.now), sim.now);
    sim.run_round();
    let left = sim.worker("w1").running.len();
    assert!(left > 0);
    evacuate(&mut sim, &["a"]);
    sim.scheduler.add_job(job("b", vec![step(12, 1_000)], sim.now), sim.now);
    let starts = sim.run_for(seconds(1));
    assert_eq!(starts.len(), 12);
    assert!(starts.iter().all(|start| &*start.worker == "w2"), "{starts:?}");
    assert_eq!(sim.worker("w1").running.len(), left, "finite units finish");
    for running in sim.worker("w1").running.clone() {
        sim.complete_run(&running.unit, RunOutcome::Done);
    }
    sim.run_for(seconds(1));
    let expected = [(EvacuationState::Evacuating, left), (EvacuationState::Evacuated, 0)];
    assert_eq!(logged(&sim), expected);
    evacuate(&mut sim, &[]);
    sim.scheduler.add_job(job("c", vec![step(12, 1_000)], sim.now), sim.now);
    let starts = sim.run_for(seconds(1));
    assert!(starts.iter().any(|start| &*start.worker == "w1"), "{starts:?}");
    assert_eq!(logged(&sim).last(), Some(&(EvacuationState::Returned, 0)));
}

/// Failure: the evacuation becomes known between the decision to start a run and its commit.
#[test]
fn a_run_that_was_already_planned_does_not_start() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    set_zones(&mut sim, &[("w1", "a")]);
    sim.scheduler.add_job(job("a", vec![step(3, 1_000)], sim.now), sim.now);
    sim.scheduler.plan(sim.now);
    let limits = scheduler::BatchLimits {
        rows_max: 100,
        progress_rows_max: 100,
        bytes_max: simulation::BATCH_BYTES_MAX,
    };
    let batch = sim.scheduler.take_batch(limits, sim.now);
    assert_eq!(batch.assignments.len(), 1);
    evacuate(&mut sim, &["a"]);
    sim.scheduler.handle_commit(&batch, sim.now);
    assert!(sim.carry_out_actions().is_empty());
    assert_eq!(sim.scheduler.take_counts().starts_withheld, 3);
    assert_eq!(sim.scheduler.team_usage("t"), NO_QUOTA, "the quota is free again");
}

/// Failure: a read that has become too old while the owner was suspended or cut off. Also, a start
/// command that is late must not take effect after the bound.
#[rstest]
#[case::recent(READ_AGE_MAX, Some(millis(1_000)))]
#[case::too_old(READ_AGE_MAX + millis(1), None)]
#[case::just_read(Duration::ZERO, Some(millis(2_000)))]
fn starts_need_a_recent_read_of_the_operators_rows(
    #[case] age: Duration,
    #[case] valid_for: Option<Duration>,
) {
    let mut sim = simulation_with_bound(&["w1"]);
    sim.scheduler.add_job(job("a", vec![step(1, 1_000)], sim.now), sim.now);
    assert!(sim.run_round().is_empty(), "nothing was read yet");
    let read_at: Moment = sim.now;
    sim.scheduler.confirm_operator_rows(Some(read_at));
    // A run that was planned on a recent read is checked again once it is stored.
    sim.scheduler.plan(sim.now);
    let limits = scheduler::BatchLimits {
        rows_max: 100,
        progress_rows_max: 100,
        bytes_max: simulation::BATCH_BYTES_MAX,
    };
    let batch = sim.scheduler.take_batch(limits, sim.now);
    sim.now += age;
    sim.report_all();
    sim.scheduler.handle_commit(&batch, sim.now);
    let starts = sim.carry_out_actions();
    let found = starts.first().map(|start| millis(start.deadline_ms) - sim.now);
    assert_eq!(found, valid_for);
    if valid_for.is_none() {
        assert!(sim.run_round().is_empty());
        sim.scheduler.confirm_operator_rows(Some(sim.now));
        sim.now += millis(300);
        assert_eq!(sim.run_round().len(), 1, "a new read permits starts again");
        let logged = (decisions(&sim, "starts withheld"), decisions(&sim, "starts resumed"));
        assert_eq!(logged, (1, 1), "once for the whole time");
    }
}

/// Guards against ending more units of a step than its budget allows, and against stopping a unit
/// that has no place to go.
#[test]
fn long_running_units_leave_one_after_another_and_only_for_free_capacity() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    set_zones(&mut sim, &[("w1", "a"), ("w2", "b")]);
    sim.scheduler.add_job(job("a", vec![long_running(4, 1)], sim.now), sim.now);
    sim.run_round();
    let used: &str = if sim.worker("w1").running.is_empty() { "w2" } else { "w1" };
    let (zone, other) = if used == "w1" { ("a", "w2") } else { ("b", "w1") };
    run_available(&mut sim, seconds(2));
    // Elsewhere, all but one core is taken.
    evacuate(&mut sim, &[zone]);
    let filler = Step { is_long_running: true, ..step(1, 15_000) };
    // A unit that fits nowhere does not keep the others in the zone.
    let unfit = Step { label: Some("none".to_owned()), ..long_running(1, 1) };
    sim.scheduler.add_job(job("c", vec![unfit], sim.now), sim.now);
    sim.scheduler.add_job(job("b", vec![filler], sim.now), sim.now);
    sim.run_round();
    for _ in 0..20 {
        run_available(&mut sim, millis(100));
        let running = sim.workers.iter().flat_map(|worker| &worker.running);
        assert!(running.filter(|run| &*run.unit.job == "a").count() >= 3);
    }
    assert_eq!(sim.worker(used).running.len(), 3, "there was room for one");
    sim.scheduler.cancel("b");
    sim.commit();
    run_available(&mut sim, seconds(3));
    assert_eq!((sim.worker(used).running.len(), sim.worker(other).running.len()), (0, 4));
    assert_eq!(decisions(&sim, "unit moved"), 4);
    assert_eq!(sim.scheduler.take_counts().units_evacuated, 4);
}

/// Failure: the read becomes too old while units are being moved. One that is stopped then could
/// not start elsewhere.
#[test]
fn no_unit_is_moved_while_starts_are_withheld() {
    let mut sim = simulation_with_bound(&["w1", "w2"]);
    set_zones(&mut sim, &[("w1", "a"), ("w2", "a")]);
    sim.scheduler.confirm_operator_rows(Some(sim.now));
    sim.scheduler.add_job(job("a", vec![long_running(1, 1)], sim.now), sim.now);
    sim.run_round();
    run_available(&mut sim, READ_AGE_MAX);
    let used: &str = if sim.worker("w1").running.is_empty() { "w2" } else { "w1" };
    set_zones(&mut sim, &[(used, "b")]);
    evacuate(&mut sim, &["b"]);
    run_available(&mut sim, seconds(1));
    assert_eq!(sim.worker(used).running.len(), 1);
    sim.scheduler.confirm_operator_rows(Some(sim.now));
    run_available(&mut sim, seconds(1));
    assert!(sim.worker(used).running.is_empty());
}

/// Failures: the owner changes, and then the zone returns, while units are still being moved. No
/// more units than the budget allows are down, and those that are left stay.
#[test]
fn a_takeover_and_the_return_of_the_zone_keep_the_budget() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let zones = [("w1", "a"), ("w2", "a")];
    set_zones(&mut sim, &zones);
    let record = job("a", vec![long_running(6, 1)], sim.now);
    sim.scheduler.add_job(record.clone(), sim.now);
    sim.run_round();
    run_available(&mut sim, seconds(2));
    sim.add_worker("w3");
    set_zones(&mut sim, &[("w1", "a"), ("w2", "a"), ("w3", "b")]);
    evacuate(&mut sim, &["a"]);
    // The first unit is told to stop, and the owner ends before it starts elsewhere.
    run_available(&mut sim, millis(100));
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[record]);
    set_zones(&mut sim, &[("w1", "a"), ("w2", "a"), ("w3", "b")]);
    evacuate(&mut sim, &["a"]);
    for _ in 0..18 {
        run_available(&mut sim, millis(100));
        assert!(sim.workers.iter().map(|worker| worker.running.len()).sum::<usize>() >= 5);
    }
    evacuate(&mut sim, &[]);
    let moved = sim.worker("w3").running.len();
    assert!((1..6).contains(&moved), "{moved}");
    run_available(&mut sim, seconds(2));
    assert_eq!(sim.workers.iter().map(|worker| worker.running.len()).sum::<usize>(), 6);
    assert!(sim.worker("w3").running.len() <= moved + 1, "the others stay");
}

/// Guards against a pool that goes without the hosts of the zone, and against moving these.
#[test]
fn hosts_of_an_evacuated_zone_are_replaced_and_not_moved() {
    let mut sim = Simulation::new(&["w1", "w2", "w3"], config(3, NO_QUOTA));
    let in_zone = |id: &str, zone: &str, pool: &str| WorkerRegistration {
        zone: zone.into(),
        pool: pool.into(),
        ..registration(id)
    };
    for (id, zone, pool) in [("w1", "a", "p"), ("w2", "b", "spare"), ("w3", "a", "spare")] {
        sim.scheduler.update_worker(in_zone(id, zone, pool), Duration::ZERO, sim.now);
    }
    sim.list_hosts(&[("h1", "p", "w1"), ("h2", "spare", "w2"), ("h3", "spare", "w3")]);
    sim.run_for(seconds(1));
    evacuate(&mut sim, &["a"]);
    sim.scheduler.add_job(job("a", vec![step(4, 1_000)], sim.now), sim.now);
    sim.run_for(seconds(2));
    let load = *sim.scheduler.pool_loads(sim.now).get("p").unwrap();
    assert_eq!((load.absent_hosts, load.hosts, load.ready_workers), (1, 1, 0));
    let moves = sim.other_actions.iter().filter_map(|action| match action {
        Action::MoveHost { host, .. } => Some(&**host),
        _ => None,
    });
    assert_eq!(moves.collect::<Vec<&str>>(), ["h2"]);
}

/// The last zone is evacuated as requested, and a row for an unknown zone waits for its workers.
#[test]
fn all_zones_and_unknown_zones_may_be_evacuated() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    set_zones(&mut sim, &[("w1", "a")]);
    evacuate(&mut sim, &["unknown"]);
    sim.scheduler.add_job(job("a", vec![step(1, 1_000)], sim.now), sim.now);
    assert_eq!(sim.run_round().len(), 1);
    evacuate(&mut sim, &["a", "unknown"]);
    sim.scheduler.add_job(job("b", vec![step(1, 1_000)], sim.now), sim.now);
    assert!(sim.run_for(seconds(1)).is_empty());
    assert_eq!(decisions(&sim, "no zone left"), 1);
    evacuate(&mut sim, &["unknown"]);
    assert_eq!(sim.run_for(seconds(1))[0].unit, unit("b", 0, 0));
    let leaving = WorkerRegistration { zone: "unknown".into(), ..registration("w1") };
    sim.scheduler.update_worker(leaving, Duration::ZERO, sim.now);
    sim.scheduler.add_job(job("c", vec![step(1, 1_000)], sim.now), sim.now);
    assert!(sim.run_for(seconds(1)).is_empty(), "a worker of the zone has appeared");
}
