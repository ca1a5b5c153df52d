//! Restoring the state of an earlier owner: stored jobs, and runs that may still exist on workers
//! that do not reply.

use std::sync::Arc;
use std::time::Duration;

use crate::JobId;
use crate::Moment;
use crate::job::JobRecord;
use crate::job::UnitKey;
use crate::live_jobs::FULL_PERCENT;
use crate::live_jobs::FinishState;
use crate::live_jobs::FinishedJob;
use crate::live_jobs::Occurrence;
use crate::live_jobs::Phase;
use crate::live_jobs::Run;
use crate::live_jobs::Unit;
use crate::messages::WorkerRegistration;
use crate::progress::Progress;
use crate::progress::UnitPosition;
use crate::run_end::RunEnd;
use crate::state::Scheduler;
use crate::worker::Worker;

impl Scheduler {
    /// Restores a stored job with its record. If it has ended, it stays until
    /// [`Scheduler::restore_assignments`] has shown whether any of its runs may be left.
    pub fn restore_job(&mut self, record: Arc<JobRecord>, progress: &Progress, now: Moment) {
        let id = record.id.clone();
        // The time of its submission is not known precisely enough to tell whether it was beyond
        // the rate share of its team.
        self.insert_job(record, false, now);
        self.create_occurrences_of(&id, progress.created_occurrences(), now);
        let steps = progress.finished_steps.iter();
        for (number, step) in steps.copied() {
            self.restore_step(&id, number, step);
        }
        for (first, last) in progress.finished_occurrences.iter().copied() {
            self.restore_occurrences(&id, first, last);
        }
        for position in progress.all_finished_units() {
            if let Some(unit) = self.unit_at(&id, position) {
                unit.finish_state = FinishState::Stored;
            }
        }
        for (position, failed_runs) in &progress.failed_runs {
            if let Some(unit) = self.unit_at(&id, *position) {
                unit.failed_runs = failed_runs.clone();
                unit.last_run = failed_runs.iter().copied().fold(unit.last_run, u32::max);
            }
        }
        for (position, crashed_runs) in &progress.crashed_runs {
            if let Some(unit) = self.unit_at(&id, *position) {
                unit.crashed_runs = crashed_runs.clone();
            }
        }
        for (position, checkpoint) in &progress.checkpoints {
            if let Some(unit) = self.unit_at(&id, *position) {
                unit.checkpoint = checkpoint.clone();
            }
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.has_started = progress != &Progress::default();
            job.final_state = progress.final_state;
            job.is_final_state_stored = progress.final_state.is_some();
        }
        if progress.final_state.is_none() {
            self.remove_finished(&id, now);
            self.finish_job(&id, now);
        }
    }

    /// Restores a stored job that has ended.
    pub fn restore_finished_job(&mut self, id: JobId, progress: &Progress, now: Moment) {
        let Some(state) = progress.final_state else {
            return;
        };
        let finished_at = progress.finished_ms.map_or(now, |at_ms| self.moment_of(at_ms).min(now));
        let queue = progress.queue.as_str().into();
        let team = progress.team.as_deref().map(Into::into);
        self.finished_jobs.insert(id, FinishedJob { state, queue, team, finished_at });
    }

    /// Replaces the list of registered workers. `lease_left` is the maximum remaining time of a
    /// lease that an earlier owner may have requested for a worker.
    pub fn set_workers(
        &mut self,
        registrations: Vec<WorkerRegistration>,
        lease_left: Duration,
        now: Moment,
    ) {
        for worker in self.workers.values_mut() {
            worker.is_registered = false;
        }
        for registration in registrations {
            self.update_worker(registration, lease_left, now);
        }
    }

    /// Adds or updates a registered worker; for `lease_left` see [`Scheduler::set_workers`].
    pub fn update_worker(
        &mut self,
        registration: WorkerRegistration,
        lease_left: Duration,
        now: Moment,
    ) {
        if let Some(terminated) = self.terminated_workers.get_mut(&registration.id)
            && registration.incarnation_started_ms <= terminated.incarnation_started_ms
        {
            *terminated = registration;
            return;
        }
        self.needs_placement = true;
        let Some(worker) = self.workers.get_mut(&registration.id) else {
            let id = registration.id.clone();
            let is_cordoned = self.may_be_terminated(&registration);
            let mut worker = Worker::new(registration, now + lease_left, now);
            worker.token = self.tokens.next();
            worker.is_cordoned = is_cordoned;
            worker.cordoned_at = now;
            self.workers.insert(id, worker);
            return;
        };
        worker.is_registered = true;
        let end = RunEnd::worker_restarted(
            worker.registration.incarnation_started_ms,
            registration.incarnation_started_ms,
        );
        if let Some(end) = end {
            let id = registration.id.clone();
            self.handle_worker_restart(&id, registration, end, now);
            return;
        }
        if registration.is_draining && !worker.registration.is_draining {
            worker.draining_since = now;
        }
        if registration.address != worker.registration.address {
            worker.token = self.tokens.next();
            worker.is_token_seen = false;
        }
        worker.update_warmup(&registration, now);
        let incarnation_started_ms =
            worker.registration.incarnation_started_ms.max(registration.incarnation_started_ms);
        let host = registration.host.clone().or(worker.registration.host.clone());
        worker.registration = WorkerRegistration { incarnation_started_ms, host, ..registration };
    }

