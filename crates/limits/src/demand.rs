//! What the configuration limits, and how much of it each node asks for.

use std::fmt;

use model::Config;
use model::CustomerId;
use model::ServiceId;
use model::TeamRef;

use crate::key::LimitKey;
use crate::row::Holder;

/// Part of a demand that is gone at each look after its cause went away.
const FALL_DIVISOR: u32 = 4;

/// Tokens of a backend server or team that a node asks for are counted under one of these.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DemandKey {
    /// Work of a team.
    Team(TeamRef),
    /// Work on a service, over all its backend servers.
    Service(CustomerId, ServiceId),
    /// Nothing asks for it, as for the hosts of a spare pool.
    None,
}

impl DemandKey {
    /// Reads the text form.
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

/// A limit of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limit {
    /// What it counts.
    pub key: LimitKey,
    /// Tokens in all.
    pub count: u32,
    /// What its tokens are asked for under.
    pub demand: DemandKey,
}

/// Running and waiting work at a node under one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// What it asks for.
    pub key: DemandKey,
    /// Tokens that would serve it.
    pub count: u32,
}

/// All that one node asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberDemand {
    /// Node.
    pub holder: Holder,
    /// Sorted by key; what is missing is zero.
    pub demands: Vec<Demand>,
}

impl MemberDemand {
    /// Tokens that the node asks for under `key`.
    pub fn count(&self, key: &DemandKey) -> u32 {
        let found = self.demands.binary_search_by(|demand| demand.key.cmp(key));
        found.map_or(0, |index| self.demands[index].count)
    }
}

/// All limits of `config`, sorted by key.
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

/// What members ask for, smoothed: a rise counts at once, a fall with a delay.
#[derive(Default)]
pub struct SmoothedDemands {
    /// Sorted by holder.
    members: Vec<MemberDemand>,
}

impl SmoothedDemands {
    /// Takes note of what the live members ask for now, sorted by holder; forgets all others.
    pub fn observe(&mut self, now: Vec<MemberDemand>) {
        let mut next = Vec::with_capacity(now.len());
        for member in now {
            let before = self.members.binary_search_by(|other| other.holder.cmp(&member.holder));
            next.push(match before {
                Ok(index) => smooth(&self.members[index], member),
                Err(_) => member,
            });
        }
        self.members = next;
    }

    /// What the members ask for, sorted by holder.
    pub fn members(&self) -> &[MemberDemand] {
        &self.members
    }
}

fn smooth(before: &MemberDemand, mut now: MemberDemand) -> MemberDemand {
    for held in &before.demands {
        let fallen = held.count - held.count.div_ceil(FALL_DIVISOR);
        match now.demands.binary_search_by(|demand| demand.key.cmp(&held.key)) {
            Ok(index) => now.demands[index].count = now.demands[index].count.max(fallen),
            Err(index) if fallen > 0 => {
                now.demands.insert(index, Demand { key: held.key.clone(), count: fallen });
            }
            Err(_) => {}
        }
    }
    now
}
