//! Storing changes, and the actions that follow once they are stored.
//!
//! At most one batch is being committed at a time. A completion counts as stored once its batch is
//! committed. Only then are later steps started, completions acknowledged to workers and jobs shown
//! to callers as ended.

use std::sync::Arc;
use std::time::Duration;

use crate::JobId;
use crate::Moment;
use crate::WorkerId;
use crate::assignments::AssignmentRow;
use crate::attempts::distinct_failed_runs;
use crate::batch::Batch;
use crate::batch::BatchLimits;
use crate::batch::StoredCompletions;
use crate::job::JobRecord;
use crate::job::UnitKey;
use crate::live_jobs::FinishState;
use crate::live_jobs::FinishedJob;
use crate::live_jobs::Job;
use crate::live_jobs::Occurrence;
use crate::live_jobs::Unit;
use crate::progress::FinalState;
use crate::progress::Progress;
use crate::row_sizes::has_room_for_occurrence;
use crate::run_end::RunEnd;
use crate::state::Scheduler;

/// Rows that a finished job takes in a batch: its progress is written and its record is removed.
const ROWS_PER_FINISHED_JOB: usize = 2;
/// Time between two checks for finished jobs whose retention time has passed.
const EXPIRY_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Result of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The cancellation is stored with the next batch.
    Pending,
    /// The job has already ended.
    Ended,
    /// There is no such job.
    Unknown,
}

impl Scheduler {
    /// Adds a job that was just submitted.
    pub fn add_job(&mut self, record: Arc<JobRecord>, now: Moment) {
        if self.jobs.contains(&record.id) || self.finished_jobs.contains(&record.id) {
            return;
        }
        let is_beyond_rate_share = !self.consume_rate_share(&record, now);
        self.insert_job(record, is_beyond_rate_share, now);
    }

    /// Counts a job against the rate share of its team. Returns true if it is within the share.
    fn consume_rate_share(&mut self, record: &JobRecord, now: Moment) -> bool {
        let Some(team) = &record.team else {
            return true;
        };
        let rate_share = self.config.teams.get(team).map_or(0.0, |team| team.rate_share);
        let rate_share = rate_share / self.shard_count.max(1) as f64;
        self.rate_shares.try_take(team, rate_share, now)
    }

    pub(crate) fn insert_job(
        &mut self,
        record: Arc<JobRecord>,
        is_beyond_rate_share: bool,
        now: Moment,
    ) {
        let accepted_at = self.moment_of(record.accepted_ms).min(now);
        self.record_demand(&record, accepted_at, now);
        let job = Job {
            accepted_at,
            record: record.clone(),
            is_beyond_rate_share,
            occurrences: Vec::new(),
            next_occurrence: 0,
            finished_occurrences: 0,
            final_state: None,
            is_final_state_stored: false,
            is_dirty: false,
            has_started: false,
            may_have_waiting_units: true,
            has_record: true,
        };
        self.jobs.insert(record.id.clone(), job);
        self.create_due_occurrences_of(&record.id, now);
        self.needs_placement = true;
    }

    /// Removes a job that could not be stored. Returns false if one of its start commands was sent:
    /// then the job is stored and stays.
    pub fn withdraw_job(&mut self, id: &str, now: Moment) -> bool {
        let mut planned = Vec::new();
        for key in self.units_with_run(id) {
            let Some(run) = self.unit(&key).and_then(|unit| unit.run.as_ref()) else {
                continue;
            };
            let Some(end) = RunEnd::not_sent(run) else {
                self.log_decision("job not withdrawn", key, format!("phase={:?}", run.phase));
                return false;
            };
            planned.push((key, run.worker.clone(), end));
        }
        for (key, worker, end) in planned {
            self.remove_run(&key, &worker, end, now);
        }
        self.jobs.remove(id);
        true
    }

    /// Cancels a job. Its runs are stopped once the cancellation is stored.
    pub fn cancel(&mut self, id: &str) -> CancelOutcome {
        if self.finished_jobs.contains(id) {
            return CancelOutcome::Ended;
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return CancelOutcome::Unknown;
        };
        match job.final_state {
            Some(_) if job.is_final_state_stored => return CancelOutcome::Ended,
            Some(_) => {}
            None => {
                job.final_state = Some(FinalState::Cancelled);
                let id = job.record.id.clone();
                self.mark_dirty(&id);
            }
        }
        CancelOutcome::Pending
    }

    /// Creates the occurrences of a job that have become due.
    pub(crate) fn create_due_occurrences_of(&mut self, id: &str, now: Moment) {
        self.create_occurrences_of(id, 0, now);
    }

