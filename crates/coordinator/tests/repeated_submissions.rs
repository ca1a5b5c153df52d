//! Requests for a job that is being stored already, beside a table that refuses transactions. A
//! caller sends its request again, to any node, after its connection broke.

#[path = "common/memory.rs"]
mod memory;

use std::sync::Arc;
use std::time::Duration;

use coordinator::JobLookup;
use coordinator::Node;
use coordinator::SubmitOutcome;
use coordinator::clock;
use coordinator::ports::Table;
use coordinator::rows::InboxRow;
use memory::Memory;
use memory::TableFault;
use memory::start_node;
use scheduler::FinalState;
use scheduler::JobRecord;
use scheduler::JobView;
use scheduler::Resources;
use scheduler::Step;
use scheduler::UnitKey;
use tokio::task::JoinSet;

/// Time limit for everything that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of what a test waits for.
const PAUSE: Duration = Duration::from_millis(20);
/// Time between two requests for the same job, below that of a transaction of a slow table.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);
/// Time for which the table refuses transactions; within it, several are sent.
const REFUSAL_TIME: Duration = Duration::from_millis(1_200);

fn record(id: &str) -> JobRecord {
    let requested = Resources { cpu_millis: 1_000, memory_mb: 100, gpus: 0 };
    JobRecord {
        id: id.into(),
        queue: "q".into(),
        pool: "p".into(),
        team: Some("t".into()),
        steps: vec![Step { count: 2, requested, estimate_ms: 100, ..Step::default() }],
        accepted_ms: clock::unix_now_ms(),
        ..JobRecord::default()
    }
}

async fn submit(node: &Node<Memory>, id: &str) -> SubmitOutcome {
    node.submit(record(id), clock::now() + Duration::from_secs(8)).await
}

async fn wait_until(what: &str, mut is_so: impl AsyncFnMut() -> bool) {
    let until = clock::now() + TIMEOUT;
    while !is_so().await {
        assert!(clock::now() < until, "{what}");
        tokio::time::sleep(PAUSE).await;
    }
}

/// Starts a node that is the owner and whose worker has replied, which a first job shows.
async fn start_owner(memory: &Memory) -> Node<Memory> {
    let node = start_node("n1", memory).await;
    memory.put_inbox("submit/first", &InboxRow::Submit(record("first")));
    wait_until("the first job has not started", async || memory.starts().len() == 2).await;
    node
}

fn starts_of(memory: &Memory, id: &str) -> Vec<(UnitKey, u32, u64)> {
    memory.starts().into_iter().filter(|(unit, ..)| *unit.job == *id).collect()
}

/// Guards against units that run twice: a request for a job whose transaction was in flight was
/// queued for the next transaction. When the table refused that one, the stored job was withdrawn,
/// and its units were started once more after the caller's next request.
#[tokio::test]
async fn a_stored_job_stays_when_the_next_transaction_is_refused() {
    let memory = Memory::new(Duration::from_secs(60));
    let node = Arc::new(start_owner(&memory).await);
    memory.set_fault(TableFault::Slow);
    let mut callers = JoinSet::new();
    for _ in 0..12 {
        let node = node.clone();
        callers.spawn(async move { submit(&node, "a").await });
        tokio::time::sleep(REPEAT_PAUSE).await;
        if memory.has_job("a") {
            break;
        }
    }
    wait_until("the job is not stored", async || memory.has_job("a")).await;
    memory.set_fault(TableFault::Unavailable);
    tokio::time::sleep(REFUSAL_TIME).await;
    memory.set_fault(TableFault::None);
    let outcomes = callers.join_all().await;
    assert!(outcomes.iter().all(|outcome| *outcome == SubmitOutcome::Accepted), "{outcomes:?}");
    assert_eq!(submit(&node, "a").await, SubmitOutcome::Accepted);
    wait_until("the units don't start", async || starts_of(&memory, "a").len() >= 2).await;
    tokio::time::sleep(REFUSAL_TIME).await;
    let starts = starts_of(&memory, "a");
    assert_eq!(starts.len(), 2, "{starts:?}");
}

/// Guards against an accepted job that is lost: a caller's request for a job that the inbox holds
/// was in the same transaction as the inbox's. When the table refused the transaction, the caller's
/// refusal took the job out of it, and the row of the inbox was removed as if the job were stored.
#[tokio::test]
async fn a_job_of_the_inbox_stays_when_a_request_for_it_is_refused() {
    let memory = Memory::new(Duration::from_millis(50));
    let node = Arc::new(start_owner(&memory).await);
    memory.set_fault(TableFault::Slow);
    // A transaction that is sent now is in flight while both requests arrive.
    wait_until("no transaction is sent", async || memory.writes_in_progress() > 0).await;
    let caller = tokio::spawn({
        let node = node.clone();
        async move { submit(&node, "a").await }
    });
    memory.put_inbox("submit/a", &InboxRow::Submit(record("a")));
    let sequence = memory.owner().sequence;
    wait_until("nothing is stored", async || memory.owner().sequence > sequence).await;
    wait_until("the job is not sent", async || memory.writes_in_progress() > 0).await;
    memory.set_fault(TableFault::Unavailable);
    tokio::time::sleep(REFUSAL_TIME).await;
    memory.set_fault(TableFault::None);
    caller.await.unwrap();
    let completed = JobLookup::Found(JobView::Ended(FinalState::Completed));
    let team = Some("t".into());
    wait_until("the job is lost", async || node.job("q", "a", team.as_ref()).await == completed)
        .await;
    assert_eq!(starts_of(&memory, "a").len(), 2);
    wait_until("the row stays", async || memory.rows(Table::Inbox).is_empty()).await;
}
/// Guards against two runs after a takeover: a transaction that was sent again without the jobs
/// that were refused still assigned their units to workers. After the caller's next request the
/// same run numbers were given to other workers, and a successor couldn't tell which run exists.
#[tokio::test]
async fn a_refused_job_leaves_no_assignment() {
    let memory = Memory::new(Duration::from_secs(60));
    let node = Arc::new(start_owner(&memory).await);
    memory.set_fault(TableFault::Unavailable);
    let outcome = submit(&node, "a").await;
    assert!(matches!(outcome, SubmitOutcome::NotStored { .. }), "{outcome:?}");
    memory.set_fault(TableFault::None);
    let renewed = memory.owner().sequence + 2;
    wait_until("nothing is stored", async || memory.owner().sequence > renewed).await;
    let assignments = memory.values(Table::Assignments);
    let names_job = |value: &bytes::Bytes| value.windows(4).any(|part| part == b"\"a.0");
    assert!(!assignments.iter().any(names_job), "{assignments:?}");
}
