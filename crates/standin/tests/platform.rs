//! The platform's HTTP clients against the stand-in, with its faults.

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

const PATIENCE: Duration = Duration::from_secs(20);

async fn start() -> (Arc<StandinPlatform>, HttpPlatform) {
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
    let (_, client) = start().await;
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
    let (_, client) = start().await;
    client.put("x/1", vec![0, 159, 146, 150].into()).await.unwrap();
    client.put("y/1", "y".into()).await.unwrap();
    assert_eq!(client.list("x/").await.unwrap(), ["x/1"]);
    assert_eq!(Objects::get(&client, "x/1").await.unwrap().unwrap(), [0, 159, 146, 150][..]);
    client.delete("x/1").await.unwrap();
    assert_eq!(Objects::get(&client, "x/1").await.unwrap(), None);
}

#[tokio::test]
async fn lost_answers_are_resolved_to_one_commit() {
    let (platform, client) = start().await;
    platform.set_faults(PlatformFaults { lose_replies: 3, ..PlatformFaults::default() });
    let (preconditions, writes) = create("row");
    let settled = Committer::default().commit(&client, preconditions, writes, PATIENCE).await;
    assert_eq!(settled, FinalOutcome::Committed);
    assert_eq!(platform.table.count("row"), 1);
}

#[tokio::test]
async fn race_lost_behind_a_lost_answer_is_a_conflict() {
    let (platform, client) = start().await;
    let (preconditions, writes) = create("row");
    let first = Transaction { operation_id: "first".into(), preconditions, writes };
    client.commit(&first).await;
    platform.set_faults(PlatformFaults { lose_replies: 1, ..PlatformFaults::default() });
    let (preconditions, writes) = create("row");
    let settled = Committer::default().commit(&client, preconditions, writes, PATIENCE).await;
    assert_eq!(settled, FinalOutcome::Conflict { key: "row".to_owned() });
}

#[tokio::test]
async fn operation_given_up_is_closed_for_good() {
    let (platform, client) = start().await;
    platform.set_faults(PlatformFaults { is_down: true, ..PlatformFaults::default() });
    let committer = Committer::default();
    let (preconditions, writes) = create("row");
    let settled = committer.commit(&client, preconditions, writes, Duration::ZERO).await;
    let FinalOutcome::Unknown { operation_id } = settled else {
        panic!("{settled:?}");
    };
    assert_eq!(committer.resolve(&client, &operation_id).await, None);
    platform.set_faults(PlatformFaults::default());
    assert_eq!(committer.resolve(&client, &operation_id).await, Some(false));
    // The delayed try arrives now.
    let key = services::commit::operation_key(&operation_id);
    let (mut preconditions, writes) = create("row");
    preconditions.insert(0, Precondition::Absent { key: key.clone() });
    let late = Transaction { operation_id, preconditions, writes };
    assert_eq!(client.commit(&late).await, CommitOutcome::Conflict { key });
    assert_eq!(platform.table.count("row"), 0);
}
