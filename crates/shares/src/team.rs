//! State of one team in the queue, and the counts that nodes exchange about it.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use model::TeamRef;

use crate::rate::ServiceRate;

/// Number that identifies an entry of one queue; never used twice.
pub type Ticket = u64;

/// Weight of the latest run time in the moving average of a team, from 0 to 1.
const RUN_TIME_GAIN: f64 = 0.1;

/// Urgency class of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Starts before normal entries, in a limited fraction of all starts.
    Urgent,
    /// Starts in the order that follows from the share weights.
    Normal,
}

/// A new entry.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Team to which its service is charged.
    pub team: TeamRef,
    /// Share weight of the team; 0 counts as 1.
    pub share_weight: u32,
    /// Urgency class.
    pub class: Class,
    /// Time at which the caller stops waiting for a response.
    pub deadline: Instant,
}

/// Sums over the other nodes for one team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerCounts {
    /// The team that the sums are about.
    pub team: TeamRef,
    /// Share weight of the team; 0 counts as 1.
    pub share_weight: u32,
    /// Slot time that the team has received from the other nodes since they started.
    pub served: Duration,
    /// Number of requests that run through the other nodes.
    pub running: u32,
    /// Number of requests that wait at the other nodes.
    pub queued: u32,
    /// Number of other nodes at which requests wait.
    pub nodes: u32,
}

/// Counts of this node for one team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamCounts {
    /// The team that the counts are about.
    pub team: TeamRef,
    /// Number of waiting entries.
    pub queued: u32,
    /// Number of entries that were started and have not finished.
    pub running: u32,
    /// Slot time that the team has received from this node.
    pub served: Duration,
}

/// A waiting entry.
#[derive(Clone, Copy, Debug)]
pub struct WaitingEntry {
    pub ticket: Ticket,
    /// The earlier of its deadline and the end of its maximum wait.
    pub expires_at: Instant,
}

/// State of one team in the queue.
#[derive(Clone, Debug)]
pub struct TeamState {
    pub team: TeamRef,
    /// Share weight; at least 1.
    pub weight: f64,
    /// Virtual time: slot seconds received over the fleet, divided by the weight.
    pub virtual_time_s: f64,
    /// Moving average of the run time of the team's entries, in seconds.
    pub mean_run_s: f64,
    /// Number of entries of this node that run.
    pub running: u32,
    /// Slot seconds that the team has received from this node.
    pub served_s: f64,
    /// Rate of the team's starts at this node.
    pub service_rate: ServiceRate,
    pub peers: PeerState,
    /// Waiting entries of the urgent class, oldest first.
    pub urgent: VecDeque<WaitingEntry>,
    /// Waiting entries of the normal class, oldest first.
    pub normal: VecDeque<WaitingEntry>,
}

/// The last known state of the team at the other nodes.
#[derive(Clone, Debug, Default)]
pub struct PeerState {
    /// Slot seconds that the team had received there at the last counts; `None` before the first.
    pub served_s: Option<f64>,
    /// Estimated slot seconds received there since the last counts, divided by the weight.
    pub estimated_virtual_s: f64,
    /// Estimated slot seconds that the team receives there per second.
    pub rate: f64,
    /// Number of requests that run through the other nodes.
    pub running: u32,
    /// Number of requests that wait at the other nodes.
    pub queued: u32,
    /// Number of other nodes at which requests wait.
    pub nodes: u32,
}

impl TeamState {
    pub fn new(team: TeamRef, share_weight: u32, virtual_time_s: f64, mean_run_s: f64) -> Self {
        Self {
            team,
            weight: weight_of(share_weight),
            virtual_time_s,
            mean_run_s,
            running: 0,
            served_s: 0.0,
            service_rate: ServiceRate::default(),
            peers: PeerState::default(),
            urgent: VecDeque::new(),
            normal: VecDeque::new(),
        }
    }

    /// Returns the virtual time by which the next team is chosen.
    ///
    /// Each running entry of this node is charged with the mean run time in advance, multiplied by
    /// the number of nodes at which the team waits: all of them see the same lag of the team, and
    /// each may compensate only its part of it.
    pub fn effective_virtual_time_s(&self) -> f64 {
        let nodes = f64::from(1 + self.peers.nodes);
        let ahead_s = f64::from(self.running) * nodes * self.mean_run_s;
        self.virtual_time_s + self.peers.estimated_virtual_s + ahead_s / self.weight
    }

    /// Returns the number of waiting entries of both classes.
    pub fn queued(&self) -> usize {
        self.urgent.len() + self.normal.len()
    }

    /// Returns true if the team has waiting entries at any node.
    pub fn is_backlogged(&self) -> bool {
        self.queued() > 0 || self.peers.queued > 0
    }

    /// Returns the waiting entries of a class.
    pub fn class_queue(&mut self, class: Class) -> &mut VecDeque<WaitingEntry> {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Normal => &mut self.normal,
        }
    }

    /// Records that an entry of the team has finished after `run_time`.
    pub fn record_completion(&mut self, run_time: Duration) {
        self.running = self.running.saturating_sub(1);
        self.mean_run_s += RUN_TIME_GAIN * (run_time.as_secs_f64() - self.mean_run_s);
    }

    /// Charges the service that the team received during `elapsed`, at this node exactly and at
    /// the other nodes by estimate.
    pub fn advance(&mut self, elapsed: Duration) {
        let elapsed_s = elapsed.as_secs_f64();
        if self.queued() > 0 {
            self.service_rate.record_waiting(elapsed);
        }
        let own_s = f64::from(self.running) * elapsed_s;
        self.served_s += own_s;
        self.virtual_time_s += own_s / self.weight;
        self.peers.estimated_virtual_s += self.peers.rate * elapsed_s / self.weight;
    }

    /// Replaces the estimate for the other nodes by their counts; `since_last` is the time since
    /// the previous counts.
    pub fn apply_peer_counts(&mut self, counts: &PeerCounts, since_last: Option<Duration>) {
        let served_s = counts.served.as_secs_f64();
        let added_s = self.peers.served_s.map_or(0.0, |before| (served_s - before).max(0.0));
        self.virtual_time_s += added_s / self.weight;
        let rate = match since_last {
            Some(since) if !since.is_zero() => added_s / since.as_secs_f64(),
            _ => f64::from(counts.running),
        };
        self.peers = PeerState {
            served_s: Some(served_s),
            estimated_virtual_s: 0.0,
            rate,
            running: counts.running,
            queued: counts.queued,
            nodes: counts.nodes,
        };
    }

    /// Records that the other nodes have no entries of the team.
    pub fn clear_peers(&mut self) {
        self.peers = PeerState { served_s: self.peers.served_s, ..PeerState::default() };
    }
}

/// Returns the weight of a team; a share weight of 0 counts as 1.
pub fn weight_of(share_weight: u32) -> f64 {
    f64::from(share_weight.max(1))
}
