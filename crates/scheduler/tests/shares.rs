//! One team sends many times its usual: the others are served before what is beyond its share.

#[path = "common/world.rs"]
mod world;

use std::sync::Arc;

use scheduler::Config;
use scheduler::JobRecord;
use scheduler::Resources;
use scheduler::Team;
use scheduler::TeamName;
use world::World;
use world::config;
use world::job;
use world::seconds;
use world::step;

const NO_BOUND: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };
const WEIGHT: f64 = 2.0;

fn two_teams() -> Arc<Config> {
    let team = Team { rate_share: WEIGHT, quota: NO_BOUND };
    let teams = ["hot", "calm"].map(|name| (TeamName::from(name), team.clone()));
    Arc::new(Config { teams: teams.into_iter().collect(), ..(*config(3, NO_BOUND)).clone() })
}

/// A job that fills the only worker.
fn job_of(team: &str, id: &str, world: &World) -> Arc<JobRecord> {
    let record = job(id, vec![step(1, 16_000)], world.now);
    Arc::new(JobRecord { team: Some(team.into()), ..(*record).clone() })
}

/// Starts one unit after another; returns the jobs in the order of their starts.
fn order_of_starts(world: &mut World, count: usize) -> Vec<String> {
    let mut order = Vec::new();
    for _ in 0..count {
        for start in world.round() {
            order.push(start.unit.job.to_string());
            world.end(&start.unit, scheduler::RunOutcome::Done);
        }
        world.report_all();
        world.commit();
    }
    order
}

#[test]
fn what_a_team_sends_beyond_its_share_waits_for_the_others() {
    let mut world = World::new(&["w1"], two_teams());
    for number in 0..6 {
        let record = job_of("hot", &format!("hot{number}"), &world);
        world.scheduler.add_job(record, world.now);
    }
    for number in 0..2 {
        let record = job_of("calm", &format!("calm{number}"), &world);
        world.scheduler.add_job(record, world.now);
    }
    let order = order_of_starts(&mut world, 10);
    assert_eq!(order.len(), 8, "all are served in the end");
    let mut first: Vec<&str> = order[..4].iter().map(String::as_str).collect();
    first.sort_unstable();
    assert_eq!(first, ["calm0", "calm1", "hot0", "hot1"]);
}

#[test]
fn a_share_is_there_again_after_a_second() {
    let mut world = World::new(&["w1"], two_teams());
    for number in 0..4 {
        let record = job_of("hot", &format!("a{number}"), &world);
        world.scheduler.add_job(record, world.now);
    }
    world.now += seconds(1);
    let record = job_of("hot", "later", &world);
    world.scheduler.add_job(record, world.now);
    let order = order_of_starts(&mut world, 6);
    let place = |id: &str| order.iter().position(|job| job == id).unwrap();
    assert!(place("later") < place("a3"), "{order:?}");
}
