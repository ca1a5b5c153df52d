//! A table that loses answers, delays calls, and applies transactions late or twice.
//!
//! Everything follows from a seed, so that a run under tokio's paused clock repeats exactly.

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

/// How often each fault happens, in percent of the calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultRates {
    /// A read is not answered.
    pub failed_read_percent: u32,
    /// A transaction is lost on its way.
    pub lost_commit_percent: u32,
    /// A transaction is applied and its answer lost.
    pub lost_reply_percent: u32,
    /// A transaction is applied later, after its sender has given up waiting.
    pub late_commit_percent: u32,
    /// A transaction is applied, answered, and applied again later.
    pub duplicate_commit_percent: u32,
    /// Longest delay of a call on each way.
    pub delay_max: Duration,
    /// Longest time until a late transaction is applied.
    pub late_delay_max: Duration,
}

/// A table with faults.
pub struct FaultyTable {
    inner: Arc<MemoryTable>,
    fault_rates: FaultRates,
    is_down: AtomicBool,
    rng: Mutex<SmallRng>,
}

/// What happens to a transaction.
enum Fate {
    Lost,
    Unanswered,
    Late(Duration),
    Twice(Duration),
    Answered,
}

impl FaultyTable {
    /// Table over `inner` whose faults follow from `seed`.
    pub fn new(inner: Arc<MemoryTable>, fault_rates: FaultRates, seed: u64) -> Self {
        let rng = Mutex::new(SmallRng::seed_from_u64(seed));
        Self { inner, fault_rates, is_down: AtomicBool::new(false), rng }
    }

    /// Stops answering, or answers again.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    async fn delay(&self) {
        let delay = self.duration(self.fault_rates.delay_max);
        tokio::time::sleep(delay).await;
    }

    async fn read_delay(&self) -> Result<(), Unavailable> {
        self.delay().await;
        let is_lost = self.rng().random_range(0..100) < self.fault_rates.failed_read_percent;
        if is_lost || self.is_down.load(Ordering::Relaxed) {
            return Err(Unavailable::new("fault"));
        }
        Ok(())
    }

    fn duration(&self, max: Duration) -> Duration {
        max.mul_f64(self.rng().random_range(0.0..1.0))
    }

    fn fate(&self) -> Fate {
        let late = self.duration(self.fault_rates.late_delay_max);
        let fault_rates = &self.fault_rates;
        let mut draw = self.rng().random_range(0..100);
        let mut falls_in = |percent: u32| {
            let hit = draw < percent;
            draw = draw.saturating_sub(percent);
            hit
        };
        if falls_in(fault_rates.lost_commit_percent) {
            return Fate::Lost;
        }
        if falls_in(fault_rates.lost_reply_percent) {
            return Fate::Unanswered;
        }
        if falls_in(fault_rates.late_commit_percent) {
            return Fate::Late(late);
        }
        if falls_in(fault_rates.duplicate_commit_percent) {
            return Fate::Twice(late);
        }
        Fate::Answered
    }

    fn apply_later(&self, transaction: &Transaction, after: Duration) {
        let inner = self.inner.clone();
        let transaction = transaction.clone();
        tokio::spawn(async move {
            tokio::time::sleep(after).await;
            // Nobody waits for this answer.
            let _ = inner.commit(&transaction).await;
        });
    }

    fn rng(&self) -> std::sync::MutexGuard<'_, SmallRng> {
        self.rng.lock().expect("no holder panics")
    }
}

#[async_trait]
impl Table for FaultyTable {
    async fn get(&self, key: &str) -> Result<Option<Row>, Unavailable> {
        self.read_delay().await?;
        let row = self.inner.get(key).await;
        self.delay().await;
        row
    }

    async fn scan(&self, scan: Scan) -> Result<Vec<Row>, Unavailable> {
        self.read_delay().await?;
        let rows = self.inner.scan(scan).await;
        self.delay().await;
        rows
    }

    async fn commit(&self, transaction: &Transaction) -> CommitOutcome {
        self.delay().await;
        if self.is_down.load(Ordering::Relaxed) {
            return CommitOutcome::Unknown;
        }
        match self.fate() {
            Fate::Lost => CommitOutcome::Unknown,
            Fate::Unanswered => {
                let _ = self.inner.commit(transaction).await;
                self.delay().await;
                CommitOutcome::Unknown
            }
            Fate::Late(after) => {
                self.apply_later(transaction, after);
                CommitOutcome::Unknown
            }
            Fate::Twice(after) => {
                let outcome = self.inner.commit(transaction).await;
                self.apply_later(transaction, after);
                self.delay().await;
                outcome
            }
            Fate::Answered => {
                let outcome = self.inner.commit(transaction).await;
                self.delay().await;
                outcome
            }
        }
    }
}