    /// Creates the occurrences of a job that have become due, and the first `count_min` ones in any
    /// case: a previous owner whose time of day was ahead has created these.
    pub(crate) fn create_occurrences_of(&mut self, id: &str, count_min: u32, now: Moment) {
        let unix_now_ms = self.unix_ms(now);
        let (run_number_base, offset) = (self.run_number_base, self.unix_offset_ms);
        let row_bytes_max = self.settings.row_bytes_max;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        while job.next_occurrence < job.record.occurrences() {
            let due_ms = job.record.due_ms(job.next_occurrence);
            let is_due = !job.record.has_schedule() || due_ms <= unix_now_ms;
            let may_create = is_due && has_room_for_occurrence(job, row_bytes_max);
            if !may_create && job.next_occurrence >= count_min {
                return;
            }
            let due_at = Moment::from_millis((due_ms as i64 - offset).max(0) as u64).min(now);
            let new_units = |step: &crate::job::Step| {
                (0..step.count).map(|_| Unit::new(run_number_base, now)).collect::<Vec<Unit>>()
            };
            let steps = job.record.steps.iter().map(new_units).collect();
            job.occurrences.push(Occurrence { number: job.next_occurrence, due_at, steps });
            job.next_occurrence += 1;
            job.may_have_waiting_units = true;
            self.needs_placement = true;
        }
    }

    /// Removes and returns changes that are not stored yet, as many as `limits` allow.
    pub fn take_batch(&mut self, limits: BatchLimits, now: Moment) -> Batch {
        let mut batch = Batch::default();
        let is_dirty = std::mem::take(&mut self.is_baseline_hosts_dirty);
        batch.baseline_hosts = is_dirty.then(|| self.baseline_hosts.clone());
        batch.durations = self.take_durations_row(now);
        if self.has_unstored_commands() {
            batch.host_commands = Some(self.host_commands_to_store(now));
        }
        for (id, wave) in self.waves.iter_mut().filter(|(_, wave)| wave.is_dirty) {
            wave.is_dirty = false;
            batch.waves.push((*id, wave.row.clone()));
        }
        // Completions free capacity for new runs, and new runs lead to completions. If there are
        // many of both, each gets about half of the rows, so that neither starves the other.
        let rows_left = limits.rows_max.saturating_sub(batch.row_count());
        let assignment_rows =
            self.workers.values().filter(|w| w.has_unstored_run || w.has_unassigned_run).count();
        let progress_rows = rows_left - assignment_rows.min(rows_left / 2);
        let progress_rows = progress_rows.min(limits.progress_rows_max);
        // Assignments get a part of the bytes as well.
        self.add_progress(&mut batch, progress_rows, limits.bytes_max / 2, now);
        self.add_completions(&mut batch);
        let rows_left = limits.rows_max.saturating_sub(batch.row_count());
        self.add_assignments(&mut batch, rows_left, limits.bytes_max, now);
        let rows_left = limits.rows_max.saturating_sub(batch.row_count());
        self.add_jobs_to_unstore(&mut batch, rows_left);
        let rows_left = limits.rows_max.saturating_sub(batch.row_count());
        self.add_expired_jobs(&mut batch, rows_left, now);
        // Outcomes are no reason for a transaction of their own: a successor finds them out.
        if self.has_unstored_outcome
            && !batch.has_no_writes()
            && batch.row_count() < limits.rows_max
        {
            batch.host_commands = Some(self.host_commands_to_store(now));
        }
        batch
    }

    /// Adds the progress of jobs that have changed, in at most `rows_max` rows.
    fn add_progress(&mut self, batch: &mut Batch, rows_max: usize, bytes_max: usize, now: Moment) {
        let unix_now_ms = self.unix_ms(now);
        let row_bytes_max = self.settings.row_bytes_max;
        let mut bytes = batch.stored_bytes_max();
        let mut row_count = 0;
        while row_count + ROWS_PER_FINISHED_JOB <= rows_max
            && (row_count == 0 || bytes + row_bytes_max <= bytes_max)
            && let Some(id) = self.dirty_jobs.pop_front()
        {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.is_dirty = false;
            set_finish_state(job, FinishState::Finished, FinishState::Storing);
            row_count += 1;
            if job.final_state.is_some() && !has_runs(job) {
                job.has_record = false;
                row_count += 1;
                batch.jobs_to_unstore.push(id.clone());
            }
            let progress = progress_of(job, unix_now_ms, row_bytes_max);
            bytes += progress.stored_bytes_max();
            batch.progress.push((id, progress));
        }
    }

    /// Adds at most `rows_max` finished jobs whose records are to be removed.
    fn add_jobs_to_unstore(&mut self, batch: &mut Batch, rows_max: usize) {
        let rest = self.jobs_to_unstore.split_off(self.jobs_to_unstore.len().min(rows_max));
        batch.jobs_to_unstore.extend(std::mem::replace(&mut self.jobs_to_unstore, rest));
    }

