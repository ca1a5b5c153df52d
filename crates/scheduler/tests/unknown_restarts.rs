//! Workers that start again under the same id and fall silent before the owner learns of it. Starts
//! that the owner has sent meanwhile were carried out by the later incarnation, whose clock began
//! anew: it took their deadlines, and those of polls, for times far ahead and holds a lease of the
//! longest duration.

#[path = "common/simulation.rs"]
mod simulation;

use std::time::Duration;

use rstest::rstest;
use scheduler::Action;
use scheduler::AssignmentRow;
use scheduler::BatchLimits;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::StartCommand;
use scheduler::StartReply;
use simulation::BATCH_BYTES_MAX;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::seconds;
use simulation::step;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };
/// Longest lease that a worker grants, by the default settings.
const LEASE_MAX_S: u64 = 10;
/// Duration of a lease that the owner requests, by the default settings, and some rounds.
const USUAL_WAIT_S: u64 = 7;
/// Longest lease, the time after which a start may be carried out late, and some rounds.
const LONGEST_WAIT_S: u64 = 19;

/// Plans a unit on `w1` and returns its start command, which was not carried out yet. The lease of
/// `w1` was renewed a moment ago.
fn command_start(sim: &mut Simulation) -> StartCommand {
    sim.worker("w2").is_responsive = false;
    sim.scheduler.unregister_worker("w2");
    sim.now += millis(200);
    sim.report("w1");
    sim.scheduler.request_lease("w1", sim.now);
    sim.scheduler.add_job(job("a", vec![step(1, 1_000)], sim.now), sim.now);
    sim.scheduler.plan(sim.now);
    sim.commit();
    next_start(sim)
}

/// Returns the start command that was decided; it is for `w1`.
fn next_start(sim: &mut Simulation) -> StartCommand {
    let starts = sim.scheduler.take_actions().into_iter().find_map(|action| match action {
        Action::Start(command) => Some(command),
        _ => None,
    });
    let start = starts.expect("a unit is started");
    assert_eq!(&*start.worker, "w1");
    start
}

fn handle_reply(sim: &mut Simulation, start: &StartCommand, reply: StartReply) {
    let StartCommand { worker, unit, run, token, .. } = start;
    sim.scheduler.handle_start_reply(worker, unit, *run, *token, reply, sim.now);
}

/// Lets `w1` start again, unknown to the owner, and carry out the start. The reply shows its clock.
fn start_on_later_incarnation(sim: &mut Simulation, start: &StartCommand) -> StartReply {
    let now = sim.now;
    let worker = sim.worker("w1");
    worker.crash();
    worker.restart_with_new_clock(now - millis(100));
    worker.add_run(&start.unit, start.run);
    StartReply::Started { clock_ms: worker.clock_ms(now) }
}

/// Cuts `w1` off and lets `w2` reply, so that units of `w1` can start there.
fn cut_off_w1(sim: &mut Simulation) {
    sim.worker("w1").is_responsive = false;
    sim.worker("w2").is_responsive = true;
    sim.scheduler.update_worker(simulation::registration("w2"), seconds(0), sim.now);
}

fn assert_waits_for_longest_lease(sim: &mut Simulation) {
    let starts = sim.run_for(seconds(LEASE_MAX_S));
    assert_eq!(starts, [], "the unit may still run on the worker that is cut off");
    let starts = sim.run_for(seconds(LONGEST_WAIT_S - LEASE_MAX_S));
    assert_eq!(starts.len(), 1, "the unit is started elsewhere in the end");
}

/// Guards against two runs at the same time: a later incarnation had confirmed a start and was cut
/// off before any report. The unit was started elsewhere after the lease that the owner had meant
/// to request.
#[test]
fn a_start_confirmed_by_an_unknown_incarnation_is_waited_for() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let start = command_start(&mut sim);
    let reply = start_on_later_incarnation(&mut sim, &start);
    handle_reply(&mut sim, &start, reply);
    cut_off_w1(&mut sim);
    assert_waits_for_longest_lease(&mut sim);
}

