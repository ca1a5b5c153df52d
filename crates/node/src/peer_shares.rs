//! Exchanges the usage of teams between nodes, so that the shares of a queue hold across the fleet.
//!
//! For each queue that has waiting requests on any node, heartbeats carry, by team, the requests
//! that run and wait at the sender and the slot time used there since the sender started.

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

/// Time between updates of the queues and of the counts in heartbeats.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum age of a member's last report for the difference to the next one to be counted. After a
/// longer gap, the slot time used in between says nothing about the present load.
const REPORT_AGE_MAX: Duration = Duration::from_secs(5);
/// Prefix of the keys. It sorts after the keys of the limits, which come first in a heartbeat.
const PREFIX: &str = "waiting/";

/// Passes the counts of the peers to the queues and publishes this node's counts, until the gateway
/// is dropped.
pub async fn run(shared: Arc<Shared>, gateway: Weak<Gateway>) {
    let mut peer_shares = PeerShares::default();
    loop {
        tokio::time::sleep(UPDATE_INTERVAL).await;
        let Some(gateway) = gateway.upgrade() else {
            return;
        };
        let now = Instant::now();
        let members = shared.members();
        let requested = queues_with_waiting_requests(&members);
        shared.set_share_counts(counts(&gateway.shares(now), &requested));
        let config = shared.config();
        for peer_queue in peer_shares.observe(&members, &shared.settings.node, &config, now) {
            gateway.observe_peers(&peer_queue.queue, &peer_queue.teams, now);
        }
    }
}

/// Counts of one queue, summed over the other nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerQueue {
    /// Name of the queue.
    pub queue: QueueId,
    /// Counts by team, sorted by team; empty if no other node reports the queue any more.
    pub teams: Vec<PeerCounts>,
}

/// Returns this node's counts, sorted by key, of the queues that have waiting requests here or are
/// in `requested`.
pub fn counts(queues: &[QueueShares], requested: &[QueueId]) -> Vec<LimitCounts> {
    let mut counts = Vec::new();
    for queue in queues {
        let has_waiting = queue.teams.iter().any(|team| team.queued > 0);
        if !has_waiting && requested.binary_search(&queue.queue).is_err() {
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

/// Returns the queues for which a live member reports waiting requests, sorted.
fn queues_with_waiting_requests(members: &[MemberView]) -> Vec<QueueId> {
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

/// Last slot time that one incarnation of a member reported under one key.
struct ServedReport {
    member: NodeId,
    incarnation: Incarnation,
    key: String,
    /// Slot time since the incarnation started, in milliseconds.
    served_ms: u64,
    /// When the report was observed.
    at: Instant,
}

/// Accumulates the slot time that the other nodes report.
#[derive(Default)]
pub struct PeerShares {
    /// Last reports, sorted by member and key.
    served: Vec<ServedReport>,
    /// Slot time of all other nodes by key, sorted by key; counted from each member's first report.
    totals: Vec<(String, Duration)>,
    /// Queues as of the last call of [`PeerShares::observe`].
    last: Vec<PeerQueue>,
}

impl PeerShares {
    /// Records the counts of the live members other than `me`, and returns the queues whose counts
    /// have changed since the last call. A queue that is no longer reported is returned once,
    /// without teams.
    pub fn observe(
        &mut self,
        members: &[MemberView],
        me: &NodeId,
        config: &Config,
        now: Instant,
    ) -> Vec<PeerQueue> {
        let others = members.iter().filter(|member| member.is_alive && member.node != *me);
        let mut queues: Vec<PeerQueue> = Vec::new();
        for member in others {
            for count in &member.counts {
                let Some((queue, team)) = parse(&count.key) else {
                    continue;
                };
                let share_weight = config.team(&team).map_or(1, |team| team.share_weight);
                let served = self.add(member, count, now);
                let counts = team_counts(&mut queues, queue, team, share_weight);
                counts.served = served;
                counts.running += count.running;
                counts.queued += count.queued;
                counts.nodes += u32::from(count.queued > 0);
            }
        }
        self.served.retain(|served| now.saturating_duration_since(served.at) <= REPORT_AGE_MAX);
        let removed =
            self.last.iter().filter(|last| queues.iter().all(|queue| queue.queue != last.queue));
        let removed: Vec<PeerQueue> = removed
            .map(|last| PeerQueue { queue: last.queue.clone(), teams: Vec::new() })
            .collect();
        let mut changed: Vec<PeerQueue> =
            queues.iter().filter(|queue| !self.last.contains(queue)).cloned().collect();
        changed.extend(removed);
        self.last = queues;
        changed
    }

    /// Adds the slot time that a member has used since its last report, and returns the total of
    /// all members under the same key.
    fn add(&mut self, member: &MemberView, count: &LimitCounts, now: Instant) -> Duration {
        let found = self.served.binary_search_by(|served| {
            (&served.member, served.key.as_str()).cmp(&(&member.node, count.key.as_str()))
        });
        let mut increment_ms = 0;
        let report = ServedReport {
            member: member.node.clone(),
            incarnation: member.incarnation,
            key: count.key.clone(),
            served_ms: count.served_ms,
            at: now,
        };
        match found {
            Ok(index) => {
                let previous = std::mem::replace(&mut self.served[index], report);
                let is_fresh = now.saturating_duration_since(previous.at) <= REPORT_AGE_MAX;
                if previous.incarnation == member.incarnation && is_fresh {
                    increment_ms = count.served_ms.saturating_sub(previous.served_ms);
                }
            }
            Err(index) => self.served.insert(index, report),
        }
        let found = self.totals.binary_search_by(|(key, _)| key.as_str().cmp(&count.key));
        let index = found.unwrap_or_else(|index| {
            self.totals.insert(index, (count.key.clone(), Duration::ZERO));
            index
        });
        self.totals[index].1 += Duration::from_millis(increment_ms);
        self.totals[index].1
    }
}

fn team_counts<'a>(
    queues: &'a mut Vec<PeerQueue>,
    queue: &str,
    team: TeamRef,
    share_weight: u32,
) -> &'a mut PeerCounts {
    let index = match queues.binary_search_by(|other| (*other.queue).cmp(queue)) {
        Ok(index) => index,
        Err(index) => {
            queues.insert(index, PeerQueue { queue: queue.into(), teams: Vec::new() });
            index
        }
    };
    let teams = &mut queues[index].teams;
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
