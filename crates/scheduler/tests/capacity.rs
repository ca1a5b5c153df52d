//! Distribution of hosts over pools: peaks at different times, peaks at the same time and idle
//! hosts.

#[path = "common/simulation.rs"]
mod simulation;

use rstest::rstest;
use scheduler::Action;
use scheduler::PollFailure;
use scheduler::PoolLoad;
use scheduler::PoolLoads;
use scheduler::Resources;
use scheduler::Step;
use scheduler::host_targets;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::seconds;
use simulation::step;

const HOST: Resources = Resources { cpu_millis: 16_000, memory_mb: 32_768, gpus: 0 };

fn load(baseline_hosts: usize, waiting_cores: u64) -> PoolLoad {
    PoolLoad {
        hosts: baseline_hosts,
        baseline_hosts,
        waiting: Resources { cpu_millis: waiting_cores * 1_000, memory_mb: 0, gpus: 0 },
        host_capacity: HOST,
        ..PoolLoad::default()
    }
}

#[rstest]
// One pool has a peak and gets all the hosts that it needs.
#[case(&[(9, 216), (9, 0)], 20, &[15, 0])]
// Both pools have a peak: each keeps its baseline, and the rest is divided.
#[case(&[(9, 432), (9, 216)], 24, &[13, 10])]
// Both pools have a peak, and there are no hosts beyond their baselines.
#[case(&[(9, 432), (9, 432)], 18, &[9, 9])]
fn hosts_are_distributed_by_demand(
    #[case] pools: &[(usize, u64)],
    #[case] total: usize,
    #[case] expected: &[usize],
) {
    let named = pools.iter().zip(["p", "q"]);
    let loads: PoolLoads =
        named.map(|((baseline, cores), name)| (name.into(), load(*baseline, *cores))).collect();
    let targets = host_targets(&loads, total);
    let target_counts: Vec<usize> = targets.values().copied().collect();
    assert_eq!(target_counts, expected);
}

#[test]
fn a_pool_with_a_peak_gets_the_spare_hosts() {
    let no_quota = Resources::default();
    let mut sim = Simulation::new(&["w1"], config(3, no_quota));
    sim.list_hosts(&[("h1", "p", "w1"), ("h2", "spare", ""), ("h3", "spare", "")]);
    sim.run_for(seconds(1));
    // Work for two hosts, at a rate of new work that needs even more.
    sim.scheduler.add_job(job("a", vec![step(32, 1_000)], sim.now), sim.now);
    sim.run_for(seconds(1));
    let moves = |sim: &Simulation| -> Vec<(String, String)> {
        let moves = sim.other_actions.iter().filter_map(|action| match action {
            Action::MoveHost { host, pool } => Some((host.to_string(), pool.to_string())),
            _ => None,
        });
        moves.collect()
    };
    let mut moves_to_pool = moves(&sim);
    moves_to_pool.sort();
    assert_eq!(moves_to_pool, [("h2".into(), "p".into()), ("h3".into(), "p".into())]);
}

#[test]
fn a_takeover_at_a_peak_does_not_raise_the_baseline() {
    let no_quota = Resources::default();
    let mut sim = Simulation::new(&["w1"], config(3, no_quota));
    sim.list_hosts(&[("h1", "p", "w1"), ("h2", "spare", "")]);
    sim.run_for(seconds(1));
    let record = job("a", vec![step(32, 1_000)], sim.now);
    sim.scheduler.add_job(record.clone(), sim.now);
    sim.run_for(seconds(1));
    let baseline_hosts =
        |sim: &Simulation| sim.scheduler.pool_loads(sim.now).get("p").unwrap().baseline_hosts;
    assert_eq!(baseline_hosts(&sim), 1);
    sim.take_over(2, config(3, no_quota), seconds(6), &[record]);
    sim.list_hosts(&[("h1", "p", "w1"), ("h2", "p", "")]);
    sim.run_for(seconds(1));
    assert_eq!(baseline_hosts(&sim), 1);
}

/// Guards against a new owner taking all jobs that it restores for arrivals of the last second, and
/// moving the whole fleet to their pool.
#[test]
fn jobs_that_a_takeover_restores_are_no_new_arrivals() {
    let no_quota = Resources::default();
    let mut sim = Simulation::new(&["w1"], config(3, no_quota));
    let accepted_at = sim.now;
    let records: Vec<_> =
        (0..20).map(|n| job(&format!("j{n}"), vec![step(4, 1_000)], accepted_at)).collect();
    let arrival_cpu_millis =
        |sim: &Simulation| sim.scheduler.pool_loads(sim.now).get("p").unwrap().arrival_cpu_millis;
    for record in &records {
        sim.scheduler.add_job(record.clone(), sim.now);
    }
    assert!(arrival_cpu_millis(&sim) > 0);
    sim.now += seconds(5);
    sim.take_over(2, config(3, no_quota), seconds(6), &records);
    assert_eq!(arrival_cpu_millis(&sim), 0);
}

