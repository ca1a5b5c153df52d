//! Workers that have more completions than a report lists. A run that is in neither list may have
//! ended as done, so that nothing may follow from its absence.

#[path = "common/simulation.rs"]
mod simulation;

use rstest::rstest;
use scheduler::Action;
use scheduler::JobView;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::StartCommand;
use scheduler::StartReply;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::seconds;
use simulation::step;
use simulation::unit;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };
const UNITS: usize = 4;
/// Number of completions that a report lists.
const LISTED: usize = 2;

/// Starts the units of job `a` on `w1` and ends them as done.
fn complete_all_on_one_worker(sim: &mut Simulation) {
    sim.worker("w2").is_responsive = false;
    sim.worker("w1").listed_max = LISTED;
    sim.scheduler.add_job(job("a", vec![step(UNITS as u32, 1_000)], sim.now), sim.now);
    assert_eq!(sim.run_for(millis(400)).len(), UNITS);
    sim.worker("w2").is_responsive = true;
    for index in 0..UNITS {
        sim.complete_run(&unit("a", 0, index), RunOutcome::Done);
    }
}

/// Lets time pass in which workers report and the store refuses all transactions.
fn run_without_store(sim: &mut Simulation, rounds: u32) -> Vec<StartCommand> {
    let mut starts = Vec::new();
    for _ in 0..rounds {
        sim.now += millis(200);
        sim.report_all();
        sim.scheduler.plan(sim.now);
        starts.extend(sim.carry_out_actions());
    }
    starts
}

fn decisions(sim: &Simulation) -> Vec<&'static str> {
    let decided = sim.other_actions.iter().filter_map(|action| match action {
        Action::LogDecision { what, .. } => Some(*what),
        _ => None,
    });
    decided.collect()
}

/// Guards against units that a successor starts again: on its first poll, it meets a full list of
/// which nothing is acknowledged.
#[test]
fn a_successor_starts_no_unit_that_its_first_report_may_lack() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    complete_all_on_one_worker(&mut sim);
    let record = job("a", vec![step(UNITS as u32, 1_000)], sim.now);
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[record]);
    assert_eq!(sim.run_for(seconds(3)), []);
    assert_eq!(sim.scheduler.view("a"), Some(JobView::Ended(scheduler::FinalState::Completed)));
}

/// Guards against a sound worker that is quarantined: runs that it could not list as ended counted as
/// stalled, were stopped, and started again after the reply to the stop.
#[test]
fn a_run_beyond_a_full_list_does_not_count_as_stalled() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    complete_all_on_one_worker(&mut sim);
    assert_eq!(run_without_store(&mut sim, 25), []);
    let decided = decisions(&sim);
    assert!(!decided.contains(&"run stands still"), "{decided:?}");
    assert_eq!(decided.iter().filter(|what| **what == "completions not all listed").count(), 1);
    assert_eq!(sim.run_for(seconds(3)), []);
}

/// Guards against a unit that is started again after a stop or the deadline of its start command,
/// although its completion is beyond a full list.
#[rstest]
#[case::stop_answered(true)]
#[case::stop_unanswered(false)]
fn a_run_in_doubt_beyond_a_full_list_is_not_started_again(#[case] answers_stop: bool) {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    sim.worker("w2").is_responsive = false;
    sim.worker("w1").listed_max = LISTED;
    sim.scheduler.add_job(job("a", vec![step(UNITS as u32, 1_000)], sim.now), sim.now);
    sim.scheduler.plan(sim.now);
    sim.commit();
    for action in sim.scheduler.take_actions() {
        let Action::Start(command) = action else {
            continue;
        };
        sim.worker("w1").add_run(&command.unit, command.run);
        let StartCommand { worker, unit, run, token, .. } = command;
        let reply = StartReply::Unknown;
        sim.scheduler.handle_start_reply(&worker, &unit, run, token, reply, sim.now);
    }
    for index in 0..UNITS {
        sim.complete_run(&unit("a", 0, index), RunOutcome::Done);
    }
    for action in sim.scheduler.take_actions() {
        if let Action::Stop { worker, unit, run, token, .. } = action {
            sim.scheduler.handle_stop_reply(&worker, &unit, run, token, answers_stop, sim.now);
        }
    }
    sim.worker("w2").is_responsive = true;
    assert_eq!(run_without_store(&mut sim, 50), []);
    assert_eq!(sim.run_for(seconds(3)), []);
}

/// Guards against room that is kept for good: the runs beyond a list hold theirs until the next
/// report, and no longer.
#[test]
fn a_run_that_the_last_report_leaves_out_is_started_again() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    complete_all_on_one_worker(&mut sim);
    sim.worker("w1").completions.truncate(LISTED);
    run_without_store(&mut sim, 2);
    let used = sim.scheduler.team_usage("t").cpu_millis;
    assert_eq!(used, 1_000 * (UNITS - LISTED) as u64, "they are held");
    assert_eq!(sim.run_for(seconds(1)).len(), UNITS - LISTED);
}
