//! Keeps the copy of the ledger up to date with few reads.
//!
//! If nothing has changed, a node reads only a short range of the log. Rows that are known to be
//! stale are read one by one, and a slow sweep over all rows finds other missed changes.

use services::Row;
use services::RowVersion;
use services::Scan;
use services::Table;
use services::Unavailable;

use super::ClusterView;
use super::Ledger;
use super::Tokens;
use super::apply_holding;
use super::effective_limit;
use crate::key::LEDGER_PREFIX;
use crate::key::LimitKey;
use crate::row::LedgerRow;

/// Maximum number of stale rows that a tick reads one by one; with more, it reads all rows.
const SINGLE_READS_MAX: usize = 16;
/// Ticks between two pages of the sweep.
const SWEEP_INTERVAL_TICKS: u64 = 16;
/// Rows in a page of the sweep.
const SWEEP_PAGE_ROWS: usize = 64;

impl Ledger {
    /// Reads the log and the stale rows, and a page of the sweep every [`SWEEP_INTERVAL_TICKS`].
    pub(crate) async fn refresh(
        &mut self,
        table: &dyn Table,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) -> Result<(), Unavailable> {
        self.freeze_lowered(tokens, view);
        self.read_log(table, tokens, view).await?;
        if !self.is_loaded {
            self.load(table, tokens, view).await?;
            self.is_loaded = true;
            return Ok(());
        }
        if self.tick_count.is_multiple_of(SWEEP_INTERVAL_TICKS) {
            self.sweep(table, tokens, view).await?;
        }
        let stale: Vec<LimitKey> =
            self.cache.iter().filter(|e| e.is_stale).map(|e| e.key.clone()).collect();
        if stale.len() > SINGLE_READS_MAX {
            return self.load(table, tokens, view).await;
        }
        for key in stale {
            let row = table.get(&key.row_key()).await?;
            self.apply_read(&key, row.as_ref(), tokens, view)?;
        }
        Ok(())
    }

    /// Reads all rows.
    pub(crate) async fn load(
        &mut self,
        table: &dyn Table,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) -> Result<(), Unavailable> {
        let mut after = None;
        loop {
            let scan = Scan { after: after.clone(), ..Scan::prefix(LEDGER_PREFIX) };
            let rows = table.scan(scan).await?;
            let last = rows.last().map(|row| row.key.clone());
            self.apply_range(after.as_deref(), last.as_deref(), &rows, tokens, view)?;
            if last.is_none() {
                return Ok(());
            }
            after = last;
        }
    }

    async fn sweep(
        &mut self,
        table: &dyn Table,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) -> Result<(), Unavailable> {
        let scan = Scan {
            prefix: LEDGER_PREFIX.to_owned(),
            after: self.sweep_position.clone(),
            rows_max: SWEEP_PAGE_ROWS,
        };
        let rows = table.scan(scan).await?;
        let is_last = rows.len() < SWEEP_PAGE_ROWS;
        let last = if is_last { None } else { rows.last().map(|row| row.key.clone()) };
        let after = self.sweep_position.clone();
        self.apply_range(after.as_deref(), last.as_deref(), &rows, tokens, view)?;
        self.sweep_position = last;
        Ok(())
    }

    /// Applies a scan of the range after `after` up to and including `last`.
    ///
    /// Cached rows of the range that are not in `rows` were deleted.
    fn apply_range(
        &mut self,
        after: Option<&str>,
        last: Option<&str>,
        rows: &[Row],
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) -> Result<(), Unavailable> {
        let in_range = |key: &str| {
            after.is_none_or(|after| key > after) && last.is_none_or(|last| key <= last)
        };
        let cached_keys = self.cache.iter().map(|entry| entry.key.clone());
        let gone: Vec<LimitKey> = cached_keys
            .filter(|key| {
                let row_key = key.row_key();
                let found = rows.binary_search_by(|row| row.key.as_str().cmp(&row_key));
                in_range(&row_key) && found.is_err()
            })
            .collect();
        for key in gone {
            self.apply_row(&key, None, None, tokens, view);
        }
        for row in rows {
            if let Some(key) = LimitKey::from_row_key(&row.key) {
                self.apply_read(&key, Some(row), tokens, view)?;
            }
        }
        Ok(())
    }

    fn apply_read(
        &mut self,
        key: &LimitKey,
        row: Option<&Row>,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) -> Result<(), Unavailable> {
        let decoded = row.map(decode).transpose()?;
        self.apply_row(key, decoded, row.map(|row| row.version), tokens, view);
        Ok(())
    }

    /// Updates the copy of a row and grants this node's holding to local work.
    ///
    /// `row` is `None` if the row doesn't exist; `version` is `None` if it is unknown.
    pub(super) fn apply_row(
        &mut self,
        key: &LimitKey,
        row: Option<LedgerRow>,
        version: Option<RowVersion>,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) {
        let me = self.me.clone();
        let fits = apply_holding(&me, key, row.as_ref(), tokens, view);
        let entry = self.cache_entry(key);
        entry.version = version.unwrap_or(entry.version);
        entry.row = row;
        // While the holdings exceed the limit, the row is read again: other nodes must reduce their
        // holdings before new work may start here.
        entry.is_stale = !fits;
    }

    /// Freezes each limit that the configuration has lowered since the last tick.
    ///
    /// Its row is read again before new work may acquire tokens.
    fn freeze_lowered(&mut self, tokens: &dyn Tokens, view: &ClusterView<'_>) {
        if self.config_version == view.config_version {
            return;
        }
        self.config_version = view.config_version;
        for entry in &mut self.cache {
            let lowered = entry
                .row
                .as_ref()
                .is_some_and(|row| row.limit > effective_limit(view, &entry.key, row));
            if lowered {
                tokens.freeze(&entry.key, view.config_version);
            }
            entry.is_stale |= lowered || tokens.is_frozen(&entry.key);
        }
    }
}

/// Decodes the JSON value of a row.
pub fn decode<T: serde::de::DeserializeOwned>(row: &Row) -> Result<T, Unavailable> {
    serde_json::from_slice(&row.value)
        .map_err(|error| Unavailable::new(format!("row `{}` is malformed: {error}", row.key)))
}
