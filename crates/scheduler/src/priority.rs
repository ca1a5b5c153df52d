//! The order in which waiting units are placed.
//!
//! Queues with a lower priority number go first. Among jobs of the same priority, those with
//! long-running units go first, since each moment without them is lost. Then come jobs within the
//! rate shares of their teams, and then jobs beyond them. In both groups, jobs that can still meet
//! their deadline go first, in the order of their latest start, and then jobs that cannot, the one
//! with the least remaining work first.

use std::time::Duration;

use crate::Moment;
use crate::config::Queue;
use crate::job::JobRecord;
use crate::live_jobs::FinishState;
use crate::live_jobs::Job;
use crate::live_jobs::Occurrence;
use crate::live_jobs::Unit;
use crate::state::Scheduler;

/// Whether a job can still meet its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// The job has long-running units and no deadline.
    LongRunning,
    /// The job can meet its deadline.
    InTime,
    /// The job misses its deadline, even if it starts now.
    Late,
}

/// Scheduling priority of an occurrence of a job; the lowest value goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SchedulingPriority {
    /// Priority number of the queue.
    pub queue_priority: u32,
    /// The job was submitted beyond the rate share of its team.
    pub is_beyond_rate_share: bool,
    /// Whether the job can meet its deadline.
    pub urgency: Urgency,
    /// Due time if the job is long-running, latest start if it is in time, both in milliseconds of
    /// [`Moment`]; remaining work in core-milliseconds if it is late.
    pub tie_breaker: u64,
}

impl Scheduler {
    /// Returns the scheduling priority of an occurrence. Its deadline is its due time, plus the
    /// critical path times the queue's stretch, plus the queue's slack.
    pub(crate) fn scheduling_priority(
        &self,
        job: &Job,
        occurrence: &Occurrence,
        now: Moment,
    ) -> SchedulingPriority {
        let queue = self.queue_settings(&job.record);
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
        let expected = self.durations.expected_by_step(&job.record);
        let remaining = remaining_critical_path(&job.record, occurrence, &expected);
        let critical_path_total = critical_path_of(&job.record, |index| expected[index]);
        let deadline = occurrence.due_at + time_to_deadline(critical_path_total, queue);
        let (urgency, tie_breaker) = if now + remaining <= deadline {
            (Urgency::InTime, deadline.saturating_sub(remaining).as_millis() as u64)
        } else {
            (Urgency::Late, remaining_work(&job.record, occurrence, &expected))
        };
        SchedulingPriority {
            queue_priority,
            is_beyond_rate_share: job.is_beyond_rate_share,
            urgency,
            tie_breaker,
        }
    }
}

/// Returns the time from the due time of a job of a queue to its deadline.
pub(crate) fn time_to_deadline(critical_path: Duration, queue: Option<&Queue>) -> Duration {
    let (stretch, deadline_slack) =
        queue.map_or((1.0, Duration::ZERO), |queue| (queue.stretch, queue.deadline_slack));
    critical_path.mul_f64(stretch) + deadline_slack
}

/// Returns the length of the critical path through the unfinished units. `expected` has the
/// expected duration of a unit of each step.
fn remaining_critical_path(
    record: &JobRecord,
    occurrence: &Occurrence,
    expected: &[Duration],
) -> Duration {
    critical_path_of(record, |index| {
        let units = &occurrence.steps[index];
        let remaining = units.iter().filter(|unit| unit.finish_state == FinishState::Unfinished);
        remaining
            .map(|unit| expected[index].mul_f64(remaining_fraction(unit)))
            .max()
            .unwrap_or_default()
    })
}

/// Returns the fraction of a unit's work that remains.
fn remaining_fraction(unit: &Unit) -> f64 {
    let progress_percent = unit.run.as_ref().map_or(0, |run| run.progress_percent.min(100));
    1.0 - f64::from(progress_percent) / 100.0
}

/// Returns the length of the critical path. `time_of` returns the time of the step at an index.
pub(crate) fn critical_path_of(
    record: &JobRecord,
    time_of: impl Fn(usize) -> Duration,
) -> Duration {
    let mut finish_times: Vec<Duration> = Vec::with_capacity(record.steps.len());
    for (index, step) in record.steps.iter().enumerate() {
        let dependencies_finish =
            step.depends_on.iter().filter_map(|&step| finish_times.get(step)).max();
        let start = dependencies_finish.copied().unwrap_or_default();
        finish_times.push(start + time_of(index));
    }
    finish_times.into_iter().max().unwrap_or_default()
}

/// Returns the remaining work in core-milliseconds. `expected` has the expected duration of a unit
/// of each step.
fn remaining_work(record: &JobRecord, occurrence: &Occurrence, expected: &[Duration]) -> u64 {
    let steps = record.steps.iter().zip(&occurrence.steps).zip(expected);
    steps
        .map(|((step, units), expected)| {
            let remaining =
                units.iter().filter(|unit| unit.finish_state == FinishState::Unfinished).count()
                    as u64;
            let expected_ms = expected.as_millis() as u64;
            let unit_work = expected_ms.saturating_mul(step.requested.cpu_millis) / 1_000;
            remaining.saturating_mul(unit_work)
        })
        .fold(0, u64::saturating_add)
}
