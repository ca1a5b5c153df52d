//! Tokens of one node.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;

use model::Config;
use model::ConfigVersion;

use crate::demand::limits_of;
use crate::key::LimitKey;
use crate::ledger::Tokens;

/// Called after tokens came to the node.
type Listener = Box<dyn Fn() + Send + Sync>;

/// What this node holds of one limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// The limit.
    pub key: LimitKey,
    /// Tokens that this node may use.
    pub granted: u32,
    /// Tokens in use by running work.
    pub running: u32,
    /// Tokens whose work may still be running somewhere.
    pub in_doubt: u32,
    /// Most tokens in use or in doubt at once since the last sample.
    pub peak: u32,
    /// Version of the configuration that lowered the limit, while more may run than it allows.
    pub frozen_at: Option<ConfigVersion>,
}

impl Allocation {
    /// Tokens that new work may take.
    pub fn spare(&self) -> u32 {
        if self.frozen_at.is_some() { 0 } else { self.unused() }
    }

    /// Tokens that work has or may have.
    pub fn used(&self) -> u32 {
        self.running + self.in_doubt
    }

    /// Tokens that no work has.
    fn unused(&self) -> u32 {
        self.granted.saturating_sub(self.used())
    }
}

/// All allotments of this node, sorted by key.
#[derive(Default)]
pub struct LimitTable {
    rows: Mutex<Vec<Allocation>>,
    listener: OnceLock<Listener>,
}

impl LimitTable {
    /// Takes a token; false if there is none to spare.
    pub fn try_acquire(&self, key: &LimitKey) -> bool {
        self.change(key, |row| {
            if row.spare() == 0 {
                return false;
            }
            row.running += 1;
            row.peak = row.peak.max(row.used());
            true
        })
    }

    /// Gives back a token whose work has ended for certain.
    pub fn release(&self, key: &LimitKey) {
        self.change(key, |row| row.running = row.running.saturating_sub(1));
    }

    /// Holds back a token whose work may still be running.
    pub fn mark_in_doubt(&self, key: &LimitKey) {
        self.change(key, |row| {
            row.running = row.running.saturating_sub(1);
            row.in_doubt += 1;
        });
    }

    /// Frees a token that was held back, on evidence that its work has ended.
    pub fn release_in_doubt(&self, key: &LimitKey) {
        self.change(key, |row| row.in_doubt = row.in_doubt.saturating_sub(1));
    }

    /// Sets the tokens that this node may use; what runs above it stays counted until it ends.
    pub fn grant(&self, key: &LimitKey, granted: u32) {
        let grew = self.change(key, |row| {
            let grew = granted > row.granted;
            row.granted = granted;
            grew
        });
        if grew {
            self.notify();
        }
    }

    /// Allotment of one limit.
    pub fn get(&self, key: &LimitKey) -> Option<Allocation> {
        let rows = self.lock();
        let index = rows.binary_search_by(|row| row.key.cmp(key)).ok()?;
        Some(rows[index].clone())
    }

    /// All allotments, sorted by key.
    pub fn snapshot(&self) -> Vec<Allocation> {
        self.lock().clone()
    }

    /// All allotments, sorted by key, with peaks since the last sample.
    pub fn sample(&self) -> Vec<Allocation> {
        let mut rows = self.lock();
        let sampled = rows.clone();
        for row in rows.iter_mut() {
            row.peak = row.used();
        }
        sampled
    }

    /// Lets no work take tokens of limits that `next` lowers, until the ledger shows that they fit.
    pub fn freeze_lowered(&self, held: &Config, next: &Config) {
        let wanted = limits_of(next);
        for limit in limits_of(held) {
            let found = wanted.binary_search_by(|other| other.key.cmp(&limit.key));
            if found.map_or(0, |index| wanted[index].count) < limit.count {
                self.freeze(&limit.key, next.version);
            }
        }
    }

    /// Calls `listener` each time that tokens come to the node; only the first listener is kept.
    pub fn set_listener(&self, listener: impl Fn() + Send + Sync + 'static) {
        // A second listener would be a second gateway, which there is not.
        let _ = self.listener.set(Box::new(listener));
    }

    fn notify(&self) {
        if let Some(listener) = self.listener.get() {
            listener();
        }
    }

    fn change<T>(&self, key: &LimitKey, apply: impl FnOnce(&mut Allocation) -> T) -> T {
        let mut rows = self.lock();
        let index = match rows.binary_search_by(|row| row.key.cmp(key)) {
            Ok(index) => index,
            Err(index) => {
                rows.insert(index, empty(key));
                index
            }
        };
        apply(&mut rows[index])
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Allocation>> {
        self.rows.lock().expect("no holder panics")
    }
}

impl Tokens for LimitTable {
    fn unused(&self, key: &LimitKey) -> u32 {
        self.get(key).map_or(0, |row| row.unused())
    }

    fn cede(&self, key: &LimitKey, count_max: u32) -> u32 {
        self.change(key, |row| {
            let ceded = row.unused().min(count_max);
            row.granted -= ceded;
            ceded
        })
    }

    fn grant(&self, key: &LimitKey, granted: u32) {
        LimitTable::grant(self, key, granted);
    }

    fn freeze(&self, key: &LimitKey, version: ConfigVersion) {
        self.change(key, |row| row.frozen_at = row.frozen_at.max(Some(version)));
    }

    fn is_frozen(&self, key: &LimitKey) -> bool {
        self.get(key).is_some_and(|row| row.frozen_at.is_some())
    }

    fn unfreeze(&self, key: &LimitKey, version: ConfigVersion) {
        let thawed = self.change(key, |row| {
            let thawed = row.frozen_at.is_some_and(|frozen_at| frozen_at <= version);
            if thawed {
                row.frozen_at = None;
            }
            thawed
        });
        if thawed {
            self.notify();
        }
    }

    fn revoke_all(&self) {
        self.lock().iter_mut().for_each(|row| row.granted = 0);
    }
}

fn empty(key: &LimitKey) -> Allocation {
    Allocation { key: key.clone(), granted: 0, running: 0, in_doubt: 0, peak: 0, frozen_at: None }
}
