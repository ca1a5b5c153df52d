//! Nodes on a platform in memory, from submission to completion: runs, cancellations, takeovers,
//! and a table that fails.

#[path = "common/memory.rs"]
mod memory;

use std::time::Duration;

use bytes::Bytes;
use coordinator::JobLookup;
use coordinator::Node;
use coordinator::Refusal;
use coordinator::SubmitOutcome;
use coordinator::caller_api::CancelResult;
use coordinator::caller_api::Unstorable;
use coordinator::clock;
use coordinator::ports::Store;
use coordinator::ports::Table;
use coordinator::rows;
use coordinator::rows::DURATIONS_KEY;
use coordinator::rows::InboxRow;
use memory::Memory;
use memory::TableFault;
use memory::config;
use memory::start_node;
use memory::start_node_with_cpu;
use scheduler::DurationsRow;
use scheduler::FinalState;
use scheduler::JobRecord;
use scheduler::JobView;
use scheduler::Policy;
use scheduler::Resources;
use scheduler::Step;
use scheduler::TeamName;

/// Number of tokens that belong to one epoch.
const TOKENS_PER_EPOCH: u64 = 1 << 20;
/// Time limit for everything that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of what a test waits for.
const PAUSE: Duration = Duration::from_millis(20);

fn record(id: &str) -> JobRecord {
    let requested = Resources { cpu_millis: 1_000, memory_mb: 100, gpus: 0 };
    let first = Step { count: 2, requested, estimate_ms: 100, ..Step::default() };
    let second = Step { depends_on: vec![0], count: 1, ..first.clone() };
    JobRecord {
        id: id.into(),
        queue: "q".into(),
        pool: "p".into(),
        team: Some("t".into()),
        steps: vec![first, second],
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

async fn wait_for(node: &Node<Memory>, id: &str, wanted: JobLookup) {
    let until = clock::now() + TIMEOUT;
    loop {
        let found = node.job("q", id, team().as_ref()).await;
        if found == wanted {
            return;
        }
        assert!(clock::now() < until, "{id} is {found:?}, not {wanted:?}");
        tokio::time::sleep(PAUSE).await;
    }
}

async fn wait_ready(node: &Node<Memory>) {
    let until = clock::now() + TIMEOUT;
    while !node.is_ready() {
        assert!(clock::now() < until, "the node is not ready");
        tokio::time::sleep(PAUSE).await;
    }
}

const COMPLETED: JobLookup = JobLookup::Found(JobView::Ended(FinalState::Completed));

/// A row of learned durations that cannot be read must not keep a node from taking over; what is
/// learned anew replaces it.
#[tokio::test]
async fn an_unreadable_row_of_durations_is_replaced() {
    let memory = Memory::new(Duration::from_millis(50));
    let memory = memory.with_policies(&[Policy::LearnedDurations]);
    memory.put(Table::Owner, DURATIONS_KEY, Bytes::from_static(b"{\"kinds\":7}"));
    let node = start_node("a", &memory).await;
    wait_ready(&node).await;
    assert_eq!(submit(&node, "j").await, SubmitOutcome::Accepted);
    wait_for(&node, "j", COMPLETED).await;
    let until = clock::now() + TIMEOUT;
    loop {
        let row = memory.get(0, Table::Owner, DURATIONS_KEY).await.unwrap().unwrap();
        if rows::decode::<DurationsRow>(&row.key, &row.value).is_ok() {
            return;
        }
        assert!(clock::now() < until, "the row is still unreadable");
        tokio::time::sleep(PAUSE).await;
    }
}

#[tokio::test]
async fn any_node_reports_a_completed_job() {
    let memory = Memory::new(Duration::from_millis(50));
    let first = start_node("n1", &memory).await;
    let second = start_node("n2", &memory).await;
    wait_ready(&first).await;
    wait_ready(&second).await;
    assert_eq!(submit(&second, "a").await, SubmitOutcome::Accepted);
    assert_eq!(submit(&first, "a").await, SubmitOutcome::Accepted, "it remains one job");
    wait_for(&first, "a", COMPLETED).await;
    wait_for(&second, "a", COMPLETED).await;
    assert_eq!(memory.starts().len(), 3);
    assert!(!memory.has_job("a"), "the record of a finished job is removed");
    let other: TeamName = "u".into();
    assert_eq!(second.job("q", "a", Some(&other)).await, JobLookup::OtherTeam);
    assert_eq!(second.job("q", "b", team().as_ref()).await, JobLookup::NoJob);
}

#[tokio::test]
async fn a_job_is_stored_before_it_is_accepted() {
    let memory = Memory::new(Duration::from_secs(60));
    let node = start_node("n1", &memory).await;
    wait_ready(&node).await;
    assert_eq!(submit(&node, "a").await, SubmitOutcome::Accepted);
    let stored = memory.has_job("a") || memory.rows(Table::Inbox) == ["submit/a"];
    assert!(stored);
}

#[tokio::test]
async fn a_job_refused_during_an_outage_never_runs() {
    let memory = Memory::new(Duration::from_millis(50));
    let node = start_node("n1", &memory).await;
    wait_ready(&node).await;
    assert_eq!(submit(&node, "a").await, SubmitOutcome::Accepted);
    memory.set_fault(TableFault::Unavailable);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let refused = submit(&node, "b").await;
    assert!(matches!(refused, SubmitOutcome::NotStored { .. }), "{refused:?}");
    memory.set_fault(TableFault::None);
    wait_for(&node, "a", COMPLETED).await;
    assert_eq!(node.job("q", "b", team().as_ref()).await, JobLookup::NoJob);
    assert!(memory.starts().iter().all(|(unit, _, _)| &*unit.job == "a"));
}

#[tokio::test]
async fn a_submission_whose_reply_was_lost_runs_once() {
    let memory = Memory::new(Duration::from_millis(50));
    let node = start_node("n1", &memory).await;
    wait_ready(&node).await;
    assert_eq!(submit(&node, "a").await, SubmitOutcome::Accepted);
    memory.set_fault(TableFault::LosesReplies);
    let outcome = tokio::time::timeout(Duration::from_millis(400), submit(&node, "b")).await;
    // The submission may still wait for its result. If it has one, the owner has found its own row
    // in the table, which shows that the transaction was committed.
    if let Ok(outcome) = outcome {
        assert_ne!(outcome, SubmitOutcome::NotStored { retry_after: Duration::from_secs(1) });
    }
    memory.set_fault(TableFault::None);
    wait_for(&node, "b", COMPLETED).await;
    assert_eq!(memory.starts().len(), 6, "each unit of both jobs is started once");
}

/// Guards against an owner that waits for the time limit of a call, and starts nothing meanwhile,
/// when the table commits its transactions but the replies are lost.
#[tokio::test]
async fn a_lost_reply_of_the_table_does_not_stop_the_owner() {
    let memory = Memory::new(Duration::from_millis(50));
    let node = start_node("n1", &memory).await;
    wait_ready(&node).await;
    assert_eq!(submit(&node, "a").await, SubmitOutcome::Accepted);
    wait_for(&node, "a", COMPLETED).await;
    memory.hang_writes(2);
    let outcome = tokio::time::timeout(Duration::from_millis(900), submit(&node, "b")).await;
    assert_eq!(outcome, Ok(SubmitOutcome::Accepted));
    wait_for(&node, "b", COMPLETED).await;
    assert_eq!(memory.starts().len(), 6, "each unit of both jobs is started once");
}

/// Guards against a worker that gets no runs any more, since one read of the registry shows that it
/// was removed and registered again.
#[tokio::test]
async fn a_worker_that_has_registered_again_gets_runs() {
    let memory = Memory::new(Duration::from_millis(50));
    memory.register_workers_again();
    let node = start_node("n1", &memory).await;
    wait_ready(&node).await;
    assert_eq!(submit(&node, "a").await, SubmitOutcome::Accepted);
    wait_for(&node, "a", COMPLETED).await;
}

#[tokio::test]
async fn a_cancelled_job_starts_no_more_units() {
    let memory = Memory::new(Duration::from_secs(60));
    let node = start_node("n1", &memory).await;
    wait_ready(&node).await;
    assert_eq!(submit(&node, "a").await, SubmitOutcome::Accepted);
    assert_eq!(node.cancel("q", "a", team().as_ref()).await, CancelResult::Done);
    wait_for(&node, "a", JobLookup::Found(JobView::Ended(FinalState::Cancelled))).await;
    let starts = memory.starts().len();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(memory.starts().len(), starts);
    assert_eq!(node.cancel("q", "b", team().as_ref()).await, CancelResult::NoJob);
}

#[tokio::test]
async fn a_takeover_does_not_start_running_units_again() {
    let memory = Memory::new(Duration::from_millis(1_500));
    let first = start_node("n1", &memory).await;
    wait_ready(&first).await;
    assert_eq!(submit(&first, "a").await, SubmitOutcome::Accepted);
    wait_for(&first, "a", JobLookup::Found(JobView::Running)).await;
    let second = start_node("n2", &memory).await;
    wait_ready(&second).await;
    first.start_shutdown().await;
    first.shut_down(Duration::ZERO).await;
    wait_for(&second, "a", COMPLETED).await;
    let starts = memory.starts();
    assert_eq!(starts.len(), 3, "no unit is started twice: {starts:?}");
    let epoch = starts[2].2 / TOKENS_PER_EPOCH;
    assert_eq!(epoch, 2, "the last start carries a token of the second owner");
}

#[tokio::test]
async fn a_new_owner_handles_a_cancellation_in_the_inbox_before_it_starts_runs() {
    let memory = Memory::new(Duration::from_secs(60));
    memory.put_inbox("submit/a", &InboxRow::Submit(record("a")));
    memory.put_inbox("cancel/a", &InboxRow::Cancel { job: "a".to_owned(), shard: 0 });
    let node = start_node("n1", &memory).await;
    wait_for(&node, "a", JobLookup::Found(JobView::Ended(FinalState::Cancelled))).await;
    assert!(memory.starts().is_empty());
    let until = clock::now() + TIMEOUT;
    while !memory.rows(Table::Inbox).is_empty() {
        assert!(clock::now() < until, "the rows of the inbox are not removed");
        tokio::time::sleep(PAUSE).await;
    }
}

#[tokio::test]
async fn a_late_owner_does_not_ask_for_changes_that_are_no_longer_kept() {
    let memory = Memory::new(Duration::from_millis(50));
    // A row was written and removed, and the changes were dropped, long before the owner starts;
    // its inbox is empty.
    memory.put_inbox("submit/a", &InboxRow::Submit(record("a")));
    memory.remove_inbox("submit/a");
    memory.drop_history();
    let node = start_node("n1", &memory).await;
    wait_ready(&node).await;
    assert_eq!(submit(&node, "b").await, SubmitOutcome::Accepted);
    wait_for(&node, "b", COMPLETED).await;
    assert_eq!(memory.refused_change_reads(), 0);
}

#[tokio::test]
async fn a_host_command_without_a_reply_is_repeated_with_a_higher_token() {
    let memory = Memory::new(Duration::from_millis(50));
    memory.add_wave();
    let node = start_node("n1", &memory).await;
    wait_ready(&node).await;
    let until = clock::now() + TIMEOUT;
    while memory.host_tokens().len() < 2 {
        assert!(clock::now() < until, "no second command");
        tokio::time::sleep(PAUSE).await;
    }
    let tokens = memory.host_tokens();
    assert!(tokens[0] < tokens[1], "{tokens:?}");
}

#[tokio::test]
async fn a_request_is_refused_for_an_unknown_path_or_key() {
    let memory = Memory::new(Duration::from_millis(50));
    let node = start_node("n1", &memory).await;
    wait_ready(&node).await;
    let access = |host, path, key| node.access(host, path, key, clock::now());
    let allowed = access("jobs.example:80", "/q/0123456789abcdef", Some("key")).unwrap();
    assert_eq!((&*allowed.queue, allowed.rest.as_str()), ("q", "0123456789abcdef"));
    assert_eq!(access("jobs.example", "/r/1", Some("key")), Err(Refusal::NoQueue));
    assert_eq!(access("jobs.example", "/q/1", Some("other")), Err(Refusal::UnknownKey));
    assert_eq!(access("jobs.example", "/q/1", None), Err(Refusal::UnknownKey));
    // With a configuration that may be outdated, nothing is denied and no key is accepted.
    let later = clock::now() + Duration::from_secs(60);
    let old = node.access("jobs.example", "/q/1", Some("key"), later);
    assert!(matches!(old, Err(Refusal::Stale { .. })));
    let old = node.access("jobs.example", "/r/1", None, later);
    assert!(matches!(old, Err(Refusal::Stale { .. })));
}

/// Guards against a job that loses the attempts and the pool of its queue as soon as a version of the
/// configuration drops that: its row has the settings under which it was accepted.
#[tokio::test]
async fn an_accepted_job_is_stored_with_the_settings_of_its_queue() {
    let memory = Memory::new(Duration::from_millis(50));
    let node = start_node("n1", &memory).await;
    wait_ready(&node).await;
    let access = node.access("jobs.example", "/q/1", Some("key"), clock::now()).unwrap();
    let record = access.accept(JobRecord::default(), 7);
    let row = serde_json::to_vec(&record).unwrap();
    let restored: JobRecord = serde_json::from_slice(&row).unwrap();
    let queue = config().scheduling.queues.get("q").cloned();
    assert_eq!(restored.queue_settings.map(|queue| *queue), queue);
    assert_eq!((&*restored.queue, &*restored.pool, restored.accepted_ms), ("q", "p", 7));
    let earlier: JobRecord = serde_json::from_str("{}").unwrap();
    assert_eq!(earlier.queue_settings, None);
}

#[tokio::test]
async fn a_weak_owner_hands_the_ownership_to_a_stronger_node() {
    let memory = Memory::new(Duration::from_millis(50));
    let weak = start_node_with_cpu("n1", 120, &memory).await;
    wait_ready(&weak).await;
    assert_eq!(submit(&weak, "a").await, SubmitOutcome::Accepted);
    let strong = start_node_with_cpu("n2", 500, &memory).await;
    wait_ready(&strong).await;
    let until = clock::now() + TIMEOUT;
    while memory.owner().node != "n2" {
        assert!(clock::now() < until, "{:?}", memory.owner());
        tokio::time::sleep(PAUSE).await;
    }
    assert_eq!(submit(&weak, "b").await, SubmitOutcome::Accepted);
    wait_for(&weak, "b", COMPLETED).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(memory.owner().epoch, 2, "the ownership stays there");
}

#[tokio::test]
async fn a_slow_table_causes_neither_a_takeover_nor_refused_jobs() {
    let memory = Memory::new(Duration::from_millis(50));
    let first = start_node("n1", &memory).await;
    wait_ready(&first).await;
    assert_eq!(submit(&first, "a").await, SubmitOutcome::Accepted);
    let second = start_node("n2", &memory).await;
    wait_ready(&second).await;
    memory.set_fault(TableFault::Slow);
    // The submissions are spread over several transactions, whatever is in flight when they arrive.
    for id in ["b", "c", "d", "e"] {
        assert_eq!(submit(&second, id).await, SubmitOutcome::Accepted, "{id}");
        tokio::time::sleep(Duration::from_millis(350)).await;
    }
    assert_eq!(memory.owner().epoch, 1);
    assert!(memory.rows(Table::Inbox).is_empty(), "the owner accepts all of them");
    wait_for(&second, "e", COMPLETED).await;
}

#[tokio::test]
async fn a_fault_of_the_program_ends_neither_the_node_nor_its_elections() {
    let memory = Memory::new(Duration::from_millis(50));
    memory.panic_on_reads(2);
    let node = start_node("n1", &memory).await;
    wait_ready(&node).await;
    assert_eq!(submit(&node, "a").await, SubmitOutcome::Accepted);
    wait_for(&node, "a", COMPLETED).await;
}

/// Guards against an owner that can store nothing any more: a job that is larger than a row of the
/// store was accepted into a transaction that the store refuses for good.
#[tokio::test]
async fn a_job_that_no_row_holds_is_refused_at_once() {
    let memory = Memory::new(Duration::from_millis(50));
    let node = start_node("n1", &memory).await;
    wait_ready(&node).await;
    let step = Step { label: Some("l".repeat(2_000)), ..record("large").steps[0].clone() };
    let large = JobRecord { steps: vec![step; 30], ..record("large") };
    let outcome = node.submit(large, clock::now() + Duration::from_secs(3)).await;
    assert!(matches!(outcome, SubmitOutcome::Unstorable(Unstorable::Record { .. })), "{outcome:?}");
    let units = Step { count: 10_000, ..record("many").steps[0].clone() };
    let many = JobRecord { steps: vec![units; 200], ..record("many") };
    let outcome = node.submit(many, clock::now() + Duration::from_secs(3)).await;
    assert!(matches!(outcome, SubmitOutcome::Unstorable(Unstorable::Progress(_))), "{outcome:?}");
    assert_eq!(submit(&node, "small").await, SubmitOutcome::Accepted);
    wait_for(&node, "small", COMPLETED).await;
}
