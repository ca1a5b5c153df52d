//! The list of hosts, and draining a host before it is moved or maintained.
//!
//! A host that is about to leave its pool is cordoned, so that it gets no new runs. Its units
//! finish, store a checkpoint or restart elsewhere. Units of a step with a disruption budget leave
//! one after another, as the budget allows. The command to the host is sent once nothing runs on
//! it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::HostName;
use crate::Moment;
use crate::PoolName;
use crate::WaveId;
use crate::WorkerId;
use crate::ZoneName;
use crate::host_commands::HOST_LIST_LAG;
use crate::host_commands::HostCommand;
use crate::job::UnitKey;
use crate::live_jobs::FULL_PERCENT;
use crate::live_jobs::Unit;
use crate::messages::HostEntry;
use crate::messages::HostState;
use crate::state::Scheduler;
use crate::worker::Contact;
use crate::worker::Worker;

/// Time that units with checkpoints get to finish on a cordoned host. If its wave is urgent, other
/// finite units get no more than that either.
const CHECKPOINT_GRACE: Duration = Duration::from_millis(1_500);
/// Time that other finite units get to finish on a cordoned host.
const FINISH_GRACE: Duration = Duration::from_millis(6_000);
/// Maximum age of a worker's last reply for its units to count as available. It exceeds the time
/// for which a worker may delay its reply.
const RUNNING_CONTACT_AGE_MAX: Duration = Duration::from_millis(1_600);

/// What is planned for a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostIntent {
    /// The host is to be maintained for a wave.
    Maintain(WaveId),
    /// The host is to be moved to another pool.
    Move(PoolName),
}

/// State of a host.
#[derive(Clone, Debug)]
pub struct Host {
    /// The host in the platform's list.
    pub entry: HostEntry,
    /// What is planned for the host.
    pub intent: Option<HostIntent>,
    /// The host gets no command before this time.
    pub no_command_before: Moment,
    /// Time until which an accepted command is expected to keep the host out of service.
    pub unavailable_until: Moment,
    /// Time before which an accepted command keeps the host out of service.
    pub not_back_before: Moment,
    /// This owner has seen a worker on the host.
    pub had_worker: bool,
    /// Worker that was terminated by the last accepted command.
    pub terminated_worker: Option<WorkerId>,
    /// Availability zone, as the last registered worker of the host has told it.
    pub zone: Option<ZoneName>,
}

impl Host {
    pub(crate) fn new(entry: HostEntry) -> Self {
        Self {
            entry,
            intent: None,
            no_command_before: Moment::ZERO,
            unavailable_until: Moment::ZERO,
            not_back_before: Moment::ZERO,
            had_worker: false,
            terminated_worker: None,
            zone: None,
        }
    }

    /// Returns the pool that the host belongs to, or to which it is planned to move.
    pub fn target_pool(&self) -> &PoolName {
        match &self.intent {
            Some(HostIntent::Move(pool)) => pool,
            _ => &self.entry.pool,
        }
    }

    /// Returns true if the host is moving to another pool, or planned to.
    pub fn is_moving(&self, now: Moment) -> bool {
        let is_unavailable =
            self.entry.state != HostState::InMaintenance && now < self.unavailable_until;
        is_unavailable
            || self.entry.state == HostState::Moving
            || matches!(self.intent, Some(HostIntent::Move(_)))
    }

    /// Returns true if the host is in service and nothing is planned for it.
    pub fn is_available(&self, now: Moment) -> bool {
        self.entry.state == HostState::Up && self.intent.is_none() && now >= self.unavailable_until
    }

    /// Takes the host out of service until it is back from a command that was accepted.
    pub(crate) fn handle_command(&mut self, command: &HostCommand, back_at: Moment) {
        self.intent = None;
        self.terminated_worker = command.worker.clone();
        if self.entry.worker == command.worker {
            self.entry.worker = None;
        }
        self.not_back_before = back_at;
        self.unavailable_until = back_at + HOST_LIST_LAG;
        match &command.intent {
            Some(HostIntent::Move(pool)) => {
                self.entry.state = HostState::Moving;
                self.entry.pool = pool.clone();
            }
            _ => self.entry.state = HostState::InMaintenance,
        }
    }
}

