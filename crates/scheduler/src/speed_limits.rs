//! Slowing down best-effort units while serving units on the same worker miss their latency target.

use crate::Moment;
use crate::WorkerId;
use crate::job::UnitKey;
use crate::messages::Action;
use crate::state::Scheduler;

/// Tail latency, in percent of its target, at or above which the speed limit of best-effort units
/// is halved. At 100 it drops to [`SPEED_LIMIT_MIN_PERCENT`].
const SLOW_DOWN_AT_PERCENT: u64 = 85;
/// Tail latency, in percent of its target, below which best-effort units are sped up again.
const SPEED_UP_BELOW_PERCENT: u64 = 60;
/// Lowest speed limit, in percent.
const SPEED_LIMIT_MIN_PERCENT: u32 = 0;
/// Increase of the speed limit at a review, in percentage points.
const SPEED_LIMIT_INCREASE_PERCENT: u32 = 20;

impl Scheduler {
    /// Sets the speed limits of best-effort units according to the tail latencies of the serving
    /// units on the same worker.
    pub(crate) fn limit_speeds(&mut self, now: Moment) {
        let workers: Vec<WorkerId> = self.workers.iter().map(|(id, _)| id.clone()).collect();
        for id in workers {
            let Some(worker) = self.workers.get(&id) else {
                continue;
            };
            if worker.serving_runs == 0
                || worker.best_effort_runs == 0
                || !worker.is_in_contact(self.settings.contact_max, now)
            {
                continue;
            }
            let runs = worker.runs.clone();
            let Some(worst_latency_percent) = self.worst_latency_percent(&id, &runs) else {
                continue;
            };
            let best_effort: Vec<&UnitKey> =
                runs.iter().filter(|key| self.is_best_effort(key)).collect();
            for key in best_effort {
                self.limit_speed(&id, key, worst_latency_percent, now);
            }
        }
    }

    /// Returns the worst tail latency of the serving units, in percent of its target; `None` if no
    /// unit serves.
    fn worst_latency_percent(&self, worker: &WorkerId, runs: &[UnitKey]) -> Option<u64> {
        let latency_percent = |key: &UnitKey| {
            let target_ms =
                self.jobs.get(&key.job)?.record.steps.get(key.step)?.tail_latency_target_ms;
            let load = self.run_on(key, worker)?.load?;
            (target_ms > 0).then(|| load * 100 / target_ms)
        };
        runs.iter().filter_map(latency_percent).max()
    }

    fn is_best_effort(&self, key: &UnitKey) -> bool {
        let step = self.jobs.get(&key.job).and_then(|job| job.record.steps.get(key.step));
        step.is_some_and(|step| step.is_best_effort)
    }

    fn limit_speed(
        &mut self,
        worker: &WorkerId,
        key: &UnitKey,
        worst_latency_percent: u64,
        now: Moment,
    ) {
        let Some(known) = self.workers.get(worker) else {
            return;
        };
        let (address, token) = (known.registration.address, known.token);
        let Some(run) = self.run_on_mut(key, worker) else {
            return;
        };
        let old_percent = run.speed_limit_percent;
        let new_percent = if worst_latency_percent >= 100 {
            SPEED_LIMIT_MIN_PERCENT
        } else if worst_latency_percent >= SLOW_DOWN_AT_PERCENT {
            old_percent / 2
        } else if worst_latency_percent < SPEED_UP_BELOW_PERCENT {
            (old_percent + SPEED_LIMIT_INCREASE_PERCENT).min(100)
        } else {
            old_percent
        };
        let is_in_doubt = std::mem::take(&mut run.is_speed_limit_in_doubt);
        if new_percent == old_percent && !is_in_doubt {
            return;
        }
        run.record_speed_limit(new_percent, now);
        let (worker, unit, run, percent) = (worker.clone(), key.clone(), run.number, new_percent);
        self.actions.push(Action::LimitSpeed { worker, address, token, unit, run, percent });
    }
}
