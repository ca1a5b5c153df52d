//! The log of the ledger: what each transaction wrote, so that all nodes keep exact copies.
//!
//! Each transaction writes one log row with the rows that it changed; all of them have the version of
//! that transaction. A node reads the log from where it stopped, a little before in fact, since a
//! transaction may come in after one with a later time. What it misses all the same, it learns from a
//! conflict or the sweep. The writer removes its log rows after a while.

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
use crate::plan::Draft;
use crate::row::Holder;
use crate::row::Holding;
use crate::row::LedgerRow;

/// Prefix of the log rows.
const LOG_PREFIX: &str = "ledger-log/";
/// Time before the last log row from which the log is read again.
const OVERLAP: Duration = Duration::from_secs(1);
/// Time for which log rows are kept.
const LOG_KEPT: Duration = Duration::from_secs(30);
/// Log rows that one transaction removes at most.
const REMOVED_MAX: usize = 32;

/// What one node has read of the log and written to it.
#[derive(Default)]
pub struct Log {
    /// Latest time of a log row that was read or written, in milliseconds.
    latest_ms: u64,
    /// Keys of the log rows that were read within the overlap, sorted.
    heard: Vec<String>,
    /// Keys of the log rows that this node has written, oldest first.
    written: Vec<(u64, String)>,
}

/// One changed row in a log row.
#[derive(Serialize, Deserialize)]
struct Entry {
    /// Key of the limit.
    #[serde(rename = "k")]
    key: String,
    /// Version of the row before the change; 0 if there was none.
    #[serde(rename = "v")]
    from: RowVersion,
    /// Limit after the change.
    #[serde(rename = "l")]
    limit: u32,
    /// Version of the configuration that set the limit.
    #[serde(rename = "c")]
    config_version: ConfigVersion,
    /// Holdings that changed.
    #[serde(rename = "h")]
    holdings: Vec<Holding>,
}

impl Log {
    /// Writes of a log row of `entries`, and of the removal of old ones.
    fn writes(&mut self, me: &Holder, entries: &[Entry], now: SystemTime) -> Vec<Write> {
        let now_ms = since_epoch(now).as_millis() as u64;
        self.latest_ms = now_ms.max(self.latest_ms + 1);
        let key = format!("{}{}/{}", time_prefix(self.latest_ms), writer(me), random_id());
        let kept_ms = LOG_KEPT.as_millis() as u64;
        let old = self.written.partition_point(|(at_ms, _)| at_ms + kept_ms < now_ms);
        let removed = self.written.drain(..old.min(REMOVED_MAX));
        let mut writes: Vec<Write> = removed.map(|(_, key)| Write::Delete { key }).collect();
        writes.push(Write::put_json(&key, &entries));
        self.written.push((self.latest_ms, key));
        writes
    }

    fn start(&self) -> String {
        time_prefix(self.latest_ms.saturating_sub(OVERLAP.as_millis() as u64))
    }

    /// Takes note of a log row; false if it was read before.
    fn hear(&mut self, key: &str) -> bool {
        let Err(index) = self.heard.binary_search_by(|heard| heard.as_str().cmp(key)) else {
            return false;
        };
        self.heard.insert(index, key.to_owned());
        self.latest_ms = self.latest_ms.max(time_of(key));
        true
    }

    fn forget(&mut self) {
        let start = self.start();
        let old = self.heard.partition_point(|key| *key < start);
        self.heard.drain(..old);
    }
}

impl Ledger {
    /// Brings the copy up to date with what was written since.
    pub(super) async fn read_log(
        &mut self,
        table: &dyn Table,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) -> Result<(), Unavailable> {
        let mut after = self.log.start();
        loop {
            let scan = Scan { after: Some(after), ..Scan::prefix(LOG_PREFIX) };
            let rows = table.scan(scan).await?;
            let Some(last) = rows.last() else {
                break;
            };
            after = last.key.clone();
            for row in &rows {
                if self.log.hear(&row.key) {
                    self.follow(row, tokens, view)?;
                }
            }
        }
        self.log.forget();
        Ok(())
    }

    /// Writes that log `drafts`.
    pub(super) fn log_writes(
        &mut self,
        drafts: &[(LimitKey, Draft)],
        now: SystemTime,
    ) -> Vec<Write> {
        let entries: Vec<Entry> =
            drafts.iter().map(|(key, draft)| self.log_entry(key, &draft.next)).collect();
        self.log.writes(&self.me, &entries, now)
    }

    fn log_entry(&self, key: &LimitKey, next: &LedgerRow) -> Entry {
        let entry = self.find(key).ok().map(|index| &self.entries[index]);
        let before = entry.and_then(|entry| Some((entry.version, entry.row.as_ref()?)));
        let holdings = match before {
            Some((_, row)) => row.changed(next),
            None => next.holdings.clone(),
        };
        Entry {
            key: key.to_string(),
            from: before.map_or(0, |(version, _)| version),
            limit: next.limit,
            config_version: next.config_version,
            holdings,
        }
    }

    fn follow(
        &mut self,
        logged: &Row,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) -> Result<(), Unavailable> {
        let entries: Vec<Entry> = decode(logged)?;
        for entry in entries {
            if let Some(key) = LimitKey::parse(&entry.key) {
                self.follow_entry(&key, entry, logged.version, tokens, view);
            }
        }
        Ok(())
    }

    fn follow_entry(
        &mut self,
        key: &LimitKey,
        logged: Entry,
        version: RowVersion,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) {
        let held = self.entry(key);
        if version <= held.version {
            return;
        }
        let held_version = held.row.as_ref().map_or(0, |_| held.version);
        if held.stale || held_version != logged.from {
            // Something before it was missed, so the row has to be read.
            held.stale = true;
            return;
        }
        let mut next = held.row.clone().unwrap_or_else(|| LedgerRow::new(0, 0));
        next.limit = logged.limit;
        next.config_version = logged.config_version;
        logged.holdings.into_iter().for_each(|holding| next.set(holding));
        self.learn(key, next.if_any().cloned(), Some(version), tokens, view);
    }
}

/// Keys of all log rows that `holder` has written.
pub(crate) async fn log_rows_of(
    table: &dyn Table,
    holder: &Holder,
) -> Result<Vec<String>, Unavailable> {
    let rows = table.scan(Scan::prefix(LOG_PREFIX)).await?;
    let part = format!("/{}/", writer(holder));
    Ok(rows.into_iter().map(|row| row.key).filter(|key| key.contains(&part)).collect())
}

fn writer(holder: &Holder) -> String {
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
