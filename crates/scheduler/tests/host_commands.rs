//! Commands to hosts whose replies are late, lost, or tell of an earlier attempt.

#[path = "common/simulation.rs"]
mod simulation;

use scheduler::Action;
use scheduler::BatchLimits;
use scheduler::CommandOutcome;
use scheduler::HostEntry;
use scheduler::HostReply;
use scheduler::HostState;
use scheduler::Resources;
use scheduler::Wave;
use scheduler::WorkerRegistration;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::registration;
use simulation::seconds;
use simulation::step;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };

/// Creates a pool with a host for each of these workers, named after it, and a wave over all of
/// them that leaves one at a time.
fn fleet_with_wave(workers: &[&str]) -> Simulation {
    let mut sim = Simulation::new(workers, config(3, NO_QUOTA));
    list_own_hosts(&mut sim, workers);
    let hosts: Vec<String> = workers.iter().map(|worker| host_of(worker)).collect();
    let hosts: Vec<&str> = hosts.iter().map(String::as_str).collect();
    set_wave(&mut sim, &hosts);
    sim
}

/// Sets a wave over these hosts that leaves one at a time.
fn set_wave(sim: &mut Simulation, hosts: &[&str]) {
    let hosts = hosts.iter().map(|host| (*host).into()).collect();
    let wave = Wave { id: 1, hosts, duration_ms: 20_000, unavailable_hosts_max: 1 };
    sim.scheduler.set_waves(vec![wave], sim.now);
}

fn host_of(worker: &str) -> String {
    format!("h-{worker}")
}

/// Lists the host of each of these workers.
fn list_own_hosts(sim: &mut Simulation, workers: &[&str]) {
    let hosts: Vec<(String, &str)> =
        workers.iter().map(|worker| (host_of(worker), *worker)).collect();
    let hosts: Vec<(&str, &str)> =
        hosts.iter().map(|(host, worker)| (host.as_str(), *worker)).collect();
    sim.list_hosts_in_pool(&hosts);
}

/// Removes and returns the hosts that were commanded to go into maintenance, in order.
fn take_maintained(sim: &mut Simulation) -> Vec<String> {
    let maintained = sim.other_actions.drain(..).filter_map(|action| match action {
        Action::MaintainHost { host, .. } => Some(host.to_string()),
        _ => None,
    });
    maintained.collect()
}

fn reply(sim: &mut Simulation, host: &str, reply: HostReply) {
    sim.scheduler.handle_host_reply(&host.into(), reply, sim.now);
}

/// Guards against a wave that takes more hosts out of service than it may, because a command
/// without a reply, which may have been carried out, no longer counts against the wave's limit.
#[test]
fn a_command_without_a_reply_counts_against_the_limit_of_its_wave() {
    let mut sim = fleet_with_wave(&["w1", "w2"]);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    for _ in 0..3 {
        reply(&mut sim, "h-w1", HostReply::Unknown);
        sim.run_for(seconds(2));
        assert_eq!(take_maintained(&mut sim), ["h-w1"], "only the same command is repeated");
    }
}

/// Guards against units that run twice: the platform also accepts a repeated command that it
/// carried out before, and the runs of the worker that the host has had since then go on.
#[test]
fn an_accepted_command_ends_no_runs_of_a_later_worker() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    sim.list_hosts_in_pool(&[("h1", "w1")]);
    let wave =
        Wave { id: 1, hosts: vec!["h1".into()], duration_ms: 20_000, unavailable_hosts_max: 1 };
    sim.scheduler.set_waves(vec![wave], sim.now);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h1"]);
    reply(&mut sim, "h1", HostReply::Unknown);
    // The host is back with its next worker, while the list still shows the one before.
    sim.scheduler.add_job(job("a", vec![step(1, 1_000)], sim.now), sim.now);
    sim.run_for(seconds(1));
    assert_eq!(take_maintained(&mut sim), ["h1"]);
    assert_eq!(sim.worker("w2").running.len(), 1);
    sim.list_hosts_in_pool(&[("h1", "w2")]);
    reply(&mut sim, "h1", HostReply::Accepted);
    assert!(sim.run_for(seconds(1)).is_empty(), "the unit is not started again");
}

/// Guards against units that are stopped by a command for the previous worker of their host: the
/// host may get another one, which starts units, while the command waits to be stored.
#[test]
fn a_command_is_not_sent_once_the_host_has_another_worker() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    sim.list_hosts_in_pool(&[("h-w1", "w1")]);
    set_wave(&mut sim, &["h-w1"]);
    sim.scheduler.review(sim.now);
    sim.list_hosts_in_pool(&[("h-w1", "w2")]);
    sim.commit();
    sim.carry_out_actions();
    assert!(take_maintained(&mut sim).is_empty());
    sim.run_for(seconds(1));
    assert_eq!(take_maintained(&mut sim), ["h-w1"], "the command is decided again");
}

