//! What the queues of each pool ask for over time.

use crate::Moment;
use crate::job::JobRecord;
use crate::job::UnitKey;
use crate::state::Scheduler;

/// Demand of a pool.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Core-milliseconds that were asked for, all together.
    pub asked: u64,
}

impl Scheduler {
    /// Counts what a new job asks for.
    pub(crate) fn count_demand(&mut self, record: &JobRecord, _now: Moment) {
        let work = |step: &crate::job::Step| {
            u64::from(step.count) * step.estimate_ms * step.need.cpu_millis / 1_000
        };
        let asked: u64 = record.steps.iter().filter(|s| !s.is_lasting).map(work).sum();
        self.demand.entry_or(record.pool.clone(), Demand::default).asked += asked;
    }

    /// Decides which hosts work in another pool.
    pub(crate) fn plan_moves(&mut self, _now: Moment) {}

    /// Learns how long a unit took.
    pub(crate) fn learn_time(&mut self, _key: &UnitKey, _since: Option<Moment>, _now: Moment) {}
}
