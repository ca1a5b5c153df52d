//! What operators have set: queues, pools and teams.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::PoolName;
use crate::QueueName;
use crate::TeamName;
use crate::job::Resources;
use crate::sorted::SortedMap;

/// Queues, pools and teams of one version of the configuration.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Config {
    /// Version.
    pub version: u64,
    /// Queues by name.
    pub queues: SortedMap<QueueName, Queue>,
    /// Pools by name.
    pub pools: SortedMap<PoolName, Pool>,
    /// Teams by name.
    pub teams: SortedMap<TeamName, Team>,
}

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Pool whose workers run its units.
    pub pool: PoolName,
    /// Rank; 0 comes first.
    pub priority: u32,
    /// Failed runs of a unit after which its job has failed.
    pub attempts_max: u32,
    /// Objective of a job's time, as a multiple of its longest chain of work.
    pub stretch: f64,
    /// Time that is added to the objective.
    #[serde(rename = "objective")]
    pub deadline_slack: Duration,
    /// What is known of the advisor's times, if the queue needs advice on workers.
    pub advice: Option<AdviceTimes>,
}

/// Times of the advisor of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdviceTimes {
    /// Fixed time of a call.
    #[serde(rename = "call")]
    pub call_time: Duration,
    /// Time for each worker that is asked about.
    #[serde(rename = "each")]
    pub time_per_worker: Duration,
    /// Life of a ticket.
    #[serde(rename = "valid")]
    pub ticket_validity: Duration,
}

/// A pool of hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// True if its hosts are off and take no work.
    pub is_spare: bool,
}

/// A team of a client account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Jobs a second that go before those that other teams send beyond theirs; 0 is no limit.
    #[serde(rename = "weight")]
    pub rate_share: f64,
    /// What it may have running; a zero part is no limit.
    #[serde(rename = "bound")]
    pub quota: Resources,
}
