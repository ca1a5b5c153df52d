//! Brings what the other nodes have given each team to this node's queues, and tells them what it
//! has given.
//!
//! Heartbeats carry, for each queue with waiting requests somewhere, what each team has running and
//! waiting at the node, and the slot time that it was given there since the node started.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;
use std::time::Instant;

use gateway::Gateway;
use gateway::NodeContext;
use gateway::QueueShares;
use membership::MemberView;
use model::Config;
use model::Incarnation;
use model::NodeId;
use model::QueueId;
use model::TeamRef;
use shares::PeerCounts;
use wire::LimitCounts;

use crate::shared::Shared;

/// Time between looks.
const INTERVAL: Duration = Duration::from_millis(250);
/// Time after which slot time that was not heard of since says nothing about the present.
const GAP_MAX: Duration = Duration::from_secs(5);
/// Prefix of the keys; it sorts after those of the limits, which go first in a heartbeat.
const PREFIX: &str = "waiting/";

/// Keeps the queues informed for as long as the gateway lives.
pub async fn run(shared: Arc<Shared>, gateway: Weak<Gateway>) {
    let mut heard = Heard::default();
    loop {
        tokio::time::sleep(INTERVAL).await;
        let Some(gateway) = gateway.upgrade() else {
            return;
        };
        let now = Instant::now();
        let members = shared.members();
        let wanted = queues_waiting(&members);
        shared.set_share_counts(counts(&gateway.shares(now), &wanted));
        let config = shared.config();
        for fleet in heard.observe(&members, &shared.settings.node, &config, now) {
            gateway.observe_peers(&fleet.queue, &fleet.teams, now);
        }
    }
}

/// What the other nodes have of one queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetQueue {
    /// Queue.
    pub queue: QueueId,
    /// Teams, sorted.
    pub teams: Vec<PeerCounts>,
}

/// Counts of this node: queues with waiting requests here, or at a node that was heard.
pub fn counts(queues: &[QueueShares], wanted: &[QueueId]) -> Vec<LimitCounts> {
    let mut counts = Vec::new();
    for queue in queues {
        let waits_here = queue.teams.iter().any(|team| team.queued > 0);
        if !waits_here && wanted.binary_search(&queue.queue).is_err() {
            continue;
        }
        counts.extend(queue.teams.iter().map(|team| LimitCounts {
            key: format!("{PREFIX}{}/{}", queue.queue, team.team),
            running: team.running,
            queued: team.queued,
            spare: 0,
            served_ms: team.served.as_millis() as u64,
        }));
    }
    counts.sort_by(|a, b| a.key.cmp(&b.key));
    counts
}

/// Queues that a member has waiting requests for, sorted.
fn queues_waiting(members: &[MemberView]) -> Vec<QueueId> {
    let counts = members.iter().filter(|member| member.is_alive).flat_map(|member| &member.counts);
    let waiting = counts.filter(|count| count.queued > 0);
    let mut queues: Vec<QueueId> =
        waiting.filter_map(|count| Some(parse(&count.key)?.0.into())).collect();
    queues.sort();
    queues.dedup();
    queues
}

fn parse(key: &str) -> Option<(&str, TeamRef)> {
    let mut parts = key.strip_prefix(PREFIX)?.splitn(3, '/');
    let (queue, customer, team) = (parts.next()?, parts.next()?, parts.next()?);
    Some((queue, TeamRef::new(customer, team)))
}

/// Slot time that one run of a member has said to have given under one key.
struct Served {
    member: NodeId,
    incarnation: Incarnation,
    key: String,
    served_ms: u64,
    at: Instant,
}

/// What was heard of the other nodes' slot time.
#[derive(Default)]
pub struct Heard {
    /// Sorted by member and key.
    served: Vec<Served>,
    /// Slot time of all other nodes by key, sorted.
    totals: Vec<(String, Duration)>,
    last: Vec<FleetQueue>,
}

impl Heard {
    /// Queues for which something new was heard.
    pub fn observe(
        &mut self,
        members: &[MemberView],
        me: &NodeId,
        config: &Config,
        now: Instant,
    ) -> Vec<FleetQueue> {
        let others = members.iter().filter(|member| member.is_alive && member.node != *me);
        let mut fleet: Vec<FleetQueue> = Vec::new();
        for member in others {
            for count in &member.counts {
                let Some((queue, team)) = parse(&count.key) else {
                    continue;
                };
                let share_weight = config.team(&team).map_or(1, |team| team.share_weight);
                let served = self.add(member, count, now);
                let counts = team_counts(&mut fleet, queue, team, share_weight);
                counts.served = served;
                counts.running += count.running;
                counts.queued += count.queued;
                counts.nodes += u32::from(count.queued > 0);
            }
        }
        self.served.retain(|served| now.saturating_duration_since(served.at) <= GAP_MAX);
        let gone = self.last.iter().filter(|last| fleet.iter().all(|f| f.queue != last.queue));
        let gone: Vec<FleetQueue> =
            gone.map(|last| FleetQueue { queue: last.queue.clone(), teams: Vec::new() }).collect();
        let mut news: Vec<FleetQueue> =
            fleet.iter().filter(|queue| !self.last.contains(queue)).cloned().collect();
        news.extend(gone);
        self.last = fleet;
        news
    }

    /// Adds what a member has given since it was last heard; returns the sum over all members.
    fn add(&mut self, member: &MemberView, count: &LimitCounts, now: Instant) -> Duration {
        let found = self.served.binary_search_by(|served| {
            (&served.member, served.key.as_str()).cmp(&(&member.node, count.key.as_str()))
        });
        let mut given_ms = 0;
        let heard = Served {
            member: member.node.clone(),
            incarnation: member.incarnation,
            key: count.key.clone(),
            served_ms: count.served_ms,
            at: now,
        };
        match found {
            Ok(index) => {
                let before = std::mem::replace(&mut self.served[index], heard);
                let is_fresh = now.saturating_duration_since(before.at) <= GAP_MAX;
                if before.incarnation == member.incarnation && is_fresh {
                    given_ms = count.served_ms.saturating_sub(before.served_ms);
                }
            }
            Err(index) => self.served.insert(index, heard),
        }
        let found = self.totals.binary_search_by(|(key, _)| key.as_str().cmp(&count.key));
        let index = found.unwrap_or_else(|index| {
            self.totals.insert(index, (count.key.clone(), Duration::ZERO));
            index
        });
        self.totals[index].1 += Duration::from_millis(given_ms);
        self.totals[index].1
    }
}

fn team_counts<'a>(
    fleet: &'a mut Vec<FleetQueue>,
    queue: &str,
    team: TeamRef,
    share_weight: u32,
) -> &'a mut PeerCounts {
    let index = match fleet.binary_search_by(|other| (*other.queue).cmp(queue)) {
        Ok(index) => index,
        Err(index) => {
            fleet.insert(index, FleetQueue { queue: queue.into(), teams: Vec::new() });
            index
        }
    };
    let teams = &mut fleet[index].teams;
    let index = match teams.binary_search_by(|other| other.team.cmp(&team)) {
        Ok(index) => index,
        Err(index) => {
            let served = Duration::ZERO;
            let counts = PeerCounts { team, share_weight, served, running: 0, queued: 0, nodes: 0 };
            teams.insert(index, counts);
            index
        }
    };
    &mut teams[index]
}
