//! A table that loses replies, delays calls, and applies transactions late or twice.
//!
//! All faults are drawn from a seed, so that a run under tokio's paused clock is reproducible.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use services::CommitOutcome;
use services::MemoryTable;
use services::Row;
use services::Scan;
use services::Table;
use services::Transaction;
use services::Unavailable;

/// Frequency of each fault, in percent of the calls, and the longest delays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultRates {
    /// Reads that fail.
    pub failed_read_percent: u32,
    /// Transactions that never reach the table.
    pub lost_commit_percent: u32,
    /// Transactions that are applied but whose reply is lost.
    pub lost_reply_percent: u32,
    /// Transactions that are applied only after their sender got an unknown outcome.
    pub late_commit_percent: u32,
    /// Transactions that are applied, replied to, and applied again later.
    pub duplicate_commit_percent: u32,
    /// Longest delay of a call and of its reply, each.
    pub delay_max: Duration,
    /// Longest time until a late or duplicate transaction is applied.
    pub late_delay_max: Duration,
}

/// A [`MemoryTable`] behind injected faults.
pub struct FaultyTable {
    inner: Arc<MemoryTable>,
    fault_rates: FaultRates,
    is_down: AtomicBool,
    rng: Mutex<SmallRng>,
}

/// Fault of one transaction.
enum CommitFault {
    /// The transaction never reaches the table.
    Lost,
    /// The transaction is applied and its reply is lost.
    ReplyLost,
    /// The transaction is applied after this delay; its sender gets an unknown outcome at once.
    Late(Duration),
    /// The transaction is applied at once, and again after this delay.
    Duplicated(Duration),
    NoFault,
}

impl FaultyTable {
    /// Creates a table over `inner` that draws its faults from `seed`.
    pub fn new(inner: Arc<MemoryTable>, fault_rates: FaultRates, seed: u64) -> Self {
        let rng = Mutex::new(SmallRng::seed_from_u64(seed));
        Self { inner, fault_rates, is_down: AtomicBool::new(false), rng }
    }

    /// Makes all calls fail, or succeed again.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    async fn random_delay(&self) {
        let delay = self.random_duration(self.fault_rates.delay_max);
        tokio::time::sleep(delay).await;
    }

    async fn delay_or_fail_read(&self) -> Result<(), Unavailable> {
        self.random_delay().await;
        let fails = self.rng().random_range(0..100) < self.fault_rates.failed_read_percent;
        if fails || self.is_down.load(Ordering::Relaxed) {
            return Err(Unavailable::new("fault"));
        }
        Ok(())
    }

    fn random_duration(&self, max: Duration) -> Duration {
        max.mul_f64(self.rng().random_range(0.0..1.0))
    }

    fn draw_commit_fault(&self) -> CommitFault {
        let late_delay = self.random_duration(self.fault_rates.late_delay_max);
        let fault_rates = &self.fault_rates;
        let mut draw = self.rng().random_range(0..100);
        let mut matches = |percent: u32| {
            let is_match = draw < percent;
            draw = draw.saturating_sub(percent);
            is_match
        };
        if matches(fault_rates.lost_commit_percent) {
            return CommitFault::Lost;
        }
        if matches(fault_rates.lost_reply_percent) {
            return CommitFault::ReplyLost;
        }
        if matches(fault_rates.late_commit_percent) {
            return CommitFault::Late(late_delay);
        }
        if matches(fault_rates.duplicate_commit_percent) {
            return CommitFault::Duplicated(late_delay);
        }
        CommitFault::NoFault
    }

    fn apply_later(&self, transaction: &Transaction, delay: Duration) {
        let inner = self.inner.clone();
        let transaction = transaction.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            // Nobody waits for the outcome.
            let _ = inner.commit(&transaction).await;
        });
    }

    fn rng(&self) -> std::sync::MutexGuard<'_, SmallRng> {
        self.rng.lock().expect("lock is never poisoned")
    }
}

#[async_trait]
impl Table for FaultyTable {
    async fn get(&self, key: &str) -> Result<Option<Row>, Unavailable> {
        self.delay_or_fail_read().await?;
        let row = self.inner.get(key).await;
        self.random_delay().await;
        row
    }

    async fn scan(&self, scan: Scan) -> Result<Vec<Row>, Unavailable> {
        self.delay_or_fail_read().await?;
        let rows = self.inner.scan(scan).await;
        self.random_delay().await;
        rows
    }

    async fn commit(&self, transaction: &Transaction) -> CommitOutcome {
        self.random_delay().await;
        if self.is_down.load(Ordering::Relaxed) {
            return CommitOutcome::Unknown;
        }
        match self.draw_commit_fault() {
            CommitFault::Lost => CommitOutcome::Unknown,
            CommitFault::ReplyLost => {
                let _ = self.inner.commit(transaction).await;
                self.random_delay().await;
                CommitOutcome::Unknown
            }
            CommitFault::Late(delay) => {
                self.apply_later(transaction, delay);
                CommitOutcome::Unknown
            }
            CommitFault::Duplicated(delay) => {
                let outcome = self.inner.commit(transaction).await;
                self.apply_later(transaction, delay);
                self.random_delay().await;
                outcome
            }
            CommitFault::NoFault => {
                let outcome = self.inner.commit(transaction).await;
                self.random_delay().await;
                outcome
            }
        }
    }
}
