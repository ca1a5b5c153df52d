//! Removals of rows from the inbox. A row is an acknowledged request: it must stay until the request
//! is stored or certainly has nothing left to do.

#[path = "common/memory.rs"]
mod memory;

use std::time::Duration;

use bytes::Bytes;
use coordinator::Node;
use coordinator::clock;
use coordinator::ports::Table;
use coordinator::rows;
use coordinator::rows::InboxRow;
use coordinator::rows::OWNER_KEY;
use coordinator::rows::OwnerRow;
use memory::Memory;
use memory::start_node;

/// Time limit for everything that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of what a test waits for.
const PAUSE: Duration = Duration::from_millis(20);
/// Time in which an owner reads a new row of the inbox and removes it, if it takes it for settled.
const REMOVAL_TIME: Duration = Duration::from_millis(800);

/// Time after which no unit of a job may start whose cancellation was acknowledged.
const CANCEL_TIME_MAX: Duration = Duration::from_secs(3);

async fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) {
    let until = clock::now() + TIMEOUT;
    while !is_so() {
        assert!(clock::now() < until, "{what}");
        tokio::time::sleep(PAUSE).await;
    }
}

async fn start_owner(memory: &Memory) -> Node<Memory> {
    let node = start_node("n1", memory).await;
    wait_until("the node does not own the scheduling", || memory.owner().sequence > 1).await;
    node
}

fn cancel(job: &str) -> InboxRow {
    InboxRow::Cancel { job: job.to_owned(), shard: 0 }
}

/// Guards against a job that runs on after its cancellation was acknowledged: an owner that had
/// been superseded and didn't know it, since replies of the store were lost, read the cancellation
/// of a job that its successor had accepted. It took the unknown job for one that had ended, and
/// removed the row before the next owner read it.
#[tokio::test]
async fn a_superseded_owner_removes_no_cancellation() {
    let memory = Memory::new(Duration::from_secs(60));
    let _node = start_owner(&memory).await;
    memory.hang_writes(u32::MAX);
    let owner = memory.owner();
    let successor =
        OwnerRow { epoch: owner.epoch + 1, incarnation: owner.incarnation + 1_000, ..owner };
    memory.put(Table::Owner, OWNER_KEY, rows::encode(&successor));
    memory.put_inbox("cancel/unknown", &cancel("unknown"));
    tokio::time::sleep(REMOVAL_TIME).await;
    assert_eq!(memory.rows(Table::Inbox), ["cancel/unknown"]);
}

/// An owner removes the cancellation of a job that doesn't exist once it is known to be the owner.
#[tokio::test]
async fn an_owner_removes_the_cancellation_of_an_unknown_job() {
    let memory = Memory::new(Duration::from_secs(60));
    let _node = start_owner(&memory).await;
    memory.put_inbox("cancel/unknown", &cancel("unknown"));
    wait_until("the row stays", || memory.rows(Table::Inbox).is_empty()).await;
}

/// Guards against a lost request during a rolling update: a node of a later version stores it in a
/// form that this one can't decode.
#[tokio::test]
async fn a_row_that_cannot_be_decoded_stays() {
    let memory = Memory::new(Duration::from_secs(60));
    let _node = start_owner(&memory).await;
    memory.put(Table::Inbox, "submit/later", Bytes::from_static(b"{\"submit-2\":{}}"));
    tokio::time::sleep(REMOVAL_TIME).await;
    assert_eq!(memory.rows(Table::Inbox), ["submit/later"]);
}

/// Guards against units that start seconds after the cancellation of their job was acknowledged: the
/// connection on which the owner waited for changes of the inbox had silently broken, while the
/// owner could store and start runs.
#[tokio::test]
async fn a_cancellation_is_read_beside_a_call_that_gets_no_reply() {
    let memory = Memory::new(Duration::from_secs(60));
    let _node = start_owner(&memory).await;
    memory.hang_inbox_reads(1);
    wait_until("no call is made", || memory.hung_inbox_reads_left() == 0).await;
    memory.put_inbox("cancel/unknown", &cancel("unknown"));
    let written_at = clock::now();
    wait_until("the row stays", || memory.rows(Table::Inbox).is_empty()).await;
    let took = clock::now().saturating_sub(written_at);
    assert!(took < CANCEL_TIME_MAX, "handled after {took:?}");
}
