//! Zones that operators evacuate, as a node follows their rows, and whether the node may start
//! runs.
//!
//! Failures: a malformed row changes nothing; rows that were removed while the node was away are
//! missing in the next snapshot; a node that was suspended, or is cut off from the table, has an
//! old read, with which it starts nothing.

use std::sync::Arc;

use scheduler::Moment;
use scheduler::Settings;
use scheduler::ZoneName;

use crate::ports::EvacuationChange;
use crate::ports::EvacuationRow;
use crate::shared::NodeState;
use crate::shared::OperatorState;

/// Zones that operators evacuate, sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuatedZones {
    zones: Arc<[ZoneName]>,
}

impl EvacuatedZones {
    /// Returns the zones, sorted.
    pub fn zones(&self) -> &[ZoneName] {
        &self.zones
    }

    /// Returns true if a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.binary_search_by(|other| (**other).cmp(zone)).is_ok()
    }

    /// Returns the zones after changes, in the order of these. A snapshot has a change for each row
    /// and replaces the whole set.
    pub fn apply(&self, changes: &[EvacuationChange], is_snapshot: bool) -> Self {
        let mut zones = if is_snapshot { Vec::new() } else { self.zones.to_vec() };
        for change in changes {
            match (change.row, zones.binary_search(&change.zone)) {
                (EvacuationRow::Valid, Err(index)) => zones.insert(index, change.zone.clone()),
                // A snapshot of malformed rows keeps those evacuations that were known before.
                (EvacuationRow::Malformed, Err(index)) if self.contains(&change.zone) => {
                    zones.insert(index, change.zone.clone());
                }
                (EvacuationRow::Removed, Ok(index)) => {
                    zones.remove(index);
                }
                _ => {}
            }
        }
        Self { zones: zones.into() }
    }
}

impl OperatorState {
    /// Returns true if this node may send a command to start a run in a zone: it has read the
    /// operators' rows recently, and they don't evacuate the zone.
    pub(crate) fn permits_start(&self, zone: &str, settings: &Settings, now: Moment) -> bool {
        self.rows_read_at.is_some()
            && settings.permits_starts(self.rows_read_at, now)
            && !self.evacuated_zones.contains(zone)
    }
}

impl<P> NodeState<P> {
    /// Records a read of the operators' rows that was sent at `sent_at`, with the evacuations that
    /// it showed.
    pub(crate) fn record_evacuations(
        &self,
        changes: &[EvacuationChange],
        is_snapshot: bool,
        sent_at: Moment,
    ) {
        self.operator_state.send_if_modified(|operator_state| {
            operator_state.rows_read_at = operator_state.rows_read_at.max(Some(sent_at));
            if changes.is_empty() && !is_snapshot {
                return false;
            }
            let zones = operator_state.evacuated_zones.apply(changes, is_snapshot);
            let is_changed = zones != operator_state.evacuated_zones;
            operator_state.evacuated_zones = zones;
            is_changed
        });
    }

    /// Returns true if this node may send a command to start a run in a zone now.
    pub(crate) fn may_start_in(&self, zone: &str, now: Moment) -> bool {
        self.operator_state.borrow().permits_start(zone, &self.settings.scheduling, now)
    }
}
