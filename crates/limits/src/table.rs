//! Tokens that this node holds, with their use by running work.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;

use model::Config;
use model::ConfigVersion;

use crate::demand::limits_of;
use crate::key::LimitKey;
use crate::ledger::Tokens;

/// Callback that runs after new tokens became available.
type Listener = Box<dyn Fn() + Send + Sync>;

/// The tokens of one limit that this node holds, and their use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// Key of the limit.
    pub key: LimitKey,
    /// Number of tokens that this node may use.
    pub granted: u32,
    /// Number of tokens in use by running work; exceeds `granted` for a while after a revocation.
    pub running: u32,
    /// Number of tokens whose work is in doubt: it may still be running on a backend server.
    pub in_doubt: u32,
    /// Highest number of tokens in use or in doubt since the last [`LimitTable::sample`].
    pub peak: u32,
    /// Version of the configuration that lowered the limit; set while the nodes together may still
    /// hold more tokens than it allows, so that no new work may start.
    pub frozen_at: Option<ConfigVersion>,
}

impl Allocation {
    /// Returns the number of tokens that new work may acquire.
    pub fn spare(&self) -> u32 {
        if self.frozen_at.is_some() { 0 } else { self.unused() }
    }

    /// Returns the number of tokens whose work runs or is in doubt.
    pub fn used(&self) -> u32 {
        self.running + self.in_doubt
    }

    /// Returns the number of tokens without work, also while the limit is frozen.
    fn unused(&self) -> u32 {
        self.granted.saturating_sub(self.used())
    }
}

/// Tokens of all limits at this node.
#[derive(Default)]
pub struct LimitTable {
    /// Sorted by key.
    allocations: Mutex<Vec<Allocation>>,
    listener: OnceLock<Listener>,
}

impl LimitTable {
    /// Acquires a token; returns false if none is available.
    pub fn try_acquire(&self, key: &LimitKey) -> bool {
        self.update(key, |allocation| {
            if allocation.spare() == 0 {
                return false;
            }
            allocation.running += 1;
            allocation.peak = allocation.peak.max(allocation.used());
            true
        })
    }

    /// Releases a token whose work is known to have finished.
    pub fn release(&self, key: &LimitKey) {
        self.update(key, |allocation| allocation.running = allocation.running.saturating_sub(1));
    }

    /// Keeps a token out of use because its work may still be running.
    pub fn mark_in_doubt(&self, key: &LimitKey) {
        self.update(key, |allocation| {
            allocation.running = allocation.running.saturating_sub(1);
            allocation.in_doubt += 1;
        });
    }

    /// Releases a token in doubt once its work is known to have finished.
    pub fn release_in_doubt(&self, key: &LimitKey) {
        self.update(key, |allocation| allocation.in_doubt = allocation.in_doubt.saturating_sub(1));
    }

    /// Sets the number of tokens that this node may use.
    ///
    /// Work that runs beyond this number stays counted until it finishes.
    pub fn grant(&self, key: &LimitKey, granted: u32) {
        let has_grown = self.update(key, |allocation| {
            let has_grown = granted > allocation.granted;
            allocation.granted = granted;
            has_grown
        });
        if has_grown {
            self.notify();
        }
    }

    /// Returns the allocation of one limit; `None` if this table has recorded nothing about it.
    pub fn get(&self, key: &LimitKey) -> Option<Allocation> {
        let allocations = self.lock();
        let index = allocations.binary_search_by(|allocation| allocation.key.cmp(key)).ok()?;
        Some(allocations[index].clone())
    }

    /// Returns all allocations, sorted by key.
    pub fn snapshot(&self) -> Vec<Allocation> {
        self.lock().clone()
    }

    /// Returns all allocations, sorted by key, and starts a new measurement of their peaks.
    pub fn sample(&self) -> Vec<Allocation> {
        let mut allocations = self.lock();
        let sampled = allocations.clone();
        for allocation in allocations.iter_mut() {
            allocation.peak = allocation.used();
        }
        sampled
    }

    /// Freezes each limit that the configuration `next` lowers.
    ///
    /// No new work acquires its tokens until the ledger shows that all holdings fit the new limit.
    pub fn freeze_lowered(&self, current: &Config, next: &Config) {
        let next_limits = limits_of(next);
        for limit in limits_of(current) {
            let found = next_limits.binary_search_by(|other| other.key.cmp(&limit.key));
            if found.map_or(0, |index| next_limits[index].count) < limit.count {
                self.freeze(&limit.key, next.version);
            }
        }
    }

    /// Sets the callback that runs after the node got more tokens or a limit was unfrozen.
    ///
    /// Only the first call has an effect.
    pub fn set_listener(&self, listener: impl Fn() + Send + Sync + 'static) {
        // The gateway is the only listener, and a node has one gateway.
        let _ = self.listener.set(Box::new(listener));
    }

    fn notify(&self) {
        if let Some(listener) = self.listener.get() {
            listener();
        }
    }

    fn update<T>(&self, key: &LimitKey, apply: impl FnOnce(&mut Allocation) -> T) -> T {
        let mut allocations = self.lock();
        let index = match allocations.binary_search_by(|allocation| allocation.key.cmp(key)) {
            Ok(index) => index,
            Err(index) => {
                allocations.insert(index, empty_allocation(key));
                index
            }
        };
        apply(&mut allocations[index])
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Allocation>> {
        self.allocations.lock().expect("lock is never poisoned")
    }
}

impl Tokens for LimitTable {
    fn unused(&self, key: &LimitKey) -> u32 {
        self.get(key).map_or(0, |allocation| allocation.unused())
    }

    fn withdraw(&self, key: &LimitKey, count_max: u32) -> u32 {
        self.update(key, |allocation| {
            let withdrawn = allocation.unused().min(count_max);
            allocation.granted -= withdrawn;
            withdrawn
        })
    }

    fn grant(&self, key: &LimitKey, granted: u32) {
        LimitTable::grant(self, key, granted);
    }

    fn freeze(&self, key: &LimitKey, version: ConfigVersion) {
        self.update(key, |allocation| {
            allocation.frozen_at = allocation.frozen_at.max(Some(version))
        });
    }

    fn is_frozen(&self, key: &LimitKey) -> bool {
        self.get(key).is_some_and(|allocation| allocation.frozen_at.is_some())
    }

    fn unfreeze(&self, key: &LimitKey, version: ConfigVersion) {
        let unfrozen = self.update(key, |allocation| {
            let unfrozen = allocation.frozen_at.is_some_and(|frozen_at| frozen_at <= version);
            if unfrozen {
                allocation.frozen_at = None;
            }
            unfrozen
        });
        if unfrozen {
            self.notify();
        }
    }

    fn revoke_all(&self) {
        self.lock().iter_mut().for_each(|allocation| allocation.granted = 0);
    }
}

fn empty_allocation(key: &LimitKey) -> Allocation {
    Allocation { key: key.clone(), granted: 0, running: 0, in_doubt: 0, peak: 0, frozen_at: None }
}
