//! What completions of runs tell about the durations of units.
//!
//! Only successful runs that show how long a unit takes on a worker at full speed are samples. Not
//! among them are runs that an earlier owner has started, since their start is not known; runs that
//! began on a cold worker or soon after; runs that have resumed from a checkpoint; runs that were
//! told to stop; best-effort units, which get the processor time that others leave; and units that
//! run until their job is cancelled.

use std::time::Duration;

use crate::Moment;
use crate::WorkerId;
use crate::durations::Durations;
use crate::durations::DurationsRow;
use crate::live_jobs::FULL_PERCENT;
use crate::live_jobs::FinishState;
use crate::live_jobs::Phase;
use crate::messages::Completion;
use crate::messages::RunOutcome;
use crate::policies::Policy;
use crate::state::Scheduler;

impl Scheduler {
    /// Returns true if samples are taken.
    pub(crate) fn takes_samples(&self) -> bool {
        self.settings.policies.enables(Policy::LearnedDurations)
    }

    /// Takes a sample from a completion that is about to be handled, if it shows how long the unit
    /// takes.
    pub(crate) fn sample_completion(
        &mut self,
        worker: &WorkerId,
        completion: &Completion,
        now: Moment,
    ) {
        if !self.takes_samples() {
            return;
        }
        let key = &completion.unit;
        let (Some(took), Some(job)) =
            (self.sampled_duration(worker, completion, now), self.jobs.get(&key.job))
        else {
            return;
        };
        let record = job.record.clone();
        self.durations.record(&record, key.step, took, now);
        self.counts.duration_samples += 1;
    }

    /// Returns the expected durations of units.
    pub fn durations(&self) -> &Durations {
        &self.durations
    }

    /// Restores the measured durations that an earlier owner has stored.
    pub fn restore_durations(&mut self, row: DurationsRow, now: Moment) {
        if self.takes_samples() {
            let mut durations = std::mem::take(&mut self.durations);
            durations.restore(row, |unix_ms| self.moment_of(unix_ms), now);
            self.durations = durations;
        }
    }

    /// Returns the measured durations if they are to be stored.
    pub(crate) fn take_durations_row(&mut self, now: Moment) -> Option<DurationsRow> {
        let mut durations = std::mem::take(&mut self.durations);
        let row = durations.take_row(|at| self.unix_ms(at), self.settings.row_bytes_max, now);
        self.durations = durations;
        row
    }

    /// Returns how long the run took if it is a sample.
    fn sampled_duration(
        &self,
        worker: &WorkerId,
        completion: &Completion,
        now: Moment,
    ) -> Option<Duration> {
        let key = &completion.unit;
        let unit = self.unit(key)?;
        let run = unit.run_on(worker)?;
        let step = self.jobs.get(&key.job)?.record.steps.get(key.step)?;
        let is_first_success =
            completion.outcome == RunOutcome::Done && unit.finish_state == FinishState::Unfinished;
        let is_current = run.number == completion.run;
        let is_own_start = run.deadline_ms != 0 && run.phase != Phase::Planned;
        let ran_undisturbed = unit.checkpoint.is_empty()
            && run.stop.is_none()
            && run.speed_limit_percent == FULL_PERCENT;
        let ran_warm = self
            .workers
            .get(worker)
            .is_none_or(|worker| !self.may_be_slow_from_start(worker, run.since));
        let is_finite = !step.is_long_running && !step.is_best_effort;
        let is_sample = is_first_success
            && is_current
            && is_own_start
            && ran_undisturbed
            && ran_warm
            && is_finite;
        is_sample.then(|| now.saturating_sub(run.since))
    }
}
