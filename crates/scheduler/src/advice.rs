//! Tickets of the advisor, which says which workers may run a step of some queues.

use std::sync::Arc;
use std::time::Duration;

use crate::JobId;
use crate::Moment;
use crate::WorkerId;
use crate::choose::Candidates;
use crate::job::Step;
use crate::job::UnitKey;
use crate::report::Action;
use crate::sorted::SortedMap;
use crate::state::Scheduler;

/// Workers that one call asks about at most.
const ASKED_MAX: usize = 12;
/// Time after which an unanswered call is repeated.
const ASK_AGAIN: Duration = Duration::from_millis(600);
/// Part of a ticket's life after which it is not used any more, in percent.
const TICKET_USED_PERCENT: u32 = 80;

/// A step of an occurrence of a job.
pub(crate) type StepKey = (JobId, u32, usize);

#[derive(Clone, Debug, Default)]
struct StepTickets {
    /// Ticket of each worker that may run the step, and until when it is used.
    tickets: SortedMap<WorkerId, (Arc<str>, Moment)>,
    /// Workers that may not run it.
    barred: Vec<WorkerId>,
    asked_at: Option<Moment>,
}

/// Tickets by step.
#[derive(Clone, Debug, Default)]
pub struct Tickets {
    steps: SortedMap<StepKey, StepTickets>,
}

impl Tickets {
    /// Ticket with which a worker runs a unit.
    pub fn ticket(&self, key: &UnitKey, worker: &str, now: Moment) -> Option<Arc<str>> {
        let (ticket, until) = self.steps.get(&step_key(key))?.tickets.get(worker)?;
        (now < *until).then(|| ticket.clone())
    }

    /// Forgets a ticket that was refused.
    pub fn forget(&mut self, key: &UnitKey, worker: &str) {
        if let Some(step) = self.steps.get_mut(&step_key(key)) {
            step.tickets.remove(worker);
        }
    }
}

impl Scheduler {
    /// True if the jobs of a queue need advice.
    pub(crate) fn needs_advice(&self, queue: &str) -> bool {
        self.config.queues.get(queue).is_some_and(|queue| queue.advice.is_some())
    }

    /// Asks for advice on a step unless there is enough; true if a worker with a ticket has room.
    pub(crate) fn ask_advice(
        &mut self,
        key: &UnitKey,
        step: &Step,
        candidates: &Candidates,
        now: Moment,
    ) -> bool {
        let known = self.tickets.steps.entry_or(step_key(key), StepTickets::default);
        let takes = |worker: &&crate::choose::Candidate| worker.takes(key, step);
        let has_ticket =
            |id: &WorkerId| known.tickets.get(id).is_some_and(|(_, until)| now < *until);
        let fitting: Vec<&crate::choose::Candidate> =
            candidates.workers().iter().filter(takes).collect();
        if fitting.iter().any(|worker| has_ticket(&worker.id)) {
            return true;
        }
        let is_asked = known.asked_at.is_some_and(|at| now.saturating_sub(at) < ASK_AGAIN);
        if is_asked {
            return false;
        }
        let open = fitting.iter().filter(|worker| !known.barred.contains(&worker.id));
        let workers: Vec<WorkerId> = open.map(|worker| worker.id.clone()).take(ASKED_MAX).collect();
        if workers.is_empty() {
            return false;
        }
        known.asked_at = Some(now);
        self.actions.push(Action::RequestAdvice { unit: key.clone(), workers });
        false
    }

    /// Takes in advice: the workers that may run the step with their tickets.
    pub fn handle_advice(
        &mut self,
        key: &UnitKey,
        asked: &[WorkerId],
        good: &[(WorkerId, Arc<str>)],
        asked_at: Moment,
    ) {
        let valid = self
            .jobs
            .get(&key.job)
            .and_then(|job| self.config.queues.get(&job.record.queue)?.advice)
            .map_or(Duration::ZERO, |advice| advice.ticket_validity);
        let until = asked_at + valid * TICKET_USED_PERCENT / 100;
        let step = self.tickets.steps.entry_or(step_key(key), StepTickets::default);
        step.asked_at = None;
        for worker in asked {
            let found = good.iter().find(|(other, _)| other == worker);
            match found {
                Some((_, ticket)) => {
                    step.tickets.insert(worker.clone(), (ticket.clone(), until));
                }
                None if !step.barred.contains(worker) => step.barred.push(worker.clone()),
                None => {}
            }
        }
        self.needs_placing = true;
    }

    /// A call for advice was not answered; it is repeated later.
    pub fn handle_advice_failure(&mut self) {
        self.needs_placing = true;
    }

    /// Forgets the tickets of jobs that are not live.
    pub(crate) fn drop_tickets(&mut self) {
        let jobs = &self.jobs;
        self.tickets.steps.retain(|(job, _, _), _| jobs.contains(job));
    }
}

fn step_key(key: &UnitKey) -> StepKey {
    (key.job.clone(), key.occurrence, key.step)
}
