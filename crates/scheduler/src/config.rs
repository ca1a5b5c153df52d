//! Configuration that operators set: queues, pools and teams.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::PoolName;
use crate::QueueName;
use crate::TeamName;
use crate::job::Resources;
use crate::sorted_map::SortedMap;

/// One version of the configuration.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Config {
    /// Number that increases with each change of the configuration.
    pub version: u64,
    /// Queues by name.
    pub queues: SortedMap<QueueName, Queue>,
    /// Pools by name.
    pub pools: SortedMap<PoolName, Pool>,
    /// Teams by name.
    pub teams: SortedMap<TeamName, Team>,
}

/// A queue to which callers submit jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Pool whose workers run the units of its jobs.
    pub pool: PoolName,
    /// Queues with a lower number are served first; 0 is the highest priority.
    pub priority: u32,
    /// Number of failed runs of a unit, or of a gang as a whole, at which the job fails;
    /// 0 counts as 1.
    pub attempts_max: u32,
    /// Time from the due time of a job to its deadline, as a multiple of the job's critical path.
    /// `deadline_slack` is added to it.
    pub stretch: f64,
    /// Constant time that is added to the deadline of every job.
    #[serde(rename = "objective")]
    pub deadline_slack: Duration,
    /// Timings of the advisor; `None` if units of the queue may run on any worker without advice.
    pub advice: Option<AdviceTimes>,
}

/// Timings of the advisor, which decides which workers may run a step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdviceTimes {
    /// Fixed part of the time that a request takes.
    #[serde(rename = "call")]
    pub call_time: Duration,
    /// Time that each worker in a request adds to it.
    #[serde(rename = "each")]
    pub time_per_worker: Duration,
    /// Time for which a ticket is valid, counted from the request.
    #[serde(rename = "valid")]
    pub ticket_validity: Duration,
}

/// A pool of hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Whether its hosts are powered off, take no work and can be lent to other pools.
    pub is_spare: bool,
}

/// A team of a client account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Jobs per second that are served before the jobs that other teams submit beyond their own
    /// share; 0 is no limit.
    #[serde(rename = "weight")]
    pub rate_share: f64,
    /// Total resources that its runs may request at a time; an amount of 0 is not limited.
    #[serde(rename = "bound")]
    pub quota: Resources,
}
