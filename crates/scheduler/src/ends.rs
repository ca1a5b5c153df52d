//! What workers report, and what became of orders to them.

use crate::JobId;
use crate::Moment;
use crate::WorkerId;
use crate::commit::has_ended;
use crate::job::UnitKey;
use crate::live::Done;
use crate::live::Phase;
use crate::live::Run;
use crate::live::WHOLE_PERCENT;
use crate::orders::UNANSWERED_PAUSE;
use crate::progress::FinalState;
use crate::report::Completion;
use crate::report::RunOutcome;
use crate::report::RunStatus;
use crate::report::WorkerRegistration;
use crate::report::WorkerReport;
use crate::state::Scheduler;
use crate::worker::Contact;
use crate::worker::PendingCompletion;

/// Failures in a row to reach a worker after which it gets no new runs.
pub(crate) const MISSES_MAX: u32 = 2;

impl Scheduler {
    /// Takes in what a worker has reported in answer to a request that was sent at `sent_at`.
    pub fn handle_report(
        &mut self,
        id: &WorkerId,
        report: &WorkerReport,
        sent_at: Moment,
        now: Moment,
    ) {
        if !self.take_contact(id, report, now) {
            return;
        }
        self.take_ends(id, &report.completions, now);
        let mut strays = 0;
        for running in &report.running {
            let is_wanted = self.take_running(id, running, now);
            strays += usize::from(!is_wanted);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            self.needs_placing |= worker.strays > strays;
            worker.strays = strays;
        }
        self.take_absent(id, report, sent_at, now);
    }

