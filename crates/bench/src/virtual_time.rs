//! Virtual time for policy benches: events in order, and summaries of what was seen.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Events in the order of their times; those of one time keep the order of insertion.
pub struct Events<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
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

impl<T> Default for Events<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), next_sequence: 0 }
    }
}

impl<T> Events<T> {
    /// Adds an event.
    pub fn add(&mut self, at: Duration, event: T) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(Entry { at, sequence, event }));
    }

    /// Takes the next event.
    pub fn take(&mut self) -> Option<(Duration, T)> {
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at, entry.event))
    }
}

/// Value below which `portion` of the values lie; 0 without values.
pub fn quantile(values: &mut [f64], portion: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_unstable_by(f64::total_cmp);
    let index = (values.len() as f64 * portion).ceil() as usize;
    values[index.clamp(1, values.len()) - 1]
}

/// Exponentially distributed time with the given mean, from a number in 0..1.
pub fn exponential(mean: Duration, uniform: f64) -> Duration {
    mean.mul_f64(-(1.0 - uniform).max(1e-12).ln())
}

/// Prints one point of a series as a JSON line.
pub fn print_point(series: &str, size: usize, value: f64) {
    println!("{}", serde_json::json!({"series": series, "size": size, "value": value}));
}
