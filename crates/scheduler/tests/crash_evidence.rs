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
use simulation::seconds;
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

/// Guards against a job that is given up for losses that hit its worker and the owner together: a successor
/// that has never heard of the worker took each run for one that had just started.
#[test]
fn losses_of_worker_and_owner_together_do_not_fail_a_job_that_has_run() {
    let mut sim = Simulation::new(&["w1", "w2", "w3"], config(3, NO_QUOTA));
    let record = job("a", vec![step(1, 1_000)], sim.now);
    sim.scheduler.add_job(record.clone(), sim.now);
    for epoch in 2..10 {
        sim.run_for(seconds(4));
        let worker = sim.workers.iter().find(|worker| !worker.running.is_empty());
        let id = worker.expect("the unit runs").id.clone();
        sim.worker(&id).crash();
        sim.take_over(epoch, config(3, NO_QUOTA), seconds(6), std::slice::from_ref(&record));
        sim.run_for(seconds(1));
        sim.restart_worker(&id);
        sim.run_for(seconds(2));
        assert_eq!(sim.scheduler.view("a"), Some(JobView::Running), "after epoch {epoch}");
    }
}

/// Guards against a unit that crashes its workers and is forgiven, since a worker that got its start late
/// was listed as alive: only a run that reports have listed for a while shows that it does no harm.
#[test]
fn a_run_that_is_listed_once_does_not_clear_its_unit() {
    let mut sim = Simulation::new(&["w1", "w2", "w3", "w4", "w5"], config(3, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![step(1, 1_000)], sim.now), sim.now);
    for _ in 0..3 {
        let starts = run_until_started(&mut sim);
        let id = starts[0].worker.clone();
        sim.now += millis(100);
        sim.report(&id);
        sim.now += millis(100);
        sim.worker(&id).crash();
        sim.scheduler.handle_failed_poll(&id, PollFailure::BrokenOff, sim.now);
        sim.now += millis(500);
        sim.restart_worker(&id);
        sim.report_all();
        sim.commit();
    }
    assert_eq!(sim.scheduler.view("a"), Some(JobView::Ended(FinalState::Failed)));
}

/// Makes decisions until a unit starts, without a report on it.
fn run_until_started(sim: &mut Simulation) -> Vec<StartCommand> {
    for _ in 0..50 {
        sim.now += millis(100);
        sim.report_all();
        let starts = sim.run_round();
        if !starts.is_empty() {
            let StartCommand { worker, unit, run, token, .. } = &starts[0];
            let reply = StartReply::Started { clock_ms: sim.now.as_millis() as u64 };
            sim.scheduler.handle_start_reply(worker, unit, *run, *token, reply, sim.now);
            return starts;
        }
    }
    panic!("no unit starts");
}
