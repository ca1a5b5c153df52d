//! Maintenance waves: each of some hosts is to be maintained in time, not too many at once.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::HostName;
use crate::Moment;
use crate::WaveId;
use crate::hosts::Host;
use crate::hosts::HostIntent;
use crate::messages::Action;
use crate::messages::HostState;
use crate::messages::Wave;
use crate::messages::WaveState;
use crate::state::Scheduler;

/// Time in which a host is emptied, as it is planned.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Hosts that are emptied ahead of those that may be down.
const DRAINED_AHEAD_MAX: usize = 2;

/// What is stored of a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRow {
    /// Hosts whose maintenance has begun, sorted.
    #[serde(rename = "begun")]
    pub started_hosts: Vec<HostName>,
    /// When an owner learnt of it, in milliseconds since the Unix epoch.
    #[serde(rename = "seen_ms")]
    pub first_seen_ms: u64,
}

/// Progress of a wave.
#[derive(Clone, Debug)]
pub struct WaveProgress {
    /// As operators asked for it.
    pub wave: Wave,
    /// What is stored of it.
    pub row: WaveRow,
    /// That has changed since it was last handed out to be stored.
    pub is_dirty: bool,
}

impl Scheduler {
    /// Takes in the waves that operators ask for.
    pub fn set_waves(&mut self, waves: Vec<Wave>, now: Moment) {
        let first_seen_ms = self.unix_ms(now);
        for wave in waves {
            let new = || WaveProgress {
                wave: wave.clone(),
                row: WaveRow { started_hosts: Vec::new(), first_seen_ms },
                is_dirty: true,
            };
            self.waves.entry_or(wave.id, new).wave = wave.clone();
        }
    }

    /// Takes in what is stored of a wave.
    pub fn restore_wave(&mut self, id: WaveId, row: WaveRow) {
        let wave = Wave { id, hosts: Vec::new(), duration_ms: 0, unavailable_hosts_max: 0 };
        self.waves.insert(id, WaveProgress { wave, row, is_dirty: false });
    }

    /// True if the hosts of a wave that are left need about all the time that is left.
    pub(crate) fn is_wave_urgent(&self, id: WaveId, now: Moment) -> bool {
        let Some(progress) = self.waves.get(&id) else {
            return false;
        };
        let due = self.moment_of(progress.row.first_seen_ms + progress.wave.duration_ms);
        let rounds = self
            .remaining_hosts(progress)
            .len()
            .div_ceil(progress.wave.unavailable_hosts_max.max(1));
        let needed = (self.settings.maintain_time + DRAIN_TIME) * rounds as u32;
        now + needed >= due
    }

    /// Decides which hosts of the waves are to be maintained next.
    pub(crate) fn plan_waves(&mut self, now: Moment) {
        let ids: Vec<WaveId> = self.waves.iter().map(|(id, _)| *id).collect();
        for id in ids {
            self.plan_wave(id, now);
        }
    }

    fn plan_wave(&mut self, id: WaveId, now: Moment) {
        let Some(progress) = self.waves.get(&id) else {
            return;
        };
        if progress.wave.hosts.is_empty() {
            return;
        }
        let remaining: Vec<HostName> = self.remaining_hosts(progress);
        let is_completed = remaining.is_empty() && self.has_host_list;
        let state = if is_completed { WaveState::Completed } else { WaveState::Running };
        self.actions.push(Action::WaveStatus { wave: id, state });
        let free_slots = (progress.wave.unavailable_hosts_max + DRAINED_AHEAD_MAX)
            .saturating_sub(self.hosts_in_progress(id));
        let mut candidates: Vec<(usize, u64, HostName)> = Vec::new();
        for name in remaining {
            let Some(host) = self.hosts.get(&name) else {
                continue;
            };
            if host.is_available(now) {
                let (long_running, work) = self.host_load(host);
                candidates.push((long_running, work, name));
            }
        }
        candidates.sort();
        for (_, _, name) in candidates.into_iter().take(free_slots) {
            if let Some(host) = self.hosts.get_mut(&name) {
                host.intent = Some(HostIntent::Maintain(id));
            }
        }
    }

    /// Hosts of a wave whose maintenance has not begun.
    fn remaining_hosts(&self, progress: &WaveProgress) -> Vec<HostName> {
        let stays = |name: &&HostName| self.hosts.contains(*name);
        let started_hosts =
            |name: &HostName| progress.row.started_hosts.binary_search(name).is_ok();
        let hosts = progress.wave.hosts.iter();
        hosts.filter(stays).filter(|name| !started_hosts(name)).cloned().collect()
    }

    /// Hosts that are being emptied or maintained for a wave.
    fn hosts_in_progress(&self, id: WaveId) -> usize {
        let wave = self.waves.get(&id).map(|progress| &progress.wave);
        let is_of_wave = |name: &HostName| wave.is_some_and(|wave| wave.contains_host(name));
        let is_busy = |name: &HostName, host: &Host| {
            host.intent == Some(HostIntent::Maintain(id))
                || (host.entry.state == HostState::InMaintenance && is_of_wave(name))
        };
        self.hosts.iter().filter(|(name, host)| is_busy(name, host)).count()
    }

    /// Hosts that are down for a wave, or may be.
    fn unavailable_hosts(&self, id: WaveId) -> usize {
        let Some(wave) = self.waves.get(&id).map(|progress| &progress.wave) else {
            return 0;
        };
        let is_down = |host: &Host| {
            (host.has_pending_command && host.intent == Some(HostIntent::Maintain(id)))
                || host.entry.state == HostState::InMaintenance
        };
        let hosts = self.hosts.iter().filter(|(name, _)| wave.contains_host(name));
        hosts.filter(|(_, host)| is_down(host)).count()
    }

    /// True if the order to a host may go out as far as its goal is concerned.
    pub(crate) fn may_command(&self, intent: &HostIntent) -> bool {
        match intent {
            HostIntent::Move(_) => true,
            HostIntent::Maintain(id) => {
                let unavailable_hosts_max =
                    self.waves.get(id).map_or(0, |progress| progress.wave.unavailable_hosts_max);
                self.unavailable_hosts(*id) < unavailable_hosts_max
            }
        }
    }

    /// The maintenance of a host has begun.
    pub(crate) fn record_maintenance_started(&mut self, id: WaveId, name: &HostName) {
        let Some(progress) = self.waves.get_mut(&id) else {
            return;
        };
        if let Err(index) = progress.row.started_hosts.binary_search(name) {
            progress.row.started_hosts.insert(index, name.clone());
            progress.is_dirty = true;
        }
    }

    /// Lasting units and processors at work on a host.
    fn host_load(&self, host: &Host) -> (usize, u64) {
        let Some(worker) = self.worker_of(host).and_then(|id| self.workers.get(&id)) else {
            return (0, 0);
        };
        let long_running = worker.runs.iter().filter(|key| self.is_long_running(key)).count();
        (long_running, worker.reserved.cpu_millis)
    }
}