    /// Adds at most `rows_max` finished jobs whose retention time has passed.
    fn add_expired_jobs(&mut self, batch: &mut Batch, rows_max: usize, now: Moment) {
        if now.saturating_sub(self.expiry_checked_at) < EXPIRY_CHECK_PERIOD {
            return;
        }
        self.expiry_checked_at = now;
        let retention = self.settings.ended_kept;
        let is_expired = |job: &FinishedJob| now.saturating_sub(job.finished_at) > retention;
        let expired = self.finished_jobs.iter().filter(|(_, job)| is_expired(job)).take(rows_max);
        batch.expired_jobs = expired.map(|(id, _)| id.clone()).collect();
    }

    /// Marks the progress of a job as changed, so that it is stored.
    pub(crate) fn mark_dirty(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id)
            && !std::mem::replace(&mut job.is_dirty, true)
        {
            self.dirty_jobs.push_back(id.clone());
        }
    }

    /// Adds the completions whose consequences are all stored or part of the batch.
    fn add_completions(&mut self, batch: &mut Batch) {
        let jobs = &self.jobs;
        let is_unstored = |job: &JobId| jobs.get(job).is_some_and(|job| job.is_dirty);
        for (id, worker) in self.workers.iter_mut().filter(|(_, w)| w.has_unstored_completions()) {
            let first_pending = worker
                .pending_completions
                .iter()
                .find(|completion| is_unstored(&completion.unit.job));
            let number = first_pending
                .map_or(worker.last_seen_completion, |completion| completion.number - 1);
            worker.pending_completions.retain(|completion| completion.number > number);
            if number > worker.last_stored_completion {
                let (worker, incarnation_started_ms) =
                    (id.clone(), worker.registration.incarnation_started_ms);
                batch.completions.push(StoredCompletions {
                    worker,
                    incarnation_started_ms,
                    number,
                });
            }
        }
    }

    /// Handles the commit of a batch.
    pub fn handle_commit(&mut self, batch: &Batch, now: Moment) {
        for (id, progress) in &batch.progress {
            self.handle_job_stored(id, progress, now);
        }
        for completions in &batch.completions {
            if let Some(worker) = self.workers.get_mut(&completions.worker)
                && worker.registration.incarnation_started_ms == completions.incarnation_started_ms
            {
                worker.last_stored_completion =
                    worker.last_stored_completion.max(completions.number);
            }
        }
        for id in &batch.expired_jobs {
            self.finished_jobs.remove(id);
        }
        self.withdraw_runs_of_ended_jobs(&batch.assignments, now);
        self.handle_assignments_stored(&batch.assignments, now);
        if let Some(commands) = &batch.host_commands {
            self.handle_host_commands_stored(commands);
        }
        self.needs_placement = true;
    }

    /// Removes the planned runs of jobs that were cancelled, or have ended otherwise, while the runs
    /// were being stored.
    fn withdraw_runs_of_ended_jobs(&mut self, rows: &[(WorkerId, AssignmentRow)], now: Moment) {
        for (worker, row) in rows {
            for key in row.runs.iter().filter_map(|(unit, _)| unit.parse::<UnitKey>().ok()) {
                let has_ended =
                    self.jobs.get(&key.job).is_some_and(|job| job.final_state.is_some());
                let end =
                    self.run_on(&key, worker).filter(|_| has_ended).and_then(RunEnd::not_sent);
                if let Some(end) = end {
                    self.remove_run(&key, worker, end, now);
                }
            }
        }
    }

    fn handle_job_stored(&mut self, id: &JobId, progress: &Progress, now: Moment) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        set_finish_state(job, FinishState::Storing, FinishState::Stored);
        if progress.final_state.is_some() {
            job.is_final_state_stored = true;
            self.stop_runs(id, now);
        }
        self.remove_finished(id, now);
    }

    /// Removes finished occurrences of a job, and the job itself once it has ended and has no runs.
    pub(crate) fn remove_finished(&mut self, id: &str, now: Moment) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let count_before = job.occurrences.len();
        job.occurrences.retain(|occurrence| !is_removable(occurrence));
        job.finished_occurrences += (count_before - job.occurrences.len()) as u32;
        let Some(state) = job.final_state.filter(|_| job.is_final_state_stored) else {
            return;
        };
        if has_runs(job) {
            return;
        }
        let finished_job = FinishedJob {
            state,
            queue: job.record.queue.clone(),
            team: job.record.team.clone(),
            finished_at: now,
        };
        if let Some(job) = self.jobs.remove(id) {
            if job.has_record {
                self.jobs_to_unstore.push(job.record.id.clone());
            }
            self.finished_jobs.insert(job.record.id.clone(), finished_job);
        }
    }

    /// Returns the units of a job that have a run.
    pub(crate) fn units_with_run(&self, id: &str) -> Vec<UnitKey> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let mut keys = Vec::new();
        for occurrence in &job.occurrences {
            for (step, units) in occurrence.steps.iter().enumerate() {
                let with_run = units.iter().enumerate().filter(|(_, unit)| unit.run.is_some());
                keys.extend(with_run.map(|(index, _)| UnitKey {
                    job: job.record.id.clone(),
                    occurrence: occurrence.number,
                    step,
                    index,
                }));
            }
        }
        keys
    }

    fn stop_runs(&mut self, id: &str, now: Moment) {
        for key in self.units_with_run(id) {
            self.request_stop(&key, now);
        }
    }
}

