//! Transitions of waves and of the hosts that they maintain.

use std::time::Duration;

use model::Config;
use model::HostId;
use model::HostRow;
use model::HostState;
use model::PoolId;
use model::StopReason;
use model::WaveRow;
use model::WaveState;
use model::contract::Profile;
use model::wave::HostProgress;
use model::wave::WaveHost;

use crate::budget::TYPICAL_REBOOT_TIME;
use crate::budget::check_budget;
use crate::budget::is_available;
use crate::lifecycle::AnyHost;
use crate::lifecycle::Moment;
use crate::planner::RowChanges;
use crate::planner::put_host;
use crate::service::HostsByService;
use crate::service::ServiceSnapshot;
use crate::transition::cancel;
use crate::wave::urgency;

/// A host is missing once its reboot has taken this many times the typical duration.
const OVERDUE_FACTOR: u32 = 2;
/// Urgency at or above which a wave is not limited to one host at a time, whatever the profile.
const URGENCY_HIGH: f64 = 0.5;

/// Returns the transitions of the waves of all pools that `is_mine` accepts. `absent` holds the
/// hosts that the host list has lost; `unavailable` holds these and the hosts in doubt. Both are
/// sorted.
pub fn advance_waves(
    config: &Config,
    absent: &[HostId],
    unavailable: &[HostId],
    is_mine: impl Fn(&PoolId) -> bool,
    moment: Moment,
) -> RowChanges {
    let mut changes = RowChanges::default();
    let open: Vec<&WaveRow> = config
        .waves
        .iter()
        .filter(|wave| wave.state != WaveState::Done && is_mine(&wave.pool))
        .collect();
    if open.is_empty() {
        return changes;
    }
    let hosts_by_service = HostsByService::new(config);
    // Each wave is decided on the configuration that the earlier ones leave.
    let mut planner =
        Planner { config: config.clone(), hosts_by_service, absent, unavailable, moment };
    for wave in open {
        let (next, hosts) = planner.advance(wave);
        hosts.into_iter().for_each(|host| changes.put(host));
        if next != *wave {
            changes.waves.push(WaveRow { epoch: wave.epoch + 1, ..next });
        }
    }
    changes
}

/// The configuration with the changes decided so far.
struct Planner<'a> {
    config: Config,
    hosts_by_service: HostsByService,
    absent: &'a [HostId],
    unavailable: &'a [HostId],
    moment: Moment,
}

