//! Selection of the counts that a heartbeat carries: those that changed, and a rotating part of the
//! others. The repetition repairs lost messages, and each heartbeat stays small.

use wire::LimitCounts;

/// Maximum number of changed counts in one heartbeat.
const CHANGED_MAX: usize = 32;
/// Number of counts that each heartbeat repeats although they have not changed.
const REPEATED_MAX: usize = 4;

/// Selects the counts that each round of heartbeats carries.
#[derive(Default)]
pub struct CountSender {
    /// Counts as last sent, sorted by key. A key whose counts have dropped to zero stays here with
    /// zeros, so that the zeros are repeated too.
    sent: Vec<LimitCounts>,
    /// Position in `sent` of the count that was repeated last.
    cursor: usize,
}

impl CountSender {
    /// Returns the counts for the next round, sorted by key. `current` holds all counts that are
    /// not zero, sorted by key.
    pub fn next(&mut self, current: &[LimitCounts]) -> Vec<LimitCounts> {
        let mut chosen = Vec::new();
        for count in current {
            if chosen.len() == CHANGED_MAX {
                break;
            }
            if find(&self.sent, &count.key).ok().map(|index| &self.sent[index]) != Some(count) {
                put(&mut chosen, count.clone());
            }
        }
        self.choose_removed(current, &mut chosen);
        for count in &chosen {
            put(&mut self.sent, count.clone());
        }
        for _ in 0..REPEATED_MAX.min(self.sent.len()) {
            self.cursor = (self.cursor + 1) % self.sent.len();
            put(&mut chosen, self.sent[self.cursor].clone());
        }
        chosen
    }

    fn choose_removed(&self, current: &[LimitCounts], chosen: &mut Vec<LimitCounts>) {
        for last_sent in &self.sent {
            if chosen.len() >= CHANGED_MAX {
                return;
            }
            if !is_zero(last_sent) && find(current, &last_sent.key).is_err() {
                put(chosen, LimitCounts { key: last_sent.key.clone(), ..LimitCounts::default() });
            }
        }
    }
}

/// Merges the counts of a heartbeat into the known counts of its sender. Counts of zero are
/// removed.
pub fn merge(known: &mut Vec<LimitCounts>, received: &[LimitCounts]) {
    for count in received {
        match (find(known, &count.key), is_zero(count)) {
            (Ok(index), true) => drop(known.remove(index)),
            (Err(_), true) => {}
            (_, false) => put(known, count.clone()),
        }
    }
}

fn is_zero(count: &LimitCounts) -> bool {
    count.running == 0 && count.queued == 0 && count.spare == 0
}

fn find(counts: &[LimitCounts], key: &str) -> Result<usize, usize> {
    counts.binary_search_by(|count| count.key.as_str().cmp(key))
}

fn put(counts: &mut Vec<LimitCounts>, count: LimitCounts) {
    match find(counts, &count.key) {
        Ok(index) => counts[index] = count,
        Err(index) => counts.insert(index, count),
    }
}
