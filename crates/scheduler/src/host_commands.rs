//! Commands that move or maintain hosts.
//!
//! A command is stored before it is sent, so that a successor knows of it. It is meant for the worker
//! that the host has when the command is decided. The platform also accepts a command that it
//! carried out before, so the reply tells nothing about a worker that the host has had since then.
//!
//! A command without a reply may have been carried out, and may still be, seconds later. It stays in
//! doubt, and counts against the limit of its wave, until its outcome is known: it is repeated with
//! a higher token, after which the platform refuses the earlier attempts, or the list of hosts shows
//! that it was carried out. A successor restores the stored commands as
//! ones in doubt, since their outcomes were not stored.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::HostName;
use crate::Moment;
use crate::WaveId;
use crate::WorkerId;
use crate::hosts::HostIntent;
use crate::messages::Action;
use crate::messages::HostEntry;
use crate::messages::HostReply;
use crate::messages::HostState;
use crate::messages::LossCause;
use crate::state::Scheduler;

/// Time before a command to a host is sent again after it failed.
const COMMAND_RETRY_BACKOFF: Duration = Duration::from_millis(700);
/// Time between two attempts at a command to a host that is not listed.
const UNLISTED_RETRY_PERIOD: Duration = Duration::from_millis(2_000);
/// Time for which the platform's list may be out of date after a host has accepted a command.
const HOST_LIST_LAG: Duration = Duration::from_millis(1_500);
/// Maximum difference between the clocks of two nodes.
const CLOCK_SKEW_MAX: Duration = Duration::from_millis(500);

/// A command to a host, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostCommandRow {
    /// Host that the command was given to.
    pub host: HostName,
    /// Time of the command in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What the host is to do; none if it is certain that the command was not carried out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub intent: Option<HostIntent>,
}

/// The last command that was given to a host.
#[derive(Clone, Debug)]
pub(crate) struct HostCommand {
    pub intent: HostIntent,
    /// Worker that the command terminates; none if the host has none.
    worker: Option<WorkerId>,
    /// When the last attempt was decided or, once it is stored, sent.
    issued_at: Moment,
    /// When the first attempt was decided, or the command was restored.
    first_issued_at: Moment,
    progress: CommandProgress,
    /// An earlier attempt got no reply, and no later reply has told its outcome.
    has_unanswered_attempt: bool,
}

/// What has become of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandProgress {
    /// It has to be stored before it is sent.
    Unstored,
    /// It was sent and waits for a reply.
    Sent,
    /// It got no reply and is to be repeated.
    InDoubt,
    /// It was carried out.
    CarriedOut,
    /// It was not carried out, and won't be.
    Refused,
}

impl HostCommand {
    /// Returns true if the command waits to be stored or for a reply.
    fn is_pending(&self) -> bool {
        matches!(self.progress, CommandProgress::Unstored | CommandProgress::Sent)
    }

    /// Returns true unless the outcome of the command is known.
    pub fn is_unsettled(&self) -> bool {
        !matches!(self.progress, CommandProgress::CarriedOut | CommandProgress::Refused)
    }

    /// Returns true if the listed state of the host shows that the command was carried out.
    fn is_shown_by(&self, entry: &HostEntry) -> bool {
        match &self.intent {
            HostIntent::Maintain(_) => entry.state == HostState::InMaintenance,
            HostIntent::Move(pool) => {
                entry.state == HostState::Moving
                    || (entry.state == HostState::Up && entry.pool == *pool)
            }
        }
    }

    /// Returns the wave of a command for maintenance.
    pub fn wave(&self) -> Option<WaveId> {
        match self.intent {
            HostIntent::Maintain(wave) => Some(wave),
            HostIntent::Move(_) => None,
        }
    }

    /// Ends an attempt that was not carried out.
    fn end_attempt(&mut self) {
        self.progress = match self.has_unanswered_attempt {
            true => CommandProgress::InDoubt,
            false => CommandProgress::Refused,
        };
    }
}

impl Scheduler {
    /// Decides on a command to a host, or on its repetition, which is sent once it is stored.
    pub(crate) fn issue_host_command(&mut self, name: &HostName, intent: HostIntent, now: Moment) {
        let worker = self.hosts.get(name).and_then(|host| self.worker_of(host));
        let before = self.host_commands.get(name).filter(|command| command.is_unsettled());
        let command = HostCommand {
            intent,
            worker,
            issued_at: now,
            first_issued_at: before.map_or(now, |before| before.first_issued_at),
            progress: CommandProgress::Unstored,
            has_unanswered_attempt: before.is_some_and(|before| before.has_unanswered_attempt),
        };
        self.host_commands.insert(name.clone(), command);
    }