impl Planner<'_> {
    fn advance(&mut self, wave: &WaveRow) -> (WaveRow, Vec<HostRow>) {
        let mut next = wave.clone();
        for wave_host in &mut next.hosts {
            wave_host.progress = self.current_progress(wave, wave_host);
        }
        let missing = self.missing_hosts(&next);
        next.state = match &wave.state {
            WaveState::Running if missing.len() as u32 >= wave.missing_max => {
                WaveState::Halted { missing }
            }
            WaveState::Halted { .. } if (missing.len() as u32) < wave.missing_max => {
                WaveState::Running
            }
            WaveState::Halted { .. } => WaveState::Halted { missing },
            state => state.clone(),
        };
        let is_finished = next.hosts.iter().all(|wave_host| {
            matches!(wave_host.progress, HostProgress::Done | HostProgress::Failed)
        });
        if is_finished && next.state == WaveState::Running {
            next.state = WaveState::Done;
        }
        let mut hosts = self.cancel_excess_drains(wave);
        if hosts.is_empty() && next.state == WaveState::Running {
            hosts = self.start_hosts(&mut next);
        }
        (next, hosts)
    }

    /// Returns the progress of a host in the wave, according to the host's row.
    fn current_progress(&self, wave: &WaveRow, wave_host: &WaveHost) -> HostProgress {
        let Some(row) = self.config.host(&wave_host.host) else {
            // The host has left the fleet.
            return HostProgress::Done;
        };
        let is_maintained = row.maintenance_ended_ms.is_some_and(|at_ms| at_ms >= wave.planned_ms);
        match wave_host.progress {
            HostProgress::Done => HostProgress::Done,
            _ if is_maintained && is_available(row, self.unavailable) => HostProgress::Done,
            HostProgress::Started | HostProgress::Failed if row.state == HostState::Failed => {
                HostProgress::Failed
            }
            // The drain was cancelled.
            HostProgress::Started if row.state == HostState::Serving => HostProgress::Waiting,
            // The host was repaired without the reboot that the wave requires.
            HostProgress::Failed if row.state == HostState::Serving => HostProgress::Waiting,
            // The host was moved to another pool.
            HostProgress::Waiting if row.spec.pool != wave.pool => HostProgress::Done,
            same => same,
        }
    }

    /// Returns the hosts of the wave that should be serving by now but are not.
    fn missing_hosts(&self, wave: &WaveRow) -> Vec<HostId> {
        let is_overdue = |wave_host: &&WaveHost| {
            let Some(row) = self.config.host(&wave_host.host) else {
                return false;
            };
            let age = Duration::from_millis(self.moment.now_ms().saturating_sub(row.since_ms));
            match wave_host.progress {
                HostProgress::Failed => true,
                HostProgress::Started => {
                    row.state == HostState::Rebooting && age > TYPICAL_REBOOT_TIME * OVERDUE_FACTOR
                }
                HostProgress::Waiting | HostProgress::Done => {
                    row.state == HostState::Failed || self.absent.binary_search(row.id()).is_ok()
                }
            }
        };
        wave.hosts.iter().filter(is_overdue).map(|wave_host| wave_host.host.clone()).collect()
    }

    /// Cancels drains of the wave that exceed the budget because other hosts have failed.
    fn cancel_excess_drains(&mut self, wave: &WaveRow) -> Vec<HostRow> {
        let Some(service) =
            ServiceSnapshot::of(&self.config, &self.hosts_by_service, &wave.pool, self.unavailable)
        else {
            return Vec::new();
        };
        let excess = service.unavailable_count().saturating_sub(service.service.unavailable_max);
        let wave_reason = StopReason::Wave(wave.id.clone());
        let draining = service.hosts().filter(|row| row.reason.as_ref() == Some(&wave_reason));
        let cancelled: Vec<_> =
            draining.filter_map(|row| cancel(row, self.moment)).take(excess as usize).collect();
        cancelled.iter().for_each(|row| put_host(&mut self.config, row));
        cancelled
    }

    /// Starts as many drains as the concurrency limit, the zone, the reserve and the budget allow.
    fn start_hosts(&mut self, wave: &mut WaveRow) -> Vec<HostRow> {
        let mut started = Vec::new();
        let concurrency_limit = self.concurrency_limit(wave);
        let mut under_maintenance = wave.count(HostProgress::Started) as u32;
        for index in 0..wave.hosts.len() {
            if under_maintenance >= concurrency_limit {
                break;
            }
            if wave.hosts[index].progress != HostProgress::Waiting {
                continue;
            }
            let Some(row) = self.drain_if_allowed(wave, &wave.hosts[index].host) else {
                continue;
            };
            put_host(&mut self.config, &row);
            wave.hosts[index].progress = HostProgress::Started;
            under_maintenance += 1;
            started.push(row);
        }
        started
    }

    /// Returns the row of a host whose drain starts now; `None` if the host may not be drained yet.
    fn drain_if_allowed(&self, wave: &WaveRow, host_id: &str) -> Option<HostRow> {
        let row = self.config.host(host_id)?;
        let AnyHost::Serving(host) = AnyHost::from(row) else {
            return None;
        };
        if !is_available(row, self.unavailable) {
            return None;
        }
        let service =
            ServiceSnapshot::of(&self.config, &self.hosts_by_service, &wave.pool, self.unavailable);
        if let Some(service) = service {
            if service.zone_under_maintenance().is_some_and(|zone| *zone != row.spec.zone) {
                return None;
            }
            let reserve = service.failure_reserve(row);
            let hosts = service.hosts();
            check_budget(service.service, hosts, row, self.unavailable, reserve, self.moment)
                .ok()?;
        }
        Some(host.drain(StopReason::Wave(wave.id.clone()), None, self.moment).into_row())
    }

    /// Returns how many hosts of a wave may be under maintenance at once: one more than have
    /// returned. With the buffer profile, for which idle capacity weighs more, the limit is one
    /// until the wave becomes urgent.
    fn concurrency_limit(&self, wave: &WaveRow) -> u32 {
        let limit = 1 + wave.count(HostProgress::Done) as u32;
        let profile = self.config.contract(&wave.customer).map(|contract| contract.profile);
        let has_time = urgency(&self.config, wave, self.moment.now) < URGENCY_HIGH;
        if profile == Some(Profile::Buffer) && has_time { 1 } else { limit }
    }
}
