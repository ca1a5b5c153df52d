//! Maintenance waves: how they are planned, started and paused.
//!
//! A wave is a batch of hosts that are drained and rebooted together. It works in one availability
//! zone of a service at a time and rack by rack, so that the hosts it takes out lie in one failure
//! domain, and a failure of that domain takes out few others. It starts with one host and raises
//! its concurrency by one with each host that returns, so that a fault that every reboot causes
//! affects few hosts. It never uses the part of the availability budget that the loss of the
//! service's largest other rack would need.

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
use model::wave::HostProgress;
use model::wave::WaveHost;

use crate::budget::TYPICAL_DRAIN_TIME;
use crate::budget::TYPICAL_REBOOT_TIME;
use crate::budget::TYPICAL_RETURN_TIME;
use crate::lifecycle::Moment;

pub use advance::advance_waves;

/// Period in which every host must be maintained once.
pub const MAINTENANCE_PERIOD: Duration = Duration::from_secs(49 * 24 * 3_600);
/// Number of missing hosts at which a wave halts.
pub const MISSING_MAX: u32 = 2;

/// Why a wave cannot be planned or changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WaveError {
    /// No contract has such a pool.
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
        /// The wave that is not done.
        wave: WaveId,
        /// Pool of the wave.
        pool: PoolId,
    },
    /// The wave's current state does not have this transition.
    #[error("wave `{wave}` is {state}; {requirement}")]
    WrongState {
        /// Wave that was requested.
        wave: WaveId,
        /// Current state of the wave.
        state: WaveState,
        /// States from which the transition is possible, as a clause of the message.
        requirement: &'static str,
    },
}

/// Plans a wave over the hosts of `pool`, ordered by zone and rack, and within a rack by the time
/// of their last maintenance, oldest first.
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
    hosts.sort_by_key(|row| (&row.spec.zone, &row.spec.rack, row.maintenance_ended_ms, row.id()));
    let planned_ms = moment.now_ms();
    Ok(WaveRow {
        id: pool.name.clone(),
        round: last.map_or(1, |wave| wave.round + 1),
        customer: contract.customer.clone(),
        pool: pool.name.clone(),
        state: WaveState::Planned,
        hosts: hosts
            .iter()
            .map(|row| WaveHost { host: row.id().clone(), progress: HostProgress::Waiting })
            .collect(),
        missing_max: MISSING_MAX,
        planned_ms,
        deadline_ms: planned_ms + MAINTENANCE_PERIOD.as_millis() as u64,
        epoch: last.map_or(1, |wave| wave.epoch + 1),
    })
}

/// Starts a planned wave, or resumes a paused or halted one.
pub fn start(config: &Config, wave_id: &str) -> Result<WaveRow, WaveError> {
    let wave = find_wave(config, wave_id)?;
    match &wave.state {
        WaveState::Planned | WaveState::Paused => Ok(with_state(wave, WaveState::Running)),
        WaveState::Halted { missing } => {
            // The operator accepts the hosts that are missing now: the wave halts again with the
            // next one.
            let mut started = with_state(wave, WaveState::Running);
            started.missing_max = started.missing_max.max(missing.len() as u32 + 1);
            Ok(started)
        }
        WaveState::Running | WaveState::Done => {
            Err(wrong_state(wave, "only a planned, paused or halted wave can be started"))
        }
    }
}

/// Pauses a wave; maintenance that has started on a host is completed.
pub fn pause(config: &Config, wave_id: &str) -> Result<WaveRow, WaveError> {
    let wave = find_wave(config, wave_id)?;
    match wave.state {
        WaveState::Running | WaveState::Halted { .. } => Ok(with_state(wave, WaveState::Paused)),
        _ => Err(wrong_state(wave, "only a running or halted wave can be paused")),
    }
}

/// Returns the fraction of the time until its deadline that a wave still needs; above 1 it will be
/// late.
pub fn urgency(config: &Config, wave: &WaveRow, now: SystemTime) -> f64 {
    let remaining_hosts = wave.count(HostProgress::Waiting) + wave.count(HostProgress::Started);
    if remaining_hosts == 0 {
        return 0.0;
    }
    let now_ms = now.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
    let remaining_ms = wave.deadline_ms.saturating_sub(now_ms).max(1);
    let time_per_host = TYPICAL_DRAIN_TIME + TYPICAL_REBOOT_TIME + TYPICAL_RETURN_TIME;
    let concurrent_hosts = config
        .pool(&wave.pool)
        .and_then(|(contract, pool)| contract.service(pool.service.as_ref()?))
        .map_or(1, |service| service.unavailable_max.saturating_sub(1).max(1));
    let needed_time = time_per_host * (remaining_hosts as u32).div_ceil(concurrent_hosts);
    needed_time.as_millis() as f64 / remaining_ms as f64
}

fn with_state(wave: &WaveRow, state: WaveState) -> WaveRow {
    WaveRow { state, epoch: wave.epoch + 1, ..wave.clone() }
}

fn find_wave<'a>(config: &'a Config, wave_id: &str) -> Result<&'a WaveRow, WaveError> {
    config.wave(wave_id).ok_or_else(|| WaveError::NoWave(wave_id.to_owned()))
}

fn wrong_state(wave: &WaveRow, requirement: &'static str) -> WaveError {
    WaveError::WrongState { wave: wave.id.clone(), state: wave.state.clone(), requirement }
}
