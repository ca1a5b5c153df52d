//! The queue: admission, order of service and bounds.

use std::time::Duration;
use std::time::Instant;

use model::TeamRef;

use crate::rate::ServiceRate;
use crate::refusal::Reason;
use crate::refusal::Refused;
use crate::team::Class;
use crate::team::Entry;
use crate::team::PeerCounts;
use crate::team::TeamCounts;
use crate::team::TeamState;
use crate::team::Ticket;
use crate::team::Waiting;
use crate::team::weight_of;
use crate::urgent::UrgentCredit;

/// Weight of the last run time in the mean over all teams, as a fraction.
const RUN_TIME_GAIN: f64 = 0.05;
/// Run time that is assumed before any was seen, in seconds.
const RUN_INITIAL_S: f64 = 0.2;
/// Service that a team may be ahead or behind at most, as time at the fleet's pace.
const CREDIT: Duration = Duration::from_secs(2);
/// Shortest time after which a refused caller is told to come back.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Longest time after which a refused caller is told to come back.
const RETRY_MAX: Duration = Duration::from_secs(30);

/// Bounds of a queue.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Entries that wait at most.
    pub waiting_max: usize,
    /// Time that an entry waits at most.
    pub wait_max: Duration,
    /// Portion of the starts that urgent entries may take before others, in percent.
    pub urgent_percent: u32,
}

/// An entry that was started.
#[derive(Clone, Copy, Debug)]
struct Started {
    ticket: Ticket,
    team: usize,
    at: Instant,
}

/// Waiting entries of one service at one node.
#[derive(Clone, Debug)]
pub struct FairQueue {
    settings: Settings,
    /// Teams in the order of their first entry.
    teams: Vec<TeamState>,
    /// Positions in `teams`, sorted by team.
    by_name: Vec<usize>,
    /// Positions in `teams` of those with waiting entries.
    active: Vec<usize>,
    /// Entries that were started, sorted by ticket.
    started: Vec<Started>,
    /// Entries that lost their place to a team with less.
    displaced: Vec<Ticket>,
    urgent: UrgentCredit,
    rate: ServiceRate,
    /// Mean run time over all teams.
    run_s: f64,
    /// Virtual time of the last start.
    virtual_s: f64,
    next_ticket: Ticket,
    waiting: usize,
    last: Option<Instant>,
    /// When counts of the fleet last came.
    observed: Option<Instant>,
}

