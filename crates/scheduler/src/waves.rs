//! Maintenance waves: each of some hosts is to be maintained in time, not too many at once.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::HostName;
use crate::Moment;
use crate::WaveId;
use crate::hosts::Goal;
use crate::hosts::Host;
use crate::report::Action;
use crate::report::HostState;
use crate::report::Wave;
use crate::report::WaveState;
use crate::state::Scheduler;

/// Time in which a host is emptied, as it is planned.
const EMPTYING_TIME: Duration = Duration::from_millis(2_500);
/// Hosts that are emptied ahead of those that may be down.
const EMPTIED_AHEAD: usize = 2;

/// What is stored of a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRow {
    /// Hosts whose maintenance has begun, sorted.
    pub begun: Vec<HostName>,
    /// When an owner learnt of it, in milliseconds since the Unix epoch.
    pub seen_ms: u64,
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
        let seen_ms = self.unix_ms(now);
        for wave in waves {
            let new = || WaveProgress {
                wave: wave.clone(),
                row: WaveRow { begun: Vec::new(), seen_ms },
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
    pub(crate) fn is_wave_pressing(&self, id: WaveId, now: Moment) -> bool {
        let Some(progress) = self.waves.get(&id) else {
            return false;
        };
        let due = self.moment_of(progress.row.seen_ms + progress.wave.duration_ms);
        let rounds =
            self.hosts_left(progress).len().div_ceil(progress.wave.unavailable_hosts_max.max(1));
        let needed = (self.settings.maintain_time + EMPTYING_TIME) * rounds as u32;
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
        let left: Vec<HostName> = self.hosts_left(progress);
        let is_completed = left.is_empty() && self.hosts_listed;
        let state = if is_completed { WaveState::Completed } else { WaveState::Running };
        self.actions.push(Action::WaveStatus { wave: id, state });
        let room = (progress.wave.unavailable_hosts_max + EMPTIED_AHEAD)
            .saturating_sub(self.busy_with(id));
        let mut open: Vec<(usize, u64, HostName)> = Vec::new();
        for name in left {
            let Some(host) = self.hosts.get(&name) else {
                continue;
            };
            if host.is_free(now) {
                let (lasting, work) = self.load_of(host);
                open.push((lasting, work, name));
            }
        }
        open.sort();
        for (_, _, name) in open.into_iter().take(room) {
            if let Some(host) = self.hosts.get_mut(&name) {
                host.goal = Some(Goal::Maintain(id));
            }
        }
    }

    /// Hosts of a wave whose maintenance has not begun.
    fn hosts_left(&self, progress: &WaveProgress) -> Vec<HostName> {
        let stays = |name: &&HostName| self.hosts.contains(*name);
        let begun = |name: &HostName| progress.row.begun.binary_search(name).is_ok();
        let hosts = progress.wave.hosts.iter();
        hosts.filter(stays).filter(|name| !begun(name)).cloned().collect()
    }

    /// Hosts that are being emptied or maintained for a wave.
    fn busy_with(&self, id: WaveId) -> usize {
        let wave = self.waves.get(&id).map(|progress| &progress.wave);
        let is_of_wave = |name: &HostName| wave.is_some_and(|wave| wave.holds(name));
        let is_busy = |name: &HostName, host: &Host| {
            host.goal == Some(Goal::Maintain(id))
                || (host.entry.state == HostState::InMaintenance && is_of_wave(name))
        };
        self.hosts.iter().filter(|(name, host)| is_busy(name, host)).count()
    }

    /// Hosts that are down for a wave, or may be.
    fn down_for(&self, id: WaveId) -> usize {
        let Some(wave) = self.waves.get(&id).map(|progress| &progress.wave) else {
            return 0;
        };
        let is_down = |host: &Host| {
            (host.is_ordered && host.goal == Some(Goal::Maintain(id)))
                || host.entry.state == HostState::InMaintenance
        };
        let hosts = self.hosts.iter().filter(|(name, _)| wave.holds(name));
        hosts.filter(|(_, host)| is_down(host)).count()
    }

    /// True if the order to a host may go out as far as its goal is concerned.
    pub(crate) fn may_order(&self, goal: &Goal) -> bool {
        match goal {
            Goal::Move(_) => true,
            Goal::Maintain(id) => {
                let unavailable_hosts_max =
                    self.waves.get(id).map_or(0, |progress| progress.wave.unavailable_hosts_max);
                self.down_for(*id) < unavailable_hosts_max
            }
        }
    }

    /// The maintenance of a host has begun.
    pub(crate) fn wave_host_begun(&mut self, id: WaveId, name: &HostName) {
        let Some(progress) = self.waves.get_mut(&id) else {
            return;
        };
        if let Err(index) = progress.row.begun.binary_search(name) {
            progress.row.begun.insert(index, name.clone());
            progress.is_dirty = true;
        }
    }

    /// Lasting units and processors at work on a host.
    fn load_of(&self, host: &Host) -> (usize, u64) {
        let Some(worker) = self.worker_of(host).and_then(|id| self.workers.get(&id)) else {
            return (0, 0);
        };
        let lasting = worker.runs.iter().filter(|key| self.is_long_running(key)).count();
        (lasting, worker.used.cpu_millis)
    }
}
