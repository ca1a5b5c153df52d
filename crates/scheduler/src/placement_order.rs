//! The order in which the waiting steps of a pool are placed during one round.
//!
//! Without shares, it is the order of their priorities. With shares, a team above its share comes
//! after the others of the same queue priority. The steps of each team stay in order, and the team
//! whose first step has the lowest key goes next. A placed unit changes only the key of its own
//! team, so that the order is kept up with a heap of the teams.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::amounts::Amounts;
use crate::job::Resources;
use crate::priority::ShareRank;

/// Factor from use per weight to its rank, so that differences of a millionth count.
const RANK_SCALE: f64 = 1e6;
/// Difference between use and share that comes from rounding.
const ROUNDING: f64 = 1e-6;

/// A step with waiting units, as the order sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OrderedStep {
    /// One of its units is strongly suspected to crash its worker; such steps come first.
    pub has_strong_suspect: bool,
    /// Priority number of its queue.
    pub queue_priority: u32,
    /// It has long-running units, which have no regard to shares.
    pub is_long_running: bool,
    /// Index of its team in the round.
    pub team: usize,
    /// Number of its waiting units.
    pub units: usize,
}

/// What a team uses and may use of a pool during one round, as fractions of the dominant resource.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TeamInRound {
    pub weight: f64,
    /// What it holds in the pool.
    pub held: Amounts,
    /// What it has lately used, or uses in other shards.
    pub past: f64,
    /// Its share, in the same measure as `held` and `past` together.
    pub share: f64,
}

/// Order of the steps of a pool, which are numbered by priority.
#[derive(Debug)]
pub(crate) struct PlacementOrder {
    step_count: usize,
    /// The step that was returned last.
    current: Option<usize>,
    /// Number of units of the current step that were visited before.
    visited: usize,
    shares: Option<ShareOrder>,
}

/// Order of steps by the shares of their teams.
#[derive(Debug)]
struct ShareOrder {
    capacity: Resources,
    steps: Vec<OrderedStep>,
    teams: Vec<TeamQueue>,
    /// First steps of the teams except the current one.
    heads: BinaryHeap<Reverse<Head>>,
    /// The current step is not done, but another team goes first.
    has_yielded: bool,
    /// Number of units that were placed before steps of a higher priority because of the shares.
    units_ahead: u64,
}

/// The steps of a team that are not done, the first one last.
#[derive(Debug)]
struct TeamQueue {
    team: TeamInRound,
    steps: Vec<usize>,
    /// Number of units of the first step that were visited.
    visited: usize,
}

/// The first step of a team; the lowest one goes first. The rest of the priority is in the numbers
/// of the steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Head {
    is_unsuspected: bool,
    queue_priority: u32,
    share: ShareRank,
    step: usize,
}

impl TeamInRound {
    /// Returns what the team uses.
    pub fn used(&self) -> f64 {
        self.held.largest() + self.past
    }

    /// Returns the rank of the team's steps.
    fn rank(&self) -> ShareRank {
        if self.used() <= self.share + ROUNDING {
            return ShareRank::Within;
        }
        ShareRank::Above((self.used() / self.weight * RANK_SCALE) as u64)
    }
}

impl PlacementOrder {
    /// Creates the order of steps by priority.
    pub fn by_priority(step_count: usize) -> Self {
        Self { step_count, current: None, visited: 0, shares: None }
    }

    /// Creates the order by the shares of teams in a pool of a capacity.
    pub fn by_shares(
        steps: Vec<OrderedStep>,
        teams: Vec<TeamInRound>,
        capacity: Resources,
    ) -> Self {
        let step_count = steps.len();
        let queue = |team| TeamQueue { team, steps: Vec::new(), visited: 0 };
        let mut teams: Vec<TeamQueue> = teams.into_iter().map(queue).collect();
        for (number, step) in steps.iter().enumerate().rev() {
            teams[step.team].steps.push(number);
        }
        let heads = BinaryHeap::with_capacity(teams.len());
        let (has_yielded, units_ahead) = (false, 0);
        let mut shares = ShareOrder { capacity, steps, teams, heads, has_yielded, units_ahead };
        let first = |queue: &TeamQueue| queue.steps.last().copied();
        for step in shares.teams.iter().filter_map(first).collect::<Vec<_>>() {
            let head = shares.head(step);
            shares.heads.push(Reverse(head));
        }
        Self { step_count, current: None, visited: 0, shares: Some(shares) }
    }

    /// Returns the number of the step whose units are placed next.
    pub fn next(&mut self) -> Option<usize> {
        let Some(shares) = &mut self.shares else {
            let next = self.current.map_or(0, |current| current + 1);
            self.current = Some(next);
            return (next < self.step_count).then_some(next);
        };
        if let Some(current) = self.current {
            shares.leave(current);
        }
        self.current = shares.heads.pop().map(|Reverse(head)| head.step);
        self.visited = self.current.map_or(0, |step| shares.queue(step).visited);
        self.current
    }

    /// Returns how many units of the current step were visited before another team went first.
    pub fn visited(&self) -> usize {
        self.visited
    }

    /// Records that `units` units of the current step were placed, the last one after `visited`
    /// were visited. Returns true if the step has more units, and another team goes first now.
    pub fn record_placed(&mut self, units: usize, visited: usize, reservation: &Resources) -> bool {
        let (Some(shares), Some(current)) = (&mut self.shares, self.current) else {
            return false;
        };
        shares.record_placed(current, units, reservation);
        let head = shares.head(current);
        let is_overtaken = shares.heads.peek().is_some_and(|Reverse(first)| *first < head);
        shares.has_yielded = is_overtaken && visited < shares.steps[current].units;
        shares.queue(current).visited = visited;
        shares.has_yielded
    }

    /// Returns the number of units that were placed before steps of a higher priority because of
    /// the shares.
    pub fn units_ahead(&self) -> u64 {
        self.shares.as_ref().map_or(0, |shares| shares.units_ahead)
    }
}

impl ShareOrder {
    fn queue(&mut self, step: usize) -> &mut TeamQueue {
        &mut self.teams[self.steps[step].team]
    }

    /// Returns the place of a step as the first one of its team.
    fn head(&self, step: usize) -> Head {
        let OrderedStep { has_strong_suspect, queue_priority, is_long_running, team, .. } =
            self.steps[step];
        let share = match is_long_running {
            true => ShareRank::Within,
            false => self.teams[team].team.rank(),
        };
        Head { is_unsuspected: !has_strong_suspect, queue_priority, share, step }
    }

    /// Puts the team of the current step back into the order.
    fn leave(&mut self, current: usize) {
        let has_yielded = std::mem::take(&mut self.has_yielded);
        let queue = self.queue(current);
        if !has_yielded {
            queue.steps.pop();
            queue.visited = 0;
        }
        if let Some(step) = queue.steps.last().copied() {
            let head = self.head(step);
            self.heads.push(Reverse(head));
        }
    }

    fn record_placed(&mut self, current: usize, units: usize, reservation: &Resources) {
        let is_ahead = self.heads.iter().any(|Reverse(head)| head.step < current);
        self.units_ahead += if is_ahead { units as u64 } else { 0 };
        let placed = Amounts::from(reservation).scaled(units as f64).fractions_of(&self.capacity);
        let team = &mut self.queue(current).team;
        team.held = team.held + placed;
    }
}
