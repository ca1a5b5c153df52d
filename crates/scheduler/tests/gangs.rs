//! Gangs whose runs fail. All members share the number of a run, so that it counts once, however many of
//! them have failed in it.

#[path = "common/simulation.rs"]
mod simulation;

use std::sync::Arc;

use rstest::rstest;
use scheduler::Action;
use scheduler::FinalState;
use scheduler::JobRecord;
use scheduler::JobView;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::StartCommand;
use scheduler::Step;
use simulation::Simulation;
use simulation::accepted_job;
use simulation::config;
use simulation::millis;
use simulation::seconds;
use simulation::step;
use simulation::unit;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };
const ATTEMPTS_MAX: u32 = 3;
const MEMBERS: usize = 4;
const WORKERS: [&str; 4] = ["w1", "w2", "w3", "w4"];
const FAILED: Option<JobView> = Some(JobView::Ended(FinalState::Failed));
const RUNNING: Option<JobView> = Some(JobView::Running);

/// Which members fail in a run; the others are broken.
type Failing = [bool; MEMBERS];

const ALL: Failing = [true; MEMBERS];
const FIRST: Failing = [true, false, false, false];
const LAST: Failing = [false, false, false, true];

/// Returns a job with a gang of which two members at most are on one worker.
fn gang(sim: &Simulation) -> Arc<JobRecord> {
    let gang = Step { is_gang: true, per_worker_max: 2, ..step(MEMBERS as u32, 1_000) };
    accepted_job(&config(ATTEMPTS_MAX, NO_QUOTA), "a", vec![gang], sim.now)
}

fn is_running(sim: &Simulation) -> bool {
    let running: usize = sim.workers.iter().map(|worker| worker.running.len()).sum();
    assert!(running == 0 || running == MEMBERS, "{running} members run");
    running > 0
}

/// Ends the run of a job's gang.
fn fail(sim: &mut Simulation, job: &str, failing: Failing) {
    for (index, fails) in failing.into_iter().enumerate() {
        let outcome = if fails { RunOutcome::Failed } else { RunOutcome::Broken };
        sim.complete_run(&unit(job, 0, index), outcome);
    }
}

/// Guards against a job that fails after the first run of its gang, since each member that had failed
/// in it counted; and against a run too many, should different members fail each time.
#[rstest]
#[case::all(ALL, ALL, ALL)]
#[case::one(FIRST, FIRST, FIRST)]
#[case::another_each_time(FIRST, LAST, [false, true, true, false])]
#[case::mixed(ALL, LAST, [true, true, false, false])]
fn a_failed_run_of_a_gang_counts_once(
    #[case] first: Failing,
    #[case] second: Failing,
    #[case] third: Failing,
) {
    let mut sim = Simulation::new(&WORKERS, config(ATTEMPTS_MAX, NO_QUOTA));
    sim.scheduler.add_job(gang(&sim), sim.now);
    for failing in [first, second, third] {
        sim.run_for(seconds(1));
        assert!(is_running(&sim), "an attempt is left");
        assert_eq!(sim.scheduler.view("a"), RUNNING);
        fail(&mut sim, "a", failing);
    }
    assert_eq!(sim.run_for(seconds(2)), []);
    assert_eq!(sim.scheduler.view("a"), FAILED);
}

/// Guards against the same if two owners learn of the failures, from reports of two workers.
#[test]
fn a_failed_run_counts_once_over_a_takeover() {
    let mut sim = Simulation::new(&WORKERS, config(ATTEMPTS_MAX, NO_QUOTA));
    let record = gang(&sim);
    sim.scheduler.add_job(record.clone(), sim.now);
    sim.run_for(seconds(1));
    for epoch in 2..2 + u64::from(ATTEMPTS_MAX) {
        assert!(is_running(&sim), "an attempt is left");
        let first = sim.workers.iter().find(|worker| !worker.running.is_empty()).unwrap();
        let first = first.id.clone();
        fail(&mut sim, "a", ALL);
        sim.report(&first);
        sim.commit();
        sim.take_over(
            epoch,
            config(ATTEMPTS_MAX, NO_QUOTA),
            seconds(6),
            std::slice::from_ref(&record),
        );
        sim.run_for(seconds(1));
    }
    assert!(!is_running(&sim), "no attempt is left");
    assert_eq!(sim.scheduler.view("a"), FAILED);
}

/// Guards against a row that outgrows the store, which refuses it for good: each member of a large gang
/// would add the numbers of all runs.
#[test]
fn the_failed_runs_of_a_gang_are_stored_once() {
    let mut sim = Simulation::new(&WORKERS, config(ATTEMPTS_MAX, NO_QUOTA));
    sim.scheduler.add_job(gang(&sim), sim.now);
    for failing in [ALL, LAST] {
        sim.run_for(seconds(1));
        fail(&mut sim, "a", failing);
    }
    sim.run_for(seconds(1));
    let progress = sim.stored_progress.get("a").unwrap();
    assert_eq!(progress.failed_runs, [((0, 0, 0), vec![1, 2])]);
}

/// Guards against a gang that goes back to a faulty worker, with the members that were only broken
/// there.
#[test]
fn a_worker_that_fails_a_member_is_avoided_by_the_gang() {
    let mut sim = Simulation::new(&WORKERS, config(ATTEMPTS_MAX, NO_QUOTA));
    let sound = Step { per_worker_max: 1, ..step(4, 1_000) };
    let sound = accepted_job(&config(ATTEMPTS_MAX, NO_QUOTA), "b", vec![sound], sim.now);
    sim.scheduler.add_job(sound, sim.now);
    sim.scheduler.add_job(gang(&sim), sim.now);
    let starts = sim.run_for(millis(400));
    let is_first = |command: &&StartCommand| command.unit == unit("a", 0, 0);
    let faulty = starts.iter().find(is_first).unwrap().worker.clone();
    fail(&mut sim, "a", FIRST);
    // The worker has finished a unit since, so that it counts as sound for other jobs.
    for index in 0..4 {
        sim.complete_run(&unit("b", 0, index), RunOutcome::Done);
    }
    let starts = sim.run_for(seconds(1));
    assert_eq!(starts.len(), MEMBERS);
    assert!(starts.iter().all(|command| command.worker != faulty), "{faulty}: {starts:?}");
}

/// Guards against a sound worker that is quarantined for faulty gangs: each of their members counted
/// as a unit that had not failed before.
#[test]
fn gangs_that_have_failed_before_do_not_count_against_a_worker() {
    let mut sim = Simulation::new(&["w1"], config(ATTEMPTS_MAX, NO_QUOTA));
    for id in ["a", "b"] {
        let gang = Step { is_gang: true, ..step(MEMBERS as u32, 1_000) };
        let config = config(ATTEMPTS_MAX, NO_QUOTA);
        sim.scheduler.add_job(accepted_job(&config, id, vec![gang], sim.now), sim.now);
    }
    for id in ["a", "b"] {
        // What has failed before counts no longer.
        sim.run_for(seconds(7));
        fail(&mut sim, id, FIRST);
    }
    sim.run_for(seconds(7));
    fail(&mut sim, "a", LAST);
    fail(&mut sim, "b", LAST);
    assert_eq!(sim.run_for(seconds(1)).len(), 2 * MEMBERS);
    let quarantined = sim.other_actions.iter().filter(
        |action| matches!(action, Action::LogDecision { what, .. } if *what == "worker quarantined"),
    );
    assert_eq!(quarantined.count(), 0);
}
