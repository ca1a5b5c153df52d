//! What is stored, and what follows once it is.
//!
//! One batch is on its way at a time. Ends of units count as stored when the batch that holds them is
//! committed; only then do later steps start, are ends acknowledged to workers and do callers see a
//! job as ended.

use std::sync::Arc;
use std::time::Duration;

use crate::JobId;
use crate::Moment;
use crate::batch::Batch;
use crate::batch::BatchLimits;
use crate::batch::StoredCompletions;
use crate::job::JobRecord;
use crate::job::UnitKey;
use crate::live::Done;
use crate::live::EndedJob;
use crate::live::Job;
use crate::live::Occurrence;
use crate::live::Unit;
use crate::progress::FinalState;
use crate::progress::Progress;
use crate::state::Scheduler;

/// Rows of a job that has ended: its progress, and its record, which is removed.
const ENTRIES_OF_ENDED: usize = 2;
/// Time between two looks for ended jobs that need not be remembered any longer.
const FORGET_PERIOD: Duration = Duration::from_millis(200);

/// What became of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// It is to be stored with the next batch.
    Pending,
    /// The job had ended already.
    Ended,
    /// There is no such job.
    Unknown,
}

impl Scheduler {
    /// Takes in a job that has just come.
    pub fn add_job(&mut self, record: Arc<JobRecord>, now: Moment) {
        if self.jobs.contains(&record.id) || self.ended.contains(&record.id) {
            return;
        }
        let is_beyond_share = !self.take_share(&record, now);
        self.add_known_job(record, is_beyond_share, now);
    }

    fn take_share(&mut self, record: &JobRecord, now: Moment) -> bool {
        let Some(team) = &record.team else {
            return true;
        };
        let rate_share = self.config.teams.get(team).map_or(0.0, |team| team.rate_share);
        self.shares.take(team, rate_share, now)
    }

    pub(crate) fn add_known_job(
        &mut self,
        record: Arc<JobRecord>,
        is_beyond_share: bool,
        now: Moment,
    ) {
        self.count_demand(&record, now);
        let job = Job {
            accepted_at: self.moment_of(record.accepted_ms).min(now),
            record: record.clone(),
            is_beyond_share,
            occurrences: Vec::new(),
            next_occurrence: 0,
            occurrences_over: 0,
            final_state: None,
            is_final_state_stored: false,
            is_dirty: false,
            has_begun: false,
            has_record: true,
        };
        self.jobs.insert(record.id.clone(), job);
        self.begin_due_occurrences(&record.id, now);
        self.needs_placing = true;
    }

    /// Takes a job back that could not be stored; none of its runs was ordered.
    pub fn withdraw_job(&mut self, id: &str, now: Moment) {
        for key in self.runs_of(id) {
            self.clear_run(&key, now);
        }
        self.jobs.remove(id);
    }

