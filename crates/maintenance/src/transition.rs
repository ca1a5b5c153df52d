//! Transitions that operators request, and the evidence for those that follow on their own.

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

/// Why a transition is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransitionError {
    /// The configuration has no such host.
    #[error("there is no host `{0}`")]
    NoHost(HostId),
    /// The contract of the host's customer has no such pool.
    #[error("customer `{customer}` has no pool `{pool}`")]
    NoPool {
        /// Customer that owns the host.
        customer: model::CustomerId,
        /// Name of the pool, as requested.
        pool: String,
    },
    /// The host is in the requested pool already.
    #[error("host `{host}` is in pool `{pool}` already")]
    SamePool {
        /// Host that was to move.
        host: HostId,
        /// Pool that the host is in.
        pool: model::PoolId,
    },
    /// The host's current state does not have this transition.
    #[error("host `{host}` is {state}; {requirement}")]
    WrongState {
        /// Host that was requested.
        host: HostId,
        /// Current state of the host.
        state: HostState,
        /// States from which the transition is possible, as a clause of the message.
        requirement: &'static str,
    },
    /// The transition would exceed an availability budget.
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
    let row = find_host(config, host_id)?;
    let AnyHost::Serving(host) = AnyHost::from(row) else {
        return Err(wrong_state(row, "only a serving host can be drained"));
    };
    check_drain(config, row, absent, 0, moment)?;
    Ok(host.drain(reason, None, moment).into_row())
}

/// Starts to move a host to another pool of its customer. A host that an operator has drained moves
/// without serving in between.
pub fn move_host(
    config: &Config,
    host_id: &str,
    pool: &str,
    absent: &[HostId],
    moment: Moment,
) -> Result<HostRow, TransitionError> {
    let row = find_host(config, host_id)?;
    let pool_spec = config.contract(&row.customer).and_then(|contract| contract.pool(pool));
    let pool = pool_spec.ok_or_else(|| TransitionError::NoPool {
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

/// Returns a host to its pool. A draining host is serving again at once, and its move is cancelled;
/// a drained or failed host must first be shown to be healthy.
pub fn return_host(
    config: &Config,
    host_id: &str,
    moment: Moment,
) -> Result<HostRow, TransitionError> {
    let row = find_host(config, host_id)?;
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

/// Cancels the drain of a host that is not rebooting yet; `None` in other states.
pub fn cancel(row: &HostRow, moment: Moment) -> Option<HostRow> {
    match AnyHost::from(row) {
        AnyHost::Draining(host) => Some(host.cancel(moment).into_row()),
        AnyHost::Drained(host) => Some(host.return_to_pool(moment).into_row()),
        _ => None,
    }
}

/// What one node reports about a draining host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeReport {
    /// Version of the node's active configuration; `None` if it is not known.
    pub config_version: Option<ConfigVersion>,
    /// Number of requests that the node is running on the host, including those in doubt; `None` if
    /// it is not known.
    pub running: Option<u32>,
}

/// Returns evidence that `host` is idle: every node has the drain in its active configuration and
/// runs nothing on the host.
pub fn check_idle(host: &HostRow, reports: &[NodeReport]) -> Option<Idle> {
    let has_drain = |report: &NodeReport| {
        report.config_version.is_some_and(|version| version >= host.since_version)
    };
    let is_idle = |report: &NodeReport| report.running == Some(0);
    let is_idle_everywhere =
        !reports.is_empty() && reports.iter().all(|report| has_drain(report) && is_idle(report));
    is_idle_everywhere.then_some(Idle(()))
}

/// Result of a probe of a host's backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// The backend server replied.
    Healthy {
        /// When it replied.
        at: SystemTime,
    },
    /// The backend server did not reply.
    Unresponsive,
}

/// Returns evidence that `host` is healthy: its backend server replied after the current state
/// began.
pub fn check_healthy(host: &HostRow, probe: Probe) -> Option<Healthy> {
    let Probe::Healthy { at } = probe else {
        return None;
    };
    let since = SystemTime::UNIX_EPOCH + Duration::from_millis(host.since_ms);
    (at >= since).then_some(Healthy(()))
}

fn find_host<'a>(config: &'a Config, host_id: &str) -> Result<&'a HostRow, TransitionError> {
    config.host(host_id).ok_or_else(|| TransitionError::NoHost(host_id.into()))
}

fn wrong_state(row: &HostRow, requirement: &'static str) -> TransitionError {
    TransitionError::WrongState { host: row.id().clone(), state: row.state, requirement }
}
