//! The fair queue: admission, order of service, and bounds.

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
use crate::team::WaitingEntry;
use crate::team::weight_of;
use crate::urgent::UrgentCredit;

/// Weight of the latest run time in the moving average over all teams, from 0 to 1.
const RUN_TIME_GAIN: f64 = 0.05;
/// Assumed run time before the first entry has finished, in seconds.
const RUN_TIME_INITIAL_S: f64 = 0.2;
/// Bounds the lead or lag of a team's virtual time: to the amount by which the entries that run in
/// the fleet advance the virtual time in this period.
const CREDIT_MAX: Duration = Duration::from_secs(2);
/// Minimum `retry_after` of a refusal.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Maximum `retry_after` of a refusal, and maximum wait estimate.
const RETRY_MAX: Duration = Duration::from_secs(30);

/// Bounds of a queue.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum number of waiting entries.
    pub waiting_max: usize,
    /// Maximum time that an entry waits before it expires.
    pub wait_max: Duration,
    /// Percentage of the starts in which urgent entries take precedence over others.
    pub urgent_percent: u32,
}

/// An entry that was started and has not finished.
#[derive(Clone, Copy, Debug)]
struct StartedEntry {
    ticket: Ticket,
    /// Position of the team in [`FairQueue::teams`].
    team: usize,
    /// Time of the start.
    at: Instant,
}

