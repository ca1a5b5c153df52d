//! Maintenance waves: planned over zones and racks, sized by budget and reserve, halted by rule.
//!
//! A wave works in one availability zone of a service at a time, rack by rack, so that what it takes
//! out lies inside one failure domain and a failure of that domain costs little more. It begins with
//! one host and widens by one with each that returns, so that a fault which every reboot brings is
//! met with few hosts out. It never uses the places of the budget that the loss of the service's
//! largest other rack would need.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use model::Config;
use model::HostId;
use model::HostRow;
use model::HostState;
use model::PoolId;
use model::StopReason;
use model::WaveId;
use model::WaveRow;
use model::WaveState;
use model::contract::Profile;
use model::wave::Turn;
use model::wave::WaveHost;

use crate::budget::DRAIN_TIME;
use crate::budget::REBOOT_TIME;
use crate::budget::RETURN_TIME;
use crate::budget::check_drain;
use crate::budget::is_available;
use crate::life::AnyHost;
use crate::life::Moment;
use crate::round::Step;
use crate::step::cancel;

/// Time in which every host must be maintained once.
pub const ROUND: Duration = Duration::from_secs(49 * 24 * 3_600);
/// Hosts that may be missing at once before a wave halts.
pub const MISSING_MAX: u32 = 2;
/// A host that takes this many times the usual reboot counts as missing.
const OVERDUE_FACTOR: u32 = 2;
/// Pressure from which a wave uses the whole width of the budget, whatever the profile.
const PRESSURE_HIGH: f64 = 0.5;

/// Why a wave cannot be planned or changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WaveError {
    /// There is no such pool.
    #[error("there is no pool `{0}`")]
    NoPool(String),
    /// There is no such wave.
    #[error("there is no wave `{0}`")]
    NoWave(String),
    /// The pool has no hosts.
    #[error("pool `{0}` has no hosts")]
    NoHosts(String),
    /// The pool has a wave that is not done.
    #[error("wave `{wave}` of pool `{pool}` is not done; start it, or wait for its end")]
    Open {
        /// The wave.
        wave: WaveId,
        /// Its pool.
        pool: PoolId,
    },
    /// The wave's state has no such step.
    #[error("wave `{wave}` is {state}; {needed}")]
    WrongState {
        /// The wave.
        wave: WaveId,
        /// Its state.
        state: WaveState,
        /// State that the step needs.
        needed: &'static str,
    },
}

/// Plans a wave over the hosts of `pool`, those that were maintained longest ago first within the
/// order of zones and racks.
pub fn plan(config: &Config, pool: &str, moment: Moment) -> Result<WaveRow, WaveError> {
    let (contract, pool) = config.pool(pool).ok_or_else(|| WaveError::NoPool(pool.to_owned()))?;
    let last = config.wave(&pool.name);
    if let Some(wave) = last.filter(|wave| wave.state != WaveState::Done) {
        return Err(WaveError::Open { wave: wave.id.clone(), pool: pool.name.clone() });
    }
    let mut hosts: Vec<&HostRow> =
        config.hosts.iter().filter(|row| row.spec.pool == pool.name).collect();
    if hosts.is_empty() {
        return Err(WaveError::NoHosts(pool.name.to_string()));
    }
    hosts.sort_by_key(|row| (&row.spec.zone, &row.spec.rack, row.maintained_ms, row.id()));
    let planned_ms = moment.now_ms();
    Ok(WaveRow {
        id: pool.name.clone(),
        round: last.map_or(1, |wave| wave.round + 1),
        customer: contract.customer.clone(),
        pool: pool.name.clone(),
        state: WaveState::Planned,
        hosts: hosts
            .iter()
            .map(|row| WaveHost { host: row.id().clone(), turn: Turn::Waiting })
            .collect(),
        missing_max: MISSING_MAX,
        planned_ms,
        deadline_ms: planned_ms + ROUND.as_millis() as u64,
        epoch: last.map_or(1, |wave| wave.epoch + 1),
    })
}

/// Starts a planned wave, or lets a paused or halted one go on.
pub fn start(config: &Config, wave_id: &str) -> Result<WaveRow, WaveError> {
    let wave = find(config, wave_id)?;
    match &wave.state {
        WaveState::Planned | WaveState::Paused => Ok(with_state(wave, WaveState::Running)),
        WaveState::Halted { missing } => {
            // The operator accepts the hosts that are missing now.
            let mut started = with_state(wave, WaveState::Running);
            started.missing_max = started.missing_max.max(missing.len() as u32 + 1);
            Ok(started)
        }
        WaveState::Running | WaveState::Done => {
            Err(wrong_state(wave, "only a planned, paused or halted wave can be started"))
        }
    }
}

/// Pauses a wave; hosts in work are finished.
pub fn pause(config: &Config, wave_id: &str) -> Result<WaveRow, WaveError> {
    let wave = find(config, wave_id)?;
    match wave.state {
        WaveState::Running | WaveState::Halted { .. } => Ok(with_state(wave, WaveState::Paused)),
        _ => Err(wrong_state(wave, "only a running or halted wave can be paused")),
    }
}

