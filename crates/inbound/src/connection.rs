//! A connection within a budget.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

use crate::budget::Budget;
use crate::ledger::ConnectionId;
use crate::ledger::Phase;

/// A connection; gives its place back when dropped.
pub struct Connection {
    pub(crate) budget: Arc<Budget>,
    pub(crate) id: ConnectionId,
    pub(crate) close_signal: Arc<Notify>,
}

impl Connection {
    /// Waits until the budget closes the connection.
    pub async fn closed(&self) {
        self.close_signal.notified().await;
    }

    /// Takes note that the connection waits for something else.
    pub(crate) fn enter(&self, phase: Phase) {
        self.budget.update(|ledger| ledger.enter(self.id, phase, Instant::now()));
    }

    pub(crate) fn record_read(&self, bytes: usize) {
        self.budget.update(|ledger| ledger.record_read(self.id, bytes, Instant::now()));
    }

    pub(crate) fn record_write(&self) {
        self.budget.update(|ledger| ledger.record_write(self.id, Instant::now()));
    }

    /// Takes bytes of the budget for a body; waits up to `timeout` while there are none.
    pub(crate) async fn take(
        &self,
        bytes: usize,
        timeout: Duration,
    ) -> Option<OwnedSemaphorePermit> {
        self.budget.take(self.id, bytes, timeout).await
    }

    /// Takes note that the body of the connection's request has given its bytes back.
    pub(crate) fn record_released(&self) {
        self.budget.update(|ledger| ledger.record_released(self.id));
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.budget.remove(self.id);
    }
}
