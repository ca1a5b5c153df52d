//! Maintenance waves. Each one maintains a set of hosts within a given time, with a limit on how
//! many are unavailable at the same time.
//!
//! The queues of different pools have their peaks at different times, and a wave usually has more
//! time than it needs. While it has, it takes no hosts that a pool needs for its work.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::HostName;
use crate::Moment;
use crate::WaveId;
use crate::capacity::HostCounts;
use crate::capacity::PoolLoads;
use crate::hosts::Host;
use crate::hosts::HostIntent;
use crate::messages::Action;
use crate::messages::HostState;
use crate::messages::Wave;
use crate::messages::WaveState;
use crate::state::Scheduler;

/// Planned time for draining a host.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Number of hosts that are drained in advance, beyond those that may be unavailable.
const DRAINED_AHEAD_MAX: usize = 2;

/// A wave leaves out hosts that their pools need as long as it has this many times the time that
/// the remaining hosts take. Drains take longer than planned while workers are slow or silent.
const WAIT_FACTOR: u32 = 2;

/// Progress of a wave, as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRow {
    /// Hosts whose maintenance has started, sorted.
    #[serde(rename = "begun")]
    pub started_hosts: Vec<HostName>,
    /// When an owner first saw the wave, in milliseconds since the Unix epoch. Its duration counts
    /// from then.
    #[serde(rename = "seen_ms")]
    pub first_seen_ms: u64,
}

impl WaveRow {
    /// Returns true if the maintenance of a host has started.
    pub(crate) fn has_started(&self, name: &HostName) -> bool {
        self.started_hosts.binary_search(name).is_ok()
    }
}

/// A wave and its progress.
#[derive(Clone, Debug)]
pub struct WaveProgress {
    /// The wave as operators have requested it.
    pub wave: Wave,
    /// Progress that is stored.
    pub row: WaveRow,
    /// `row` has changed since it was last added to a batch.
    pub is_dirty: bool,
}

impl Scheduler {
    /// Adds or updates the waves that operators have requested.
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

    /// Restores the stored progress of a wave. Its hosts and limits are unknown until
    /// [`Scheduler::set_waves`] sets them.
    pub fn restore_wave(&mut self, id: WaveId, row: WaveRow) {
        let wave = Wave { id, hosts: Vec::new(), duration_ms: 0, unavailable_hosts_max: 0 };
        self.waves.insert(id, WaveProgress { wave, row, is_dirty: false });
    }

    /// Returns true if maintaining the remaining hosts takes at least the time that is left for the
    /// wave.
    pub(crate) fn is_wave_urgent(&self, id: WaveId, now: Moment) -> bool {
        let Some(progress) = self.waves.get(&id) else {
            return false;
        };
        now + self.time_needed(progress) >= self.due_time(progress)
    }

    /// Returns true if a wave may leave out hosts that their pools need, since there is time to
    /// maintain them later.
    fn may_wait(&self, id: WaveId, now: Moment) -> bool {
        let Some(progress) = self.waves.get(&id) else {
            return false;
        };
        now + self.time_needed(progress) * WAIT_FACTOR < self.due_time(progress)
    }

    /// Returns when a wave has to be completed.
    fn due_time(&self, progress: &WaveProgress) -> Moment {
        self.moment_of(progress.row.first_seen_ms + progress.wave.duration_ms)
    }

    /// Returns how long it takes to maintain the remaining hosts of a wave.
    fn time_needed(&self, progress: &WaveProgress) -> Duration {
        let remaining = self.remaining_hosts(progress).len();
        let rounds = remaining.div_ceil(progress.wave.unavailable_hosts_max.max(1));
        (self.settings.maintain_time + DRAIN_TIME) * rounds as u32
    }

    /// Plans which hosts are maintained next.
    pub(crate) fn plan_waves(&mut self, loads: &PoolLoads, now: Moment) {
        let drainable = loads.iter().map(|(pool, load)| (pool.clone(), load.drainable_hosts()));
        let mut drainable: HostCounts = drainable.collect();
        let ids: Vec<WaveId> = self.waves.iter().map(|(id, _)| *id).collect();
        for id in ids {
            self.plan_wave(id, &mut drainable, now);
        }
    }

    /// Plans the next hosts of a wave. While the wave may wait, it takes at most as many hosts of a
    /// pool as `drainable` allows. Hosts of spare pools are not counted there.
    fn plan_wave(&mut self, id: WaveId, drainable: &mut HostCounts, now: Moment) {
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
        // Without a slot, draining a host would only take it out of service too early.
        let slots = match progress.wave.unavailable_hosts_max {
            0 => 0,
            slots => slots + DRAINED_AHEAD_MAX,
        };
        let mut free_slots = slots.saturating_sub(self.hosts_in_progress(id));
        let may_wait = self.may_wait(id, now);
        let mut candidates: Vec<(usize, u64, HostName)> = Vec::new();
        for name in remaining {
            let Some(host) = self.hosts.get(&name) else {
                continue;
            };
            if host.is_available(now) && !self.has_open_command(&name) {
                let (long_running, work) = self.host_load(host);
                candidates.push((long_running, work, name));
            }
        }
        candidates.sort();
        for (_, _, name) in candidates {
            let Some(host) = self.hosts.get_mut(&name).filter(|_| free_slots > 0) else {
                break;
            };
            if let Some(drainable) = drainable.get_mut(&host.entry.pool) {
                if *drainable == 0 && may_wait {
                    continue;
                }
                *drainable = drainable.saturating_sub(1);
            }
            host.intent = Some(HostIntent::Maintain(id));
            free_slots -= 1;
        }
    }

    /// Returns the hosts of a wave whose maintenance has not started.
    fn remaining_hosts(&self, progress: &WaveProgress) -> Vec<HostName> {
        let is_listed = |name: &&HostName| self.hosts.contains(*name);
        let hosts = progress.wave.hosts.iter();
        hosts.filter(is_listed).filter(|name| !progress.row.has_started(name)).cloned().collect()
    }

    /// Returns the number of hosts that are being drained or maintained for a wave.
    fn hosts_in_progress(&self, id: WaveId) -> usize {
        let wave = self.waves.get(&id).map(|progress| &progress.wave);
        let is_of_wave = |name: &HostName| wave.is_some_and(|wave| wave.contains_host(name));
        let is_busy = |name: &HostName, host: &Host| {
            host.intent == Some(HostIntent::Maintain(id))
                || (host.entry.state == HostState::InMaintenance && is_of_wave(name))
        };
        self.hosts.iter().filter(|(name, host)| is_busy(name, host)).count()
    }

    /// Records that the maintenance of a host has started.
    pub(crate) fn record_maintenance_started(&mut self, id: WaveId, name: &HostName) {
        let Some(progress) = self.waves.get_mut(&id) else {
            return;
        };
        if let Err(index) = progress.row.started_hosts.binary_search(name) {
            progress.row.started_hosts.insert(index, name.clone());
            progress.is_dirty = true;
        }
    }

    /// Returns the number of long-running units on a host, and the processors that its runs
    /// reserve, in thousandths of a core.
    fn host_load(&self, host: &Host) -> (usize, u64) {
        let Some(worker) = self.worker_of(host).and_then(|id| self.workers.get(&id)) else {
            return (0, 0);
        };
        (worker.long_running_runs, worker.reserved.cpu_millis)
    }
}
