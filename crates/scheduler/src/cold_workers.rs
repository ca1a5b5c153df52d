//! Workers that are slow for a while after their start, since their caches are cold.
//!
//! Load: a whole zone comes back cold, while demand waits. A cold worker offers a part of its
//! capacity, which grows to the whole. Warm workers are preferred, and units whose deadline allows
//! it wait for one. Slowness of a cold worker, and for a lease after that, is no failure of it.
//!
//! The remaining time counts down from the read of the registration. A new owner reads it again.

use std::time::Duration;

use crate::Moment;
use crate::WorkerId;
use crate::job::JobRecord;
use crate::job::Resources;
use crate::job::Step;
use crate::messages::WorkerRegistration;
use crate::priority::SchedulingPriority;
use crate::priority::Urgency;
use crate::state::Scheduler;
use crate::worker::Worker;

/// Part of its capacity that a cold worker offers at first, in percent. It rises linearly to the
/// whole.
const INITIAL_CAPACITY_PERCENT: u128 = 25;

/// A cold worker is assumed to take longer than expected by the expected time divided by this. Its
/// registration does not tell how slow it is. With a larger margin, most jobs could never wait.
const SLOWNESS_DIVISOR: u32 = 2;

/// Time for which a worker is slow after its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Warmup {
    /// When the registration was read.
    since: Moment,
    /// When the worker is warm.
    until: Moment,
}

impl Warmup {
    /// Creates the warm-up of a worker with a registration that was read now; `None` if it is warm.
    pub fn new(registration: &WorkerRegistration, now: Moment) -> Option<Self> {
        let cold_left = registration.cold_left;
        (!cold_left.is_zero()).then(|| Self { since: now, until: now + cold_left })
    }

    /// Returns the part of an amount of capacity that is offered now, rounded up, so that a worker
    /// with one accelerator offers it.
    fn usable(&self, amount: u64, now: Moment) -> u64 {
        let total_ms = (self.until.saturating_sub(self.since)).as_millis().max(1);
        let passed_ms = now.saturating_sub(self.since).as_millis().min(total_ms);
        let percent_of_total =
            INITIAL_CAPACITY_PERCENT * total_ms + (100 - INITIAL_CAPACITY_PERCENT) * passed_ms;
        (u128::from(amount) * percent_of_total).div_ceil(100 * total_ms) as u64
    }
}

impl Worker {
    /// Returns true if the worker is slow, since it has just started.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.warmup.is_some_and(|warmup| now < warmup.until)
    }

    /// Returns the capacity that is offered to new runs now and that no run reserves.
    pub(crate) fn free_usable_capacity(&self, now: Moment) -> Resources {
        let capacity = self.registration.capacity;
        let Some(warmup) = self.warmup.filter(|warmup| now < warmup.until) else {
            return self.free_capacity();
        };
        let usable = Resources {
            cpu_millis: warmup.usable(capacity.cpu_millis, now),
            memory_mb: warmup.usable(capacity.memory_mb, now),
            gpus: warmup.usable(capacity.gpus, now),
        };
        usable.minus(&self.reserved)
    }

    /// Applies the remaining time in a registration of the same incarnation. The same time is that
    /// of a registration that was read before, and goes on to count down from then.
    pub(crate) fn update_warmup(&mut self, registration: &WorkerRegistration, now: Moment) {
        if registration.cold_left == self.registration.cold_left {
            return;
        }
        match &mut self.warmup {
            // The capacity goes on to rise from where it is.
            Some(warmup) if now < warmup.until => warmup.until = now + registration.cold_left,
            _ => self.warmup = Warmup::new(registration, now).or(self.warmup),
        }
    }
}

impl Scheduler {
    /// Returns true if a worker is or was cold so recently that its slowness at `at` says nothing
    /// about it.
    pub(crate) fn may_be_slow_from_start(&self, worker: &Worker, at: Moment) -> bool {
        worker.warmup.is_some_and(|warmup| at < warmup.until + self.settings.lease)
    }

    /// Returns true if the units of a step can wait for a warm worker: they still meet the deadline
    /// if they start now and take half as long again as expected.
    pub(crate) fn can_wait_for_warm_worker(
        &self,
        priority: &SchedulingPriority,
        record: &JobRecord,
        step: &Step,
        now: Moment,
    ) -> bool {
        let latest_start = Duration::from_millis(priority.tie_breaker);
        priority.urgency == Urgency::InTime
            && now + self.durations.expected(record, step) / SLOWNESS_DIVISOR < latest_start
    }

    /// Counts a run that has started on a cold worker.
    pub(crate) fn count_cold_start(&mut self, worker: &WorkerId, now: Moment) {
        let is_cold = self.workers.get(worker).is_some_and(|worker| worker.is_cold(now));
        self.counts.cold_starts += u64::from(is_cold);
    }
}
