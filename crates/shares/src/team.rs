//! State of one team in the queue.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use model::TeamRef;

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
pub struct FleetCounts {
    /// Team.
    pub team: TeamRef,
    /// Share weight of the team.
    pub share_weight: u32,
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
    /// Service that other nodes are taken to give until their next counts say so.
    pub assumed_s: f64,
    /// Mean time that a request of the team runs.
    pub run_s: f64,
    pub running: u32,
    pub others_running: u32,
    pub others_queued: u32,
    pub others_nodes: u32,
    pub urgent: VecDeque<Waiting>,
    pub normal: VecDeque<Waiting>,
}

impl TeamState {
    pub fn new(team: TeamRef, share_weight: u32, virtual_s: f64, run_s: f64) -> Self {
        Self {
            team,
            weight: weight_of(share_weight),
            virtual_s,
            assumed_s: 0.0,
            run_s,
            running: 0,
            others_running: 0,
            others_queued: 0,
            others_nodes: 0,
            urgent: VecDeque::new(),
            normal: VecDeque::new(),
        }
    }

    /// Virtual time that decides who is next.
    pub fn key(&self) -> f64 {
        self.virtual_s + self.assumed_s
    }

    pub fn queued(&self) -> usize {
        self.urgent.len() + self.normal.len()
    }

    /// True if the team wants service anywhere.
    pub fn is_backlogged(&self) -> bool {
        self.queued() > 0 || self.others_queued > 0
    }

    pub fn lane(&mut self, class: Class) -> &mut VecDeque<Waiting> {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Normal => &mut self.normal,
        }
    }

    /// Charges an entry that starts now; returns the charge in seconds.
    pub fn charge(&mut self) -> f64 {
        self.running += 1;
        self.virtual_s += self.run_s / self.weight;
        self.assumed_s += self.run_s * f64::from(self.others_nodes) / self.weight;
        self.run_s
    }

    /// Replaces the charge of an entry by the time that it ran.
    pub fn settle(&mut self, charged_s: f64, ran: Duration) {
        let ran_s = ran.as_secs_f64();
        self.running = self.running.saturating_sub(1);
        self.virtual_s += (ran_s - charged_s) / self.weight;
        self.run_s += RUN_TIME_GAIN * (ran_s - self.run_s);
    }

    /// Counts what the other nodes gave the team in `elapsed`.
    pub fn advance(&mut self, elapsed: Duration) {
        self.virtual_s += f64::from(self.others_running) * elapsed.as_secs_f64() / self.weight;
    }

    /// Forgets the counts of other nodes.
    pub fn clear_others(&mut self) {
        self.assumed_s = 0.0;
        self.others_running = 0;
        self.others_queued = 0;
        self.others_nodes = 0;
    }
}

/// Weight as a number; a team without a weight counts as the smallest.
pub fn weight_of(share_weight: u32) -> f64 {
    f64::from(share_weight.max(1))
}
