//! Index of the workers of one zone by their free capacity.
//!
//! Buckets are keyed by the number of free accelerators and the bit lengths of free processors and
//! memory. They are sorted, so that a search finds the tightest fit first and examines few workers.
//! The bucket of the requested size itself may contain workers that are too small, so the first
//! search examines only a limited number of workers in each bucket.

use crate::size::Size;

/// Position of a worker in the pool.
pub type WorkerIndex = usize;

/// Maximum number of workers in each bucket that the first search examines.
const BUCKET_LOOKUPS_MAX: usize = 32;

/// Key of a bucket; workers with the same key differ by less than a factor of two.
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

/// Workers with a similar free capacity.
#[derive(Clone, Debug)]
struct Bucket {
    key: BucketKey,
    /// Sorted.
    workers: Vec<WorkerIndex>,
}

/// Workers of one zone by their free capacity.
#[derive(Clone, Debug, Default)]
pub struct FreeIndex {
    /// Sorted by key; none is empty.
    buckets: Vec<Bucket>,
}

impl FreeIndex {
    /// Adds a worker with the free capacity `free`.
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

    /// Removes a worker that was added with the free capacity `free`.
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

    /// Returns up to `count` workers for which `fits` returns true, from the tightest buckets
    /// first.
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
