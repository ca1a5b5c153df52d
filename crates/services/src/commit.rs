//! Transactions with retries, and the resolution of transactions whose reply was lost.
//!
//! Each transaction also writes the row `op/{operation id}`, under the precondition that this row
//! is absent. The transaction can therefore be retried unchanged: it commits at most once, and a
//! conflict on its own row means that an earlier attempt has committed. To abandon a transaction,
//! the same row is written with another value, so that a delayed attempt can no longer commit.
//!
//! Later transactions of the same writer delete the rows of committed operations. After that, a
//! delayed attempt could commit a second time, unless it has a precondition on a row that the
//! transaction itself writes; every transaction should therefore have such a precondition.

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

/// Prefix of the keys of operation rows.
pub const OPERATION_PREFIX: &str = "op/";
/// Value of the row of an operation that has committed.
const COMMITTED: &[u8] = b"committed";
/// Value of the row of an operation that was abandoned.
const ABANDONED: &[u8] = b"closed";
/// Delay before the first retry; doubles with each retry.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(20);
/// Maximum delay between retries.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);
/// Maximum number of rows of earlier operations that one transaction deletes.
const CLEANUP_ROWS_MAX: usize = 8;

/// Outcome of a transaction after all retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The writes are committed.
    Committed,
    /// A precondition did not hold. The transaction has not committed and never will.
    Conflict {
        /// Key of the first row that did not meet its precondition.
        key: String,
    },
    /// The service refused the transaction. It has not committed and never will.
    Refused {
        /// Reason given by the service.
        reason: String,
    },
    /// The timeout elapsed before the outcome was known. The transaction may have committed, or may
    /// still commit.
    Unknown {
        /// Id for [`Committer::resolve`].
        operation_id: OperationId,
    },
}

/// Commits the transactions of one writer.
#[derive(Default)]
pub struct Committer {
    /// Committed operations whose rows are still to be deleted.
    committed: Mutex<Vec<OperationId>>,
}

impl Committer {
    /// Commits `writes` under `preconditions`. Retries until the outcome is known or `timeout` has
    /// elapsed.
    pub async fn commit(
        &self,
        table: &dyn Table,
        preconditions: Vec<Precondition>,
        writes: Vec<Write>,
        timeout: Duration,
    ) -> FinalOutcome {
        self.commit_versioned(table, preconditions, writes, timeout).await.0
    }

    /// Like [`Self::commit`]. Also returns the version of the written rows, unless the reply with
    /// the version was lost.
    pub async fn commit_versioned(
        &self,
        table: &dyn Table,
        preconditions: Vec<Precondition>,
        writes: Vec<Write>,
        timeout: Duration,
    ) -> (FinalOutcome, Option<RowVersion>) {
        let mut cleanup = Cleanup { committer: self, operations: self.take_committed() };
        let transaction =
            build_transaction(random_id(), preconditions, writes, &cleanup.operations);
        let final_outcome = self.commit_with_retries(table, &transaction, timeout).await;
        // The row of an abandoned operation is kept, so that a delayed attempt conflicts with it.
        if final_outcome.0 == FinalOutcome::Committed {
            cleanup.operations = vec![transaction.operation_id];
        }
        final_outcome
    }

    /// Like [`Self::commit`], with an operation id that the caller chooses. The operation row is
    /// never deleted, so the caller can repeat the operation, also on another node, and it commits
    /// at most once.
    pub async fn commit_with_id(
        &self,
        table: &dyn Table,
        operation_id: OperationId,
        preconditions: Vec<Precondition>,
        writes: Vec<Write>,
        timeout: Duration,
    ) -> FinalOutcome {
        let transaction = build_transaction(operation_id, preconditions, writes, &[]);
        self.commit_with_retries(table, &transaction, timeout).await.0
    }

