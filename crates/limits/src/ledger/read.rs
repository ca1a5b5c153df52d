//! Keeps the copy of the ledger up to date with few reads.
//!
//! A node with nothing new reads one short range of the log. Rows that it knows to have missed are
//! read one by one, and a slow sweep over all rows finds what it does not know to have missed.

use services::Row;
use services::RowVersion;
use services::Scan;
use services::Table;
use services::Unavailable;

use super::ClusterView;
use super::Ledger;
use super::Tokens;
use super::effective_limit;
use super::put_in_use;
use crate::key::LEDGER_PREFIX;
use crate::key::LimitKey;
use crate::row::LedgerRow;

/// Rows read one by one in a tick; more are read as a range.
const SINGLE_READS_MAX: usize = 16;
/// Ticks from one page of the sweep to the next.
const SWEEP_TICKS: u64 = 16;
/// Rows of a page of the sweep.
const SWEEP_ROWS: usize = 64;

impl Ledger {
    /// Reads the log, rows that are known to have changed, and now and then a page of the sweep.
    pub(crate) async fn refresh(
        &mut self,
        table: &dyn Table,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) -> Result<(), Unavailable> {
        self.freeze_lowered(tokens, view);
        self.read_log(table, tokens, view).await?;
        if !self.loaded {
            self.load(table, tokens, view).await?;
            self.loaded = true;
            return Ok(());
        }
        if self.tick_count.is_multiple_of(SWEEP_TICKS) {
            self.sweep(table, tokens, view).await?;
        }
        let stale: Vec<LimitKey> =
            self.entries.iter().filter(|e| e.stale).map(|e| e.key.clone()).collect();
        if stale.len() > SINGLE_READS_MAX {
            return self.load(table, tokens, view).await;
        }
        for key in stale {
            let row = table.get(&key.row_key()).await?;
            self.learn_row(&key, row.as_ref(), tokens, view)?;
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
            self.learn_range(after.as_deref(), last.as_deref(), &rows, tokens, view)?;
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
            after: self.swept.clone(),
            rows_max: SWEEP_ROWS,
        };
        let rows = table.scan(scan).await?;
        let is_last = rows.len() < SWEEP_ROWS;
        let last = if is_last { None } else { rows.last().map(|row| row.key.clone()) };
        let after = self.swept.clone();
        self.learn_range(after.as_deref(), last.as_deref(), &rows, tokens, view)?;
        self.swept = last;
        Ok(())
    }

    /// Takes note of all rows after `after` up to `last`; those that are not in `rows` are gone.
    fn learn_range(
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
        let known = self.entries.iter().map(|entry| entry.key.clone());
        let gone: Vec<LimitKey> = known
            .filter(|key| {
                let row_key = key.row_key();
                let found = rows.binary_search_by(|row| row.key.as_str().cmp(&row_key));
                in_range(&row_key) && found.is_err()
            })
            .collect();
        for key in gone {
            self.learn(&key, None, None, tokens, view);
        }
        for row in rows {
            if let Some(key) = LimitKey::from_row_key(&row.key) {
                self.learn_row(&key, Some(row), tokens, view)?;
            }
        }
        Ok(())
    }

    fn learn_row(
        &mut self,
        key: &LimitKey,
        row: Option<&Row>,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) -> Result<(), Unavailable> {
        let decoded = row.map(decode).transpose()?;
        self.learn(key, decoded, row.map(|row| row.version), tokens, view);
        Ok(())
    }

    /// Takes note of a row as read, and puts this node's holding in use.
    pub(super) fn learn(
        &mut self,
        key: &LimitKey,
        row: Option<LedgerRow>,
        version: Option<RowVersion>,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) {
        let me = self.me.clone();
        let fits = put_in_use(&me, key, row.as_ref(), tokens, view);
        let entry = self.entry(key);
        entry.version = version.unwrap_or(entry.version);
        entry.row = row;
        // While it does not fit, others have to change it before this node may use its tokens.
        entry.stale = !fits;
    }

    /// Stops the use of tokens of each limit that the configuration has lowered since; their rows
    /// are read again before the tokens are used again.
    fn freeze_lowered(&mut self, tokens: &dyn Tokens, view: &ClusterView<'_>) {
        if self.config_version == view.config_version {
            return;
        }
        self.config_version = view.config_version;
        for entry in &mut self.entries {
            let lowered = entry
                .row
                .as_ref()
                .is_some_and(|row| row.limit > effective_limit(view, &entry.key, row));
            if lowered {
                tokens.freeze(&entry.key, view.config_version);
            }
            entry.stale |= lowered || tokens.is_frozen(&entry.key);
        }
    }
}

/// Value of a row in JSON.
pub fn decode<T: serde::de::DeserializeOwned>(row: &Row) -> Result<T, Unavailable> {
    serde_json::from_slice(&row.value)
        .map_err(|error| Unavailable::new(format!("row `{}` is malformed: {error}", row.key)))
}
