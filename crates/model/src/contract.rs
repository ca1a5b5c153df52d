//! Contracts: what operators write for one customer, and from which every limit follows.

mod check;
mod read;

use serde::Deserialize;
use serde::Serialize;

use crate::host::HostSpec;
use crate::ids::CustomerId;
use crate::ids::PoolId;
use crate::ids::QueueId;
use crate::ids::ServiceId;
use crate::ids::TeamId;

pub use read::parse_contract;

/// Which of the users' measures weigh more in decisions that cost something.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Profile {
    /// Closeness to share and roll-out time weigh more.
    Share,
    /// Idle capacity and the number of moves weigh more.
    Buffer,
}

/// Contract of one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contract {
    /// Customer.
    pub customer: CustomerId,
    /// Weight of the measures.
    pub profile: Profile,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Queues, sorted by name.
    pub queues: Vec<Queue>,
    /// Teams, sorted by name.
    pub teams: Vec<Team>,
    /// Pools, sorted by name.
    pub pools: Vec<Pool>,
    /// Hosts as first listed, sorted by name; the pool that a host is in now is in its own row.
    pub hosts: Vec<HostSpec>,
}

/// A service that a pool's backend servers offer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Hosts of the service that may be unavailable at once; its availability budget.
    pub unavailable_max: u32,
}

/// Who may put work on a queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Everyone, also without a key.
    Open,
    /// Teams of the customer, sorted by name.
    Teams(Vec<TeamId>),
}

/// A queue of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Name.
    pub name: QueueId,
    /// Service that runs the work.
    pub service: ServiceId,
    /// Who may use it.
    pub access: Access,
    /// Team that work without a key counts for, on an open queue.
    pub open_team: Option<TeamId>,
    /// Requests that wait at one node at most.
    pub waiting_max: u32,
    /// Time that a request waits at most, in milliseconds.
    pub wait_max_ms: u64,
}

impl Queue {
    /// True if `team` of the queue's customer may use it.
    pub fn allows(&self, team: &str) -> bool {
        match &self.access {
            Access::Open => true,
            Access::Teams(teams) => teams.binary_search_by(|t| (**t).cmp(team)).is_ok(),
        }
    }
}

/// A team of callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Name.
    pub name: TeamId,
    /// Share when the fleet is full, relative to the other teams.
    pub share_weight: u32,
    /// Requests and tasks that run at once at most, over the whole fleet.
    pub running_max: u32,
}

/// A pool of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Name.
    pub name: PoolId,
    /// Service that the pool's hosts offer; `None` for a spare pool.
    pub service: Option<ServiceId>,
}

impl Contract {
    /// Service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        find(&self.services, name, |service| &service.name)
    }

    /// Queue by name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        find(&self.queues, name, |queue| &queue.name)
    }

    /// Team by name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        find(&self.teams, name, |team| &team.name)
    }

    /// Pool by name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        find(&self.pools, name, |pool| &pool.name)
    }
}

fn find<'a, T>(items: &'a [T], name: &str, name_of: impl Fn(&T) -> &str) -> Option<&'a T> {
    let index = items.binary_search_by(|item| name_of(item).cmp(name)).ok()?;
    Some(&items[index])
}
