//! Commands that move or maintain hosts, and what is known of their outcomes.
//!
//! A command is stored before it is sent, so that a successor knows of it. It is meant for the worker
//! that the host has when the command is decided. The platform also accepts a command that it
//! carried out before, so the reply tells nothing about a worker that the host has had since then.
//!
//! A command without a reply may have been carried out, and may still be, seconds later. It stays in
//! doubt, and counts against the limit of its wave, until its outcome is known: it is repeated with
//! a higher token until it is answered, or the list of hosts shows that it was carried out. A
//! successor takes stored commands without an outcome for in doubt.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::HostName;
use crate::Moment;
use crate::WaveId;
use crate::WorkerId;
use crate::hosts::Host;
use crate::hosts::HostIntent;
use crate::messages::Action;
use crate::messages::HostEntry;
use crate::messages::HostReply;
use crate::messages::HostState;
use crate::messages::WorkerRegistration;
use crate::run_end::RunEnd;
use crate::settings::Settings;
use crate::state::Scheduler;
use crate::wave_limits::Certainty;

/// Time before a command to a host is sent again after it failed.
const COMMAND_RETRY_BACKOFF: Duration = Duration::from_millis(700);
/// Time for which the platform's list may be out of date after a host has accepted a command.
pub(crate) const HOST_LIST_LAG: Duration = Duration::from_millis(1_500);
/// Maximum difference between the clocks of two nodes.
const CLOCK_SKEW_MAX: Duration = Duration::from_millis(500);

/// A command to a host, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostCommandRow {
    /// Host that the command was given to.
    pub host: HostName,
    /// Time of the command in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What the host is to do; none in rows of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub intent: Option<HostIntent>,
    /// Outcome of the command; none if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<CommandOutcome>,
}

/// Outcome of a command to a host, as it is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommandOutcome {
    /// It was carried out, and the host has not been seen in service since.
    CarriedOut,
    /// It was not carried out, or the host is back.
    Settled,
}

/// The last command that was given to a host.
#[derive(Clone, Debug)]
pub(crate) struct HostCommand {
    /// What the host is to do; none if the previous owner's row does not tell.
    pub intent: Option<HostIntent>,
    /// Worker that the command terminates; none if the host has none.
    pub worker: Option<WorkerId>,
    /// When the last attempt was decided or, once it is being stored, when it was taken for that.
    pub issued_at: Moment,
    /// Lists that were requested before this time don't show what has become of the command.
    lists_count_from: Moment,
    /// When the host is back at the latest, if the command was carried out.
    back_by: Moment,
    progress: CommandProgress,
    /// An earlier attempt got no reply, and no later reply has told its outcome.
    has_unanswered_attempt: bool,
    /// Since when all attempts were answered that the host is not in service.
    busy_since: Option<Moment>,
}

/// What has become of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommandProgress {
    /// It has to be stored before it is sent.
    Unstored,
    /// It is part of the batch that is being committed.
    Storing,
    /// It was sent and waits for a reply.
    Sent,
    /// It got no reply and is to be repeated.
    InDoubt,
    /// It was carried out, and the host has not been seen in service since.
    CarriedOut,
    /// It was not carried out and won't be, or the host is back.
    Settled,
}

impl HostCommand {
    /// Returns true if the command waits to be stored or for a reply.
    fn is_pending(&self) -> bool {
        matches!(
            self.progress,
            CommandProgress::Unstored | CommandProgress::Storing | CommandProgress::Sent
        )
    }

    /// Returns true if the command may still be carried out.
    fn may_be_carried_out(&self) -> bool {
        self.is_pending() || self.progress == CommandProgress::InDoubt
    }

    /// Returns true if the command may keep its host out of service, now or later.
    pub fn is_open(&self) -> bool {
        self.progress != CommandProgress::Settled
    }

    /// Returns the wave of a command for maintenance.
    fn wave(&self) -> Option<WaveId> {
        match &self.intent {
            Some(HostIntent::Maintain(wave)) => Some(*wave),
            _ => None,
        }
    }

    /// Returns true if the host may be in maintenance, now or later.
    pub fn may_maintain(&self) -> bool {
        self.is_open() && !matches!(self.intent, Some(HostIntent::Move(_)))
    }

