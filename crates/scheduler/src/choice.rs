//! Choosing the worker of one unit by its history and by the advice on its step.

use crate::Moment;
use crate::WorkerId;
use crate::candidates::Candidates;
use crate::candidates::UnitHistory;
use crate::job::Step;
use crate::job::UnitKey;
use crate::lost_runs::Suspicion;
use crate::state::Scheduler;

impl Scheduler {
    /// Returns the index of the worker for a unit that is in no gang.
    pub(crate) fn choose_for_unit(
        &self,
        key: &UnitKey,
        step: &Step,
        candidates: &mut Candidates,
        now: Moment,
    ) -> Option<usize> {
        let history = self.history(key, now);
        match history.suspicion {
            Suspicion::Strong => {
                let may_run = self.advice_filter(key, now);
                let last_start = |worker: &WorkerId| self.last_start_on(worker, now);
                candidates.choose_for_strong_suspect(key, step, may_run, last_start, now)
            }
            Suspicion::None | Suspicion::Weak => {
                self.choose(key, step, history, candidates, None, now)
            }
        }
    }

    /// Returns the index of the best worker for a unit, on `rack` if one is given.
    pub(crate) fn choose(
        &self,
        key: &UnitKey,
        step: &Step,
        history: UnitHistory<'_>,
        candidates: &Candidates,
        rack: Option<&str>,
        now: Moment,
    ) -> Option<usize> {
        candidates.choose(key, step, history, rack, self.advice_filter(key, now))
    }

    /// Returns a function that tells whether the advisor allows a unit to run on a worker.
    pub(crate) fn advice_filter<'a>(
        &'a self,
        key: &'a UnitKey,
        now: Moment,
    ) -> impl Fn(&WorkerId) -> bool + 'a {
        let needs_advice =
            self.jobs.get(&key.job).is_some_and(|job| self.needs_advice(&job.record));
        move |worker| !needs_advice || self.tickets.ticket(key, worker, now).is_some()
    }

    /// Returns what earlier runs of a unit tell about where to run it next.
    pub(crate) fn history(&self, key: &UnitKey, now: Moment) -> UnitHistory<'_> {
        self.unit(key).map_or_else(UnitHistory::default, |unit| UnitHistory {
            excluded_workers: &unit.excluded_workers,
            suspicion: unit.suspicion(now),
        })
    }
}
