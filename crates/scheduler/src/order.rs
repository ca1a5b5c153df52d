//! The order in which waiting units are placed.
//!
//! Jobs of a lower priority number go first. Among equals, units that last go first, since each moment
//! without them is lost; then jobs within the shares of their teams; among these, jobs that can still meet their objective, the one that must start
//! soonest first; then jobs that cannot, the one with the least work left first.

use std::time::Duration;

use crate::Moment;
use crate::job::JobRecord;
use crate::job::Step;
use crate::live::Done;
use crate::live::Job;
use crate::live::Occurrence;
use crate::live::Unit;
use crate::state::Scheduler;

/// Whether a job can still meet its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// It lasts.
    Lasting,
    /// It can meet its objective.
    InTime,
    /// It cannot.
    Late,
}

/// Rank of an occurrence of a job; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Priority of the queue.
    pub priority: u32,
    /// Its team has sent it beyond its share.
    pub is_beyond_share: bool,
    /// Whether it can meet its objective.
    pub urgency: Urgency,
    /// Latest start in milliseconds if it is in time, work left if it is late.
    pub within: u64,
}

impl Scheduler {
    /// Rank of an occurrence.
    pub(crate) fn rank(&self, job: &Job, occurrence: &Occurrence, now: Moment) -> Rank {
        let queue = self.config.queues.get(&job.record.queue);
        let priority = queue.map_or(u32::MAX, |queue| queue.priority);
        if job.record.steps.iter().any(|step| step.is_long_running) {
            let within = occurrence.due_at.as_millis() as u64;
            let (is_beyond_share, urgency) = (false, Urgency::Lasting);
            return Rank { priority, is_beyond_share, urgency, within };
        }
        let left = chain_left(&job.record, occurrence);
        let whole = chain(&job.record);
        let (stretch, deadline_slack) =
            queue.map_or((1.0, Duration::ZERO), |queue| (queue.stretch, queue.deadline_slack));
        let deadline = occurrence.due_at + whole.mul_f64(stretch) + deadline_slack;
        let (urgency, within) = if now + left <= deadline {
            (Urgency::InTime, deadline.saturating_sub(left).as_millis() as u64)
        } else {
            (Urgency::Late, work_left(&job.record, occurrence))
        };
        Rank { priority, is_beyond_share: job.is_beyond_share, urgency, within }
    }
}

/// Longest chain of work of a job, by its estimates.
pub(crate) fn chain(record: &JobRecord) -> Duration {
    longest(record, |_, step| Duration::from_millis(step.estimate_ms))
}

/// Longest chain of work that is left.
fn chain_left(record: &JobRecord, occurrence: &Occurrence) -> Duration {
    longest(record, |index, step| {
        let units = &occurrence.steps[index];
        let left = units.iter().filter(|unit| unit.done == Done::No);
        let estimate = Duration::from_millis(step.estimate_ms);
        left.map(|unit| estimate.mul_f64(part_left(unit))).max().unwrap_or_default()
    })
}

/// Part of a unit's work that is left.
fn part_left(unit: &Unit) -> f64 {
    let progress_percent = unit.run.as_ref().map_or(0, |run| run.progress_percent.min(100));
    1.0 - f64::from(progress_percent) / 100.0
}

fn longest(record: &JobRecord, time_of: impl Fn(usize, &Step) -> Duration) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(record.steps.len());
    for (index, step) in record.steps.iter().enumerate() {
        let before = step.depends_on.iter().filter_map(|&step| ends.get(step)).max();
        let begin = before.copied().unwrap_or_default();
        ends.push(begin + time_of(index, step));
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Core-milliseconds that are left.
fn work_left(record: &JobRecord, occurrence: &Occurrence) -> u64 {
    let steps = record.steps.iter().zip(&occurrence.steps);
    steps
        .map(|(step, units)| {
            let left = units.iter().filter(|unit| unit.done == Done::No).count() as u64;
            left * step.estimate_ms * step.requested.cpu_millis / 1_000
        })
        .sum()
}
