//! Workers that are cold after their start, and the loss and return of a whole zone.

#[path = "common/simulation.rs"]
mod simulation;

use std::time::Duration;

use rstest::rstest;
use scheduler::Action;
use scheduler::Moment;
use scheduler::Policy;
use scheduler::PollFailure;
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
/// Lease of the default settings.
const LEASE: Duration = Duration::from_secs(5);

/// Reads the registration of a worker that is cold for a time.
fn set_cold(sim: &mut Simulation, id: &str, cold_left: Duration) {
    let incarnation_started_ms = sim.worker(id).incarnation_started_ms;
    let registration = WorkerRegistration { cold_left, incarnation_started_ms, ..registration(id) };
    sim.scheduler.update_worker(registration, Duration::ZERO, sim.now);
}

fn is_cold(sim: &Simulation, id: &str) -> bool {
    sim.scheduler.worker(id).expect("a known worker").is_cold(sim.now)
}

fn decisions(sim: &Simulation, wanted: &str) -> usize {
    let is_wanted = |a: &&Action| matches!(a, Action::LogDecision { what, .. } if *what == wanted);
    sim.other_actions.iter().filter(is_wanted).count()
}

/// Load: demand that waits for a worker which has just started. Guards against a burst that hits it
/// at once, and against one that never takes its whole capacity.
#[test]
fn the_usable_capacity_of_a_cold_worker_rises_to_the_whole() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    set_cold(&mut sim, "w1", seconds(8));
    // Without an estimate, the deadline lies 600 ms ahead, and then the units can't wait.
    let hungry = Step { estimate_ms: 0, ..step(20, 1_000) };
    sim.scheduler.add_job(job("a", vec![hungry], sim.now), sim.now);
    let started_at: Moment = sim.now;
    let mut counts = Vec::new();
    for at in [millis(400), millis(800), millis(4_200), millis(6_200), seconds(9)] {
        sim.run_for(started_at + at - sim.now);
        counts.push(sim.worker("w1").running.len());
    }
    assert_eq!(counts, [0, 5, 10, 13, 16]);
    assert_eq!(sim.scheduler.pool_loads(sim.now).get("p").unwrap().cold_workers, 0);
    assert!((10..16).contains(&sim.scheduler.take_counts().cold_starts));
}

/// Load: a cold and a warm worker. Guards against units on the cold one that the warm one has room
/// for, or that their deadline lets wait; and against hosts that are moved for those.
#[test]
fn units_go_to_warm_workers_and_wait_for_them_while_their_deadline_allows() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    sim.list_hosts_in_pool(&[("h1", "w1"), ("h2", "w2")]);
    set_cold(&mut sim, "w1", seconds(60));
    assert_eq!(sim.scheduler.pool_loads(sim.now).get("p").unwrap().cold_workers, 1);
    // The latest start is 2.4 s after the submission, and the units wait until 1.5 s before it.
    let patient = Step { estimate_ms: 3_000, ..step(18, 1_000) };
    let long = Step { is_long_running: true, ..step(1, 1_000) };
    sim.scheduler.add_job(job("a", vec![patient], sim.now), sim.now);
    sim.scheduler.add_job(job("b", vec![long], sim.now), sim.now);
    let starts = sim.run_for(millis(200));
    assert_eq!(starts.len(), 16);
    assert!(starts.iter().all(|start| &*start.worker == "w2"), "{starts:?}");
    let short = Step { estimate_ms: 10_000, ..step(2, 1_000) };
    sim.scheduler.add_job(job("c", vec![short], sim.now), sim.now);
    let starts = sim.run_for(seconds(1));
    assert_eq!(starts.len(), 3, "those of the first job can't wait any more: {starts:?}");
    assert!(starts.iter().all(|start| &*start.worker == "w1" && &*start.unit.job == "a"));
    assert!(!sim.scheduler.pool_loads(sim.now).get("p").unwrap().is_starved);
    sim.complete_run(&unit("a", 0, 0), RunOutcome::Done);
    let starts = sim.run_for(millis(400));
    assert_eq!(starts[0].unit, unit("c", 0, 0));
    assert_eq!(&*starts[0].worker, "w2", "a warm worker has room");
}

/// Guards against failures that are only the slowness of a cold worker, and against one whose runs
/// never count as stalled.
#[test]
fn slowness_while_cold_and_for_a_lease_after_is_no_failure() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    set_cold(&mut sim, "w1", seconds(4));
    let hungry = Step { estimate_ms: 0, ..step(1, 1_000) };
    sim.scheduler.add_job(job("a", vec![hungry], sim.now), sim.now);
    sim.run_for(seconds(1));
    assert_eq!(sim.worker("w1").running.len(), 1);
    let warm_at = sim.now + seconds(3);
    while sim.now < warm_at + LEASE - millis(200) {
        sim.now += millis(200);
        sim.report_all();
        sim.run_round();
        assert_eq!(decisions(&sim, "run stands still"), 0, "at {:?}", sim.now);
    }
    for _ in 0..3 {
        sim.now += millis(200);
        sim.report_all();
        sim.run_round();
    }
    assert_eq!(decisions(&sim, "run stands still"), 1);
}

