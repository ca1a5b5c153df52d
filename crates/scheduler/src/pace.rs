//! Filling units are slowed while units that serve beside them miss their target.

use crate::Moment;
use crate::WorkerId;
use crate::job::UnitKey;
use crate::report::Action;
use crate::state::Scheduler;

/// Share of the target from which on filling units are slowed, in percent.
const SLOW_FROM_PERCENT: u64 = 85;
/// Share of the target below which filling units go faster again, in percent.
const FASTER_BELOW_PERCENT: u64 = 60;
/// Least pace, in percent.
const PACE_MIN_PERCENT: u32 = 0;
/// Growth of the pace at a step, in percent points.
const PACE_GROWTH_PERCENT: u32 = 20;

impl Scheduler {
    /// Sets the pace of filling units by the tails of the units that serve beside them.
    pub(crate) fn pace_runs(&mut self, now: Moment) {
        let workers: Vec<WorkerId> = self.workers.iter().map(|(id, _)| id.clone()).collect();
        for id in workers {
            let Some(worker) = self.workers.get(&id) else {
                continue;
            };
            if !worker.is_in_contact(self.settings.contact_max, now) || worker.runs.is_empty() {
                continue;
            }
            let runs = worker.runs.clone();
            let Some(worst_percent) = self.worst_tail_percent(&runs) else {
                continue;
            };
            let filling: Vec<&UnitKey> =
                runs.iter().filter(|key| self.is_best_effort(key)).collect();
            for key in filling {
                self.pace_run(&id, key, worst_percent);
            }
        }
    }

    /// Worst tail of the units that serve, as a percentage of its target; none if none serves.
    fn worst_tail_percent(&self, runs: &[UnitKey]) -> Option<u64> {
        let tail_percent = |key: &UnitKey| {
            let target_ms =
                self.jobs.get(&key.job)?.record.steps.get(key.step)?.tail_latency_target_ms;
            let load = self.unit(key)?.run.as_ref()?.load?;
            (target_ms > 0).then(|| load * 100 / target_ms)
        };
        runs.iter().filter_map(tail_percent).max()
    }

    fn is_best_effort(&self, key: &UnitKey) -> bool {
        let step = self.jobs.get(&key.job).and_then(|job| job.record.steps.get(key.step));
        step.is_some_and(|step| step.is_best_effort)
    }

    fn pace_run(&mut self, worker: &WorkerId, key: &UnitKey, worst_percent: u64) {
        let Some(address) = self.workers.get(worker).map(|worker| worker.registration.address)
        else {
            return;
        };
        let Some(run) = self.unit_mut(key).and_then(|unit| unit.run.as_mut()) else {
            return;
        };
        let before = run.pace_percent;
        let after = if worst_percent >= 100 {
            PACE_MIN_PERCENT
        } else if worst_percent >= SLOW_FROM_PERCENT {
            before / 2
        } else if worst_percent < FASTER_BELOW_PERCENT {
            (before + PACE_GROWTH_PERCENT).min(100)
        } else {
            before
        };
        if after == before {
            return;
        }
        run.pace_percent = after;
        let (worker, unit, run, percent) = (worker.clone(), key.clone(), run.number, after);
        self.actions.push(Action::LimitSpeed { worker, address, unit, run, percent });
    }
}
