//! Rows of the nodes' own tables that can't be decoded, or whose numbers are at the ends of their
//! ranges: a node takes over beside them, and runs the other jobs.

#[path = "common/memory.rs"]
mod memory;

use std::time::Duration;

use bytes::Bytes;
use coordinator::JobLookup;
use coordinator::SubmitOutcome;
use coordinator::clock;
use coordinator::ports::Table;
use coordinator::rows;
use memory::Memory;
use memory::start_node;
use rstest::rstest;
use scheduler::FinalState;
use scheduler::JobRecord;
use scheduler::JobView;
use scheduler::Resources;
use scheduler::Step;

/// Time limit for everything that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two checks of what a test waits for.
const PAUSE: Duration = Duration::from_millis(20);
const COMPLETED: JobLookup = JobLookup::Found(JobView::Ended(FinalState::Completed));

fn record(id: &str) -> JobRecord {
    let requested = Resources { cpu_millis: 1_000, memory_mb: 100, gpus: 0 };
    JobRecord {
        id: id.into(),
        queue: "q".into(),
        pool: "p".into(),
        team: Some("t".into()),
        steps: vec![Step { count: 1, requested, estimate_ms: 100, ..Step::default() }],
        accepted_ms: clock::unix_now_ms(),
        ..JobRecord::default()
    }
}

/// Guards against a stored row that ends each owner: it is read again after each take-over.
#[rstest]
#[case::due_at_the_end(Table::Jobs, "odd", rows::encode(&JobRecord { first_due_ms: u64::MAX, interval_ms: u64::MAX, repetitions: 3, ..record("odd") }))]
#[case::far_apart(Table::Jobs, "odd", rows::encode(&JobRecord { first_due_ms: 1, interval_ms: u64::MAX, repetitions: u32::MAX, ..record("odd") }))]
#[case::deep_job(Table::Jobs, "odd", Bytes::from(vec![b'['; 100_000]))]
#[case::empty_job(Table::Jobs, "odd", Bytes::new())]
#[case::progress(Table::Progress, "odd", Bytes::from_static(b"\xff"))]
#[case::wave(Table::Progress, "wave/x", Bytes::from_static(b"{}"))]
#[case::assignment(Table::Assignments, "odd", Bytes::from_static(b"{\"runs\":7}"))]
#[case::inbox(Table::Inbox, "submit/odd", Bytes::from_static(b"{\"submit\":[]}"))]
#[case::host_commands(Table::Owner, rows::HOST_COMMANDS_KEY, Bytes::from_static(b"[{}]"))]
#[tokio::test]
async fn a_node_takes_over_beside_an_odd_row(
    #[case] table: Table,
    #[case] key: &str,
    #[case] value: Bytes,
) {
    let memory = Memory::new(Duration::from_millis(50));
    memory.put(table, key, value);
    let node = start_node("a", &memory).await;
    let until = clock::now() + TIMEOUT;
    loop {
        let deadline = clock::now() + Duration::from_secs(2);
        if node.submit(record("good"), deadline).await == SubmitOutcome::Accepted
            && node.job("q", "good", Some(&"t".into())).await == COMPLETED
        {
            assert_eq!(
                memory.owner().epoch,
                1,
                "a fault that ends the owner makes it take over again"
            );
            return;
        }
        assert!(clock::now() < until, "the job has not completed");
        tokio::time::sleep(PAUSE).await;
    }
}
