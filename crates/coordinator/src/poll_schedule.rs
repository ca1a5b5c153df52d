//! Schedules the next poll of each worker.
//!
//! The schedule is built for hundreds of workers whose units finish at the same time. A worker
//! lists its completions in every reply until they are stored, so it is polled again only once they
//! are stored and a pause is over that collects further ones, or after [`UNSTORED_POLL_PAUSE`] to
//! renew its lease. Due workers come from a priority queue, without a scan of all others.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use scheduler::Moment;
use scheduler::SortedMap;
use scheduler::WorkerId;

/// Pause before the next poll of a worker that did not reply.
pub const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest time between two polls while completions wait to be stored; shorter than the lease that
/// each poll renews.
pub const UNSTORED_POLL_PAUSE: Duration = Duration::from_millis(900);

/// When a worker is polled next, as its last reply or failure requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextPoll {
    /// Now: the worker replied, and all its completions are stored.
    Immediate,
    /// As soon as the completions that the worker listed are stored and this time has passed since
    /// its reply.
    AfterStore(Duration),
    /// After [`RETRY_PAUSE`]: the worker did not reply.
    AfterPause,
}

#[derive(Clone, Copy, Debug)]
struct WorkerPoll {
    /// Whether a poll was sent and its result has not arrived.
    is_in_flight: bool,
    /// When the worker replied, and the pause after that, if the next poll waits until its
    /// completions are stored.
    waiting_for_store: Option<(Moment, Duration)>,
    /// Time of the next poll; meaningless while one is in flight.
    due_at: Moment,
}

/// The time of the next poll of each worker.
#[derive(Clone, Debug, Default)]
pub struct PollSchedule {
    polls: SortedMap<WorkerId, WorkerPoll>,
    /// Workers by due time. An entry whose time differs from that of the worker's poll is outdated
    /// and is skipped.
    queue: BinaryHeap<Reverse<(Moment, WorkerId)>>,
}

impl PollSchedule {
    /// Adds a worker that is due at once; does nothing if it is in the schedule.
    pub fn add(&mut self, id: &WorkerId, now: Moment) {
        if !self.polls.contains(id) {
            let poll = WorkerPoll { is_in_flight: false, waiting_for_store: None, due_at: now };
            self.polls.insert(id.clone(), poll);
            self.queue.push(Reverse((now, id.clone())));
        }
    }

    /// Returns the workers that are due and marks their polls as in flight.
    pub fn take_due(&mut self, now: Moment) -> Vec<WorkerId> {
        let mut due = Vec::new();
        while self.queue.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((at, id))) = self.queue.pop() else {
                break;
            };
            let poll = self.polls.get_mut(&id);
            let Some(poll) = poll.filter(|poll| !poll.is_in_flight && poll.due_at == at) else {
                continue;
            };
            poll.is_in_flight = true;
            poll.waiting_for_store = None;
            due.push(id);
        }
        due
    }

    /// Schedules the next poll after a worker has replied or failed to reply.
    pub fn handle_reply(&mut self, id: &WorkerId, next: NextPoll, now: Moment) {
        let Some(poll) = self.polls.get_mut(id) else {
            return;
        };
        poll.is_in_flight = false;
        poll.waiting_for_store = match next {
            NextPoll::AfterStore(pause) => Some((now, pause)),
            NextPoll::Immediate | NextPoll::AfterPause => None,
        };
        poll.due_at = match next {
            NextPoll::Immediate => now,
            NextPoll::AfterStore(_) => now + UNSTORED_POLL_PAUSE,
            NextPoll::AfterPause => now + RETRY_PAUSE,
        };
        self.queue.push(Reverse((poll.due_at, id.clone())));
    }

    /// Schedules a poll of each worker whose completions are now all stored, after its pause;
    /// returns how long each has waited for the store.
    pub fn resume_stored(
        &mut self,
        are_all_stored: impl Fn(&WorkerId) -> bool,
        now: Moment,
    ) -> Vec<Duration> {
        let mut waited = Vec::new();
        for (id, poll) in self.polls.iter_mut() {
            let Some((replied_at, pause)) = poll.waiting_for_store.take_if(|_| are_all_stored(id))
            else {
                continue;
            };
            waited.push(now.saturating_sub(replied_at));
            poll.due_at = now.max(replied_at + pause);
            self.queue.push(Reverse((poll.due_at, id.clone())));
        }
        waited
    }

    /// Removes a worker from the schedule.
    pub fn remove(&mut self, id: &WorkerId) {
        self.polls.remove(id);
    }
}
