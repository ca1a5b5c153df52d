//! Virtual time for the simulations of policies: an event queue, random times and quantiles.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Events ordered by time; events with the same time keep the order in which they were scheduled.
pub struct EventQueue<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    /// Sequence number of the next event.
    next_sequence: u64,
}

struct Entry<T> {
    at: Duration,
    sequence: u64,
    event: T,
}

impl<T> Entry<T> {
    fn key(&self) -> (Duration, u64) {
        (self.at, self.sequence)
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), next_sequence: 0 }
    }
}

impl<T> EventQueue<T> {
    /// Schedules an event at a point in virtual time.
    pub fn schedule(&mut self, at: Duration, event: T) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(Entry { at, sequence, event }));
    }

    /// Removes the earliest event and returns it with its time.
    pub fn pop(&mut self) -> Option<(Duration, T)> {
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at, entry.event))
    }
}

/// Returns the smallest value that at least a `fraction` of the values do not exceed; 0 without
/// values.
///
/// Sorts the values.
pub fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_unstable_by(f64::total_cmp);
    let index = (values.len() as f64 * fraction).ceil() as usize;
    values[index.clamp(1, values.len()) - 1]
}

/// Converts a number that is uniform in 0..1 into an exponentially distributed time.
pub fn exponential(mean: Duration, uniform: f64) -> Duration {
    mean.mul_f64(-(1.0 - uniform).max(1e-12).ln())
}

/// Prints one measurement of a series as a JSON line.
pub fn print_point(series: &str, size: usize, value: f64) {
    println!("{}", serde_json::json!({"series": series, "size": size, "value": value}));
}
