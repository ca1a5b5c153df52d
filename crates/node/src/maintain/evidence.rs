//! Gathers evidence about hosts from the table, the platform and the backend servers.
//!
//! A node that no longer runs anything on a draining host reports this in its row `idle/{node}`.
//! The report contains the host's epoch, so that a report about an earlier drain is ignored.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use limits::Holding;
use limits::LedgerRow;
use limits::LimitKey;
use maintenance::Evidence;
use maintenance::HostEvidence;
use maintenance::HostList;
use maintenance::NodeReport;
use maintenance::Probe;
use membership::MemberView;
use model::Config;
use model::ConfigVersion;
use model::HostId;
use model::HostRow;
use model::HostState;
use model::Incarnation;
use model::NodeId;
use model::PoolId;
use serde::Deserialize;
use serde::Serialize;
use services::FinalOutcome;
use services::Scan;
use services::Unavailable;
use services::Write;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::shared::Shared;

/// Prefix of the keys of idle reports.
const IDLE_PREFIX: &str = "idle/";
/// Time in which a backend server must accept the connection of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Approximate size of an entry of the host list, in bytes.
const ENTRY_BYTES: u64 = 140;
/// Part of a node's traffic budget that reads of the host list may use.
const LIST_BYTES_PER_SECOND: u64 = 5_000;
/// Longest time to wait for the outcome of writing a report.
const REPORT_SETTLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Report for a node that may run requests on the host, as it is unknown what it runs.
const UNKNOWN_REPORT: NodeReport = NodeReport { config_version: None, running: None };

/// Draining hosts on which one node runs nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdleReport {
    /// Node that reports.
    pub node: NodeId,
    /// Incarnation of the node; a report of an earlier one is ignored.
    pub incarnation: Incarnation,
    /// Version of the configuration that was active at the node.
    pub config_version: ConfigVersion,
    /// Hosts with the epochs of their drains, sorted.
    pub hosts: Vec<(HostId, u64)>,
}

/// Gathers evidence, and keeps what later ticks need.
#[derive(Default)]
pub struct EvidenceCollector {
    /// Host list as last read.
    list: HostList,
    /// When the last successful read of the list started.
    list_read_at: Option<SystemTime>,
    next_list_read_at: Option<Instant>,
    /// Draining hosts that were idle at the last tick, with the epochs of their drains, sorted.
    idle: Vec<(HostId, u64)>,
    /// Last report that was written.
    last_report: Option<IdleReport>,
}

impl EvidenceCollector {
    /// Writes a report of the draining hosts on which this node runs nothing, if it has changed.
    ///
    /// A host is reported only when it was idle at two consecutive ticks. A request that acquired
    /// its tokens under the configuration before the drain may become visible only at the second.
    pub async fn report_idle(&mut self, shared: &Shared, config: &Config) {
        let idle = idle_hosts(shared, config);
        let previous = std::mem::replace(&mut self.idle, idle);
        let hosts = self.idle.iter().filter(|host| previous.binary_search(host).is_ok());
        let report = IdleReport {
            node: shared.settings.node.clone(),
            incarnation: own_incarnation(shared),
            config_version: config.version,
            hosts: hosts.cloned().collect(),
        };
        let last_hosts = self.last_report.as_ref().map(|last_report| &last_report.hosts);
        if last_hosts == Some(&report.hosts) || (last_hosts.is_none() && report.hosts.is_empty()) {
            return;
        }
        if !is_single_node(shared) {
            let write = Write::put_json(format!("{IDLE_PREFIX}{}", report.node), &report);
            let table = &*shared.platform.table;
            let committed = shared
                .committer
                .commit(table, Vec::new(), vec![write], REPORT_SETTLE_TIMEOUT)
                .await;
            if committed != FinalOutcome::Committed {
                return;
            }
        }
        self.last_report = Some(report);
    }

