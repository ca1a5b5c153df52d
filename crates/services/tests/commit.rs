//! Failures of transactions whose earlier attempts had unknown outcomes.

use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use rstest::rstest;
use services::CommitOutcome;
use services::Committer;
use services::FinalOutcome;
use services::MemoryTable;
use services::Precondition;
use services::Row;
use services::Scan;
use services::Table;
use services::Transaction;
use services::Unavailable;
use services::Write;
use services::commit::OPERATION_PREFIX;

const TIMEOUT: Duration = Duration::from_secs(10);

/// What the table does with an attempt of the tested transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attempt {
    Commits,
    /// Commits, and the reply is lost.
    LosesReply,
    /// Does not arrive before the transaction is over.
    Delayed,
    Refused,
}

/// Table in memory that handles the first attempts as a test says, and the others as a table does.
#[derive(Default)]
struct FaultyTable {
    inner: MemoryTable,
    attempts: Mutex<Vec<Attempt>>,
    delayed: Mutex<Option<Transaction>>,
}

impl FaultyTable {
    fn set_attempts(&self, attempts: &[Attempt]) {
        *self.attempts.lock().unwrap() = attempts.iter().rev().copied().collect();
    }
}

#[async_trait]
impl Table for FaultyTable {
    async fn get(&self, key: &str) -> Result<Option<Row>, Unavailable> {
        self.inner.get(key).await
    }

    async fn scan(&self, scan: Scan) -> Result<Vec<Row>, Unavailable> {
        self.inner.scan(scan).await
    }

    async fn commit(&self, transaction: &Transaction) -> CommitOutcome {
        let attempt = self.attempts.lock().unwrap().pop();
        match attempt.unwrap_or(Attempt::Commits) {
            Attempt::Commits => self.inner.commit(transaction).await,
            Attempt::LosesReply => {
                self.inner.commit(transaction).await;
                CommitOutcome::Unknown
            }
            Attempt::Delayed => {
                *self.delayed.lock().unwrap() = Some(transaction.clone());
                CommitOutcome::Unknown
            }
            Attempt::Refused => CommitOutcome::Refused { reason: "overloaded".to_owned() },
        }
    }
}

async fn create_row(committer: &Committer, table: &FaultyTable, key: &str) -> FinalOutcome {
    let preconditions = vec![Precondition::Absent { key: key.to_owned() }];
    committer.commit(table, preconditions, vec![Write::put(key, "value")], TIMEOUT).await
}

/// Failure: the service refuses a retry, and the caller is told that the transaction never commits,
/// although an earlier attempt has committed or commits later.
#[rstest]
#[case::has_committed(Attempt::LosesReply, true)]
#[case::in_transit(Attempt::Delayed, false)]
#[tokio::test]
async fn a_refused_retry_is_final_only_if_no_attempt_commits(
    #[case] first: Attempt,
    #[case] is_committed: bool,
) {
    let table = FaultyTable::default();
    table.set_attempts(&[first, Attempt::Refused]);
    let outcome = create_row(&Committer::default(), &table, "row").await;
    let delayed = table.delayed.lock().unwrap().take();
    if let Some(transaction) = delayed {
        table.inner.commit(&transaction).await;
    }
    assert_eq!(outcome == FinalOutcome::Committed, is_committed, "{outcome:?}");
    assert_eq!(table.inner.count("row") == 1, is_committed);
}

/// Failure: a transaction that should delete the rows of earlier operations fails, and they stay in
/// the table for ever.
#[tokio::test]
async fn rows_of_operations_are_deleted_after_a_failed_transaction() {
    let (table, committer) = (FaultyTable::default(), Committer::default());
    assert_eq!(create_row(&committer, &table, "a").await, FinalOutcome::Committed);
    table.set_attempts(&[Attempt::Refused]);
    assert!(matches!(create_row(&committer, &table, "b").await, FinalOutcome::Refused { .. }));
    assert!(matches!(create_row(&committer, &table, "a").await, FinalOutcome::Conflict { .. }));
    assert_eq!(create_row(&committer, &table, "c").await, FinalOutcome::Committed);
    // Only the row of the last operation is left.
    assert_eq!(table.inner.count(OPERATION_PREFIX), 1);
}
