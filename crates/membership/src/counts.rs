//! Counts in heartbeats: what changed, and a rotating part of the rest, so that a lost message is
//! made good while each heartbeat stays small.

use wire::Count;

/// Counts of one heartbeat at most.
const CHANGED_MAX: usize = 32;
/// Unchanged counts that each heartbeat repeats.
const REPEATED: usize = 4;

/// Chooses the counts of each round of heartbeats.
#[derive(Default)]
pub struct CountSender {
    /// Sent last, sorted by key; a key without counts is kept as zeros until it was repeated.
    sent: Vec<Count>,
    /// Next count to repeat.
    cursor: usize,
}

impl CountSender {
    /// Counts of the next round, sorted by key, given all counts that are not zero.
    pub fn next(&mut self, current: &[Count]) -> Vec<Count> {
        let mut chosen = Vec::new();
        for count in current {
            if chosen.len() == CHANGED_MAX {
                break;
            }
            if find(&self.sent, &count.key).ok().map(|index| &self.sent[index]) != Some(count) {
                put(&mut chosen, count.clone());
            }
        }
        self.choose_vanished(current, &mut chosen);
        for count in &chosen {
            put(&mut self.sent, count.clone());
        }
        for _ in 0..REPEATED.min(self.sent.len()) {
            self.cursor = (self.cursor + 1) % self.sent.len();
            put(&mut chosen, self.sent[self.cursor].clone());
        }
        chosen
    }

    fn choose_vanished(&self, current: &[Count], chosen: &mut Vec<Count>) {
        for held in &self.sent {
            if chosen.len() >= CHANGED_MAX {
                return;
            }
            if !is_zero(held) && find(current, &held.key).is_err() {
                put(chosen, Count { key: held.key.clone(), ..Count::default() });
            }
        }
    }
}

/// Merges the counts of a heartbeat into what is known of its sender.
pub fn merge(held: &mut Vec<Count>, received: &[Count]) {
    for count in received {
        match (find(held, &count.key), is_zero(count)) {
            (Ok(index), true) => drop(held.remove(index)),
            (Err(_), true) => {}
            (_, false) => put(held, count.clone()),
        }
    }
}

fn is_zero(count: &Count) -> bool {
    count.running == 0 && count.queued == 0 && count.spare == 0
}

fn find(counts: &[Count], key: &str) -> Result<usize, usize> {
    counts.binary_search_by(|count| count.key.as_str().cmp(key))
}

fn put(counts: &mut Vec<Count>, count: Count) {
    match find(counts, &count.key) {
        Ok(index) => counts[index] = count,
        Err(index) => counts.insert(index, count),
    }
}
