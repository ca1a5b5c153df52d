//! A map by job id, built for thousands of jobs that are looked up many times a round.
//!
//! Each report of a worker and each round of placement looks up the job of every unit concerned.
//! The first bytes of the ids are kept in a dense vector of their own, so that a binary search
//! seldom follows a pointer. Values are boxed, so that adding and removing a job moves little
//! memory.

use crate::JobId;

/// Map by job id, sorted by id.
#[derive(Clone, Debug)]
pub struct JobMap<V> {
    /// First bytes of each id, in the order of `entries`.
    prefixes: Vec<u64>,
    /// Entries, sorted by id.
    entries: Vec<(JobId, Box<V>)>,
}

impl<V> Default for JobMap<V> {
    fn default() -> Self {
        Self { prefixes: Vec::new(), entries: Vec::new() }
    }
}

impl<V> JobMap<V> {
    /// Returns the position of an id, or where it would be inserted.
    fn position(&self, id: &str) -> Result<usize, usize> {
        let prefix = prefix_of(id);
        let first = self.prefixes.partition_point(|other| *other < prefix);
        let same_prefix = self.prefixes[first..].iter().take_while(|other| **other == prefix);
        let last = first + same_prefix.count();
        let found = self.entries[first..last].binary_search_by(|(other, _)| (**other).cmp(id));
        found.map(|index| first + index).map_err(|index| first + index)
    }

    /// Returns the value of a job.
    pub fn get(&self, id: &str) -> Option<&V> {
        self.position(id).ok().map(|index| &*self.entries[index].1)
    }

    /// Returns the value of a job, mutably.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut V> {
        let index = self.position(id).ok()?;
        Some(&mut *self.entries[index].1)
    }

    /// Returns true if the map has this job.
    pub fn contains(&self, id: &str) -> bool {
        self.position(id).is_ok()
    }

    /// Sets the value of a job; returns the previous value, if any.
    pub fn insert(&mut self, id: JobId, value: V) -> Option<V> {
        match self.position(&id) {
            Ok(index) => Some(std::mem::replace(&mut *self.entries[index].1, value)),
            Err(index) => {
                self.prefixes.insert(index, prefix_of(&id));
                self.entries.insert(index, (id, Box::new(value)));
                None
            }
        }
    }

    /// Removes a job; returns its value.
    pub fn remove(&mut self, id: &str) -> Option<V> {
        let index = self.position(id).ok()?;
        self.prefixes.remove(index);
        Some(*self.entries.remove(index).1)
    }

    /// Iterates over the entries, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &V)> {
        self.entries.iter().map(|(id, value)| (id, &**value))
    }

    /// Iterates over the values, sorted by id.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.entries.iter().map(|(_, value)| &**value)
    }

    /// Iterates over the values mutably, sorted by id.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.entries.iter_mut().map(|(_, value)| &mut **value)
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if the map has no job.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Returns the first bytes of an id as a number that sorts like them. A shorter id counts as padded
/// with zeros, which sorts it before the ids that it begins.
fn prefix_of(id: &str) -> u64 {
    let mut bytes = [0; 8];
    let length = id.len().min(bytes.len());
    bytes[..length].copy_from_slice(&id.as_bytes()[..length]);
    u64::from_be_bytes(bytes)
}