/// Waiting entries of one service at one node, served by team in proportion to the share weights.
#[derive(Clone, Debug)]
pub struct FairQueue {
    settings: Settings,
    /// Teams in the order of their first entry.
    teams: Vec<TeamState>,
    /// Positions in `teams`, sorted by team.
    positions_by_team: Vec<usize>,
    /// Positions in `teams` of the teams that have waiting entries here.
    backlogged: Vec<usize>,
    /// Entries that run, sorted by ticket.
    started: Vec<StartedEntry>,
    /// Entries that were dropped from a full queue and not yet reported by [`Self::expire`].
    dropped: Vec<Ticket>,
    urgent: UrgentCredit,
    /// Rate of the starts over all teams.
    service_rate: ServiceRate,
    /// Moving average of the run time over all teams, in seconds.
    mean_run_s: f64,
    /// Highest virtual time at which a team was served; a team that was idle resumes there.
    virtual_time_s: f64,
    next_ticket: Ticket,
    /// Number of waiting entries.
    waiting: usize,
    /// Time up to which the service of all teams is accounted for.
    advanced_at: Option<Instant>,
    /// Time of the last [`Self::observe_peers`].
    peers_observed_at: Option<Instant>,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            urgent: UrgentCredit::new(settings.urgent_percent),
            settings,
            teams: Vec::new(),
            positions_by_team: Vec::new(),
            backlogged: Vec::new(),
            started: Vec::new(),
            dropped: Vec::new(),
            service_rate: ServiceRate::default(),
            mean_run_s: RUN_TIME_INITIAL_S,
            virtual_time_s: 0.0,
            next_ticket: 0,
            waiting: 0,
            advanced_at: None,
            peers_observed_at: None,
        }
    }

    /// Adds an entry and returns its ticket, or refuses it.
    ///
    /// A full queue drops the newest entry of the team that has the most entries relative to its
    /// weight. The next [`Self::expire`] returns the dropped ticket, so call it after each push.
    pub fn push(&mut self, entry: Entry, now: Instant) -> Result<Ticket, Refused> {
        self.advance(now);
        let team = self.team_position(&entry.team, entry.share_weight);
        self.check_deadline(team, &entry, now)?;
        if self.waiting >= self.settings.waiting_max {
            self.drop_from_largest_team(team)?;
        }
        if !self.teams[team].is_backlogged() {
            let state = &mut self.teams[team];
            state.virtual_time_s = state.virtual_time_s.max(self.virtual_time_s);
        }
        if self.teams[team].queued() == 0 {
            self.backlogged.push(team);
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting += 1;
        let expires_at = entry.deadline.min(now + self.settings.wait_max);
        self.teams[team].class_queue(entry.class).push_back(WaitingEntry { ticket, expires_at });
        Ok(ticket)
    }

    /// Starts the next entry among the teams for which `may_run` returns true; `None` if they have
    /// none.
    ///
    /// `may_run` is called for several teams and must not acquire tokens: the caller acquires one
    /// for the team whose ticket is returned. Each started entry must be passed to
    /// [`Self::finish`].
    pub fn pop(&mut self, now: Instant, may_run: impl Fn(&TeamRef) -> bool) -> Option<Ticket> {
        self.advance(now);
        let preferred_class = self.preferred_class();
        let (team, class) = self
            .next_team(preferred_class, &may_run)
            .map(|team| (team, preferred_class))
            .or_else(|| self.next_team_of_other_class(preferred_class, &may_run))?;
        let waiting = self.teams[team].class_queue(class).pop_front()?;
        match class {
            Class::Urgent => self.urgent.record_urgent_start(),
            Class::Normal => self.urgent.record_normal_start(),
        }
        self.virtual_time_s = self.virtual_time_s.max(self.teams[team].virtual_time_s);
        self.teams[team].running += 1;
        self.teams[team].service_rate.record_start();
        let started = StartedEntry { ticket: waiting.ticket, team, at: now };
        let index = self.started.partition_point(|other| other.ticket < started.ticket);
        self.started.insert(index, started);
        self.record_removal(team, 1);
        self.service_rate.record_start();
        Some(waiting.ticket)
    }

    /// Records that a started entry has finished, with any outcome.
    pub fn finish(&mut self, ticket: Ticket, now: Instant) {
        self.advance(now);
        let Ok(index) = self.started.binary_search_by_key(&ticket, |started| started.ticket) else {
            return;
        };
        let started = self.started.remove(index);
        let run_time = now.saturating_duration_since(started.at);
        self.teams[started.team].record_completion(run_time);
        self.mean_run_s += RUN_TIME_GAIN * (run_time.as_secs_f64() - self.mean_run_s);
    }

    /// Removes the entries that have waited too long; returns their tickets and those of dropped
    /// entries.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        self.advance(now);
        let mut removed = std::mem::take(&mut self.dropped);
        for team in self.backlogged.clone() {
            let before = self.teams[team].queued();
            for class in [Class::Urgent, Class::Normal] {
                self.teams[team].class_queue(class).retain(|waiting| {
                    let is_kept = waiting.expires_at > now;
                    if !is_kept {
                        removed.push(waiting.ticket);
                    }
                    is_kept
                });
            }
            self.record_removal(team, before - self.teams[team].queued());
        }
        removed
    }

    /// Removes a waiting entry, for instance because its caller has disconnected; returns false if
    /// the entry isn't waiting.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        for team in self.backlogged.clone() {
            for class in [Class::Urgent, Class::Normal] {
                let class_queue = self.teams[team].class_queue(class);
                if let Ok(index) =
                    class_queue.binary_search_by_key(&ticket, |waiting| waiting.ticket)
                {
                    class_queue.remove(index);
                    self.record_removal(team, 1);
                    return true;
                }
            }
        }
        false
    }

    /// Applies the counts of the other nodes; teams without counts have no entries there.
    pub fn observe_peers(&mut self, counts: &[PeerCounts], now: Instant) {
        self.advance(now);
        let since_last =
            self.peers_observed_at.replace(now).map(|last| now.saturating_duration_since(last));
        let mut reported = Vec::with_capacity(counts.len());
        for count in counts {
            let team = self.team_position(&count.team, count.share_weight);
            self.teams[team].apply_peer_counts(count, since_last);
            reported.push(team);
        }
        reported.sort_unstable();
        for (team, state) in self.teams.iter_mut().enumerate() {
            if reported.binary_search(&team).is_err() {
                state.clear_peers();
            }
        }
        self.clamp_virtual_times();
    }

    /// Returns the number of waiting entries.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns true if no entry is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns the counts of each team that has waiting entries or was served here, sorted by team.
    pub fn counts(&mut self, now: Instant) -> Vec<TeamCounts> {
        self.advance(now);
        let teams = self.positions_by_team.iter().map(|&team| &self.teams[team]);
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

    /// Estimates how long a new entry of `team` would wait; `None` before enough starts were
    /// observed.
    pub fn estimate_wait(&self, team: &TeamRef) -> Option<Duration> {
        if self.waiting == 0 {
            return Some(Duration::ZERO);
        }
        let position = self.find(team).ok().map(|index| self.positions_by_team[index]);
        let queued = position.map_or(0, |position| self.teams[position].queued());
        let own_rate = position.and_then(|position| self.teams[position].service_rate.per_s());
        let wait_s = match own_rate {
            Some(per_s) => (queued + 1) as f64 / per_s,
            None => self.estimate_wait_by_weight(position, queued)?,
        };
        Some(Duration::from_secs_f64(wait_s.min(RETRY_MAX.as_secs_f64())))
    }

    /// Estimates the wait in seconds from the rate of all starts and the weight of the team.
    fn estimate_wait_by_weight(&self, position: Option<usize>, queued: usize) -> Option<f64> {
        let rate_per_s = self.service_rate.per_s()?;
        let weight = position.map_or(1.0, |position| self.teams[position].weight);
        let others = self.backlogged.iter().filter(|&&other| Some(other) != position);
        let weights: f64 = weight + others.map(|&other| self.teams[other].weight).sum::<f64>();
        let by_share_s = (queued + 1) as f64 * weights / (weight * rate_per_s);
        let all_s = (self.waiting + 1) as f64 / rate_per_s;
        Some(by_share_s.min(all_s))
    }

    /// Refuses an entry that would probably not finish before its deadline.
    fn check_deadline(&self, team: usize, entry: &Entry, now: Instant) -> Result<(), Refused> {
        let remaining = entry.deadline.saturating_duration_since(now);
        if remaining.is_zero() {
            return Err(refusal(Reason::Deadline, RETRY_MIN));
        }
        // Urgent entries don't wait behind the entries that the estimate counts.
        if entry.class == Class::Urgent || self.waiting == 0 {
            return Ok(());
        }
        let Some(wait) = self.estimate_wait(&self.teams[team].team) else {
            return Ok(());
        };
        let run = Duration::from_secs_f64(self.teams[team].mean_run_s);
        if wait + run > remaining || wait > self.settings.wait_max {
            return Err(refusal(Reason::Deadline, wait));
        }
        Ok(())
    }

    /// Drops the newest entry of the team with the most entries relative to its weight.
    ///
    /// Refuses the new entry instead if no other team has more than `team` would have with it.
    fn drop_from_largest_team(&mut self, team: usize) -> Result<(), Refused> {
        let load = |state: &TeamState, more: usize| (state.queued() + more) as f64 / state.weight;
        let own = load(&self.teams[team], 1);
        let largest = self
            .backlogged
            .iter()
            .copied()
            .max_by(|a, b| load(&self.teams[*a], 0).total_cmp(&load(&self.teams[*b], 0)));
        let Some(largest) = largest.filter(|&l| l != team && load(&self.teams[l], 0) > own) else {
            let wait = self.estimate_wait(&self.teams[team].team).unwrap_or(RETRY_MIN);
            return Err(refusal(Reason::Full, wait));
        };
        let state = &mut self.teams[largest];
        let newest = state.normal.pop_back().or_else(|| state.urgent.pop_back());
        if let Some(waiting) = newest {
            self.dropped.push(waiting.ticket);
            self.record_removal(largest, 1);
        }
        Ok(())
    }

    fn preferred_class(&self) -> Class {
        if self.urgent.may_go_first() { Class::Urgent } else { Class::Normal }
    }

    fn next_team_of_other_class(
        &self,
        preferred: Class,
        may_run: &impl Fn(&TeamRef) -> bool,
    ) -> Option<(usize, Class)> {
        let other = match preferred {
            Class::Urgent => Class::Normal,
            Class::Normal => Class::Urgent,
        };
        self.next_team(other, may_run).map(|team| (team, other))
    }

    /// Returns the team with the lowest virtual time among those that have an entry of `class` and
    /// may run.
    fn next_team(&self, class: Class, may_run: &impl Fn(&TeamRef) -> bool) -> Option<usize> {
        let mut next: Option<usize> = None;
        for &team in &self.backlogged {
            let state = &self.teams[team];
            let class_queue = match class {
                Class::Urgent => &state.urgent,
                Class::Normal => &state.normal,
            };
            let is_next = next.is_none_or(|next| {
                state.effective_virtual_time_s() < self.teams[next].effective_virtual_time_s()
            });
            if !class_queue.is_empty() && is_next && may_run(&state.team) {
                next = Some(team);
            }
        }
        next
    }

    /// Updates the counts after `count` entries of a team were removed.
    fn record_removal(&mut self, team: usize, count: usize) {
        self.waiting -= count;
        if self.teams[team].queued() == 0 {
            self.backlogged.retain(|&other| other != team);
        }
    }

    fn find(&self, team: &TeamRef) -> Result<usize, usize> {
        self.positions_by_team.binary_search_by(|&position| self.teams[position].team.cmp(team))
    }

    /// Returns the position of a team, which is added if it is new, and updates its weight.
    fn team_position(&mut self, team: &TeamRef, share_weight: u32) -> usize {
        match self.find(team) {
            Ok(index) => {
                let position = self.positions_by_team[index];
                self.teams[position].weight = weight_of(share_weight);
                position
            }
            Err(index) => {
                let position = self.teams.len();
                let state = TeamState::new(
                    team.clone(),
                    share_weight,
                    self.virtual_time_s,
                    self.mean_run_s,
                );
                self.teams.push(state);
                self.positions_by_team.insert(index, position);
                position
            }
        }
    }

    /// Accounts for the service of all teams up to `now`.
    fn advance(&mut self, now: Instant) {
        let last = self.advanced_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(last);
        if elapsed.is_zero() {
            return;
        }
        if self.waiting > 0 {
            self.service_rate.record_waiting(elapsed);
        }
        self.teams.iter_mut().for_each(|state| state.advance(elapsed));
    }

    /// Limits the lead or lag of each team to [`CREDIT_MAX`]; only a backlogged team may lag.
    fn clamp_virtual_times(&mut self) {
        let backlogged = self.teams.iter().filter(|state| state.is_backlogged());
        let weights: f64 = backlogged.map(|state| state.weight).sum();
        let running: u32 = self.teams.iter().map(|s| s.running + s.peers.running).sum();
        let lead_max_s = CREDIT_MAX.as_secs_f64() * f64::from(running.max(1)) / weights.max(1.0);
        for state in &mut self.teams {
            let lag_max_s = if state.is_backlogged() { lead_max_s } else { 0.0 };
            let lowest = self.virtual_time_s - lag_max_s;
            state.virtual_time_s =
                state.virtual_time_s.clamp(lowest, self.virtual_time_s + lead_max_s);
        }
    }
}

fn refusal(reason: Reason, wait: Duration) -> Refused {
    Refused { reason, retry_after: wait.clamp(RETRY_MIN, RETRY_MAX) }
}
