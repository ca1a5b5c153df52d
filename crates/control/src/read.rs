//! Reads the configuration, whole or from a version on.

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

/// Changes read in one poll at most; a follower further behind loads everything.
const CHANGES_MAX: usize = 64;
/// Reads of the whole configuration before giving up on a head that keeps moving.
const LOAD_TRIES: usize = 8;

/// What a poll brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollResult {
    /// The given configuration is the latest.
    Unchanged,
    /// A later configuration.
    Newer(Config),
    /// A later configuration, read whole since its changes did not add up to its digest.
    Reloaded(Config),
}

/// Reads the head row; the row itself is `None` before the first change.
pub async fn read_head(table: &dyn Table) -> Result<(Head, Option<Row>), Unavailable> {
    let row = table.get(HEAD_KEY).await?;
    let head = match &row {
        Some(row) => decode(row)?,
        None => Head::default(),
    };
    Ok((head, row))
}

/// Reads the whole configuration.
pub async fn load(table: &dyn Table) -> Result<Config, Unavailable> {
    for _ in 0..LOAD_TRIES {
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

/// Reads what follows `held`; one read of the table when nothing does.
pub async fn poll(table: &dyn Table, held: &Config) -> Result<PollResult, Unavailable> {
    let scan = Scan {
        prefix: CHANGE_PREFIX.to_owned(),
        after: Some(change_key(held.version)),
        rows_max: CHANGES_MAX,
    };
    let rows = table.scan(scan).await?;
    if rows.is_empty() {
        return Ok(PollResult::Unchanged);
    }
    let whole = rows.len() == CHANGES_MAX;
    let mut config = held.clone();
    let mut digest = None;
    for row in &rows {
        let change: Change = decode(row)?;
        digest = change.digest.clone();
        match config.with_change(change) {
            Ok(next) => config = next,
            // Older change rows may have been compacted away.
            Err(_) => return Ok(PollResult::Newer(load(table).await?)),
        }
    }
    if digest.is_some_and(|digest| digest != config.digest()) {
        return Ok(PollResult::Reloaded(load(table).await?));
    }
    if whole { Ok(PollResult::Newer(load(table).await?)) } else { Ok(PollResult::Newer(config)) }
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
