//! Workers of one zone by what they have free.
//!
//! Buckets are keyed by free accelerators and by the powers of two of free processors and memory,
//! and sorted, so that a search meets the tightest fit first and looks at few workers. Buckets that
//! a size falls into may hold workers that are too small; they are searched only so far at first.

use crate::size::Size;

/// Position of a worker.
pub type WorkerIndex = usize;

/// Workers of a partly fitting bucket that the first search looks at.
const BUCKET_LOOKUPS_MAX: usize = 32;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct BucketKey {
    accelerators: u32,
    processors_bits: u32,
    memory_bits: u32,
}

impl BucketKey {
    fn of(size: &Size) -> Self {
        Self {
            accelerators: size.accelerators,
            processors_bits: bit_length(u64::from(size.processors_milli)),
            memory_bits: bit_length(size.memory_mib),
        }
    }
}

fn bit_length(amount: u64) -> u32 {
    u64::BITS - amount.leading_zeros()
}

#[derive(Clone, Debug)]
struct Bucket {
    key: BucketKey,
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
        let key = BucketKey::of(free);
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
        let key = BucketKey::of(free);
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
        let found = self.search_within(size, count, BUCKET_LOOKUPS_MAX, &fits);
        if !found.is_empty() {
            return found;
        }
        self.search_within(size, count, usize::MAX, &fits)
    }

    fn search_within(
        &self,
        size: &Size,
        count: usize,
        lookups_max: usize,
        fits: &impl Fn(WorkerIndex) -> bool,
    ) -> Vec<WorkerIndex> {
        let requested = BucketKey::of(size);
        let first = self.buckets.partition_point(|b| b.key.accelerators < requested.accelerators);
        let mut found = Vec::with_capacity(count);
        for bucket in &self.buckets[first..] {
            let key = bucket.key;
            if key.processors_bits < requested.processors_bits
                || key.memory_bits < requested.memory_bits
            {
                continue;
            }
            for &worker in bucket.workers.iter().take(lookups_max) {
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
