//! Lists that leave out a host which is out of service by a command: it still counts against the
//! limit of its wave, until the command must be over.

#[path = "common/simulation.rs"]
mod simulation;
#[path = "common/waves.rs"]
mod waves;

use scheduler::CommandOutcome;
use scheduler::HostCommandRow;
use scheduler::HostIntent;
use scheduler::HostReply;
use scheduler::HostState;
use simulation::config;
use simulation::millis;
use simulation::seconds;
use waves::NO_QUOTA;
use waves::entry;
use waves::fleet_with_wave;
use waves::list;
use waves::list_up;
use waves::reply;
use waves::set_wave;
use waves::take_maintained;

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
