//! Guards the availability of the nodes while the table is down, and the duration of takeovers, in
//! virtual time.

use std::time::Duration;

use bench::virtual_fleet::HEARTBEAT_INTERVAL;
use bench::virtual_fleet::TICK;
use bench::virtual_fleet::TTL;
use bench::virtual_fleet::VirtualFleet;

const NODES: usize = 8;
const OUTAGE: Duration = Duration::from_secs(30 * 60);

#[test]
fn half_hour_table_outage_keeps_all_nodes_acting() {
    let mut fleet = VirtualFleet::new(NODES, 1);
    fleet.loss_percent = 1;
    let warm_up_end = fleet.now + TTL;
    while fleet.now < warm_up_end {
        fleet.tick();
    }
    fleet.is_table_up = false;
    let outage_end = fleet.now + OUTAGE;
    let table_leases_expire = fleet.now + TTL + TICK;
    while fleet.now < outage_end {
        fleet.tick();
        assert_eq!(fleet.count_acting(), NODES, "a node fenced itself while the table was down");
        // The table leases have expired, so that only the quorum leases let the nodes act.
        assert!(fleet.now < table_leases_expire || fleet.count_with_table_lease() == 0);
    }
}

#[test]
fn takeover_takes_two_ttls_at_most_and_less_after_a_restart() {
    let silent_takeover = measure_takeover(None);
    let restarted_takeover = measure_takeover(Some(HEARTBEAT_INTERVAL));
    println!(
        "takeover of a silent node {silent_takeover:?}, of a restarted node {restarted_takeover:?}"
    );
    assert!(silent_takeover <= TTL * 2, "{silent_takeover:?}");
    assert!(
        restarted_takeover < silent_takeover,
        "restarted {restarted_takeover:?}, silent {silent_takeover:?}"
    );
}

/// Returns the time from the stop of a node until its takeover is allowed, at most ten TTLs.
///
/// The node starts again after `restart_after`, or stays down if that is `None`.
fn measure_takeover(restart_after: Option<Duration>) -> Duration {
    let mut fleet = VirtualFleet::new(NODES, 1);
    let warm_up_end = fleet.now + TTL;
    while fleet.now < warm_up_end {
        fleet.tick();
    }
    fleet.fail(0);
    let failed_at = fleet.now;
    let mut restart_at = restart_after.map(|after| failed_at + after);
    while !fleet.is_takeover_allowed(0, 1) && fleet.now < failed_at + TTL * 10 {
        fleet.tick();
        if restart_at.is_some_and(|at| fleet.now >= at) {
            restart_at = None;
            fleet.restart(0, true);
        }
    }
    fleet.now - failed_at
}
