//! Runs that end without a completion, because their worker has ended or is silent.

use crate::Moment;
use crate::WorkerId;
use crate::job::UnitKey;
use crate::messages::Action;
use crate::messages::LossCause;
use crate::state::Scheduler;

impl Scheduler {
    /// Removes all runs on a worker, since none of them can still be running.
    pub(crate) fn remove_runs_on(&mut self, id: &str, cause: LossCause, now: Moment) {
        let runs = self.workers.get(id).map(|worker| worker.runs.clone()).unwrap_or_default();
        self.remove_lost_runs(id, &runs, cause, now);
    }

    /// Removes runs of a worker that have ended without a completion.
    pub(crate) fn remove_lost_runs(
        &mut self,
        id: &str,
        units: &[UnitKey],
        cause: LossCause,
        now: Moment,
    ) {
        let mut runs = Vec::with_capacity(units.len());
        for key in units {
            let run = self.remove_run(key, now);
            runs.extend(run.map(|run| (key.clone(), run.number)));
            self.remove_finished(&key.job, now);
        }
        if !runs.is_empty() {
            let worker = WorkerId::from(id);
            self.actions.push(Action::LogLostRuns { worker, cause, runs });
        }
    }
}
