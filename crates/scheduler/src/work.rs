//! Amounts of work, and their sums along the order of placement.

use std::collections::VecDeque;
use std::ops::Add;
use std::ops::AddAssign;
use std::time::Duration;

use crate::Moment;
use crate::TeamName;
use crate::job::Resources;
use crate::job::Step;
use crate::priority::SchedulingPriority;
use crate::priority::ShareRank;
use crate::priority::Urgency;

/// Longest time that a forecast tells; everything beyond is the same to a caller.
pub(crate) const TIME_MAX: Duration = Duration::from_secs(3_600);

/// Time over which the rate of new work is measured. A peak lasts several times as long, and jobs
/// come often enough in it to be counted.
const RATE_WINDOW: Duration = Duration::from_millis(1_500);

/// Place in the order of placement among the work of all teams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct OrderKey {
    pub queue_priority: u32,
    /// How the team's use compares with its share.
    pub share: ShareRank,
    pub priority: SchedulingPriority,
}

/// Resources that units occupy, times how long they do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Work {
    /// Processors, in core-milliseconds.
    pub core_ms: f64,
    /// Memory, in megabyte-milliseconds.
    pub memory_mb_ms: f64,
}

/// Work at places of an order, with the sums of all that is at a place or before it.
#[derive(Clone, Debug, Default)]
pub(crate) struct CumulativeWork {
    entries: Vec<(OrderKey, Work)>,
}

/// Work of a team that has come recently, with its place in the order at that time.
#[derive(Clone, Debug)]
pub(crate) struct RecentJob {
    pub at: Moment,
    pub team: Option<TeamName>,
    pub priority: SchedulingPriority,
    pub work: Work,
}

/// Work that has come recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentWork {
    /// The oldest first.
    jobs: VecDeque<RecentJob>,
}

impl Work {
    /// Returns the work of `count` units of a step that run for `duration` each. Long-running units
    /// have no end, so they count as capacity that is taken and not as work.
    pub fn of_units(step: &Step, count: usize, duration: Duration) -> Self {
        if step.is_long_running {
            return Self::default();
        }
        let reservation = step.reservation();
        let unit_ms = duration.as_secs_f64() * 1_000.0 * count as f64;
        Self {
            core_ms: reservation.cpu_millis as f64 / 1_000.0 * unit_ms,
            memory_mb_ms: reservation.memory_mb as f64 * unit_ms,
        }
    }

    /// Returns a part of the work.
    pub fn scaled(&self, part: f64) -> Self {
        Self { core_ms: self.core_ms * part, memory_mb_ms: self.memory_mb_ms * part }
    }

    /// Returns true if there is no work.
    pub fn is_zero(&self) -> bool {
        self.core_ms <= 0.0 && self.memory_mb_ms <= 0.0
    }

    /// Returns the time that a capacity needs for the work; `None` if it lacks a resource.
    pub fn time_with(&self, capacity: &Resources) -> Option<Duration> {
        let has_cpu = capacity.cpu_millis > 0 || self.core_ms <= 0.0;
        let has_memory = capacity.memory_mb > 0 || self.memory_mb_ms <= 0.0;
        (has_cpu && has_memory).then(|| self.time_within(capacity))
    }

    /// Returns the time that the work needs within a quota, of which an amount of 0 is not limited.
    pub fn time_within(&self, quota: &Resources) -> Duration {
        let time_ms = |work: f64, amount: f64| if amount > 0.0 { work / amount } else { 0.0 };
        let by_cpu = time_ms(self.core_ms, quota.cpu_millis as f64 / 1_000.0);
        let by_memory = time_ms(self.memory_mb_ms, quota.memory_mb as f64);
        let time_ms = by_cpu.max(by_memory).clamp(0.0, TIME_MAX.as_millis() as f64);
        Duration::from_secs_f64(time_ms / 1_000.0)
    }
}

impl Add for Work {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            core_ms: self.core_ms + other.core_ms,
            memory_mb_ms: self.memory_mb_ms + other.memory_mb_ms,
        }
    }
}

impl AddAssign for Work {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl CumulativeWork {
    /// Adds work at a place; [`CumulativeWork::sum_up`] has to follow.
    pub fn push(&mut self, key: OrderKey, work: Work) {
        self.entries.push((key, work));
    }

    /// Turns the work that was added into sums.
    pub fn sum_up(&mut self) {
        self.entries.sort_by_key(|(key, _)| *key);
        let mut sum = Work::default();
        for (_, work) in &mut self.entries {
            sum += *work;
            *work = sum;
        }
    }

    /// Returns the work at a place and before it.
    pub fn sum_through(&self, place: &OrderKey) -> Work {
        self.sum_while(|key| key <= place)
    }

    /// Returns the work after a place, up to the last one of a queue priority.
    pub fn sum_between(&self, place: &OrderKey, queue_priority: u32) -> Work {
        let before = self.sum_through(place);
        let through = self.sum_while(|key| key.queue_priority <= queue_priority);
        Work {
            core_ms: (through.core_ms - before.core_ms).max(0.0),
            memory_mb_ms: (through.memory_mb_ms - before.memory_mb_ms).max(0.0),
        }
    }

    /// Returns all work.
    pub fn total(&self) -> Work {
        self.entries.last().map_or_else(Work::default, |(_, sum)| *sum)
    }

    fn sum_while(&self, is_within: impl Fn(&OrderKey) -> bool) -> Work {
        let count = self.entries.partition_point(|(key, _)| is_within(key));
        count.checked_sub(1).map_or_else(Work::default, |index| self.entries[index].1)
    }
}

impl RecentWork {
    /// Adds work that has just come.
    pub fn push(&mut self, job: RecentJob) {
        while self.jobs.front().is_some_and(|old| job.at.saturating_sub(old.at) > RATE_WINDOW) {
            self.jobs.pop_front();
        }
        self.jobs.push_back(job);
    }

    /// Returns the part of a capacity that new work leaves to what is at a place of the order, from
    /// 0 to 1. `place_of` returns where a job would stand now.
    pub fn capacity_left(
        &self,
        place: &OrderKey,
        capacity: &Resources,
        place_of: impl Fn(&RecentJob) -> OrderKey,
        now: Moment,
    ) -> f64 {
        let is_ahead = |job: &&RecentJob| {
            now.saturating_sub(job.at) <= RATE_WINDOW && goes_before(&place_of(job), place)
        };
        let ahead = self.jobs.iter().filter(is_ahead);
        let ahead = ahead.fold(Work::default(), |sum, job| sum + job.work);
        let taken = ahead.time_within(capacity).as_secs_f64() / RATE_WINDOW.as_secs_f64();
        (1.0 - taken).max(0.0)
    }
}

/// Returns true if later work like that at `key` will go before what is at `place` now. Later jobs
/// that are in time go before those that are late, and have later latest starts than those that are
/// in time.
fn goes_before(key: &OrderKey, place: &OrderKey) -> bool {
    let SchedulingPriority { urgency, tie_breaker, .. } = place.priority;
    let same_turn = SchedulingPriority { urgency, tie_breaker, ..key.priority };
    let is_class_before = OrderKey { priority: same_turn, ..*key } < *place;
    is_class_before || (urgency == Urgency::Late && key <= place)
}
