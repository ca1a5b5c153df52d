//! In-memory implementations of the platform's services.

use std::sync::Mutex;
use std::sync::MutexGuard;

use async_trait::async_trait;
use bytes::Bytes;
use model::OperationId;

use crate::fleet::Fleet;
use crate::fleet::FleetHost;
use crate::fleet::RebootState;
use crate::objects::Objects;
use crate::table::CommitOutcome;
use crate::table::Precondition;
use crate::table::Row;
use crate::table::RowVersion;
use crate::table::Scan;
use crate::table::Table;
use crate::table::Transaction;
use crate::table::Unavailable;
use crate::table::Write;

/// Table in memory; its rows are lost when the process exits.
#[derive(Default)]
pub struct MemoryTable {
    state: Mutex<TableState>,
}

#[derive(Default)]
struct TableState {
    /// Version of the last commit; 0 before the first one.
    version: RowVersion,
    /// Rows, sorted by key.
    rows: Vec<Row>,
}

impl MemoryTable {
    /// Returns the number of rows whose key starts with `prefix`.
    pub fn count(&self, prefix: &str) -> usize {
        self.lock().rows.iter().filter(|row| row.key.starts_with(prefix)).count()
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().expect("lock is never poisoned")
    }
}

impl TableState {
    fn find(&self, key: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.key.as_str().cmp(key))
    }

    fn holds(&self, precondition: &Precondition) -> bool {
        match (precondition, self.find(precondition.key())) {
            (Precondition::Absent { .. }, found) => found.is_err(),
            (Precondition::VersionIs { version, .. }, Ok(index)) => {
                self.rows[index].version == *version
            }
            (Precondition::VersionIs { .. }, Err(_)) => false,
        }
    }

    fn apply(&mut self, write: &Write) {
        match write {
            Write::Put { key, value } => {
                let row = Row { key: key.clone(), version: self.version, value: value.clone() };
                match self.find(key) {
                    Ok(index) => self.rows[index] = row,
                    Err(index) => self.rows.insert(index, row),
                }
            }
            Write::Delete { key } => {
                if let Ok(index) = self.find(key) {
                    self.rows.remove(index);
                }
            }
        }
    }
}

#[async_trait]
impl Table for MemoryTable {
    async fn get(&self, key: &str) -> Result<Option<Row>, Unavailable> {
        let state = self.lock();
        Ok(state.find(key).ok().map(|index| state.rows[index].clone()))
    }

    async fn scan(&self, scan: Scan) -> Result<Vec<Row>, Unavailable> {
        let state = self.lock();
        let start = scan.after.as_deref().unwrap_or(&scan.prefix).max(&scan.prefix).to_owned();
        let first = state.rows.partition_point(|row| row.key < start);
        let rows = state.rows[first..].iter();
        Ok(rows
            .skip_while(|row| Some(&row.key) == scan.after.as_ref())
            .take_while(|row| row.key.starts_with(&scan.prefix))
            .take(scan.rows_max)
            .cloned()
            .collect())
    }

    async fn commit(&self, transaction: &Transaction) -> CommitOutcome {
        let mut state = self.lock();
        let failed = transaction.preconditions.iter().find(|p| !state.holds(p));
        if let Some(precondition) = failed {
            return CommitOutcome::Conflict { key: precondition.key().to_owned() };
        }
        state.version += 1;
        for write in &transaction.writes {
            state.apply(write);
        }
        CommitOutcome::Committed { version: state.version }
    }
}

/// Object store in memory; its objects are lost when the process exits.
#[derive(Default)]
pub struct MemoryObjects {
    /// Objects, sorted by name.
    objects: Mutex<Vec<(String, Bytes)>>,
}

impl MemoryObjects {
    fn lock(&self) -> MutexGuard<'_, Vec<(String, Bytes)>> {
        self.objects.lock().expect("lock is never poisoned")
    }
}

fn find_object(objects: &[(String, Bytes)], name: &str) -> Result<usize, usize> {
    objects.binary_search_by(|(other, _)| other.as_str().cmp(name))
}

#[async_trait]
impl Objects for MemoryObjects {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), Unavailable> {
        let mut objects = self.lock();
        match find_object(&objects, name) {
            Ok(index) => objects[index].1 = body,
            Err(index) => objects.insert(index, (name.to_owned(), body)),
        }
        Ok(())
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, Unavailable> {
        let objects = self.lock();
        Ok(find_object(&objects, name).ok().map(|index| objects[index].1.clone()))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, Unavailable> {
        let objects = self.lock();
        let names = objects.iter().map(|(name, _)| name);
        Ok(names.filter(|name| name.starts_with(prefix)).cloned().collect())
    }

    async fn delete(&self, name: &str) -> Result<(), Unavailable> {
        let mut objects = self.lock();
        if let Ok(index) = find_object(&objects, name) {
            objects.remove(index);
        }
        Ok(())
    }
}

/// Host list in memory, for a node without a platform. The list is initially empty, and every
/// reboot is done at once.
#[derive(Default)]
pub struct MemoryFleet {
    /// The host list that is returned.
    pub hosts: Mutex<Vec<FleetHost>>,
}

#[async_trait]
impl Fleet for MemoryFleet {
    async fn hosts(&self) -> Result<Vec<FleetHost>, Unavailable> {
        Ok(self.hosts.lock().expect("lock is never poisoned").clone())
    }

    async fn reboot(
        &self,
        _host: &str,
        _operation: &OperationId,
    ) -> Result<RebootState, Unavailable> {
        Ok(RebootState::Done)
    }
}