    /// Returns true if the host may be in maintenance for a wave, now or later.
    pub fn may_maintain_for(&self, wave: WaveId) -> bool {
        self.is_open() && self.wave() == Some(wave)
    }

    /// Returns how certain it is that an open command makes its host unavailable.
    pub fn certainty(&self) -> Certainty {
        match self.progress {
            CommandProgress::InDoubt => Certainty::InDoubt,
            CommandProgress::Unstored | CommandProgress::Storing => {
                match self.has_unanswered_attempt {
                    true => Certainty::InDoubt,
                    false => Certainty::Unsent,
                }
            }
            _ => Certainty::Certain,
        }
    }

    /// Returns true if the listed state of the host shows that the command was carried out.
    fn is_shown_by(&self, entry: &HostEntry) -> bool {
        match &self.intent {
            Some(HostIntent::Maintain(_)) => entry.state == HostState::InMaintenance,
            Some(HostIntent::Move(pool)) => {
                entry.state == HostState::Moving
                    || (entry.state == HostState::Up && entry.pool == *pool)
            }
            None => false,
        }
    }

    /// Returns what a list that was requested at `requested_at` shows of the command, with the
    /// listed state of the host; `None` if it shows nothing new.
    fn progress_shown_by(
        &self,
        entry: Option<&HostEntry>,
        requested_at: Moment,
    ) -> Option<CommandProgress> {
        if requested_at < self.lists_count_from {
            return None;
        }
        let state = entry.map(|entry| entry.state);
        let is_away = matches!(state, Some(HostState::InMaintenance | HostState::Moving));
        match self.progress {
            CommandProgress::CarriedOut => {
                // A list may leave out a host that is still out of service.
                let is_back = match entry {
                    Some(_) => !is_away,
                    None => requested_at >= self.back_by,
                };
                is_back.then_some(CommandProgress::Settled)
            }
            CommandProgress::InDoubt => {
                // A host that is not listed, or in service, may still carry out the command.
                let entry = entry?;
                let is_answered =
                    self.busy_since.is_some_and(|at| requested_at >= at + HOST_LIST_LAG);
                match (self.is_shown_by(entry), is_away) {
                    (true, true) => Some(CommandProgress::CarriedOut),
                    (true, false) => Some(CommandProgress::Settled),
                    // It is out of service for another reason, and has refused all attempts.
                    (false, _) if entry.state == HostState::Down && is_answered => {
                        Some(CommandProgress::Settled)
                    }
                    (false, _) => None,
                }
            }
            _ => None,
        }
    }

    /// Ends an attempt that was not carried out.
    fn end_attempt(&mut self) {
        self.progress = match self.has_unanswered_attempt {
            true => CommandProgress::InDoubt,
            false => CommandProgress::Settled,
        };
    }

    fn outcome(&self) -> Option<CommandOutcome> {
        match self.progress {
            CommandProgress::CarriedOut => Some(CommandOutcome::CarriedOut),
            CommandProgress::Settled => Some(CommandOutcome::Settled),
            _ => None,
        }
    }
}

impl Settings {
    /// Returns how long a host is out of service when it carries out a command.
    fn absence_of(&self, command: &HostCommand) -> Duration {
        match command.wave() {
            Some(_) => self.maintain_time,
            None => self.move_time,
        }
    }
}

impl Scheduler {
    /// Decides on a command to a host, or on its repetition, which is sent once it is stored.
    pub(crate) fn issue_host_command(&mut self, name: &HostName, intent: HostIntent, now: Moment) {
        let worker = self.hosts.get(name).and_then(|host| self.worker_of(host));
        let before = self.host_commands.get(name).filter(|command| command.may_be_carried_out());
        let lists_count_from = now + HOST_LIST_LAG;
        let command = HostCommand {
            intent: Some(intent),
            worker,
            issued_at: now,
            lists_count_from: before.map_or(lists_count_from, |before| before.lists_count_from),
            back_by: Moment::MAX,
            progress: CommandProgress::Unstored,
            has_unanswered_attempt: before.is_some_and(|before| before.has_unanswered_attempt),
            busy_since: before.and_then(|before| before.busy_since),
        };
        self.host_commands.insert(name.clone(), command);
    }

    /// Returns true if a command may keep a host out of service, now or later.
    pub(crate) fn has_open_command(&self, name: &HostName) -> bool {
        self.host_commands.get(name).is_some_and(HostCommand::is_open)
    }