/// Guards against a few large jobs in a short window passing for a rate of work that lasts.
#[test]
fn a_large_job_does_not_count_for_those_to_come() {
    let mut sim = Simulation::new(&["w1"], config(3, Resources::default()));
    let arrival_cpu_millis =
        |sim: &Simulation| sim.scheduler.pool_loads(sim.now).get("p").unwrap().arrival_cpu_millis;
    let submit = |sim: &mut Simulation, id: &str, units: u32| {
        let record = job(id, vec![step(units, 1_000)], sim.now);
        sim.scheduler.add_job(record, sim.now);
        sim.now += millis(50);
    };
    for n in 0..70 {
        submit(&mut sim, &format!("small{n}"), 2);
    }
    let usual = arrival_cpu_millis(&sim);
    submit(&mut sim, "large", 40);
    assert!(arrival_cpu_millis(&sim) < usual * 3 / 2, "{}", arrival_cpu_millis(&sim));
}

#[test]
fn a_pool_gets_hosts_for_long_running_units_of_unresponsive_workers() {
    let no_quota = Resources::default();
    let mut sim = Simulation::new(&["w1", "w2", "w3"], config(3, no_quota));
    let baseline = [("h1", "p", "w1"), ("h2", "p", "w2"), ("h3", "p", "w3")];
    let spare = [("h4", "spare", ""), ("h5", "spare", "")];
    sim.list_hosts(&[&baseline[..], &spare[..]].concat());
    // One unit on each of two hosts, and one host in reserve.
    let long_running = Step { is_long_running: true, per_worker_max: 1, ..step(2, 10_000) };
    sim.scheduler.add_job(job("a", vec![long_running], sim.now), sim.now);
    sim.run_for(seconds(1));
    assert!(!sim.other_actions.iter().any(|action| matches!(action, Action::MoveHost { .. })));
    let runs = |sim: &Simulation, id: &str| !sim.scheduler.worker(id).unwrap().runs.is_empty();
    let used: Vec<&str> = ["w1", "w2", "w3"].into_iter().filter(|id| runs(&sim, id)).collect();
    let unresponsive: Vec<&str> =
        ["w1", "w2", "w3"].into_iter().filter(|id| *id != used[0]).collect();
    for id in &unresponsive {
        sim.worker(id).is_responsive = false;
    }
    for _ in 0..40 {
        for id in &unresponsive {
            sim.scheduler.handle_failed_poll(&(*id).into(), PollFailure::NoReply, sim.now);
        }
        sim.run_for(millis(200));
    }
    let is_move_to_pool =
        |action: &Action| matches!(action, Action::MoveHost { pool, .. } if &**pool == "p");
    assert!(sim.other_actions.iter().any(is_move_to_pool));
}

#[test]
fn hosts_unavailable_for_a_wave_are_replaced_when_long_running_units_wait() {
    let starved_load = |is_long_running_starved, incoming_hosts, unusable_hosts| PoolLoad {
        hosts: 3,
        is_starved: is_long_running_starved,
        is_long_running_starved,
        long_running_hosts: 2,
        incoming_hosts,
        unusable_hosts,
        ..PoolLoad::default()
    };
    assert_eq!(starved_load(false, 0, 2).hosts_needed(), 3, "no unit waits");
    assert_eq!(starved_load(true, 0, 0).hosts_needed(), 4, "no host is moving to the pool");
    assert_eq!(starved_load(true, 1, 0).hosts_needed(), 3, "the incoming host may have capacity");
    assert_eq!(starved_load(true, 1, 2).hosts_needed(), 5, "unavailable hosts have no capacity");
}

#[test]
fn starting_hosts_do_not_count_as_unusable() {
    let no_quota = Resources::default();
    let mut sim = Simulation::new(&["w1"], config(3, no_quota));
    let long_running = Step { is_long_running: true, ..step(2, 1_000) };
    sim.scheduler.add_job(job("a", vec![long_running], sim.now), sim.now);
    sim.list_hosts(&[("h1", "p", "w1"), ("h2", "p", ""), ("h3", "p", ""), ("h4", "spare", "")]);
    sim.run_for(seconds(1));
    let load = *sim.scheduler.pool_loads(sim.now).get("p").unwrap();
    assert_eq!((load.hosts, load.unusable_hosts), (3, 0));
    assert!(!sim.other_actions.iter().any(|action| matches!(action, Action::MoveHost { .. })));
    // A host whose worker was there before and is gone counts as unusable.
    sim.list_hosts(&[("h1", "p", ""), ("h2", "p", ""), ("h3", "p", ""), ("h4", "spare", "")]);
    assert_eq!(sim.scheduler.pool_loads(sim.now).get("p").unwrap().unusable_hosts, 1);
}
