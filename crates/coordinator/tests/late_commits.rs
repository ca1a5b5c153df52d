//! Replies to transactions that an owner handles so late that its successor may have started the
//! same units, or commanded other hosts, in the meantime. Workers and hosts that the successor
//! cannot reach have not seen its fencing token and accept the commands of the earlier owner.

#[path = "common/memory.rs"]
mod memory;

use std::time::Duration;

use coordinator::Node;
use coordinator::clock;
use coordinator::rows::InboxRow;
use memory::Memory;
use memory::TableFault;
use memory::start_node;
use scheduler::JobRecord;
use scheduler::Resources;
use scheduler::Step;
use scheduler::UnitKey;

/// Time limit for everything that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of what a test waits for.
const PAUSE: Duration = Duration::from_millis(20);
/// Longer than an owner may act after it has sent its last committed transaction.
const REPLY_DELAY: Duration = Duration::from_millis(4_000);
/// Longer than the time between two polls of a worker with runs, and below half of the time for which
/// an owner may act.
const RELEASE_REPLY_DELAY: Duration = Duration::from_millis(1_500);
/// Longer than a poll of an idle worker.
const IDLE_POLL_TIME: Duration = Duration::from_millis(2_500);
/// Time in which two replies arrive.
const OBSERVED_TIME: Duration = Duration::from_millis(9_000);

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

/// Starts a node and waits until it is the owner and its worker has replied, which a first job
/// shows.
async fn start_owner(memory: &Memory) -> Node<Memory> {
    let node = start_node("n1", memory).await;
    memory.put_inbox("submit/first", &InboxRow::Submit(record("first")));
    let until = clock::now() + TIMEOUT;
    while memory.starts().is_empty() || memory.has_job("first") {
        assert!(clock::now() < until, "the first job has not finished");
        tokio::time::sleep(PAUSE).await;
    }
    node
}

/// Guards against two runs of a unit at the same time: an owner was suspended while the reply to
/// the transaction that stored the run was on its way, and sent the start command when it resumed,
/// after its successor had started the unit on another worker.
#[tokio::test]
async fn no_run_is_started_after_the_ownership_has_expired() {
    let memory = Memory::new(Duration::from_millis(50));
    let _node = start_owner(&memory).await;
    memory.delay_replies(REPLY_DELAY);
    memory.put_inbox("submit/late", &InboxRow::Submit(record("late")));
    tokio::time::sleep(OBSERVED_TIME).await;
    let is_late = |(unit, ..): &(UnitKey, u32, u64)| *unit.job == *"late";
    let starts: Vec<_> = memory.starts().into_iter().filter(is_late).collect();
    assert!(starts.is_empty(), "{starts:?}");
    memory.delay_replies(Duration::ZERO);
    let until = clock::now() + TIMEOUT;
    while memory.has_job("late") || memory.starts().len() < 2 {
        assert!(clock::now() < until, "the job does not run");
        tokio::time::sleep(PAUSE).await;
    }
}

/// Guards against more hosts in maintenance than a wave allows: an owner was suspended while the
/// reply to the transaction that stored the command was on its way, and sent the command when it
/// resumed, after its successor had commanded other hosts.
#[tokio::test]
async fn no_command_to_a_host_is_sent_after_the_ownership_has_expired() {
    let memory = Memory::new(Duration::from_millis(50));
    let _node = start_owner(&memory).await;
    memory.delay_replies(REPLY_DELAY);
    memory.add_wave();
    tokio::time::sleep(OBSERVED_TIME).await;
    assert!(memory.host_tokens().is_empty(), "the ownership has expired");
    memory.delay_replies(Duration::ZERO);
    let until = clock::now() + TIMEOUT;
    while memory.host_tokens().is_empty() {
        assert!(clock::now() < until, "the command is not sent");
        tokio::time::sleep(PAUSE).await;
    }
}

/// Guards against a lease that lasts longer than a successor waits: the reply to the release was late,
/// and the owner renewed leases until it came. The successor reckons with none after the release.
#[tokio::test]
async fn no_lease_is_renewed_after_the_release() {
    let memory = Memory::new(Duration::from_secs(60));
    let node = start_node("n1", &memory).await;
    memory.put_inbox("submit/long", &InboxRow::Submit(record("long")));
    let until = clock::now() + TIMEOUT;
    while memory.starts().is_empty() {
        assert!(clock::now() < until, "the job does not run");
        tokio::time::sleep(PAUSE).await;
    }
    // The poll that was in flight when the run started may take longer than later ones.
    tokio::time::sleep(IDLE_POLL_TIME).await;
    memory.delay_replies(RELEASE_REPLY_DELAY);
    let observe = async {
        while !memory.owner().is_released {
            assert!(clock::now() < until, "the ownership is not released");
            tokio::time::sleep(PAUSE).await;
        }
        let deadline_ms = memory.lease_deadline_ms();
        tokio::time::sleep(RELEASE_REPLY_DELAY).await;
        assert_eq!(memory.lease_deadline_ms(), deadline_ms);
    };
    tokio::join!(node.start_shutdown(), observe);
}

/// Guards against runs that are lost with their leases: while the store refused the release, the owner
/// renewed no lease.
#[tokio::test]
async fn leases_are_renewed_while_the_release_is_refused() {
    let memory = Memory::new(Duration::from_secs(60));
    let node = start_node("n1", &memory).await;
    memory.put_inbox("submit/long", &InboxRow::Submit(record("long")));
    let until = clock::now() + TIMEOUT;
    while memory.starts().is_empty() {
        assert!(clock::now() < until, "the job does not run");
        tokio::time::sleep(PAUSE).await;
    }
    memory.set_fault(TableFault::Unavailable);
    let observe = async {
        tokio::time::sleep(IDLE_POLL_TIME / 2).await;
        let deadline_ms = memory.lease_deadline_ms();
        tokio::time::sleep(IDLE_POLL_TIME / 2).await;
        assert!(memory.lease_deadline_ms() > deadline_ms);
        memory.set_fault(TableFault::None);
    };
    tokio::join!(node.start_shutdown(), observe);
}
