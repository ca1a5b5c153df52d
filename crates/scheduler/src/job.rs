//! Jobs: graphs of steps, each with units that run on workers.

use std::fmt;
use std::ops::AddAssign;
use std::ops::SubAssign;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::JobId;
use crate::PoolName;
use crate::QueueName;
use crate::TeamName;

/// Processors, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_millis: u64,
    /// Megabytes of memory.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Resources {
    /// True if all parts fit into `room`.
    pub fn fits_in(&self, room: &Resources) -> bool {
        self.cpu_millis <= room.cpu_millis
            && self.memory_mb <= room.memory_mb
            && self.gpus <= room.gpus
    }

    /// True if no part is beyond `quota`, of which a zero part is no limit.
    pub fn is_within(&self, quota: &Resources) -> bool {
        let within = |part: u64, limit: u64| limit == 0 || part <= limit;
        within(self.cpu_millis, quota.cpu_millis)
            && within(self.memory_mb, quota.memory_mb)
            && within(self.gpus, quota.gpus)
    }

    /// Both together.
    pub fn plus(mut self, other: &Resources) -> Resources {
        self += *other;
        self
    }

    /// What is left without `other`; no part falls below zero.
    pub fn minus(mut self, other: &Resources) -> Resources {
        self -= *other;
        self
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        self.cpu_millis += other.cpu_millis;
        self.memory_mb += other.memory_mb;
        self.gpus += other.gpus;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        self.cpu_millis = self.cpu_millis.saturating_sub(other.cpu_millis);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
        self.gpus = self.gpus.saturating_sub(other.gpus);
    }
}

/// A step of a job: units of one kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of units.
    #[serde(rename = "n")]
    pub count: u32,
    /// What each unit needs.
    #[serde(rename = "r")]
    pub requested: Resources,
    /// Rough time of a unit, in milliseconds.
    #[serde(rename = "e")]
    pub estimate_ms: u64,
    /// Steps that must be done first.
    #[serde(rename = "d", skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<usize>,
    /// The units save their state.
    #[serde(rename = "cp", skip_serializing_if = "is_false")]
    pub has_checkpoints: bool,
    /// The units work only together and end together.
    #[serde(rename = "g", skip_serializing_if = "is_false")]
    pub is_gang: bool,
    /// The units should run on one rack.
    #[serde(rename = "sr", skip_serializing_if = "is_false")]
    pub prefers_same_rack: bool,
    /// Label that the worker must have.
    #[serde(rename = "l", skip_serializing_if = "Option::is_none")]
    pub label: Option<String>,
    /// Rack on which the data are.
    #[serde(rename = "nr", skip_serializing_if = "Option::is_none")]
    pub near_rack: Option<String>,
    /// Units of the step on one worker at most; 0 is no limit.
    #[serde(rename = "pw", skip_serializing_if = "is_zero")]
    pub per_worker_max: u32,
    /// Copies of a unit may run side by side.
    #[serde(rename = "co", skip_serializing_if = "is_false")]
    pub allows_copies: bool,
    /// The units run until the job is cancelled.
    #[serde(rename = "la", skip_serializing_if = "is_false")]
    pub is_long_running: bool,
    /// What the units run; units of one image behave alike.
    #[serde(rename = "im", skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// Bound of the tail of the response times of a unit that serves, in milliseconds; 0 is none.
    #[serde(rename = "t", skip_serializing_if = "is_zero_ms")]
    pub tail_latency_target_ms: u64,
    /// The units take what processors the others leave; their processors are not reserved.
    #[serde(rename = "f", skip_serializing_if = "is_false")]
    pub is_best_effort: bool,
    /// Units that may be away at a time by what the system does; 0 is no budget.
    #[serde(rename = "mm", skip_serializing_if = "is_zero")]
    pub unavailable_max: u32,
}

impl Step {
    /// What a unit takes of a worker's room.
    pub fn room(&self) -> Resources {
        let cpu_millis = if self.is_best_effort { 0 } else { self.requested.cpu_millis };
        Resources { cpu_millis, ..self.requested }
    }
}

/// A job as it was accepted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobRecord {
    /// Id.
    pub id: JobId,
    /// Queue.
    pub queue: QueueName,
    /// Pool of the queue when the job was accepted.
    pub pool: PoolName,
    /// Team; none on a queue that is open to all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
    /// Text that each unit is started with.
    pub spec: Arc<str>,
    /// Steps.
    pub steps: Vec<Step>,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// When the first occurrence is due, in milliseconds since the Unix epoch.
    #[serde(skip_serializing_if = "is_zero_ms")]
    pub first_due_ms: u64,
    /// Time between occurrences, in milliseconds.
    #[serde(skip_serializing_if = "is_zero_ms")]
    pub interval_ms: u64,
    /// Number of occurrences; 0 for a job that runs once, at once.
    #[serde(skip_serializing_if = "is_zero")]
    pub repetitions: u32,
}

impl JobRecord {
    /// Number of times that the steps run.
    pub fn occurrences(&self) -> u32 {
        self.repetitions.max(1)
    }

    /// True if the job runs at set times.
    pub fn is_timed(&self) -> bool {
        self.repetitions > 0
    }

    /// When an occurrence is due, in milliseconds since the Unix epoch.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        match self.is_timed() {
            true => self.first_due_ms + u64::from(occurrence) * self.interval_ms,
            false => self.accepted_ms,
        }
    }
}

/// A unit of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnitKey {
    /// Job.
    pub job: JobId,
    /// Occurrence, counted from 0.
    pub occurrence: u32,
    /// Step, counted from 0.
    pub step: usize,
    /// Unit, counted from 0.
    pub index: usize,
}

impl fmt::Display for UnitKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// The text is not the name of a unit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not the name of a unit, as in `5c0e7a21d94b36f8.0.1.17`")]
pub struct ParseUnitKeyError(String);

impl FromStr for UnitKey {
    type Err = ParseUnitKeyError;

    fn from_str(text: &str) -> Result<Self, ParseUnitKeyError> {
        let bad = || ParseUnitKeyError(text.to_owned());
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(bad);
        let job = JobId::from(next()?);
        let occurrence = next()?.parse().map_err(|_| bad())?;
        let step = next()?.parse().map_err(|_| bad())?;
        let index = next()?.parse().map_err(|_| bad())?;
        match parts.next() {
            None => Ok(Self { job, occurrence, step, index }),
            Some(_) => Err(bad()),
        }
    }
}

fn is_false(value: &bool) -> bool {
    !value
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

fn is_zero_ms(value: &u64) -> bool {
    *value == 0
}