    /// Returns true if a command to a host waits to be stored or for a reply.
    pub(crate) fn is_command_pending(&self, name: &HostName) -> bool {
        self.host_commands.get(name).is_some_and(HostCommand::is_pending)
    }

    /// Returns true if a command to a host may have been carried out, or may still be.
    pub(crate) fn is_command_unsettled(&self, name: &HostName) -> bool {
        self.host_commands.get(name).is_some_and(HostCommand::is_unsettled)
    }

    /// Handles the result of a command to a host.
    pub fn handle_host_reply(&mut self, name: &HostName, reply: HostReply, now: Moment) {
        let Some(command) = self.host_commands.get_mut(name) else {
            return;
        };
        if let Some(host) = self.hosts.get_mut(name) {
            host.no_command_before = now + COMMAND_RETRY_BACKOFF;
        }
        match reply {
            HostReply::Accepted => {
                command.progress = CommandProgress::CarriedOut;
                let command = command.clone();
                self.handle_host_accepted(name, command, now);
            }
            HostReply::Fenced => self.is_fenced = true,
            HostReply::Invalid => {
                command.progress = CommandProgress::Refused;
                if let Some(host) = self.hosts.get_mut(name) {
                    host.intent = None;
                }
            }
            HostReply::Busy | HostReply::Refused => command.end_attempt(),
            HostReply::Unknown => {
                command.has_unanswered_attempt = true;
                command.end_attempt();
            }
        }
    }

    /// Settles the commands in doubt whose outcome the list of hosts shows. `listed` are the listed
    /// hosts, sorted by name.
    pub(crate) fn settle_host_commands(&mut self, listed: &[HostEntry], requested_at: Moment) {
        let mut maintained = Vec::new();
        for (name, command) in self.host_commands.iter_mut() {
            let is_in_doubt = command.progress == CommandProgress::InDoubt;
            if !is_in_doubt || requested_at < command.first_issued_at + HOST_LIST_LAG {
                continue;
            }
            // A host that is not listed may still carry out the command.
            let Ok(index) = listed.binary_search_by(|entry| entry.name.cmp(name)) else {
                continue;
            };
            let entry = &listed[index];
            let has_started = command.wave().is_some_and(|wave| {
                self.waves.get(&wave).is_some_and(|progress| progress.row.has_started(name))
            });
            let is_back = has_started && entry.state == HostState::Up;
            if !command.is_shown_by(entry) && !is_back {
                continue;
            }
            command.progress = CommandProgress::CarriedOut;
            if let Some(host) = self.hosts.get_mut(name) {
                host.intent = None;
            }
            if let Some(wave) = command.wave() {
                maintained.push((wave, name.clone()));
            }
        }
        for (wave, name) in maintained {
            self.record_maintenance_started(wave, &name);
        }
    }

    /// Repeats the commands in doubt to hosts that are not listed. If a host is gone, the reply
    /// tells that the command cannot be carried out any more.
    pub(crate) fn repeat_commands_to_unlisted_hosts(&mut self, now: Moment) {
        let is_due = |name: &HostName, command: &HostCommand| {
            let allowed_at = self.host_no_command_before.get(name).copied().unwrap_or_default();
            command.progress == CommandProgress::InDoubt
                && !self.hosts.contains(name)
                && now >= command.issued_at + UNLISTED_RETRY_PERIOD
                && now >= allowed_at
        };
        let due = self.host_commands.iter().filter(|(name, command)| is_due(name, command));
        let due: Vec<(HostName, HostIntent)> =
            due.map(|(name, command)| (name.clone(), command.intent.clone())).collect();
        for (name, intent) in due {
            self.issue_host_command(&name, intent, now);
        }
    }

    /// Plans the repetition of the commands in doubt that the previous owner has given.
    pub(crate) fn plan_restored_commands(&mut self) {
        for (name, command) in self.host_commands.iter() {
            let has_started = command.wave().is_some_and(|wave| {
                self.waves.get(&wave).is_some_and(|progress| progress.row.has_started(name))
            });
            if command.progress != CommandProgress::InDoubt || has_started {
                continue;
            }
            if let Some(host) = self.hosts.get_mut(name).filter(|host| host.intent.is_none()) {
                host.intent = Some(command.intent.clone());
            }
        }
    }