fn listed(worker: &str, state: HostState) -> HostEntry {
    HostEntry {
        name: host_of(worker).as_str().into(),
        pool: "p".into(),
        state,
        worker: (state == HostState::Up).then(|| worker.into()),
    }
}

/// Guards against a wave that stalls although the list of hosts shows that the command in doubt was
/// carried out.
#[test]
fn the_list_of_hosts_settles_a_command_in_doubt() {
    let mut sim = fleet_with_wave(&["w1", "w2"]);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    reply(&mut sim, "h-w1", HostReply::Unknown);
    sim.now += millis(1_600);
    let entries = vec![listed("w1", HostState::InMaintenance), listed("w2", HostState::Up)];
    sim.scheduler.set_hosts(entries, sim.now, sim.now);
    sim.run_for(seconds(1));
    assert!(take_maintained(&mut sim).is_empty(), "one is in maintenance");
    list_own_hosts(&mut sim, &["w1", "w2"]);
    sim.run_for(seconds(1));
    assert_eq!(take_maintained(&mut sim), ["h-w2"]);
}

/// Guards against a wave that takes more hosts out of service than it may, when a list leaves out a
/// host, and against one that stalls forever when the host is gone.
#[test]
fn a_command_in_doubt_is_repeated_to_a_host_that_is_not_listed() {
    let mut sim = fleet_with_wave(&["w1", "w2"]);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    reply(&mut sim, "h-w1", HostReply::Unknown);
    sim.now += millis(1_600);
    sim.scheduler.set_hosts(vec![listed("w2", HostState::Up)], sim.now, sim.now);
    sim.run_for(seconds(2));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    reply(&mut sim, "h-w1", HostReply::Invalid);
    sim.run_for(seconds(1));
    assert_eq!(take_maintained(&mut sim), ["h-w2"]);
}

/// Guards against a wave that takes more hosts out of service than it may: a list that was requested
/// before a command may be older than it, and does not show what has become of it.
#[test]
fn an_older_list_of_hosts_settles_no_command() {
    let mut sim = fleet_with_wave(&["w1", "w2"]);
    let requested_at = sim.now;
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    reply(&mut sim, "h-w1", HostReply::Unknown);
    sim.now += millis(1_600);
    let entry = |name: &str, state| HostEntry {
        name: name.into(),
        pool: "p".into(),
        state,
        worker: Some(name[2..].into()),
    };
    let entries = vec![entry("h-w1", HostState::InMaintenance), entry("h-w2", HostState::Up)];
    sim.scheduler.set_hosts(entries, requested_at, sim.now);
    list_own_hosts(&mut sim, &["w1", "w2"]);
    sim.run_for(seconds(1));
    assert_eq!(take_maintained(&mut sim), ["h-w1"], "the command is repeated");
}

/// Guards against a repetition that the platform refuses, since the host is being moved or
/// maintained, and that frees a place in the wave although an earlier attempt is in doubt.
#[test]
fn a_refused_repetition_leaves_the_command_in_doubt() {
    for refusal in [HostReply::Busy, HostReply::Refused] {
        let mut sim = fleet_with_wave(&["w1", "w2"]);
        sim.run_for(millis(600));
        reply(&mut sim, "h-w1", HostReply::Unknown);
        sim.run_for(seconds(1));
        take_maintained(&mut sim);
        reply(&mut sim, "h-w1", refusal);
        sim.run_for(seconds(1));
        assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    }
}

/// Guards against a place in the wave that stays taken when a command was not carried out for sure.
#[test]
fn a_refused_command_frees_its_place_in_the_wave() {
    let mut sim = fleet_with_wave(&["w1", "w2"]);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    reply(&mut sim, "h-w1", HostReply::Refused);
    sim.run_for(millis(400));
    assert_eq!(take_maintained(&mut sim), ["h-w2"]);
}

/// Replaces the owner of a fleet with a wave.
fn take_over(sim: &mut Simulation, workers: &[&str]) {
    take_maintained(sim);
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[]);
    let hosts: Vec<String> = workers.iter().map(|worker| host_of(worker)).collect();
    let hosts: Vec<&str> = hosts.iter().map(String::as_str).collect();
    set_wave(sim, &hosts);
    list_own_hosts(sim, workers);
}

/// Guards against a wave that takes more hosts out of service than it may, because a successor does
/// not count the commands of its predecessor, which may have been carried out or may still be.
#[test]
fn a_successor_counts_the_commands_of_its_predecessor() {
    let mut sim = fleet_with_wave(&["w1", "w2"]);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    take_over(&mut sim, &["w1", "w2"]);
    for _ in 0..10 {
        sim.run_for(seconds(1));
        let maintained = take_maintained(&mut sim);
        assert!(!maintained.contains(&"h-w2".to_owned()), "the first command is in doubt");
        if !maintained.is_empty() {
            reply(&mut sim, "h-w1", HostReply::Unknown);
            return;
        }
        list_own_hosts(&mut sim, &["w1", "w2"]);
    }
    panic!("the command in doubt is not repeated");
}

