//! Runs that stand still.

use std::time::Duration;

use crate::Moment;
use crate::job::UnitKey;
use crate::live::Phase;
use crate::live::WHOLE_PERCENT;
use crate::state::Scheduler;

/// Time without progress after which a run counts as standing still.
const STILL_MAX: Duration = Duration::from_millis(2_500);

impl Scheduler {
    /// Stops the runs that stand still, so that their units run elsewhere.
    pub(crate) fn review_runs(&mut self, now: Moment) {
        let mut still = Vec::new();
        for worker in self.workers.values() {
            let is_seen = worker.is_in_contact(self.settings.contact_max, now);
            let runs = worker.runs.iter().filter(|_| is_seen);
            still.extend(runs.filter(|key| self.stands_still(key, now)).cloned());
        }
        for key in still {
            self.stop_still(&key, now);
        }
    }

    fn stands_still(&self, key: &UnitKey, now: Moment) -> bool {
        let Some(run) = self.unit(key).and_then(|unit| unit.run.as_ref()) else {
            return false;
        };
        let is_gang = self.jobs.get(&key.job).is_some_and(|job| job.record.steps[key.step].is_gang);
        run.phase == Phase::Listed
            && run.stop.is_none()
            && run.pace_percent == WHOLE_PERCENT
            && run.progress_percent < WHOLE_PERCENT
            && !is_gang
            && now.saturating_sub(run.progressed_at) > STILL_MAX
    }

    fn stop_still(&mut self, key: &UnitKey, now: Moment) {
        let Some(run) = self.unit(key).and_then(|unit| unit.run.as_ref()) else {
            return;
        };
        let (worker, progress_percent) = (run.worker.clone(), run.progress_percent);
        self.note("run stands still", key, format!("worker={worker} percent={progress_percent}"));
        self.hold_against(&worker, key, "stands still", now);
        if let Some(unit) = self.unit_mut(key)
            && !unit.avoid.contains(&worker)
        {
            unit.avoid.push(worker);
        }
        self.order_stop(key, now);
    }
}
