//! Steps that operators ask for, and the ones that follow from evidence.

use std::time::Duration;
use std::time::SystemTime;

use model::Config;
use model::ConfigVersion;
use model::HostId;
use model::HostRow;
use model::HostState;
use model::StopReason;

use crate::budget::BudgetRefusal;
use crate::budget::check_drain;
use crate::lifecycle::AnyHost;
use crate::lifecycle::Booted;
use crate::lifecycle::Healthy;
use crate::lifecycle::Idle;
use crate::lifecycle::Moment;

/// Why a step was not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransitionError {
    /// There is no such host.
    #[error("there is no host `{0}`")]
    NoHost(HostId),
    /// There is no such pool for this host.
    #[error("customer `{customer}` has no pool `{pool}`")]
    NoPool {
        /// Customer of the host.
        customer: model::CustomerId,
        /// Pool as given.
        pool: String,
    },
    /// The host is in that pool already.
    #[error("host `{host}` is in pool `{pool}` already")]
    SamePool {
        /// Host.
        host: HostId,
        /// Pool.
        pool: model::PoolId,
    },
    /// The host's state has no such step.
    #[error("host `{host}` is {state}; {needed}")]
    WrongState {
        /// Host.
        host: HostId,
        /// Its state.
        state: HostState,
        /// State that the step needs.
        needed: &'static str,
    },
    /// The step would break a budget.
    #[error(transparent)]
    Budget(#[from] BudgetRefusal),
}

/// Starts to drain a serving host.
pub fn drain(
    config: &Config,
    host_id: &str,
    reason: StopReason,
    absent: &[HostId],
    moment: Moment,
) -> Result<HostRow, TransitionError> {
    let row = find(config, host_id)?;
    let AnyHost::Serving(host) = AnyHost::from(row) else {
        return Err(wrong_state(row, "only a serving host can be drained"));
    };
    check_drain(config, row, absent, 0, moment)?;
    Ok(host.drain(reason, None, moment).into_row())
}

/// Starts to move a host to another pool of its customer; a host that an operator has drained is
/// moved without serving in between.
pub fn move_host(
    config: &Config,
    host_id: &str,
    pool: &str,
    absent: &[HostId],
    moment: Moment,
) -> Result<HostRow, TransitionError> {
    let row = find(config, host_id)?;
    let known = config.contract(&row.customer).and_then(|contract| contract.pool(pool));
    let pool = known.ok_or_else(|| TransitionError::NoPool {
        customer: row.customer.clone(),
        pool: pool.to_owned(),
    })?;
    if row.spec.pool == pool.name {
        return Err(TransitionError::SamePool { host: row.id().clone(), pool: pool.name.clone() });
    }
    match AnyHost::from(row) {
        AnyHost::Serving(host) => {
            check_drain(config, row, absent, 0, moment)?;
            let mut row = host.drain(StopReason::Move, Some(pool.name.clone()), moment).into_row();
            row.lent_from = None;
            Ok(row)
        }
        AnyHost::Draining(_) | AnyHost::Drained(_) if row.reason == Some(StopReason::Operator) => {
            let mut row = row.clone();
            row.move_to = Some(pool.name.clone());
            row.reason = Some(StopReason::Move);
            row.lent_from = None;
            row.epoch += 1;
            Ok(row)
        }
        _ => {
            Err(wrong_state(row, "only a serving host, or one that an operator drained, can move"))
        }
    }
}

/// Returns a host to its pool: a draining host serves again at once and its move is cancelled, a
/// drained or failed one must first be seen to be healthy.
pub fn return_host(
    config: &Config,
    host_id: &str,
    moment: Moment,
) -> Result<HostRow, TransitionError> {
    let row = find(config, host_id)?;
    match AnyHost::from(row) {
        AnyHost::Draining(host) => Ok(host.cancel(moment).into_row()),
        AnyHost::Drained(host) => Ok(host.return_to_pool(moment).into_row()),
        AnyHost::Failed(host) => {
            let boot_count = row.boot_count;
            Ok(host.repaired(Booted { boot_count }, moment).into_row())
        }
        AnyHost::Serving(_) | AnyHost::Rebooting(_) | AnyHost::Returning(_) => {
            Err(wrong_state(row, "only a draining, drained or failed host can be returned"))
        }
    }
}

/// Cancels a planned drain that has not come to a reboot yet.
pub fn cancel(row: &HostRow, moment: Moment) -> Option<HostRow> {
    match AnyHost::from(row) {
        AnyHost::Draining(host) => Some(host.cancel(moment).into_row()),
        AnyHost::Drained(host) => Some(host.return_to_pool(moment).into_row()),
        _ => None,
    }
}

/// What one node reports of a draining host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeReport {
    /// Version in force at the node; `None` while it is not known.
    pub config_version: Option<ConfigVersion>,
    /// Requests that it has running there, those in doubt included; `None` while not known.
    pub running: Option<u32>,
}

/// Evidence that `host` is idle: every node has its drain in force and has nothing running there.
pub fn check_idle(host: &HostRow, reports: &[NodeReport]) -> Option<Idle> {
    let informed = |report: &NodeReport| {
        report.config_version.is_some_and(|version| version >= host.since_version)
    };
    let quiet = |report: &NodeReport| report.running == Some(0);
    let all = !reports.is_empty() && reports.iter().all(|report| informed(report) && quiet(report));
    all.then_some(Idle(()))
}

/// Answer of a host's backend server to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// It answered.
    Healthy {
        /// When.
        at: SystemTime,
    },
    /// It did not answer.
    Unresponsive,
}

/// Evidence that `host` is healthy: its backend server answered after the present state began.
pub fn check_healthy(host: &HostRow, probe: Probe) -> Option<Healthy> {
    let Probe::Healthy { at } = probe else {
        return None;
    };
    let since = SystemTime::UNIX_EPOCH + Duration::from_millis(host.since_ms);
    (at >= since).then_some(Healthy(()))
}

fn find<'a>(config: &'a Config, host_id: &str) -> Result<&'a HostRow, TransitionError> {
    config.host(host_id).ok_or_else(|| TransitionError::NoHost(host_id.into()))
}

fn wrong_state(row: &HostRow, needed: &'static str) -> TransitionError {
    TransitionError::WrongState { host: row.id().clone(), state: row.state, needed }
}
