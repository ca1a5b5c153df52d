//! The order in which waiting units are placed.
//!
//! Jobs of a lower priority number go first. Among equals, units that last go first, since each moment
//! without them is lost; then jobs within the shares of their teams; among these, jobs that can still meet their objective, the one that must start
//! soonest first; then jobs that cannot, the one with the least work left first.

use std::time::Duration;

use crate::Moment;
use crate::job::JobRecord;
use crate::job::Step;
use crate::live_jobs::FinishState;
use crate::live_jobs::Job;
use crate::live_jobs::Occurrence;
use crate::live_jobs::Unit;
use crate::state::Scheduler;

/// Whether a job can still meet its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// It lasts.
    LongRunning,
    /// It can meet its objective.
    InTime,
    /// It cannot.
    Late,
}

/// Rank of an occurrence of a job; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SchedulingPriority {
    /// Priority of the queue.
    pub queue_priority: u32,
    /// Its team has sent it beyond its share.
    pub is_beyond_rate_share: bool,
    /// Whether it can meet its objective.
    pub urgency: Urgency,
    /// Latest start in milliseconds if it is in time, work left if it is late.
    pub tie_breaker: u64,
}

impl Scheduler {
    /// Rank of an occurrence.
    pub(crate) fn scheduling_priority(
        &self,
        job: &Job,
        occurrence: &Occurrence,
        now: Moment,
    ) -> SchedulingPriority {
        let queue = self.config.queues.get(&job.record.queue);
        let queue_priority = queue.map_or(u32::MAX, |queue| queue.priority);
        if job.record.steps.iter().any(|step| step.is_long_running) {
            let tie_breaker = occurrence.due_at.as_millis() as u64;
            let (is_beyond_rate_share, urgency) = (false, Urgency::LongRunning);
            return SchedulingPriority {
                queue_priority,
                is_beyond_rate_share,
                urgency,
                tie_breaker,
            };
        }
        let remaining = remaining_critical_path(&job.record, occurrence);
        let critical_path_total = critical_path(&job.record);
        let (stretch, deadline_slack) =
            queue.map_or((1.0, Duration::ZERO), |queue| (queue.stretch, queue.deadline_slack));
        let deadline = occurrence.due_at + critical_path_total.mul_f64(stretch) + deadline_slack;
        let (urgency, tie_breaker) = if now + remaining <= deadline {
            (Urgency::InTime, deadline.saturating_sub(remaining).as_millis() as u64)
        } else {
            (Urgency::Late, remaining_work(&job.record, occurrence))
        };
        SchedulingPriority {
            queue_priority,
            is_beyond_rate_share: job.is_beyond_rate_share,
            urgency,
            tie_breaker,
        }
    }
}

/// Longest chain of work of a job, by its estimates.
pub(crate) fn critical_path(record: &JobRecord) -> Duration {
    critical_path_of(record, |_, step| Duration::from_millis(step.estimate_ms))
}

/// Longest chain of work that is left.
fn remaining_critical_path(record: &JobRecord, occurrence: &Occurrence) -> Duration {
    critical_path_of(record, |index, step| {
        let units = &occurrence.steps[index];
        let remaining = units.iter().filter(|unit| unit.finish_state == FinishState::Unfinished);
        let estimate = Duration::from_millis(step.estimate_ms);
        remaining.map(|unit| estimate.mul_f64(remaining_fraction(unit))).max().unwrap_or_default()
    })
}

/// Part of a unit's work that is left.
fn remaining_fraction(unit: &Unit) -> f64 {
    let progress_percent = unit.run.as_ref().map_or(0, |run| run.progress_percent.min(100));
    1.0 - f64::from(progress_percent) / 100.0
}

fn critical_path_of(record: &JobRecord, time_of: impl Fn(usize, &Step) -> Duration) -> Duration {
    let mut finish_times: Vec<Duration> = Vec::with_capacity(record.steps.len());
    for (index, step) in record.steps.iter().enumerate() {
        let dependencies_finish =
            step.depends_on.iter().filter_map(|&step| finish_times.get(step)).max();
        let start = dependencies_finish.copied().unwrap_or_default();
        finish_times.push(start + time_of(index, step));
    }
    finish_times.into_iter().max().unwrap_or_default()
}

/// Core-milliseconds that are left.
fn remaining_work(record: &JobRecord, occurrence: &Occurrence) -> u64 {
    let steps = record.steps.iter().zip(&occurrence.steps);
    steps
        .map(|(step, units)| {
            let remaining =
                units.iter().filter(|unit| unit.finish_state == FinishState::Unfinished).count()
                    as u64;
            remaining * step.estimate_ms * step.requested.cpu_millis / 1_000
        })
        .sum()
}