    /// A request to a worker was not answered.
    pub fn handle_failed_poll(&mut self, id: &WorkerId, now: Moment) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.misses += 1;
        let (misses, age) = (worker.misses, worker.contact);
        if misses == MISSES_MAX {
            worker.shunned_until = worker.shunned_until.max(now + UNANSWERED_PAUSE);
            let why = format!("misses={misses} contact={age:?}");
            self.note("worker does not answer", id.clone(), why);
        }
    }

    /// The address of a worker is known to be another's, or the worker to have ended.
    pub fn handle_worker_gone(&mut self, id: &WorkerId, why: &str, now: Moment) {
        self.note("worker is gone", id.clone(), why.to_owned());
        self.clear_runs_on(id, now);
        self.forget_worker(id);
    }

    /// Ends the leases that are over: what ran on silent workers does not run any more.
    pub(crate) fn expire_leases(&mut self, now: Moment) {
        let is_over = |worker: &crate::worker::Worker| {
            now >= worker.lease_over_at
                && !worker.is_in_contact(self.settings.contact_max, now)
                && !worker.runs.is_empty()
        };
        let over = self.workers.iter().filter(|(_, worker)| is_over(worker));
        let over: Vec<WorkerId> = over.map(|(id, _)| id.clone()).collect();
        for id in over {
            self.note("lease of a silent worker is over", id.clone(), String::new());
            self.clear_runs_on(&id, now);
        }
        let is_left = |worker: &crate::worker::Worker| {
            !worker.is_registered
                && worker.runs.is_empty()
                && now >= worker.lease_over_at
                && !worker.is_in_contact(self.settings.contact_max, now)
        };
        let left = self.workers.iter().filter(|(_, worker)| is_left(worker));
        let left: Vec<WorkerId> = left.map(|(id, _)| id.clone()).collect();
        for id in left {
            self.forget_worker(&id);
        }
    }

    /// Notes that a worker answers; false if the answer is of an earlier life.
    fn take_contact(&mut self, id: &WorkerId, report: &WorkerReport, now: Moment) -> bool {
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        if worker.registration.incarnation_started_ms != 0
            && report.incarnation_started_ms > worker.registration.incarnation_started_ms
        {
            let entry = WorkerRegistration {
                incarnation_started_ms: report.incarnation_started_ms,
                ..worker.registration.clone()
            };
            self.worker_reborn(id, entry, now);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        if report.incarnation_started_ms != 0
            && report.incarnation_started_ms < worker.registration.incarnation_started_ms
        {
            return false;
        }
        if worker.registration.incarnation_started_ms == 0 {
            worker.registration.incarnation_started_ms = report.incarnation_started_ms;
        }
        if !worker.is_in_contact(self.settings.contact_max, now) {
            self.needs_placing = true;
        }
        worker.contact = Contact::Heard(now);
        worker.heard_since.get_or_insert(now);
        worker.misses = 0;
        worker.read_clock(report.clock_ms, now);
        true
    }

    fn take_ends(&mut self, id: &WorkerId, completions: &[Completion], now: Moment) {
        for end in completions {
            let Some(worker) = self.workers.get_mut(id) else {
                return;
            };
            if end.number <= worker.last_seen_completion {
                continue;
            }
            worker.last_seen_completion = end.number;
            self.take_end(id, end, now);
        }
    }

    fn take_end(&mut self, id: &WorkerId, end: &Completion, now: Moment) {
        let key = &end.unit;
        let Some(unit) = self.unit_mut(key) else {
            return;
        };
        unit.last_run = unit.last_run.max(end.run);
        let is_current =
            unit.run.as_ref().is_some_and(|run| run.worker == *id && run.number <= end.run);
        if !end.checkpoint.is_empty() && unit.done == Done::No {
            unit.checkpoint = end.checkpoint.clone();
        }
        let is_first = end.outcome == RunOutcome::Done && unit.done == Done::No;
        // A new owner hears of several failures of a unit in any order.
        let is_new_failure =
            end.outcome == RunOutcome::Failed && !unit.failed_runs.contains(&end.run);
        if is_current {
            self.clear_run(key, now);
        }
        if end.outcome != RunOutcome::Done {
            let why = format!("ending={:?} run={} worker={id}", end.outcome, end.run);
            self.note("run ended", key, why);
        }
        self.learn(id, key, end.outcome, now);
        if is_first {
            self.unit_done(key, now);
        }
        if is_new_failure {
            self.unit_failed(id, key, end.run, now);
        }
        if is_first || is_new_failure || !end.checkpoint.is_empty() {
            self.touch(&key.job);
            if let Some(worker) = self.workers.get_mut(id) {
                let (number, unit, run) = (end.number, key.clone(), end.run);
                worker.pending_completions.push(PendingCompletion { number, unit, run });
            }
        }
        self.drop_finished(&key.job, now);
    }

    fn unit_done(&mut self, key: &UnitKey, now: Moment) {
        let Some(step) = self.jobs.get(&key.job).and_then(|job| job.record.steps.get(key.step))
        else {
            return;
        };
        let (is_gang, is_long_running) = (step.is_gang, step.is_long_running);
        if is_long_running {
            return;
        }
        for peer in self.peers_of(key, is_gang) {
            let Some(unit) = self.unit_mut(&peer) else {
                continue;
            };
            unit.done = Done::Ended;
            // A run that is elsewhere, after a lapse, has nothing left to do.
            self.order_stop(&peer, now);
        }
        self.conclude(&key.job, now);
    }

    /// Ends a job of which all units are done.
    pub(crate) fn conclude(&mut self, id: &JobId, now: Moment) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let all_begun = job.next_occurrence >= job.record.occurrences();
        if job.final_state.is_none() && all_begun && job.occurrences.iter().all(has_ended) {
            job.final_state = Some(FinalState::Completed);
            self.touch(id);
        }
        self.drop_finished(id, now);
    }

    fn unit_failed(&mut self, id: &WorkerId, key: &UnitKey, number: u32, now: Moment) {
        let is_long_running = self.is_long_running(key);
        let Some(unit) = self.unit_mut(key) else {
            return;
        };
        if !is_long_running {
            unit.failed_runs.push(number);
        }
        if !unit.avoid.contains(id) {
            unit.avoid.push(id.clone());
        }
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let step = &job.record.steps[key.step];
        if step.is_long_running {
            return;
        }
        let failures: u32 = self
            .peers_of(key, step.is_gang)
            .iter()
            .filter_map(|peer| self.unit(peer))
            .map(|unit| unit.failed_runs.len() as u32)
            .sum();
        let attempts_max = self.attempts_max(&job.record.queue);
        if failures < attempts_max || job.final_state.is_some() {
            return;
        }
        self.note("job failed", key, format!("failures={failures} attempts_max={attempts_max}"));
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.final_state = Some(FinalState::Failed);
        }
        for run in self.runs_of(&key.job) {
            self.order_stop(&run, now);
        }
    }

    /// Units that end together with `key`: all of a gang, else itself.
    fn peers_of(&self, key: &UnitKey, is_gang: bool) -> Vec<UnitKey> {
        let count = self.jobs.get(&key.job).map_or(0, |job| job.record.steps[key.step].count);
        match is_gang {
            true => (0..count as usize).map(|index| UnitKey { index, ..key.clone() }).collect(),
            false => vec![key.clone()],
        }
    }

    /// Failed runs of a unit after which its job has failed.
    pub(crate) fn attempts_max(&self, queue: &str) -> u32 {
        self.config.queues.get(queue).map_or(DEFAULT_ATTEMPTS, |queue| queue.attempts_max.max(1))
    }

    /// Takes in a listed run; false if it is a stray: known to this owner as no run there.
    fn take_running(&mut self, id: &WorkerId, running: &RunStatus, now: Moment) -> bool {
        let key = &running.unit;
        let Some(unit) = self.unit(key) else {
            self.send_stop(id, key, running.run);
            return false;
        };
        let is_wanted = unit.done == Done::No
            && self.jobs.get(&key.job).is_some_and(|job| !job.is_final_state_stored);
        match &unit.run {
            Some(run) if run.worker == *id => self.see_run(key, running, now),
            // An owner gives a higher number only once the run before is over for sure.
            Some(run) if run.phase == Phase::InDoubt && run.number < running.run => {
                self.clear_run(key, now);
                self.adopt(id, running, now);
            }
            // The unit runs elsewhere, so this run is left from before.
            Some(_) => {
                self.send_stop(id, key, running.run);
                return false;
            }
            None => self.adopt(id, running, now),
        }
        if !is_wanted {
            self.order_stop(key, now);
        }
        true
    }

    fn see_run(&mut self, key: &UnitKey, running: &RunStatus, now: Moment) {
        let is_long_running = self.is_long_running(key);
        let Some(unit) = self.unit_mut(key) else {
            return;
        };
        unit.last_run = unit.last_run.max(running.run);
        if is_long_running && running.progress_percent < WHOLE_PERCENT {
            unit.away_at = now;
        }
        let Some(run) = unit.run.as_mut() else {
            return;
        };
        run.number = running.run;
        run.phase = Phase::Listed;
        if running.progress_percent != run.progress_percent {
            run.progress_percent = running.progress_percent;
            run.progressed_at = now;
        }
        run.load = running.load;
        self.note_begun(&key.job);
    }

    /// Takes in a run that an owner before has started, or that was started late.
    fn adopt(&mut self, id: &WorkerId, running: &RunStatus, now: Moment) {
        let key = &running.unit;
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let Some(step) = job.record.steps.get(key.step) else {
            return;
        };
        let mut run = Run::new(running.run, id.clone(), Phase::Listed, step, now);
        run.progress_percent = running.progress_percent;
        run.load = running.load;
        self.add_run(key, run, now);
    }

    /// Clears the runs that the worker neither lists nor can have yet.
    fn take_absent(&mut self, id: &WorkerId, report: &WorkerReport, sent_at: Moment, now: Moment) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let mut absent = Vec::new();
        for key in &worker.runs {
            let Some(run) = self.unit(key).and_then(|unit| unit.run.as_ref()) else {
                continue;
            };
            if report.running.iter().any(|running| running.unit == *key) {
                continue;
            }
            let is_stopped =
                run.stop.and_then(|stop| stop.answered_at).is_some_and(|at| at <= sent_at);
            let is_late = run.deadline_ms != 0 && worker.is_past(run.deadline_ms, sent_at);
            let is_gone = match run.phase {
                Phase::Planned | Phase::Ordered => false,
                Phase::Confirmed(at) => at <= sent_at,
                Phase::Listed => run.since <= sent_at,
                Phase::InDoubt => is_stopped || is_late || run.deadline_ms == 0,
            };
            if is_gone || is_stopped {
                absent.push(key.clone());
            }
        }
        for key in absent {
            self.clear_run(&key, now);
            self.drop_finished(&key.job, now);
        }
    }

    pub(crate) fn is_long_running(&self, key: &UnitKey) -> bool {
        let step = self.jobs.get(&key.job).and_then(|job| job.record.steps.get(key.step));
        step.is_some_and(|step| step.is_long_running)
    }
}

/// Failed runs after which a job has failed, if its queue is not configured any more.
const DEFAULT_ATTEMPTS: u32 = 3;
