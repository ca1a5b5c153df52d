//! Next steps of hosts, from the evidence at hand.
//!
//! Evidence names the epoch of the row that it was gathered for, so that evidence about an earlier
//! step never moves a later one. Any node can gather it and carry a host on: nothing but the row is
//! needed to go on after another node died.

use std::time::Duration;
use std::time::SystemTime;

use model::Config;
use model::HostId;
use model::HostRow;
use model::OperationId;
use model::StopReason;
use services::RebootState;

use crate::lifecycle::AnyHost;
use crate::lifecycle::Booted;
use crate::lifecycle::Healthy;
use crate::lifecycle::Moment;
use crate::list::HostList;
use crate::list::Presence;
use crate::transition::NodeReport;
use crate::transition::Probe;
use crate::transition::check_healthy;
use crate::transition::check_idle;

/// Longest time of a reboot; a host that is not back by then has failed.
pub const REBOOT_MAX: Duration = Duration::from_secs(1_800);
/// Longest time from a boot or a change of pool to the first healthy answer.
pub const RETURN_MAX: Duration = Duration::from_secs(300);

/// Evidence about one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEvidence {
    /// Host.
    pub host: HostId,
    /// Epoch of the row that the evidence is about.
    pub epoch: u64,
    /// What the nodes report of a draining host.
    pub reports: Vec<NodeReport>,
    /// What the platform says about the reboot that was asked for at this epoch.
    pub reboot: Option<RebootState>,
    /// Answer of the backend server.
    pub probe: Option<Probe>,
}

impl HostEvidence {
    /// No evidence about `row` yet.
    pub fn none(row: &HostRow) -> Self {
        Self {
            host: row.id().clone(),
            epoch: row.epoch,
            reports: Vec::new(),
            reboot: None,
            probe: None,
        }
    }
}

/// Evidence about all hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// When its gathering began.
    pub gathered_at: SystemTime,
    /// About single hosts, sorted by host.
    pub hosts: Vec<HostEvidence>,
    /// The platform's host list.
    pub list: HostList,
    /// Hosts whose backend servers did not answer just now, sorted; in doubt until they do.
    pub unresponsive: Vec<HostId>,
}

impl Evidence {
    /// Hosts that the list has lost, and those in doubt; sorted.
    pub fn unavailable(&self, config: &Config) -> Vec<HostId> {
        let mut hosts = self.list.absent(config);
        hosts.extend(self.unresponsive.iter().cloned());
        hosts.sort();
        hosts.dedup();
        hosts
    }
}

/// Operation id of the reboot that a host's row asks for; the same on every node.
pub fn reboot_operation_id(row: &HostRow) -> OperationId {
    format!("reboot-{}-{}", row.id(), row.epoch).into()
}

/// Row after the next step of a host, if there is evidence for one.
pub fn advance_host(
    config: &Config,
    row: &HostRow,
    evidence: &Evidence,
    moment: Moment,
) -> Option<HostRow> {
    let presence = evidence.list.presence(row);
    if presence == Presence::Absent {
        return lost(row, moment);
    }
    let found = evidence.hosts.binary_search_by(|other| other.host.cmp(row.id())).ok();
    let own = found.map(|index| &evidence.hosts[index]).filter(|own| own.epoch == row.epoch);
    match AnyHost::from(row) {
        AnyHost::Serving(host) => match presence {
            Presence::Restarted { .. } => Some(host.fail(StopReason::Absent, moment).into_row()),
            Presence::FirstSeen { boot_count } => Some(with_boot(row, boot_count)),
            _ => None,
        },
        AnyHost::Draining(host) => {
            let idle = check_idle(row, &own?.reports)?;
            Some(host.drained(idle, moment).into_row())
        }
        AnyHost::Drained(host) => match &row.reason {
            Some(StopReason::Move) if row.move_to.is_some() => {
                Some(host.change_pool(moment).into_row())
            }
            Some(StopReason::Wave(_)) => Some(host.reboot(row.boot_count, moment).into_row()),
            _ => None,
        },
        AnyHost::Rebooting(host) => {
            if let Some(booted) = booted(own, presence) {
                return Some(host.booted(booted, moment).into_row());
            }
            let gave_up = own.is_some_and(|own| own.reboot == Some(RebootState::Failed));
            if gave_up || age(row, moment) > REBOOT_MAX {
                return Some(host.fail(StopReason::RebootFailed, moment).into_row());
            }
            None
        }
        AnyHost::Returning(host) => {
            if let Some(healthy) = may_serve(config, row, own) {
                return Some(host.serve(healthy, moment).into_row());
            }
            if age(row, moment) > RETURN_MAX {
                return Some(host.fail(StopReason::Broken, moment).into_row());
            }
            None
        }
        AnyHost::Failed(host) => match (presence, &row.reason) {
            (Presence::Restarted { boot_count }, _) => {
                let booted = Booted { boot_count: Some(boot_count) };
                Some(host.repaired(booted, moment).into_row())
            }
            // It was only missing from the list, and is there again since.
            (Presence::Present { boot_count }, Some(StopReason::Absent)) => {
                let booted = Booted { boot_count: Some(boot_count) };
                Some(host.repaired(booted, moment).into_row())
            }
            _ => None,
        },
    }
}

/// A host that the list has lost takes no work; one that reboots is expected to be missing.
fn lost(row: &HostRow, moment: Moment) -> Option<HostRow> {
    let reason = StopReason::Absent;
    Some(match AnyHost::from(row) {
        AnyHost::Serving(host) => host.fail(reason, moment).into_row(),
        AnyHost::Draining(host) => host.fail(reason, moment).into_row(),
        AnyHost::Drained(host) => host.fail(reason, moment).into_row(),
        AnyHost::Returning(host) => host.fail(reason, moment).into_row(),
        AnyHost::Rebooting(host) if age(row, moment) > REBOOT_MAX => {
            host.fail(StopReason::RebootFailed, moment).into_row()
        }
        AnyHost::Rebooting(_) | AnyHost::Failed(_) => return None,
    })
}

/// Evidence of a boot: a new boot number, or the platform's word where it has no list of the host.
fn booted(own: Option<&HostEvidence>, presence: Presence) -> Option<Booted> {
    let done = own.is_some_and(|own| own.reboot == Some(RebootState::Done));
    match presence {
        Presence::Restarted { boot_count } => Some(Booted { boot_count: Some(boot_count) }),
        Presence::FirstSeen { boot_count } if done => Some(Booted { boot_count: Some(boot_count) }),
        Presence::Unlisted if done => Some(Booted { boot_count: None }),
        _ => None,
    }
}

fn may_serve(config: &Config, row: &HostRow, own: Option<&HostEvidence>) -> Option<Healthy> {
    if config.service_of(row).is_none() {
        // Hosts of a spare pool offer nothing that could be probed.
        return Some(Healthy(()));
    }
    check_healthy(row, own?.probe?)
}

fn with_boot(row: &HostRow, boot_count: u64) -> HostRow {
    let mut row = row.clone();
    row.boot_count = Some(boot_count);
    row.epoch += 1;
    row
}

fn age(row: &HostRow, moment: Moment) -> Duration {
    Duration::from_millis(moment.now_ms().saturating_sub(row.since_ms))
}
