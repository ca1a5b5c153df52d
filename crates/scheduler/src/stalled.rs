//! Runs that make no progress.

use std::time::Duration;

use crate::Moment;
use crate::WorkerId;
use crate::job::UnitKey;
use crate::live_jobs::FULL_PERCENT;
use crate::live_jobs::Phase;
use crate::state::Scheduler;

/// Time without progress after which a run counts as stalled.
const STALLED_AFTER: Duration = Duration::from_millis(2_500);

impl Scheduler {
    /// Stops stalled runs, so that their units run elsewhere.
    pub(crate) fn stop_stalled_runs(&mut self, now: Moment) {
        let mut stalled = Vec::new();
        for (id, worker) in self.workers.iter() {
            if self.may_be_slow_from_start(worker, now) {
                continue;
            }
            let runs = worker.runs.iter().filter(|key| self.is_stalled(id, key));
            stalled.extend(runs.map(|key| (id.clone(), key.clone())));
        }
        for (worker, key) in stalled {
            self.stop_stalled_run(worker, &key, now);
        }
    }

    /// Returns true if the reports that list a run have shown no progress for too long. A silent
    /// worker shows nothing either way, nor does a report that leaves the run out.
    fn is_stalled(&self, worker: &WorkerId, key: &UnitKey) -> bool {
        let Some(run) = self.run_on(key, worker) else {
            return false;
        };
        let is_gang = self.jobs.get(&key.job).is_some_and(|job| job.record.steps[key.step].is_gang);
        run.phase == Phase::Reported
            && run.stop.is_none()
            && run.speed_limit_percent == FULL_PERCENT
            && run.progress_percent < FULL_PERCENT
            && !is_gang
            && run.listed_at.saturating_sub(run.progressed_at) > STALLED_AFTER
    }

    fn stop_stalled_run(&mut self, worker: WorkerId, key: &UnitKey, now: Moment) {
        let Some(run) = self.run_on(key, &worker) else {
            return;
        };
        let progress_percent = run.progress_percent;
        self.log_decision(
            "run stands still",
            key,
            format!("worker={worker} percent={progress_percent}"),
        );
        self.record_failure(&worker, key, "made no progress", now);
        self.exclude_worker(&worker, key);
        self.request_stop_on(&worker, key, now);
    }
}
