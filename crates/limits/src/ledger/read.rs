//! Keeps the copy of the ledger up to date with few reads.
//!
//! Whoever adds to another node's holding leaves a notice for it in the same transaction, so a node
//! with nothing new reads one empty range. A slow sweep over all rows finds what notices missed.

use platform::Row;
use platform::Scan;
use platform::Table;
use platform::Unavailable;

use super::Ledger;
use super::Tokens;
use super::View;
use super::effective_limit;
use super::put_in_use;
use crate::key::LEDGER_PREFIX;
use crate::key::LimitKey;
use crate::row::Holder;
use crate::row::LedgerRow;

/// Prefix of the notices.
pub const NOTICE_PREFIX: &str = "ledger-notice/";
/// Rows read one by one in a tick; more are read as a range.
const SINGLE_READS_MAX: usize = 16;
/// Ticks from one page of the sweep to the next.
const SWEEP_TICKS: u64 = 16;
/// Rows of a page of the sweep.
const SWEEP_ROWS: usize = 64;

impl Ledger {
    /// Reads notices, rows that are known to have changed, and now and then a page of the sweep.
    pub(crate) async fn refresh(
        &mut self,
        table: &dyn Table,
        tokens: &dyn Tokens,
        view: &View<'_>,
    ) -> Result<(), Unavailable> {
        self.freeze_lowered(tokens, view);
        if !self.loaded {
            self.load(table, tokens, view).await?;
            self.loaded = true;
            return Ok(());
        }
        self.read_notices(table).await?;
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
            self.learn(&key, row.as_ref(), tokens, view)?;
        }
        Ok(())
    }

    /// Reads all rows.
    pub(crate) async fn load(
        &mut self,
        table: &dyn Table,
        tokens: &dyn Tokens,
        view: &View<'_>,
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
        view: &View<'_>,
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

    async fn read_notices(&mut self, table: &dyn Table) -> Result<(), Unavailable> {
        let notices = table.scan(Scan::prefix(notices_of(&self.me))).await?;
        for notice in notices {
            let Err(index) = self.read_notices.binary_search(&notice.key) else {
                continue;
            };
            let keys: Vec<String> = decode(&notice)?;
            for key in keys.iter().filter_map(|key| LimitKey::parse(key)) {
                self.entry(&key).stale = true;
            }
            self.read_notices.insert(index, notice.key);
        }
        Ok(())
    }

    /// Takes note of all rows after `after` up to `last`; those that are not in `rows` are gone.
    fn learn_range(
        &mut self,
        after: Option<&str>,
        last: Option<&str>,
        rows: &[Row],
        tokens: &dyn Tokens,
        view: &View<'_>,
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
            self.learn(&key, None, tokens, view)?;
        }
        for row in rows {
            if let Some(key) = LimitKey::from_row_key(&row.key) {
                self.learn(&key, Some(row), tokens, view)?;
            }
        }
        Ok(())
    }

    /// Takes note of a row as read, and puts this node's holding in use.
    fn learn(
        &mut self,
        key: &LimitKey,
        row: Option<&Row>,
        tokens: &dyn Tokens,
        view: &View<'_>,
    ) -> Result<(), Unavailable> {
        let decoded: Option<LedgerRow> = row.map(decode).transpose()?;
        let me = self.me.clone();
        let fits = put_in_use(&me, key, decoded.as_ref(), tokens, view);
        let entry = self.entry(key);
        entry.version = row.map(|row| row.version);
        entry.row = decoded;
        // While it does not fit, others have to change it before this node may use its tokens.
        entry.stale = !fits;
        Ok(())
    }

    /// Stops the use of tokens of each limit that the configuration has lowered since; their rows
    /// are read again before the tokens are used again.
    fn freeze_lowered(&mut self, tokens: &dyn Tokens, view: &View<'_>) {
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

/// Prefix of the notices to `holder`.
pub fn notices_of(holder: &Holder) -> String {
    format!("{NOTICE_PREFIX}{}/{:016x}/", holder.node, holder.incarnation)
}

fn decode<T: serde::de::DeserializeOwned>(row: &Row) -> Result<T, Unavailable> {
    serde_json::from_slice(&row.value)
        .map_err(|error| Unavailable::new(format!("row `{}` is malformed: {error}", row.key)))
}