impl FairQueue {
    /// Empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            urgent: UrgentCredit::new(settings.urgent_percent),
            settings,
            teams: Vec::new(),
            by_name: Vec::new(),
            active: Vec::new(),
            started: Vec::new(),
            displaced: Vec::new(),
            rate: ServiceRate::default(),
            run_s: RUN_INITIAL_S,
            virtual_s: 0.0,
            next_ticket: 0,
            waiting: 0,
            last: None,
            observed: None,
        }
    }

    /// Queues an entry, or says when to come back.
    ///
    /// A full queue makes room by giving up the newest entry of the team that has most for its
    /// weight; that ticket is returned by the next [`Self::expire`], so call it after each push.
    pub fn push(&mut self, entry: Entry, now: Instant) -> Result<Ticket, Refused> {
        self.advance(now);
        let team = self.team_position(&entry.team, entry.share_weight);
        self.check_deadline(team, &entry, now)?;
        if self.waiting >= self.settings.waiting_max {
            self.make_room(team)?;
        }
        if !self.teams[team].is_backlogged() {
            let state = &mut self.teams[team];
            state.virtual_s = state.virtual_s.max(self.virtual_s);
        }
        if self.teams[team].queued() == 0 {
            self.active.push(team);
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting += 1;
        let leaves_at = entry.deadline.min(now + self.settings.wait_max);
        self.teams[team].lane(entry.class).push_back(Waiting { ticket, leaves_at });
        Ok(ticket)
    }

    /// Starts the next entry of a team for which `may_run` holds; `None` if there is none.
    ///
    /// `may_run` only looks: it is asked for several teams, and the caller takes the token of the
    /// team whose ticket is returned. Report the end of each started entry by [`Self::finish`].
    pub fn pop(&mut self, now: Instant, may_run: impl Fn(&TeamRef) -> bool) -> Option<Ticket> {
        self.advance(now);
        let first_class = self.first_class();
        let (team, class) = self
            .next_team(first_class, &may_run)
            .map(|team| (team, first_class))
            .or_else(|| self.next_of_other_class(first_class, &may_run))?;
        let waiting = self.teams[team].lane(class).pop_front()?;
        match class {
            Class::Urgent => self.urgent.spend(),
            Class::Normal => self.urgent.earn(),
        }
        self.virtual_s = self.virtual_s.max(self.teams[team].virtual_s);
        self.teams[team].running += 1;
        self.teams[team].rate.started();
        let started = Started { ticket: waiting.ticket, team, at: now };
        let index = self.started.partition_point(|other| other.ticket < started.ticket);
        self.started.insert(index, started);
        self.left(team, 1);
        self.rate.started();
        Some(waiting.ticket)
    }

    /// The run of a started entry has ended, however it ended.
    pub fn finish(&mut self, ticket: Ticket, now: Instant) {
        self.advance(now);
        let Ok(index) = self.started.binary_search_by_key(&ticket, |started| started.ticket) else {
            return;
        };
        let started = self.started.remove(index);
        let ran = now.saturating_duration_since(started.at);
        self.teams[started.team].settle(ran);
        self.run_s += RUN_TIME_GAIN * (ran.as_secs_f64() - self.run_s);
    }

    /// Removes the entries that have waited too long or were displaced, and returns their tickets.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        self.advance(now);
        let mut gone = std::mem::take(&mut self.displaced);
        for team in self.active.clone() {
            let before = self.teams[team].queued();
            for class in [Class::Urgent, Class::Normal] {
                self.teams[team].lane(class).retain(|waiting| {
                    let stays = waiting.leaves_at > now;
                    if !stays {
                        gone.push(waiting.ticket);
                    }
                    stays
                });
            }
            self.left(team, before - self.teams[team].queued());
        }
        gone
    }

    /// Removes a waiting entry, for instance when its caller has gone; false if it does not wait.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        for team in self.active.clone() {
            for class in [Class::Urgent, Class::Normal] {
                let lane = self.teams[team].lane(class);
                if let Ok(index) = lane.binary_search_by_key(&ticket, |waiting| waiting.ticket) {
                    lane.remove(index);
                    self.left(team, 1);
                    return true;
                }
            }
        }
        false
    }

    /// Takes in what the other nodes have; a team that is missing has nothing there.
    pub fn observe_peers(&mut self, counts: &[PeerCounts], now: Instant) {
        self.advance(now);
        let since_last = self.observed.replace(now).map(|last| now.saturating_duration_since(last));
        let mut named = Vec::with_capacity(counts.len());
        for count in counts {
            let team = self.team_position(&count.team, count.share_weight);
            self.teams[team].observe(count, since_last);
            named.push(team);
        }
        named.sort_unstable();
        for (team, state) in self.teams.iter_mut().enumerate() {
            if named.binary_search(&team).is_err() {
                state.forget_others();
            }
        }
        self.bound_credit();
    }

    /// Entries that wait.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// True if nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Counts of each team that has entries here or had any, sorted by team.
    pub fn counts(&mut self, now: Instant) -> Vec<TeamCounts> {
        self.advance(now);
        let teams = self.by_name.iter().map(|&team| &self.teams[team]);
        teams
            .filter(|state| state.queued() > 0 || state.served_s > 0.0)
            .map(|state| TeamCounts {
                team: state.team.clone(),
                queued: state.queued() as u32,
                running: state.running,
                served: Duration::from_secs_f64(state.served_s),
            })
            .collect()
    }

    /// Time that a new entry of `team` would wait; `None` while too little was observed.
    pub fn estimate_wait(&self, team: &TeamRef) -> Option<Duration> {
        if self.waiting == 0 {
            return Some(Duration::ZERO);
        }
        let position = self.find(team).ok().map(|index| self.by_name[index]);
        let queued = position.map_or(0, |position| self.teams[position].queued());
        let own_rate = position.and_then(|position| self.teams[position].rate.per_s());
        let wait_s = match own_rate {
            Some(per_s) => (queued + 1) as f64 / per_s,
            None => self.wait_by_share(position, queued)?,
        };
        Some(Duration::from_secs_f64(wait_s.min(RETRY_MAX.as_secs_f64())))
    }

    /// Time in seconds that an entry waits if its team is served by its weight.
    fn wait_by_share(&self, position: Option<usize>, queued: usize) -> Option<f64> {
        let rate_per_s = self.rate.per_s()?;
        let weight = position.map_or(1.0, |position| self.teams[position].weight);
        let others = self.active.iter().filter(|&&other| Some(other) != position);
        let weights: f64 = weight + others.map(|&other| self.teams[other].weight).sum::<f64>();
        let by_share_s = (queued + 1) as f64 * weights / (weight * rate_per_s);
        let all_s = (self.waiting + 1) as f64 / rate_per_s;
        Some(by_share_s.min(all_s))
    }

    fn check_deadline(&self, team: usize, entry: &Entry, now: Instant) -> Result<(), Refused> {
        let left = entry.deadline.saturating_duration_since(now);
        if left.is_zero() {
            return Err(refuse(Reason::Deadline, RETRY_MIN));
        }
        // Urgent entries do not wait behind those that the estimate counts.
        if entry.class == Class::Urgent || self.waiting == 0 {
            return Ok(());
        }
        let Some(wait) = self.estimate_wait(&self.teams[team].team) else {
            return Ok(());
        };
        let run = Duration::from_secs_f64(self.teams[team].run_s);
        if wait + run > left || wait > self.settings.wait_max {
            return Err(refuse(Reason::Deadline, wait));
        }
        Ok(())
    }

    /// Gives up the newest entry of the team with most for its weight, if that is not `team`.
    fn make_room(&mut self, team: usize) -> Result<(), Refused> {
        let load = |state: &TeamState, more: usize| (state.queued() + more) as f64 / state.weight;
        let own = load(&self.teams[team], 1);
        let longest = self
            .active
            .iter()
            .copied()
            .max_by(|a, b| load(&self.teams[*a], 0).total_cmp(&load(&self.teams[*b], 0)));
        let Some(longest) = longest.filter(|&l| l != team && load(&self.teams[l], 0) > own) else {
            let wait = self.estimate_wait(&self.teams[team].team).unwrap_or(RETRY_MIN);
            return Err(refuse(Reason::Full, wait));
        };
        let state = &mut self.teams[longest];
        let newest = state.normal.pop_back().or_else(|| state.urgent.pop_back());
        if let Some(waiting) = newest {
            self.displaced.push(waiting.ticket);
            self.left(longest, 1);
        }
        Ok(())
    }

    fn first_class(&self) -> Class {
        if self.urgent.goes_first() { Class::Urgent } else { Class::Normal }
    }

    fn next_of_other_class(
        &self,
        first: Class,
        may_run: &impl Fn(&TeamRef) -> bool,
    ) -> Option<(usize, Class)> {
        let other = match first {
            Class::Urgent => Class::Normal,
            Class::Normal => Class::Urgent,
        };
        self.next_team(other, may_run).map(|team| (team, other))
    }

    /// Team that is furthest behind among those with an entry of `class` that may run.
    fn next_team(&self, class: Class, may_run: &impl Fn(&TeamRef) -> bool) -> Option<usize> {
        let mut next: Option<usize> = None;
        for &team in &self.active {
            let state = &self.teams[team];
            let lane = match class {
                Class::Urgent => &state.urgent,
                Class::Normal => &state.normal,
            };
            let is_behind = next.is_none_or(|next| state.key() < self.teams[next].key());
            if !lane.is_empty() && is_behind && may_run(&state.team) {
                next = Some(team);
            }
        }
        next
    }

    fn left(&mut self, team: usize, count: usize) {
        self.waiting -= count;
        if self.teams[team].queued() == 0 {
            self.active.retain(|&other| other != team);
        }
    }

    fn find(&self, team: &TeamRef) -> Result<usize, usize> {
        self.by_name.binary_search_by(|&position| self.teams[position].team.cmp(team))
    }

    fn team_position(&mut self, team: &TeamRef, share_weight: u32) -> usize {
        match self.find(team) {
            Ok(index) => {
                let position = self.by_name[index];
                self.teams[position].weight = weight_of(share_weight);
                position
            }
            Err(index) => {
                let position = self.teams.len();
                let state = TeamState::new(team.clone(), share_weight, self.virtual_s, self.run_s);
                self.teams.push(state);
                self.by_name.insert(index, position);
                position
            }
        }
    }

    fn advance(&mut self, now: Instant) {
        let last = self.last.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(last);
        if elapsed.is_zero() {
            return;
        }
        if self.waiting > 0 {
            self.rate.waited(elapsed);
        }
        self.teams.iter_mut().for_each(|state| state.advance(elapsed));
    }

    /// Keeps every team within a bounded distance of the last start.
    fn bound_credit(&mut self) {
        let backlogged = self.teams.iter().filter(|state| state.is_backlogged());
        let weights: f64 = backlogged.map(|state| state.weight).sum();
        let running: u32 = self.teams.iter().map(|s| s.running + s.others.running).sum();
        let credit_s = CREDIT.as_secs_f64() * f64::from(running.max(1)) / weights.max(1.0);
        for state in &mut self.teams {
            let behind = if state.is_backlogged() { credit_s } else { 0.0 };
            let low = self.virtual_s - behind;
            state.virtual_s = state.virtual_s.clamp(low, self.virtual_s + credit_s);
        }
    }
}

fn refuse(reason: Reason, wait: Duration) -> Refused {
    Refused { reason, retry_after: wait.clamp(RETRY_MIN, RETRY_MAX) }
}
