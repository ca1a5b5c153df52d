//! Sequences of events in which the outcome of a command to a host is taken for known.

#[path = "common/simulation.rs"]
mod simulation;
#[path = "common/waves.rs"]
mod waves;

use scheduler::Action;
use scheduler::BatchLimits;
use scheduler::HostCommandRow;
use scheduler::HostIntent;
use scheduler::HostReply;
use scheduler::HostState;
use scheduler::RunOutcome;
use scheduler::Step;
use scheduler::WaveState;
use scheduler::WorkerRegistration;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::registration;
use simulation::seconds;
use simulation::step;
use waves::NO_QUOTA;
use waves::entry;
use waves::fleet_with_wave;
use waves::list;
use waves::list_up;
use waves::reply;
use waves::set_wave;
use waves::take_maintained;

const LIMITS: BatchLimits =
    BatchLimits { rows_max: 100, progress_rows_max: 100, bytes_max: simulation::BATCH_BYTES_MAX };

fn complete_runs_on(sim: &mut Simulation, worker: &str) {
    for run in sim.worker(worker).running.clone() {
        sim.complete_run(&run.unit, RunOutcome::Done);
    }
}

fn stored_hosts(sim: &Simulation) -> Vec<String> {
    sim.host_commands.iter().map(|row| row.host.to_string()).collect()
}

/// Guards against a command that is sent without being stored, since a batch that was taken before
/// the decision contains an older row of its host.
#[test]
fn an_older_row_of_a_host_does_not_release_a_new_command() {
    let mut sim = fleet_with_wave(&["w1", "w2", "w3"], 2);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1", "h-w2"]);
    reply(&mut sim, "h-w1", HostReply::Refused);
    sim.now += millis(200);
    sim.report_all();
    sim.scheduler.review(sim.now);
    // The batch stores the command to h-w3, and that the one to h-w1 was not carried out.
    let batch = sim.scheduler.take_batch(LIMITS, sim.now);
    let rows = batch.host_commands.clone().expect("a command is stored");
    assert!(rows.iter().any(|row| &*row.host == "h-w1" && row.outcome.is_some()), "{rows:?}");
    reply(&mut sim, "h-w2", HostReply::Refused);
    for _ in 0..5 {
        sim.now += millis(200);
        sim.report_all();
        sim.scheduler.review(sim.now);
    }
    sim.scheduler.handle_commit(&batch, sim.now);
    sim.carry_out_actions();
    assert_eq!(take_maintained(&mut sim), ["h-w3"], "only its command is stored");
}

/// Guards against a successor that commands a host within the host lease of its predecessor: a
/// repetition is sent with the commit of a batch whose row has the time of an earlier attempt.
#[test]
fn a_repetition_is_stored_before_it_is_sent() {
    let mut sim = fleet_with_wave(&["w1", "w2"], 1);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    reply(&mut sim, "h-w1", HostReply::Unknown);
    // Another command is stored while the first one is in doubt.
    set_wave(&mut sim, 2, &["w3"], 1);
    sim.add_worker("w3");
    sim.scheduler.update_worker(registration("w3"), seconds(0), sim.now);
    sim.report_all();
    list_up(&mut sim, &["w1", "w2", "w3"]);
    sim.now += millis(200);
    sim.report_all();
    sim.scheduler.review(sim.now);
    let batch = sim.scheduler.take_batch(LIMITS, sim.now);
    let rows = batch.host_commands.clone().expect("a command is stored");
    let stored = rows.iter().find(|row| &*row.host == "h-w1").expect("is in doubt").at_ms;
    for _ in 0..6 {
        sim.now += millis(200);
        sim.report_all();
        sim.scheduler.review(sim.now);
    }
    sim.scheduler.handle_commit(&batch, sim.now);
    sim.carry_out_actions();
    let age_ms = simulation::UNIX_MS + sim.now.as_millis() as u64 - stored;
    let maintained = take_maintained(&mut sim);
    assert_eq!(maintained, ["h-w3"], "the stored time of the command to h-w1 is {age_ms} ms old");
}

