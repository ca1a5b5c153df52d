//! Reads the whole configuration, or the changes after a version.

use model::Change;
use model::Config;
use services::Row;
use services::Scan;
use services::Table;
use services::Unavailable;

use crate::rows::CHANGE_PREFIX;
use crate::rows::HEAD_KEY;
use crate::rows::Head;
use crate::rows::ROW_PREFIX;
use crate::rows::change_key;
use crate::rows::decode;

/// Maximum number of changes that one poll reads; a node further behind reads the whole
/// configuration.
const POLL_CHANGES_MAX: usize = 64;
/// Number of attempts to read the whole configuration while other changes are being committed.
const LOAD_ATTEMPTS_MAX: usize = 8;

/// Result of a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollResult {
    /// The given configuration is the latest.
    Unchanged,
    /// A newer configuration.
    Newer(Config),
    /// A newer configuration that was read as a whole, because applying the changes did not give
    /// the digest of the last change.
    Reloaded(Config),
}

/// Reads the head row. The row is `None`, and the head has version 0, before the first change.
pub async fn read_head(table: &dyn Table) -> Result<(Head, Option<Row>), Unavailable> {
    let row = table.get(HEAD_KEY).await?;
    let head = match &row {
        Some(row) => decode(row)?,
        None => Head::default(),
    };
    Ok((head, row))
}

/// Reads the whole configuration. Fails if it changed during each of the attempts.
pub async fn load(table: &dyn Table) -> Result<Config, Unavailable> {
    for _ in 0..LOAD_ATTEMPTS_MAX {
        let (before, _) = read_head(table).await?;
        let rows = scan_all(table, ROW_PREFIX).await?;
        let (after, _) = read_head(table).await?;
        if before != after {
            continue;
        }
        let decoded: Result<Vec<_>, _> = rows.iter().map(decode).collect();
        return Ok(Config::from_rows(after.version, decoded?));
    }
    Err(Unavailable::new("the configuration changed during every read"))
}

/// Reads the changes after `current`. One read of the table is enough if there are none.
pub async fn poll(table: &dyn Table, current: &Config) -> Result<PollResult, Unavailable> {
    let scan = Scan {
        prefix: CHANGE_PREFIX.to_owned(),
        after: Some(change_key(current.version)),
        rows_max: POLL_CHANGES_MAX,
    };
    let rows = table.scan(scan).await?;
    if rows.is_empty() {
        return Ok(PollResult::Unchanged);
    }
    let is_page_full = rows.len() == POLL_CHANGES_MAX;
    let mut config = current.clone();
    let mut digest = None;
    for row in &rows {
        let change: Change = decode(row)?;
        digest = change.digest.clone();
        match config.with_change(change) {
            Ok(next) => config = next,
            // The change row after `current` may have been removed by compaction.
            Err(_) => return Ok(PollResult::Newer(load(table).await?)),
        }
    }
    if digest.is_some_and(|digest| digest != config.digest()) {
        return Ok(PollResult::Reloaded(load(table).await?));
    }
    if is_page_full {
        Ok(PollResult::Newer(load(table).await?))
    } else {
        Ok(PollResult::Newer(config))
    }
}

async fn scan_all(table: &dyn Table, prefix: &str) -> Result<Vec<Row>, Unavailable> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map(|row| row.key.clone());
        let page = table.scan(Scan { after, ..Scan::prefix(prefix) }).await?;
        if page.is_empty() {
            return Ok(rows);
        }
        rows.extend(page);
    }
}
