//! Transitions of hosts that follow from evidence.
//!
//! *Evidence* is what nodes, the platform and the backend servers report about a host. It names the
//! epoch of the row that it was gathered for, so that evidence about an earlier state never causes
//! a transition of a later one. Any node can gather it: the host's row holds all that is needed to
//! continue after another node has failed.

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

/// Maximum duration of a reboot; a host that is not back by then has failed.
pub const REBOOT_TIMEOUT: Duration = Duration::from_secs(1_800);
/// Maximum time from a boot or a change of pool until the backend server replies to a probe; after
/// that the host has failed.
pub const RETURN_TIMEOUT: Duration = Duration::from_secs(300);

/// Evidence about one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEvidence {
    /// Host that the evidence is about.
    pub host: HostId,
    /// Epoch of the host's row when the evidence was gathered.
    pub epoch: u64,
    /// What each node reports about a draining host; empty in other states.
    pub reports: Vec<NodeReport>,
    /// Result of the reboot that was requested at this epoch; `None` unless the host is rebooting
    /// and the platform replied.
    pub reboot: Option<RebootState>,
    /// Result of a probe of the backend server; `None` unless the host is returning.
    pub probe: Option<Probe>,
}

impl HostEvidence {
    /// Creates empty evidence for the epoch of `row`.
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
    /// When the gathering started.
    pub gathered_at: SystemTime,
    /// Evidence about single hosts, sorted by host.
    pub hosts: Vec<HostEvidence>,
    /// The platform's host list.
    pub list: HostList,
    /// Hosts whose backend servers did not reply to the latest probe, sorted. It is in doubt
    /// whether they are up.
    pub unresponsive: Vec<HostId>,
}

impl Evidence {
    /// Returns the hosts that are absent from the list or unresponsive, sorted.
    pub fn unavailable(&self, config: &Config) -> Vec<HostId> {
        let mut hosts = self.list.absent(config);
        hosts.extend(self.unresponsive.iter().cloned());
        hosts.sort();
        hosts.dedup();
        hosts
    }
}

/// Returns the operation id of the reboot that a row requests. It is the same on every node, so
/// that the platform starts the reboot once.
pub fn reboot_operation_id(row: &HostRow) -> OperationId {
    format!("reboot-{}-{}", row.id(), row.epoch).into()
}

/// Returns the row after the next transition of a host; `None` if the evidence supports none.
pub fn advance_host(
    config: &Config,
    row: &HostRow,
    evidence: &Evidence,
    moment: Moment,
) -> Option<HostRow> {
    let presence = evidence.list.presence(row);
    if presence == Presence::Absent {
        return fail_absent_host(row, moment);
    }
    let found = evidence.hosts.binary_search_by(|other| other.host.cmp(row.id())).ok();
    let host_evidence = found
        .map(|index| &evidence.hosts[index])
        .filter(|host_evidence| host_evidence.epoch == row.epoch);
    match AnyHost::from(row) {
        AnyHost::Serving(host) => match presence {
            Presence::Restarted { .. } => Some(host.fail(StopReason::Absent, moment).into_row()),
            Presence::FirstSeen { boot_count } => Some(with_boot_count(row, boot_count)),
            _ => None,
        },
        AnyHost::Draining(host) => {
            let idle = check_idle(row, &host_evidence?.reports)?;
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
            if let Some(booted) = check_booted(host_evidence, presence) {
                return Some(host.booted(booted, moment).into_row());
            }
            let platform_gave_up = host_evidence
                .is_some_and(|host_evidence| host_evidence.reboot == Some(RebootState::Failed));
            if platform_gave_up || time_in_state(row, moment) > REBOOT_TIMEOUT {
                return Some(host.fail(StopReason::RebootFailed, moment).into_row());
            }
            None
        }
        AnyHost::Returning(host) => {
            if let Some(healthy) = check_may_serve(config, row, host_evidence) {
                return Some(host.serve(healthy, moment).into_row());
            }
            if time_in_state(row, moment) > RETURN_TIMEOUT {
                return Some(host.fail(StopReason::Broken, moment).into_row());
            }
            None
        }
        AnyHost::Failed(host) => match (presence, &row.reason) {
            (Presence::Restarted { boot_count }, _) => {
                let booted = Booted { boot_count: Some(boot_count) };
                Some(host.repaired(booted, moment).into_row())
            }
            // The host was only missing from the list, and the list has shown it since.
            (Presence::Present { boot_count }, Some(StopReason::Absent)) => {
                let booted = Booted { boot_count: Some(boot_count) };
                Some(host.repaired(booted, moment).into_row())
            }
            _ => None,
        },
    }
}

/// Fails a host that is absent from the list. A rebooting host is expected to be absent, so it
/// fails only after the reboot timeout.
fn fail_absent_host(row: &HostRow, moment: Moment) -> Option<HostRow> {
    let reason = StopReason::Absent;
    Some(match AnyHost::from(row) {
        AnyHost::Serving(host) => host.fail(reason, moment).into_row(),
        AnyHost::Draining(host) => host.fail(reason, moment).into_row(),
        AnyHost::Drained(host) => host.fail(reason, moment).into_row(),
        AnyHost::Returning(host) => host.fail(reason, moment).into_row(),
        AnyHost::Rebooting(host) if time_in_state(row, moment) > REBOOT_TIMEOUT => {
            host.fail(StopReason::RebootFailed, moment).into_row()
        }
        AnyHost::Rebooting(_) | AnyHost::Failed(_) => return None,
    })
}

/// Returns evidence that the requested reboot is done: the platform reports it, and the list does not
/// still show the boot of before. A new boot count alone is no such evidence, because the host may
/// have crashed while it drained, and be rebooted only now.
fn check_booted(host_evidence: Option<&HostEvidence>, presence: Presence) -> Option<Booted> {
    let is_reboot_done =
        host_evidence.is_some_and(|host_evidence| host_evidence.reboot == Some(RebootState::Done));
    if !is_reboot_done {
        return None;
    }
    match presence {
        Presence::Restarted { boot_count } | Presence::FirstSeen { boot_count } => {
            Some(Booted { boot_count: Some(boot_count) })
        }
        Presence::Unlisted => Some(Booted { boot_count: None }),
        Presence::Absent | Presence::Stale | Presence::Present { .. } => None,
    }
}

fn check_may_serve(
    config: &Config,
    row: &HostRow,
    host_evidence: Option<&HostEvidence>,
) -> Option<Healthy> {
    if config.service_of(row).is_none() {
        // Hosts of a spare pool have no backend server that could be probed.
        return Some(Healthy(()));
    }
    check_healthy(row, host_evidence?.probe?)
}

fn with_boot_count(row: &HostRow, boot_count: u64) -> HostRow {
    let mut row = row.clone();
    row.boot_count = Some(boot_count);
    row.epoch += 1;
    row
}

fn time_in_state(row: &HostRow, moment: Moment) -> Duration {
    Duration::from_millis(moment.now_ms().saturating_sub(row.since_ms))
}
