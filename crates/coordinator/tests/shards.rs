//! A fleet of several shards, each with an owner of its own.

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
use memory::start_node_with_cpu;
use scheduler::FinalState;
use scheduler::JobRecord;
use scheduler::JobView;
use scheduler::Resources;
use scheduler::ShardIndex;
use scheduler::Step;
use scheduler::TeamName;

const SHARDS: usize = 3;
/// Time limit for everything that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of what a test waits for.
const PAUSE: Duration = Duration::from_millis(20);
/// A quota that limits nothing here.
const LARGE_QUOTA_UNITS: u64 = 1_000;
const COMPLETED: JobLookup = JobLookup::Found(JobView::Ended(FinalState::Completed));

fn team() -> Option<TeamName> {
    Some("t".into())
}

/// Returns a job of `unit_count` units of one core each.
fn record(number: u64, unit_count: u32) -> JobRecord {
    let requested = Resources { cpu_millis: 1_000, memory_mb: 100, gpus: 0 };
    JobRecord {
        id: job_id(number).as_str().into(),
        queue: "q".into(),
        pool: "p".into(),
        team: team(),
        steps: vec![Step { count: unit_count, requested, estimate_ms: 100, ..Step::default() }],
        accepted_ms: clock::unix_now_ms(),
        ..JobRecord::default()
    }
}

fn job_id(number: u64) -> String {
    format!("{number:016x}")
}

async fn submit(node: &Node<Memory>, number: u64, unit_count: u32) -> SubmitOutcome {
    node.submit(record(number, unit_count), clock::now() + Duration::from_secs(3)).await
}

async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let until = clock::now() + TIMEOUT;
    while !condition().await {
        assert!(clock::now() < until, "not reached: {what}");
        tokio::time::sleep(PAUSE).await;
    }
}

async fn wait_completed(node: &Node<Memory>, numbers: std::ops::Range<u64>) {
    for number in numbers {
        let id = job_id(number);
        let is_completed = async || node.job("q", &id, team().as_ref()).await == COMPLETED;
        wait_until(&format!("{id} is completed"), is_completed).await;
    }
}

async fn wait_ready(node: &Node<Memory>) {
    wait_until("the node is ready", async || node.is_ready()).await;
}

fn owners(memory: &Memory) -> Vec<String> {
    (0..SHARDS as ShardIndex).map(|shard| memory.owner_of(shard).node).collect()
}

#[tokio::test]
async fn any_node_finds_the_jobs_of_all_shards() {
    let memory = Memory::with_hosts(Duration::from_millis(50), SHARDS, LARGE_QUOTA_UNITS);
    let first = start_node("n1", &memory).await;
    let second = start_node("n2", &memory).await;
    wait_ready(&first).await;
    wait_ready(&second).await;
    wait_until("each shard has an owner", async || owners(&memory).iter().all(|o| !o.is_empty()))
        .await;
    for number in 0..12 {
        let node = if number % 2 == 0 { &first } else { &second };
        assert_eq!(submit(node, number, 2).await, SubmitOutcome::Accepted);
    }
    wait_completed(&first, 0..12).await;
    wait_completed(&second, 0..12).await;
    let mut starts: Vec<String> =
        memory.starts().iter().map(|(unit, run, _)| format!("{unit} {run}")).collect();
    starts.sort();
    starts.dedup();
    assert_eq!(starts.len(), 24, "each unit is started once");
    assert_eq!(second.job("q", "ffff", team().as_ref()).await, JobLookup::NoJob);
    assert_eq!(second.waiting(&"q".into()).await, Some(0));
}

#[tokio::test]
async fn nodes_of_equal_strength_divide_the_shards_among_themselves() {
    let memory = Memory::with_hosts(Duration::from_millis(50), SHARDS, LARGE_QUOTA_UNITS);
    let names = ["n1", "n2", "n3"];
    let mut nodes = Vec::new();
    for name in names {
        nodes.push(start_node_with_cpu(name, 500, &memory).await);
    }
    let are_divided = async || {
        let mut owners = owners(&memory);
        owners.sort();
        owners == names
    };
    wait_until("each node owns one shard", are_divided).await;
}

#[tokio::test]
async fn other_shards_work_on_while_one_is_taken_over() {
    let memory = Memory::with_hosts(Duration::from_millis(50), SHARDS, LARGE_QUOTA_UNITS);
    let first = start_node_with_cpu("n1", 500, &memory).await;
    wait_ready(&first).await;
    wait_until("the first node owns all shards", async || owners(&memory) == ["n1"; SHARDS]).await;
    let second = start_node_with_cpu("n2", 500, &memory).await;
    wait_ready(&second).await;
    let has_shard = async || owners(&memory).iter().any(|owner| owner == "n2");
    wait_until("the second node owns a shard", has_shard).await;
    first.start_shutdown().await;
    first.shut_down(Duration::ZERO).await;
    for number in 0..9 {
        assert_eq!(submit(&second, number, 1).await, SubmitOutcome::Accepted);
    }
    wait_completed(&second, 0..9).await;
    wait_until("the second node owns all shards", async || owners(&memory) == ["n2"; SHARDS]).await;
}

#[tokio::test]
async fn a_quota_holds_over_all_shards_and_wide_jobs_collect_it() {
    // Each job requests nearly all of the quota, and all jobs together many times as much.
    const QUOTA_UNITS: u64 = 6;
    let memory = Memory::with_hosts(Duration::from_millis(40), SHARDS, QUOTA_UNITS);
    let node = start_node("n1", &memory).await;
    wait_ready(&node).await;
    for number in 0..24 {
        assert_eq!(submit(&node, number, 5).await, SubmitOutcome::Accepted);
    }
    wait_completed(&node, 0..24).await;
    let running_max = memory.running_max() as u64;
    assert!(running_max <= QUOTA_UNITS, "{running_max} units at a time");
    assert!(running_max >= 5, "one shard collects the portion of a job: {running_max}");
    assert!(!memory.rows(Table::Divisions).is_empty());
}

#[tokio::test]
async fn a_quota_holds_while_replies_of_the_table_are_lost() {
    const QUOTA_UNITS: u64 = 6;
    let memory = Memory::with_hosts(Duration::from_millis(40), SHARDS, QUOTA_UNITS);
    let node = start_node("n1", &memory).await;
    wait_ready(&node).await;
    for number in 0..12 {
        assert_eq!(submit(&node, number, 5).await, SubmitOutcome::Accepted);
    }
    for _ in 0..4 {
        memory.set_fault(TableFault::LosesReplies);
        tokio::time::sleep(Duration::from_millis(150)).await;
        memory.set_fault(TableFault::None);
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    wait_completed(&node, 0..12).await;
    let running_max = memory.running_max() as u64;
    assert!(running_max <= QUOTA_UNITS, "{running_max} units at a time");
}

#[tokio::test]
async fn each_owner_takes_the_requests_of_its_shard_from_the_inbox() {
    let memory = Memory::with_hosts(Duration::from_millis(50), SHARDS, LARGE_QUOTA_UNITS);
    for number in 0..9 {
        let key = format!("submit/{}", job_id(number));
        memory.put_inbox(&key, &InboxRow::Submit(record(number, 1)));
    }
    let node = start_node("n1", &memory).await;
    wait_ready(&node).await;
    wait_completed(&node, 0..9).await;
    wait_until("the inbox is empty", async || memory.rows(Table::Inbox).is_empty()).await;
    assert_eq!(memory.starts().len(), 9);
}