/// The same, when the reply to the start is lost as well.
#[test]
fn a_start_without_a_reply_is_waited_for() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let start = command_start(&mut sim);
    start_on_later_incarnation(&mut sim, &start);
    cut_off_w1(&mut sim);
    sim.now += millis(900);
    handle_reply(&mut sim, &start, StartReply::Unknown);
    assert_waits_for_longest_lease(&mut sim);
}

/// The same, when the worker has told its incarnation once but falls silent before it has listed
/// the run.
#[test]
fn a_start_without_a_reply_is_waited_for_after_a_known_restart() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let start = command_start(&mut sim);
    start_on_later_incarnation(&mut sim, &start);
    let registration = sim.worker("w1").registration();
    sim.now += seconds(4);
    sim.scheduler.update_worker(registration, seconds(0), sim.now);
    cut_off_w1(&mut sim);
    handle_reply(&mut sim, &start, StartReply::Unknown);
    assert_waits_for_longest_lease(&mut sim);
}

/// Guards against units that stay away for longer than needed: the reply shows the clock of the
/// known incarnation, so that the lease is the one that was requested.
#[test]
fn a_start_confirmed_by_the_known_incarnation_has_the_usual_lease() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let start = command_start(&mut sim);
    let (unit, run, now) = (start.unit.clone(), start.run, sim.now);
    let worker = sim.worker("w1");
    worker.add_run(&unit, run);
    let reply = StartReply::Started { clock_ms: worker.clock_ms(now) };
    handle_reply(&mut sim, &start, reply);
    cut_off_w1(&mut sim);
    assert_eq!(sim.run_for(seconds(USUAL_WAIT_S)).len(), 1);
}

/// The same for a run that a report has listed, whatever became of the reply to its start.
#[test]
fn a_listed_run_has_the_usual_lease() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let start = command_start(&mut sim);
    let (unit, run) = (start.unit.clone(), start.run);
    sim.worker("w1").add_run(&unit, run);
    sim.report("w1");
    cut_off_w1(&mut sim);
    assert_eq!(sim.run_for(seconds(USUAL_WAIT_S)).len(), 1);
}

/// Returns the time for which a successor waits, with `run_for`'s rounds, until it starts the unit
/// elsewhere. Its predecessor may have sent commands with a deadline until now.
fn successor_waits(sim: &mut Simulation) -> Duration {
    let record = job("a", vec![step(1, 1_000)], sim.now);
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[record]);
    let taken_over_at = sim.now;
    while sim.run_for(millis(200)).is_empty() {
        assert!(sim.now < taken_over_at + seconds(20), "the unit is started elsewhere in the end");
    }
    sim.now - taken_over_at
}

/// Guards against two runs at the same time: a later incarnation had carried out a start of the
/// predecessor and was cut off. The successor found the row and the registration of the earlier one
/// and waited for the lease that its predecessor had meant to request.
#[test]
fn a_successor_waits_for_starts_that_were_not_listed() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let start = command_start(&mut sim);
    start_on_later_incarnation(&mut sim, &start);
    cut_off_w1(&mut sim);
    // The registry still has the earlier incarnation.
    sim.worker("w1").incarnation_started_ms -= 1;
    let waited = successor_waits(&mut sim);
    assert!(waited > seconds(LEASE_MAX_S), "{waited:?}");
    assert!(waited < seconds(LONGEST_WAIT_S), "{waited:?}");
}

/// Guards against units that stay away for longer than needed: the row is written again once the run
/// has lasted.
#[test]
fn a_successor_waits_for_the_usual_lease_of_runs_that_have_lasted() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let start = command_start(&mut sim);
    sim.worker("w1").add_run(&start.unit, start.run);
    assert_eq!(sim.assignments.get("w1").unwrap().unconfirmed_runs, Some(vec![0]));
    sim.run_for(seconds(3));
    assert_eq!(sim.assignments.get("w1").unwrap().unconfirmed_runs, Some(vec![]));
    cut_off_w1(&mut sim);
    let waited = successor_waits(&mut sim);
    assert!(waited > seconds(5), "{waited:?}");
    assert!(waited < seconds(USUAL_WAIT_S), "{waited:?}");
}