impl Scheduler {
    /// Updates the hosts from the platform's list, which was requested at `requested_at`.
    pub fn set_hosts(&mut self, mut entries: Vec<HostEntry>, requested_at: Moment, now: Moment) {
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        let is_listed = |name: &HostName| entries.binary_search_by(|e| e.name.cmp(name)).is_ok();
        let commands = &self.host_commands;
        let has_open_command =
            |name: &HostName| commands.get(name).is_some_and(HostCommand::is_open);
        self.hosts.retain(|name, _| is_listed(name) || has_open_command(name));
        self.settle_host_commands(&entries, requested_at, now);
        let mut returned = Vec::new();
        let mut live_workers = Vec::new();
        for entry in entries {
            let name = entry.name.clone();
            let no_command_before = self.host_no_command_before.remove(&name).unwrap_or_default();
            let host = self.hosts.entry_or(name, || Host::new(entry.clone()));
            host.no_command_before = host.no_command_before.max(no_command_before);
            // The list may be older than the command, and show the worker from before as a new one.
            if requested_at < host.not_back_before {
                continue;
            }
            // A new worker on the host shows that the command has been carried out.
            let is_back = entry.state == HostState::Up
                && entry.worker.is_some()
                && entry.worker != host.terminated_worker;
            if is_back {
                host.unavailable_until = host.unavailable_until.min(now);
            }
            host.had_worker |= entry.worker.is_some();
            let worker = entry.worker.as_ref().and_then(|id| self.workers.get(id));
            let has_zone =
                |worker: &&Worker| worker.is_registered && !worker.registration.zone.is_empty();
            if let Some(worker) = worker.filter(has_zone) {
                host.zone = Some(worker.registration.zone.clone());
            }
            if now >= host.unavailable_until {
                if host.entry.state != HostState::Up && entry.state == HostState::Up {
                    returned.push(entry.clone());
                    let terminated_worker = host.terminated_worker.take();
                    live_workers
                        .extend(terminated_worker.filter(|id| entry.worker.as_ref() == Some(id)));
                }
                host.entry = entry;
            }
        }
        for entry in returned {
            let why = format!("worker={} pool={}", entry.worker.unwrap_or_default(), entry.pool);
            self.log_decision("host back", entry.name, why);
        }
        for worker in live_workers {
            self.restore_terminated_worker(&worker, now);
        }
        self.plan_restored_commands(requested_at);
        self.has_host_list = true;
    }

    /// Plans moves and maintenance of hosts, and drains the hosts concerned.
    pub(crate) fn plan_hosts(&mut self, now: Moment) {
        self.remove_stale_tickets();
        if !self.has_host_list {
            return self.set_cordons(now);
        }
        self.drain_leaving_workers(now);
        self.find_lost_zones(now);
        self.cancel_moves_of_absent_hosts();
        let loads = self.pool_loads(now);
        self.plan_waves(&loads, now);
        self.plan_moves(&loads, now);
        self.set_cordons(now);
        let names: Vec<HostName> = self.hosts.iter().map(|(name, _)| name.clone()).collect();
        for name in names {
            self.advance_host(&name, now);
        }
    }

    /// Drains the workers that have registered as draining.
    fn drain_leaving_workers(&mut self, now: Moment) {
        let mut leaving = Vec::new();
        for (id, worker) in self.workers.iter_mut() {
            if worker.registration.is_draining && worker.is_registered && !worker.runs.is_empty() {
                worker.cordoned_at = worker.cordoned_at.max(worker.draining_since);
                leaving.push(id.clone());
            }
        }
        for id in leaving {
            self.drain_worker(&id, now);
        }
    }

    /// Returns the worker on a host.
    pub(crate) fn worker_of(&self, host: &Host) -> Option<WorkerId> {
        host.entry.worker.clone()
    }

    fn set_cordons(&mut self, now: Moment) {
        let mut leaving: Vec<WorkerId> = self
            .hosts
            .values()
            .filter(|host| host.intent.is_some())
            .filter_map(|host| host.entry.worker.clone())
            .collect();
        // The list of hosts may not show the worker yet that a command is going to terminate.
        let workers = self.workers.values();
        let in_doubt = workers.filter(|worker| self.may_be_terminated(&worker.registration));
        leaving.extend(in_doubt.map(|worker| worker.registration.id.clone()));
        leaving.sort();
        let mut is_uncordoned = false;
        for worker in self.workers.values_mut() {
            let is_cordoned = leaving.binary_search(&worker.registration.id).is_ok();
            if is_cordoned && !worker.is_cordoned {
                worker.cordoned_at = now;
            }
            is_uncordoned |= worker.is_cordoned && !is_cordoned;
            worker.is_cordoned = is_cordoned;
        }
        self.needs_placement |= is_uncordoned;
    }