    fn handle_host_accepted(&mut self, name: &HostName, command: HostCommand, now: Moment) {
        let duration = match command.intent {
            HostIntent::Maintain(_) => self.settings.maintain_time,
            HostIntent::Move(_) => self.settings.move_time,
        };
        if let Some(wave) = command.wave() {
            self.record_maintenance_started(wave, name);
        }
        let Some(host) = self.hosts.get_mut(name) else {
            // Until the host is listed, it counts as unavailable.
            if let Some(command) = self.host_commands.get_mut(name) {
                command.progress = CommandProgress::InDoubt;
                command.first_issued_at = now + duration;
            }
            return;
        };
        host.intent = None;
        host.terminated_worker = command.worker.clone();
        if host.entry.worker == command.worker {
            host.entry.worker = None;
        }
        host.not_back_before = now + duration;
        host.unavailable_until = host.not_back_before + HOST_LIST_LAG;
        match command.intent {
            HostIntent::Maintain(_) => host.entry.state = HostState::InMaintenance,
            HostIntent::Move(pool) => {
                host.entry.state = HostState::Moving;
                host.entry.pool = pool;
            }
        }
        if let Some(worker) = command.worker {
            self.remove_runs_on(&worker, LossCause::HostCommanded, now);
            if let Some(removed) = self.remove_worker(&worker) {
                self.terminated_workers.insert(worker, removed.registration);
            }
        }
    }

    /// Uses a worker again that was taken for terminated, since its host is in service with it: the
    /// command had been carried out before, and the worker is the one that the host has had since.
    pub(crate) fn restore_terminated_worker(&mut self, id: &WorkerId, now: Moment) {
        if let Some(registration) = self.terminated_workers.remove(id) {
            self.log_decision("worker back", id, "its host is in service with it".to_owned());
            self.update_worker(registration, Duration::ZERO, now);
        }
    }

    /// Returns the recent commands to hosts if some of them are not stored yet. A successor waits
    /// for the host lease of each to expire before it gives the host a command of its own.
    pub(crate) fn changed_host_commands(&mut self, now: Moment) -> Option<Vec<HostCommandRow>> {
        let lease = self.settings.host_lease;
        let is_unstored =
            |command: &&mut HostCommand| command.progress == CommandProgress::Unstored;
        let mut has_new = false;
        // A command that has waited to be stored is sent from now on.
        for command in self.host_commands.values_mut().filter(is_unstored) {
            command.issued_at = now;
            has_new = true;
        }
        if !has_new {
            return None;
        }
        self.host_commands.retain(|_, command| {
            command.is_unsettled() || now.saturating_sub(command.issued_at) <= lease
        });
        let rows = self.host_commands.iter().map(|(host, command)| HostCommandRow {
            host: host.clone(),
            at_ms: self.unix_ms(command.issued_at),
            intent: (command.progress != CommandProgress::Refused).then(|| command.intent.clone()),
        });
        Some(rows.collect())
    }

    /// Sends the commands to hosts that are now stored.
    pub(crate) fn handle_host_commands_stored(&mut self, rows: &[HostCommandRow]) {
        for row in rows {
            let Some(command) = self.host_commands.get_mut(&row.host) else {
                continue;
            };
            if command.progress != CommandProgress::Unstored {
                continue;
            }
            // Another worker may have units by now.
            let host = self.hosts.get(&row.host);
            if host.is_some_and(|host| host.entry.worker != command.worker) {
                command.end_attempt();
                continue;
            }
            command.progress = CommandProgress::Sent;
            let host = row.host.clone();
            self.actions.push(match command.intent.clone() {
                HostIntent::Maintain(wave) => Action::MaintainHost { host, wave },
                HostIntent::Move(pool) => Action::MoveHost { host, pool },
            });
        }
    }

    /// Restores the commands of the previous owner to hosts.
    pub fn restore_host_commands(&mut self, rows: Vec<HostCommandRow>, now: Moment) {
        for row in rows {
            // The clocks of the two nodes may differ, but a command cannot have been given in the
            // future.
            let issued_at = self.moment_of(row.at_ms).min(now);
            let allowed_at =
                issued_at.max(now.saturating_sub(CLOCK_SKEW_MAX)) + self.settings.host_lease;
            self.host_no_command_before.insert(row.host.clone(), allowed_at + CLOCK_SKEW_MAX);
            let Some(intent) = row.intent else {
                continue;
            };
            let command = HostCommand {
                intent,
                worker: None,
                issued_at,
                first_issued_at: now,
                progress: CommandProgress::InDoubt,
                has_unanswered_attempt: true,
            };
            self.host_commands.insert(row.host, command);
        }
    }
}
