//! Bounds on the size of the stored rows.
//!
//! The store refuses a row above its limit for good, and with it the whole transaction. Each row
//! that grows with the work has a bound here:
//!
//! - The progress of a job lists finished units. If the list doesn't fit, they are stored as
//!   bitmaps; then checkpoints and crashed runs are left out, which costs work but breaks nothing.
//!   Failed runs must be kept, as they count against the attempts: a job gets new runs only while
//!   the failures of all its runs would fit. Those of a gang are stored once for all its units.
//! - An assignment row names the runs of one worker, whose number is bounded.
//! - The measured durations of the kinds of work that ran longest ago are left out.

use std::borrow::Cow;

use crate::assignments::AssignmentRow;
use crate::batch::Batch;
use crate::durations::DurationsRow;
use crate::job::JobRecord;
use crate::job::Step;
use crate::job::UnitKey;
use crate::live_jobs::FinishState;
use crate::live_jobs::Job;
use crate::live_jobs::Unit;
use crate::plan::WaitingStep;
use crate::progress::Progress;
use crate::state::Scheduler;
use crate::storing::units;
use crate::unit_set::UnitSet;
use crate::worker::Worker;

/// Most bytes that a position of a unit or a step takes, with brackets and a comma.
const POSITION_BYTES: usize = 24;
/// Most bytes that the number of a run takes, with a comma.
const NUMBER_BYTES: usize = 11;
/// Most bytes that a crashed run takes.
const CRASHED_RUN_BYTES: usize = 40;
/// Most bytes of names and brackets around a list or value, of the field's name and of the state.
pub(crate) const FRAME_BYTES: usize = 256;
/// Most bytes that a run takes in an assignment row: job id, numbers, brackets and quotes.
const ASSIGNED_RUN_BYTES: usize = 64;
/// Most bytes that the name of a host or pool takes, with quotes and a number.
const HOST_BYTES: usize = 64;
/// Most bytes that a command to a host takes.
const HOST_COMMAND_BYTES: usize = 256;
/// Most bytes that one run may add to the progress of its job by failing.
const FAILURE_BYTES: usize = 2 * POSITION_BYTES + NUMBER_BYTES;
/// Bytes that the text of a string may take in JSON for each of its own, for control characters.
pub(crate) const ESCAPED_BYTES: usize = 6;

/// Attempts of a unit for which a row has room if those of its queue are not known.
const ATTEMPTS_RESERVED: u32 = 3;

/// Part of a row that the finished units of a job may take; the rest is for failures.
const FINISHED_SHARE: usize = 2;

/// Why the progress of a job might outgrow its row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnstorableJob {
    /// The job has too many units.
    #[error("the job has {units} units; the state of so many can't be stored")]
    TooManyUnits {
        /// Number of units of all steps.
        units: usize,
    },
    /// A gang has too many units, all of which may fail at once.
    #[error("steps[{step}].count: the failures of a gang of {units} units can't be stored")]
    GangTooLarge {
        /// Index of the step.
        step: usize,
        /// Number of its units.
        units: usize,
    },
}

impl JobRecord {
    /// Checks that the progress of the job fits into a row of `row_bytes_max` bytes whatever
    /// becomes of its units.
    pub fn check_storable(&self, row_bytes_max: usize) -> Result<(), UnstorableJob> {
        if self.occurrence_bytes() > row_bytes_max / FINISHED_SHARE {
            let units = self.steps.iter().map(|step| step.count as usize).sum();
            return Err(UnstorableJob::TooManyUnits { units });
        }
        let failures_max = row_bytes_max / FINISHED_SHARE / FAILURE_BYTES;
        let is_too_large = |step: &&Step| {
            step.is_gang && !step.is_long_running && step.count as usize > failures_max
        };
        match self.steps.iter().position(|step| is_too_large(&step)) {
            Some(step) => {
                let units = self.steps[step].count as usize;
                Err(UnstorableJob::GangTooLarge { step, units })
            }
            None => Ok(()),
        }
    }

    /// Returns a number of bytes that the finished units of one occurrence take at most.
    fn occurrence_bytes(&self) -> usize {
        let step_bytes =
            |step: &Step| POSITION_BYTES + UnitSet::stored_bytes_max(step.count as usize);
        POSITION_BYTES + self.steps.iter().map(step_bytes).sum::<usize>()
    }
}

