//! Dividing the quota of a team among shards: transfers keep the sum, requests are served in order,
//! and a shard starts units only within its portion.

#[path = "common/simulation.rs"]
mod simulation;

use rstest::rstest;
use scheduler::Portion;
use scheduler::PortionRow;
use scheduler::Resources;
use scheduler::portions::WHOLE;
use scheduler::portions::portion_of;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::step;

const QUOTA: Resources = Resources { cpu_millis: 40_000, memory_mb: 0, gpus: 0 };
const SHARDS: usize = 4;

#[test]
fn a_shard_takes_what_it_needs_and_a_part_of_what_is_free() {
    let row = PortionRow::default().with_need(2, 200_000, 1, SHARDS);
    assert_eq!(row.held(2, SHARDS), 400_000, "a quarter of the rest as a reserve");
    assert_eq!(row.request(2), None);
    let row = row.with_need(0, WHOLE, 2, SHARDS);
    assert_eq!(row.held(0, SHARDS), 600_000);
    assert!(row.request(0).is_some(), "the rest is requested");
    assert_eq!(row.total(), WHOLE);
}

#[test]
fn a_shard_gives_up_all_that_it_does_not_use_when_some_is_requested() {
    let row = PortionRow::default().with_need(1, 500_000, 1, 1).with_need(0, 600_000, 2, 1);
    let row = row.with_gifts(1, 300_000).expect("the shard has a spare portion");
    assert_eq!(row.held(1, SHARDS), 300_000);
    assert_eq!(row.held(0, SHARDS), 600_000, "not more than it needs");
    assert_eq!(row.request(0), None);
    assert_eq!(row.total(), 900_000, "the rest is free");
    assert_eq!(row.with_gifts(1, 0), None, "nobody requests more");
}

#[test]
fn the_oldest_request_collects_the_unused_quota() {
    // Each shard needs more than half, so that none could start if each kept a part.
    let mut row = PortionRow::default();
    for shard in [2, 0, 3, 1] {
        let since_ms = 10 + u64::from(shard);
        row = row.with_need(shard, 600_000, since_ms, SHARDS);
    }
    for giver in 0..SHARDS as u16 {
        row = row.with_gifts(giver, 0).unwrap_or(row);
    }
    assert_eq!(row.request(0), None, "the oldest unserved request is served");
    assert!(row.held(0, SHARDS) >= 600_000);
    assert!(row.request(1).is_some());
    assert!(row.total() <= WHOLE);
    // Once its units have ended, the next one is served.
    let row = row.with_gifts(0, 0).expect("the shard has a spare portion");
    assert_eq!(row.request(1), None);
    assert!(row.total() <= WHOLE);
}

/// Two shards with more waiting units than the quota covers: neither may keep the other waiting.
#[test]
fn a_shard_with_waiting_units_uses_an_equal_part_while_another_one_requests() {
    let row = PortionRow::default().with_need(0, WHOLE, 1, SHARDS);
    assert_eq!(row.usable(0, SHARDS), WHOLE);
    let row = row.with_need(1, 700_000, 2, SHARDS);
    assert_eq!(row.usable(0, SHARDS), WHOLE / 2);
    // Its runs end, and it gives what they have used.
    let row = row.with_gifts(0, 300_000).expect("the shard has a spare portion");
    assert_eq!(row.request(1), None);
    // It needs the whole quota again, and is now the one that requests.
    let row = row.with_need(0, WHOLE, 3, SHARDS);
    assert_eq!(row.usable(1, SHARDS), WHOLE / 2);
    assert_eq!(row.usable(0, SHARDS), 300_000);
}

#[test]
fn a_request_that_is_no_longer_needed_is_withdrawn() {
    let row = PortionRow::default().with_need(0, 900_000, 4, 1).with_need(1, WHOLE, 5, 1);
    assert_eq!(row.oldest_request_of_other(0), Some(1));
    assert_eq!(row.oldest_request_of_other(1), None);
    let held = row.held(1, SHARDS);
    assert_eq!(row.with_need(1, held, 9, SHARDS).oldest_request_of_other(0), None);
}

