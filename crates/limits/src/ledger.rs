//! A node's local copy of the ledger, and the transactions with which it changes the ledger.
//!
//! A node runs one transaction at a time, with the versions of the rows that it read as
//! preconditions. Tokens that a transaction gives to other nodes are out of use before it is sent;
//! tokens that it brings are used only after its commit is known. While the outcome is unknown,
//! both remain out of use, and the node writes nothing else until the outcome is resolved.
//!
//! A holding is reduced only by its holder, or by a node that has evidence that no work of a gone
//! holder is running. A node may therefore use all tokens that some read of its row showed, until
//! it gives some away itself.

mod log;
mod read;
mod write;

use std::time::SystemTime;

use model::ConfigVersion;
use model::OperationId;
use services::Committer;
use services::RowVersion;
use services::Table;
use services::Unavailable;

use crate::demand::Limit;
use crate::demand::MemberDemand;
use crate::key::LimitKey;
use crate::plan::PlannedChange;
use crate::row::Holder;
use crate::row::LedgerRow;

pub(crate) use log::log_rows_of;
pub(crate) use write::demands_for;

use self::log::LogState;

/// Access to this node's tokens, through which the ledger controls how many of them work may use.
pub trait Tokens: Send + Sync {
    /// Returns the number of tokens that no work uses.
    fn unused(&self, key: &LimitKey) -> u32;

    /// Withdraws up to `count_max` unused tokens from use; returns the number withdrawn.
    fn withdraw(&self, key: &LimitKey, count_max: u32) -> u32;

    /// Sets the number of tokens that may be used.
    fn grant(&self, key: &LimitKey, granted: u32);

    /// Stops new work from acquiring tokens, because `version` of the configuration lowered the
    /// limit.
    fn freeze(&self, key: &LimitKey, version: ConfigVersion);

    /// Returns true while new work may not acquire tokens.
    fn is_frozen(&self, key: &LimitKey) -> bool;

    /// Lets new work acquire tokens again, unless a version after `version` has lowered the limit.
    fn unfreeze(&self, key: &LimitKey, version: ConfigVersion);

    /// Withdraws all tokens from use.
    fn revoke_all(&self);
}

/// The state of the cluster, as a node sees it at a tick of the ledger.
pub struct ClusterView<'a> {
    /// Limits that the configuration sets, sorted by key.
    pub limits: &'a [Limit],
    /// Version of the configuration that `limits` are from.
    pub config_version: ConfigVersion,
    /// Demands of the live nodes, this node included, sorted by holder.
    pub members: &'a [MemberDemand],
    /// Current time, for the keys and the expiry of log rows.
    pub now: SystemTime,
    /// True if this node is about to stop, so that it gives its tokens to other nodes.
    pub is_leaving: bool,
}

/// The result of one tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TickOutcome {
    /// There was nothing to write.
    Idle,
    /// A transaction was committed.
    Written {
        /// Number of ledger rows that it changed.
        rows: usize,
    },
    /// Another node had changed a row before; nothing was written.
    Conflict,
    /// The table refused the transaction; nothing was written.
    Refused,
    /// The outcome of a transaction is not known yet.
    Unknown,
}

/// One node's copy of the ledger and its unresolved transaction.
pub struct Ledger {
    me: Holder,
    /// Rows that exist or existed at an earlier read, sorted by key.
    cache: Vec<CachedRow>,
    is_loaded: bool,
    tick_count: u64,
    /// Version of the configuration at the last tick; a change triggers the check for lowered
    /// limits.
    config_version: ConfigVersion,
    /// Last row key that the sweep has read; `None` at the start of a pass.
    sweep_position: Option<String>,
    /// Position in the log of transactions.
    log: LogState,
    unresolved: Option<UnresolvedTransaction>,
    committer: Committer,
}