    /// Cancels a job; its runs are stopped once that is stored.
    pub fn cancel(&mut self, id: &str) -> CancelOutcome {
        if self.ended.contains(id) {
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
                self.touch(&id);
            }
        }
        CancelOutcome::Pending
    }

    /// Makes the occurrences of a job that are due.
    pub(crate) fn begin_due_occurrences(&mut self, id: &str, now: Moment) {
        let unix_now_ms = self.unix_ms(now);
        let (run_base, offset) = (self.run_base, self.unix_offset_ms);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        while job.next_occurrence < job.record.occurrences() {
            let due_ms = job.record.due_ms(job.next_occurrence);
            if job.record.is_timed() && due_ms > unix_now_ms {
                return;
            }
            let due_at = Moment::from_millis((due_ms as i64 - offset).max(0) as u64).min(now);
            let new_units = |step: &crate::job::Step| {
                (0..step.count).map(|_| Unit::new(run_base, now)).collect::<Vec<Unit>>()
            };
            let steps = job.record.steps.iter().map(new_units).collect();
            job.occurrences.push(Occurrence { number: job.next_occurrence, due_at, steps });
            job.next_occurrence += 1;
            self.needs_placing = true;
        }
    }

    /// Changes that are not stored yet, as far as there is room.
    pub fn take_batch(&mut self, limits: BatchLimits, now: Moment) -> Batch {
        let mut batch = Batch::default();
        let is_dirty = std::mem::take(&mut self.is_own_hosts_dirty);
        batch.baseline_hosts = is_dirty.then(|| self.baseline_hosts.clone());
        batch.host_commands = self.changed_host_orders(now);
        for (id, wave) in self.waves.iter_mut().filter(|(_, wave)| wave.is_dirty) {
            wave.is_dirty = false;
            batch.waves.push((*id, wave.row.clone()));
        }
        // Ends let runs start, and runs are what ends come from: neither keeps the other out.
        let left = limits.rows_max.saturating_sub(batch.row_count());
        let for_runs = self.workers.values().filter(|worker| worker.lacks_run).count();
        let for_progress = left - for_runs.min(left / 2);
        self.add_progress(&mut batch, for_progress.min(limits.progress_rows_max), now);
        self.add_ends(&mut batch);
        let left = limits.rows_max.saturating_sub(batch.row_count());
        self.add_assignments(&mut batch, left);
        let left = limits.rows_max.saturating_sub(batch.row_count());
        self.add_recordless(&mut batch, left);
        let left = limits.rows_max.saturating_sub(batch.row_count());
        self.add_forgotten(&mut batch, left, now);
        batch
    }

    /// Adds the progress of the jobs that have changed, in at most `entries` rows.
    fn add_progress(&mut self, batch: &mut Batch, rows_max: usize, now: Moment) {
        let unix_now_ms = self.unix_ms(now);
        let mut used = 0;
        while used + ENTRIES_OF_ENDED <= rows_max
            && let Some(id) = self.dirty.pop_front()
        {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.is_dirty = false;
            mark(job, Done::Ended, Done::Storing);
            used += 1;
            if job.final_state.is_some() && !has_runs(job) {
                job.has_record = false;
                used += 1;
                batch.jobs_to_unstore.push(id.clone());
            }
            batch.progress.push((id, progress_of(job, unix_now_ms)));
        }
    }

    /// Adds the removal of records whose jobs were dropped, at most `entries`.
    fn add_recordless(&mut self, batch: &mut Batch, rows_max: usize) {
        let left = self.jobs_to_unstore.split_off(self.jobs_to_unstore.len().min(rows_max));
        batch.jobs_to_unstore.extend(std::mem::replace(&mut self.jobs_to_unstore, left));
    }

    /// Adds the ended jobs that need not be remembered any longer, at most `entries`.
    fn add_forgotten(&mut self, batch: &mut Batch, rows_max: usize, now: Moment) {
        if now.saturating_sub(self.forgotten_at) < FORGET_PERIOD {
            return;
        }
        self.forgotten_at = now;
        let kept = self.settings.ended_kept;
        let is_old = |job: &EndedJob| now.saturating_sub(job.ended_at) > kept;
        let old = self.ended.iter().filter(|(_, job)| is_old(job)).take(rows_max);
        batch.expired_jobs = old.map(|(id, _)| id.clone()).collect();
    }

    /// The progress of a job has changed and is to be stored.
    pub(crate) fn touch(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id)
            && !std::mem::replace(&mut job.is_dirty, true)
        {
            self.dirty.push_back(id.clone());
        }
    }

    /// Adds the ends of which all that they changed is stored or in the batch.
    fn add_ends(&mut self, batch: &mut Batch) {
        let jobs = &self.jobs;
        let is_open = |job: &JobId| jobs.get(job).is_some_and(|job| job.is_dirty);
        for (id, worker) in self.workers.iter_mut().filter(|(_, w)| w.has_unstored_completions()) {
            let first_open = worker.pending_completions.iter().find(|end| is_open(&end.unit.job));
            let number = first_open.map_or(worker.last_seen_completion, |end| end.number - 1);
            worker.pending_completions.retain(|end| end.number > number);
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

    /// A batch has been stored.
    pub fn handle_commit(&mut self, batch: &Batch, now: Moment) {
        for (id, progress) in &batch.progress {
            self.job_stored(id, progress, now);
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
            self.ended.remove(id);
        }
        self.assignments_stored(&batch.assignments, now);
        if let Some(orders) = &batch.host_commands {
            self.host_orders_stored(orders);
        }
        self.needs_placing = true;
    }

    fn job_stored(&mut self, id: &JobId, progress: &Progress, now: Moment) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        mark(job, Done::Storing, Done::Stored);
        if progress.final_state.is_some() {
            job.is_final_state_stored = true;
            self.stop_runs_of(id, now);
        }
        self.drop_finished(id, now);
    }

    /// Forgets occurrences that are over, and the job once it has ended and its runs are gone.
    pub(crate) fn drop_finished(&mut self, id: &str, now: Moment) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let before = job.occurrences.len();
        job.occurrences.retain(|occurrence| !is_over(occurrence));
        job.occurrences_over += (before - job.occurrences.len()) as u32;
        let Some(state) = job.final_state.filter(|_| job.is_final_state_stored) else {
            return;
        };
        if has_runs(job) {
            return;
        }
        let ended = EndedJob {
            state,
            queue: job.record.queue.clone(),
            team: job.record.team.clone(),
            ended_at: now,
        };
        if let Some(job) = self.jobs.remove(id) {
            if job.has_record {
                self.jobs_to_unstore.push(job.record.id.clone());
            }
            self.ended.insert(job.record.id.clone(), ended);
        }
    }

    /// Keys of the units of a job that have a run.
    pub(crate) fn runs_of(&self, id: &str) -> Vec<UnitKey> {
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

    fn stop_runs_of(&mut self, id: &str, now: Moment) {
        for key in self.runs_of(id) {
            self.order_stop(&key, now);
        }
    }
}

