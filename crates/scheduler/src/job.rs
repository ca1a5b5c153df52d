//! Jobs as callers submit them: graphs of steps whose units run on workers.

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
use crate::config::Queue;
use crate::stored_queue;

/// Amounts of processors, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub cpu_millis: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Returns true if no amount exceeds that of `capacity`.
    pub fn fits_in(&self, capacity: &Resources) -> bool {
        self.cpu_millis <= capacity.cpu_millis
            && self.memory_mb <= capacity.memory_mb
            && self.gpus <= capacity.gpus
    }

    /// Returns true if no amount exceeds that of `quota`; an amount of 0 in `quota` is no limit.
    pub fn is_within(&self, quota: &Resources) -> bool {
        let within = |part: u64, limit: u64| limit == 0 || part <= limit;
        within(self.cpu_millis, quota.cpu_millis)
            && within(self.memory_mb, quota.memory_mb)
            && within(self.gpus, quota.gpus)
    }

    /// Returns the sum of both.
    pub fn plus(mut self, other: &Resources) -> Resources {
        self += *other;
        self
    }

    /// Returns the sum of `count` such amounts.
    pub fn times(&self, count: u64) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
        }
    }

    /// Returns the difference; an amount that would become negative is 0.
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

/// A step of a job: a number of identical units.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of units, each of which runs on one worker.
    #[serde(rename = "n")]
    pub count: u32,
    /// Resources that each unit requests.
    #[serde(rename = "r")]
    pub requested: Resources,
    /// Rough duration of a unit in milliseconds, as the caller estimates it.
    #[serde(rename = "e")]
    pub estimate_ms: u64,
    /// Indices of the steps that must finish before this one starts.
    #[serde(rename = "d", skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<usize>,
    /// The units store checkpoints, from which a later run resumes.
    #[serde(rename = "cp", skip_serializing_if = "is_false")]
    pub has_checkpoints: bool,
    /// The units form a gang: they only run all together, and one successful unit finishes them
    /// all.
    #[serde(rename = "g", skip_serializing_if = "is_false")]
    pub is_gang: bool,
    /// A gang is placed on a single rack if one has enough free capacity.
    #[serde(rename = "sr", skip_serializing_if = "is_false")]
    pub prefers_same_rack: bool,
    /// Label that a worker must have to run the units.
    #[serde(rename = "l", skip_serializing_if = "Option::is_none")]
    pub label: Option<String>,
    /// Rack that stores the input data; its workers are preferred.
    #[serde(rename = "nr", skip_serializing_if = "Option::is_none")]
    pub near_rack: Option<String>,
    /// Maximum number of units of this step on one worker; 0 is no limit.
    #[serde(rename = "pw", skip_serializing_if = "is_zero")]
    pub per_worker_max: u32,
    /// The units run until the job is cancelled.
    #[serde(rename = "la", skip_serializing_if = "is_false")]
    pub is_long_running: bool,
    /// Image that the units run; units with the same image behave alike.
    #[serde(rename = "im", skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// Target for the tail latency of serving units, in milliseconds; 0 if the units serve no
    /// requests.
    #[serde(rename = "t", skip_serializing_if = "is_zero_ms")]
    pub tail_latency_target_ms: u64,
    /// The units use the processor time that other units leave; no processors are reserved for
    /// them.
    #[serde(rename = "f", skip_serializing_if = "is_false")]
    pub is_best_effort: bool,
    /// Disruption budget of a long-running step: the number of its units that the system may make
    /// unavailable at a time. 0 if none was set, which counts as 1.
    #[serde(rename = "mm", skip_serializing_if = "is_zero")]
    pub unavailable_max: u32,
}

impl Step {
    /// Returns the resources that a unit reserves on its worker.
    pub fn reservation(&self) -> Resources {
        let cpu_millis = if self.is_best_effort { 0 } else { self.requested.cpu_millis };
        Resources { cpu_millis, ..self.requested }
    }
}

/// A job as it was accepted and stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobRecord {
    /// Identifier of the job.
    pub id: JobId,
    /// Queue to which it was submitted.
    pub queue: QueueName,
    /// Pool of the queue at the time the job was accepted.
    pub pool: PoolName,
    /// Settings of the queue at the time the job was accepted; `None` if an earlier version of the
    /// program has stored the job.
    #[serde(rename = "qs", with = "stored_queue", skip_serializing_if = "Option::is_none")]
    pub queue_settings: Option<Box<Queue>>,
    /// Team that submitted it; `None` on a queue that is open to all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
    /// Text that is passed to each unit when it starts.
    pub spec: Arc<str>,
    /// Steps; a step depends only on earlier ones.
    pub steps: Vec<Step>,
    /// Time of acceptance in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Due time of the first occurrence in milliseconds since the Unix epoch.
    #[serde(skip_serializing_if = "is_zero_ms")]
    pub first_due_ms: u64,
    /// Time between the due times of two occurrences, in milliseconds.
    #[serde(skip_serializing_if = "is_zero_ms")]
    pub interval_ms: u64,
    /// Number of scheduled occurrences; 0 for a job that runs once, immediately.
    #[serde(skip_serializing_if = "is_zero")]
    pub repetitions: u32,
}

impl JobRecord {
    /// Returns how many times the steps run.
    pub fn occurrences(&self) -> u32 {
        self.repetitions.max(1)
    }

    /// Returns true if the occurrences of the job start at set times.
    pub fn has_schedule(&self) -> bool {
        self.repetitions > 0
    }

    /// Returns the due time of an occurrence in milliseconds since the Unix epoch. Beyond the range of
    /// numbers, it is the largest one: such an occurrence is never due.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        let after_first_ms = u64::from(occurrence).saturating_mul(self.interval_ms);
        match self.has_schedule() {
            true => self.first_due_ms.saturating_add(after_first_ms),
            false => self.accepted_ms,
        }
    }
}

/// Identifies a unit of an occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnitKey {
    /// Job that the unit belongs to.
    pub job: JobId,
    /// Occurrence of the job, counted from 0.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: usize,
    /// Index of the unit in the step.
    pub index: usize,
}

impl fmt::Display for UnitKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// The text is not a valid unit name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a valid unit name such as `5c0e7a21d94b36f8.0.1.17`")]
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