struct CachedRow {
    key: LimitKey,
    row: Option<LedgerRow>,
    /// Version of the row, or of its last known state if it was deleted; 0 if it never existed.
    version: RowVersion,
    /// True if the row must be read again, because it is known to have changed or its holdings
    /// don't fit the limit yet.
    is_stale: bool,
}

struct UnresolvedTransaction {
    operation_id: OperationId,
    changes: Vec<(LimitKey, PlannedChange)>,
}

impl Ledger {
    /// Creates the ledger of `me` without any rows; the first tick reads them.
    pub fn new(me: Holder) -> Self {
        Self {
            me,
            cache: Vec::new(),
            is_loaded: false,
            tick_count: 0,
            config_version: 0,
            sweep_position: None,
            log: LogState::default(),
            unresolved: None,
            committer: Committer::default(),
        }
    }

    /// Returns the incarnation that this copy belongs to.
    pub fn me(&self) -> &Holder {
        &self.me
    }

    /// Returns the row of `key` as it was last read or written.
    pub fn row(&self, key: &LimitKey) -> Option<&LedgerRow> {
        let index = self.find(key).ok()?;
        self.cache[index].row.as_ref()
    }

    /// Returns all rows as they were last read or written, sorted by key.
    pub fn rows(&self) -> impl Iterator<Item = (&LimitKey, &LedgerRow)> {
        self.cache.iter().filter_map(|entry| Some((&entry.key, entry.row.as_ref()?)))
    }

    /// Returns true while the outcome of a transaction is unknown.
    pub fn is_unresolved(&self) -> bool {
        self.unresolved.is_some()
    }

    /// Returns true once all rows were read.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Reads the changes of the ledger, and writes the changes that this node plans in at most one
    /// transaction.
    pub async fn tick(
        &mut self,
        table: &dyn Table,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) -> Result<TickOutcome, Unavailable> {
        if !self.resolve(table, tokens, view).await {
            return Ok(TickOutcome::Unknown);
        }
        self.refresh(table, tokens, view).await?;
        self.tick_count += 1;
        let changes = self.plan_changes(tokens, view);
        self.write(table, tokens, view, changes).await
    }

    fn find(&self, key: &LimitKey) -> Result<usize, usize> {
        self.cache.binary_search_by(|entry| entry.key.cmp(key))
    }

    fn cache_entry(&mut self, key: &LimitKey) -> &mut CachedRow {
        let index = match self.find(key) {
            Ok(index) => index,
            Err(index) => {
                let entry = CachedRow { key: key.clone(), row: None, version: 0, is_stale: false };
                self.cache.insert(index, entry);
                index
            }
        };
        &mut self.cache[index]
    }
}

/// Returns the limit of `key` in the row or in the node's configuration, whichever is newer.
pub(crate) fn effective_limit(view: &ClusterView<'_>, key: &LimitKey, row: &LedgerRow) -> u32 {
    if row.config_version > view.config_version { row.limit } else { configured_limit(view, key) }
}

/// Grants the holding of `me` to local work.
///
/// If the holdings of all nodes exceed the limit, freezes it until they fit, so that no new work
/// starts. Returns true if they fit.
fn apply_holding(
    me: &Holder,
    key: &LimitKey,
    row: Option<&LedgerRow>,
    tokens: &dyn Tokens,
    view: &ClusterView<'_>,
) -> bool {
    let Some(row) = row else {
        tokens.grant(key, 0);
        return true;
    };
    let limit = effective_limit(view, key, row);
    let fits = row.total() <= limit && row.limit <= limit;
    if fits {
        tokens.unfreeze(key, view.config_version);
    } else {
        tokens.freeze(key, view.config_version);
    }
    tokens.grant(key, row.tokens_of(me));
    fits
}

/// Returns the limit of `key` in the node's configuration; 0 if it was removed.
fn configured_limit(view: &ClusterView<'_>, key: &LimitKey) -> u32 {
    let found = view.limits.binary_search_by(|limit| limit.key.cmp(key));
    found.map_or(0, |index| view.limits[index].count)
}
