//! Failures while hosts are drained, moved and rebooted: lost racks and zones, paused and failed
//! planners, races between operators, stale lists, and table outages.

#[path = "support/fake.rs"]
mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use control::ChangeError;
use maintenance::Evidence;
use maintenance::HostEvidence;
use maintenance::HostList;
use maintenance::Moment;
use maintenance::advance::REBOOT_TIMEOUT;
use maintenance::advance::RETURN_TIMEOUT;
use maintenance::wave;
use model::Config;
use model::HostState;
use model::StopReason;
use model::WaveState;
use model::wave::HostProgress;
use rstest::rstest;
use services::Precondition;
use services::RebootState;
use services::Table;
use services::Transaction;
use services::Write;
use support::RebootOutcome;
use support::TICK;
use support::World;
use support::contract;
use support::host_changes;
use support::nothing_to_do;
use support::unavailable_count;
use support::wave_changes;

fn drain_by_operator(
    config: &Config,
    id: &str,
    moment: Moment,
) -> Result<maintenance::RowChanges, ChangeError> {
    let row = maintenance::drain(config, id, StopReason::Operator, &[], moment);
    row.map(host_changes).map_err(|error| ChangeError::Invalid { reason: error.to_string() })
}

fn wave_is(state: WaveState) -> impl Fn(&Config) -> bool {
    move |config| config.wave("validate").unwrap().state == state
}

fn in_state(config: &Config, state: HostState) -> Vec<String> {
    let hosts = config.hosts.iter().filter(|row| row.state == state);
    hosts.map(|row| row.id().to_string()).collect()
}

#[tokio::test]
async fn loss_of_a_rack_during_a_wave_stays_within_the_budget() {
    let mut world = World::new(&contract(12, 2, 4)).await;
    world.start_wave("validate").await;
    // By now the wave uses the concurrency that the reserve leaves to it.
    let has_reached_concurrency = |config: &Config| {
        config.waves[0].count(HostProgress::Done) >= 4
            && in_state(config, HostState::Rebooting).len() >= 2
    };
    world.run_until(has_reached_concurrency).await;
    // A rack in another zone than the one under maintenance.
    let under_maintenance = in_state(&world.config().await, HostState::Rebooting);
    let zone = world.host(&under_maintenance[0]).zone.clone();
    let rack = world.hosts.iter().find(|host| host.zone != zone).unwrap().rack.clone();
    world.hosts.iter_mut().filter(|host| host.rack == rack).for_each(|host| host.is_up = false);
    for _ in 0..200 {
        world.tick().await;
        let config = world.config().await;
        assert!(unavailable_count(&config) <= 4, "{config:?}");
        world.advance_time(TICK);
    }
    world.hosts.iter_mut().filter(|host| host.rack == rack).for_each(|host| {
        host.is_up = true;
        host.boot_count += 1;
    });
    world.run_until(wave_is(WaveState::Done)).await;
    assert_eq!(world.config().await.waves[0].count(HostProgress::Done), 12);
}

#[tokio::test]
async fn failure_of_a_second_zone_cancels_drains_and_starts_no_others() {
    let mut world = World::new(&contract(9, 1, 3)).await;
    world.host("h00").running = 1;
    world.start_wave("validate").await;
    world.run_until(|config| in_state(config, HostState::Draining) == ["h00"]).await;
    world.hosts.iter_mut().filter(|host| host.zone == "b").for_each(|host| host.is_up = false);
    world.advance_time(TICK);
    world.tick().await;
    world.advance_time(TICK);
    world.tick().await;
    let config = world.config().await;
    assert_eq!(config.host("h00").unwrap().state, HostState::Serving);
    assert_eq!(unavailable_count(&config), 3);
    for _ in 0..100 {
        world.advance_time(TICK);
        world.tick().await;
        assert_eq!(unavailable_count(&world.config().await), 3);
    }
    assert!(world.reboots.is_empty());
}

#[tokio::test]
async fn planner_paused_beyond_its_lease_writes_nothing_when_it_resumes() {
    let mut world = World::new(&contract(9, 1, 3)).await;
    let duty_row = Transaction {
        operation_id: "take".into(),
        preconditions: Vec::new(),
        writes: vec![Write::put("duty/maintenance/validate", "first")],
    };
    world.table.commit(&duty_row).await;
    let held = world.table.get("duty/maintenance/validate").await.unwrap();
    let fence = Precondition::unchanged("duty/maintenance/validate", held.as_ref());
    world.start_wave("validate").await;
    let config = world.config().await;
    let old_evidence = world.gather(&config);

    // The planner is paused. Hosts are lost meanwhile, which its evidence does not show.
    world.advance_time(Duration::from_secs(61));
    world.hosts.iter_mut().filter(|host| host.zone == "b").for_each(|host| host.is_up = false);
    assert!(!world.apply(&old_evidence).await);

    // Another planner takes the duty over and makes changes.
    let takeover = Transaction { operation_id: "taken".into(), ..duty_row };
    world.table.commit(&takeover).await;
    world.tick().await;
    let before = world.config().await;
    let fresh_evidence = world.gather(&before);
    let late_write = world.change(vec![fence], |config, moment| {
        let mut changes = maintenance::advance_all(config, &fresh_evidence, |_| true, moment);
        changes.waves.extend(wave::pause(config, "validate").ok());
        Ok(changes)
    });
    assert_eq!(late_write.await, Err(ChangeError::Conflict));
    assert_eq!(world.config().await, before);
}

