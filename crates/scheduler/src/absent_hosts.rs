//! Hosts that count as absent in what pools hold: those of evacuated zones, and those of zones that
//! are lost as a whole.
//!
//! Load: a zone loses its power or its network, with the nodes in it. Its workers are known to be
//! silent long before their leases expire. Pools are refilled from elsewhere, and absent hosts are
//! neither moved nor given to other pools.

use crate::Moment;
use crate::ZoneName;
use crate::capacity::PoolLoads;
use crate::hosts::Host;
use crate::hosts::HostIntent;
use crate::job::Resources;
use crate::messages::HostState;
use crate::sorted_map::SortedMap;
use crate::state::Scheduler;
use crate::worker::Worker;
use crate::worker_reports::FAILED_POLLS_MAX;

/// Minimum number of hosts of a zone that count as its loss if all are silent. Fewer may have
/// failed by chance.
const LOST_ZONE_HOSTS_MIN: usize = 3;

/// Hosts of a zone that are in service.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneHosts {
    listed: usize,
    /// Hosts with a worker that is not silent.
    live: usize,
}

impl Scheduler {
    /// Finds the zones all of whose workers are silent while others reply.
    pub(crate) fn find_lost_zones(&mut self, now: Moment) {
        // Polls of a lost zone fail before its workers are removed.
        let has_silent = self.workers.values().any(|worker| worker.failed_polls > 0);
        if self.lost_zones.is_empty() && !has_silent {
            return;
        }
        let mut zones: SortedMap<&ZoneName, ZoneHosts> = SortedMap::default();
        for host in self.hosts.values().filter(|host| host.entry.state == HostState::Up) {
            if let Some(zone) = &host.zone {
                let hosts = zones.entry_or(zone, ZoneHosts::default);
                hosts.listed += 1;
                hosts.live += usize::from(self.has_live_worker(host, now));
            }
        }
        let are_any_live = zones.values().any(|hosts| hosts.live > 0);
        let is_lost = |hosts: &ZoneHosts| {
            are_any_live && hosts.listed >= LOST_ZONE_HOSTS_MIN && hosts.live == 0
        };
        let lost = zones.iter().filter(|(_, hosts)| is_lost(hosts));
        let lost: Vec<ZoneName> = lost.map(|(zone, _)| (*zone).clone()).collect();
        if lost == self.lost_zones {
            return;
        }
        let before = std::mem::replace(&mut self.lost_zones, lost.clone());
        for zone in lost.iter().filter(|zone| !before.contains(zone)) {
            self.log_decision("zone lost", zone, "all its workers are silent".to_owned());
        }
        for zone in before.iter().filter(|zone| !lost.contains(zone)) {
            self.log_decision("zone back", zone, "a worker replies, or none is listed".to_owned());
        }
    }

    /// Returns true unless the worker of a host is known to be silent, or the host has lost it.
    fn has_live_worker(&self, host: &Host, now: Moment) -> bool {
        let worker = host.entry.worker.as_ref().and_then(|id| self.workers.get(id));
        worker.is_some_and(|worker| {
            let is_in_contact = worker.is_in_contact(self.settings.contact_max, now);
            let is_silent = worker.failed_polls >= FAILED_POLLS_MAX
                || (worker.failed_polls > 0 && !is_in_contact);
            worker.is_registered && !is_silent
        })
    }

    /// Returns true if a host counts as absent in what its pool holds.
    pub(crate) fn is_absent(&self, host: &Host) -> bool {
        host.zone.as_ref().is_some_and(|zone| {
            self.is_evacuated(zone) || self.lost_zones.binary_search(zone).is_ok()
        })
    }

    /// Returns true if a move may be planned for a host.
    pub(crate) fn may_move(&self, host: &Host, now: Moment) -> bool {
        host.is_available(now) && !self.is_absent(host) && !self.has_open_command(&host.entry.name)
    }

    /// Cancels the moves of hosts that are absent now, unless a command may be carried out.
    pub(crate) fn cancel_moves_of_absent_hosts(&mut self) {
        let is_cancelled = |host: &&Host| {
            matches!(host.intent, Some(HostIntent::Move(_)))
                && !self.has_open_command(&host.entry.name)
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

    /// Returns the resources on a worker that its pool goes on to need. Finite units in an
    /// evacuated zone finish there.
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
