//! The log of the ledger's transactions, from which all nodes keep their copies up to date.
//!
//! Each transaction also writes one log row with the changes of its rows; all these rows get the
//! version of the transaction. A node reads the log from a position slightly before the last row
//! that it has read, because transactions can be committed in another order than that of their
//! timestamps. Changes that it misses nevertheless are found by a conflict or by the sweep. The
//! node that wrote a log row deletes it after [`LOG_RETENTION`].

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use model::ConfigVersion;
use model::ids::random_id;
use serde::Deserialize;
use serde::Serialize;
use services::Row;
use services::RowVersion;
use services::Scan;
use services::Table;
use services::Unavailable;
use services::Write;

use super::ClusterView;
use super::Ledger;
use super::Tokens;
use super::read::decode;
use crate::key::LimitKey;
use crate::plan::PlannedChange;
use crate::row::Holder;
use crate::row::Holding;
use crate::row::LedgerRow;

/// Key prefix of the log rows.
const LOG_PREFIX: &str = "ledger-log/";
/// Time span before the last log row that is read again at each tick.
const SCAN_OVERLAP: Duration = Duration::from_secs(1);
/// Time after which the writer of a log row deletes it.
const LOG_RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of log rows that one transaction deletes.
const LOG_REMOVALS_MAX: usize = 32;

/// A node's position in the log, and the log rows that it has written.
#[derive(Default)]
pub struct LogState {
    /// Latest time of a log row that was read or written, in milliseconds since the epoch.
    latest_ms: u64,
    /// Keys of the log rows within the overlap that were already applied, sorted.
    seen_keys: Vec<String>,
    /// Times and keys of the log rows that this node has written, oldest first.
    written_keys: Vec<(u64, String)>,
}

/// The change of one ledger row within a log row.
#[derive(Serialize, Deserialize)]
struct LogEntry {
    /// Text form of the limit's key.
    #[serde(rename = "k")]
    key: String,
    /// Version of the row before the change; 0 if it didn't exist.
    #[serde(rename = "v")]
    previous_version: RowVersion,
    /// Limit after the change.
    #[serde(rename = "l")]
    limit: u32,
    /// Version of the configuration that set the limit.
    #[serde(rename = "c")]
    config_version: ConfigVersion,
    /// Holdings that changed, with their new count; removed holdings have a count of zero.
    #[serde(rename = "h")]
    holdings: Vec<Holding>,
}

impl LogState {
    /// Returns the writes that add a log row with `entries` and delete this node's expired log
    /// rows.
    fn writes(&mut self, me: &Holder, entries: &[LogEntry], now: SystemTime) -> Vec<Write> {
        let now_ms = since_epoch(now).as_millis() as u64;
        self.latest_ms = now_ms.max(self.latest_ms + 1);
        let key = format!("{}{}/{}", time_prefix(self.latest_ms), writer_id(me), random_id());
        let retention_ms = LOG_RETENTION.as_millis() as u64;
        let expired = self.written_keys.partition_point(|(at_ms, _)| at_ms + retention_ms < now_ms);
        let removed = self.written_keys.drain(..expired.min(LOG_REMOVALS_MAX));
        let mut writes: Vec<Write> = removed.map(|(_, key)| Write::Delete { key }).collect();
        writes.push(Write::put_json(&key, &entries));
        self.written_keys.push((self.latest_ms, key));
        writes
    }

    /// Returns the key after which the log is scanned.
    fn scan_start(&self) -> String {
        time_prefix(self.latest_ms.saturating_sub(SCAN_OVERLAP.as_millis() as u64))
    }

    /// Records that a log row was read; returns false if it was read before.
    fn record_seen(&mut self, key: &str) -> bool {
        let Err(index) = self.seen_keys.binary_search_by(|seen| seen.as_str().cmp(key)) else {
            return false;
        };
        self.seen_keys.insert(index, key.to_owned());
        self.latest_ms = self.latest_ms.max(time_of(key));
        true
    }

