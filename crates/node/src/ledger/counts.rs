//! Counts that heartbeats carry, and what they say about demand and spare tokens.

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

/// Peers that a request may be offered to.
const PEERS_MAX: usize = 3;
/// Tokens that a node may ask for beyond those in use, on account of requests sent on to peers.
const GROWTH_MIN: u32 = 4;

/// Publishes what this node has running, waiting and to spare for each team and service.
pub fn publish(shared: &Shared, config: &Config) {
    let waiting = shared.waiting();
    let counts = count(config, &shared.limits.sample(), &waiting, &shared.take_misses());
    shared.set_counts(counts.clone());
    shared.set_own_counts(counts);
}

/// What each live member asks for, sorted by holder.
pub fn asked(members: &[MemberView]) -> Vec<MemberDemand> {
    let alive = members.iter().filter(|member| member.is_alive);
    let mut asked: Vec<MemberDemand> = alive.map(member_demand).collect();
    asked.sort_by(|a, b| a.holder.cmp(&b.holder));
    asked
}

/// Peers of `me` with tokens to spare for `team` on `service`, the best first.
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
            let asked = count.running.saturating_add(count.queued);
            Some(Demand { key: DemandKey::parse(&count.key)?, count: asked })
        })
        .collect();
    demands.sort_by(|a, b| a.key.cmp(&b.key));
    let holder = Holder::new(member.node.clone(), member.incarnation);
    MemberDemand { holder, demands }
}

/// Counts of all teams and services with any, sorted by key.
fn count(
    config: &Config,
    sampled: &[Allocation],
    waiting: &[WaitingCount],
    misses: &[Demand],
) -> Vec<LimitCounts> {
    let mut counts: Vec<LimitCounts> = Vec::new();
    for allocation in sampled {
        let Some(key) = demand_key(config, &allocation.key) else {
            continue;
        };
        let count = entry(&mut counts, &key);
        count.running += allocation.peak;
        count.spare += allocation.spare();
    }
    for waiting in waiting {
        entry(&mut counts, &DemandKey::Team(waiting.team.clone())).queued += waiting.count;
        if let Some((contract, queue)) = config.queue(&waiting.queue) {
            let key = DemandKey::Service(contract.customer.clone(), queue.service.clone());
            entry(&mut counts, &key).queued += waiting.count;
        }
    }
    for miss in misses {
        let count = entry(&mut counts, &miss.key);
        // Requests that were sent on to a peer ask for tokens here, as far as growth is bounded.
        let growth_max = count.running.max(GROWTH_MIN);
        count.queued = count.queued.max(miss.count.min(growth_max));
    }
    counts.retain(|count| count.running > 0 || count.queued > 0 || count.spare > 0);
    counts
}

/// Under what a limit's tokens are asked for, if under anything.
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

fn entry<'a>(counts: &'a mut Vec<LimitCounts>, key: &DemandKey) -> &'a mut LimitCounts {
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