#[tokio::test]
async fn two_planners_reboot_each_host_only_once() {
    let mut world = World::new(&contract(9, 1, 3)).await;
    world.start_wave("validate").await;
    for _ in 0..5_000 {
        let config = world.config().await;
        let first = world.gather(&config);
        let second = world.gather(&config);
        let (_, _) = tokio::join!(world.apply(&first), world.apply(&second));
        let config = world.config().await;
        assert!(unavailable_count(&config) <= 3);
        let mut zones: Vec<_> =
            config.hosts.iter().filter(|row| row.reason.is_some()).map(|r| &r.spec.zone).collect();
        zones.dedup();
        assert!(zones.len() <= 1, "hosts of several zones under maintenance: {zones:?}");
        if config.waves[0].state == WaveState::Done {
            break;
        }
        world.advance_time(TICK);
    }
    assert!(wave_is(WaveState::Done)(&world.config().await));
    let mut rebooted: Vec<_> = world.reboots.iter().map(|reboot| &reboot.host).collect();
    rebooted.sort();
    rebooted.dedup();
    assert_eq!((rebooted.len(), world.reboots.len()), (9, 9));
}

#[tokio::test]
async fn two_operators_cannot_both_use_the_last_host_of_a_budget() {
    let world = World::new(&contract(9, 1, 1)).await;
    // Both decide on the same configuration; the table accepts one of the changes.
    let config = world.config().await;
    let moment_seen = Moment { version: config.version + 1, now: world.now };
    let first = drain_by_operator(&config, "h00", moment_seen).unwrap();
    let second = drain_by_operator(&config, "h01", moment_seen).unwrap();
    let seen_version = Some(config.version);
    let table = &world.table;
    world.writer.change(table, seen_version, |_| Ok(first.rows())).await.unwrap();
    let late_change = world.writer.change(table, seen_version, |_| Ok(second.rows())).await;
    assert_eq!(late_change, Err(ChangeError::Conflict));
    // The retry names the budget and the host that uses it.
    let retried =
        world.change(Vec::new(), |config, moment| drain_by_operator(config, "h01", moment));
    let refusal = retried.await.unwrap_err().to_string();
    for part in ["service `validate`", "1 host(s) may be unavailable", "h00 (draining)"] {
        assert!(refusal.contains(part), "{refusal}");
    }
}

#[tokio::test]
async fn refusal_names_the_time_until_a_host_may_be_back() {
    let mut world = World::new(&contract(9, 1, 1)).await;
    world.start_wave("validate").await;
    world.run_until(|config| in_state(config, HostState::Rebooting).len() == 1).await;
    world.advance_time(Duration::from_secs(200));
    let refused = world.change(Vec::new(), |c, moment| drain_by_operator(c, "h08", moment));
    let refusal = refused.await.unwrap_err().to_string();
    assert!(refusal.contains("one may be free in about 430 s"), "{refusal}");
}

#[tokio::test]
async fn stale_host_list_is_no_evidence_of_a_boot() {
    let mut world = World::new(&contract(9, 1, 3)).await;
    world.tick().await;
    world.start_wave("validate").await;
    world.run_until(|config| in_state(config, HostState::Drained).len() == 1).await;
    // At this time the host is still up, in the boot that is about to end.
    let mut stale_entries = world.list();
    world.advance_time(TICK);
    world.run_until(|config| in_state(config, HostState::Rebooting).len() == 1).await;
    let host = in_state(&world.config().await, HostState::Rebooting)[0].clone();
    for (boot_count, is_returning) in [(3, false), (4, false)] {
        let entry = stale_entries.iter_mut().find(|entry| *entry.id == *host).unwrap();
        entry.boot_count = boot_count;
        world.stale_list = Some(stale_entries.clone());
        world.advance_time(TICK);
        world.tick().await;
        assert_eq!(world.row(&host).await.state == HostState::Returning, is_returning);
    }
    world.stale_list = None;
    world.run_until(|config| config.host(&host).unwrap().maintenance_ended_ms.is_some()).await;
}