    /// Gathers evidence about the hosts of all pools that `is_own_duty` accepts. Evidence that
    /// could not be read is left out and therefore triggers no transition.
    pub async fn gather(
        &mut self,
        shared: &Shared,
        config: &Config,
        is_own_duty: impl Fn(&PoolId) -> bool,
    ) -> Evidence {
        self.read_list(shared).await;
        let own_rows = || config.hosts.iter().filter(|row| is_own_duty(&row.spec.pool));
        let is_draining = own_rows().any(|row| row.state == HostState::Draining);
        let reports = if is_draining { self.idle_reports(shared).await.ok() } else { None };
        let mut hosts = Vec::new();
        for row in own_rows() {
            match row.state {
                HostState::Draining => {
                    if let Some(reports) = &reports {
                        hosts.extend(drain_evidence(shared, row, reports).await.ok());
                    }
                }
                HostState::Rebooting => hosts.push(reboot_evidence(shared, row).await),
                HostState::Returning => hosts.push(return_evidence(row).await),
                HostState::Serving | HostState::Drained | HostState::Failed => {}
            }
        }
        let gathered_at = self.list_read_at.unwrap_or(SystemTime::UNIX_EPOCH);
        Evidence { gathered_at, hosts, list: self.list.clone(), unresponsive: Vec::new() }
    }

    /// Reads the host list if it is due. A longer list is read less often.
    async fn read_list(&mut self, shared: &Shared) {
        if self.next_list_read_at.is_some_and(|next| Instant::now() < next) {
            return;
        }
        let read_started_at = SystemTime::now();
        let Ok(listed) = shared.platform.fleet.hosts().await else {
            shared.telemetry.count("maintenance.no-host-list");
            return;
        };
        let interval = list_interval(listed.len()).max(shared.settings.poll_interval);
        self.next_list_read_at = Some(Instant::now() + interval);
        self.list_read_at = Some(read_started_at);
        self.list = HostList::new(listed);
    }

    /// Returns the reports that nodes have written.
    async fn idle_reports(&self, shared: &Shared) -> Result<Vec<IdleReport>, Unavailable> {
        if is_single_node(shared) {
            return Ok(self.last_report.iter().cloned().collect());
        }
        let rows = shared.platform.table.scan(Scan::prefix(IDLE_PREFIX)).await?;
        let decode = |row: &services::Row| serde_json::from_slice(&row.value).ok();
        Ok(rows.iter().filter_map(decode).collect())
    }
}

/// Returns the time between reads of a host list that keeps their traffic below the maximum.
fn list_interval(entries: usize) -> Duration {
    Duration::from_millis((entries as u64 * ENTRY_BYTES * 1_000) / LIST_BYTES_PER_SECOND)
}

/// Returns the hosts that are missing in the platform's list, and the hosts of the service of
/// `host` that do not respond.
pub async fn unavailable_in_service(
    shared: &Shared,
    config: &Config,
    host: &str,
) -> Result<Vec<HostId>, Unavailable> {
    let list = HostList::new(shared.platform.fleet.hosts().await?);
    let unresponsive = match config.host(host) {
        Some(row) => unresponsive_in_services(config, std::iter::once(row)).await,
        None => Vec::new(),
    };
    let hosts = Vec::new();
    let evidence = Evidence { gathered_at: SystemTime::now(), hosts, list, unresponsive };
    Ok(evidence.unavailable(config))
}

/// Returns the serving hosts in the services of `rows` whose backend servers do not respond,
/// sorted.
///
/// The host list lags behind. Without the probes, a failed host that is still in the list would
/// count as available in the availability budget.
pub async fn unresponsive_in_services<'a>(
    config: &Config,
    rows: impl Iterator<Item = &'a HostRow>,
) -> Vec<HostId> {
    let mut probed: Vec<&HostRow> = Vec::new();
    for row in rows {
        let (Some(service), Some(contract)) =
            (config.service_of(row), config.contract(&row.customer))
        else {
            continue;
        };
        let serving = |other: &&HostRow| other.state == HostState::Serving;
        probed.extend(config.hosts_of(contract, &service.name).filter(serving));
    }
    probed.sort_by(|a, b| a.id().cmp(b.id()));
    probed.dedup_by(|a, b| a.id() == b.id());
    let mut probes = JoinSet::new();
    for row in probed {
        let (id, address) = (row.id().clone(), row.spec.address);
        probes.spawn(async move { (id, accepts_connection(address).await) });
    }
    let replies = probes.join_all().await;
    let mut unresponsive: Vec<HostId> =
        replies.into_iter().filter(|(_, has_replied)| !has_replied).map(|(id, _)| id).collect();
    unresponsive.sort();
    unresponsive
}

