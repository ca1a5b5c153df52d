//! How the hosts are divided: peaks by turns, peaks at the same time, and hosts that are idle.

#[path = "common/world.rs"]
mod world;

use rstest::rstest;
use scheduler::Action;
use scheduler::PoolLoad;
use scheduler::PoolLoads;
use scheduler::Resources;
use scheduler::Step;
use scheduler::host_targets;
use world::World;
use world::config;
use world::job;
use world::millis;
use world::seconds;
use world::step;

const HOST: Resources = Resources { cpu_millis: 16_000, memory_mb: 32_768, gpus: 0 };

fn load(baseline_hosts: usize, waiting_cores: u64) -> PoolLoad {
    PoolLoad {
        hosts: baseline_hosts,
        baseline_hosts,
        waiting: Resources { cpu_millis: waiting_cores * 1_000, memory_mb: 0, gpus: 0 },
        host: HOST,
        ..PoolLoad::default()
    }
}

#[rstest]
// One pool has its peak: it gets what it asks for.
#[case(&[(9, 216), (9, 0)], 20, &[15, 0])]
// Two peaks at a time: each keeps its own, and the rest is divided.
#[case(&[(9, 432), (9, 216)], 24, &[13, 10])]
// There are no more hosts than these.
#[case(&[(9, 432), (9, 432)], 18, &[9, 9])]
fn hosts_are_divided_by_what_is_asked_for(
    #[case] pools: &[(usize, u64)],
    #[case] total: usize,
    #[case] expected: &[usize],
) {
    let named = pools.iter().zip(["p", "q"]);
    let loads: PoolLoads =
        named.map(|((own, cores), name)| (name.into(), load(*own, *cores))).collect();
    let targets = host_targets(&loads, total);
    let found: Vec<usize> = targets.values().copied().collect();
    assert_eq!(found, expected);
}

#[test]
fn a_peak_gets_the_spare_hosts() {
    let no_bound = Resources::default();
    let mut world = World::new(&["w1"], config(3, no_bound));
    world.list_hosts_in(&[("h1", "p", "w1"), ("h2", "spare", ""), ("h3", "spare", "")]);
    world.pass(seconds(1));
    // Twice what one host holds, and more than that comes.
    world.scheduler.add_job(job("a", vec![step(32, 1_000)], world.now), world.now);
    world.pass(seconds(1));
    let moves = |world: &World| -> Vec<(String, String)> {
        let moves = world.others.iter().filter_map(|action| match action {
            Action::MoveHost { host, pool } => Some((host.to_string(), pool.to_string())),
            _ => None,
        });
        moves.collect()
    };
    let mut lent = moves(&world);
    lent.sort();
    assert_eq!(lent, [("h2".into(), "p".into()), ("h3".into(), "p".into())]);
}

#[test]
fn hosts_that_a_pool_has_at_a_peak_do_not_become_its_own_with_the_next_owner() {
    let no_bound = Resources::default();
    let mut world = World::new(&["w1"], config(3, no_bound));
    world.list_hosts_in(&[("h1", "p", "w1"), ("h2", "spare", "")]);
    world.pass(seconds(1));
    let record = job("a", vec![step(32, 1_000)], world.now);
    world.scheduler.add_job(record.clone(), world.now);
    world.pass(seconds(1));
    let baseline_hosts =
        |world: &World| world.scheduler.pool_loads(world.now).get("p").unwrap().baseline_hosts;
    assert_eq!(baseline_hosts(&world), 1);
    world.take_over(2, config(3, no_bound), seconds(6), &[record]);
    world.list_hosts_in(&[("h1", "p", "w1"), ("h2", "p", "")]);
    world.pass(seconds(1));
    assert_eq!(baseline_hosts(&world), 1);
}

#[test]
fn a_pool_whose_workers_are_lost_gets_other_hosts_for_units_that_last() {
    let no_bound = Resources::default();
    let mut world = World::new(&["w1", "w2", "w3"], config(3, no_bound));
    let own = [("h1", "p", "w1"), ("h2", "p", "w2"), ("h3", "p", "w3")];
    let spare = [("h4", "spare", ""), ("h5", "spare", "")];
    world.list_hosts_in(&[&own[..], &spare[..]].concat());
    // One unit on each host, with one host in reserve.
    let lasting = Step { is_long_running: true, per_worker_max: 1, ..step(2, 10_000) };
    world.scheduler.add_job(job("a", vec![lasting], world.now), world.now);
    world.pass(seconds(1));
    assert!(!world.others.iter().any(|action| matches!(action, Action::MoveHost { .. })));
    let runs = |world: &World, id: &str| !world.scheduler.worker(id).unwrap().runs.is_empty();
    let used: Vec<&str> = ["w1", "w2", "w3"].into_iter().filter(|id| runs(&world, id)).collect();
    let silent: Vec<&str> = ["w1", "w2", "w3"].into_iter().filter(|id| *id != used[0]).collect();
    for id in &silent {
        world.worker(id).answers = false;
    }
    for _ in 0..40 {
        for id in &silent {
            world.scheduler.handle_failed_poll(&(*id).into(), world.now);
        }
        world.pass(millis(200));
    }
    let is_fetched =
        |action: &Action| matches!(action, Action::MoveHost { pool, .. } if &**pool == "p");
    assert!(world.others.iter().any(is_fetched));
}

#[test]
fn a_wave_that_keeps_hosts_away_does_not_keep_a_pool_from_others() {
    let away = |is_lasting_starved, incoming_hosts, unusable_hosts| PoolLoad {
        hosts: 3,
        is_starved: is_lasting_starved,
        is_lasting_starved,
        long_running_hosts: 2,
        incoming_hosts,
        unusable_hosts,
        ..PoolLoad::default()
    };
    assert_eq!(away(false, 0, 2).hosts_needed(), 3, "nothing waits");
    assert_eq!(away(true, 0, 0).hosts_needed(), 4, "no host is on its way");
    assert_eq!(away(true, 1, 0).hosts_needed(), 3, "the one that comes may have room");
    assert_eq!(away(true, 1, 2).hosts_needed(), 5, "those that are away have none");
}

#[test]
fn hosts_that_are_still_starting_are_not_lost() {
    let no_bound = Resources::default();
    let mut world = World::new(&["w1"], config(3, no_bound));
    let lasting = Step { is_long_running: true, ..step(2, 1_000) };
    world.scheduler.add_job(job("a", vec![lasting], world.now), world.now);
    world.list_hosts_in(&[
        ("h1", "p", "w1"),
        ("h2", "p", ""),
        ("h3", "p", ""),
        ("h4", "spare", ""),
    ]);
    world.pass(seconds(1));
    let load = *world.scheduler.pool_loads(world.now).get("p").unwrap();
    assert_eq!((load.hosts, load.unusable_hosts), (3, 0));
    assert!(!world.others.iter().any(|action| matches!(action, Action::MoveHost { .. })));
    // A worker that was there and is not any more is lost.
    world.list_hosts_in(&[("h1", "p", ""), ("h2", "p", ""), ("h3", "p", ""), ("h4", "spare", "")]);
    assert_eq!(world.scheduler.pool_loads(world.now).get("p").unwrap().unusable_hosts, 1);
}
