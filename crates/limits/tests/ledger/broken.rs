//! Tables and tokens that each break one rule of the ledger.

use std::sync::Arc;

use async_trait::async_trait;
use limits::LimitKey;
use limits::LimitTable;
use limits::Tokens;
use model::ConfigVersion;
use services::CommitOutcome;
use services::Precondition;
use services::Row;
use services::Scan;
use services::Table;
use services::Transaction;
use services::Unavailable;
use standin::faulty_table::FaultyTable;

use crate::world::Variant;
use crate::world::World;

/// Returns the table that the nodes of a run use.
pub fn table(inner: FaultyTable, variant: Variant) -> Arc<dyn Table> {
    Arc::new(Broken { inner, variant })
}

struct Broken {
    inner: FaultyTable,
    variant: Variant,
}

#[async_trait]
impl Table for Broken {
    async fn get(&self, key: &str) -> Result<Option<Row>, Unavailable> {
        self.inner.get(key).await
    }

    async fn scan(&self, scan: Scan) -> Result<Vec<Row>, Unavailable> {
        self.inner.scan(scan).await
    }

    async fn commit(&self, transaction: &Transaction) -> CommitOutcome {
        let mut transaction = transaction.clone();
        if self.variant == Variant::NoPrecondition {
            let is_row = |p: &Precondition| p.key().starts_with("ledger/");
            transaction.preconditions.retain(|precondition| !is_row(precondition));
        }
        let outcome = self.inner.commit(&transaction).await;
        if self.variant == Variant::EarlyUse && outcome == CommitOutcome::Unknown {
            return CommitOutcome::Committed { version: 0 };
        }
        outcome
    }
}

/// Tokens that check the limits after each grant.
pub struct Checked {
    pub world: Arc<World>,
    pub tokens: Arc<LimitTable>,
    pub variant: Variant,
}

impl Tokens for Checked {
    fn unused(&self, key: &LimitKey) -> u32 {
        self.tokens.unused(key)
    }

    fn withdraw(&self, key: &LimitKey, count_max: u32) -> u32 {
        if self.variant == Variant::LateRelease {
            return self.tokens.unused(key).min(count_max);
        }
        self.tokens.withdraw(key, count_max)
    }

    fn grant(&self, key: &LimitKey, granted: u32) {
        LimitTable::grant(&self.tokens, key, granted);
        self.world.check("grant");
    }

    fn freeze(&self, key: &LimitKey, version: ConfigVersion) {
        self.tokens.freeze(key, version);
    }

    fn is_frozen(&self, key: &LimitKey) -> bool {
        self.tokens.is_frozen(key)
    }

    fn unfreeze(&self, key: &LimitKey, version: ConfigVersion) {
        self.tokens.unfreeze(key, version);
    }

    fn revoke_all(&self) {
        self.tokens.revoke_all();
    }
}
