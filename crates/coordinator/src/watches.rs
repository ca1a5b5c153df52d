//! When each worker is asked next what it runs.
//!
//! The pattern that this answers: hundreds of workers whose units end at the same time. A worker whose
//! ends are not stored yet lists them again in each answer, so it is asked again only once they are
//! stored, or after [`UNSTORED_PAUSE`] for its lease; and the workers that are due are found without a
//! look at all the others.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use scheduler::Moment;
use scheduler::SortedMap;
use scheduler::WorkerId;

/// Pause after a worker did not answer.
pub const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest time between two looks while ends wait to be stored; below the lease that each look renews.
pub const UNSTORED_PAUSE: Duration = Duration::from_millis(900);

/// What an answer of a worker calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It answered, and all its ends are stored.
    AtOnce,
    /// It listed ends that are not stored yet.
    OnceStored,
    /// It did not answer.
    Later,
}

#[derive(Clone, Copy, Debug)]
struct Watch {
    is_in_flight: bool,
    waits_for_store: bool,
    due_at: Moment,
}

/// When each worker is asked next.
#[derive(Clone, Debug, Default)]
pub struct Watches {
    watches: SortedMap<WorkerId, Watch>,
    /// Workers by the time at which they are due; an entry counts if it is the one of the watch.
    queue: BinaryHeap<Reverse<(Moment, WorkerId)>>,
}

impl Watches {
    /// Begins to ask a worker, unless that is done already.
    pub fn begin(&mut self, id: &WorkerId, now: Moment) {
        if !self.watches.contains(id) {
            let watch = Watch { is_in_flight: false, waits_for_store: false, due_at: now };
            self.watches.insert(id.clone(), watch);
            self.queue.push(Reverse((now, id.clone())));
        }
    }

    /// Workers that are to be asked now; each counts as asked.
    pub fn take_due(&mut self, now: Moment) -> Vec<WorkerId> {
        let mut due = Vec::new();
        while self.queue.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((at, id))) = self.queue.pop() else {
                break;
            };
            let watch = self.watches.get_mut(&id);
            let Some(watch) = watch.filter(|w| !w.is_in_flight && w.due_at == at) else {
                continue;
            };
            watch.is_in_flight = true;
            watch.waits_for_store = false;
            due.push(id);
        }
        due
    }

    /// Takes in that a worker has answered or not.
    pub fn answered(&mut self, id: &WorkerId, next: Next, now: Moment) {
        let Some(watch) = self.watches.get_mut(id) else {
            return;
        };
        watch.is_in_flight = false;
        watch.waits_for_store = next == Next::OnceStored;
        watch.due_at = match next {
            Next::AtOnce => now,
            Next::OnceStored => now + UNSTORED_PAUSE,
            Next::Later => now + RETRY_PAUSE,
        };
        self.queue.push(Reverse((watch.due_at, id.clone())));
    }

    /// Asks the workers again whose ends are all stored now; returns how long each has waited.
    pub fn stored(
        &mut self,
        are_all_stored: impl Fn(&WorkerId) -> bool,
        now: Moment,
    ) -> Vec<Duration> {
        let mut waited = Vec::new();
        let waiting = self.watches.iter_mut().filter(|(_, watch)| watch.waits_for_store);
        for (id, watch) in waiting.filter(|(id, _)| are_all_stored(id)) {
            let answered_at = watch.due_at.saturating_sub(UNSTORED_PAUSE);
            waited.push(now.saturating_sub(answered_at));
            watch.waits_for_store = false;
            watch.due_at = now;
            self.queue.push(Reverse((now, id.clone())));
        }
        waited
    }

    /// Asks a worker no more.
    pub fn end(&mut self, id: &WorkerId) {
        self.watches.remove(id);
    }
}