/// Returns the draining hosts on which this node runs nothing, with their epochs, sorted.
fn idle_hosts(shared: &Shared, config: &Config) -> Vec<(HostId, u64)> {
    let draining = config.hosts.iter().filter(|row| row.state == HostState::Draining);
    let idle = draining.filter(|row| {
        let slots = shared.limits.get(&LimitKey::Slots(row.id().clone()));
        slots.is_none_or(|slots| slots.running + slots.in_doubt == 0)
    });
    idle.map(|row| (row.id().clone(), row.epoch)).collect()
}

/// Returns the reports of the nodes about a draining host.
async fn drain_evidence(
    shared: &Shared,
    row: &HostRow,
    idle: &[IdleReport],
) -> Result<HostEvidence, Unavailable> {
    let drain = (row.id().clone(), row.epoch);
    let to_node_report = |report: &IdleReport| NodeReport {
        config_version: Some(report.config_version),
        running: report.hosts.binary_search(&drain).is_ok().then_some(0),
    };
    let mut evidence = HostEvidence::none(row);
    if shared.settings.peering.is_none() {
        evidence.reports = idle.iter().map(to_node_report).collect();
        // A node that has not reported may still run requests on the host.
        let expected = shared.settings.node_count.max(1) as usize;
        evidence.reports.resize(evidence.reports.len().max(expected), UNKNOWN_REPORT);
        return Ok(evidence);
    }
    let members = shared.members();
    let active_members: Vec<&MemberView> = members
        .iter()
        .filter(|member| !shared.is_member_gone(&member.node, member.incarnation))
        .collect();
    for member in &active_members {
        let report = idle
            .iter()
            .find(|report| report.node == member.node && report.incarnation == member.incarnation);
        evidence.reports.push(report.map_or(UNKNOWN_REPORT, to_node_report));
    }
    if maintenance::transition::check_idle(row, &evidence.reports).is_none() {
        return Ok(evidence);
    }
    // It is unknown whether requests of a gone incarnation that holds slots there still run.
    let slots = shared.platform.table.get(&LimitKey::Slots(row.id().clone()).row_key()).await?;
    let ledger: Option<LedgerRow> = slots
        .map(|row| serde_json::from_slice(&row.value))
        .transpose()
        .map_err(Unavailable::new)?;
    let holdings = ledger.map_or_else(Vec::new, |ledger| ledger.holdings);
    let is_orphaned = |holding: &Holding| {
        let holder = &holding.holder;
        !active_members.iter().any(|m| m.node == holder.node && m.incarnation == holder.incarnation)
    };
    if holdings.iter().any(is_orphaned) {
        evidence.reports.push(UNKNOWN_REPORT);
    }
    Ok(evidence)
}

/// Returns this node's current incarnation, as its view of the members shows it.
fn own_incarnation(shared: &Shared) -> Incarnation {
    let members = shared.members();
    let found = members.binary_search_by(|member| member.node.cmp(&shared.settings.node));
    found.map_or(0, |index| members[index].incarnation)
}

/// Returns true if no other node shares the fleet.
fn is_single_node(shared: &Shared) -> bool {
    shared.settings.peering.is_none() && shared.settings.node_count <= 1
}

/// Requests the reboot of the host. A repeated request starts no second reboot, because its
/// operation id is derived from the row.
async fn reboot_evidence(shared: &Shared, row: &HostRow) -> HostEvidence {
    let operation = maintenance::reboot_operation_id(row);
    let reboot = shared.platform.fleet.reboot(row.id(), &operation).await;
    HostEvidence { reboot: reboot.ok(), ..HostEvidence::none(row) }
}

async fn return_evidence(row: &HostRow) -> HostEvidence {
    let at = SystemTime::now();
    let probe = if accepts_connection(row.spec.address).await {
        Probe::Healthy { at }
    } else {
        Probe::Unresponsive
    };
    HostEvidence { probe: Some(probe), ..HostEvidence::none(row) }
}

/// Returns true if the backend server accepts a connection within the timeout.
async fn accepts_connection(address: SocketAddr) -> bool {
    let connect = TcpStream::connect(address);
    matches!(tokio::time::timeout(PROBE_TIMEOUT, connect).await, Ok(Ok(_)))
}
