//! Limits of the configuration, and the demand of each node for their tokens.

use std::fmt;

use model::Config;
use model::CustomerId;
use model::ServiceId;
use model::TeamRef;

use crate::key::LimitKey;
use crate::row::Holder;

/// A demand whose cause is gone decreases by a quarter with each observation.
const DECAY_DIVISOR: u32 = 4;

/// Key under which nodes report their demand; several limits can share one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DemandKey {
    /// Running and waiting work of a team.
    Team(TeamRef),
    /// Running and waiting work of a service, over all its backend servers.
    Service(CustomerId, ServiceId),
    /// No demand, for instance for the hosts of a spare pool.
    None,
}

impl DemandKey {
    /// Parses the text form that `Display` writes; `None` for a malformed text and for
    /// [`DemandKey::None`].
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.splitn(3, '/');
        match (parts.next()?, parts.next()?, parts.next()?) {
            ("team", customer, team) => Some(Self::Team(TeamRef::new(customer, team))),
            ("service", customer, service) => Some(Self::Service(customer.into(), service.into())),
            _ => None,
        }
    }
}

impl fmt::Display for DemandKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Team(team) => write!(f, "team/{team}"),
            Self::Service(customer, service) => write!(f, "service/{customer}/{service}"),
            Self::None => f.write_str("none"),
        }
    }
}

/// A limit that the configuration sets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limit {
    /// The resource that it counts.
    pub key: LimitKey,
    /// Number of tokens in total.
    pub count: u32,
    /// Key of the demand that decides how its tokens are distributed.
    pub demand: DemandKey,
}

/// Demand of a node under one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Team or service that the work belongs to.
    pub key: DemandKey,
    /// Number of tokens that its running and waiting work needs.
    pub count: u32,
}

/// All demands of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberDemand {
    /// The incarnation of the node that reported the demands.
    pub holder: Holder,
    /// Sorted by key; a missing key means no demand.
    pub demands: Vec<Demand>,
}

impl MemberDemand {
    /// Returns the number of tokens that the node needs for work under `key`.
    pub fn count(&self, key: &DemandKey) -> u32 {
        let found = self.demands.binary_search_by(|demand| demand.key.cmp(key));
        found.map_or(0, |index| self.demands[index].count)
    }
}

/// Returns all limits that `config` sets, sorted by key.
pub fn limits_of(config: &Config) -> Vec<Limit> {
    let mut limits = Vec::new();
    for contract in &config.contracts {
        for team in &contract.teams {
            let team_ref = TeamRef::new(contract.customer.clone(), team.name.clone());
            limits.push(Limit {
                key: LimitKey::Running(team_ref.clone()),
                count: team.running_max,
                demand: DemandKey::Team(team_ref),
            });
        }
    }
    for host in &config.hosts {
        let demand = match config.service_of(host) {
            Some(service) => DemandKey::Service(host.customer.clone(), service.name.clone()),
            None => DemandKey::None,
        };
        let slots = LimitKey::Slots(host.id().clone());
        let connections = LimitKey::Connections(host.id().clone());
        limits.push(Limit { key: slots, count: host.spec.slots, demand: demand.clone() });
        limits.push(Limit { key: connections, count: host.spec.connections_max, demand });
    }
    limits.sort_by(|a, b| a.key.cmp(&b.key));
    limits
}

/// Smoothed demands of the members: an increase applies at once, a decrease gradually.
#[derive(Default)]
pub struct SmoothedDemands {
    /// Sorted by holder.
    members: Vec<MemberDemand>,
}

impl SmoothedDemands {
    /// Updates the demands from those that the live members report now, sorted by holder; removes
    /// all other members.
    pub fn observe(&mut self, current: Vec<MemberDemand>) {
        let mut next = Vec::with_capacity(current.len());
        for member in current {
            let found = self.members.binary_search_by(|other| other.holder.cmp(&member.holder));
            next.push(match found {
                Ok(index) => smooth(&self.members[index], member),
                Err(_) => member,
            });
        }
        self.members = next;
    }

    /// Returns the smoothed demands, sorted by holder.
    pub fn members(&self) -> &[MemberDemand] {
        &self.members
    }
}

fn smooth(previous: &MemberDemand, mut current: MemberDemand) -> MemberDemand {
    for old in &previous.demands {
        let decayed = old.count - old.count.div_ceil(DECAY_DIVISOR);
        match current.demands.binary_search_by(|demand| demand.key.cmp(&old.key)) {
            Ok(index) => current.demands[index].count = current.demands[index].count.max(decayed),
            Err(index) if decayed > 0 => {
                current.demands.insert(index, Demand { key: old.key.clone(), count: decayed });
            }
            Err(_) => {}
        }
    }
    current
}
