//! When each worker is asked next what it runs.
//!
//! The pattern that this answers: hundreds of workers whose units end at the same time. A worker whose
//! ends are not stored yet lists them again in each answer, so it is asked again only once they are
//! stored, or after [`UNSTORED_POLL_PAUSE`] for its lease; and the workers that are due are found without a
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
pub const UNSTORED_POLL_PAUSE: Duration = Duration::from_millis(900);

/// What an answer of a worker calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextPoll {
    /// It answered, and all its ends are stored.
    Immediate,
    /// It listed ends that are not stored yet.
    AfterStore,
    /// It did not answer.
    AfterPause,
}

#[derive(Clone, Copy, Debug)]
struct WorkerPoll {
    is_in_flight: bool,
    is_waiting_for_store: bool,
    due_at: Moment,
}

/// When each worker is asked next.
#[derive(Clone, Debug, Default)]
pub struct PollSchedule {
    polls: SortedMap<WorkerId, WorkerPoll>,
    /// Workers by the time at which they are due; an entry counts if it is the one of the watch.
    queue: BinaryHeap<Reverse<(Moment, WorkerId)>>,
}

impl PollSchedule {
    /// Begins to ask a worker, unless that is done already.
    pub fn add(&mut self, id: &WorkerId, now: Moment) {
        if !self.polls.contains(id) {
            let poll = WorkerPoll { is_in_flight: false, is_waiting_for_store: false, due_at: now };
            self.polls.insert(id.clone(), poll);
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
            let poll = self.polls.get_mut(&id);
            let Some(poll) = poll.filter(|w| !w.is_in_flight && w.due_at == at) else {
                continue;
            };
            poll.is_in_flight = true;
            poll.is_waiting_for_store = false;
            due.push(id);
        }
        due
    }

    /// Takes in that a worker has answered or not.
    pub fn handle_reply(&mut self, id: &WorkerId, next: NextPoll, now: Moment) {
        let Some(poll) = self.polls.get_mut(id) else {
            return;
        };
        poll.is_in_flight = false;
        poll.is_waiting_for_store = next == NextPoll::AfterStore;
        poll.due_at = match next {
            NextPoll::Immediate => now,
            NextPoll::AfterStore => now + UNSTORED_POLL_PAUSE,
            NextPoll::AfterPause => now + RETRY_PAUSE,
        };
        self.queue.push(Reverse((poll.due_at, id.clone())));
    }

    /// Asks the workers again whose ends are all stored now; returns how long each has waited.
    pub fn resume_stored(
        &mut self,
        are_all_stored: impl Fn(&WorkerId) -> bool,
        now: Moment,
    ) -> Vec<Duration> {
        let mut waited = Vec::new();
        let waiting = self.polls.iter_mut().filter(|(_, poll)| poll.is_waiting_for_store);
        for (id, poll) in waiting.filter(|(id, _)| are_all_stored(id)) {
            let replied_at = poll.due_at.saturating_sub(UNSTORED_POLL_PAUSE);
            waited.push(now.saturating_sub(replied_at));
            poll.is_waiting_for_store = false;
            poll.due_at = now;
            self.queue.push(Reverse((now, id.clone())));
        }
        waited
    }

    /// Asks a worker no more.
    pub fn remove(&mut self, id: &WorkerId) {
        self.polls.remove(id);
    }
}
