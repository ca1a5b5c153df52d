//! Orders to workers, and what became of them.

use crate::Moment;
use crate::WorkerId;
use crate::job::UnitKey;
use crate::live::Phase;
use crate::live::Stop;
use crate::live::Unit;
use crate::report::Action;
use crate::report::StartReply;
use crate::state::Scheduler;

/// Time for which a worker that refused an order gets no new runs.
const REFUSED_PAUSE: Moment = Moment::from_millis(800);
/// Time for which a worker that did not answer an order gets no new runs.
pub(crate) const UNANSWERED_PAUSE: Moment = Moment::from_millis(2_500);
/// Time after which an unanswered stop is sent again.
const STOP_AGAIN: Moment = Moment::from_millis(700);
/// Numbers that are left out after a worker called the number of a run too low.
const RUNS_SKIPPED: u32 = 8;

impl Scheduler {
    /// Takes in what became of an order to start a run.
    pub fn handle_start_reply(
        &mut self,
        worker: &WorkerId,
        key: &UnitKey,
        number: u32,
        reply: StartReply,
        now: Moment,
    ) {
        let is_current = |unit: &Unit| {
            unit.run.as_ref().is_some_and(|run| run.number == number && run.worker == *worker)
        };
        if reply == StartReply::Fenced {
            self.is_fenced = true;
        }
        if !self.unit(key).is_some_and(is_current) {
            return;
        }
        match reply {
            StartReply::Started => self.confirm(key, now),
            StartReply::Unknown => self.doubt(worker, key, now),
            StartReply::OtherInstance => {
                self.handle_worker_gone(worker, "another instance answers", now)
            }
            _ => self.not_started(worker, key, reply, now),
        }
    }

    /// A unit of a job is known to have begun.
    pub(crate) fn note_begun(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.has_begun = true;
        }
    }

    /// Takes in whether a stop was answered.
    pub fn handle_stop_reply(
        &mut self,
        worker: &WorkerId,
        key: &UnitKey,
        number: u32,
        is_answered: bool,
        now: Moment,
    ) {
        let Some(run) = self.unit_mut(key).and_then(|unit| unit.run.as_mut()) else {
            return;
        };
        if run.number != number || run.worker != *worker {
            return;
        }
        if let Some(stop) = run.stop.as_mut().filter(|_| is_answered) {
            stop.answered_at = Some(now);
        }
    }

    /// Orders the run of a unit to stop, unless that was ordered a moment ago.
    pub(crate) fn order_stop(&mut self, key: &UnitKey, now: Moment) {
        let Some(run) = self.unit_mut(key).and_then(|unit| unit.run.as_mut()) else {
            return;
        };
        if run.phase == Phase::Planned {
            // The order to start was not sent, and is not any more.
            self.clear_run(key, now);
            return;
        }
        let is_due = match &run.stop {
            None => true,
            Some(Stop { answered_at: Some(_), .. }) => false,
            Some(stop) => now.saturating_sub(stop.sent_at) >= STOP_AGAIN,
        };
        if !is_due {
            return;
        }
        run.stop = Some(Stop { sent_at: now, answered_at: None });
        let (worker, number) = (run.worker.clone(), run.number);
        self.send_stop(&worker, key, number);
    }

    /// Sends again the stops that were not answered.
    pub(crate) fn repeat_stops(&mut self, now: Moment) {
        let mut due = Vec::new();
        for worker in self.workers.values() {
            for key in &worker.runs {
                let stop = self.unit(key).and_then(|unit| unit.run.as_ref()?.stop);
                if stop.is_some_and(|stop| stop.answered_at.is_none()) {
                    due.push(key.clone());
                }
            }
        }
        for key in due {
            self.order_stop(&key, now);
        }
    }

    fn confirm(&mut self, key: &UnitKey, now: Moment) {
        let Some(run) = self.unit_mut(key).and_then(|unit| unit.run.as_mut()) else {
            return;
        };
        if run.phase != Phase::Listed {
            run.phase = Phase::Confirmed(now);
            run.progressed_at = now;
        }
        self.note_begun(&key.job);
    }

    fn doubt(&mut self, worker: &WorkerId, key: &UnitKey, now: Moment) {
        let Some(run) = self.unit_mut(key).and_then(|unit| unit.run.as_mut()) else {
            return;
        };
        if run.phase == Phase::Ordered {
            run.phase = Phase::InDoubt;
            // A unit that lasts may be at work by the time the stop comes, and its step's budget spent on
            // others: the list tells whether it runs, or the order's deadline that it never will.
            if !self.is_long_running(key) {
                self.order_stop(key, now);
            }
        }
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.shunned_until = worker.shunned_until.max(now + UNANSWERED_PAUSE);
        }
    }

    fn not_started(&mut self, id: &WorkerId, key: &UnitKey, reply: StartReply, now: Moment) {
        self.clear_run(key, now);
        let Some(unit) = self.unit_mut(key) else {
            return;
        };
        match reply {
            StartReply::OldRun => unit.last_run += RUNS_SKIPPED,
            StartReply::BadTicket => self.tickets.forget(key, id),
            StartReply::Refused | StartReply::NotSent | StartReply::NoRoom => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.shunned_until = worker.shunned_until.max(now + REFUSED_PAUSE);
                }
            }
            _ => {}
        }
        self.drop_finished(&key.job, now);
    }

    pub(crate) fn send_stop(&mut self, worker: &WorkerId, key: &UnitKey, run: u32) {
        let Some(entry) = self.workers.get(worker).map(|worker| &worker.registration) else {
            return;
        };
        let (worker, address) = (worker.clone(), entry.address);
        self.actions.push(Action::Stop { worker, address, unit: key.clone(), run });
    }
}