/// Guards against a wave over its limit: a command for maintenance that is decided on while a move
/// of the same host is in doubt was not counted before.
#[test]
fn a_move_in_doubt_does_not_excuse_maintenance_from_the_limit() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    sim.host_commands = vec![HostCommandRow {
        host: "h-w1".into(),
        at_ms: simulation::UNIX_MS,
        intent: Some(HostIntent::Move("spare".into())),
        outcome: None,
    }];
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[]);
    // An idle host would be moved to the spare pool.
    let spread = Step { per_worker_max: 1, ..step(2, 1_000) };
    sim.scheduler.add_job(job("a", vec![spread], sim.now), sim.now);
    sim.run_for(seconds(2));
    complete_runs_on(&mut sim, "w1");
    list_up(&mut sim, &["w1", "w2"]);
    sim.run_for(seconds(2));
    complete_runs_on(&mut sim, "w2");
    let is_moved = |action: &Action| matches!(action, Action::MoveHost { .. });
    assert!(sim.other_actions.drain(..).any(|action| is_moved(&action)));
    // While the reply is outstanding, a list leaves the host out, and the next one shows it.
    list_up(&mut sim, &["w2"]);
    list_up(&mut sim, &["w1", "w2"]);
    set_wave(&mut sim, 1, &["w1", "w2"], 1);
    sim.run_for(millis(400));
    assert_eq!(take_maintained(&mut sim), ["h-w2"]);
    reply(&mut sim, "h-w2", HostReply::Accepted);
    reply(&mut sim, "h-w1", HostReply::Unknown);
    sim.run_for(seconds(1));
    assert!(take_maintained(&mut sim).is_empty(), "h-w2 is in maintenance");
}

/// Guards against a wave that is completed although the maintenance of a host for it has not begun:
/// the host was in maintenance for another wave, whose command was in doubt.
#[test]
fn maintenance_for_one_wave_does_not_show_that_of_another() {
    let mut sim = fleet_with_wave(&["w1"], 1);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    reply(&mut sim, "h-w1", HostReply::Accepted);
    sim.commit();
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[]);
    set_wave(&mut sim, 1, &["w1"], 1);
    set_wave(&mut sim, 2, &["w1"], 1);
    // The list does not show the maintenance yet, and the next ones time out.
    list_up(&mut sim, &["w1"]);
    sim.run_for(seconds(4));
    for host in take_maintained(&mut sim) {
        reply(&mut sim, &host, HostReply::Busy);
    }
    sim.now += seconds(1);
    list(&mut sim, vec![entry("w1", HostState::InMaintenance)]);
    sim.other_actions.clear();
    sim.run_for(millis(400));
    let is_completed = |action: &Action| {
        matches!(action, Action::WaveStatus { wave: 2, state: WaveState::Completed })
    };
    assert!(!sim.other_actions.iter().any(is_completed), "wave 2 has maintained no host");
}

/// Guards against a wave over its limit after an upgrade: a row that tells no intent was written by
/// an earlier version, whatever has become of its command.
#[test]
fn a_row_of_an_earlier_version_counts_until_a_list_shows_the_host() {
    let mut sim = fleet_with_wave(&["w1", "w2"], 1);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    let at_ms = sim.host_commands[0].at_ms;
    let row = HostCommandRow { host: "h-w1".into(), at_ms, intent: None, outcome: None };
    sim.host_commands = vec![row];
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[]);
    set_wave(&mut sim, 1, &["w1", "w2"], 1);
    list_up(&mut sim, &["w1", "w2"]);
    sim.run_for(seconds(1));
    assert!(take_maintained(&mut sim).is_empty(), "h-w1 may be in maintenance");
}

/// Guards against a wave over its limit: the row of a command that was sent late, after a slow
/// write, is dropped a host lease after the decision, while the host is in maintenance.
#[test]
fn the_row_of_a_command_is_kept_while_its_host_is_in_maintenance() {
    let workers = ["w1", "w2", "w3"];
    let mut sim = Simulation::new(&workers, config(3, NO_QUOTA));
    list_up(&mut sim, &workers);
    set_wave(&mut sim, 1, &["w1", "w2"], 1);
    sim.now += millis(200);
    sim.report_all();
    sim.scheduler.review(sim.now);
    let batch = sim.scheduler.take_batch(LIMITS, sim.now);
    sim.now += millis(2_900);
    sim.report_all();
    sim.scheduler.handle_commit(&batch, sim.now);
    sim.carry_out_actions();
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    sim.now += millis(200);
    reply(&mut sim, "h-w1", HostReply::Accepted);
    set_wave(&mut sim, 2, &["w3"], 1);
    sim.run_for(millis(200));
    assert_eq!(take_maintained(&mut sim), ["h-w3"]);
    assert_eq!(stored_hosts(&sim), ["h-w1", "h-w3"]);
}

