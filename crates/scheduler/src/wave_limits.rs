//! Limits of waves on the number of hosts that are unavailable at the same time.
//!
//! Operators may lower a limit while commands are in doubt or being stored. Of these, no more are
//! sent than the lowered limit allows. Hosts that are unavailable for certain come first, then those
//! whose commands are in doubt, and then those whose first commands are being stored. Among commands
//! in doubt, the one that was stored last comes first: a successor knows the times from the rows, so
//! it repeats the command that its predecessor has repeated, and not another one beside it.

use std::cmp::Reverse;

use crate::HostName;
use crate::Moment;
use crate::WaveId;
use crate::host_commands::HostCommand;
use crate::hosts::HostIntent;
use crate::messages::HostState;
use crate::state::Scheduler;

/// How certain it is that a host is unavailable, most certain first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Certainty {
    /// It is in maintenance, or a command to it is on its way.
    Certain,
    /// An earlier attempt at the command to it may be carried out.
    InDoubt,
    /// The first command to it is being stored.
    Unsent,
}

/// Position of an unavailable host in the order in which hosts count against a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank<'a> {
    certainty: Certainty,
    stored_at: Reverse<Moment>,
    host: &'a HostName,
}

impl Scheduler {
    /// Returns the number of hosts of a wave that are in maintenance, about to be, or may be.
    pub fn unavailable_hosts(&self, id: WaveId) -> usize {
        self.unavailable(id).count()
    }

    /// Returns the limit of a wave on unavailable hosts; 0 for an unknown wave.
    pub fn unavailable_hosts_max(&self, id: WaveId) -> usize {
        self.waves.get(&id).map_or(0, |progress| progress.wave.unavailable_hosts_max)
    }

    /// Returns true if the limit on unavailable hosts allows a new command for this intent.
    pub(crate) fn may_command(&self, intent: &HostIntent) -> bool {
        match intent {
            HostIntent::Move(_) => true,
            HostIntent::Maintain(id) => {
                self.unavailable_hosts(*id) < self.unavailable_hosts_max(*id)
            }
        }
    }

    /// Returns true if the limit still allows the command that a host has been given.
    pub(crate) fn may_send_command(&self, name: &HostName, intent: &HostIntent) -> bool {
        match intent {
            HostIntent::Move(_) => true,
            HostIntent::Maintain(id) => {
                let rank = self.rank(name);
                let earlier = self.unavailable(*id).filter(|host| self.rank(host) < rank);
                earlier.count() < self.unavailable_hosts_max(*id)
            }
        }
    }

    /// Returns the hosts of a wave that are in maintenance, about to be, or may be.
    fn unavailable(&self, id: WaveId) -> impl Iterator<Item = &HostName> {
        let wave = self.waves.get(&id).map(|progress| &progress.wave);
        let hosts = wave.map(|wave| wave.hosts.as_slice()).unwrap_or_default();
        // Maintenance for another wave makes a host unavailable as well.
        let may_be_maintained =
            |name: &HostName| self.host_commands.get(name).is_some_and(HostCommand::may_maintain);
        let unavailable = hosts
            .iter()
            .filter(move |name| self.is_in_maintenance(name) || may_be_maintained(name));
        let is_removed = move |name: &HostName, command: &HostCommand| {
            wave.is_some_and(|wave| !wave.contains_host(name)) && command.may_maintain_for(id)
        };
        let commands = self.host_commands.iter();
        let removed = commands.filter(move |(name, command)| is_removed(name, command));
        unavailable.chain(removed.map(|(name, _)| name))
    }

    fn rank<'a>(&self, host: &'a HostName) -> Rank<'a> {
        let command = self.host_commands.get(host).filter(|_| !self.is_in_maintenance(host));
        let certainty = command.map_or(Certainty::Certain, HostCommand::certainty);
        let stored_at = command.map(|command| command.issued_at).unwrap_or_default();
        Rank { certainty, stored_at: Reverse(stored_at), host }
    }

    fn is_in_maintenance(&self, name: &HostName) -> bool {
        let host = self.hosts.get(name);
        host.is_some_and(|host| host.entry.state == HostState::InMaintenance)
    }
}
