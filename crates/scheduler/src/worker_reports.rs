//! Handling of worker reports, missing replies and expired leases.

use std::time::Duration;

use crate::FencingToken;
use crate::JobId;
use crate::Moment;
use crate::WorkerId;
use crate::commands::NO_REPLY_BACKOFF;
use crate::job::UnitKey;
use crate::live_jobs::FULL_PERCENT;
use crate::live_jobs::FinishState;
use crate::live_jobs::Phase;
use crate::live_jobs::Run;
use crate::messages::Action;
use crate::messages::AssignedRun;
use crate::messages::Completion;
use crate::messages::PollFailure;
use crate::messages::RunOutcome;
use crate::messages::RunStatus;
use crate::messages::SentPoll;
use crate::messages::WorkerRegistration;
use crate::messages::WorkerReport;
use crate::progress::FinalState;
use crate::run_end::AbsentRun;
use crate::run_end::RunEnd;
use crate::state::Scheduler;
use crate::storing::is_finished;
use crate::worker::Contact;
use crate::worker::PendingCompletion;
use crate::worker::Worker;

/// Time for which a silent worker is still polled after its lease has expired: how it returns shows
/// whether it has crashed.
const SILENT_WORKER_KEPT: Duration = Duration::from_secs(10);
/// Number of consecutive failed polls after which a worker gets no new runs for a while.
pub(crate) const FAILED_POLLS_MAX: u32 = 2;

