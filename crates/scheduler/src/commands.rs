//! Commands to workers and the replies to them.

use crate::FencingToken;
use crate::Moment;
use crate::WorkerId;
use crate::job::UnitKey;
use crate::live_jobs::Phase;
use crate::live_jobs::StopCommand;
use crate::live_jobs::Unit;
use crate::messages::Action;
use crate::messages::StartReply;
use crate::run_end::RunEnd;
use crate::state::Scheduler;

/// Time for which a worker gets no new runs after it refused a command.
const REFUSED_BACKOFF: Moment = Moment::from_millis(800);
/// Time for which a worker gets no new runs after it did not reply to a command or to several
/// polls.
pub(crate) const NO_REPLY_BACKOFF: Moment = Moment::from_millis(2_500);
/// Time after which a stop command without a reply is sent again.
const STOP_RETRY_PERIOD: Moment = Moment::from_millis(700);
/// Number of run numbers to skip after a worker refused one as too low.
const RUN_NUMBERS_SKIPPED: u32 = 8;

impl Scheduler {
    /// Handles the result of a start command with a fencing token.
    pub fn handle_start_reply(
        &mut self,
        worker: &WorkerId,
        key: &UnitKey,
        number: u32,
        token: FencingToken,
        reply: StartReply,
        now: Moment,
    ) {
        let is_current = |unit: &Unit| unit.run_on(worker).is_some_and(|run| run.number == number);
        if reply == StartReply::Fenced {
            self.handle_fenced(worker, token);
        }
        if !self.unit(key).is_some_and(is_current) {
            return;
        }
        match reply {
            StartReply::Started { clock_ms } => {
                self.count_cold_start(worker, now);
                self.confirm_start(worker, key, clock_ms, now);
            }
            StartReply::Unknown => self.mark_in_doubt(worker, key, false, now),
            StartReply::UnansweredByKnown => self.mark_in_doubt(worker, key, true, now),
            StartReply::OtherInstance if self.is_current_token(worker, token) => {
                self.handle_worker_gone(worker, token, "another instance answers", now)
            }
            _ => {
                if let Some(end) = RunEnd::not_started(reply) {
                    self.handle_not_started(worker, key, reply, end, now);
                }
            }
        }
    }

