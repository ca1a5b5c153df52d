//! Tokens of one node.

use std::sync::Mutex;
use std::sync::MutexGuard;

use model::HostId;
use model::TeamRef;

/// What a limit counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LimitKey {
    /// Running requests and tasks of a team.
    Running(TeamRef),
    /// Slots of a backend server.
    Slots(HostId),
    /// Connections to a backend server.
    Connections(HostId),
}

/// What this node holds of one limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allotment {
    /// The limit.
    pub key: LimitKey,
    /// Tokens that this node may use.
    pub granted: u32,
    /// Tokens in use by running work.
    pub running: u32,
    /// Tokens whose work may still be running somewhere.
    pub in_doubt: u32,
}

impl Allotment {
    /// Tokens that new work may take.
    pub fn spare(&self) -> u32 {
        self.granted.saturating_sub(self.running + self.in_doubt)
    }
}

/// All allotments of this node, sorted by key.
#[derive(Default)]
pub struct LimitTable {
    rows: Mutex<Vec<Allotment>>,
}

impl LimitTable {
    /// Takes a token; false if there is none to spare.
    pub fn take(&self, key: &LimitKey) -> bool {
        self.change(key, |row| {
            if row.spare() == 0 {
                return false;
            }
            row.running += 1;
            true
        })
    }

    /// Gives back a token whose work has ended for certain.
    pub fn release(&self, key: &LimitKey) {
        self.change(key, |row| row.running = row.running.saturating_sub(1));
    }

    /// Holds back a token whose work may still be running.
    pub fn doubt(&self, key: &LimitKey) {
        self.change(key, |row| {
            row.running = row.running.saturating_sub(1);
            row.in_doubt += 1;
        });
    }

    /// Frees a token that was held back, on evidence that its work has ended.
    pub fn settle(&self, key: &LimitKey) {
        self.change(key, |row| row.in_doubt = row.in_doubt.saturating_sub(1));
    }

    /// Sets the tokens that this node may use; what runs above it stays counted until it ends.
    pub fn grant(&self, key: &LimitKey, granted: u32) {
        self.change(key, |row| row.granted = granted);
    }

    /// Allotment of one limit.
    pub fn get(&self, key: &LimitKey) -> Option<Allotment> {
        let rows = self.lock();
        let index = rows.binary_search_by(|row| row.key.cmp(key)).ok()?;
        Some(rows[index].clone())
    }

    /// All allotments, sorted by key.
    pub fn snapshot(&self) -> Vec<Allotment> {
        self.lock().clone()
    }

    fn change<T>(&self, key: &LimitKey, apply: impl FnOnce(&mut Allotment) -> T) -> T {
        let mut rows = self.lock();
        let index = match rows.binary_search_by(|row| row.key.cmp(key)) {
            Ok(index) => index,
            Err(index) => {
                let row = Allotment { key: key.clone(), granted: 0, running: 0, in_doubt: 0 };
                rows.insert(index, row);
                index
            }
        };
        apply(&mut rows[index])
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Allotment>> {
        self.rows.lock().expect("no holder panics")
    }
}
