//! What an outage of the table costs, in virtual time.

use std::time::Duration;

use bench::virtual_fleet::HEARTBEAT_INTERVAL;
use bench::virtual_fleet::TICK;
use bench::virtual_fleet::TTL;
use bench::virtual_fleet::VirtualFleet;

const NODES: usize = 8;
const OUTAGE: Duration = Duration::from_secs(30 * 60);

#[test]
fn outage_of_half_an_hour_loses_no_admission() {
    let mut fleet = VirtualFleet::new(NODES, 1);
    fleet.loss_percent = 1;
    let warmed_up = fleet.now + TTL;
    while fleet.now < warmed_up {
        fleet.tick();
    }
    fleet.is_table_up = false;
    let ends = fleet.now + OUTAGE;
    let baseline_ends = fleet.now + TTL + TICK;
    while fleet.now < ends {
        fleet.tick();
        assert_eq!(fleet.acting(), NODES, "a node was fenced");
        assert!(fleet.now < baseline_ends || fleet.acting_by_table() == 0);
    }
}

#[test]
fn failed_node_is_taken_within_two_ttls_and_a_restart_is_noticed_sooner() {
    let silent = time_to_take(None);
    let restarted = time_to_take(Some(HEARTBEAT_INTERVAL));
    println!("silent {silent:?}, restarted {restarted:?}");
    assert!(silent <= TTL * 2, "{silent:?}");
    assert!(restarted < silent, "{restarted:?} against {silent:?}");
}

/// Time from a failure to the take-over; the node starts again after `restart_after`.
fn time_to_take(restart_after: Option<Duration>) -> Duration {
    let mut fleet = VirtualFleet::new(NODES, 1);
    let warmed_up = fleet.now + TTL;
    while fleet.now < warmed_up {
        fleet.tick();
    }
    fleet.fail(0);
    let failed_at = fleet.now;
    let mut restart_at = restart_after.map(|after| failed_at + after);
    while !fleet.is_taken(0, 1) && fleet.now < failed_at + TTL * 10 {
        fleet.tick();
        if restart_at.is_some_and(|at| fleet.now >= at) {
            restart_at = None;
            fleet.restart(0, true);
        }
    }
    fleet.now - failed_at
}
