//! One planning step over hosts and waves together.

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

/// Age from which evidence starts nothing new.
pub const EVIDENCE_MAX: Duration = Duration::from_secs(60);

/// Rows that follow from one planning step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowChanges {
    /// Changed hosts, sorted by id.
    pub hosts: Vec<HostRow>,
    /// Changed waves.
    pub waves: Vec<WaveRow>,
}

impl RowChanges {
    /// Hosts that begin to drain for a wave; sorted.
    pub fn drains(&self) -> impl Iterator<Item = &HostRow> {
        self.hosts.iter().filter(|row| {
            row.state == HostState::Draining && matches!(row.reason, Some(StopReason::Wave(_)))
        })
    }

    /// True if nothing changes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty() && self.waves.is_empty()
    }

    /// Rows of the change.
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

/// Next steps of the hosts and waves of all pools that `is_mine` accepts.
pub fn advance_all(
    config: &Config,
    evidence: &Evidence,
    is_mine: impl Fn(&PoolId) -> bool,
    moment: Moment,
) -> RowChanges {
    let mut step = RowChanges::default();
    let is_old =
        moment.now.duration_since(evidence.gathered_at).is_ok_and(|age| age > EVIDENCE_MAX);
    if is_old {
        // The node was paused, or the table was away; what was true then may not be true now.
        return step;
    }
    let mut after = None;
    for row in config.hosts.iter().filter(|row| is_mine(&row.spec.pool)) {
        if let Some(next) = advance_host(config, row, evidence, moment) {
            put_host(after.get_or_insert_with(|| config.clone()), &next);
            step.put(next);
        }
    }
    let config = after.as_ref().unwrap_or(config);
    let lost = evidence.list.absent(config);
    let unavailable = evidence.unavailable(config);
    let waves = advance_waves(config, &lost, &unavailable, is_mine, moment);
    waves.hosts.into_iter().for_each(|host| step.put(host));
    step.waves = waves.waves;
    step
}

/// Replaces the row of a host.
pub(crate) fn put_host(config: &mut Config, row: &HostRow) {
    if let Ok(index) = config.hosts.binary_search_by(|other| other.id().cmp(row.id())) {
        config.hosts[index] = row.clone();
    }
}
