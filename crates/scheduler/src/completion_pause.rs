//! How long a worker that has listed completions is left alone before its next poll.
//!
//! During a peak, a worker has a dozen units and one of them finishes every few milliseconds. Each
//! poll returns as soon as one has finished, so that without a pause there would be a poll, and a
//! transaction with its row, for nearly every unit. A pause collects several completions. They are
//! known later by at most that pause, which is a small part of the time that callers allow. While
//! units wait for capacity there is no pause, since each completion lets one of them start. Nor is there
//! one while the worker may have more completions than it lists.

use std::time::Duration;

use crate::WorkerId;
use crate::state::Scheduler;

/// Part of the shortest deadline slack of a pool's queues that a completion may be known late.
const SLACK_DIVISOR: u32 = 6;
/// Longest pause. Longer ones would delay the renewal of leases.
const PAUSE_MAX: Duration = Duration::from_millis(150);

impl Scheduler {
    /// Returns the shortest time between a reply in which the worker listed completions and its
    /// next poll.
    pub fn completion_pause(&self, id: &WorkerId) -> Duration {
        let worker = self.workers.get(id).filter(|worker| !worker.may_have_unlisted_completions);
        let Some(pool) = worker.map(|worker| &worker.registration.pool) else {
            return Duration::ZERO;
        };
        if self.starved_since.contains(pool) {
            return Duration::ZERO;
        }
        let queues = self.config.queues.iter().filter(|(_, queue)| queue.pool == *pool);
        let slack = queues.map(|(_, queue)| queue.deadline_slack).min();
        slack.map_or(Duration::ZERO, |slack| (slack / SLACK_DIVISOR).min(PAUSE_MAX))
    }
}