impl Progress {
    /// Makes the stored form fit into `bytes_max`. The form that earlier versions read is kept if it
    /// fits.
    pub(crate) fn shrink_to(&mut self, bytes_max: usize) {
        if self.stored_bytes_max() <= bytes_max {
            return;
        }
        self.use_compact_form();
        let mut bytes = self.stored_bytes_max();
        while bytes > bytes_max
            && let Some((_, checkpoint)) = self.checkpoints.pop()
        {
            bytes -= checkpoint_bytes(&checkpoint);
        }
        while bytes > bytes_max
            && let Some((_, runs)) = self.crashed_runs.pop()
        {
            bytes -= POSITION_BYTES + CRASHED_RUN_BYTES * runs.len();
        }
    }

    /// Adds the ranges of occurrences that have finished, as a list of their steps if that is short
    /// enough.
    pub(crate) fn add_finished_occurrences(
        &mut self,
        ranges: Vec<(u32, u32)>,
        steps: usize,
        bytes_max: usize,
    ) {
        let count = |(first, last): &(u32, u32)| (last - first) as usize + 1;
        let bytes = ranges.iter().map(count).sum::<usize>() * steps * POSITION_BYTES;
        if bytes > bytes_max / FINISHED_SHARE {
            self.finished_occurrences = ranges;
            return;
        }
        for number in ranges.into_iter().flat_map(|(first, last)| first..=last) {
            self.finished_steps.extend((0..steps).map(|step| (number, step)));
        }
    }

    /// Replaces the list of finished units by bitmaps.
    fn use_compact_form(&mut self) {
        let units = std::mem::take(&mut self.finished_units);
        for of_step in units.chunk_by(|a, b| (a.0, a.1) == (b.0, b.1)) {
            let (occurrence, step, _) = of_step[0];
            let set = of_step.iter().map(|(.., index)| *index).collect();
            self.finished_unit_sets.push(((occurrence, step), set));
        }
    }

    /// Returns a number of bytes that the stored form does not exceed.
    pub(crate) fn stored_bytes_max(&self) -> usize {
        let set_bytes = |(_, set): &((u32, usize), UnitSet)| {
            let last = set.iter().last().map_or(0, |index| index + 1);
            POSITION_BYTES + UnitSet::stored_bytes_max(last)
        };
        FRAME_BYTES
            + ESCAPED_BYTES * (self.queue.len() + self.team.as_deref().map_or(0, str::len))
            + POSITION_BYTES * (self.finished_steps.len() + self.finished_units.len())
            + POSITION_BYTES * self.finished_occurrences.len()
            + self.finished_unit_sets.iter().map(set_bytes).sum::<usize>()
            + self.failed_runs.iter().map(|(_, runs)| failed_bytes(runs)).sum::<usize>()
            + self
                .crashed_runs
                .iter()
                .map(|(_, runs)| POSITION_BYTES + CRASHED_RUN_BYTES * runs.len())
                .sum::<usize>()
            + self.checkpoints.iter().map(|(_, text)| checkpoint_bytes(text)).sum::<usize>()
    }
}

