//! State of one team in the queue.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use model::TeamRef;

use crate::rate::ServiceRate;

/// Number of a waiting entry; never used twice.
pub type Ticket = u64;

/// Weight of the last run time in the mean, as a fraction.
const RUN_TIME_GAIN: f64 = 0.1;

/// How soon an entry should start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Before the others, within a bounded portion.
    Urgent,
    /// In the order of shares.
    Normal,
}

/// An entry to be queued.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Team that it counts for.
    pub team: TeamRef,
    /// Share weight of the team.
    pub share_weight: u32,
    /// Class.
    pub class: Class,
    /// When the caller gives up.
    pub deadline: Instant,
}

/// What the other nodes have of one team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerCounts {
    /// Team.
    pub team: TeamRef,
    /// Share weight of the team.
    pub share_weight: u32,
    /// Slot time that the other nodes have given the team, since they started.
    pub served: Duration,
    /// Requests that run through the other nodes.
    pub running: u32,
    /// Requests that wait at the other nodes.
    pub queued: u32,
    /// Other nodes at which some wait.
    pub nodes: u32,
}

/// What this node has of one team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamCounts {
    /// Team.
    pub team: TeamRef,
    /// Entries that wait.
    pub queued: u32,
    /// Entries that were started and have not ended.
    pub running: u32,
    /// Slot time that this node has given the team.
    pub served: Duration,
}

/// An entry that waits.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    pub ticket: Ticket,
    pub leaves_at: Instant,
}

/// State of one team.
#[derive(Clone, Debug)]
pub struct TeamState {
    pub team: TeamRef,
    pub weight: f64,
    /// Slot seconds over the fleet, by weight.
    pub virtual_s: f64,
    /// Mean time that a request of the team runs.
    pub run_s: f64,
    pub running: u32,
    /// Slot seconds that this node gave.
    pub served_s: f64,
    /// Rate of the team's starts here while it waits.
    pub rate: ServiceRate,
    pub others: Others,
    pub urgent: VecDeque<Waiting>,
    pub normal: VecDeque<Waiting>,
}

/// What is known of the team at the other nodes.
#[derive(Clone, Debug, Default)]
pub struct Others {
    /// Slot seconds that they had given at the last counts.
    pub served_s: Option<f64>,
    /// Slot seconds that they are taken to have given since, by weight.
    pub assumed_s: f64,
    /// Slot seconds that they give in a second.
    pub rate: f64,
    pub running: u32,
    pub queued: u32,
    pub nodes: u32,
}

impl TeamState {
    pub fn new(team: TeamRef, share_weight: u32, virtual_s: f64, run_s: f64) -> Self {
        Self {
            team,
            weight: weight_of(share_weight),
            virtual_s,
            run_s,
            running: 0,
            served_s: 0.0,
            rate: ServiceRate::default(),
            others: Others::default(),
            urgent: VecDeque::new(),
            normal: VecDeque::new(),
        }
    }

    /// Virtual time that decides who is next.
    ///
    /// What runs here counts with the time that it will still take, and as often as there are nodes
    /// that the team waits at: they all see the same lag, and each makes up for its part.
    pub fn key(&self) -> f64 {
        let nodes = f64::from(1 + self.others.nodes);
        let ahead_s = f64::from(self.running) * nodes * self.run_s;
        self.virtual_s + self.others.assumed_s + ahead_s / self.weight
    }

    pub fn queued(&self) -> usize {
        self.urgent.len() + self.normal.len()
    }

    /// True if the team wants service anywhere.
    pub fn is_backlogged(&self) -> bool {
        self.queued() > 0 || self.others.queued > 0
    }

    pub fn lane(&mut self, class: Class) -> &mut VecDeque<Waiting> {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Normal => &mut self.normal,
        }
    }

    /// The run of an entry has ended.
    pub fn settle(&mut self, ran: Duration) {
        self.running = self.running.saturating_sub(1);
        self.run_s += RUN_TIME_GAIN * (ran.as_secs_f64() - self.run_s);
    }

    /// Counts what the team was given in `elapsed`, here and, as far as known, elsewhere.
    pub fn advance(&mut self, elapsed: Duration) {
        let elapsed_s = elapsed.as_secs_f64();
        if self.queued() > 0 {
            self.rate.waited(elapsed);
        }
        let own_s = f64::from(self.running) * elapsed_s;
        self.served_s += own_s;
        self.virtual_s += own_s / self.weight;
        self.others.assumed_s += self.others.rate * elapsed_s / self.weight;
    }

    /// Replaces what was assumed of the other nodes by what they say, `since_last` after they last
    /// said it.
    pub fn observe(&mut self, counts: &PeerCounts, since_last: Option<Duration>) {
        let served_s = counts.served.as_secs_f64();
        let given_s = self.others.served_s.map_or(0.0, |before| (served_s - before).max(0.0));
        self.virtual_s += given_s / self.weight;
        let rate = match since_last {
            Some(since) if !since.is_zero() => given_s / since.as_secs_f64(),
            _ => f64::from(counts.running),
        };
        self.others = Others {
            served_s: Some(served_s),
            assumed_s: 0.0,
            rate,
            running: counts.running,
            queued: counts.queued,
            nodes: counts.nodes,
        };
    }

    /// The other nodes have nothing of the team now.
    pub fn forget_others(&mut self) {
        self.others = Others { served_s: self.others.served_s, ..Others::default() };
    }
}

/// Weight as a number; a team without a weight counts as the smallest.
pub fn weight_of(share_weight: u32) -> f64 {
    f64::from(share_weight.max(1))
}
