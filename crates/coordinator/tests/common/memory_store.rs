//! The table of the platform in memory.

use std::time::Duration;

use bytes::Bytes;
use coordinator::ports::Changes;
use coordinator::ports::ReadError;
use coordinator::ports::Row;
use coordinator::ports::RowVersion;
use coordinator::ports::Store;
use coordinator::ports::Table;
use coordinator::ports::Transaction;
use coordinator::ports::WriteOutcome;
use scheduler::ShardIndex;

use super::Memory;
use super::RowKey;
use super::SLOW_WRITE_TIME;
use super::TableFault;
use super::row_key;
use super::shard_of;
use super::table_number;
use super::worker_name;

/// Time limit of a call, beyond the time that it waits for changes.
const CALL_TIME_MAX: Duration = Duration::from_millis(1_500);

impl Memory {
    /// Commits the next writes without ever replying to them.
    pub fn hang_writes(&self, count: u32) {
        self.data.lock().unwrap().hung_writes_left = count;
    }

    /// Gives the next calls for changes of the inbox no reply.
    pub fn hang_inbox_reads(&self, count: u32) {
        self.data.lock().unwrap().hung_inbox_reads_left = count;
    }

    /// Returns the number of calls that are still to get no reply.
    pub fn hung_inbox_reads_left(&self) -> u32 {
        self.data.lock().unwrap().hung_inbox_reads_left
    }

    /// Returns true if a call for changes of a table gets no reply.
    fn takes_hung_read(&self, table: Table) -> bool {
        let mut data = self.data.lock().unwrap();
        let is_hung = matches!(table, Table::Inbox) && data.hung_inbox_reads_left > 0;
        data.hung_inbox_reads_left -= u32::from(is_hung);
        is_hung
    }

    /// Commits writes at once, and replies to them after `delay`. An owner that is suspended sees the
    /// same.
    pub fn delay_replies(&self, delay: Duration) {
        self.data.lock().unwrap().reply_delay = delay;
    }

    /// Returns the latest deadline of a lease that a poll has requested.
    pub fn lease_deadline_ms(&self) -> Option<u64> {
        self.data.lock().unwrap().lease_deadline_ms
    }

    /// Makes each read of the registry tell that all workers were removed and registered again.
    pub fn register_workers_again(&self) {
        self.data.lock().unwrap().are_workers_registered_again = true;
    }

    /// Returns the workers that were removed and registered again.
    pub fn removed_workers(&self) -> Vec<String> {
        let are_registered_again = self.data.lock().unwrap().are_workers_registered_again;
        let count = if are_registered_again { self.host_count } else { 0 };
        (1..=count).map(|number| worker_name(number).to_string()).collect()
    }

    /// Returns the values of the rows of a table.
    pub fn values(&self, table: Table) -> Vec<Bytes> {
        let data = self.data.lock().unwrap();
        let rows = data.rows.iter().filter(|((number, ..), _)| *number == table_number(table));
        rows.map(|(_, (value, _))| value.clone()).collect()
    }

    /// Returns the number of writes of a slow table that are not committed yet.
    pub fn writes_in_progress(&self) -> usize {
        self.data.lock().unwrap().writes_in_progress
    }

    /// Returns whether the table holds the record of a job.
    pub fn has_job(&self, id: &str) -> bool {
        let key = row_key(0, Table::Jobs, id);
        self.data.lock().unwrap().rows.contains_key(&key)
    }

    /// Returns true if a write that was committed gets no reply.
    fn takes_hung_write(&self) -> bool {
        let mut data = self.data.lock().unwrap();
        let is_hung = data.hung_writes_left > 0;
        data.hung_writes_left = data.hung_writes_left.saturating_sub(1);
        is_hung
    }

    /// Reads the rows of a table; those of all shards unless one is given.
    fn read(&self, shard: Option<ShardIndex>, table: Table) -> Result<Vec<Row>, ReadError> {
        let data = self.data.lock().unwrap();
        if !matches!(data.fault, TableFault::None | TableFault::Slow | TableFault::LosesReplies) {
            return Err(ReadError::Refused("table is down".to_owned()));
        }
        let rows = data.rows.iter().filter(|((number, row_shard, _), _)| {
            let is_of_shard = shard.is_none_or(|shard| shard_of(shard, table) == *row_shard);
            *number == table_number(table) && is_of_shard
        });
        let row = |((_, _, key), (value, version)): (&RowKey, &(Bytes, RowVersion))| Row {
            key: key.clone(),
            value: value.clone(),
            version: *version,
        };
        Ok(rows.map(row).collect())
    }
}

