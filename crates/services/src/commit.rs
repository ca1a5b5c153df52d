//! Transactions whose lost answers are resolved.
//!
//! The row `op/{operation id}` is written in the same transaction, under the precondition that it is
//! absent. So a transaction can be sent again as it is: it commits once at most, and a conflict on
//! its own row says that an earlier try has committed. A transaction that is given up is closed by
//! writing the same row with another value, so that a delayed try can no longer commit.
//!
//! Rows of committed operations are removed as part of later transactions of the same writer. A
//! delayed try could then commit again, unless a precondition is on a row that the transaction
//! itself writes; so each should have one.

use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use model::OperationId;
use model::ids::random_id;
use tokio::time::Instant;

use crate::table::CommitOutcome;
use crate::table::Precondition;
use crate::table::RowVersion;
use crate::table::Table;
use crate::table::Transaction;
use crate::table::Write;

/// Prefix of the rows that keep operation ids.
pub const OPERATION_PREFIX: &str = "op/";
/// Value of the row of a committed operation.
const COMMITTED: &[u8] = b"committed";
/// Value of the row of an operation that was given up.
const CLOSED: &[u8] = b"closed";
/// Wait before the first repeat.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(20);
/// Longest wait between repeats.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);
/// Rows of settled operations that one transaction removes at most.
const CLEANUP_MAX: usize = 8;

/// What became of a transaction after repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// In force.
    Committed,
    /// A precondition did not hold; not in force, and never will be.
    Conflict {
        /// Key of the first row that did not match.
        key: String,
    },
    /// Refused; not in force, and never will be.
    Refused {
        /// Why.
        reason: String,
    },
    /// Given up before an answer came; may be in force, or come into force later.
    Unknown {
        /// Id under which the outcome can be resolved.
        operation_id: OperationId,
    },
}

/// Commits transactions of one writer.
#[derive(Default)]
pub struct Committer {
    settled: Mutex<Vec<OperationId>>,
}

impl Committer {
    /// Commits `writes` under `preconditions`, and repeats until an answer comes or `patience` ends.
    pub async fn commit(
        &self,
        table: &dyn Table,
        preconditions: Vec<Precondition>,
        writes: Vec<Write>,
        patience: Duration,
    ) -> FinalOutcome {
        self.commit_versioned(table, preconditions, writes, patience).await.0
    }

    /// As [`Self::commit`], with the version of the written rows if the answer that brought it came.
    pub async fn commit_versioned(
        &self,
        table: &dyn Table,
        preconditions: Vec<Precondition>,
        writes: Vec<Write>,
        patience: Duration,
    ) -> (FinalOutcome, Option<RowVersion>) {
        let removed = self.take_settled();
        let transaction = build(random_id(), preconditions, writes, &removed);
        let committed = self.send(table, &transaction, patience).await;
        // The row of an operation that was closed stays: a delayed try must find it.
        if committed.0 == FinalOutcome::Committed {
            self.remember(&transaction.operation_id);
        }
        committed
    }

    /// As [`Self::commit`], under an id of the caller's choice. The row of the id stays, so that the
    /// caller can send the same operation again, here or elsewhere, and it commits once at most.
    pub async fn commit_with_id(
        &self,
        table: &dyn Table,
        operation_id: OperationId,
        preconditions: Vec<Precondition>,
        writes: Vec<Write>,
        patience: Duration,
    ) -> FinalOutcome {
        let transaction = build(operation_id, preconditions, writes, &[]);
        self.send(table, &transaction, patience).await.0
    }

    async fn send(
        &self,
        table: &dyn Table,
        transaction: &Transaction,
        patience: Duration,
    ) -> (FinalOutcome, Option<RowVersion>) {
        let deadline = Instant::now() + patience;
        let mut delay = RETRY_DELAY_MIN;
        let mut unanswered = false;
        loop {
            let outcome = table.commit(transaction).await;
            let version = match &outcome {
                CommitOutcome::Committed { version } => Some(*version),
                _ => None,
            };
            if let Some(settled) = self.settle(table, transaction, outcome, unanswered).await {
                return (settled, version);
            }
            unanswered = true;
            if Instant::now() + delay >= deadline {
                let operation_id = transaction.operation_id.clone();
                return (FinalOutcome::Unknown { operation_id }, None);
            }
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(RETRY_DELAY_MAX);
        }
    }

    /// Resolves an operation that was left unknown: true if it committed. If it has not, it is
    /// closed, so that it never will. `None` while the table does not answer.
    pub async fn resolve(&self, table: &dyn Table, operation_id: &OperationId) -> Option<bool> {
        let key = operation_key(operation_id);
        let close = Transaction {
            operation_id: random_id(),
            preconditions: vec![Precondition::Absent { key: key.clone() }],
            writes: vec![Write::put(&key, CLOSED)],
        };
        match table.commit(&close).await {
            CommitOutcome::Committed { .. } => Some(false),
            CommitOutcome::Unknown => None,
            CommitOutcome::Conflict { .. } | CommitOutcome::Refused { .. } => {
                let row = table.get(&key).await.ok()??;
                Some(row.value == COMMITTED)
            }
        }
    }

    async fn settle(
        &self,
        table: &dyn Table,
        transaction: &Transaction,
        outcome: CommitOutcome,
        unanswered: bool,
    ) -> Option<FinalOutcome> {
        let own_key = operation_key(&transaction.operation_id);
        match outcome {
            CommitOutcome::Committed { .. } => Some(FinalOutcome::Committed),
            CommitOutcome::Conflict { key } if key == own_key => {
                let row = table.get(&own_key).await.ok()?;
                let committed = row.is_some_and(|row| row.value == COMMITTED);
                Some(if committed {
                    FinalOutcome::Committed
                } else {
                    FinalOutcome::Conflict { key }
                })
            }
            // An earlier try may still be on its way, so it is closed before the conflict counts.
            CommitOutcome::Conflict { key } if unanswered => {
                match self.resolve(table, &transaction.operation_id).await? {
                    true => Some(FinalOutcome::Committed),
                    false => Some(FinalOutcome::Conflict { key }),
                }
            }
            CommitOutcome::Conflict { key } => Some(FinalOutcome::Conflict { key }),
            CommitOutcome::Refused { reason } => Some(FinalOutcome::Refused { reason }),
            CommitOutcome::Unknown => None,
        }
    }

    fn remember(&self, operation_id: &OperationId) {
        self.settled.lock().expect("no holder panics").push(operation_id.clone());
    }

    fn take_settled(&self) -> Vec<OperationId> {
        let mut settled = self.settled.lock().expect("no holder panics");
        let count = settled.len().min(CLEANUP_MAX);
        settled.drain(..count).collect()
    }
}

/// Key of the row that keeps `operation_id`.
pub fn operation_key(operation_id: &OperationId) -> String {
    format!("{OPERATION_PREFIX}{operation_id}")
}

fn build(
    operation_id: OperationId,
    mut preconditions: Vec<Precondition>,
    mut writes: Vec<Write>,
    removed: &[OperationId],
) -> Transaction {
    let key = operation_key(&operation_id);
    // First, so that a repeat sees its own row before rows that its first try changed.
    preconditions.insert(0, Precondition::Absent { key: key.clone() });
    writes.push(Write::put(key, Bytes::from_static(COMMITTED)));
    for settled in removed {
        writes.push(Write::Delete { key: operation_key(settled) });
    }
    Transaction { operation_id, preconditions, writes }
}