    /// Drains a host for which something is planned, and decides on the command to it once nothing
    /// runs there.
    fn advance_host(&mut self, name: &HostName, now: Moment) {
        let Some(host) = self.hosts.get(name) else {
            return;
        };
        let Some(intent) = host.intent.clone() else {
            return;
        };
        // A command in doubt may have taken the host out of service and terminated the worker, and
        // already counts against the limit.
        let is_repetition = self.may_repeat_command(name, &intent);
        let may_begin = host.entry.state == HostState::Up && !self.has_open_command(name);
        if !may_begin && !is_repetition {
            return;
        }
        if let Some(id) = self.worker_of(host) {
            // The runs of a worker are unknown until it has replied.
            let contact_max = self.settings.contact_max;
            let worker = self.workers.get(&id);
            let is_in_contact = worker.is_some_and(|worker| worker.is_in_contact(contact_max, now));
            let is_idle = |worker: &Worker| worker.runs.is_empty() && worker.unexpected_runs == 0;
            match (worker.is_none_or(is_idle), is_in_contact) {
                (true, true) => {}
                (true, false) if is_repetition => {}
                (false, true) => return self.drain_worker(&id, now),
                (_, false) => return,
            }
        }
        if now < host.no_command_before || !(is_repetition || self.may_command(&intent)) {
            return;
        }
        self.issue_host_command(name, intent, now);
    }

    /// Stops the runs on a cordoned worker that may be stopped now.
    pub(crate) fn drain_worker(&mut self, id: &WorkerId, now: Moment) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let cordoned_for = now.saturating_sub(worker.cordoned_at);
        let is_its_host = |host: &&Host| host.entry.worker.as_ref() == Some(id);
        let intent = self.hosts.values().find(is_its_host).and_then(|host| host.intent.clone());
        let is_moved = matches!(intent, Some(HostIntent::Move(_)));
        let is_urgent = match intent {
            Some(HostIntent::Maintain(wave)) => self.is_wave_urgent(wave, now),
            _ => false,
        };
        for key in worker.runs.clone() {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let step = &job.record.steps[key.step];
            let may_stop = if step.is_long_running {
                self.may_be_unavailable(&key, now)
            } else if is_moved {
                // A move can wait until the runs have finished; it is not worth losing their work.
                false
            } else if step.has_checkpoints || is_urgent {
                cordoned_for >= CHECKPOINT_GRACE
            } else {
                cordoned_for >= FINISH_GRACE
            };
            if may_stop {
                self.request_stop_on(id, &key, now);
            }
        }
    }

    /// Returns true if the disruption budget of its step allows a long-running unit to be stopped
    /// now.
    pub(crate) fn may_be_unavailable(&self, key: &UnitKey, now: Moment) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let Some(occurrence) = job.occurrences.iter().find(|o| o.number == key.occurrence) else {
            return false;
        };
        let step = &job.record.steps[key.step];
        let is_unresponsive = |worker: &str| {
            let worker = self.workers.get(worker);
            worker.is_none_or(|worker| !worker.is_in_contact(RUNNING_CONTACT_AGE_MAX, now))
        };
        // The worker may still list a run that the previous owner has commanded to stop. After this
        // owner's first poll, the worker refuses such commands, and a report counts once a stop
        // from before would have taken effect.
        let may_be_stopping = |worker: &str| {
            let worker = self.workers.get(worker);
            let contacts =
                worker.and_then(|worker| match (worker.first_contact_at, worker.contact) {
                    (Some(first), Contact::Heard(last)) => Some((first, last)),
                    _ => None,
                });
            contacts
                .is_none_or(|(first, last)| last.saturating_sub(first) <= self.settings.stop_time)
        };
        let is_unavailable = |unit: &Unit| {
            unit.run.as_ref().is_none_or(|run| {
                run.stop.is_some()
                    || run.progress_percent < FULL_PERCENT
                    || is_unresponsive(&run.worker)
                    || may_be_stopping(&run.worker)
            })
        };
        let units = occurrence.steps[key.step].iter().enumerate();
        let others = units.filter(|(index, _)| *index != key.index);
        let unavailable = others.filter(|(_, unit)| is_unavailable(unit)).count();
        unavailable < (step.unavailable_max as usize).max(1)
    }
}
