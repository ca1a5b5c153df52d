//! When a worker that has listed completions is polled again. The load is a peak, in which units
//! finish every few milliseconds. Guards against a poll for each unit, and against capacity that is
//! idle during the pause while units wait for it.

#[path = "common/simulation.rs"]
mod simulation;

use std::sync::Arc;
use std::time::Duration;

use scheduler::Config;
use scheduler::Resources;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::seconds;
use simulation::step;

/// Units of one core that fill a worker.
const UNITS_OF_WORKER: u32 = 16;

fn simulation_with(config: Arc<Config>, units: u32) -> Simulation {
    let mut sim = Simulation::new(&["w1"], config);
    sim.scheduler.add_job(job("a", vec![step(units, 1_000)], sim.now), sim.now);
    sim.run_for(seconds(1));
    sim
}

#[test]
fn completions_are_collected_while_nothing_waits() {
    let sim = simulation_with(config(3, Resources::default()), UNITS_OF_WORKER);
    assert_eq!(sim.scheduler.completion_pause(&"w1".into()), millis(100));
}

#[test]
fn nothing_delays_completions_while_units_wait_for_capacity() {
    let sim = simulation_with(config(3, Resources::default()), UNITS_OF_WORKER + 1);
    assert_eq!(sim.scheduler.completion_pause(&"w1".into()), Duration::ZERO);
}

#[test]
fn callers_without_time_to_spare_get_no_pause() {
    let mut without_slack = (*config(3, Resources::default())).clone();
    without_slack.queues.get_mut("q").unwrap().deadline_slack = Duration::ZERO;
    let sim = simulation_with(Arc::new(without_slack), UNITS_OF_WORKER);
    assert_eq!(sim.scheduler.completion_pause(&"w1".into()), Duration::ZERO);
}

#[test]
fn the_pause_is_short_where_callers_allow_minutes() {
    let mut patient = (*config(3, Resources::default())).clone();
    patient.queues.get_mut("q").unwrap().deadline_slack = seconds(60);
    let sim = simulation_with(Arc::new(patient), UNITS_OF_WORKER);
    assert_eq!(sim.scheduler.completion_pause(&"w1".into()), millis(150));
}
