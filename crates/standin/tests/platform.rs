//! Tests the HTTP client of the platform's services against the stand-in and its faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use services::CommitOutcome;
use services::Committer;
use services::FinalOutcome;
use services::HttpPlatform;
use services::Objects;
use services::Precondition;
use services::Scan;
use services::Table;
use services::Transaction;
use services::Write;
use standin::platform_server::PlatformFaults;
use standin::platform_server::StandinPlatform;
use standin::platform_server::serve;

const COMMIT_TIMEOUT: Duration = Duration::from_secs(20);

async fn start_platform() -> (Arc<StandinPlatform>, HttpPlatform) {
    let platform = Arc::new(StandinPlatform::default());
    let (address, _) =
        serve(platform.clone(), SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    (platform, HttpPlatform::new(address, Duration::from_secs(10)))
}

fn create(key: &str) -> (Vec<Precondition>, Vec<Write>) {
    (vec![Precondition::Absent { key: key.to_owned() }], vec![Write::put(key, "value")])
}

#[tokio::test]
async fn rows_are_written_read_and_scanned_in_order() {
    let (_, client) = start_platform().await;
    for key in ["a/2", "a/1", "b/1"] {
        let (preconditions, writes) = create(key);
        let transaction = Transaction { operation_id: key.into(), preconditions, writes };
        assert!(matches!(client.commit(&transaction).await, CommitOutcome::Committed { .. }));
        let outcome = client.commit(&transaction).await;
        assert_eq!(outcome, CommitOutcome::Conflict { key: key.to_owned() });
    }
    let keys = |rows: Vec<services::Row>| rows.into_iter().map(|row| row.key).collect::<Vec<_>>();
    assert_eq!(keys(client.scan(Scan::prefix("a/")).await.unwrap()), ["a/1", "a/2"]);
    let after = Scan { after: Some("a/1".to_owned()), ..Scan::prefix("a/") };
    assert_eq!(keys(client.scan(after).await.unwrap()), ["a/2"]);
    assert_eq!(Table::get(&client, "b/1").await.unwrap().unwrap().value, "value");
    assert_eq!(Table::get(&client, "b/2").await.unwrap(), None);
}

#[tokio::test]
async fn objects_are_put_listed_read_and_deleted() {
    let (_, client) = start_platform().await;
    client.put("x/1", vec![0, 159, 146, 150].into()).await.unwrap();
    client.put("y/1", "y".into()).await.unwrap();
    assert_eq!(client.list("x/").await.unwrap(), ["x/1"]);
    assert_eq!(Objects::get(&client, "x/1").await.unwrap().unwrap(), [0, 159, 146, 150][..]);
    client.delete("x/1").await.unwrap();
    assert_eq!(Objects::get(&client, "x/1").await.unwrap(), None);
}

/// Failure: a name or prefix with characters that have a meaning in a URI reaches other objects, or
/// none.
#[tokio::test]
async fn objects_are_reached_by_any_name() {
    let (platform, client) = start_platform().await;
    for prefix in ["a+b/", "a&prefix=b/", "a%2Fb/", "a b/", "a?b#c/", "\u{e4}/"] {
        let name = format!("{prefix}1");
        client.put(&name, "x".into()).await.unwrap();
        assert_eq!(platform.objects.list(prefix).await.unwrap(), [&*name]);
        assert_eq!(client.list(prefix).await.unwrap(), [&*name]);
        assert_eq!(Objects::get(&client, &name).await.unwrap().unwrap(), "x");
        client.delete(&name).await.unwrap();
        assert_eq!(platform.objects.list("").await.unwrap(), Vec::<String>::new());
    }
}

#[tokio::test]
async fn lost_replies_are_resolved_to_one_commit() {
    let (platform, client) = start_platform().await;
    platform.set_faults(PlatformFaults { lose_replies: 3, ..PlatformFaults::default() });
    let (preconditions, writes) = create("row");
    let outcome = Committer::default().commit(&client, preconditions, writes, COMMIT_TIMEOUT).await;
    assert_eq!(outcome, FinalOutcome::Committed);
    assert_eq!(platform.table.count("row"), 1);
}

#[tokio::test]
async fn lost_race_after_a_lost_reply_is_a_conflict() {
    let (platform, client) = start_platform().await;
    let (preconditions, writes) = create("row");
    let first = Transaction { operation_id: "first".into(), preconditions, writes };
    client.commit(&first).await;
    platform.set_faults(PlatformFaults { lose_replies: 1, ..PlatformFaults::default() });
    let (preconditions, writes) = create("row");
    let outcome = Committer::default().commit(&client, preconditions, writes, COMMIT_TIMEOUT).await;
    assert_eq!(outcome, FinalOutcome::Conflict { key: "row".to_owned() });
}

#[tokio::test]
async fn abandoned_operation_can_never_commit() {
    let (platform, client) = start_platform().await;
    platform.set_faults(PlatformFaults { is_down: true, ..PlatformFaults::default() });
    let committer = Committer::default();
    let (preconditions, writes) = create("row");
    let outcome = committer.commit(&client, preconditions, writes, Duration::ZERO).await;
    let FinalOutcome::Unknown { operation_id } = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(committer.resolve(&client, &operation_id).await, None);
    platform.set_faults(PlatformFaults::default());
    assert_eq!(committer.resolve(&client, &operation_id).await, Some(false));
    // The transaction of the abandoned operation arrives only now.
    let key = services::commit::operation_key(&operation_id);
    let (mut preconditions, writes) = create("row");
    preconditions.insert(0, Precondition::Absent { key: key.clone() });
    let late = Transaction { operation_id, preconditions, writes };
    assert_eq!(client.commit(&late).await, CommitOutcome::Conflict { key });
    assert_eq!(platform.table.count("row"), 0);
}
