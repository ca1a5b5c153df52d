//! Lists that leave out a host which is out of service by a command: it still counts against the
//! limit of its wave, until the command must be over.

#[path = "common/simulation.rs"]
mod simulation;

use scheduler::Action;
use scheduler::CommandOutcome;
use scheduler::HostCommandRow;
use scheduler::HostEntry;
use scheduler::HostIntent;
use scheduler::HostReply;
use scheduler::HostState;
use scheduler::Resources;
use scheduler::Wave;
use scheduler::WaveId;
use simulation::Simulation;
use simulation::config;
use simulation::millis;
use simulation::seconds;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };

fn host_of(worker: &str) -> String {
    format!("h-{worker}")
}

fn entry(worker: &str, state: HostState) -> HostEntry {
    HostEntry {
        name: host_of(worker).as_str().into(),
        pool: "p".into(),
        state,
        worker: (state == HostState::Up).then(|| worker.into()),
    }
}

/// Delivers a list of these hosts that was requested now.
fn list(sim: &mut Simulation, entries: Vec<HostEntry>) {
    sim.scheduler.set_hosts(entries, sim.now, sim.now);
}

/// Lists the host of each of these workers in service.
fn list_up(sim: &mut Simulation, workers: &[&str]) {
    list(sim, workers.iter().map(|worker| entry(worker, HostState::Up)).collect());
}

/// Sets a wave over the hosts of these workers.
fn set_wave(sim: &mut Simulation, id: WaveId, workers: &[&str], unavailable_hosts_max: usize) {
    let hosts = workers.iter().map(|worker| host_of(worker).as_str().into()).collect();
    let wave = Wave { id, hosts, duration_ms: 20_000, unavailable_hosts_max };
    sim.scheduler.set_waves(vec![wave], sim.now);
}

/// Creates a pool with a host for each of these workers, and a wave over all of them.
fn fleet_with_wave(workers: &[&str], unavailable_hosts_max: usize) -> Simulation {
    let mut sim = Simulation::new(workers, config(3, NO_QUOTA));
    list_up(&mut sim, workers);
    set_wave(&mut sim, 1, workers, unavailable_hosts_max);
    sim
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

/// Guards against a wave over its limit when a list leaves out a host that is in maintenance.
#[test]
fn a_host_in_maintenance_that_a_list_leaves_out_still_counts() {
    let mut sim = fleet_with_wave(&["w1", "w2"], 1);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    reply(&mut sim, "h-w1", HostReply::Accepted);
    sim.now += millis(200);
    list_up(&mut sim, &["w2"]);
    sim.run_for(seconds(1));
    assert!(take_maintained(&mut sim).is_empty(), "h-w1 went into maintenance 1.2 s ago");
}

/// Guards against a wave over its limit: a list had shown the host in maintenance, and the next one
/// left it out.
#[test]
fn a_host_that_was_listed_in_maintenance_counts_when_a_list_leaves_it_out() {
    let mut sim = fleet_with_wave(&["w1", "w2"], 1);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    reply(&mut sim, "h-w1", HostReply::Unknown);
    sim.now += millis(1_600);
    list(&mut sim, vec![entry("w1", HostState::InMaintenance), entry("w2", HostState::Up)]);
    sim.now += millis(200);
    list_up(&mut sim, &["w2"]);
    sim.run_for(seconds(1));
    assert!(take_maintained(&mut sim).is_empty(), "h-w1 was in maintenance 1.2 s ago");
    sim.run_for(seconds(3));
    for _ in 0..2 {
        list_up(&mut sim, &["w2"]);
        sim.run_for(seconds(1));
    }
    assert_eq!(take_maintained(&mut sim), ["h-w2"], "h-w1 is back by now");
}

/// Guards against a wave over its limit: a successor's first list left out a host that its
/// predecessor had just put into maintenance.
#[test]
fn a_successor_counts_a_host_in_maintenance_that_a_list_leaves_out() {
    let mut sim = fleet_with_wave(&["w1", "w2"], 1);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
    reply(&mut sim, "h-w1", HostReply::Accepted);
    sim.host_commands = vec![HostCommandRow {
        host: "h-w1".into(),
        at_ms: simulation::UNIX_MS + sim.now.as_millis() as u64,
        intent: Some(HostIntent::Maintain(1)),
        outcome: Some(CommandOutcome::CarriedOut),
    }];
    sim.take_over(2, config(3, NO_QUOTA), seconds(0), &[]);
    set_wave(&mut sim, 1, &["w1", "w2"], 1);
    sim.now += millis(1_600);
    list_up(&mut sim, &["w2"]);
    sim.run_for(millis(200));
    assert!(take_maintained(&mut sim).is_empty(), "h-w1 went into maintenance 1.8 s ago");
}