/// Returns all units of a job.
pub(crate) fn units(job: &Job) -> impl Iterator<Item = &Unit> {
    job.occurrences.iter().flat_map(|occurrence| occurrence.steps.iter().flatten())
}

fn has_runs(job: &Job) -> bool {
    units(job).any(|unit| unit.run.is_some())
}

fn set_finish_state(job: &mut Job, from: FinishState, to: FinishState) {
    let steps = job.occurrences.iter_mut().flat_map(|occurrence| &mut occurrence.steps);
    for unit in steps.flatten().filter(|unit| unit.finish_state == from) {
        unit.finish_state = to;
    }
}

/// Returns true if all units have succeeded, whether that is stored or not.
pub(crate) fn is_finished(occurrence: &Occurrence) -> bool {
    occurrence.steps.iter().flatten().all(|unit| unit.finish_state != FinishState::Unfinished)
}

fn is_removable(occurrence: &Occurrence) -> bool {
    let is_stored_and_idle =
        |unit: &Unit| unit.finish_state == FinishState::Stored && unit.run.is_none();
    occurrence.steps.iter().flatten().all(is_stored_and_idle)
}

/// Returns the ranges of occurrences that were removed since they have finished, the last one of
/// each included.
fn removed_occurrences(job: &Job) -> Vec<(u32, u32)> {
    let left = job.occurrences.iter().map(|occurrence| occurrence.number);
    let mut ranges = Vec::new();
    let mut next = 0;
    for number in left.chain([job.next_occurrence]) {
        if next < number {
            ranges.push((next, number - 1));
        }
        next = number + 1;
    }
    ranges
}

/// Returns the progress of a job, as it is to be stored in a row of at most `bytes_max` bytes.
fn progress_of(job: &Job, unix_now_ms: u64, bytes_max: usize) -> Progress {
    let mut progress = Progress {
        final_state: job.final_state,
        finished_ms: job.final_state.map(|_| unix_now_ms),
        queue: job.record.queue.to_string(),
        team: job.record.team.as_ref().map(|team| team.to_string()),
        ..Progress::default()
    };
    if job.final_state.is_some() {
        return progress;
    }
    progress.add_finished_occurrences(removed_occurrences(job), job.record.steps.len(), bytes_max);
    for occurrence in &job.occurrences {
        for (step, units) in occurrence.steps.iter().enumerate() {
            let is_gang = job.record.steps[step].is_gang;
            add_step_progress(&mut progress, occurrence.number, step, is_gang, units);
        }
    }
    progress.shrink_to(bytes_max);
    progress
}

fn add_step_progress(
    progress: &mut Progress,
    number: u32,
    step: usize,
    is_gang: bool,
    units: &[Unit],
) {
    if units.iter().all(|unit| unit.finish_state != FinishState::Unfinished) {
        progress.finished_steps.push((number, step));
        return;
    }
    let gang_failures = if is_gang { distinct_failed_runs(units) } else { Vec::new() };
    if !gang_failures.is_empty() {
        // Once for the whole gang, so that the row has room for any number of members.
        progress.failed_runs.push(((number, step, 0), gang_failures));
    }
    for (index, unit) in units.iter().enumerate() {
        let position = (number, step, index);
        if unit.finish_state != FinishState::Unfinished {
            progress.finished_units.push(position);
            continue;
        }
        if !is_gang && !unit.failed_runs.is_empty() {
            progress.failed_runs.push((position, unit.failed_runs.clone()));
        }
        if !unit.crashed_runs.is_empty() {
            progress.crashed_runs.push((position, unit.crashed_runs.clone()));
        }
        if !unit.checkpoint.is_empty() {
            progress.checkpoints.push((position, unit.checkpoint.clone()));
        }
    }
}
