//! Hosts: their list, and how one is emptied before it is moved or maintained.
//!
//! A host that is to leave its pool is cordoned: it gets no new runs. Its units finish, save their
//! state or start elsewhere; units of a step with a budget leave one after another, as the budget
//! allows. The order goes out once nothing runs on the host.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::HostName;
use crate::Moment;
use crate::PoolName;
use crate::WaveId;
use crate::WorkerId;
use crate::job::UnitKey;
use crate::live::Unit;
use crate::live::WHOLE_PERCENT;
use crate::report::Action;
use crate::report::HostEntry;
use crate::report::HostReply;
use crate::report::HostState;
use crate::state::Scheduler;

/// Time that units which save their state get to finish on a cordoned host.
const SAVING_GRACE: Duration = Duration::from_millis(1_500);
/// Time that other units get to finish on a cordoned host.
const FINISH_GRACE: Duration = Duration::from_millis(6_000);
/// Pause before an order that failed is sent again.
const ORDER_AGAIN: Duration = Duration::from_millis(700);
/// Time after an accepted order in which the list may still show the state before.
const LIST_LAG: Duration = Duration::from_millis(1_500);
/// Age of a worker's last answer up to which its units count as at work; above the time that a worker
/// may wait with an answer.
const SEEN_AT_WORK_MAX: Duration = Duration::from_millis(1_600);
/// How far the clocks of two nodes may differ.
const CLOCKS_DIFFER: Duration = Duration::from_millis(500);

/// What is to become of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Goal {
    /// It is to be maintained.
    Maintain(WaveId),
    /// It is to work in another pool.
    Move(PoolName),
}

/// An order to a host, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostCommandRow {
    /// Host.
    pub host: HostName,
    /// When it was ordered, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// An order to a host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostOrdered {
    at: Moment,
    is_stored: bool,
}

/// A host.
#[derive(Clone, Debug)]
pub struct Host {
    /// As the platform lists it.
    pub entry: HostEntry,
    /// What is to become of it.
    pub goal: Option<Goal>,
    /// An order is to be stored, or on its way.
    pub is_ordered: bool,
    /// No order before this time.
    pub not_before: Moment,
    /// Until when an accepted order keeps it away.
    pub away_until: Moment,
    /// A worker was on it since this owner has found it.
    pub had_worker: bool,
    /// Worker that the last accepted order has ended.
    pub ended_worker: Option<WorkerId>,
}

impl Host {
    fn new(entry: HostEntry) -> Self {
        Self {
            entry,
            goal: None,
            is_ordered: false,
            not_before: Moment::ZERO,
            away_until: Moment::ZERO,
            had_worker: false,
            ended_worker: None,
        }
    }

    /// The pool in which it works, or is to work.
    pub fn pool_to_be(&self) -> &PoolName {
        match &self.goal {
            Some(Goal::Move(pool)) => pool,
            _ => &self.entry.pool,
        }
    }

    /// True if it is to move to another pool, or on its way.
    pub fn is_moving(&self, now: Moment) -> bool {
        let is_away = self.entry.state != HostState::InMaintenance && now < self.away_until;
        is_away || self.entry.state == HostState::Moving || matches!(self.goal, Some(Goal::Move(_)))
    }

    /// True if it works and nothing is planned for it.
    pub fn is_free(&self, now: Moment) -> bool {
        self.entry.state == HostState::Up && self.goal.is_none() && now >= self.away_until
    }
}

impl Scheduler {
    /// Takes in the platform's list of hosts.
    pub fn set_hosts(&mut self, entries: Vec<HostEntry>, now: Moment) {
        let mut names: Vec<HostName> = entries.iter().map(|entry| entry.name.clone()).collect();
        names.sort();
        self.hosts.retain(|name, _| names.binary_search(name).is_ok());
        for entry in entries {
            let name = entry.name.clone();
            let held_until = self.held_hosts.remove(&name).unwrap_or_default();
            let host = self.hosts.entry_or(name, || Host::new(entry.clone()));
            host.not_before = host.not_before.max(held_until);
            // Another worker on the host shows that the order has been carried out.
            let is_back = entry.state == HostState::Up
                && entry.worker.is_some()
                && entry.worker != host.ended_worker;
            if is_back {
                host.away_until = host.away_until.min(now);
            }
            host.had_worker |= entry.worker.is_some();
            if now >= host.away_until {
                host.entry = entry;
            }
        }
        self.hosts_listed = true;
    }