    async fn commit_with_retries(
        &self,
        table: &dyn Table,
        transaction: &Transaction,
        timeout: Duration,
    ) -> (FinalOutcome, Option<RowVersion>) {
        let deadline = Instant::now() + timeout;
        let mut delay = RETRY_DELAY_MIN;
        let mut is_retry = false;
        loop {
            let outcome = table.commit(transaction).await;
            let version = match &outcome {
                CommitOutcome::Committed { version } => Some(*version),
                _ => None,
            };
            if let Some(final_outcome) =
                self.to_final_outcome(table, transaction, outcome, is_retry).await
            {
                return (final_outcome, version);
            }
            is_retry = true;
            if Instant::now() + delay >= deadline {
                let operation_id = transaction.operation_id.clone();
                return (FinalOutcome::Unknown { operation_id }, None);
            }
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(RETRY_DELAY_MAX);
        }
    }

    /// Resolves an operation whose outcome is unknown. Returns true if it has committed. Otherwise
    /// abandons it, so that it never commits, and returns false. Returns `None` if the table does
    /// not reply.
    pub async fn resolve(&self, table: &dyn Table, operation_id: &OperationId) -> Option<bool> {
        let key = operation_key(operation_id);
        let abandon = Transaction {
            operation_id: random_id(),
            preconditions: vec![Precondition::Absent { key: key.clone() }],
            writes: vec![Write::put(&key, ABANDONED)],
        };
        match table.commit(&abandon).await {
            CommitOutcome::Committed { .. } => Some(false),
            CommitOutcome::Unknown => None,
            CommitOutcome::Conflict { .. } | CommitOutcome::Refused { .. } => {
                let row = table.get(&key).await.ok()??;
                Some(row.value == COMMITTED)
            }
        }
    }

    /// Converts the outcome of one attempt; `None` if the transaction must be retried.
    async fn to_final_outcome(
        &self,
        table: &dyn Table,
        transaction: &Transaction,
        outcome: CommitOutcome,
        is_retry: bool,
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
            CommitOutcome::Conflict { key } => {
                let conflict = FinalOutcome::Conflict { key };
                self.to_final_failure(table, transaction, conflict, is_retry).await
            }
            CommitOutcome::Refused { reason } => {
                let refused = FinalOutcome::Refused { reason };
                self.to_final_failure(table, transaction, refused, is_retry).await
            }
            CommitOutcome::Unknown => None,
        }
    }

    /// Returns `failure` once the transaction can no longer commit; `None` if it must be retried.
    async fn to_final_failure(
        &self,
        table: &dyn Table,
        transaction: &Transaction,
        failure: FinalOutcome,
        is_retry: bool,
    ) -> Option<FinalOutcome> {
        if !is_retry {
            return Some(failure);
        }
        // An earlier attempt may have committed, or be in transit. It must be abandoned first.
        match self.resolve(table, &transaction.operation_id).await? {
            true => Some(FinalOutcome::Committed),
            false => Some(failure),
        }
    }

    fn take_committed(&self) -> Vec<OperationId> {
        let mut committed = self.committed.lock().expect("lock is never poisoned");
        let count = committed.len().min(CLEANUP_ROWS_MAX);
        committed.drain(..count).collect()
    }
}

/// Operations whose rows a later transaction must delete. Recorded on drop, so that none is lost if
/// the transaction that should have deleted them fails or its caller stops waiting.
struct Cleanup<'a> {
    committer: &'a Committer,
    operations: Vec<OperationId>,
}

impl Drop for Cleanup<'_> {
    fn drop(&mut self) {
        let mut committed = self.committer.committed.lock().expect("lock is never poisoned");
        committed.append(&mut self.operations);
    }
}

/// Returns the key of the operation row of `operation_id`.
pub fn operation_key(operation_id: &OperationId) -> String {
    format!("{OPERATION_PREFIX}{operation_id}")
}

fn build_transaction(
    operation_id: OperationId,
    mut preconditions: Vec<Precondition>,
    mut writes: Vec<Write>,
    operations_to_remove: &[OperationId],
) -> Transaction {
    let key = operation_key(&operation_id);
    // Checked first, so that a retry finds its own row before rows that an earlier attempt changed.
    preconditions.insert(0, Precondition::Absent { key: key.clone() });
    writes.push(Write::put(key, Bytes::from_static(COMMITTED)));
    for committed_id in operations_to_remove {
        writes.push(Write::Delete { key: operation_key(committed_id) });
    }
    Transaction { operation_id, preconditions, writes }
}