    /// Returns true if a command with this intent is in doubt and may be repeated.
    pub(crate) fn may_repeat_command(&self, name: &HostName, intent: &HostIntent) -> bool {
        let command = self.host_commands.get(name);
        let is_in_doubt = command.is_some_and(|command| {
            command.progress == CommandProgress::InDoubt && command.intent.as_ref() == Some(intent)
        });
        // A host that is down refuses all attempts.
        let is_down = command.is_some_and(|command| command.busy_since.is_some())
            && self.hosts.get(name).is_some_and(|host| host.entry.state == HostState::Down);
        is_in_doubt && !is_down && self.may_send_command(name, intent)
    }

    /// Returns true if a command may terminate a worker that has registered with its host.
    pub(crate) fn may_be_terminated(&self, registration: &WorkerRegistration) -> bool {
        let command = registration.host.as_ref().and_then(|host| self.host_commands.get(host));
        command.is_some_and(HostCommand::may_be_carried_out)
    }

    /// Handles the result of a command to a host.
    pub fn handle_host_reply(&mut self, name: &HostName, reply: HostReply, now: Moment) {
        let Some(command) = self.host_commands.get_mut(name) else {
            return;
        };
        self.has_unstored_outcome = true;
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
                command.progress = CommandProgress::Settled;
                if let Some(host) = self.hosts.get_mut(name) {
                    host.intent = None;
                }
            }
            HostReply::Busy => {
                command.busy_since = command.busy_since.or(Some(now));
                command.end_attempt();
            }
            HostReply::Refused => command.end_attempt(),
            HostReply::Unknown => {
                command.has_unanswered_attempt = true;
                command.busy_since = None;
                command.end_attempt();
            }
        }
    }

    fn handle_host_accepted(&mut self, name: &HostName, command: HostCommand, now: Moment) {
        let back_at = now + self.settings.absence_of(&command);
        if let Some(stored) = self.host_commands.get_mut(name) {
            stored.lists_count_from = back_at;
            stored.back_by = back_at;
        }
        if let Some(wave) = command.wave() {
            self.record_maintenance_started(wave, name);
        }
        if let Some(host) = self.hosts.get_mut(name) {
            host.handle_command(&command, back_at);
        }
        if let Some(worker) = command.worker {
            self.remove_runs_on(&worker, RunEnd::host_commanded(), now);
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

    /// Learns from the list of hosts what has become of commands. `listed` are the listed hosts,
    /// sorted by name.
    pub(crate) fn settle_host_commands(
        &mut self,
        listed: &[HostEntry],
        requested_at: Moment,
        now: Moment,
    ) {
        let mut maintained = Vec::new();
        for (name, command) in self.host_commands.iter_mut() {
            let progress = command.wave().and_then(|wave| self.waves.get(&wave));
            let has_started = progress.is_some_and(|progress| progress.row.has_started(name));
            if has_started && command.progress == CommandProgress::InDoubt {
                command.progress = CommandProgress::CarriedOut;
                command.back_by = now + self.settings.absence_of(command);
            }
            let index = listed.binary_search_by(|entry| entry.name.cmp(name)).ok();
            let entry = index.map(|index| &listed[index]);
            let Some(progress) = command.progress_shown_by(entry, requested_at) else {
                continue;
            };
            let is_carried_out = entry.is_some_and(|entry| command.is_shown_by(entry));
            if let Some(wave) = command.wave().filter(|_| is_carried_out) {
                maintained.push((wave, name.clone()));
            }
            if progress == CommandProgress::CarriedOut {
                // It was carried out before the list arrived.
                command.back_by = now + self.settings.absence_of(command);
            }
            command.progress = progress;
            command.lists_count_from = requested_at;
            self.has_unstored_outcome = true;
            if let Some(host) = self.hosts.get_mut(name) {
                host.intent = None;
            }
        }
        for (wave, name) in maintained {
            self.record_maintenance_started(wave, &name);
        }
    }

    /// Plans the repetition of the commands in doubt that the previous owner has given, once a list
    /// that is recent enough has not shown their outcome.
    pub(crate) fn plan_restored_commands(&mut self, requested_at: Moment) {
        for (name, command) in self.host_commands.iter() {
            if command.progress != CommandProgress::InDoubt
                || requested_at < command.lists_count_from
            {
                continue;
            }
            let not_listed = || Host::new(HostEntry::unlisted(name.clone()));
            let host = self.hosts.entry_or(name.clone(), not_listed);
            if host.intent.is_none() {
                host.intent = command.intent.clone();
            }
        }
    }

    /// Returns true if commands to hosts have to be stored before they are sent.
    pub(crate) fn has_unstored_commands(&self) -> bool {
        let mut commands = self.host_commands.values();
        commands.any(|command| command.progress == CommandProgress::Unstored)
    }

    /// Returns the recent commands to hosts, and the open ones, to be stored. A successor waits for
    /// the host lease of each to expire before it gives the host a command of its own.
    pub(crate) fn host_commands_to_store(&mut self, now: Moment) -> Vec<HostCommandRow> {
        let lease = self.settings.host_lease;
        let is_unstored =
            |command: &&mut HostCommand| command.progress == CommandProgress::Unstored;
        // A command that has waited to be stored is sent from now on.
        for command in self.host_commands.values_mut().filter(is_unstored) {
            command.issued_at = now;
            command.progress = CommandProgress::Storing;
        }
        self.host_commands.retain(|_, command| {
            command.is_open() || now.saturating_sub(command.issued_at) <= lease
        });
        self.has_unstored_outcome = false;
        let rows = self.host_commands.iter().map(|(host, command)| HostCommandRow {
            host: host.clone(),
            at_ms: self.unix_ms(command.issued_at),
            intent: command.intent.clone(),
            outcome: command.outcome(),
        });
        rows.collect()
    }

    /// Sends the commands to hosts that are now stored.
    pub(crate) fn handle_host_commands_stored(&mut self, rows: &[HostCommandRow]) {
        for row in rows {
            let is_allowed =
                row.intent.as_ref().is_none_or(|intent| self.may_send_command(&row.host, intent));
            let Some(command) = self.host_commands.get_mut(&row.host) else {
                continue;
            };
            if command.progress != CommandProgress::Storing {
                continue;
            }
            // Another worker may have units by now, and operators may have lowered the limit.
            let host = self.hosts.get(&row.host);
            let has_other_worker = host.is_some_and(|host| host.entry.worker != command.worker);
            if has_other_worker || !is_allowed {
                command.end_attempt();
                continue;
            }
            command.progress = CommandProgress::Sent;
            let host = row.host.clone();
            self.actions.extend(command.intent.clone().map(|intent| match intent {
                HostIntent::Maintain(wave) => Action::MaintainHost { host, wave },
                HostIntent::Move(pool) => Action::MoveHost { host, pool },
            }));
        }
    }

    /// Restores the commands of the previous owner to hosts.
    pub fn restore_host_commands(&mut self, mut rows: Vec<HostCommandRow>, now: Moment) {
        rows.sort_by(|a, b| b.at_ms.cmp(&a.at_ms).then(a.host.cmp(&b.host)));
        let mut issued_max = now;
        for row in rows {
            // The clocks of the two nodes may differ, but a command cannot have been given in the
            // future. The commands stay in their order.
            let issued_at = self.moment_of(row.at_ms).min(issued_max);
            issued_max = issued_at.saturating_sub(Moment::from_millis(1));
            let allowed_at =
                issued_at.max(now.saturating_sub(CLOCK_SKEW_MAX)) + self.settings.host_lease;
            self.host_no_command_before.insert(row.host.clone(), allowed_at + CLOCK_SKEW_MAX);
            let progress = match (row.outcome, &row.intent) {
                (Some(CommandOutcome::Settled), _) => CommandProgress::Settled,
                (None, Some(_)) => CommandProgress::InDoubt,
                // A command that is not known can't be repeated. It counts until a list shows that
                // its host is not in maintenance.
                (Some(CommandOutcome::CarriedOut), _) | (None, None) => CommandProgress::CarriedOut,
            };
            let absence = self.settings.move_time.max(self.settings.maintain_time);
            let command = HostCommand {
                intent: row.intent,
                worker: None,
                issued_at,
                lists_count_from: now + HOST_LIST_LAG,
                back_by: now + absence + HOST_LIST_LAG,
                progress,
                has_unanswered_attempt: true,
                busy_since: None,
            };
            self.host_commands.insert(row.host, command);
        }
    }
}
