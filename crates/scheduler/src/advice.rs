//! Requests to the advisor, which decides which workers may run a step, and the tickets that it
//! issues.

use std::sync::Arc;
use std::time::Duration;

use crate::JobId;
use crate::Moment;
use crate::WorkerId;
use crate::candidates::Candidates;
use crate::job::Step;
use crate::job::UnitKey;
use crate::messages::Action;
use crate::sorted_map::SortedMap;
use crate::state::Scheduler;

/// Maximum number of workers in one request.
const WORKERS_PER_REQUEST_MAX: usize = 12;
/// Time after which a request without a reply is repeated.
const ADVICE_RETRY_PERIOD: Duration = Duration::from_millis(600);
/// Part of a ticket's validity during which it is used, in percent.
const TICKET_USED_PERCENT: u32 = 80;

/// Identifies a step of an occurrence of a job.
pub(crate) type StepKey = (JobId, u32, usize);

#[derive(Clone, Debug, Default)]
struct StepTickets {
    /// Ticket of each worker that may run the step, and the time until which it is used.
    tickets: SortedMap<WorkerId, (Arc<str>, Moment)>,
    /// Workers that may not run the step.
    rejected_workers: Vec<WorkerId>,
    requested_at: Option<Moment>,
}

/// Tickets by step.
#[derive(Clone, Debug, Default)]
pub struct Tickets {
    steps: SortedMap<StepKey, StepTickets>,
}

impl Tickets {
    /// Returns the ticket with which a worker may run a unit.
    pub fn ticket(&self, key: &UnitKey, worker: &str, now: Moment) -> Option<Arc<str>> {
        let (ticket, valid_until) = self.steps.get(&step_key(key))?.tickets.get(worker)?;
        (now < *valid_until).then(|| ticket.clone())
    }

    /// Removes a ticket that a worker refused.
    pub fn remove(&mut self, key: &UnitKey, worker: &str) {
        if let Some(step) = self.steps.get_mut(&step_key(key)) {
            step.tickets.remove(worker);
        }
    }
}

impl Scheduler {
    /// Requests advice on a step if no worker that has both capacity and a valid ticket is left.
    /// Returns true if there is such a worker.
    pub(crate) fn request_advice(
        &mut self,
        key: &UnitKey,
        step: &Step,
        candidates: &Candidates,
        now: Moment,
    ) -> bool {
        let known = self.tickets.steps.entry_or(step_key(key), StepTickets::default);
        let can_run = |worker: &&crate::candidates::Candidate| worker.can_run(key, step);
        let has_ticket = |id: &WorkerId| {
            known.tickets.get(id).is_some_and(|(_, valid_until)| now < *valid_until)
        };
        let fitting: Vec<&crate::candidates::Candidate> =
            candidates.workers().iter().filter(can_run).collect();
        if fitting.iter().any(|worker| has_ticket(&worker.id)) {
            return true;
        }
        let is_request_pending =
            known.requested_at.is_some_and(|at| now.saturating_sub(at) < ADVICE_RETRY_PERIOD);
        if is_request_pending {
            return false;
        }
        let eligible = fitting.iter().filter(|worker| !known.rejected_workers.contains(&worker.id));
        let workers: Vec<WorkerId> =
            eligible.map(|worker| worker.id.clone()).take(WORKERS_PER_REQUEST_MAX).collect();
        if workers.is_empty() {
            return false;
        }
        known.requested_at = Some(now);
        self.actions.push(Action::RequestAdvice { unit: key.clone(), workers });
        false
    }

    /// Handles advice: the workers that may run the step, with their tickets.
    pub fn handle_advice(
        &mut self,
        key: &UnitKey,
        requested: &[WorkerId],
        approved: &[(WorkerId, Arc<str>)],
        requested_at: Moment,
    ) {
        let validity = self
            .jobs
            .get(&key.job)
            .and_then(|job| self.queue_settings(&job.record)?.advice)
            .map_or(Duration::ZERO, |advice| advice.ticket_validity);
        let valid_until = requested_at + validity * TICKET_USED_PERCENT / 100;
        let step = self.tickets.steps.entry_or(step_key(key), StepTickets::default);
        step.requested_at = None;
        for worker in requested {
            let found = approved.iter().find(|(other, _)| other == worker);
            match found {
                Some((_, ticket)) => {
                    step.tickets.insert(worker.clone(), (ticket.clone(), valid_until));
                }
                None if !step.rejected_workers.contains(worker) => {
                    step.rejected_workers.push(worker.clone())
                }
                None => {}
            }
        }
        self.needs_placement = true;
    }

    /// Handles a request for advice that failed; it is repeated later.
    pub fn handle_advice_failure(&mut self) {
        self.needs_placement = true;
    }

    /// Removes the tickets of jobs that are not live any more.
    pub(crate) fn remove_stale_tickets(&mut self) {
        let jobs = &self.jobs;
        self.tickets.steps.retain(|(job, _, _), _| jobs.contains(job));
    }
}

pub(crate) fn step_key(key: &UnitKey) -> StepKey {
    (key.job.clone(), key.occurrence, key.step)
}