#[tokio::test(start_paused = true)]
async fn table_outage_starts_nothing_and_the_started_reboot_completes() {
    let mut world = World::new(&contract(9, 1, 3)).await;
    world.start_wave("validate").await;
    world.run_until(|config| in_state(config, HostState::Rebooting).len() == 1).await;
    let before = world.config().await;
    world.tick().await;
    world.table.is_down.store(true, Ordering::Relaxed);
    for _ in 0..720 {
        // The node repeats the reboot requests of its configuration, which starts no second reboot.
        let evidence = world.gather(&before);
        assert!(!world.apply(&evidence).await);
        world.advance_time(TICK);
    }
    assert_eq!(world.reboots.len(), 1);
    assert!(world.reboots[0].is_finished);
    world.table.is_down.store(false, Ordering::Relaxed);
    assert_eq!(world.config().await, before);
    world.table.lost_replies.store(2, Ordering::Relaxed);
    world.run_until(wave_is(WaveState::Done)).await;
    assert_eq!(world.reboots.len(), 9);
}

#[tokio::test]
async fn cancelled_move_leaves_the_host_in_its_pool() {
    let mut world = World::new(&contract(9, 1, 3)).await;
    world.host("h00").running = 1;
    let start = |config: &Config, moment| {
        Ok(host_changes(maintenance::move_host(config, "h00", "spare", &[], moment).unwrap()))
    };
    world.change(Vec::new(), start).await.unwrap();
    world.tick().await;
    assert_eq!(world.row("h00").await.state, HostState::Draining);
    // The evidence that the host is drained arrives after the cancellation.
    world.host("h00").running = 0;
    let config = world.config().await;
    let late_evidence = world.gather(&config);
    let cancel = |config: &Config, moment| {
        Ok(host_changes(maintenance::return_host(config, "h00", moment).unwrap()))
    };
    world.change(Vec::new(), cancel).await.unwrap();
    world.apply(&late_evidence).await;
    let row = world.row("h00").await;
    assert_eq!((row.state, &*row.spec.pool, row.move_to), (HostState::Serving, "validate", None));
}

#[rstest]
#[tokio::test]
async fn move_continues_on_another_node_when_its_planner_fails(#[values(0, 1, 2, 3)] steps: usize) {
    let mut world = World::new(&contract(9, 1, 3)).await;
    let start = |config: &Config, moment| {
        Ok(host_changes(maintenance::move_host(config, "h00", "spare", &[], moment).unwrap()))
    };
    world.change(Vec::new(), start).await.unwrap();
    for _ in 0..steps {
        world.tick().await;
    }
    // The next node knows only what the table holds; the last write of the failed node arrives
    // late.
    let config = world.config().await;
    let evidence_of_failed_node = world.gather(&config);
    let is_moved = |config: &Config| {
        let row = config.host("h00").unwrap();
        &*row.spec.pool == "spare" && row.state == HostState::Serving
    };
    world.run_until(is_moved).await;
    let after = world.row("h00").await;
    world.apply(&evidence_of_failed_node).await;
    let row = world.row("h00").await;
    assert_eq!((row.state, row.since_version), (after.state, after.since_version));
    assert_eq!(row.spec.pool, after.spec.pool);
}

#[tokio::test]
async fn hosts_that_return_broken_fail_and_halt_the_wave() {
    let mut world = World::new(&contract(12, 1, 6)).await;
    world.hosts.iter_mut().for_each(|host| host.reboot_outcome = RebootOutcome::ReturnsBroken);
    world.start_wave("validate").await;
    let is_halted = |config: &Config| matches!(config.waves[0].state, WaveState::Halted { .. });
    world.run_until(is_halted).await;
    let config = world.config().await;
    assert_eq!(in_state(&config, HostState::Failed).len(), 2);
    let reasons = config.hosts.iter().filter_map(|row| row.reason.as_ref());
    assert!(reasons.clone().any(|reason| *reason == StopReason::Broken));
    let rebooted = world.reboots.len();
    world.advance_time(RETURN_TIMEOUT);
    world.tick().await;
    assert_eq!(world.reboots.len(), rebooted);

    // The wave resumes by itself once operators have repaired and returned the hosts.
    for host in world.hosts.iter_mut() {
        host.reboot_outcome = RebootOutcome::Returns;
        host.is_broken = false;
    }
    for id in in_state(&config, HostState::Failed) {
        let repair = |config: &Config, moment| {
            Ok(host_changes(maintenance::return_host(config, &id, moment).unwrap()))
        };
        world.change(Vec::new(), repair).await.unwrap();
    }
    world.run_until(wave_is(WaveState::Done)).await;
}

