//! Passes the zones that operators evacuate to the scheduler, and logs what becomes of them.

use scheduler::EvacuationState;
use scheduler::ZoneName;
use scheduler::ZoneRuns;

use super::Owner;
use crate::ports::Platform;

impl<P: Platform> Owner<P> {
    /// Passes the evacuated zones, and the time of the read that shows them, to the scheduler.
    /// Returns false until the node has read the operators' rows.
    pub(super) fn apply_evacuations(&mut self) -> bool {
        let (zones, rows_read_at) = {
            let operator_state = self.shared.node.operator_state.borrow();
            (operator_state.evacuated_zones.clone(), operator_state.rows_read_at)
        };
        self.scheduler.confirm_operator_rows(rows_read_at);
        if zones != self.evacuated_zones {
            self.scheduler.set_evacuated_zones(zones.zones());
            self.evacuated_zones = zones;
        }
        rows_read_at.is_some()
    }

    /// Logs what has become of the evacuation of a zone.
    pub(super) fn log_evacuation(&self, zone: &ZoneName, state: EvacuationState, runs: ZoneRuns) {
        let kind = match state {
            EvacuationState::Evacuating => "zone-evacuating",
            EvacuationState::Evacuated => "zone-evacuated",
            EvacuationState::Returned => "zone-returned",
        };
        telemetry::log::line(kind)
            .field("zone", &**zone)
            .field("shard", self.shared.shard)
            .field("epoch", self.epoch)
            .field("workers", runs.workers)
            .field("long_running_runs", runs.long_running)
            .field("finite_runs", runs.finite)
            .write();
    }
}