/// Guards against a wave that is reported as completed although a host of it has not begun.
#[test]
fn a_wave_is_not_completed_while_a_command_to_one_of_its_hosts_is_in_doubt() {
    let mut sim = fleet_with_wave(&["w1", "w2"], 1);
    sim.run_for(millis(600));
    reply(&mut sim, "h-w1", HostReply::Accepted);
    sim.run_for(seconds(4));
    list_up(&mut sim, &["w1", "w2"]);
    sim.run_for(seconds(1));
    reply(&mut sim, "h-w2", HostReply::Unknown);
    sim.other_actions.clear();
    list_up(&mut sim, &["w1"]);
    sim.run_for(millis(400));
    let is_completed = |action: &Action| {
        matches!(action, Action::WaveStatus { wave: 1, state: WaveState::Completed })
    };
    let is_completed = sim.other_actions.iter().any(is_completed);
    assert!(!is_completed, "the outcome of the command to h-w2 is not known");
}

/// Guards against a wave over its limit, when a host that may be in maintenance leaves the wave.
#[test]
fn a_command_in_doubt_counts_after_its_host_has_left_the_wave() {
    let mut sim = fleet_with_wave(&["w1", "w2"], 1);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    reply(&mut sim, "h-w1", HostReply::Unknown);
    set_wave(&mut sim, 1, &["w2"], 1);
    sim.run_for(millis(400));
    assert!(take_maintained(&mut sim).is_empty(), "h-w1 may be in maintenance for the wave");
}

/// Guards against a wave over its limit, when the limit is lowered while commands are in doubt.
#[test]
fn no_more_commands_in_doubt_are_repeated_than_the_limit_allows() {
    let mut sim = fleet_with_wave(&["w1", "w2"], 2);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1", "h-w2"]);
    reply(&mut sim, "h-w1", HostReply::Unknown);
    reply(&mut sim, "h-w2", HostReply::Unknown);
    set_wave(&mut sim, 1, &["w1", "w2"], 1);
    sim.run_for(seconds(2));
    assert_eq!(take_maintained(&mut sim).len(), 1);
}

/// Guards against owners that take turns at a host within the host lease, in two takeovers in a row.
#[test]
fn a_successor_keeps_the_recent_rows_of_its_predecessor() {
    let mut sim = fleet_with_wave(&["w1", "w2"], 1);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    reply(&mut sim, "h-w1", HostReply::Refused);
    sim.run_for(millis(400));
    assert_eq!(take_maintained(&mut sim), ["h-w2"]);
    let row = sim.host_commands.iter().find(|row| &*row.host == "h-w1").cloned();
    assert!(row.is_some_and(|row| row.outcome.is_some()));
    sim.add_worker("w3");
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[]);
    set_wave(&mut sim, 2, &["w3"], 1);
    list_up(&mut sim, &["w1", "w2", "w3"]);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w3"]);
    assert!(stored_hosts(&sim).contains(&"h-w1".to_owned()), "{:?}", stored_hosts(&sim));
}

/// Guards against owners that take turns at a host within the host lease, since a list leaves the
/// host out after another one has shown it.
#[test]
fn a_host_that_a_list_leaves_out_is_not_commanded_within_the_host_lease() {
    let mut sim = fleet_with_wave(&["w1", "w2"], 1);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    let commanded_at = sim.now;
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[]);
    set_wave(&mut sim, 1, &["w1", "w2"], 1);
    list_up(&mut sim, &["w1", "w2"]);
    for _ in 0..100 {
        list_up(&mut sim, &["w2"]);
        sim.run_for(millis(200));
        if !take_maintained(&mut sim).is_empty() {
            break;
        }
    }
    let since = sim.now - commanded_at;
    assert!(since >= seconds(3), "repeated {since:?} after the predecessor's command");
}

/// Guards against a takeover that stops units of a host because of a move that was carried out long
/// before.
#[test]
fn a_move_that_was_carried_out_stops_no_units_at_the_next_takeover() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    sim.list_hosts(&[("h-w1", "spare", "w0")]);
    let long_running = Step { is_long_running: true, ..step(1, 10_000) };
    let record = job("a", vec![long_running], sim.now);
    sim.scheduler.add_job(record.clone(), sim.now);
    sim.run_for(seconds(1));
    // The row of a move to `p` that was carried out an hour ago.
    let at_ms = simulation::UNIX_MS;
    sim.host_commands = vec![HostCommandRow {
        host: "h-w1".into(),
        at_ms,
        intent: Some(HostIntent::Move("p".into())),
        outcome: None,
    }];
    let running = sim.worker("w1").running.clone();
    assert_eq!(running.len(), 1);
    for run in &mut sim.worker("w1").running {
        run.progress_percent = 100;
    }
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[record]);
    for _ in 0..15 {
        sim.list_hosts(&[("h-w1", "p", "w1")]);
        sim.now += millis(200);
        sim.report_all();
        sim.run_round();
    }
    let left = sim.worker("w1").running.iter().filter(|r| r.run == running[0].run).count();
    assert_eq!(left, 1, "the unit goes on");
}