/// All units of a job.
pub(crate) fn units(job: &Job) -> impl Iterator<Item = &Unit> {
    job.occurrences.iter().flat_map(|occurrence| occurrence.steps.iter().flatten())
}

fn has_runs(job: &Job) -> bool {
    units(job).any(|unit| unit.run.is_some())
}

fn mark(job: &mut Job, from: Done, to: Done) {
    let steps = job.occurrences.iter_mut().flat_map(|occurrence| &mut occurrence.steps);
    for unit in steps.flatten().filter(|unit| unit.done == from) {
        unit.done = to;
    }
}

/// True if all units have ended as done, stored or not.
pub(crate) fn has_ended(occurrence: &Occurrence) -> bool {
    occurrence.steps.iter().flatten().all(|unit| unit.done != Done::No)
}

fn is_over(occurrence: &Occurrence) -> bool {
    let over = |unit: &Unit| unit.done == Done::Stored && unit.run.is_none();
    occurrence.steps.iter().flatten().all(over)
}

/// What is to be stored of a job.
fn progress_of(job: &Job, unix_now_ms: u64) -> Progress {
    let mut progress = Progress {
        final_state: job.final_state,
        ended_ms: job.final_state.map(|_| unix_now_ms),
        queue: job.record.queue.to_string(),
        team: job.record.team.as_ref().map(|team| team.to_string()),
        ..Progress::default()
    };
    if job.final_state.is_some() {
        return progress;
    }
    // Occurrences that are over were dropped; all before the first that is left are among them.
    let first_left = job.occurrences.first().map_or(job.next_occurrence, |o| o.number);
    let steps = job.record.steps.len();
    for number in 0..job.next_occurrence {
        let is_dropped = !job.occurrences.iter().any(|o| o.number == number);
        if number < first_left || is_dropped {
            progress.steps_done.extend((0..steps).map(|step| (number, step)));
        }
    }
    for occurrence in &job.occurrences {
        for (step, units) in occurrence.steps.iter().enumerate() {
            note_step(&mut progress, occurrence.number, step, units);
        }
    }
    progress
}

fn note_step(progress: &mut Progress, number: u32, step: usize, units: &[Unit]) {
    if units.iter().all(|unit| unit.done != Done::No) {
        progress.steps_done.push((number, step));
        return;
    }
    for (index, unit) in units.iter().enumerate() {
        let position = (number, step, index);
        if unit.done != Done::No {
            progress.units_done.push(position);
            continue;
        }
        if !unit.failed_runs.is_empty() {
            progress.failures.push((position, unit.failed_runs.clone()));
        }
        if !unit.checkpoint.is_empty() {
            progress.checkpoints.push((position, unit.checkpoint.clone()));
        }
    }
}
