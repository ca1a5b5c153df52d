//! Runs that make no progress.

use std::time::Duration;

use crate::Moment;
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
        for worker in self.workers.values() {
            let is_in_contact = worker.is_in_contact(self.settings.contact_max, now);
            let runs = worker.runs.iter().filter(|_| is_in_contact);
            stalled.extend(runs.filter(|key| self.is_stalled(key, now)).cloned());
        }
        for key in stalled {
            self.stop_stalled_run(&key, now);
        }
    }

    fn is_stalled(&self, key: &UnitKey, now: Moment) -> bool {
        let Some(run) = self.unit(key).and_then(|unit| unit.run.as_ref()) else {
            return false;
        };
        let is_gang = self.jobs.get(&key.job).is_some_and(|job| job.record.steps[key.step].is_gang);
        run.phase == Phase::Reported
            && run.stop.is_none()
            && run.speed_limit_percent == FULL_PERCENT
            && run.progress_percent < FULL_PERCENT
            && !is_gang
            && now.saturating_sub(run.progressed_at) > STALLED_AFTER
    }

    fn stop_stalled_run(&mut self, key: &UnitKey, now: Moment) {
        let Some(run) = self.unit(key).and_then(|unit| unit.run.as_ref()) else {
            return;
        };
        let (worker, progress_percent) = (run.worker.clone(), run.progress_percent);
        self.log_decision(
            "run stands still",
            key,
            format!("worker={worker} percent={progress_percent}"),
        );
        self.record_failure(&worker, key, "made no progress", now);
        if let Some(unit) = self.unit_mut(key)
            && !unit.excluded_workers.contains(&worker)
        {
            unit.excluded_workers.push(worker);
        }
        self.request_stop(key, now);
    }
}