impl Scheduler {
    /// Handles a worker's reply to a poll.
    pub fn handle_report(
        &mut self,
        id: &WorkerId,
        report: &WorkerReport,
        poll: SentPoll,
        now: Moment,
    ) {
        if !self.record_contact(id, report, poll.sent_at, now) {
            return;
        }
        let lease_max = self.settings.lease_max;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.record_answered_poll(poll, lease_max, now);
        }
        self.handle_completions(id, report.completions.listed(), now);
        self.record_unlisted_completions(id, report);
        let mut unexpected_runs = 0;
        for running in &report.running {
            let is_wanted = self.handle_run_status(id, running, now);
            unexpected_runs += usize::from(!is_wanted);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            self.needs_placement |= worker.unexpected_runs > unexpected_runs;
            worker.unexpected_runs = unexpected_runs;
        }
        self.remove_absent_runs(id, report, poll.sent_at, now);
    }

    /// Returns the number up to which the next poll of a worker acknowledges completions; 0 if there are
    /// none to acknowledge. While a start may have been carried out by a later incarnation, that one
    /// would take the number for the end of this run.
    pub fn completion_to_acknowledge(&self, worker: &Worker) -> u64 {
        let number = worker.completion_to_acknowledge();
        let is_unconfirmed =
            |run: &Run| run.phase != Phase::Commanded && run.may_be_of_later_incarnation();
        let must_withhold = number > 0 && self.runs_on(worker).any(|(_, run)| is_unconfirmed(run));
        if must_withhold { 0 } else { number }
    }

    /// Handles a poll that a worker did not answer.
    pub fn handle_failed_poll(&mut self, id: &WorkerId, failure: PollFailure, now: Moment) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.failed_polls += 1;
        if failure == PollFailure::BrokenOff {
            worker.broken_off_at.get_or_insert(now);
        }
        let (failed_polls, contact) = (worker.failed_polls, worker.contact);
        if failed_polls == FAILED_POLLS_MAX {
            worker.backoff_until = worker.backoff_until.max(now + NO_REPLY_BACKOFF);
            let why = format!("misses={failed_polls} contact={contact:?}");
            self.log_decision("worker does not answer", id.clone(), why);
        }
    }

    /// Handles the reply of another worker to a call with a fencing token: the worker has ended, or
    /// has started again elsewhere. If it is known at another address or in a later incarnation by
    /// now, the reply shows nothing.
    pub fn handle_worker_gone(
        &mut self,
        id: &WorkerId,
        token: FencingToken,
        why: &str,
        now: Moment,
    ) {
        if !self.is_current_token(id, token) {
            return;
        }
        self.log_decision("worker is gone", id.clone(), why.to_owned());
        self.handle_worker_end(id, RunEnd::worker_replaced(), now);
        self.remove_worker(id);
    }

    /// Removes the runs of unresponsive workers whose leases have expired: these runs have ended.
    pub(crate) fn expire_leases(&mut self, now: Moment) {
        let is_silent = |worker: &Worker| {
            !worker.is_in_contact(self.settings.contact_max, now) && !worker.runs.is_empty()
        };
        let silent = self.workers.iter().filter(|(_, worker)| is_silent(worker));
        let expired = silent
            .map(|(id, worker)| (id.clone(), self.expired_runs(worker, now)))
            .filter(|(_, ended)| !ended.is_empty());
        for (id, ended) in expired.collect::<Vec<(WorkerId, Vec<(UnitKey, RunEnd)>)>>() {
            let left = self.workers.get(&id).map_or(0, |worker| worker.runs.len() - ended.len());
            let why = format!("runs={} left={left}", ended.len());
            self.log_decision("lease of a silent worker is over", id.clone(), why);
            self.handle_lease_expiry(&id, &ended, now);
        }
        let is_removable = |worker: &Worker| {
            let is_suspect_host = self.silent_suspects.contains(&worker.registration.id);
            let kept = if is_suspect_host { SILENT_WORKER_KEPT } else { Duration::ZERO };
            !worker.is_registered
                && worker.runs.is_empty()
                && now >= worker.lease_over_at() + kept
                && !worker.is_in_contact(self.settings.contact_max, now)
        };
        let removable = self.workers.iter().filter(|(_, worker)| is_removable(worker));
        let removable: Vec<WorkerId> = removable.map(|(id, _)| id.clone()).collect();
        for id in removable {
            self.remove_worker(&id);
        }
    }

    /// Returns the runs of a silent worker that have ended with its lease.
    fn expired_runs(&self, worker: &Worker, now: Moment) -> Vec<(UnitKey, RunEnd)> {
        let lease_max = self.settings.lease_max;
        let runs = self.runs_on(worker);
        let ended = runs.filter_map(|(key, run)| {
            Some((key.clone(), RunEnd::lease_expired(run, worker, lease_max, now)?))
        });
        ended.collect()
    }

    /// Records that a worker has replied to a poll. Returns false if the reply is from an earlier
    /// incarnation.
    fn record_contact(
        &mut self,
        id: &WorkerId,
        report: &WorkerReport,
        sent_at: Moment,
        now: Moment,
    ) -> bool {
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        let known_ms = worker.registration.incarnation_started_ms;
        if let Some(end) = RunEnd::worker_restarted(known_ms, report.incarnation_started_ms) {
            let registration = WorkerRegistration {
                incarnation_started_ms: report.incarnation_started_ms,
                ..worker.registration.clone()
            };
            self.handle_worker_restart(id, registration, end, now);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        // Includes reports that do not tell the incarnation although the registration did.
        if report.incarnation_started_ms < worker.registration.incarnation_started_ms {
            return false;
        }
        if worker.registration.incarnation_started_ms == 0 {
            worker.registration.incarnation_started_ms = report.incarnation_started_ms;
        }
        if !worker.is_in_contact(self.settings.contact_max, now) {
            self.needs_placement = true;
        }
        worker.contact = Contact::Heard(now);
        worker.first_contact_at.get_or_insert(now);
        worker.failed_polls = 0;
        worker.broken_off_at = None;
        worker.record_clock(report.clock_ms, sent_at, now);
        self.handle_worker_return(id);
        true
    }

    fn handle_completions(&mut self, id: &WorkerId, completions: &[Completion], now: Moment) {
        let mut runs = Vec::new();
        for completion in completions {
            let Some(worker) = self.workers.get_mut(id) else {
                return;
            };
            if completion.number <= worker.last_seen_completion {
                continue;
            }
            worker.last_seen_completion = completion.number;
            self.handle_completion(id, completion, now);
            runs.push((completion.unit.clone(), completion.run, completion.outcome));
        }
        if !runs.is_empty() {
            self.actions.push(Action::LogEndedRuns { worker: id.clone(), runs });
        }
    }

    /// Records whether a worker may have completions beyond those that it lists.
    fn record_unlisted_completions(&mut self, id: &WorkerId, report: &WorkerReport) {
        let is_partial = report.completions.is_partial();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if std::mem::replace(&mut worker.may_have_unlisted_completions, is_partial) || !is_partial {
            return;
        }
        let listed = report.completions.listed().len();
        let why = format!("listed={listed} runs={}", worker.runs.len());
        self.log_decision("completions not all listed", id.clone(), why);
    }

    fn handle_completion(&mut self, id: &WorkerId, completion: &Completion, now: Moment) {
        self.sample_completion(id, completion, now);
        let key = &completion.unit;
        let Some(unit) = self.unit_mut(key) else {
            return;
        };
        unit.last_run = unit.last_run.max(completion.run);
        let end = unit.run_on(id).and_then(|run| RunEnd::listed(run, completion));
        if !completion.checkpoint.is_empty() && unit.finish_state == FinishState::Unfinished {
            unit.checkpoint = completion.checkpoint.clone();
        }
        let is_first_success =
            completion.outcome == RunOutcome::Done && unit.finish_state == FinishState::Unfinished;
        // A new owner may learn of several failures of a unit in any order.
        let is_new_failure =
            completion.outcome == RunOutcome::Failed && !unit.failed_runs.contains(&completion.run);
        if let Some(end) = end {
            self.remove_run(key, id, end, now);
        }
        if completion.outcome != RunOutcome::Done {
            let why = format!("ending={:?} run={} worker={id}", completion.outcome, completion.run);
            self.log_decision("run ended", key, why);
        }
        self.update_failure_history(id, key, completion.run, completion.outcome, now);
        if is_first_success {
            self.finish_unit(key, now);
        }
        if is_new_failure {
            self.handle_unit_failure(id, key, completion.run, now);
        }
        let changes_job = is_first_success || is_new_failure || !completion.checkpoint.is_empty();
        if changes_job {
            self.mark_dirty(&key.job);
        }
        // What it shows may also be known from an earlier completion, and not be stored yet: another
        // unit of a gang has finished it, or the worker lists its completions once more.
        let shows_outcome = matches!(completion.outcome, RunOutcome::Done | RunOutcome::Failed);
        let is_unstored = self.jobs.get(&key.job).is_some_and(|job| job.is_dirty);
        if (changes_job || (shows_outcome && is_unstored))
            && let Some(worker) = self.workers.get_mut(id)
        {
            let (number, unit, run) = (completion.number, key.clone(), completion.run);
            worker.pending_completions.push(PendingCompletion { number, unit, run });
        }
        self.remove_finished(&key.job, now);
    }

    fn finish_unit(&mut self, key: &UnitKey, now: Moment) {
        let Some(step) = self.jobs.get(&key.job).and_then(|job| job.record.steps.get(key.step))
        else {
            return;
        };
        let (is_gang, is_long_running) = (step.is_gang, step.is_long_running);
        if is_long_running {
            return;
        }
        for member in self.units_finishing_with(key, is_gang) {
            let Some(unit) = self.unit_mut(&member) else {
                continue;
            };
            unit.finish_state = FinishState::Finished;
            // The unit may have another run, which was started after a lease expired. It has
            // nothing left to do.
            self.request_stop(&member, now);
        }
        // Steps that depend on this one may be ready.
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.may_have_waiting_units = true;
        }
        self.finish_job(&key.job, now);
    }

    /// Marks a job as completed if all its units have finished.
    pub(crate) fn finish_job(&mut self, id: &JobId, now: Moment) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let all_started = job.next_occurrence >= job.record.occurrences();
        if job.final_state.is_none() && all_started && job.occurrences.iter().all(is_finished) {
            job.final_state = Some(FinalState::Completed);
            self.mark_dirty(id);
        }
        self.remove_finished(id, now);
    }

    /// Returns the units that finish together with `key`: all units of a gang, otherwise only
    /// itself.
    pub(crate) fn units_finishing_with(&self, key: &UnitKey, is_gang: bool) -> Vec<UnitKey> {
        let count = self.jobs.get(&key.job).map_or(0, |job| job.record.steps[key.step].count);
        match is_gang {
            true => (0..count as usize).map(|index| UnitKey { index, ..key.clone() }).collect(),
            false => vec![key.clone()],
        }
    }

    /// Handles a run that a worker reports as running. Returns false if the run is unexpected
    /// there, and commands it to stop.
    fn handle_run_status(&mut self, id: &WorkerId, running: &RunStatus, now: Moment) -> bool {
        let key = &running.unit;
        let job = self.jobs.get(&key.job);
        let Some((job, unit)) = job.and_then(|job| Some((job, job.unit(key)?))) else {
            self.stop_unexpected_run(id, running, None);
            return false;
        };
        let is_wanted = unit.finish_state == FinishState::Unfinished && !job.is_final_state_stored;
        match &unit.run {
            _ if unit.run_on(id).is_some() => self.update_run(id, key, running, now),
            Some(run) => {
                let assigned = AssignedRun::of(run);
                let Some(end) = RunEnd::superseded(run, running.run) else {
                    // The unit is assigned to another worker, so this is a leftover of an earlier
                    // run.
                    self.stop_unexpected_run(id, running, Some(assigned));
                    return false;
                };
                self.remove_run(key, &assigned.worker, end, now);
                self.adopt_run(id, running, now);
            }
            None => self.adopt_run(id, running, now),
        }
        if !is_wanted {
            self.request_stop_on(id, key, now);
        }
        true
    }

    /// Commands a run to stop that should not be on the worker that lists it.
    fn stop_unexpected_run(
        &mut self,
        id: &WorkerId,
        running: &RunStatus,
        assigned: Option<AssignedRun>,
    ) {
        self.counts.units_on_two_workers += u64::from(assigned.is_some());
        self.send_stop(id, &running.unit, running.run);
        self.actions.push(Action::LogUnexpectedRun {
            worker: id.clone(),
            unit: running.unit.clone(),
            run: running.run,
            assigned,
        });
    }

    fn update_run(&mut self, id: &WorkerId, key: &UnitKey, running: &RunStatus, now: Moment) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        job.has_started = true;
        let is_long_running = job.record.steps.get(key.step).is_some_and(|s| s.is_long_running);
        let Some(unit) = job.unit_mut(key) else {
            return;
        };
        unit.last_run = unit.last_run.max(running.run);
        if is_long_running && running.progress_percent < FULL_PERCENT {
            unit.last_unavailable_at = now;
        }
        let resumes = !unit.checkpoint.is_empty();
        let Some(run) = unit.run_on_mut(id) else {
            return;
        };
        if run.phase != Phase::Reported {
            run.first_listed_at = now;
        }
        run.number = running.run;
        run.phase = Phase::Reported;
        run.is_of_known_incarnation = true;
        run.record_progress(running.progress_percent, resumes, now);
        running.checkpoint.clone_into(&mut run.checkpoint);
        run.load = running.load;
        run.listed_at = now;
        if unit.may_be_cleared() {
            self.clear_suspect(id, key);
        }
    }

    /// Adds a run that an earlier owner has started, or whose start command took effect late.
    fn adopt_run(&mut self, id: &WorkerId, running: &RunStatus, now: Moment) {
        let key = &running.unit;
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let Some(step) = job.record.steps.get(key.step) else {
            return;
        };
        let mut run = Run::new(running.run, id.clone(), Phase::Reported, step, now);
        run.progress_percent = running.progress_percent;
        running.checkpoint.clone_into(&mut run.checkpoint);
        run.load = running.load;
        self.add_run(key, run, now);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.has_unassigned_run = true;
        }
    }

    /// Removes the runs that the worker does not list and that cannot appear there later.
    fn remove_absent_runs(
        &mut self,
        id: &WorkerId,
        report: &WorkerReport,
        sent_at: Moment,
        now: Moment,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let mut absent = Vec::new();
        for key in &worker.runs {
            let run = self.run_on(key, id);
            let Some(absent_run) = run.and_then(|run| AbsentRun::find(report, key, run)) else {
                continue;
            };
            if let Some(end) = RunEnd::absent(&absent_run, worker, sent_at) {
                absent.push((key.clone(), end));
            }
        }
        self.remove_lost_runs(id, &absent, now);
    }

    pub(crate) fn is_long_running(&self, key: &UnitKey) -> bool {
        let step = self.jobs.get(&key.job).and_then(|job| job.record.steps.get(key.step));
        step.is_some_and(|step| step.is_long_running)
    }
}