/// Next step of the waves of all pools that `is_mine` accepts; `absent` are the hosts that the platform's
/// list has lost, sorted.
pub fn advance_waves(
    config: &Config,
    absent: &[HostId],
    is_mine: impl Fn(&PoolId) -> bool,
    moment: Moment,
) -> Step {
    let mut step = Step::default();
    let open = config.waves.iter().filter(|wave| wave.state != WaveState::Done);
    // Steps of one call are decided one after the other, each on what the earlier ones left.
    let mut scratch = None;
    for wave in open.filter(|wave| is_mine(&wave.pool)) {
        let latest = scratch.as_ref().unwrap_or(config);
        let (wave_row, hosts) = advance_wave(latest, wave, absent, moment);
        if !hosts.is_empty() {
            let next = scratch.get_or_insert_with(|| config.clone());
            for host in &hosts {
                put_host(next, host);
            }
            step.hosts.extend(hosts);
        }
        if wave_row != *wave {
            step.waves.push(WaveRow { epoch: wave.epoch + 1, ..wave_row });
        }
    }
    step
}

/// How much of the time that is left a wave needs; above 1 it will be late.
pub fn pressure(config: &Config, wave: &WaveRow, now: SystemTime) -> f64 {
    let left = wave.count(Turn::Waiting) + wave.count(Turn::Started);
    if left == 0 {
        return 0.0;
    }
    let now_ms = now.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
    let remaining_ms = wave.deadline_ms.saturating_sub(now_ms).max(1);
    let per_host = DRAIN_TIME + REBOOT_TIME + RETURN_TIME;
    let places = config
        .pool(&wave.pool)
        .and_then(|(contract, pool)| contract.service(pool.service.as_ref()?))
        .map_or(1, |service| service.unavailable_max.saturating_sub(1).max(1));
    let needed = per_host * (left as u32).div_ceil(places);
    needed.as_millis() as f64 / remaining_ms as f64
}

fn advance_wave(
    config: &Config,
    wave: &WaveRow,
    absent: &[HostId],
    moment: Moment,
) -> (WaveRow, Vec<HostRow>) {
    let mut next = wave.clone();
    for turn in &mut next.hosts {
        turn.turn = turn_now(config, wave, turn, absent);
    }
    let missing = missing_hosts(config, &next, absent, moment);
    next.state = match &wave.state {
        WaveState::Running if missing.len() as u32 >= wave.missing_max => {
            WaveState::Halted { missing }
        }
        WaveState::Halted { .. } if (missing.len() as u32) < wave.missing_max => WaveState::Running,
        WaveState::Halted { .. } => WaveState::Halted { missing },
        state => state.clone(),
    };
    let over = next.hosts.iter().all(|turn| matches!(turn.turn, Turn::Done | Turn::Failed));
    if over && next.state == WaveState::Running {
        next.state = WaveState::Done;
    }
    let mut hosts = relieve(config, wave, absent, moment);
    if hosts.is_empty() && next.state == WaveState::Running {
        hosts = start_hosts(config, &mut next, absent, moment);
    }
    (next, hosts)
}