/// Guards against a lasting unit that stays away for 13 s after a plain crash: its start had no reply,
/// on a connection that ends with the known incarnation.
#[test]
fn a_start_that_no_later_incarnation_can_have_got_has_the_usual_lease() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let start = command_start(&mut sim);
    cut_off_w1(&mut sim);
    handle_reply(&mut sim, &start, StartReply::UnansweredByKnown);
    assert_eq!(sim.run_for(seconds(USUAL_WAIT_S)).len(), 1);
}

/// Guards against successors that each wait for the longest lease: a successor left the row as it had
/// found it, although the run had lasted.
#[rstest]
#[case::of_this_version(Some(vec![0]))]
#[case::of_an_earlier_version(None)]
fn a_successor_confirms_the_row_that_it_found(#[case] unconfirmed_runs: Option<Vec<usize>>) {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let start = command_start(&mut sim);
    sim.worker("w1").add_run(&start.unit, start.run);
    let row = sim.assignments.get("w1").unwrap().clone();
    sim.assignments.insert("w1".into(), AssignmentRow { unconfirmed_runs, ..row });
    let record = job("a", vec![step(1, 1_000)], sim.now);
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[record]);
    sim.run_for(seconds(5));
    assert_eq!(sim.assignments.get("w1").unwrap().unconfirmed_runs, Some(vec![]));
}

/// Guards against two runs at the same time: when a successor learned of a restart, it forgot that its
/// predecessor may send commands for some time more.
#[test]
fn a_restart_does_not_shorten_the_time_of_the_predecessor() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let start = command_start(&mut sim);
    start_on_later_incarnation(&mut sim, &start);
    let later = sim.worker("w1").registration();
    sim.worker("w1").incarnation_started_ms -= 1;
    cut_off_w1(&mut sim);
    let record = job("a", vec![step(1, 1_000)], sim.now);
    let (lease, predecessor_sends_for) = (seconds(5), seconds(4));
    sim.take_over(2, config(3, NO_QUOTA), lease + predecessor_sends_for, &[record]);
    sim.scheduler.update_worker(later, seconds(0), sim.now);
    let starts = sim.run_for(predecessor_sends_for + seconds(LEASE_MAX_S));
    assert_eq!(starts, [], "the unit may run on the worker that is cut off");
}

/// Guards against needless transactions: the row of a run in doubt was written again every 2 s.
#[test]
fn a_row_is_not_written_again_while_nothing_is_confirmed() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let start = command_start(&mut sim);
    handle_reply(&mut sim, &start, StartReply::Unknown);
    sim.worker("w1").is_responsive = false;
    let limits = BatchLimits { rows_max: 9, progress_rows_max: 9, bytes_max: BATCH_BYTES_MAX };
    for _ in 0..9 {
        sim.now += seconds(1);
        assert_eq!(sim.scheduler.take_batch(limits, sim.now).assignments, []);
    }
}

/// Guards against a unit that is started again after it was done: something had kept the connection
/// to the worker open while that started again, so that the acknowledgement of an earlier completion
/// reached the later incarnation after the end of the unit's run.
#[test]
fn nothing_is_acknowledged_while_an_unknown_incarnation_may_have_a_run() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let first = command_start(&mut sim);
    sim.worker("w1").add_run(&first.unit, first.run);
    sim.report("w1");
    sim.complete_run(&first.unit, RunOutcome::Done);
    sim.report("w1");
    sim.scheduler.add_job(job("b", vec![step(1, 1_000)], sim.now), sim.now);
    sim.scheduler.plan(sim.now);
    sim.commit();
    assert_eq!(sim.poll("w1").acknowledged_completion, 1);
    let start = next_start(&mut sim);
    let reply = start_on_later_incarnation(&mut sim, &start);
    handle_reply(&mut sim, &start, reply);
    assert_eq!(sim.poll("w1").acknowledged_completion, 0);
}
