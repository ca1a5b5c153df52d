//! One node's part in the ledger.
//!
//! A node changes the ledger in one transaction at a time, under the versions of the rows that it
//! read. Before the transaction is sent, the tokens that it gives away are out of use; tokens that it
//! brings are used only once the commit is known. While the outcome is unknown, both stay so, and
//! nothing else is written until it is resolved.
//!
//! Only the holder itself lowers its holding, or whoever has evidence that nothing of a gone holder
//! runs. So a node may use whatever a row said that it holds, for as long as it gives nothing away.

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
use crate::plan::Draft;
use crate::row::Holder;
use crate::row::LedgerRow;

pub(crate) use log::log_rows_of;
pub(crate) use write::asked;

use self::log::Log;

/// Window on the tokens that work at this node uses.
pub trait Tokens: Send + Sync {
    /// Tokens that no work has.
    fn unused(&self, key: &LimitKey) -> u32;

    /// Puts up to `count_max` unused tokens out of use; returns how many.
    fn cede(&self, key: &LimitKey, count_max: u32) -> u32;

    /// Sets the tokens that may be used.
    fn grant(&self, key: &LimitKey, granted: u32);

    /// Lets no work take a token, since `version` of the configuration lowered the limit.
    fn freeze(&self, key: &LimitKey, version: ConfigVersion);

    /// True while no work may take a token.
    fn is_frozen(&self, key: &LimitKey) -> bool;

    /// Lets work take tokens again, unless a version after `version` has lowered the limit.
    fn unfreeze(&self, key: &LimitKey, version: ConfigVersion);

    /// Puts all tokens out of use.
    fn revoke_all(&self);
}

/// What a node knows when it looks at the ledger.
pub struct ClusterView<'a> {
    /// Limits of the configuration, sorted by key.
    pub limits: &'a [Limit],
    /// Version of the configuration.
    pub config_version: ConfigVersion,
    /// Live nodes, this one included, sorted by holder.
    pub members: &'a [MemberDemand],
    /// Present time.
    pub now: SystemTime,
    /// True if this node is about to stop.
    pub is_leaving: bool,
}

/// What one look at the ledger came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TickOutcome {
    /// Nothing was to be written.
    Idle,
    /// Rows were written.
    Written {
        /// Rows.
        rows: usize,
    },
    /// Another node was faster; nothing was written.
    Conflict,
    /// The table refused the transaction; nothing was written.
    Refused,
    /// The outcome is not known yet.
    Unknown,
}

/// One node's copy of the ledger and its unfinished business there.
pub struct Ledger {
    me: Holder,
    /// Rows that exist or did exist, sorted by key.
    entries: Vec<Entry>,
    loaded: bool,
    tick_count: u64,
    /// Version of the configuration at the last tick.
    config_version: ConfigVersion,
    /// Last key that the sweep has read.
    swept: Option<String>,
    /// Which log rows were read and written.
    log: Log,
    unresolved: Option<Unresolved>,
    committer: Committer,
}

struct Entry {
    key: LimitKey,
    row: Option<LedgerRow>,
    /// Version of the row, or of the last row that is known to have been there; 0 for none.
    version: RowVersion,
    /// True if the row has changed since it was read, as far as is known.
    stale: bool,
}

struct Unresolved {
    operation_id: OperationId,
    drafts: Vec<(LimitKey, Draft)>,
}

impl Ledger {
    /// Part of `me`, which holds nothing as far as is known.
    pub fn new(me: Holder) -> Self {
        Self {
            me,
            entries: Vec::new(),
            loaded: false,
            tick_count: 0,
            config_version: 0,
            swept: None,
            log: Log::default(),
            unresolved: None,
            committer: Committer::default(),
        }
    }

    /// Whose part this is.
    pub fn me(&self) -> &Holder {
        &self.me
    }

    /// Row of `key` as last read or written.
    pub fn row(&self, key: &LimitKey) -> Option<&LedgerRow> {
        let index = self.find(key).ok()?;
        self.entries[index].row.as_ref()
    }

    /// Rows as last read or written, sorted by key.
    pub fn rows(&self) -> impl Iterator<Item = (&LimitKey, &LedgerRow)> {
        self.entries.iter().filter_map(|entry| Some((&entry.key, entry.row.as_ref()?)))
    }

    /// True while the outcome of a transaction is not known.
    pub fn is_unresolved(&self) -> bool {
        self.unresolved.is_some()
    }

    /// True if all rows were read once.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Reads what has changed, and writes what should change, in at most one transaction.
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
        let drafts = self.drafts(tokens, view);
        self.write(table, tokens, view, drafts).await
    }

    fn find(&self, key: &LimitKey) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.key.cmp(key))
    }

    fn entry(&mut self, key: &LimitKey) -> &mut Entry {
        let index = match self.find(key) {
            Ok(index) => index,
            Err(index) => {
                let entry = Entry { key: key.clone(), row: None, version: 0, stale: false };
                self.entries.insert(index, entry);
                index
            }
        };
        &mut self.entries[index]
    }
}

/// Limit of `key` by the later of row and view.
pub(crate) fn effective_limit(view: &ClusterView<'_>, key: &LimitKey, row: &LedgerRow) -> u32 {
    if row.config_version > view.config_version { row.limit } else { limit_of(view, key) }
}

/// Puts the holding of `me` in use, unless more is held in all than the limit allows; true if so.
fn put_in_use(
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
    tokens.grant(key, row.held(me));
    fits
}

/// Limit of `key` by the view; 0 if it is gone.
fn limit_of(view: &ClusterView<'_>, key: &LimitKey) -> u32 {
    let found = view.limits.binary_search_by(|limit| limit.key.cmp(key));
    found.map_or(0, |index| view.limits[index].count)
}