impl Store for Memory {
    async fn get(
        &self,
        shard: ShardIndex,
        table: Table,
        key: &str,
    ) -> Result<Option<Row>, ReadError> {
        Ok(self.read(Some(shard), table)?.into_iter().find(|row| row.key == key))
    }

    async fn read_all(&self, shard: ShardIndex, table: Table) -> Result<Changes<Row>, ReadError> {
        let panics_left = {
            let mut data = self.data.lock().unwrap();
            let left = data.panics_left;
            data.panics_left = left.saturating_sub(1);
            left
        };
        assert_eq!(panics_left, 0, "a fault of the program");
        let changed = self.read(Some(shard), table)?;
        let version = self.data.lock().unwrap().version;
        Ok(Changes { changed, removed: Vec::new(), is_snapshot: true, version })
    }

    async fn remove_from_inbox(&self, keys: Vec<String>) -> WriteOutcome {
        let removals = keys.into_iter().map(|key| (Table::Inbox, key)).collect();
        self.write(Transaction { removals, ..Transaction::default() }).await
    }

    async fn changes(
        &self,
        table: Table,
        after: RowVersion,
        wait: Duration,
    ) -> Result<Changes<Row>, ReadError> {
        if after < self.data.lock().unwrap().history_from {
            self.data.lock().unwrap().refused_change_reads += 1;
            return Err(ReadError::HistoryGone);
        }
        if self.takes_hung_read(table) {
            tokio::time::sleep(wait + CALL_TIME_MAX).await;
            return Err(ReadError::NoReply("no reply".to_owned()));
        }
        let until = tokio::time::Instant::now() + wait;
        loop {
            let rows = self.read(None, table)?;
            let changed: Vec<Row> = rows.into_iter().filter(|row| row.version > after).collect();
            let version = self.data.lock().unwrap().version;
            if !changed.is_empty() || tokio::time::Instant::now() >= until {
                return Ok(Changes { changed, version, ..Changes::default() });
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn write(&self, transaction: Transaction) -> WriteOutcome {
        let is_slow = self.data.lock().unwrap().fault == TableFault::Slow;
        if is_slow {
            self.data.lock().unwrap().writes_in_progress += 1;
            tokio::time::sleep(SLOW_WRITE_TIME).await;
            self.data.lock().unwrap().writes_in_progress -= 1;
        }
        let outcome = self.commit(transaction);
        if self.takes_hung_write() {
            std::future::pending::<()>().await;
        }
        let reply_delay = self.data.lock().unwrap().reply_delay;
        tokio::time::sleep(reply_delay).await;
        outcome
    }
}

impl Memory {
    /// Commits a transaction. One that both writes and removes a row is rejected, since it isn't
    /// specified what the store does with it.
    fn commit(&self, transaction: Transaction) -> WriteOutcome {
        let mut data = self.data.lock().unwrap();
        let is_written = |removal: &(Table, String)| {
            let mut puts = transaction.puts.iter();
            puts.any(|(table, key, _)| (*table, key) == (removal.0, &removal.1))
        };
        if transaction.removals.iter().any(is_written) {
            return WriteOutcome::Rejected("a row is written and removed".to_owned());
        }
        match data.fault {
            TableFault::Unavailable => return WriteOutcome::Refused("table is down".to_owned()),
            TableFault::Silent => return WriteOutcome::Unknown("no reply".to_owned()),
            TableFault::None | TableFault::Slow | TableFault::LosesReplies => {}
        }
        let mut found = Vec::new();
        let mut holds = true;
        for (table, key, version) in &transaction.preconditions {
            let row = data.rows.get(&row_key(transaction.shard, *table, key));
            holds &= row.map_or(0, |(_, version)| *version) == *version;
            if let Some((value, version)) = row {
                found.push(Row { key: key.clone(), value: value.clone(), version: *version });
            }
        }
        if !holds {
            return WriteOutcome::Conflict(found);
        }
        data.version += 1;
        let version = data.version;
        for (table, key, value) in transaction.puts {
            data.rows.insert(row_key(transaction.shard, table, &key), (value, version));
        }
        for (table, key) in transaction.removals {
            data.rows.remove(&row_key(transaction.shard, table, &key));
        }
        match data.fault {
            TableFault::LosesReplies => WriteOutcome::Unknown("the reply was lost".to_owned()),
            _ => WriteOutcome::Committed(version),
        }
    }
}
