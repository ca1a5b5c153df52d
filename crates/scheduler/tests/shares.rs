//! A team that submits many times its usual number of jobs must not delay the other teams: its jobs
//! beyond its rate share have to wait.

#[path = "common/simulation.rs"]
mod simulation;

use std::sync::Arc;

use scheduler::Config;
use scheduler::JobRecord;
use scheduler::Resources;
use scheduler::Team;
use scheduler::TeamName;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::seconds;
use simulation::step;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };
const RATE_SHARE: f64 = 2.0;

fn config_with_two_teams() -> Arc<Config> {
    let team = Team { rate_share: RATE_SHARE, quota: NO_QUOTA };
    let teams = ["hot", "calm"].map(|name| (TeamName::from(name), team.clone()));
    Arc::new(Config { teams: teams.into_iter().collect(), ..(*config(3, NO_QUOTA)).clone() })
}

/// Returns a job that fills the only worker.
fn job_of(team: &str, id: &str, sim: &Simulation) -> Arc<JobRecord> {
    let record = job(id, vec![step(1, 16_000)], sim.now);
    Arc::new(JobRecord { team: Some(team.into()), ..(*record).clone() })
}

/// Completes each unit as soon as it starts; returns the jobs in the order in which they started.
fn run_all(sim: &mut Simulation, count: usize) -> Vec<String> {
    let mut start_order = Vec::new();
    for _ in 0..count {
        for start in sim.run_round() {
            start_order.push(start.unit.job.to_string());
            sim.complete_run(&start.unit, scheduler::RunOutcome::Done);
        }
        sim.report_all();
        sim.commit();
    }
    start_order
}

#[test]
fn jobs_beyond_the_rate_share_wait_for_other_teams() {
    let mut sim = Simulation::new(&["w1"], config_with_two_teams());
    for number in 0..6 {
        let record = job_of("hot", &format!("hot{number}"), &sim);
        sim.scheduler.add_job(record, sim.now);
    }
    for number in 0..2 {
        let record = job_of("calm", &format!("calm{number}"), &sim);
        sim.scheduler.add_job(record, sim.now);
    }
    let start_order = run_all(&mut sim, 10);
    assert_eq!(start_order.len(), 8, "all jobs are served eventually");
    let mut first: Vec<&str> = start_order[..4].iter().map(String::as_str).collect();
    first.sort_unstable();
    assert_eq!(first, ["calm0", "calm1", "hot0", "hot1"]);
}

#[test]
fn a_rate_share_refills_within_a_second() {
    let mut sim = Simulation::new(&["w1"], config_with_two_teams());
    for number in 0..4 {
        let record = job_of("hot", &format!("a{number}"), &sim);
        sim.scheduler.add_job(record, sim.now);
    }
    sim.now += seconds(1);
    let record = job_of("hot", "later", &sim);
    sim.scheduler.add_job(record, sim.now);
    let start_order = run_all(&mut sim, 6);
    let position = |id: &str| start_order.iter().position(|job| job == id).unwrap();
    assert!(position("later") < position("a3"), "{start_order:?}");
}
