//! Workers of one zone by what they have free.
//!
//! Buckets are keyed by free accelerators and by the powers of two of free processors and memory,
//! and sorted, so that a search meets the tightest fit first and looks at few workers. Buckets that
//! a size falls into may hold workers that are too small; they are searched only so far at first.

use crate::size::Size;

/// Position of a worker.
pub type WorkerIndex = usize;

/// Workers of a partly fitting bucket that the first search looks at.
const LOOK_MAX: usize = 32;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    accelerators: u32,
    processors_log: u32,
    memory_log: u32,
}

impl Key {
    fn of(size: &Size) -> Self {
        Self {
            accelerators: size.accelerators,
            processors_log: log(u64::from(size.processors_milli)),
            memory_log: log(size.memory_mib),
        }
    }
}

fn log(amount: u64) -> u32 {
    u64::BITS - amount.leading_zeros()
}

#[derive(Clone, Debug)]
struct Bucket {
    key: Key,
    /// Sorted.
    workers: Vec<WorkerIndex>,
}

/// Workers of one zone.
#[derive(Clone, Debug, Default)]
pub struct FreeIndex {
    /// Sorted by key; none is empty.
    buckets: Vec<Bucket>,
}

impl FreeIndex {
    /// Adds a worker that has `free`.
    pub fn insert(&mut self, worker: WorkerIndex, free: &Size) {
        let key = Key::of(free);
        let index = match self.buckets.binary_search_by_key(&key, |bucket| bucket.key) {
            Ok(index) => index,
            Err(index) => {
                self.buckets.insert(index, Bucket { key, workers: Vec::new() });
                index
            }
        };
        let workers = &mut self.buckets[index].workers;
        if let Err(position) = workers.binary_search(&worker) {
            workers.insert(position, worker);
        }
    }

    /// Removes a worker that was added with `free`.
    pub fn remove(&mut self, worker: WorkerIndex, free: &Size) {
        let key = Key::of(free);
        let Ok(index) = self.buckets.binary_search_by_key(&key, |bucket| bucket.key) else {
            return;
        };
        let workers = &mut self.buckets[index].workers;
        if let Ok(position) = workers.binary_search(&worker) {
            workers.remove(position);
        }
        if workers.is_empty() {
            self.buckets.remove(index);
        }
    }

    /// Up to `count` workers for which `fits` holds, tightest buckets first.
    pub fn search(
        &self,
        size: &Size,
        count: usize,
        fits: impl Fn(WorkerIndex) -> bool,
    ) -> Vec<WorkerIndex> {
        let found = self.search_within(size, count, LOOK_MAX, &fits);
        if !found.is_empty() {
            return found;
        }
        self.search_within(size, count, usize::MAX, &fits)
    }

    fn search_within(
        &self,
        size: &Size,
        count: usize,
        look_max: usize,
        fits: &impl Fn(WorkerIndex) -> bool,
    ) -> Vec<WorkerIndex> {
        let wanted = Key::of(size);
        let first = self.buckets.partition_point(|b| b.key.accelerators < wanted.accelerators);
        let mut found = Vec::with_capacity(count);
        for bucket in &self.buckets[first..] {
            let key = bucket.key;
            if key.processors_log < wanted.processors_log || key.memory_log < wanted.memory_log {
                continue;
            }
            for &worker in bucket.workers.iter().take(look_max) {
                if fits(worker) {
                    found.push(worker);
                }
                if found.len() == count {
                    return found;
                }
            }
        }
        found
    }
}
