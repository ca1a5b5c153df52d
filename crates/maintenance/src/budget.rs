//! Availability budget of a service.
//!
//! A host of the service is unavailable unless it serves and the host list shows it: planned, failed
//! and in-doubt hosts count alike. The check runs inside the change that starts a drain, on the
//! configuration that the change follows, so that two drains cannot both spend the last place.

use std::fmt;
use std::time::Duration;

use model::Config;
use model::HostId;
use model::HostRow;
use model::HostState;
use model::ServiceId;
use model::contract::Service;

use crate::lifecycle::Moment;

/// Usual time from the start of a drain to its end.
pub const DRAIN_TIME: Duration = Duration::from_secs(120);
/// Usual time of a reboot.
pub const REBOOT_TIME: Duration = Duration::from_secs(600);
/// Usual time from a boot, or a change of pool, to serving.
pub const RETURN_TIME: Duration = Duration::from_secs(30);

/// A host that uses up a place of a budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unavailable {
    /// Host.
    pub host: HostId,
    /// Step of its life cycle; `Serving` for a host that the host list lost.
    pub state: HostState,
    /// Time until it usually serves again; `None` if only an operator or a repair brings it back.
    pub free_in: Option<Duration>,
}

/// Why a drain may not start.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct BudgetRefusal {
    /// Service whose budget would be overspent.
    pub service: ServiceId,
    /// Hosts that may be unavailable at once.
    pub unavailable_max: u32,
    /// Places that are kept free for failures.
    pub reserve: u32,
    /// Hosts that use the budget up.
    pub unavailable: Vec<Unavailable>,
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
        match unavailable.iter().filter_map(|u| u.free_in).min() {
            Some(free_in) => write!(f, "; one may be free in about {} s", free_in.as_secs()),
            None => f.write_str("; none comes back by itself: return or repair one of them"),
        }
    }
}

/// True if `host` may start to drain: its service keeps its budget, less `reserve` places.
/// `absent` names the hosts that the platform's list has lost, sorted.
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
        // Hosts of a spare pool serve nobody.
        return Ok(());
    };
    let hosts = config.hosts_of(contract, &service.name);
    check_budget(service, hosts, host, absent, reserve, moment)
}

/// True if `host` may start to drain beside the other `hosts` of its service.
pub fn check_budget<'a>(
    service: &Service,
    hosts: impl Iterator<Item = &'a HostRow>,
    host: &HostRow,
    absent: &[HostId],
    reserve: u32,
    moment: Moment,
) -> Result<(), BudgetRefusal> {
    let unavailable: Vec<Unavailable> = hosts
        .filter(|other| other.id() != host.id())
        .filter(|other| !is_available(other, absent))
        .map(|other| Unavailable {
            host: other.id().clone(),
            state: other.state,
            free_in: free_in(other, moment),
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

/// True if `host` counts as available for its service.
pub fn is_available(host: &HostRow, absent: &[HostId]) -> bool {
    host.state == HostState::Serving && absent.binary_search(host.id()).is_err()
}

/// Time until `host` usually serves again.
fn free_in(host: &HostRow, moment: Moment) -> Option<Duration> {
    let by_operator = host.reason == Some(model::StopReason::Operator);
    let usual = match host.state {
        HostState::Serving | HostState::Failed => return None,
        HostState::Draining | HostState::Drained if by_operator => return None,
        HostState::Draining if host.move_to.is_some() => DRAIN_TIME + RETURN_TIME,
        HostState::Draining => DRAIN_TIME + REBOOT_TIME + RETURN_TIME,
        HostState::Drained if host.move_to.is_some() => RETURN_TIME,
        HostState::Drained => REBOOT_TIME + RETURN_TIME,
        HostState::Rebooting => REBOOT_TIME + RETURN_TIME,
        HostState::Returning => RETURN_TIME,
    };
    let passed = Duration::from_millis(moment.now_ms().saturating_sub(host.since_ms));
    Some(usual.saturating_sub(passed).max(Duration::from_secs(1)))
}

fn describe(unavailable: &Unavailable) -> String {
    match unavailable.state {
        HostState::Serving => "absent from the host list".to_owned(),
        state => state.to_string(),
    }
}