    /// Records that a unit of a job has started.
    pub(crate) fn mark_started(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.has_started = true;
        }
    }

    /// Handles the reply to a stop command with a fencing token, or its absence. A reply of an
    /// earlier incarnation doesn't show that the later one refuses the start.
    pub fn handle_stop_reply(
        &mut self,
        worker: &WorkerId,
        key: &UnitKey,
        number: u32,
        token: FencingToken,
        has_reply: bool,
        now: Moment,
    ) {
        if !self.is_current_token(worker, token) {
            return;
        }
        let Some(run) = self.run_on_mut(key, worker).filter(|run| run.number == number) else {
            return;
        };
        if let Some(stop) = run.stop.as_mut().filter(|_| has_reply) {
            stop.replied_at = Some(now);
        }
    }

    /// Commands all runs of a unit to stop.
    pub(crate) fn request_stop(&mut self, key: &UnitKey, now: Moment) {
        let run = self.unit(key).and_then(|unit| unit.run.as_ref());
        if let Some(worker) = run.map(|run| run.worker.clone()) {
            self.request_stop_on(&worker, key, now);
        }
    }

    /// Commands the run of a unit on a worker to stop, unless this was done a moment ago or the
    /// worker has already replied.
    pub(crate) fn request_stop_on(&mut self, worker: &str, key: &UnitKey, now: Moment) {
        let Some(run) = self.run_on_mut(key, worker) else {
            return;
        };
        // Otherwise the start command has not been sent yet, and now it will not be.
        if let Some(end) = RunEnd::not_sent(run) {
            self.remove_run(key, worker, end, now);
            return;
        }
        let is_due = match &run.stop {
            None => true,
            Some(StopCommand { replied_at: Some(_), .. }) => false,
            Some(stop) => now.saturating_sub(stop.sent_at) >= STOP_RETRY_PERIOD,
        };
        if !is_due {
            return;
        }
        run.stop = Some(StopCommand { sent_at: now, replied_at: None });
        let (worker, number) = (run.worker.clone(), run.number);
        self.send_stop(&worker, key, number);
    }

    /// Sends again the stop commands that got no reply.
    pub(crate) fn resend_stops(&mut self, now: Moment) {
        let mut due = Vec::new();
        for (id, worker) in self.workers.iter() {
            for key in &worker.runs {
                let stop = self.run_on(key, id).and_then(|run| run.stop);
                if stop.is_some_and(|stop| stop.replied_at.is_none()) {
                    due.push((id.clone(), key.clone()));
                }
            }
        }
        for (worker, key) in due {
            self.request_stop_on(&worker, &key, now);
        }
    }

    /// Records that a start was carried out, by the incarnation with this clock.
    fn confirm_start(&mut self, id: &WorkerId, key: &UnitKey, clock_ms: u64, now: Moment) {
        let sent_at = self.run_on(key, id).map(|run| run.since);
        let worker = self.workers.get(id);
        let own_clock = worker.zip(sent_at).and_then(|(worker, at)| worker.own_clock(at));
        let is_own = own_clock.is_some_and(|own_clock| own_clock.is_shown_by(clock_ms, now));
        let Some(run) = self.run_on_mut(key, id) else {
            return;
        };
        if run.phase != Phase::Reported {
            run.phase = Phase::Confirmed(now);
            run.progressed_at = now;
            run.is_of_known_incarnation = is_own;
        }
        if !is_own {
            self.counts.starts_of_unknown_incarnations += 1;
            let why = format!("worker={id} clock_ms={clock_ms}");
            self.log_decision("start may be of another incarnation", key, why);
        }
        self.mark_started(&key.job);
    }

    fn mark_in_doubt(
        &mut self,
        worker: &WorkerId,
        key: &UnitKey,
        is_of_known_incarnation: bool,
        now: Moment,
    ) {
        let Some(run) = self.run_on_mut(key, worker) else {
            return;
        };
        if run.phase == Phase::Commanded {
            run.phase = Phase::InDoubt;
            run.is_of_known_incarnation = is_of_known_incarnation;
            // A long-running unit may be running by the time the stop command arrives, while the
            // disruption budget of its step is spent on other units. The next report shows whether
            // it runs, and after the deadline of the start command it cannot start any more.
            if !self.is_long_running(key) {
                self.request_stop_on(worker, key, now);
            }
        }
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.backoff_until = worker.backoff_until.max(now + NO_REPLY_BACKOFF);
        }
    }

    fn handle_not_started(
        &mut self,
        id: &WorkerId,
        key: &UnitKey,
        reply: StartReply,
        end: RunEnd,
        now: Moment,
    ) {
        self.remove_run(key, id, end, now);
        let Some(unit) = self.unit_mut(key) else {
            return;
        };
        match reply {
            StartReply::OldRun => unit.last_run += RUN_NUMBERS_SKIPPED,
            StartReply::BadTicket => self.tickets.remove(key, id),
            StartReply::Refused | StartReply::NotSent | StartReply::NoRoom => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.backoff_until = worker.backoff_until.max(now + REFUSED_BACKOFF);
                }
            }
            _ => {}
        }
        self.remove_finished(&key.job, now);
    }

    pub(crate) fn send_stop(&mut self, worker: &WorkerId, key: &UnitKey, run: u32) {
        let Some(known) = self.workers.get(worker) else {
            return;
        };
        let (worker, address, token) = (worker.clone(), known.registration.address, known.token);
        self.actions.push(Action::Stop { worker, address, token, unit: key.clone(), run });
    }
}