impl Scheduler {
    /// Returns those of the waiting units of a step that may be started: the failures of all runs of
    /// their job must fit into its row. If it is full, one unit at a time goes on, first one that
    /// has failed before, until it is done or has no attempts left and makes room either way.
    pub(crate) fn storable_units<'a>(
        &self,
        job: &Job,
        waiting: &'a WaitingStep,
    ) -> Cow<'a, [usize]> {
        let step = &job.record.steps[waiting.first_unit.step];
        // Failures of long-running units are not stored.
        if step.is_long_running || self.has_room_for_all_failures(job) {
            return Cow::Borrowed(&waiting.units);
        }
        let running = units(job).filter(|unit| unit.run.is_some()).count();
        let failures_max =
            self.settings.row_bytes_max.saturating_sub(lasting_bytes(job)) / FAILURE_BYTES;
        let count = failures_max.saturating_sub(running);
        match (step.is_gang, count) {
            (true, _) if running == 0 || count >= waiting.units.len() => {
                Cow::Borrowed(&waiting.units)
            }
            (true, _) => Cow::Borrowed(&[]),
            (false, 0) if running == 0 => {
                let failures = |index: &&usize| {
                    let key = UnitKey { index: **index, ..waiting.first_unit.clone() };
                    self.unit(&key).map_or(0, |unit| unit.failed_runs.len())
                };
                Cow::Owned(waiting.units.iter().max_by_key(failures).copied().into_iter().collect())
            }
            (false, count) => Cow::Borrowed(&waiting.units[..count.min(waiting.units.len())]),
        }
    }

    /// Returns true if the failures of all units of a job fit into its row, as they do for all but
    /// the largest jobs.
    fn has_room_for_all_failures(&self, job: &Job) -> bool {
        let steps = job.occurrences.iter().flat_map(|occurrence| &occurrence.steps);
        let unit_count: usize = steps.map(Vec::len).sum();
        let attempts_max = self.attempts_max(&job.record).unwrap_or(ATTEMPTS_RESERVED);
        let attempts_max = self.attempts_max_of_queues.max(attempts_max) as usize;
        let unit_bytes_max = 3 * POSITION_BYTES + NUMBER_BYTES * attempts_max;
        FRAME_BYTES + unit_count * unit_bytes_max <= self.settings.row_bytes_max
    }

    /// Returns the number of runs that the assignment row of a worker has room for, beside those
    /// that it lists.
    pub(crate) fn assignable_runs(&self, worker: &Worker) -> usize {
        let runs_max = self.settings.row_bytes_max.saturating_sub(FRAME_BYTES) / ASSIGNED_RUN_BYTES;
        runs_max.saturating_sub(worker.runs.len() + worker.pending_completions.len())
    }
}

impl Batch {
    /// Returns a number of bytes that the values of the rows don't exceed.
    pub(crate) fn stored_bytes_max(&self) -> usize {
        let progress = self.progress.iter().map(|(_, progress)| progress.stored_bytes_max());
        let assignments = self.assignments.iter().map(|(_, row)| row.stored_bytes_max());
        let wave_hosts = self.waves.iter().map(|(_, row)| row.started_hosts.len());
        let commands = self.host_commands.as_ref().map_or(0, Vec::len);
        let pools = self.baseline_hosts.as_ref().map_or(0, |hosts| hosts.by_pool.len());
        FRAME_BYTES * (self.waves.len() + 2)
            + HOST_BYTES * wave_hosts.sum::<usize>()
            + HOST_COMMAND_BYTES * commands
            + HOST_BYTES * pools
            + self.durations.as_ref().map_or(0, DurationsRow::stored_bytes_max)
            + progress.sum::<usize>()
            + assignments.sum::<usize>()
    }
}

impl AssignmentRow {
    /// Returns a number of bytes that the stored form does not exceed.
    pub(crate) fn stored_bytes_max(&self) -> usize {
        FRAME_BYTES + ESCAPED_BYTES * self.pool.len() + ASSIGNED_RUN_BYTES * self.runs.len()
    }
}

/// Returns true if the finished units of one more occurrence of a job fit into its row beside those
/// of the ones that have not finished.
pub(crate) fn has_room_for_occurrence(job: &Job, row_bytes_max: usize) -> bool {
    let bytes = (job.occurrences.len() + 1) * job.record.occurrence_bytes();
    job.occurrences.is_empty() || bytes <= row_bytes_max / FINISHED_SHARE
}

/// Returns a number of bytes that the stored state of a job takes at most if its units finish and
/// none of its runs fails any more.
fn lasting_bytes(job: &Job) -> usize {
    let steps = job.occurrences.iter().flat_map(|occurrence| &occurrence.steps);
    let set_bytes = |units: &Vec<Unit>| POSITION_BYTES + UnitSet::stored_bytes_max(units.len());
    let unfinished = units(job).filter(|unit| unit.finish_state == FinishState::Unfinished);
    let failed = unfinished.filter(|unit| !unit.failed_runs.is_empty());
    FRAME_BYTES
        + ESCAPED_BYTES * (job.record.queue.len() + job.record.team.as_deref().map_or(0, str::len))
        + steps.map(set_bytes).sum::<usize>()
        + POSITION_BYTES * (job.occurrences.len() + 1)
        + failed.map(|unit| failed_bytes(&unit.failed_runs)).sum::<usize>()
}

fn failed_bytes(runs: &[u32]) -> usize {
    2 * POSITION_BYTES + NUMBER_BYTES * runs.len()
}

fn checkpoint_bytes(text: &str) -> usize {
    POSITION_BYTES + ESCAPED_BYTES * text.len()
}