    /// Takes in what became of an order to a host.
    pub fn handle_host_reply(&mut self, name: &HostName, reply: HostReply, now: Moment) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        host.is_ordered = false;
        host.not_before = now + ORDER_AGAIN;
        match reply {
            HostReply::Accepted => self.host_accepted(name, now),
            HostReply::Fenced => self.is_fenced = true,
            HostReply::Invalid => host.goal = None,
            // A host that is busy may be on its way already; the list tells.
            HostReply::Busy | HostReply::Refused | HostReply::Unknown => {}
        }
    }

    /// Decides which hosts are moved or maintained, and empties them.
    pub(crate) fn plan_hosts(&mut self, now: Moment) {
        self.drop_tickets();
        if !self.hosts_listed {
            return;
        }
        self.empty_leaving(now);
        self.plan_waves(now);
        self.plan_moves(now);
        self.set_cordons(now);
        let names: Vec<HostName> = self.hosts.iter().map(|(name, _)| name.clone()).collect();
        for name in names {
            self.advance_host(&name, now);
        }
    }

    /// Empties the workers that say that they are leaving.
    fn empty_leaving(&mut self, now: Moment) {
        let mut leaving = Vec::new();
        for (id, worker) in self.workers.iter_mut() {
            if worker.registration.is_draining && worker.is_registered && !worker.runs.is_empty() {
                worker.cordoned_at = worker.cordoned_at.max(worker.draining_since);
                leaving.push(id.clone());
            }
        }
        for id in leaving {
            self.empty_worker(&id, now);
        }
    }

    /// Worker of a host.
    pub(crate) fn worker_of(&self, host: &Host) -> Option<WorkerId> {
        host.entry.worker.clone()
    }

    fn host_accepted(&mut self, name: &HostName, now: Moment) {
        let (move_time, maintain_time) = (self.settings.move_time, self.settings.maintain_time);
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        let worker = host.entry.worker.take();
        host.ended_worker = worker.clone();
        match host.goal.take() {
            Some(Goal::Maintain(wave)) => {
                host.entry.state = HostState::InMaintenance;
                host.away_until = now + maintain_time + LIST_LAG;
                self.wave_host_begun(wave, name);
            }
            Some(Goal::Move(pool)) => {
                host.entry.state = HostState::Moving;
                host.entry.pool = pool;
                host.away_until = now + move_time + LIST_LAG;
            }
            None => {}
        }
        // The order has ended the worker and all that ran there.
        if let Some(worker) = worker {
            self.clear_runs_on(&worker, now);
            if let Some(ended) = self.forget_worker(&worker) {
                self.ended_workers.insert(worker, ended.registration.incarnation_started_ms);
            }
        }
    }

    fn set_cordons(&mut self, now: Moment) {
        let mut leaving: Vec<WorkerId> = self
            .hosts
            .values()
            .filter(|host| host.goal.is_some())
            .filter_map(|host| host.entry.worker.clone())
            .collect();
        leaving.sort();
        let mut is_freed = false;
        for worker in self.workers.values_mut() {
            let is_cordoned = leaving.binary_search(&worker.registration.id).is_ok();
            if is_cordoned && !worker.is_cordoned {
                worker.cordoned_at = now;
            }
            is_freed |= worker.is_cordoned && !is_cordoned;
            worker.is_cordoned = is_cordoned;
        }
        self.needs_placing |= is_freed;
    }

    fn advance_host(&mut self, name: &HostName, now: Moment) {
        let Some(host) = self.hosts.get(name) else {
            return;
        };
        let Some(goal) = host.goal.clone() else {
            return;
        };
        if host.is_ordered || host.entry.state != HostState::Up {
            return;
        }
        if let Some(id) = self.worker_of(host) {
            // What a worker that has not answered runs is not known.
            let contact_max = self.settings.contact_max;
            let seen = self.workers.get(&id).filter(|w| w.is_in_contact(contact_max, now));
            match seen.map(|worker| worker.runs.is_empty() && worker.strays == 0) {
                Some(true) => {}
                Some(false) => return self.empty_worker(&id, now),
                None => return,
            }
        }
        if now < host.not_before || !self.may_order(&goal) {
            return;
        }
        if let Some(host) = self.hosts.get_mut(name) {
            host.is_ordered = true;
        }
        self.host_commands.insert(name.clone(), HostOrdered { at: now, is_stored: false });
    }

    /// Hosts ordered of late, if they are not those that are stored: an owner that takes over orders
    /// none of them before its predecessor's hold on the host is over.
    pub(crate) fn changed_host_orders(&mut self, now: Moment) -> Option<Vec<HostCommandRow>> {
        let lease = self.settings.host_lease;
        let has_new = self.host_commands.values().any(|order| !order.is_stored);
        if !has_new {
            return None;
        }
        self.host_commands.retain(|_, order| now.saturating_sub(order.at) <= lease);
        let rows = self.host_commands.iter().map(|(host, order)| HostCommandRow {
            host: host.clone(),
            at_ms: self.unix_ms(order.at),
        });
        Some(rows.collect())
    }

    /// Sends the orders that are stored now.
    pub(crate) fn host_orders_stored(&mut self, rows: &[HostCommandRow]) {
        for row in rows {
            let Some(order) = self.host_commands.get_mut(&row.host).filter(|o| !o.is_stored) else {
                continue;
            };
            order.is_stored = true;
            let host = row.host.clone();
            match self.hosts.get(&host).and_then(|host| host.goal.clone()) {
                Some(Goal::Maintain(wave)) => {
                    self.actions.push(Action::MaintainHost { host, wave });
                }
                Some(Goal::Move(pool)) => self.actions.push(Action::MoveHost { host, pool }),
                None => {}
            }
        }
    }

    /// Takes in the hosts that the owner before has ordered of late.
    pub fn restore_host_commands(&mut self, rows: Vec<HostCommandRow>, now: Moment) {
        for row in rows {
            // The clocks of two nodes may differ; an order cannot be younger than now.
            let at = self.moment_of(row.at_ms).min(now);
            let free_at = at.max(now.saturating_sub(CLOCKS_DIFFER)) + self.settings.host_lease;
            self.held_hosts.insert(row.host, free_at + CLOCKS_DIFFER);
        }
    }

    /// Lets the runs on a cordoned worker go.
    pub(crate) fn empty_worker(&mut self, id: &WorkerId, now: Moment) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let cordoned_for = now.saturating_sub(worker.cordoned_at);
        let is_its_host = |host: &&Host| host.entry.worker.as_ref() == Some(id);
        let goal = self.hosts.values().find(is_its_host).and_then(|host| host.goal.clone());
        let is_moved = matches!(goal, Some(Goal::Move(_)));
        let is_pressing = match goal {
            Some(Goal::Maintain(wave)) => self.is_wave_pressing(wave, now),
            _ => false,
        };
        for key in worker.runs.clone() {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let step = &job.record.steps[key.step];
            let may_stop = if step.is_long_running {
                self.may_be_away(&key, now)
            } else if is_moved {
                // Nothing is lost by waiting, and another pool is not worth lost work.
                false
            } else if step.has_checkpoints || is_pressing {
                cordoned_for >= SAVING_GRACE
            } else {
                cordoned_for >= FINISH_GRACE
            };
            if may_stop {
                self.order_stop(&key, now);
            }
        }
    }

    /// True if a lasting unit may be stopped now: its step's budget allows it, and another worker can
    /// take it.
    fn may_be_away(&self, key: &UnitKey, now: Moment) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let Some(occurrence) = job.occurrences.iter().find(|o| o.number == key.occurrence) else {
            return false;
        };
        let step = &job.record.steps[key.step];
        let is_silent = |worker: &str| {
            let worker = self.workers.get(worker);
            worker.is_none_or(|worker| !worker.is_in_contact(SEEN_AT_WORK_MAX, now))
        };
        // It may list a run that an owner before has ordered to stop; later such orders are refused.
        let may_be_stopping = |worker: &str| {
            let heard_since = self.workers.get(worker).and_then(|worker| worker.heard_since);
            heard_since.is_none_or(|since| now.saturating_sub(since) <= self.settings.stop_time)
        };
        let is_away = |unit: &Unit| {
            unit.run.as_ref().is_none_or(|run| {
                run.stop.is_some()
                    || run.progress_percent < WHOLE_PERCENT
                    || is_silent(&run.worker)
                    || may_be_stopping(&run.worker)
            })
        };
        let units = occurrence.steps[key.step].iter().enumerate();
        let others = units.filter(|(index, _)| *index != key.index);
        let away = others.filter(|(_, unit)| is_away(unit)).count();
        away < (step.unavailable_max as usize).max(1)
    }
}