/// Guards against learning from cold workers how long units take.
#[rstest]
#[case::cold(seconds(4), 0)]
#[case::warm(Duration::ZERO, 1)]
fn runs_on_cold_workers_are_no_samples(#[case] cold_left: Duration, #[case] samples: u64) {
    let policies = [Policy::LearnedDurations];
    let mut sim = Simulation::with_policies(&["w1"], config(3, NO_QUOTA), &policies);
    set_cold(&mut sim, "w1", cold_left);
    sim.scheduler.add_job(job("a", vec![step(1, 1_000)], sim.now), sim.now);
    sim.run_for(seconds(2));
    sim.complete_run(&unit("a", 0, 0), RunOutcome::Done);
    sim.run_for(millis(200));
    assert_eq!(sim.scheduler.take_counts().duration_samples, samples);
}

/// Failures: the worker crashes while it is cold, and the registration is read again.
#[test]
fn the_remaining_time_is_that_of_the_incarnation() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    set_cold(&mut sim, "w1", seconds(4));
    sim.run_for(seconds(3));
    set_cold(&mut sim, "w1", seconds(4));
    sim.run_for(seconds(1));
    assert!(!is_cold(&sim, "w1"), "the same registration counts down from the first read");
    sim.worker("w1").crash();
    sim.worker("w1").restart();
    // The report comes before the registration.
    sim.report("w1");
    assert!(is_cold(&sim, "w1"), "the new incarnation is as cold as the one before");
    set_cold(&mut sim, "w1", seconds(2));
    sim.run_for(millis(2_200));
    assert!(!is_cold(&sim, "w1"));
    // A worker that registers again and again keeps the capacity that it had.
    set_cold(&mut sim, "w1", seconds(4));
    sim.run_for(seconds(2));
    set_cold(&mut sim, "w1", millis(2_100));
    let hungry = Step { estimate_ms: 0, ..step(16, 1_000) };
    sim.scheduler.add_job(job("a", vec![hungry], sim.now - seconds(1)), sim.now);
    sim.run_for(millis(200));
    assert!((9..12).contains(&sim.worker("w1").running.len()), "five eighths of its capacity");
    set_cold(&mut sim, "w1", Duration::ZERO);
    assert!(!is_cold(&sim, "w1"), "the worker tells that it is warm");
}

/// Load and failure: a whole zone is lost with the owner in it, and comes back cold. Guards against
/// a pool that waits for lost hosts, against units that stay lost, and against demand that hits the
/// cold zone while others have room.
#[test]
fn a_lost_zone_is_replaced_at_once_and_comes_back_without_a_burst() {
    let zone_of = |id: &str| if id < "w4" { "a" } else { "b" };
    let ids = ["w1", "w2", "w3", "w4", "w5", "w6"];
    let mut sim = Simulation::new(&ids, config(3, NO_QUOTA));
    let register = |sim: &mut Simulation, cold_left: Duration| {
        for id in ids {
            let pool = if id < "w5" { "p" } else { "spare" };
            let incarnation_started_ms = sim.worker(id).incarnation_started_ms;
            let registration = WorkerRegistration {
                zone: zone_of(id).into(),
                pool: pool.into(),
                cold_left: if zone_of(id) == "a" { cold_left } else { Duration::ZERO },
                incarnation_started_ms,
                ..registration(id)
            };
            sim.scheduler.update_worker(registration, Duration::ZERO, sim.now);
        }
        let hosts: Vec<String> = ids.iter().map(|id| format!("h-{id}")).collect();
        let entries = hosts.iter().zip(ids);
        let entries: Vec<(&str, &str, &str)> = entries
            .map(|(host, id)| (host.as_str(), if id < "w5" { "p" } else { "spare" }, id))
            .collect();
        sim.list_hosts(&entries);
    };
    register(&mut sim, Duration::ZERO);
    let record = job("a", vec![step(30, 1_000)], sim.now);
    sim.scheduler.add_job(record.clone(), sim.now);
    sim.run_for(seconds(1));
    for id in ["w1", "w2", "w3"] {
        sim.worker(id).crash();
    }
    sim.take_over(2, config(3, NO_QUOTA), LEASE, &[record]);
    register(&mut sim, Duration::ZERO);
    sim.report_all();
    for id in ["w1", "w2", "w3"] {
        sim.scheduler.handle_failed_poll(&id.into(), PollFailure::NoReply, sim.now);
    }
    sim.run_for(millis(400));
    assert_eq!(decisions(&sim, "zone lost"), 1);
    let load = *sim.scheduler.pool_loads(sim.now).get("p").unwrap();
    assert_eq!((load.absent_hosts, load.hosts), (3, 3), "both spare hosts are on their way");
    for id in ["w1", "w2", "w3"] {
        sim.worker(id).restart();
    }
    register(&mut sim, seconds(30));
    let starts = sim.run_for(millis(400));
    assert_eq!(decisions(&sim, "zone back"), 1);
    let on_cold = starts.iter().filter(|start| zone_of(&start.worker) == "a").count();
    assert!(on_cold <= 12, "at most a quarter of the zone is used at first: {on_cold}");
    let warm_left = sim.scheduler.worker("w4").unwrap().free_capacity();
    assert!(on_cold == 0 || warm_left.cpu_millis < 1_000, "warm workers go first");
    sim.run_for(seconds(3));
    let running: usize = sim.workers.iter().map(|worker| worker.running.len()).sum();
    assert!(running >= 16 + 12, "{running}");
}
