//! Next steps of waves.

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
use model::wave::Turn;
use model::wave::WaveHost;

use crate::budget::REBOOT_TIME;
use crate::budget::check_budget;
use crate::budget::is_available;
use crate::lifecycle::AnyHost;
use crate::lifecycle::Moment;
use crate::planner::RowChanges;
use crate::planner::put_host;
use crate::service::Layout;
use crate::service::ServiceNow;
use crate::transition::cancel;
use crate::wave::urgency;

/// A host that takes this many times the usual reboot counts as missing.
const OVERDUE_FACTOR: u32 = 2;
/// Pressure from which a wave uses the whole width of the budget, whatever the profile.
const PRESSURE_HIGH: f64 = 0.5;

/// Next step of the waves of all pools that `is_mine` accepts; `lost` are the hosts that the
/// platform's list has lost, and `absent` those and the ones in doubt, both sorted.
pub fn advance_waves(
    config: &Config,
    lost: &[HostId],
    absent: &[HostId],
    is_mine: impl Fn(&PoolId) -> bool,
    moment: Moment,
) -> RowChanges {
    let mut step = RowChanges::default();
    let open: Vec<&WaveRow> = config
        .waves
        .iter()
        .filter(|wave| wave.state != WaveState::Done && is_mine(&wave.pool))
        .collect();
    if open.is_empty() {
        return step;
    }
    let layout = Layout::new(config);
    // Waves are decided one after the other, each on what the earlier ones left.
    let mut planner = Planner { config: config.clone(), layout, lost, absent, moment };
    for wave in open {
        let (next, hosts) = planner.advance(wave);
        hosts.into_iter().for_each(|host| step.put(host));
        if next != *wave {
            step.waves.push(WaveRow { epoch: wave.epoch + 1, ..next });
        }
    }
    step
}

/// The configuration as the step leaves it so far.
struct Planner<'a> {
    config: Config,
    layout: Layout,
    lost: &'a [HostId],
    absent: &'a [HostId],
    moment: Moment,
}

impl Planner<'_> {
    fn advance(&mut self, wave: &WaveRow) -> (WaveRow, Vec<HostRow>) {
        let mut next = wave.clone();
        for turn in &mut next.hosts {
            turn.turn = self.turn_now(wave, turn);
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
        let over = next.hosts.iter().all(|turn| matches!(turn.turn, Turn::Done | Turn::Failed));
        if over && next.state == WaveState::Running {
            next.state = WaveState::Done;
        }
        let mut hosts = self.relieve(wave);
        if hosts.is_empty() && next.state == WaveState::Running {
            hosts = self.start_hosts(&mut next);
        }
        (next, hosts)
    }

    /// Turn of a host, as its row shows it.
    fn turn_now(&self, wave: &WaveRow, turn: &WaveHost) -> Turn {
        let Some(row) = self.config.host(&turn.host) else {
            // The host is not the fleet's any more.
            return Turn::Done;
        };
        let maintained = row.maintained_ms.is_some_and(|at_ms| at_ms >= wave.planned_ms);
        match turn.turn {
            Turn::Done => Turn::Done,
            _ if maintained && is_available(row, self.absent) => Turn::Done,
            Turn::Started | Turn::Failed if row.state == HostState::Failed => Turn::Failed,
            // Its drain was cancelled.
            Turn::Started if row.state == HostState::Serving => Turn::Waiting,
            // Repaired without the reboot that the wave wants.
            Turn::Failed if row.state == HostState::Serving => Turn::Waiting,
            Turn::Waiting if row.spec.pool != wave.pool => Turn::Done,
            same => same,
        }
    }

    /// Hosts of the wave that should be back by now and are not.
    fn missing_hosts(&self, wave: &WaveRow) -> Vec<HostId> {
        let is_missing = |turn: &&WaveHost| {
            let Some(row) = self.config.host(&turn.host) else {
                return false;
            };
            let age = Duration::from_millis(self.moment.now_ms().saturating_sub(row.since_ms));
            match turn.turn {
                Turn::Failed => true,
                Turn::Started => {
                    row.state == HostState::Rebooting && age > REBOOT_TIME * OVERDUE_FACTOR
                }
                Turn::Waiting | Turn::Done => {
                    row.state == HostState::Failed || self.lost.binary_search(row.id()).is_ok()
                }
            }
        };
        wave.hosts.iter().filter(is_missing).map(|turn| turn.host.clone()).collect()
    }

    /// Cancels drains of the wave that the budget no longer covers because other hosts failed.
    fn relieve(&mut self, wave: &WaveRow) -> Vec<HostRow> {
        let Some(service) = ServiceNow::of(&self.config, &self.layout, &wave.pool, self.absent)
        else {
            return Vec::new();
        };
        let excess = service.unavailable().saturating_sub(service.service.unavailable_max);
        let own = StopReason::Wave(wave.id.clone());
        let planned = service.hosts().filter(|row| row.reason.as_ref() == Some(&own));
        let cancelled: Vec<_> =
            planned.filter_map(|row| cancel(row, self.moment)).take(excess as usize).collect();
        cancelled.iter().for_each(|row| put_host(&mut self.config, row));
        cancelled
    }

    /// Starts the drains that width, zone, reserve and budget allow.
    fn start_hosts(&mut self, wave: &mut WaveRow) -> Vec<HostRow> {
        let mut started = Vec::new();
        let width = self.width(wave);
        let mut in_work = wave.count(Turn::Started) as u32;
        for index in 0..wave.hosts.len() {
            if in_work >= width {
                break;
            }
            if wave.hosts[index].turn != Turn::Waiting {
                continue;
            }
            let Some(row) = self.startable(wave, &wave.hosts[index].host) else {
                continue;
            };
            put_host(&mut self.config, &row);
            wave.hosts[index].turn = Turn::Started;
            in_work += 1;
            started.push(row);
        }
        started
    }

    /// Row of a host whose drain may start now.
    fn startable(&self, wave: &WaveRow, host_id: &str) -> Option<HostRow> {
        let row = self.config.host(host_id)?;
        let AnyHost::Serving(host) = AnyHost::from(row) else {
            return None;
        };
        if !is_available(row, self.absent) {
            return None;
        }
        let service = ServiceNow::of(&self.config, &self.layout, &wave.pool, self.absent);
        if let Some(service) = service {
            if service.zone_in_work().is_some_and(|zone| *zone != row.spec.zone) {
                return None;
            }
            let reserve = service.reserve_beside(row);
            let hosts = service.hosts();
            check_budget(service.service, hosts, row, self.absent, reserve, self.moment).ok()?;
        }
        Some(host.drain(StopReason::Wave(wave.id.clone()), None, self.moment).into_row())
    }

    /// Hosts that a wave may have in work: one more than have returned. A pool whose profile weighs
    /// idle capacity keeps to one, until the deadline presses.
    fn width(&self, wave: &WaveRow) -> u32 {
        let proven = 1 + wave.count(Turn::Done) as u32;
        let profile = self.config.contract(&wave.customer).map(|contract| contract.profile);
        let relaxed = urgency(&self.config, wave, self.moment.now) < PRESSURE_HIGH;
        if profile == Some(Profile::Buffer) && relaxed { 1 } else { proven }
    }
}