#[tokio::test]
async fn reboot_that_never_ends_fails_after_its_timeout() {
    let mut world = World::new(&contract(9, 1, 3)).await;
    world.host("h00").reboot_outcome = RebootOutcome::NeverEnds;
    world.start_wave("validate").await;
    world.run_until(|config| in_state(config, HostState::Rebooting) == ["h00"]).await;
    world.advance_time(REBOOT_TIMEOUT + TICK);
    world.tick().await;
    let row = world.row("h00").await;
    assert_eq!((row.state, row.reason), (HostState::Failed, Some(StopReason::RebootFailed)));
    world.run_until(wave_is(WaveState::Done)).await;
    let wave = world.config().await.waves[0].clone();
    assert_eq!((wave.count(HostProgress::Done), wave.count(HostProgress::Failed)), (8, 1));
}

#[tokio::test]
async fn host_with_a_known_address_or_name_only_is_another_host() {
    let mut world = World::new(&contract(9, 1, 3)).await;
    world.tick().await;
    world.advance_time(TICK);
    let mut list = world.list();
    // Another host has the address of h00, and a host with the name of h01 is at another address.
    list[0].id = "h99".into();
    list[1].address = "10.9.9.9:80".parse().unwrap();
    world.stale_list = Some(list);
    world.tick().await;
    let config = world.config().await;
    assert_eq!(in_state(&config, HostState::Failed), ["h00", "h01"]);
}

#[tokio::test]
async fn paused_wave_completes_started_maintenance_and_starts_no_other() {
    let mut world = World::new(&contract(9, 1, 3)).await;
    world.start_wave("validate").await;
    world.run_until(|config| in_state(config, HostState::Rebooting).len() == 1).await;
    let pause = |config: &Config, _| Ok(wave_changes(wave::pause(config, "validate").unwrap()));
    world.change(Vec::new(), pause).await.unwrap();
    world.run_until(|config| unavailable_count(config) == 0).await;
    for _ in 0..50 {
        world.advance_time(TICK);
        world.tick().await;
    }
    assert_eq!(world.reboots.len(), 1);
    let start = |config: &Config, _| {
        wave::start(config, "validate").map(wave_changes).map_err(|_| nothing_to_do())
    };
    world.change(Vec::new(), start).await.unwrap();
    world.run_until(wave_is(WaveState::Done)).await;
}

#[tokio::test]
async fn absent_host_counts_against_the_budget_at_once() {
    let world = World::new(&contract(9, 1, 1)).await;
    let config = world.config().await;
    let moment = Moment { version: config.version + 1, now: world.now };
    let absent = ["h05".into()];
    let refused = maintenance::drain(&config, "h00", StopReason::Operator, &absent, moment);
    let refusal = refused.unwrap_err().to_string();
    assert!(refusal.contains("h05 (absent from the host list)"), "{refusal}");
    assert!(refusal.contains("none comes back by itself"), "{refusal}");
}

#[rstest]
#[case(5, None)]
#[case(9, Some(HostState::Returning))]
#[tokio::test]
async fn evidence_about_an_earlier_epoch_causes_no_transition(
    #[case] evidence_epoch: u64,
    #[case] expected: Option<HostState>,
) {
    let world = World::new(&contract(9, 1, 1)).await;
    let config = world.config().await;
    let mut row = config.hosts[0].clone();
    row.state = HostState::Rebooting;
    row.epoch = 9;
    row.since_ms = Moment { version: 0, now: world.now }.now_ms();
    let mut host_evidence = HostEvidence::none(&row);
    host_evidence.epoch = evidence_epoch;
    host_evidence.reboot = Some(RebootState::Done);
    let list = HostList::default();
    let evidence = Evidence {
        gathered_at: world.now,
        hosts: vec![host_evidence],
        list,
        unresponsive: Vec::new(),
    };
    let moment = Moment { version: config.version + 1, now: world.now };
    let next = maintenance::advance::advance_host(&config, &row, &evidence, moment);
    assert_eq!(next.map(|row| row.state), expected);
}

#[tokio::test]
async fn unresponsive_hosts_count_against_the_budget_before_the_list_shows_them() {
    let mut world = World::new(&contract(9, 1, 3)).await;
    world.tick().await;
    world.start_wave("validate").await;
    let config = world.config().await;
    let mut evidence = world.gather(&config);
    evidence.unresponsive = vec!["h01".into(), "h04".into(), "h07".into()];
    assert!(!world.apply(&evidence).await);
    evidence.unresponsive.clear();
    assert!(world.apply(&evidence).await);
    assert_eq!(in_state(&world.config().await, HostState::Draining), ["h00"]);
}
