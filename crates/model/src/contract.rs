//! Contracts: written by operators, one per customer. All limits are derived from them.

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

/// Which quality measures weigh more in decisions that have a cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Profile {
    /// Closeness to the fair shares and short maintenance waves weigh more.
    Share,
    /// Little idle capacity and few moves of hosts weigh more.
    Buffer,
}

/// Contract of one customer: services, queues, teams, pools and hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contract {
    /// Customer that the contract belongs to.
    pub customer: CustomerId,
    /// Which quality measures weigh more.
    pub profile: Profile,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Queues, sorted by name.
    pub queues: Vec<Queue>,
    /// Teams, sorted by name.
    pub teams: Vec<Team>,
    /// Pools, sorted by name.
    pub pools: Vec<Pool>,
    /// Hosts with their initial pools, sorted by name; the current pool of a host is in its
    /// [`HostRow`](crate::host::HostRow).
    pub hosts: Vec<HostSpec>,
}

/// A service, offered by the backend servers of its pools.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name; unique within the customer.
    pub name: ServiceId,
    /// Availability budget: maximum number of its hosts that may be unavailable at the same time.
    pub unavailable_max: u32,
}

/// Who may send requests to a queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Everyone, with or without a key.
    Open,
    /// These teams of the customer, sorted by name.
    Teams(Vec<TeamId>),
}

/// A queue of requests for one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Name; unique in the fleet.
    pub name: QueueId,
    /// Service whose backend servers run the requests.
    pub service: ServiceId,
    /// Who may send requests to it.
    pub access: Access,
    /// Team to which an open queue attributes requests without a key.
    pub open_team: Option<TeamId>,
    /// Maximum number of requests that wait at one node.
    pub waiting_max: u32,
    /// Maximum time that a request waits, in milliseconds.
    pub wait_max_ms: u64,
}

impl Queue {
    /// Returns true if `team` of the queue's customer may send requests to it.
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
    /// Name; unique within the customer.
    pub name: TeamId,
    /// Weight of its share of a full fleet, relative to the other teams; at least 1.
    pub share_weight: u32,
    /// Maximum number of its requests and tasks that run at the same time in the whole fleet.
    pub running_max: u32,
}

/// A pool of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Name; unique in the fleet.
    pub name: PoolId,
    /// Service of the pool's hosts; `None` for a spare pool, which serves nothing.
    pub service: Option<ServiceId>,
}

impl Contract {
    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        find_by_name(&self.services, name, |service| &service.name)
    }

    /// Returns a queue by name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        find_by_name(&self.queues, name, |queue| &queue.name)
    }

    /// Returns a team by name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        find_by_name(&self.teams, name, |team| &team.name)
    }

    /// Returns a pool by name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        find_by_name(&self.pools, name, |pool| &pool.name)
    }
}

fn find_by_name<'a, T>(items: &'a [T], name: &str, name_of: impl Fn(&T) -> &str) -> Option<&'a T> {
    let index = items.binary_search_by(|item| name_of(item).cmp(name)).ok()?;
    Some(&items[index])
}
