//! Evacuated zones as nodes follow them, and what nodes start meanwhile.

#[path = "common/memory.rs"]
mod memory;

use std::time::Duration;

use coordinator::JobLookup;
use coordinator::Node;
use coordinator::SubmitOutcome;
use coordinator::clock;
use coordinator::evacuated_zones::EvacuatedZones;
use coordinator::ports::EvacuationChange;
use coordinator::ports::EvacuationRow;
use coordinator::ports::Table;
use memory::Memory;
use memory::start_node;
use rstest::rstest;
use scheduler::FinalState;
use scheduler::JobRecord;
use scheduler::JobView;
use scheduler::Resources;
use scheduler::Step;

/// Time limit for everything that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of what a test waits for.
const PAUSE: Duration = Duration::from_millis(20);
/// Time within which a node would have started a unit.
const START_TIME: Duration = Duration::from_millis(600);

fn changes(rows: &[(&str, EvacuationRow)]) -> Vec<EvacuationChange> {
    let change =
        |(zone, row): &(&str, EvacuationRow)| EvacuationChange { zone: (*zone).into(), row: *row };
    rows.iter().map(change).collect()
}

/// Failures: a malformed row, which must neither begin nor end an evacuation, and rows that were
/// removed while the node was away.
#[rstest]
#[case::begins(&[("b", EvacuationRow::Valid)], false, &["a", "b"])]
#[case::twice(&[("a", EvacuationRow::Valid)], false, &["a"])]
#[case::ends(&[("a", EvacuationRow::Removed)], false, &[])]
#[case::unknown_ends(&[("b", EvacuationRow::Removed)], false, &["a"])]
#[case::malformed_goes_on(&[("a", EvacuationRow::Malformed)], false, &["a"])]
#[case::malformed_does_not_begin(&[("b", EvacuationRow::Malformed)], false, &["a"])]
#[case::malformed_after_its_removal(
    &[("a", EvacuationRow::Removed), ("a", EvacuationRow::Malformed)], false, &["a"]
)]
#[case::nothing_changed(&[], false, &["a"])]
#[case::snapshot_replaces(&[("b", EvacuationRow::Valid)], true, &["b"])]
#[case::empty_snapshot(&[], true, &[])]
#[case::malformed_in_snapshot(
    &[("a", EvacuationRow::Malformed), ("b", EvacuationRow::Malformed)], true, &["a"]
)]
fn rows_change_the_evacuated_zones(
    #[case] rows: &[(&str, EvacuationRow)],
    #[case] is_snapshot: bool,
    #[case] expected: &[&str],
) {
    let before = EvacuatedZones::default().apply(&changes(&[("a", EvacuationRow::Valid)]), true);
    let after = before.apply(&changes(rows), is_snapshot);
    let found: Vec<&str> = after.zones().iter().map(|zone| &**zone).collect();
    assert_eq!(found, expected);
}

async fn wait_ready(node: &Node<Memory>) {
    let until = clock::now() + TIMEOUT;
    while !node.is_ready() {
        assert!(clock::now() < until, "the node is not ready");
        tokio::time::sleep(PAUSE).await;
    }
}

async fn submit(node: &Node<Memory>, id: &str) {
    assert_eq!(try_submit(node, id).await, SubmitOutcome::Accepted);
}

async fn try_submit(node: &Node<Memory>, id: &str) -> SubmitOutcome {
    let requested = Resources { cpu_millis: 1_000, memory_mb: 100, gpus: 0 };
    let step = Step { count: 2, requested, estimate_ms: 100, ..Step::default() };
    let record = JobRecord {
        id: id.into(),
        queue: "q".into(),
        pool: "p".into(),
        steps: vec![step],
        accepted_ms: clock::unix_now_ms(),
        ..JobRecord::default()
    };
    node.submit(record, clock::now() + Duration::from_secs(3)).await
}

async fn wait_completed(node: &Node<Memory>, id: &str) {
    let until = clock::now() + TIMEOUT;
    let completed = JobLookup::Found(JobView::Ended(FinalState::Completed));
    while node.job("q", id, None).await != completed {
        assert!(clock::now() < until, "{id} is not completed");
        tokio::time::sleep(PAUSE).await;
    }
}

/// Failure: the owner changes while a zone is evacuated. Guards against starts by either owner, and
/// against jobs that are lost meanwhile.
#[tokio::test]
async fn no_owner_starts_a_unit_in_an_evacuated_zone() {
    let memory = Memory::new(Duration::from_millis(50));
    let first = start_node("n1", &memory).await;
    wait_ready(&first).await;
    submit(&first, "a").await;
    wait_completed(&first, "a").await;
    let starts = memory.starts().len();
    memory.evacuate(&["z"]);
    tokio::time::sleep(START_TIME).await;
    submit(&first, "b").await;
    tokio::time::sleep(START_TIME).await;
    assert_eq!(memory.starts().len(), starts);
    let second = start_node("n2", &memory).await;
    wait_ready(&second).await;
    first.start_shutdown().await;
    first.shut_down(Duration::ZERO).await;
    submit(&second, "c").await;
    tokio::time::sleep(START_TIME).await;
    assert_eq!(memory.starts().len(), starts);
    memory.evacuate(&[]);
    wait_completed(&second, "b").await;
    wait_completed(&second, "c").await;
}

/// Failure: the node that takes over cannot read the operators' rows, so it may have missed an
/// evacuation.
#[tokio::test]
async fn a_new_owner_starts_nothing_before_it_has_read_the_operators_rows() {
    let memory = Memory::new(Duration::from_millis(50));
    memory.hide_operators(true);
    let node = start_node("n1", &memory).await;
    let until = clock::now() + TIMEOUT;
    while memory.owner().node != "n1" {
        assert!(clock::now() < until, "the node does not take over");
        tokio::time::sleep(PAUSE).await;
    }
    // The owner's row is in the store before the node holds the ownership. Until then, the node takes
    // the store to be down, since it has refused the operators' rows.
    loop {
        let outcome = try_submit(&node, "a").await;
        if outcome == SubmitOutcome::Accepted {
            break;
        }
        let is_refused = matches!(outcome, SubmitOutcome::NotStored { .. });
        assert!(is_refused && clock::now() < until, "{outcome:?}");
        assert!(memory.rows(Table::Inbox).is_empty() && memory.rows(Table::Jobs).is_empty());
        tokio::time::sleep(PAUSE).await;
    }
    tokio::time::sleep(START_TIME).await;
    assert!(memory.starts().is_empty());
    memory.hide_operators(false);
    wait_completed(&node, "a").await;
}

/// Failure: an owner that reaches its own rows, but not those of the operators, while they begin an
/// evacuation. It accepts jobs and starts none of them until it has read the rows again.
#[tokio::test]
async fn an_owner_with_an_old_read_starts_nothing() {
    let bound = Duration::from_secs(2);
    let memory = Memory::new(Duration::from_millis(50)).with_evacuation_bound(bound);
    let node = start_node("n1", &memory).await;
    wait_ready(&node).await;
    submit(&node, "a").await;
    wait_completed(&node, "a").await;
    let starts = memory.starts().len();
    memory.hide_operators(true);
    memory.evacuate(&["z"]);
    tokio::time::sleep(bound).await;
    submit(&node, "b").await;
    tokio::time::sleep(START_TIME).await;
    assert_eq!(memory.starts().len(), starts);
    memory.hide_operators(false);
    tokio::time::sleep(START_TIME).await;
    assert_eq!(memory.starts().len(), starts, "it knows of the evacuation now");
    memory.evacuate(&[]);
    wait_completed(&node, "b").await;
}