/// Guards against a host that gets no units any more, because a list has left it out after its worker
/// was taken for terminated.
#[test]
fn a_worker_is_used_again_after_a_list_has_left_out_its_host() {
    let mut sim = fleet_with_wave(&["w1"], 1);
    sim.run_for(millis(600));
    reply(&mut sim, "h-w1", HostReply::Accepted);
    sim.run_for(seconds(1));
    list(&mut sim, Vec::new());
    sim.run_for(seconds(3));
    sim.scheduler.add_job(job("a", vec![step(1, 1_000)], sim.now), sim.now);
    for _ in 0..20 {
        list_up(&mut sim, &["w1"]);
        let host = Some("h-w1".into());
        let registration = WorkerRegistration { host, ..registration("w1") };
        sim.scheduler.update_worker(registration, seconds(0), sim.now);
        sim.run_for(seconds(1));
    }
    assert_eq!(sim.worker("w1").running.len(), 1);
}

/// Guards against a wave that stalls as long as a host stays out of service for another reason.
#[test]
fn a_host_that_stays_down_does_not_stall_its_wave() {
    let mut sim = fleet_with_wave(&["w1", "w2"], 1);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    reply(&mut sim, "h-w1", HostReply::Unknown);
    for _ in 0..120 {
        sim.run_for(seconds(1));
        list(&mut sim, vec![entry("w1", HostState::Down), entry("w2", HostState::Up)]);
        for host in take_maintained(&mut sim) {
            match host.as_str() {
                "h-w1" => reply(&mut sim, "h-w1", HostReply::Busy),
                _ => return,
            }
        }
    }
    panic!("nothing is sent for two minutes");
}

/// Guards against units that are stopped by a command in doubt: a worker that has just registered is
/// not cordoned before the next review.
#[test]
fn a_worker_that_registers_between_reviews_gets_no_units_while_a_command_is_in_doubt() {
    let mut sim = fleet_with_wave(&["w1"], 1);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    reply(&mut sim, "h-w1", HostReply::Unknown);
    sim.scheduler.add_job(job("a", vec![step(4, 1_000)], sim.now), sim.now);
    sim.run_round();
    // The next worker of the host registers and replies 20 ms after a review.
    sim.now += millis(20);
    sim.add_worker("w2");
    let registration = WorkerRegistration { host: Some("h-w1".into()), ..registration("w2") };
    sim.scheduler.update_worker(registration, seconds(0), sim.now);
    sim.report("w2");
    let starts = sim.run_round();
    assert!(starts.is_empty(), "{} units started on a host with a command in doubt", starts.len());
}

/// Guards against a wave over its limit after a takeover: the same sequence as
/// `an_older_row_of_a_host_does_not_release_a_new_command`, up to the maintenance.
#[test]
fn a_successor_counts_a_command_that_was_sent_with_an_older_row() {
    let mut sim = fleet_with_wave(&["w1", "w2", "w3"], 2);
    sim.run_for(millis(600));
    reply(&mut sim, "h-w1", HostReply::Refused);
    sim.now += millis(200);
    sim.report_all();
    sim.scheduler.review(sim.now);
    let batch = sim.scheduler.take_batch(LIMITS, sim.now);
    reply(&mut sim, "h-w2", HostReply::Refused);
    for _ in 0..5 {
        sim.now += millis(200);
        sim.report_all();
        sim.scheduler.review(sim.now);
    }
    take_maintained(&mut sim);
    sim.host_commands = batch.host_commands.clone().expect("a command is stored");
    sim.scheduler.handle_commit(&batch, sim.now);
    sim.carry_out_actions();
    let sent = take_maintained(&mut sim);
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[]);
    set_wave(&mut sim, 1, &["w1", "w2", "w3"], 2);
    list_up(&mut sim, &["w1", "w2", "w3"]);
    sim.now += seconds(1);
    sim.report_all();
    for host in sent {
        let counts =
            sim.host_commands.iter().any(|row| *row.host == *host && row.outcome.is_none());
        assert!(counts, "{host} was sent, and the stored rows tell that it was not carried out");
    }
}
