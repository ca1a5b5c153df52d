//! Maintenance waves: planned over zones and racks, sized by budget and reserve, halted by rule.
//!
//! A wave works in one availability zone of a service at a time, rack by rack, so that what it takes
//! out lies inside one failure domain and a failure of that domain costs little more. It begins with
//! one host and widens by one with each that returns, so that a fault which every reboot brings is
//! met with few hosts out. It never uses the places of the budget that the loss of the service's
//! largest other rack would need.

mod advance;

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use model::Config;
use model::HostRow;
use model::PoolId;
use model::WaveId;
use model::WaveRow;
use model::WaveState;
use model::wave::Turn;
use model::wave::WaveHost;

use crate::budget::DRAIN_TIME;
use crate::budget::REBOOT_TIME;
use crate::budget::RETURN_TIME;
use crate::lifecycle::Moment;

pub use advance::advance_waves;

/// Time in which every host must be maintained once.
pub const ROUND: Duration = Duration::from_secs(49 * 24 * 3_600);
/// Hosts that may be missing at once before a wave halts.
pub const MISSING_MAX: u32 = 2;

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

/// How much of the time that is left a wave needs; above 1 it will be late.
pub fn urgency(config: &Config, wave: &WaveRow, now: SystemTime) -> f64 {
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

fn with_state(wave: &WaveRow, state: WaveState) -> WaveRow {
    WaveRow { state, epoch: wave.epoch + 1, ..wave.clone() }
}

fn find<'a>(config: &'a Config, wave_id: &str) -> Result<&'a WaveRow, WaveError> {
    config.wave(wave_id).ok_or_else(|| WaveError::NoWave(wave_id.to_owned()))
}

fn wrong_state(wave: &WaveRow, needed: &'static str) -> WaveError {
    WaveError::WrongState { wave: wave.id.clone(), state: wave.state.clone(), needed }
}
