//! The planner: transitions of hosts and waves in one change.

use std::time::Duration;

use model::Config;
use model::ConfigRow;
use model::HostRow;
use model::HostState;
use model::PoolId;
use model::StopReason;
use model::WaveRow;

use crate::advance::Evidence;
use crate::advance::advance_host;
use crate::lifecycle::Moment;
use crate::wave::advance_waves;

/// Maximum age of evidence; older evidence causes no transitions.
pub const EVIDENCE_AGE_MAX: Duration = Duration::from_secs(60);

/// Rows of hosts and waves that one change writes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowChanges {
    /// Changed hosts, sorted by id.
    pub hosts: Vec<HostRow>,
    /// Changed waves.
    pub waves: Vec<WaveRow>,
}

impl RowChanges {
    /// Returns the hosts that start to drain for a wave, sorted.
    pub fn drains(&self) -> impl Iterator<Item = &HostRow> {
        self.hosts.iter().filter(|row| {
            row.state == HostState::Draining && matches!(row.reason, Some(StopReason::Wave(_)))
        })
    }

    /// True if no row changes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty() && self.waves.is_empty()
    }

    /// Returns the rows in the form that the configuration stores.
    pub fn rows(&self) -> Vec<ConfigRow> {
        let hosts = self.hosts.iter().cloned().map(ConfigRow::Host);
        hosts.chain(self.waves.iter().cloned().map(ConfigRow::Wave)).collect()
    }

    pub(crate) fn put(&mut self, host: HostRow) {
        match self.hosts.binary_search_by(|other| other.id().cmp(host.id())) {
            Ok(index) => self.hosts[index] = host,
            Err(index) => self.hosts.insert(index, host),
        }
    }
}

/// Returns the transitions of the hosts and waves of all pools that `is_mine` accepts.
pub fn advance_all(
    config: &Config,
    evidence: &Evidence,
    is_mine: impl Fn(&PoolId) -> bool,
    moment: Moment,
) -> RowChanges {
    let mut changes = RowChanges::default();
    let is_evidence_old =
        moment.now.duration_since(evidence.gathered_at).is_ok_and(|age| age > EVIDENCE_AGE_MAX);
    if is_evidence_old {
        // The node was paused, or the table was unavailable; the evidence may no longer be true.
        return changes;
    }
    let mut updated_config = None;
    for row in config.hosts.iter().filter(|row| is_mine(&row.spec.pool)) {
        if let Some(next) = advance_host(config, row, evidence, moment) {
            put_host(updated_config.get_or_insert_with(|| config.clone()), &next);
            changes.put(next);
        }
    }
    let config = updated_config.as_ref().unwrap_or(config);
    let absent = evidence.list.absent(config);
    let unavailable = evidence.unavailable(config);
    let waves = advance_waves(config, &absent, &unavailable, is_mine, moment);
    waves.hosts.into_iter().for_each(|host| changes.put(host));
    changes.waves = waves.waves;
    changes
}

/// Replaces the row of a host; a host that the configuration lacks is ignored.
pub(crate) fn put_host(config: &mut Config, row: &HostRow) {
    if let Ok(index) = config.hosts.binary_search_by(|other| other.id().cmp(row.id())) {
        config.hosts[index] = row.clone();
    }
}
