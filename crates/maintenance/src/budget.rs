//! Availability budget of a service.
//!
//! The budget is the number of hosts of a service that may be unavailable at once. A host is
//! unavailable unless it is serving and the host list shows it; planned work, failures and doubt
//! count alike. The check runs inside the change that starts a drain, on the configuration that
//! this change follows, so that two drains cannot both use the last host of the budget.

use std::fmt;
use std::time::Duration;

use model::Config;
use model::HostId;
use model::HostRow;
use model::HostState;
use model::ServiceId;
use model::contract::Service;

use crate::lifecycle::Moment;

/// Typical time from the start of a drain until the host is drained.
pub const TYPICAL_DRAIN_TIME: Duration = Duration::from_secs(120);
/// Typical duration of a reboot.
pub const TYPICAL_REBOOT_TIME: Duration = Duration::from_secs(600);
/// Typical time from a boot, or from a change of pool, until the host is serving.
pub const TYPICAL_RETURN_TIME: Duration = Duration::from_secs(30);

/// A host that counts against a budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnavailableHost {
    /// Host that is unavailable.
    pub host: HostId,
    /// State in its life cycle; `Serving` for a host that is absent from the host list.
    pub state: HostState,
    /// Typical time until the host is serving again; `None` if this needs an operator or a repair.
    pub expected_back_in: Option<Duration>,
}

/// Why a drain may not start: it would exceed the availability budget.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct BudgetRefusal {
    /// Service whose budget would be exceeded.
    pub service: ServiceId,
    /// Number of hosts that may be unavailable at once.
    pub unavailable_max: u32,
    /// Part of `unavailable_max` that is reserved for failures.
    pub reserve: u32,
    /// Hosts that count against the budget now.
    pub unavailable: Vec<UnavailableHost>,
}

impl fmt::Display for BudgetRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { service, unavailable_max, reserve, unavailable } = self;
        write!(f, "the availability budget of service `{service}` is used up: ")?;
        write!(f, "{unavailable_max} host(s) may be unavailable")?;
        if *reserve > 0 {
            write!(f, ", {reserve} of them kept for failures")?;
        }
        if unavailable.is_empty() {
            return f.write_str("; raise `unavailable_max` in the contract to drain any host");
        }
        let hosts: Vec<_> =
            unavailable.iter().map(|u| format!("{} ({})", u.host, describe(u))).collect();
        write!(f, "; unavailable now: {}", hosts.join(", "))?;
        match unavailable.iter().filter_map(|u| u.expected_back_in).min() {
            Some(expected_back_in) => {
                write!(f, "; one may be free in about {} s", expected_back_in.as_secs())
            }
            None => f.write_str("; none comes back by itself: return or repair one of them"),
        }
    }
}

/// Checks that `host` may start to drain, while `reserve` hosts of its service's budget remain for
/// failures. `absent` holds the hosts that the host list has lost or that do not respond, sorted.
pub fn check_drain(
    config: &Config,
    host: &HostRow,
    absent: &[HostId],
    reserve: u32,
    moment: Moment,
) -> Result<(), BudgetRefusal> {
    let (Some(service), Some(contract)) =
        (config.service_of(host), config.contract(&host.customer))
    else {
        // Hosts of a spare pool serve no one.
        return Ok(());
    };
    let hosts = config.hosts_of(contract, &service.name);
    check_budget(service, hosts, host, absent, reserve, moment)
}

/// Like [`check_drain`], where `hosts` are the hosts of the service.
pub fn check_budget<'a>(
    service: &Service,
    hosts: impl Iterator<Item = &'a HostRow>,
    host: &HostRow,
    absent: &[HostId],
    reserve: u32,
    moment: Moment,
) -> Result<(), BudgetRefusal> {
    let unavailable: Vec<UnavailableHost> = hosts
        .filter(|other| other.id() != host.id())
        .filter(|other| !is_available(other, absent))
        .map(|other| UnavailableHost {
            host: other.id().clone(),
            state: other.state,
            expected_back_in: expected_back_in(other, moment),
        })
        .collect();
    if unavailable.len() as u32 + 1 + reserve <= service.unavailable_max {
        return Ok(());
    }
    Err(BudgetRefusal {
        service: service.name.clone(),
        unavailable_max: service.unavailable_max,
        reserve,
        unavailable,
    })
}

/// True if `host` is serving and is not among the `absent` hosts, which are sorted.
pub fn is_available(host: &HostRow, absent: &[HostId]) -> bool {
    host.state == HostState::Serving && absent.binary_search(host.id()).is_err()
}

/// Returns the typical time until `host` is serving again, at least one second; `None` if this
/// needs an operator or a repair.
fn expected_back_in(host: &HostRow, moment: Moment) -> Option<Duration> {
    let by_operator = host.reason == Some(model::StopReason::Operator);
    let typical = match host.state {
        HostState::Serving | HostState::Failed => return None,
        HostState::Draining | HostState::Drained if by_operator => return None,
        HostState::Draining if host.move_to.is_some() => TYPICAL_DRAIN_TIME + TYPICAL_RETURN_TIME,
        HostState::Draining => TYPICAL_DRAIN_TIME + TYPICAL_REBOOT_TIME + TYPICAL_RETURN_TIME,
        HostState::Drained if host.move_to.is_some() => TYPICAL_RETURN_TIME,
        HostState::Drained => TYPICAL_REBOOT_TIME + TYPICAL_RETURN_TIME,
        HostState::Rebooting => TYPICAL_REBOOT_TIME + TYPICAL_RETURN_TIME,
        HostState::Returning => TYPICAL_RETURN_TIME,
    };
    let passed = Duration::from_millis(moment.now_ms().saturating_sub(host.since_ms));
    Some(typical.saturating_sub(passed).max(Duration::from_secs(1)))
}

fn describe(unavailable: &UnavailableHost) -> String {
    match unavailable.state {
        HostState::Serving => "absent from the host list".to_owned(),
        state => state.to_string(),
    }
}
