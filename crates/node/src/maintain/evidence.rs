//! Evidence about hosts, gathered from the table, the platform and the backend servers.
//!
//! A node that runs nothing on a draining host any more says so in its row `idle/{node}`; the row
//! names the host's epoch, so that a report about an earlier drain counts for nothing.

use std::time::Duration;
use std::time::SystemTime;

use limits::LimitKey;
use maintenance::Evidence;
use maintenance::HostEvidence;
use maintenance::HostList;
use maintenance::NodeReport;
use maintenance::Probe;
use model::Config;
use model::ConfigVersion;
use model::HostId;
use model::HostRow;
use model::HostState;
use model::NodeId;
use platform::Scan;
use platform::Settled;
use platform::Unavailable;
use platform::Write;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpStream;

use crate::shared::Shared;

/// Prefix of the rows in which nodes report the hosts that they run nothing on.
const IDLE_PREFIX: &str = "idle/";
/// Time that a backend server has to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that a report may take to settle.
const REPORT_PATIENCE: Duration = Duration::from_secs(2);

/// What one node reports of all draining hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdleReport {
    /// Node.
    pub node: NodeId,
    /// Version in force at the node.
    pub config_version: ConfigVersion,
    /// Draining hosts that it runs nothing on, with their epochs, sorted.
    pub hosts: Vec<(HostId, u64)>,
}

/// Evidence about all hosts; what did not answer is left out, and so starts nothing.
pub async fn gather(shared: &Shared, config: &Config) -> Evidence {
    let gathered_at = SystemTime::now();
    let Ok(listed) = shared.platform.fleet.hosts().await else {
        shared.telemetry.count("maintenance.no-host-list");
        // Old from the start: whatever is planned needs a list.
        let gathered_at = SystemTime::UNIX_EPOCH;
        return Evidence { gathered_at, hosts: Vec::new(), list: HostList::default() };
    };
    let draining = config.hosts.iter().any(|row| row.state == HostState::Draining);
    let reports = if draining { node_reports(shared, config).await.ok() } else { None };
    let mut hosts = Vec::new();
    for row in &config.hosts {
        match row.state {
            HostState::Draining => {
                hosts.extend(reports.as_ref().map(|reports| drain_evidence(row, reports)));
            }
            HostState::Rebooting => hosts.push(reboot_evidence(shared, row).await),
            HostState::Returning => hosts.push(return_evidence(row).await),
            HostState::Serving | HostState::Drained | HostState::Failed => {}
        }
    }
    Evidence { gathered_at, hosts, list: HostList::new(listed) }
}

/// Hosts that the platform's list has lost, as of now.
pub async fn absent_hosts(shared: &Shared, config: &Config) -> Result<Vec<HostId>, Unavailable> {
    Ok(HostList::new(shared.platform.fleet.hosts().await?).absent(config))
}

/// Reports of all nodes, this one included and written first.
async fn node_reports(
    shared: &Shared,
    config: &Config,
) -> Result<Vec<Option<IdleReport>>, Unavailable> {
    let own = own_report(shared, config);
    let expected = shared.settings.node_count.max(1) as usize;
    if expected == 1 {
        return Ok(vec![Some(own)]);
    }
    let rows = shared.platform.table.scan(Scan::prefix(IDLE_PREFIX)).await?;
    let decode = |row: &platform::Row| serde_json::from_slice::<IdleReport>(&row.value).ok();
    let mut reports: Vec<IdleReport> = rows.iter().filter_map(decode).collect();
    if !reports.contains(&own) {
        let write = Write::put_json(format!("{IDLE_PREFIX}{}", own.node), &own);
        let table = &*shared.platform.table;
        let settled =
            shared.committer.commit(table, Vec::new(), vec![write], REPORT_PATIENCE).await;
        if settled != Settled::Committed {
            return Err(Unavailable::new("the report was not written"));
        }
        reports.retain(|report| report.node != own.node);
        reports.push(own);
    }
    let mut reports: Vec<_> = reports.into_iter().map(Some).collect();
    // A node that has not reported may run anything.
    reports.resize(reports.len().max(expected), None);
    Ok(reports)
}

fn own_report(shared: &Shared, config: &Config) -> IdleReport {
    let draining = config.hosts.iter().filter(|row| row.state == HostState::Draining);
    let idle = draining.filter(|row| {
        let slots = shared.limits.get(&LimitKey::Slots(row.id().clone()));
        slots.is_none_or(|slots| slots.running + slots.in_doubt == 0)
    });
    IdleReport {
        node: shared.settings.node.clone(),
        config_version: config.version,
        hosts: idle.map(|row| (row.id().clone(), row.epoch)).collect(),
    }
}

fn drain_evidence(row: &HostRow, reports: &[Option<IdleReport>]) -> HostEvidence {
    let wanted = (row.id().clone(), row.epoch);
    let report_of = |report: &Option<IdleReport>| match report {
        Some(report) => NodeReport {
            config_version: Some(report.config_version),
            running: report.hosts.binary_search(&wanted).is_ok().then_some(0),
        },
        None => NodeReport { config_version: None, running: None },
    };
    HostEvidence { reports: reports.iter().map(report_of).collect(), ..HostEvidence::none(row) }
}

/// Asks for the reboot that the row is about; a repeat starts nothing new.
async fn reboot_evidence(shared: &Shared, row: &HostRow) -> HostEvidence {
    let operation = maintenance::reboot_operation(row);
    let answer = shared.platform.fleet.reboot(row.id(), &operation).await;
    HostEvidence { reboot: answer.ok(), ..HostEvidence::none(row) }
}

async fn return_evidence(row: &HostRow) -> HostEvidence {
    let at = SystemTime::now();
    let connect = TcpStream::connect(row.spec.address);
    let answered = matches!(tokio::time::timeout(PROBE_TIMEOUT, connect).await, Ok(Ok(_)));
    let probe = if answered { Probe::Healthy { at } } else { Probe::Silent };
    HostEvidence { probe: Some(probe), ..HostEvidence::none(row) }
}
