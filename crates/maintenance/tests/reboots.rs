//! Boots that a requested reboot has not caused.

#[path = "support/fake.rs"]
mod support;

use model::HostState;
use support::TICK;
use support::World;
use support::contract;

/// Guards against a host that serves again before its requested reboot, which then ends its requests:
/// a crash while it drained counts as that reboot.
#[tokio::test]
async fn a_crash_during_a_drain_does_not_count_as_the_requested_reboot() {
    let mut world = World::new(&contract(9, 1, 3)).await;
    world.tick().await;
    world.start_wave("validate").await;
    let is_in = |state: HostState| {
        move |config: &model::Config| config.hosts.iter().any(|row| row.state == state)
    };
    world.run_until(is_in(HostState::Draining)).await;
    let config = world.config().await;
    let draining = config.hosts.iter().find(|row| row.state == HostState::Draining).unwrap();
    let host = draining.id().to_string();
    world.host(&host).boot_count += 1;
    // The platform carries out the reboot later than the list is read next.
    for _ in 0..10 {
        world.advance_time(TICK);
        world.host(&host).is_up = true;
        world.tick().await;
        let state = world.row(&host).await.state;
        let is_requested = world.reboots.iter().any(|reboot| *reboot.host == *host);
        let is_finished = world.reboots.iter().any(|r| *r.host == *host && r.is_finished);
        let is_serving = matches!(state, HostState::Returning | HostState::Serving);
        assert!(!is_requested || is_finished || !is_serving, "{host} is {state} before its reboot");
    }
}
