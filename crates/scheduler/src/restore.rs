//! Taking over: what is stored, and what may still run on workers that do not answer.

use std::sync::Arc;
use std::time::Duration;

use crate::JobId;
use crate::Moment;
use crate::job::JobRecord;
use crate::job::UnitKey;
use crate::live::Done;
use crate::live::EndedJob;
use crate::progress::Progress;
use crate::report::WorkerRegistration;
use crate::state::Scheduler;
use crate::worker::Worker;

impl Scheduler {
    /// Takes in a stored job with its record. One that has ended stays until it is known whether runs of
    /// it are left, with [`Scheduler::restore_assignments`].
    pub fn restore_job(&mut self, record: Arc<JobRecord>, progress: &Progress, now: Moment) {
        let id = record.id.clone();
        // When it came is not known well enough to say whether it was beyond its team's share.
        self.add_known_job(record, false, now);
        let steps = progress.steps_done.iter();
        for (number, step) in steps.copied() {
            self.restore_step(&id, number, step);
        }
        for (number, step, index) in progress.units_done.iter().copied() {
            let key = UnitKey { job: id.clone(), occurrence: number, step, index };
            if let Some(unit) = self.unit_mut(&key) {
                unit.done = Done::Stored;
            }
        }
        for ((number, step, index), failed_runs) in &progress.failures {
            let (number, step, index) = (*number, *step, *index);
            let key = UnitKey { job: id.clone(), occurrence: number, step, index };
            if let Some(unit) = self.unit_mut(&key) {
                unit.failed_runs = failed_runs.clone();
                unit.last_run = failed_runs.iter().copied().fold(unit.last_run, u32::max);
            }
        }
        for ((number, step, index), checkpoint) in &progress.checkpoints {
            let (occurrence, step, index) = (*number, *step, *index);
            let key = UnitKey { job: id.clone(), occurrence, step, index };
            if let Some(unit) = self.unit_mut(&key) {
                unit.checkpoint = checkpoint.clone();
            }
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.has_begun = progress != &Progress::default();
            job.final_state = progress.final_state;
            job.is_final_state_stored = progress.final_state.is_some();
        }
        if progress.final_state.is_none() {
            self.drop_finished(&id, now);
            self.conclude(&id, now);
        }
    }

    /// Takes in a stored job that has ended.
    pub fn restore_ended(&mut self, id: JobId, progress: &Progress, now: Moment) {
        let Some(state) = progress.final_state else {
            return;
        };
        let ended_at = progress.ended_ms.map_or(now, |at_ms| self.moment_of(at_ms).min(now));
        let queue = progress.queue.as_str().into();
        let team = progress.team.as_deref().map(Into::into);
        self.ended.insert(id, EndedJob { state, queue, team, ended_at });
    }

    /// Takes in the registered workers; `lease_left` is the longest lease that an owner before may
    /// have asked a worker for.
    pub fn set_workers(
        &mut self,
        entries: Vec<WorkerRegistration>,
        lease_left: Duration,
        now: Moment,
    ) {
        for worker in self.workers.values_mut() {
            worker.is_registered = false;
        }
        for entry in entries {
            self.update_worker(entry, lease_left, now);
        }
    }

    /// Takes in one registered worker.
    pub fn update_worker(&mut self, entry: WorkerRegistration, lease_left: Duration, now: Moment) {
        if self.ended_workers.get(&entry.id).is_some_and(|incarnation_started_ms| {
            entry.incarnation_started_ms <= *incarnation_started_ms
        }) {
            return;
        }
        self.needs_placing = true;
        let Some(worker) = self.workers.get_mut(&entry.id) else {
            let id = entry.id.clone();
            let worker = Worker::new(entry, now + lease_left, now);
            self.workers.insert(id, worker);
            return;
        };
        worker.is_registered = true;
        let is_reborn = entry.incarnation_started_ms > worker.registration.incarnation_started_ms
            && worker.registration.incarnation_started_ms != 0;
        if is_reborn {
            let id = entry.id.clone();
            self.worker_reborn(&id, entry, now);
            return;
        }
        if entry.is_draining && !worker.registration.is_draining {
            worker.draining_since = now;
        }
        let incarnation_started_ms =
            worker.registration.incarnation_started_ms.max(entry.incarnation_started_ms);
        let host = entry.host.clone().or(worker.registration.host.clone());
        worker.registration = WorkerRegistration { incarnation_started_ms, host, ..entry };
    }

    /// An entry has left the registry.
    pub fn unregister_worker(&mut self, id: &str) {
        self.ended_workers.remove(id);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_registered = false;
        }
    }

    /// A later life of a worker has been seen: nothing of the life before runs any more.
    pub(crate) fn worker_reborn(&mut self, id: &str, entry: WorkerRegistration, now: Moment) {
        let subject = id.to_owned();
        let why = format!("born_ms={}", entry.incarnation_started_ms);
        self.note("worker started again", subject, why);
        self.clear_runs_on(id, now);
        if let Some(worker) = self.workers.get_mut(id) {
            let has_row = worker.has_row;
            *worker = Worker::new(entry, now, now);
            worker.has_row = has_row;
        }
    }

    /// Forgets all runs on a worker: none of them can be there any more.
    pub(crate) fn clear_runs_on(&mut self, id: &str, now: Moment) {
        let runs = self.workers.get(id).map(|worker| worker.runs.clone()).unwrap_or_default();
        for key in runs {
            self.clear_run(&key, now);
            self.drop_finished(&key.job, now);
        }
    }

    fn restore_step(&mut self, id: &JobId, number: u32, step: usize) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(occurrence) = job.occurrences.iter_mut().find(|o| o.number == number) else {
            return;
        };
        for unit in occurrence.steps.get_mut(step).into_iter().flatten() {
            unit.done = Done::Stored;
        }
    }
}