/// Guards against a host that a successor takes for available, because a list of hosts is older than
/// the maintenance that has just begun.
#[test]
fn a_successor_does_not_rely_on_a_list_from_the_time_of_its_takeover() {
    let mut sim = fleet_with_wave(&["w1", "w2"]);
    sim.run_for(millis(600));
    reply(&mut sim, "h-w1", HostReply::Accepted);
    sim.commit();
    take_over(&mut sim, &["w1", "w2"]);
    sim.run_for(seconds(1));
    assert!(take_maintained(&mut sim).is_empty());
    sim.run_for(seconds(1));
    list_own_hosts(&mut sim, &["w1", "w2"]);
    sim.run_for(seconds(1));
    assert_eq!(take_maintained(&mut sim), ["h-w2"], "the first host is back");
}

/// Guards against units that a command of the previous owner stops, since they were started on its
/// host before the first list of hosts has arrived.
#[test]
fn a_successor_starts_nothing_on_a_host_whose_command_is_in_doubt() {
    let mut sim = fleet_with_wave(&["w1", "w2"]);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[]);
    for id in ["w1", "w2"] {
        let host = Some(host_of(id).as_str().into());
        let registration = WorkerRegistration { host, ..registration(id) };
        sim.scheduler.update_worker(registration, seconds(0), sim.now);
    }
    sim.scheduler.add_job(job("a", vec![step(20, 1_000)], sim.now), sim.now);
    let starts = sim.run_for(seconds(1));
    assert_eq!(starts.len(), 16);
    assert!(starts.iter().all(|start| &*start.worker == "w2"));
}

/// Guards against a wave that takes more hosts out of service than it may: a list that is older than
/// a command may name a worker that the owner has not known, as if the host were back with it.
#[test]
fn an_older_list_does_not_show_a_host_as_back() {
    let mut sim = fleet_with_wave(&["w1", "w2"]);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    let requested_at = sim.now;
    sim.now += millis(200);
    reply(&mut sim, "h-w1", HostReply::Accepted);
    let entry = |host: &str, worker: &str| HostEntry {
        name: host.into(),
        pool: "p".into(),
        state: HostState::Up,
        worker: Some(worker.into()),
    };
    let entries = vec![entry("h-w1", "w3"), entry("h-w2", "w2")];
    sim.scheduler.set_hosts(entries, requested_at, sim.now);
    sim.run_for(seconds(1));
    assert!(take_maintained(&mut sim).is_empty());
}

/// Guards against a host that gets no units any more, because a repeated command that had been
/// carried out before was accepted, and its worker is taken for terminated.
#[test]
fn a_worker_that_an_accepted_command_has_not_terminated_gets_units_again() {
    let mut sim = fleet_with_wave(&["w1"]);
    sim.run_for(millis(600));
    reply(&mut sim, "h-w1", HostReply::Accepted);
    sim.run_for(seconds(2));
    sim.scheduler.add_job(job("a", vec![step(1, 1_000)], sim.now), sim.now);
    for _ in 0..3 {
        list_own_hosts(&mut sim, &["w1"]);
        sim.run_for(seconds(1));
    }
    assert_eq!(sim.worker("w1").running.len(), 1);
}

/// Changes a row of another kind.
fn change_job(sim: &mut Simulation) {
    sim.scheduler.add_job(job("a", vec![step(1, 1_000)], sim.now), sim.now);
    sim.scheduler.cancel("a");
}

/// Guards against a command that a successor does not know of: it was decided anew while the outcome
/// of the one before was being stored, and sent once that was stored.
#[test]
fn a_repeated_command_is_not_sent_before_it_is_stored_itself() {
    let mut sim = fleet_with_wave(&["w1", "w2"]);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    reply(&mut sim, "h-w1", HostReply::Unknown);
    change_job(&mut sim);
    let limits = BatchLimits {
        rows_max: 100,
        progress_rows_max: 100,
        bytes_max: simulation::BATCH_BYTES_MAX,
    };
    let batch = sim.scheduler.take_batch(limits, sim.now);
    assert!(batch.host_commands.is_some(), "the outcome is stored");
    sim.now += seconds(1);
    sim.report_all();
    sim.scheduler.review(sim.now);
    sim.scheduler.handle_commit(&batch, sim.now);
    sim.carry_out_actions();
    assert!(take_maintained(&mut sim).is_empty());
    sim.commit();
    sim.carry_out_actions();
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
}

/// Guards against a successor that holds back hosts and places in waves for commands whose outcomes
/// its predecessor knew.
#[test]
fn a_known_outcome_is_stored_with_the_next_transaction() {
    let mut sim = fleet_with_wave(&["w1", "w2"]);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    assert!(sim.host_commands[0].outcome.is_none());
    reply(&mut sim, "h-w1", HostReply::Refused);
    sim.commit();
    assert!(sim.host_commands[0].outcome.is_none(), "there is nothing else to store");
    change_job(&mut sim);
    sim.commit();
    assert_eq!(sim.host_commands[0].outcome, Some(CommandOutcome::Settled));
}
