//! Hosts that count as absent in what pools hold: those of evacuated zones.
//!
//! Pools are refilled from elsewhere, and absent hosts are neither moved nor given to other pools.

use crate::Moment;
use crate::capacity::PoolLoads;
use crate::hosts::Host;
use crate::hosts::HostIntent;
use crate::job::Resources;
use crate::state::Scheduler;
use crate::worker::Worker;

impl Scheduler {
    /// Returns true if a host counts as absent in what its pool holds.
    pub(crate) fn is_absent(&self, host: &Host) -> bool {
        host.zone.as_ref().is_some_and(|zone| self.is_evacuated(zone))
    }

    /// Returns true if a move may be planned for a host.
    pub(crate) fn may_move(&self, host: &Host, now: Moment) -> bool {
        host.is_available(now) && !self.is_absent(host)
    }

    /// Cancels the moves of hosts that are absent now, unless the command was already decided.
    pub(crate) fn cancel_moves_of_absent_hosts(&mut self) {
        let is_cancelled = |host: &&Host| {
            matches!(host.intent, Some(HostIntent::Move(_)))
                && !host.has_pending_command
                && self.is_absent(host)
        };
        let cancelled = self.hosts.values().filter(is_cancelled);
        let cancelled: Vec<_> = cancelled.map(|host| host.entry.name.clone()).collect();
        for name in cancelled {
            if let Some(host) = self.hosts.get_mut(&name) {
                host.intent = None;
            }
        }
    }

    /// Returns the resources on a worker that its pool goes on to need. Finite units in an evacuated
    /// zone finish there.
    pub(crate) fn lasting_reservation(&self, worker: &Worker) -> Resources {
        if !self.is_evacuated(&worker.registration.zone) {
            return worker.reserved;
        }
        let long_running = worker.runs.iter().filter(|key| self.is_long_running(key));
        let runs = long_running.filter_map(|key| self.unit(key)?.run.as_ref());
        runs.fold(Resources::default(), |sum, run| sum.plus(&run.reservation))
    }
}

/// Reduces the baselines of all pools in proportion to the hosts that are left, so that their sum
/// stays within that number.
pub(crate) fn scale_baselines(loads: &mut PoolLoads) {
    let absent: usize = loads.values().map(|load| load.absent_hosts).sum();
    let present: usize = loads.values().map(|load| load.hosts).sum();
    if absent == 0 {
        return;
    }
    for load in loads.values_mut() {
        load.baseline_hosts = load.baseline_hosts * present / (present + absent);
    }
}
