//! What stopping a run would cost, and when a run is expected to end.

use std::cmp::Reverse;
use std::time::Duration;

use crate::Moment;
use crate::candidates::Candidates;
use crate::capacity_forecast::CapacityForecast;
use crate::capacity_forecast::RunForecast;
use crate::capacity_forecast::StopCost;
use crate::job::Resources;
use crate::job::Step;
use crate::job::UnitKey;
use crate::live_jobs::FULL_PERCENT;
use crate::live_jobs::FinishState;
use crate::live_jobs::Job;
use crate::live_jobs::Phase;
use crate::live_jobs::Run;
use crate::live_jobs::Unit;
use crate::preemption::URGENT_PRIORITY;
use crate::state::Scheduler;

/// Time for which a unit that was preempted is exempt, counted from the start of its next run.
const EXEMPT_TIME: Duration = Duration::from_secs(10);

impl Scheduler {
    /// Returns when capacity on the candidates is expected to come free.
    pub(crate) fn capacity_forecast(
        &self,
        candidates: &Candidates,
        now: Moment,
    ) -> CapacityForecast {
        let exempt_teams = self.teams_at_preemption_limit();
        let mut forecast = CapacityForecast::default();
        for (index, candidate) in candidates.workers().iter().enumerate() {
            // A cold worker offers only a part of its capacity, so that a stop may free none.
            let worker = self.workers.get(&candidate.id).filter(|worker| !worker.is_cold(now));
            let Some(worker) = worker else {
                continue;
            };
            // A worker that has missed a poll may not stop its runs in time.
            let is_silent = worker.failed_polls > 0;
            let mut free = worker.free_capacity();
            let mut runs = Vec::with_capacity(worker.runs.len());
            for key in &worker.runs {
                let Some((job, unit, run)) = self.run_of_on(key, &candidate.id) else {
                    continue;
                };
                if run.stop.is_some() {
                    free += if is_silent { Resources::default() } else { run.reservation };
                    continue;
                }
                let may_stop = !is_silent && !exempt_teams.contains(&job.record.team);
                let stop_cost =
                    if may_stop { self.stop_cost(key, job, unit, run, now) } else { None };
                let step = &job.record.steps[key.step];
                let ends_at =
                    (!step.is_long_running).then(|| self.expected_end(job, step, run, now));
                let (unit, reservation) = (key.clone(), run.reservation);
                runs.push(RunForecast { unit, reservation, ends_at, stop_cost });
            }
            forecast.add(index, free, runs);
        }
        forecast
    }

    /// Returns the work that stopping the run of a unit loses, in core-milliseconds: that since its
    /// last checkpoint, or since its start.
    pub(crate) fn work_lost_core_ms(&self, key: &UnitKey, now: Moment) -> u64 {
        let Some((job, unit, run)) = self.run_of(key) else {
            return 0;
        };
        let since = run.checkpointed_at.unwrap_or_else(|| run.started_at(now));
        let mut lost = now.saturating_sub(since);
        let has_checkpoint = !unit.checkpoint.is_empty() || !run.checkpoint.is_empty();
        let is_of_earlier_owner = run.deadline_ms == 0;
        if is_of_earlier_owner && !has_checkpoint {
            // The age of the run is not known.
            let step = &job.record.steps[key.step];
            let progress = f64::from(run.progress_percent.min(FULL_PERCENT)) / 100.0;
            lost = lost.max(self.durations.expected(&job.record, step).mul_f64(progress));
        }
        (lost.as_millis() as u64).saturating_mul(run.requested.cpu_millis) / 1_000
    }

    fn run_of(&self, key: &UnitKey) -> Option<(&Job, &Unit, &Run)> {
        let unit = self.unit(key)?;
        Some((self.jobs.get(&key.job)?, unit, unit.run.as_ref()?))
    }

    fn run_of_on(&self, key: &UnitKey, worker: &str) -> Option<(&Job, &Unit, &Run)> {
        let unit = self.unit(key)?;
        Some((self.jobs.get(&key.job)?, unit, unit.run_on(worker)?))
    }

    /// Returns what stopping a run for an urgent queue would cost; none if it must not be stopped.
    fn stop_cost(
        &self,
        key: &UnitKey,
        job: &Job,
        unit: &Unit,
        run: &Run,
        now: Moment,
    ) -> Option<StopCost> {
        let queue = self.config.queues.get(&job.record.queue);
        let is_urgent = queue.is_some_and(|queue| queue.priority == URGENT_PRIORITY);
        let step = &job.record.steps[key.step];
        if is_urgent || step.is_long_running || job.final_state.is_some() {
            return None;
        }
        let started_at = Reverse(run.started_at(now));
        if !step.is_gang {
            let may_stop = may_be_preempted(unit, run, now);
            let work_lost_core_ms = self.work_lost_core_ms(key, now);
            return may_stop.then_some(StopCost { work_lost_core_ms, started_at });
        }
        let mut work_lost_core_ms = 0;
        for member in self.units_finishing_with(key, true) {
            let (_, unit, run) = self.run_of(&member)?;
            let is_silent = self.workers.get(&run.worker).is_none_or(|w| w.failed_polls > 0);
            if is_silent || !may_be_preempted(unit, run, now) {
                return None;
            }
            work_lost_core_ms += self.work_lost_core_ms(&member, now);
        }
        Some(StopCost { work_lost_core_ms, started_at })
    }

    /// Returns when a run is expected to end. One that has run for longer than expected is expected
    /// to need as much again as it is late.
    fn expected_end(&self, job: &Job, step: &Step, run: &Run, now: Moment) -> Moment {
        let progress = f64::from(run.progress_percent.min(FULL_PERCENT)) / 100.0;
        let remaining = self.durations.expected(&job.record, step).mul_f64(1.0 - progress);
        now + remaining.abs_diff(now.saturating_sub(run.progressed_at))
    }
}

/// Returns true if a run may be stopped for an urgent queue. What is not confirmed may start after
/// the stop, and a unit that was preempted before is exempt for a while. A unit with a copy would
/// have to stop both runs.
fn may_be_preempted(unit: &Unit, run: &Run, now: Moment) -> bool {
    let is_exempt = unit.was_preempted && now.saturating_sub(run.since) < EXEMPT_TIME;
    unit.finish_state == FinishState::Unfinished
        && run.stop.is_none()
        && matches!(run.phase, Phase::Confirmed(_) | Phase::Reported)
        && !is_exempt
}
