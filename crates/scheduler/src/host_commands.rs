//! Commands that move or maintain hosts.
//!
//! A command is stored before it is sent, so that a successor knows of it. It is meant for the worker
//! that the host has when the command is decided. The platform also accepts a command that it
//! carried out before, so the reply tells nothing about a worker that the host has had since then.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::HostName;
use crate::Moment;
use crate::WorkerId;
use crate::hosts::HostIntent;
use crate::messages::Action;
use crate::messages::HostReply;
use crate::messages::HostState;
use crate::messages::LossCause;
use crate::state::Scheduler;

/// Time before a command to a host is sent again after it failed.
const COMMAND_RETRY_BACKOFF: Duration = Duration::from_millis(700);
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
}

/// The last command that was given to a host.
#[derive(Clone, Debug)]
pub(crate) struct HostCommand {
    pub intent: HostIntent,
    /// Worker that the command terminates; none if the host has none.
    worker: Option<WorkerId>,
    /// When it was decided or, once it is stored, sent.
    issued_at: Moment,
    pub progress: CommandProgress,
}

/// What has become of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandProgress {
    /// It has to be stored before it is sent.
    Unstored,
    /// It was sent and waits for a reply.
    Sent,
    /// It was answered, or the time for that has passed.
    Ended,
}

impl Scheduler {
    /// Decides on a command to a host, which is sent once it is stored.
    pub(crate) fn issue_host_command(&mut self, name: &HostName, intent: HostIntent, now: Moment) {
        let worker = self.hosts.get(name).and_then(|host| self.worker_of(host));
        let progress = CommandProgress::Unstored;
        let command = HostCommand { intent, worker, issued_at: now, progress };
        self.host_commands.insert(name.clone(), command);
    }

    /// Returns true if a command to a host waits to be stored or for a reply.
    pub(crate) fn is_command_pending(&self, name: &HostName) -> bool {
        let command = self.host_commands.get(name);
        command.is_some_and(|command| command.progress != CommandProgress::Ended)
    }

    /// Handles the result of a command to a host.
    pub fn handle_host_reply(&mut self, name: &HostName, reply: HostReply, now: Moment) {
        let Some(command) = self.host_commands.get_mut(name) else {
            return;
        };
        command.progress = CommandProgress::Ended;
        let command = command.clone();
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        host.no_command_before = now + COMMAND_RETRY_BACKOFF;
        match reply {
            HostReply::Accepted => self.handle_host_accepted(name, command, now),
            HostReply::Fenced => self.is_fenced = true,
            HostReply::Invalid => host.intent = None,
            // The command may already have taken effect; the next list of hosts shows it.
            HostReply::Busy | HostReply::Refused | HostReply::Unknown => {}
        }
    }

    fn handle_host_accepted(&mut self, name: &HostName, command: HostCommand, now: Moment) {
        let (move_time, maintain_time) = (self.settings.move_time, self.settings.maintain_time);
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        host.intent = None;
        host.terminated_worker = command.worker.clone();
        if host.entry.worker == command.worker {
            host.entry.worker = None;
        }
        match command.intent {
            HostIntent::Maintain(wave) => {
                host.entry.state = HostState::InMaintenance;
                host.unavailable_until = now + maintain_time + HOST_LIST_LAG;
                self.record_maintenance_started(wave, name);
            }
            HostIntent::Move(pool) => {
                host.entry.state = HostState::Moving;
                host.entry.pool = pool;
                host.unavailable_until = now + move_time + HOST_LIST_LAG;
            }
        }
        if let Some(worker) = command.worker {
            self.remove_runs_on(&worker, LossCause::HostCommanded, now);
            if let Some(removed) = self.remove_worker(&worker) {
                self.terminated_workers.insert(worker, removed.registration.incarnation_started_ms);
            }
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
            command.progress != CommandProgress::Ended
                || now.saturating_sub(command.issued_at) <= lease
        });
        let rows = self.host_commands.iter().map(|(host, command)| HostCommandRow {
            host: host.clone(),
            at_ms: self.unix_ms(command.issued_at),
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
                command.progress = CommandProgress::Ended;
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

    /// Restores the recent commands of the previous owner to hosts.
    pub fn restore_host_commands(&mut self, rows: Vec<HostCommandRow>, now: Moment) {
        for row in rows {
            // The clocks of the two nodes may differ, but a command cannot have been given in the
            // future.
            let issued_at = self.moment_of(row.at_ms).min(now);
            let allowed_at =
                issued_at.max(now.saturating_sub(CLOCK_SKEW_MAX)) + self.settings.host_lease;
            self.host_no_command_before.insert(row.host, allowed_at + CLOCK_SKEW_MAX);
        }
    }
}
