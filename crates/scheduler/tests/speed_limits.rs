//! Commands that limit the speed of runs.

#[path = "common/simulation.rs"]
mod simulation;

use scheduler::Action;
use scheduler::Resources;
use scheduler::Step;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::seconds;
use simulation::step;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };

/// Guards against a best-effort unit that stays slow: a limit without a reply may have taken effect.
#[test]
fn a_speed_limit_without_a_reply_is_lifted() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    let serving = Step { is_long_running: true, tail_latency_target_ms: 100, ..step(1, 1_000) };
    let best_effort = Step { is_best_effort: true, ..step(1, 1_000) };
    sim.scheduler.add_job(job("a", vec![serving, best_effort], sim.now), sim.now);
    sim.run_for(seconds(1));
    assert_eq!(sim.worker("w1").running.len(), 2);
    let set_load = |sim: &mut Simulation, load| {
        for running in &mut sim.worker("w1").running {
            if running.unit.step == 0 {
                running.load = Some(load);
            }
        }
    };
    set_load(&mut sim, 200);
    sim.run_for(millis(200));
    let mut limits = Vec::new();
    for action in std::mem::take(&mut sim.other_actions) {
        if let Action::LimitSpeed { unit, run, percent, .. } = action {
            sim.scheduler.handle_speed_limit_reply(&unit, run, percent, false);
            limits.push(percent);
        }
    }
    assert_eq!(limits, [0]);
    set_load(&mut sim, 10);
    sim.run_for(seconds(3));
    let is_limit = |action: &Action| matches!(action, Action::LimitSpeed { .. });
    assert!(sim.other_actions.iter().any(is_limit), "the limit of 0 percent may be in force");
}