#[rstest]
#[case::the_scarcest_resource_counts(Resources { cpu_millis: 10_000, memory_mb: 900, gpus: 0 },
    Resources { cpu_millis: 40_000, memory_mb: 1_000, gpus: 0 }, 900_000)]
#[case::no_limit(Resources { cpu_millis: 10_000, memory_mb: 900, gpus: 1 }, Resources::default(), 0)]
#[case::rounded_up(Resources { cpu_millis: 1, memory_mb: 0, gpus: 0 },
    Resources { cpu_millis: 3, memory_mb: 0, gpus: 0 }, 333_334)]
#[case::beyond_the_quota(Resources { cpu_millis: 3, memory_mb: 0, gpus: 0 },
    Resources { cpu_millis: 2, memory_mb: 0, gpus: 0 }, 1_500_000)]
fn the_portion_of_an_amount_covers_it(
    #[case] amount: Resources,
    #[case] quota: Resources,
    #[case] portion: Portion,
) {
    assert_eq!(portion_of(&amount, &quota), portion);
}

#[test]
fn a_shard_starts_units_within_its_portion_and_states_what_it_needs() {
    let mut sim = Simulation::new(&["w1", "w2", "w3"], config(3, QUOTA));
    sim.scheduler.set_shard_count(SHARDS);
    assert_eq!(sim.scheduler.quota_portion("t"), 0, "nothing is held before it is taken");
    // A quarter is 10 cores: room for two units of 4 cores.
    sim.scheduler.set_quota_portion(&"t".into(), WHOLE / 4);
    sim.scheduler.add_job(job("j1", vec![step(5, 4_000)], sim.now), sim.now);
    assert_eq!(sim.run_round().len(), 2);
    let needs: Vec<(String, Portion)> =
        sim.scheduler.quota_needs().map(|(team, needed)| (team.to_string(), needed)).collect();
    assert_eq!(needs, [("t".to_owned(), WHOLE / 2)], "five units take half of the quota");
    assert_eq!(sim.scheduler.quota_portion_in_use("t"), WHOLE / 5);
    sim.scheduler.set_quota_portion(&"t".into(), 300_000);
    assert_eq!(sim.run_round().len(), 1);
    sim.scheduler.set_quota_portion(&"t".into(), WHOLE / 2);
    assert_eq!(sim.run_round().len(), 2);
    assert_eq!(sim.scheduler.quota_needs().count(), 0);
}

#[test]
fn nothing_is_requested_beyond_the_whole_quota() {
    let mut sim = Simulation::new(&["w1", "w2", "w3"], config(3, QUOTA));
    sim.scheduler.set_shard_count(SHARDS);
    sim.scheduler.set_quota_portion(&"t".into(), WHOLE);
    sim.scheduler.add_job(job("j1", vec![step(12, 4_000)], sim.now), sim.now);
    assert_eq!(sim.run_round().len(), 10);
    assert_eq!(sim.scheduler.quota_needs().count(), 0, "the team's own runs have to end first");
}

#[test]
fn a_lowered_quota_lowers_the_portion_and_stops_nothing() {
    let mut sim = Simulation::new(&["w1", "w2", "w3"], config(3, QUOTA));
    sim.scheduler.set_shard_count(SHARDS);
    sim.scheduler.set_quota_portion(&"t".into(), WHOLE / 4);
    sim.scheduler.add_job(job("j1", vec![step(3, 4_000)], sim.now), sim.now);
    assert_eq!(sim.run_round().len(), 2);
    let lowered = Resources { cpu_millis: 16_000, ..QUOTA };
    sim.scheduler.set_config(config(3, lowered));
    assert!(sim.run_round().is_empty());
    assert_eq!(sim.scheduler.team_usage("t").cpu_millis, 8_000);
    assert!(sim.other_actions.is_empty(), "{:?}", sim.other_actions);
}