/// Turn of a host, as its row shows it.
fn turn_now(config: &Config, wave: &WaveRow, turn: &WaveHost, absent: &[HostId]) -> Turn {
    let Some(row) = config.host(&turn.host) else {
        // The host is not the fleet's any more.
        return Turn::Done;
    };
    let maintained = row.maintained_ms.is_some_and(|at_ms| at_ms >= wave.planned_ms);
    match turn.turn {
        Turn::Done => Turn::Done,
        _ if maintained && is_available(row, absent) => Turn::Done,
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
fn missing_hosts(
    config: &Config,
    wave: &WaveRow,
    absent: &[HostId],
    moment: Moment,
) -> Vec<HostId> {
    let is_missing = |turn: &&WaveHost| {
        let Some(row) = config.host(&turn.host) else {
            return false;
        };
        let age = Duration::from_millis(moment.now_ms().saturating_sub(row.since_ms));
        match turn.turn {
            Turn::Failed => true,
            Turn::Started => {
                row.state == HostState::Rebooting && age > REBOOT_TIME * OVERDUE_FACTOR
            }
            Turn::Waiting | Turn::Done => {
                row.state == HostState::Failed || absent.binary_search(row.id()).is_ok()
            }
        }
    };
    wave.hosts.iter().filter(is_missing).map(|turn| turn.host.clone()).collect()
}

/// Cancels drains of the wave that the budget no longer covers because other hosts failed.
fn relieve(config: &Config, wave: &WaveRow, absent: &[HostId], moment: Moment) -> Vec<HostRow> {
    let Some(service) = ServiceNow::of(config, wave, absent) else {
        return Vec::new();
    };
    let excess = service.unavailable.saturating_sub(service.unavailable_max);
    let own = StopReason::Wave(wave.id.clone());
    let planned = service.hosts.iter().filter(|row| row.reason.as_ref() == Some(&own));
    planned.filter_map(|row| cancel(row, moment)).take(excess as usize).collect()
}

/// Starts the drains that width, zone, reserve and budget allow.
fn start_hosts(
    config: &Config,
    wave: &mut WaveRow,
    absent: &[HostId],
    moment: Moment,
) -> Vec<HostRow> {
    let mut scratch: Option<Config> = None;
    let mut started = Vec::new();
    let width = width(config, wave, moment);
    let mut in_work = wave.count(Turn::Started) as u32;
    for index in 0..wave.hosts.len() {
        if in_work >= width {
            break;
        }
        if wave.hosts[index].turn != Turn::Waiting {
            continue;
        }
        let latest = scratch.as_ref().unwrap_or(config);
        let Some(row) = startable(latest, wave, &wave.hosts[index].host, absent, moment) else {
            continue;
        };
        put_host(scratch.get_or_insert_with(|| config.clone()), &row);
        wave.hosts[index].turn = Turn::Started;
        in_work += 1;
        started.push(row);
    }
    started
}

/// Row of a host whose drain may start now.
fn startable(
    config: &Config,
    wave: &WaveRow,
    host_id: &str,
    absent: &[HostId],
    moment: Moment,
) -> Option<HostRow> {
    let row = config.host(host_id)?;
    let AnyHost::Serving(host) = AnyHost::from(row) else {
        return None;
    };
    if !is_available(row, absent) {
        return None;
    }
    let reserve = match ServiceNow::of(config, wave, absent) {
        Some(service) => {
            if service.zone_in_work().is_some_and(|zone| *zone != row.spec.zone) {
                return None;
            }
            service.reserve_beside(row)
        }
        None => 0,
    };
    check_drain(config, row, absent, reserve, moment).ok()?;
    Some(host.drain(StopReason::Wave(wave.id.clone()), None, moment).into_row())
}

/// Hosts that a wave may have in work: one more than have returned. A pool whose profile weighs idle
/// capacity keeps to one, until the deadline presses.
fn width(config: &Config, wave: &WaveRow, moment: Moment) -> u32 {
    let proven = 1 + wave.count(Turn::Done) as u32;
    let profile = config.contract(&wave.customer).map(|contract| contract.profile);
    let relaxed = pressure(config, wave, moment.now) < PRESSURE_HIGH;
    if profile == Some(Profile::Buffer) && relaxed { 1 } else { proven }
}

/// Hosts of a service, as the budget sees them.
struct ServiceNow<'a> {
    hosts: Vec<&'a HostRow>,
    absent: &'a [HostId],
    unavailable: u32,
    unavailable_max: u32,
}

impl<'a> ServiceNow<'a> {
    /// Service that the wave's pool serves; `None` for a spare pool.
    fn of(config: &'a Config, wave: &WaveRow, absent: &'a [HostId]) -> Option<Self> {
        let (contract, pool) = config.pool(&wave.pool)?;
        let service = contract.service(pool.service.as_ref()?)?;
        let hosts: Vec<_> = config.hosts_of(contract, &service.name).collect();
        let unavailable = hosts.iter().filter(|row| !is_available(row, absent)).count() as u32;
        Some(Self { hosts, absent, unavailable, unavailable_max: service.unavailable_max })
    }

    /// Zone in which planned work is going on.
    fn zone_in_work(&self) -> Option<&model::ZoneId> {
        let planned = |row: &&&HostRow| matches!(row.reason, Some(StopReason::Wave(_)));
        let row = self.hosts.iter().filter(planned).find(|row| row.state != HostState::Failed);
        row.map(|row| &row.spec.zone)
    }

    /// Places to keep free while `candidate` is out: the available hosts of the largest rack, as far
    /// as the budget can cover it beside one host in work.
    fn reserve_beside(&self, candidate: &HostRow) -> u32 {
        let mut racks: Vec<&model::RackId> = self
            .hosts
            .iter()
            .filter(|row| is_available(row, self.absent) && row.id() != candidate.id())
            .map(|row| &row.spec.rack)
            .collect();
        racks.sort();
        let largest = racks.chunk_by(|a, b| a == b).map(<[_]>::len).max().unwrap_or(0);
        (largest as u32).min(self.unavailable_max.saturating_sub(1))
    }
}

/// Replaces the row of a host.
pub(crate) fn put_host(config: &mut Config, row: &HostRow) {
    if let Ok(index) = config.hosts.binary_search_by(|other| other.id().cmp(row.id())) {
        config.hosts[index] = row.clone();
    }
}

fn with_state(wave: &WaveRow, state: WaveState) -> WaveRow {
    WaveRow { state, epoch: wave.epoch + 1, ..wave.clone() }
}

fn find<'a>(config: &'a Config, wave_id: &str) -> Result<&'a WaveRow, WaveError> {
    config.wave(wave_id).ok_or_else(|| WaveError::NoWave(wave_id.to_owned()))
}

fn wrong_state(wave: &WaveRow, needed: &'static str) -> WaveError {
    WaveError::WrongState { wave: wave.id.clone(), state: wave.state.clone(), needed }
}