    /// Removes the keys of log rows that the next scan doesn't reach.
    fn forget_expired(&mut self) {
        let start = self.scan_start();
        let expired = self.seen_keys.partition_point(|key| *key < start);
        self.seen_keys.drain(..expired);
    }
}

impl Ledger {
    /// Applies the transactions that were logged since the last call.
    pub(super) async fn read_log(
        &mut self,
        table: &dyn Table,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) -> Result<(), Unavailable> {
        let mut after = self.log.scan_start();
        loop {
            let scan = Scan { after: Some(after), ..Scan::prefix(LOG_PREFIX) };
            let rows = table.scan(scan).await?;
            let Some(last) = rows.last() else {
                break;
            };
            after = last.key.clone();
            for row in &rows {
                if self.log.record_seen(&row.key) {
                    self.apply_log_row(row, tokens, view)?;
                }
            }
        }
        self.log.forget_expired();
        Ok(())
    }

    /// Returns the writes that log `changes`.
    pub(super) fn log_writes(
        &mut self,
        changes: &[(LimitKey, PlannedChange)],
        now: SystemTime,
    ) -> Vec<Write> {
        let entries: Vec<LogEntry> =
            changes.iter().map(|(key, change)| self.log_entry(key, &change.next)).collect();
        self.log.writes(&self.me, &entries, now)
    }

    fn log_entry(&self, key: &LimitKey, next: &LedgerRow) -> LogEntry {
        let entry = self.find(key).ok().map(|index| &self.cache[index]);
        let before = entry.and_then(|entry| Some((entry.version, entry.row.as_ref()?)));
        let holdings = match before {
            Some((_, row)) => row.changed_holdings(next),
            None => next.holdings.clone(),
        };
        LogEntry {
            key: key.to_string(),
            previous_version: before.map_or(0, |(version, _)| version),
            limit: next.limit,
            config_version: next.config_version,
            holdings,
        }
    }

    fn apply_log_row(
        &mut self,
        logged: &Row,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) -> Result<(), Unavailable> {
        let entries: Vec<LogEntry> = decode(logged)?;
        for entry in entries {
            if let Some(key) = LimitKey::parse(&entry.key) {
                self.apply_log_entry(&key, entry, logged.version, tokens, view);
            }
        }
        Ok(())
    }

    fn apply_log_entry(
        &mut self,
        key: &LimitKey,
        logged: LogEntry,
        version: RowVersion,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) {
        let cached = self.cache_entry(key);
        if version <= cached.version {
            return;
        }
        let cached_version = cached.row.as_ref().map_or(0, |_| cached.version);
        if cached.is_stale || cached_version != logged.previous_version {
            // An earlier change was missed, so the row must be read.
            cached.is_stale = true;
            return;
        }
        let mut next = cached.row.clone().unwrap_or_else(|| LedgerRow::new(0, 0));
        next.limit = logged.limit;
        next.config_version = logged.config_version;
        logged.holdings.into_iter().for_each(|holding| next.set_holding(holding));
        self.apply_row(key, next.unless_obsolete().cloned(), Some(version), tokens, view);
    }
}

/// Returns the keys of all log rows that `holder` has written.
pub(crate) async fn log_rows_of(
    table: &dyn Table,
    holder: &Holder,
) -> Result<Vec<String>, Unavailable> {
    let rows = table.scan(Scan::prefix(LOG_PREFIX)).await?;
    let part = format!("/{}/", writer_id(holder));
    Ok(rows.into_iter().map(|row| row.key).filter(|key| key.contains(&part)).collect())
}

fn writer_id(holder: &Holder) -> String {
    format!("{}.{:x}", holder.node, holder.incarnation)
}

fn time_prefix(at_ms: u64) -> String {
    format!("{LOG_PREFIX}{at_ms:016x}/")
}

fn time_of(key: &str) -> u64 {
    let time = key.strip_prefix(LOG_PREFIX).and_then(|rest| rest.split('/').next());
    time.and_then(|time| u64::from_str_radix(time, 16).ok()).unwrap_or(0)
}

fn since_epoch(now: SystemTime) -> Duration {
    now.duration_since(UNIX_EPOCH).unwrap_or_default()
}