    /// Handles the removal of a worker from the registry.
    pub fn unregister_worker(&mut self, id: &str) {
        self.terminated_workers.remove(id);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_registered = false;
        }
    }

    /// Handles a later incarnation of a worker: nothing of the earlier one is running any more.
    /// Commands that were sent to the earlier one may still reach this one.
    pub(crate) fn handle_worker_restart(
        &mut self,
        id: &str,
        registration: WorkerRegistration,
        end: RunEnd,
        now: Moment,
    ) {
        let subject = id.to_owned();
        let why = self.workers.get(id).map(Worker::calls_in_flight).unwrap_or_default();
        let why = format!("born_ms={} {why}", registration.incarnation_started_ms);
        self.log_decision("worker started again", subject, why);
        let possible = self.possible_runs_of_restarted(id);
        self.handle_worker_end(id, end, now);
        let lease_max = self.settings.lease_max;
        if let Some(worker) = self.workers.get_mut(id) {
            let (has_row, is_cordoned) = (worker.has_row, worker.is_cordoned);
            let deadline_sent_at = worker.deadline_sent_at;
            *worker = Worker::new(registration, now, now);
            worker.token = self.tokens.next();
            worker.record_earlier_deadlines(deadline_sent_at);
            worker.record_stray_leases(lease_max);
            worker.has_row = has_row;
            worker.is_cordoned = is_cordoned;
            worker.cordoned_at = now;
        }
        for (key, run) in possible {
            self.keep_possible_run(&key, run, now);
        }
    }

    /// Handles a row of an earlier incarnation of a worker. The earlier owner may not have known of
    /// the restart, so that the later incarnation may have carried out its start commands.
    pub(crate) fn handle_restart_before_takeover(&mut self, id: &str, end: RunEnd, now: Moment) {
        let possible = self.possible_runs_of_restarted(id);
        self.handle_worker_end(id, end, now);
        for (key, run) in possible {
            if self.unit(&key).is_some_and(|unit| unit.run.is_none()) {
                self.add_run(&key, Run { is_of_known_incarnation: false, ..run }, now);
            }
        }
    }

    /// Returns the runs that a later incarnation of their worker may have started: all but those that
    /// the earlier one has listed.
    fn possible_runs_of_restarted(&self, id: &str) -> Vec<(UnitKey, Run)> {
        let keys = self.workers.get(id).map(|worker| worker.runs.as_slice()).unwrap_or_default();
        let is_possible = |run: &&Run| !matches!(run.phase, Phase::Planned | Phase::Reported);
        let run = |key: &UnitKey| self.run_on(key, id).filter(is_possible).cloned();
        keys.iter().filter_map(|key| Some((key.clone(), run(key)?))).collect()
    }

    /// Keeps a run that a later incarnation of its worker may have started, until the reports of
    /// that incarnation show whether it has.
    fn keep_possible_run(&mut self, key: &UnitKey, run: Run, now: Moment) {
        let is_open = self.unit(key).is_some_and(|unit| unit.run.is_none());
        if !is_open {
            return;
        }
        // Replies of the earlier incarnation to other commands say nothing about this one.
        let run = Run {
            is_of_known_incarnation: false,
            stop: None,
            speed_limit_percent: FULL_PERCENT,
            ..run
        };
        if is_settled_by_report(&run) {
            return self.add_run(key, run, now);
        }
        // The start command may still take effect at the later incarnation, which doesn't know its
        // deadline. Once that has replied to the command to stop, it refuses the start.
        let worker = run.worker.clone();
        let run = Run { phase: Phase::InDoubt, deadline_ms: u64::MAX, ..run };
        self.add_run(key, run, now);
        self.request_stop_on(&worker, key, now);
    }

    fn unit_at(&mut self, id: &JobId, position: UnitPosition) -> Option<&mut Unit> {
        let (occurrence, step, index) = position;
        self.unit_mut(&UnitKey { job: id.clone(), occurrence, step, index })
    }

    /// Restores occurrences that have finished.
    fn restore_occurrences(&mut self, id: &JobId, first: u32, last: u32) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let is_finished =
            |occurrence: &&mut Occurrence| (first..=last).contains(&occurrence.number);
        let occurrences = job.occurrences.iter_mut().filter(is_finished);
        for unit in occurrences.flat_map(|occurrence| occurrence.steps.iter_mut().flatten()) {
            unit.finish_state = FinishState::Stored;
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
            unit.finish_state = FinishState::Stored;
        }
    }
}

/// Returns true if the next report shows whether a run is there: its start command was answered,
/// which doesn't tell by which incarnation, or came from an earlier owner.
fn is_settled_by_report(run: &Run) -> bool {
    let is_of_earlier_owner = run.phase == Phase::InDoubt && run.deadline_ms == 0;
    matches!(run.phase, Phase::Confirmed(_)) || is_of_earlier_owner
}
