//! What teams use in each shard, as the owners publish it to each other.

use std::time::Duration;

use coordinator::divisions::Divisions;
use coordinator::ports::Row;
use coordinator::ports::Table;
use coordinator::ports::WriteOutcome;
use coordinator::rows;
use coordinator::rows::DivisionKey;
use coordinator::team_uses::TeamUsesPublisher;
use coordinator::team_uses::TeamUsesRow;
use rstest::rstest;
use scheduler::PoolUses;
use scheduler::Resources;

fn uses(cpu_millis: u64) -> PoolUses {
    let used = Resources { cpu_millis, memory_mb: 100, gpus: 0 };
    let teams = [(Some("t".into()), used)].into_iter().collect();
    [("p".into(), teams)].into_iter().collect()
}

/// Guards against writes for each change of what runs, and against rows that become stale although
/// their owner lives and something is in use.
#[rstest]
#[case::changed_too_soon(uses(1), uses(2), 900, false)]
#[case::changed(uses(1), uses(2), 1_000, true)]
#[case::unchanged(uses(1), uses(1), 3_900, false)]
#[case::unchanged_and_old(uses(1), uses(1), 4_000, true)]
#[case::all_ended(uses(1), PoolUses::default(), 1_000, true)]
#[case::nothing_in_use(PoolUses::default(), PoolUses::default(), 60_000, false)]
fn a_row_is_due(
    #[case] last: PoolUses,
    #[case] current: PoolUses,
    #[case] age_ms: u64,
    #[case] is_due: bool,
) {
    let start = Duration::from_secs(100);
    let mut publisher = TeamUsesPublisher::default();
    publisher.record(last, start);
    assert_eq!(publisher.is_due(&current, start + Duration::from_millis(age_ms)), is_due);
}

/// Guards against a lost reply that blocks later rows or writes one twice, and against an owner
/// that counts the uses of its own shard a second time.
#[test]
fn a_row_whose_reply_was_lost_is_sent_again_and_read_by_others() {
    let now = Duration::from_secs(100);
    let mut divisions = Divisions::new(0, 2, 7);
    let row = TeamUsesRow { at_ms: 5, pools: uses(1_000) };
    let change = divisions.plan_team_uses(&row).expect("nothing is pending");
    assert!(divisions.plan_team_uses(&row).is_none(), "the result is not known");
    divisions.handle_outcome(&change.key, WriteOutcome::Unknown("no reply".to_owned()), now);
    let again = divisions.take_due(now + Duration::from_secs(1));
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].transaction.puts, change.transaction.puts);
    let epoch_key = DivisionKey::Epoch(0).in_group(DivisionKey::TeamUses(0).group().unwrap());
    let (table, key, _) = &change.transaction.preconditions[0];
    assert_eq!((*table, key), (Table::Divisions, &epoch_key), "a replaced owner writes nothing");
    divisions.handle_outcome(&change.key, WriteOutcome::Committed(3), now);
    assert!(divisions.foreign_team_uses(0).is_none());
    let mut other = Divisions::new(1, 2, 9);
    let written = Row { key: change.key, value: rows::encode(&row), version: 3 };
    other.apply(&[written], now);
    assert_eq!(other.foreign_team_uses(0), Some(&row));
    assert!(divisions.plan_team_uses(&row).is_some());
}
