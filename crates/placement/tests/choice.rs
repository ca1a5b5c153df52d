//! Checks which worker a job gets, and which jobs are rejected because they can never run.

#[path = "common/world.rs"]
mod world;

use std::time::Duration;

use model::Contract;
use model::contract::Access;
use model::contract::Pool as ContractPool;
use model::contract::Profile;
use model::contract::Queue;
use model::contract::Team;
use placement::JobRejection;
use placement::PoolCapacity;
use placement::Size;
use placement::TaskOutcome;
use placement::admit::check_team;
use placement::admit::choose_pool;
use proptest::collection::vec;
use proptest::prop_assert;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::world::World;
use crate::world::job;
use crate::world::worker;

/// Number of waiting jobs of a team that one decision tries.
const JOBS_PER_TEAM_MAX: usize = 32;

#[test]
fn tasks_of_a_group_are_spread_over_zones_and_racks() {
    // Six racks with four workers each, two racks in each zone.
    let mut world = World::new((0..24).map(|i| worker(&format!("w{i:02}"), i, 16, 0)).collect());
    for index in 0..12 {
        world.submit(job(&format!("j{index:02}"), 1));
    }
    let mut in_rack = [0; 6];
    while let Some(placed) = world.pool.place_next(world.now, |_| true) {
        let index: usize = placed.worker[1..].parse().unwrap();
        in_rack[index / 4] += 1;
    }
    assert_eq!(in_rack, [2; 6]);
}

#[test]
fn tasks_are_packed_to_keep_accelerators_of_other_workers_free() {
    let specs = (0..8).map(|i| worker(&format!("w{i}"), i, 16, if i < 4 { 8 } else { 0 }));
    let mut world = World::new(specs.collect());
    for index in 0..32 {
        world.submit(job(&format!("plain{index:02}"), 2));
    }
    for index in 0..4 {
        let mut small = job(&format!("small{index}"), 1);
        small.declared.accelerators = 2;
        world.submit(small);
    }
    while world.pool.place_next(world.now, |_| true).is_some() {}
    let whole = world.pool.free().iter().filter(|(_, free)| free.accelerators == 8).count();
    assert_eq!(whole, 3, "{:?}", world.pool.free());
    let plain_on_accelerated = (0..4)
        .flat_map(|i| world.pool.tasks_on(&format!("w{i}").into()).to_vec())
        .filter(|job| job.starts_with("plain"))
        .count();
    assert_eq!(plain_on_accelerated, 0);
}

#[test]
fn large_job_is_not_starved_by_small_ones() {
    let mut world = World::new(vec![worker("w0", 0, 4, 0)]);
    for index in 0..200 {
        world.submit(job(&format!("j{index:03}"), 1));
    }
    let mut large = job("large", 4);
    large.team.team = "other".into();
    while world.pool.place_next(world.now, |_| true).is_some() {}
    world.submit(large);
    for _ in 0..60 {
        world.now += Duration::from_secs(1);
        let first = world.pool.tasks_on(&"w0".into()).first().cloned();
        if let Some(first) = first {
            world.pool.finish_task(&first, TaskOutcome::Succeeded, world.now);
        }
        world.pool.tick(world.now);
        while world.pool.place_next(world.now, |_| true).is_some() {}
        if world.worker_of("large").is_some() {
            return;
        }
    }
    panic!("the large job never ran");
}

#[test]
fn reservations_never_exceed_capacity_and_fitting_jobs_are_placed() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config { cases: 100, failure_persistence: None, ..Config::default() };
    let sizes = vec((1..17_u32, 0..9_u32, 0..4_u32), 1..120);
    let outcome = TestRunner::new_with_rng(config, rng).run(&sizes, |sizes| {
        let specs = (0..12).map(|i| worker(&format!("w{i:02}"), i, 16, (i as u32 % 3) * 4));
        let mut world = World::new(specs.collect());
        let mut waiting: Vec<(String, Size)> = Vec::new();
        let mut used: Vec<(String, Size)> = Vec::new();
        for (index, (processors, accelerators, action)) in sizes.into_iter().enumerate() {
            if action == 0 && !used.is_empty() {
                let (job, _) = used.remove(0);
                world.pool.finish_task(&job.as_str().into(), TaskOutcome::Succeeded, world.now);
            }
            let mut next = job(&format!("j{index:03}"), processors);
            next.declared.accelerators = accelerators;
            waiting.push((next.id.to_string(), next.declared));
            world.submit(next);
            while let Some(placed) = world.pool.place_next(world.now, |_| true) {
                waiting.retain(|(job, _)| **job != *placed.pending.job.id);
                used.push((placed.pending.job.id.to_string(), placed.size));
            }
            let free = world.pool.free();
            let free_sum = free.iter().fold(Size::default(), |sum, (_, f)| sum.plus(f));
            let used_sum = used.iter().fold(Size::default(), |sum, (_, u)| sum.plus(u));
            let whole = Size::of_cores(192, 192 * 1_024, 48);
            prop_assert!(free_sum.plus(&used_sum) == whole, "{free_sum:?} {used_sum:?}");
            // No job that fits on a worker is left waiting.
            let fits = |size: &Size| free.iter().any(|(_, f)| size.fits_in(f));
            let considered = waiting.iter().take(JOBS_PER_TEAM_MAX);
            prop_assert!(
                !considered.into_iter().any(|(_, size)| fits(size)),
                "{waiting:?} {free:?}"
            );
        }
        Ok(())
    });
    outcome.unwrap();
}

fn contract() -> Contract {
    let team = |name: &str, running_max| Team { name: name.into(), share_weight: 1, running_max };
    Contract {
        customer: "levy".into(),
        profile: Profile::Share,
        services: Vec::new(),
        queues: vec![queue("levy-emissions", "emissions"), queue("levy-none", "none")],
        teams: vec![team("officers", 4), team("stopped", 0), team("verifiers", 4)],
        pools: vec![ContractPool { name: "p1".into(), service: Some("emissions".into()) }],
        hosts: Vec::new(),
    }
}

fn queue(name: &str, service: &str) -> Queue {
    Queue {
        name: name.into(),
        service: service.into(),
        access: Access::Teams(vec!["officers".into(), "stopped".into()]),
        open_team: None,
        waiting_max: 10,
        wait_max_ms: 1_000,
    }
}

#[test]
fn jobs_that_can_never_run_are_rejected_with_the_reason() {
    let contract = contract();
    let queue = &contract.queues[0];
    let team = |name| contract.team(name).unwrap();
    assert_eq!(check_team(queue, team("officers")), Ok(()));
    assert!(matches!(check_team(queue, team("verifiers")), Err(JobRejection::NotAllowed { .. })));
    assert!(matches!(check_team(queue, team("stopped")), Err(JobRejection::ZeroLimit { .. })));

    let workers = vec![Size::of_cores(16, 32_768, 0)];
    let pools = [PoolCapacity { pool: "p1".into(), workers }];
    let choose =
        |queue: &Queue, processors| choose_pool(&contract, queue, &job("j", processors), &pools);
    assert_eq!(choose(queue, 16), Ok("p1".into()));
    assert!(matches!(choose(queue, 17), Err(JobRejection::TooLarge { .. })));
    assert!(matches!(choose(&contract.queues[1], 1), Err(JobRejection::NoPool { .. })));
    assert_eq!(choose(queue, 0), Err(JobRejection::SizeMissing));
}
