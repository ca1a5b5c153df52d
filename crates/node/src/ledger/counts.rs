//! Counts in heartbeats, and the demands and spare tokens of members that follow from them.

use gateway::Peer;
use gateway::WaitingCount;
use limits::Allocation;
use limits::Demand;
use limits::DemandKey;
use limits::Holder;
use limits::LimitKey;
use limits::MemberDemand;
use membership::MemberView;
use model::Config;
use model::NodeId;
use model::ServiceId;
use model::TeamRef;
use wire::LimitCounts;

use crate::shared::Shared;

/// Maximum number of peers that are returned for forwarding a request.
const PEERS_MAX: usize = 3;
/// Maximum unmet demand that a node reports under a key while it runs fewer requests than this
/// there; otherwise the maximum is the number of running requests. Requests that found no free
/// tokens count as unmet demand, also if they were forwarded to a peer.
const UNMET_DEMAND_MIN: u32 = 4;

/// Publishes this node's running, waiting and spare counts of each team and service.
pub fn publish(shared: &Shared, config: &Config) {
    let waiting = shared.waiting();
    let counts = count_all(config, &shared.limits.sample(), &waiting, &shared.take_unmet_demands());
    shared.set_counts(counts.clone());
    shared.set_own_counts(counts);
}

/// Returns the demands of each live member, sorted by holder.
pub fn demands(members: &[MemberView]) -> Vec<MemberDemand> {
    let alive = members.iter().filter(|member| member.is_alive);
    let mut demands: Vec<MemberDemand> = alive.map(member_demand).collect();
    demands.sort_by(|a, b| a.holder.cmp(&b.holder));
    demands
}

/// Returns the peers of `me` with spare tokens for `team` and `service`, most spare tokens first.
pub fn peers_with_spare_tokens(
    members: &[MemberView],
    me: &NodeId,
    team: &TeamRef,
    service: &ServiceId,
) -> Vec<Peer> {
    let team_key = DemandKey::Team(team.clone()).to_string();
    let service_key = DemandKey::Service(team.customer.clone(), service.clone()).to_string();
    let spare = |member: &MemberView, key: &str| {
        let found = member.counts.binary_search_by(|count| count.key.as_str().cmp(key));
        found.map_or(0, |index| member.counts[index].spare)
    };
    let mut peers: Vec<(u32, &MemberView)> = members
        .iter()
        .filter(|member| member.is_alive && member.node != *me)
        .map(|member| (spare(member, &team_key).min(spare(member, &service_key)), member))
        .filter(|(spare, _)| *spare > 0)
        .collect();
    peers.sort_by(|(a, _), (b, _)| b.cmp(a));
    let best = peers.into_iter().take(PEERS_MAX);
    best.map(|(_, member)| Peer { node: member.node.clone(), address: member.caller_address })
        .collect()
}

fn member_demand(member: &MemberView) -> MemberDemand {
    let mut demands: Vec<Demand> = member
        .counts
        .iter()
        .filter_map(|count| {
            let demand = count.running.saturating_add(count.queued);
            Some(Demand { key: DemandKey::parse(&count.key)?, count: demand })
        })
        .collect();
    demands.sort_by(|a, b| a.key.cmp(&b.key));
    let holder = Holder::new(member.node.clone(), member.incarnation);
    MemberDemand { holder, demands }
}

/// Returns the counts of all teams and services with a nonzero count, sorted by key.
fn count_all(
    config: &Config,
    allocations: &[Allocation],
    waiting: &[WaitingCount],
    unmet_demands: &[Demand],
) -> Vec<LimitCounts> {
    let mut counts: Vec<LimitCounts> = Vec::new();
    for allocation in allocations {
        let Some(key) = demand_key(config, &allocation.key) else {
            continue;
        };
        let count = count_of(&mut counts, &key);
        count.running += allocation.peak;
        count.spare += allocation.spare();
    }
    for waiting in waiting {
        count_of(&mut counts, &DemandKey::Team(waiting.team.clone())).queued += waiting.count;
        if let Some((contract, queue)) = config.queue(&waiting.queue) {
            let key = DemandKey::Service(contract.customer.clone(), queue.service.clone());
            count_of(&mut counts, &key).queued += waiting.count;
        }
    }
    for unmet in unmet_demands {
        let count = count_of(&mut counts, &unmet.key);
        // Requests that were forwarded to a peer add to the demand here, up to a bound.
        let unmet_max = count.running.max(UNMET_DEMAND_MIN);
        count.queued = count.queued.max(unmet.count.min(unmet_max));
    }
    counts.retain(|count| count.running > 0 || count.queued > 0 || count.spare > 0);
    counts
}

/// Returns the key of the demand for a limit's tokens; `None` if there is no demand for it.
fn demand_key(config: &Config, key: &LimitKey) -> Option<DemandKey> {
    match key {
        LimitKey::Running(team) => Some(DemandKey::Team(team.clone())),
        LimitKey::Slots(host) => {
            let host = config.host(host)?;
            let service = config.service_of(host)?;
            Some(DemandKey::Service(host.customer.clone(), service.name.clone()))
        }
        LimitKey::Connections(_) => None,
    }
}

fn count_of<'a>(counts: &'a mut Vec<LimitCounts>, key: &DemandKey) -> &'a mut LimitCounts {
    let key = key.to_string();
    let index = match counts.binary_search_by(|count| count.key.cmp(&key)) {
        Ok(index) => index,
        Err(index) => {
            counts.insert(index, LimitCounts { key, ..LimitCounts::default() });
            index
        }
    };
    &mut counts[index]
}
