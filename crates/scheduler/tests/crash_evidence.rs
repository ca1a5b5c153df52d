//! Which crashes of workers count against the units that ran there.

#[path = "common/simulation.rs"]
mod simulation;

use std::time::Duration;

use rstest::rstest;
use scheduler::FinalState;
use scheduler::JobView;
use scheduler::PollFailure;
use scheduler::Resources;
use scheduler::StartCommand;
use scheduler::StartReply;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::step;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };

// Guards against an innocent job that is given up for crashes that it has met: a unit that is
// started again after a crash has always started a moment ago. A crash that comes well after
// the start is not its fault, as the connection shows that breaks off.
#[rstest]
#[case::at_the_start(millis(50), true)]
#[case::later(millis(1_200), false)]
fn only_crashes_at_the_start_count_against_a_unit(
    #[case] crash_after: Duration,
    #[case] is_given_up: bool,
) {
    let workers = ["w1", "w2", "w3", "w4", "w5"];
    let mut sim = Simulation::new(&workers, config(3, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![step(1, 1_000)], sim.now), sim.now);
    for _ in 0..3 {
        let starts = run_until_started(&mut sim);
        let id = starts[0].worker.clone();
        sim.now += crash_after;
        sim.worker(&id).crash();
        sim.scheduler.handle_failed_poll(&id, PollFailure::BrokenOff, sim.now);
        sim.now += millis(500);
        sim.restart_worker(&id);
        sim.report_all();
        sim.commit();
    }
    let failed = JobView::Ended(FinalState::Failed);
    assert_eq!(sim.scheduler.view("a") == Some(failed), is_given_up);
}

/// Makes decisions until a unit starts, without a report on it.
fn run_until_started(sim: &mut Simulation) -> Vec<StartCommand> {
    for _ in 0..50 {
        sim.now += millis(100);
        sim.report_all();
        let starts = sim.run_round();
        if !starts.is_empty() {
            let StartCommand { worker, unit, run, token, .. } = &starts[0];
            let reply = StartReply::Started;
            sim.scheduler.handle_start_reply(worker, unit, *run, *token, reply, sim.now);
            return starts;
        }
    }
    panic!("no unit starts");
}
