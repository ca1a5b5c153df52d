//! Refused submissions between nodes: a refused job is stored nowhere and never runs.

#[path = "common/memory.rs"]
mod memory;

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
use scheduler::JobRecord;
use scheduler::JobView;
use scheduler::Policy;
use scheduler::Resources;
use scheduler::Step;
use scheduler::TeamName;

/// Time limit for everything that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of what a test waits for.
const PAUSE: Duration = Duration::from_millis(20);
/// Time for which a new owner refuses nothing, and a little more.
const WARM_UP_TIME: Duration = Duration::from_millis(2_700);

/// Returns a job whose units keep the only worker busy for 6.25 s; it is useful for 6.6 s.
fn record(id: &str) -> JobRecord {
    let requested = Resources { cpu_millis: 1_000, memory_mb: 100, gpus: 0 };
    let step = Step { count: 100, requested, estimate_ms: 1_000, ..Step::default() };
    JobRecord {
        id: id.into(),
        queue: "q".into(),
        pool: "p".into(),
        team: team(),
        steps: vec![step],
        accepted_ms: clock::unix_now_ms(),
        ..JobRecord::default()
    }
}

fn team() -> Option<TeamName> {
    Some("t".into())
}

async fn submit(node: &Node<Memory>, id: &str) -> SubmitOutcome {
    node.submit(record(id), clock::now() + Duration::from_secs(3)).await
}

async fn start_ready_node(name: &str, memory: &Memory) -> Node<Memory> {
    let node = start_node(name, memory).await;
    let until = clock::now() + TIMEOUT;
    while !node.is_ready() {
        assert!(clock::now() < until, "the node is not ready");
        tokio::time::sleep(PAUSE).await;
    }
    node
}

/// Submits jobs that fill the pool until one is refused; returns its id.
async fn submit_until_refused(node: &Node<Memory>) -> String {
    for number in 0..10 {
        let id = format!("fill-{number}");
        match submit(node, &id).await {
            SubmitOutcome::Accepted => tokio::time::sleep(PAUSE * 6).await,
            SubmitOutcome::Rejected(rejection) => {
                let retry_s = rejection.retry_after.as_secs();
                assert!((1..=30).contains(&retry_s), "{rejection:?}");
                assert!(rejection.end_in > rejection.start_in, "{rejection:?}");
                return id;
            }
            other => panic!("{other:?}"),
        }
    }
    panic!("ten jobs that take the pool a minute are all accepted");
}

/// Failure: the node that has the caller's connection is not the owner. It must pass the refusal on
/// and must not store the job in the inbox.
#[tokio::test]
async fn a_refusal_passes_through_another_node_and_stores_nothing() {
    let memory = Memory::new(Duration::from_secs(60)).with_policies(&[Policy::Admission], 0.0);
    let owner = start_ready_node("n1", &memory).await;
    let other = start_ready_node("n2", &memory).await;
    tokio::time::sleep(WARM_UP_TIME).await;
    let refused = submit_until_refused(&other).await;
    assert!(matches!(submit(&owner, &refused).await, SubmitOutcome::Rejected(_)));
    assert!(memory.rows(Table::Inbox).is_empty());
    assert!(!memory.has_job(&refused));
    assert_eq!(other.job("q", &refused, team().as_ref()).await, JobLookup::NoJob);
    // A job that is stored is never refused.
    assert_eq!(submit(&other, "fill-0").await, SubmitOutcome::Accepted);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(memory.starts().iter().all(|(unit, ..)| *unit.job != *refused));
}

/// Failure: an earlier submission of a refused job is stored in the inbox late, by a node that did
/// not reach the owner. It must not run; one after the refusal runs.
#[tokio::test]
async fn a_late_submission_of_a_refused_job_does_not_run() {
    let memory = Memory::new(Duration::from_secs(60)).with_policies(&[Policy::Admission], 0.0);
    let node = start_ready_node("n1", &memory).await;
    tokio::time::sleep(WARM_UP_TIME).await;
    let early = record("fill-1");
    let refused = submit_until_refused(&node).await;
    let id = refused.as_str();
    let key = format!("submit/{id}");
    memory.put_inbox(&key, &InboxRow::Submit(JobRecord { id: id.into(), ..early }));
    let until = clock::now() + TIMEOUT;
    while !memory.rows(Table::Inbox).is_empty() {
        assert!(clock::now() < until, "the row of the inbox is not removed");
        tokio::time::sleep(PAUSE).await;
    }
    assert_eq!(node.job("q", id, team().as_ref()).await, JobLookup::NoJob);
    memory.put_inbox(&key, &InboxRow::Submit(record(id)));
    let until = clock::now() + TIMEOUT;
    while node.job("q", id, team().as_ref()).await != JobLookup::Found(JobView::Queued) {
        assert!(clock::now() < until, "the later submission is not accepted");
        tokio::time::sleep(PAUSE).await;
    }
}

/// Failure: the table fails while callers are refused. They get the answer of an outage, which says
/// as well that the job is not stored.
#[tokio::test]
async fn an_outage_keeps_its_own_answer() {
    let memory = Memory::new(Duration::from_secs(60)).with_policies(&[Policy::Admission], 0.0);
    let node = start_ready_node("n1", &memory).await;
    tokio::time::sleep(WARM_UP_TIME).await;
    let refused = submit_until_refused(&node).await;
    memory.set_fault(TableFault::Unavailable);
    tokio::time::sleep(Duration::from_millis(900)).await;
    let outcome = submit(&node, &refused).await;
    assert!(matches!(outcome, SubmitOutcome::NotStored { .. }), "{outcome:?}");
    memory.set_fault(TableFault::None);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(node.job("q", &refused, team().as_ref()).await, JobLookup::NoJob);
}
