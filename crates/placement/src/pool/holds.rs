//! Holds workers for jobs that fit on no worker, and preempts tasks for urgent jobs.

use std::time::Duration;
use std::time::Instant;

use model::TeamRef;

use super::Hold;
use super::Placement;
use super::Pool;
use super::choose::QueuePosition;
use super::pressure::Escalation;
use crate::index::WorkerIndex;
use crate::job::Class;
use crate::size::Size;

/// Maximum number of held workers.
const HOLDS_MAX: usize = 16;
/// Number of held workers at or above which no worker is held for a normal job.
const HOLDS_NORMAL_MAX: usize = 2;
/// Time after which a hold expires.
const HOLD_DURATION_MAX: Duration = Duration::from_secs(60);
/// Time until the next search after no suitable worker was found.
const HOLD_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of workers that one search examines.
const WORKERS_EXAMINED_MAX: usize = 64;
/// Number of stops at or above which a job is not preempted, and further stops count as attempts.
pub(super) const PREEMPTIONS_MAX: u32 = 3;

impl Pool {
    /// Places a job whose held worker has enough free capacity now.
    pub(super) fn place_held(
        &mut self,
        now: Instant,
        may_run: &impl Fn(&TeamRef) -> bool,
    ) -> Option<Placement> {
        if self.holds.is_empty() {
            return None;
        }
        self.drop_expired_holds(now);
        for index in 0..self.holds.len() {
            let hold = &self.holds[index];
            let Some((team, class, position)) = self.backlog.find(&hold.team, &hold.job) else {
                continue;
            };
            let pending = &self.backlog.teams()[team].class_queue(class)[position];
            let size = self.expected_size(&pending.job.kind, &pending.job.declared);
            let worker = hold.worker;
            let fits = size.fits_in(&self.workers[worker].free());
            if !fits || !may_run(&hold.team) || !self.may_run_on(worker, pending, now) {
                continue;
            }
            self.holds.remove(index);
            let pending = self.backlog.remove(team, class, position)?;
            return Some(self.place(pending, worker, size, now));
        }
        None
    }

    /// Holds a worker for a job that fits on no worker: for an urgent job at once, for a normal job
    /// after [`PoolSettings::hold_after`](super::PoolSettings::hold_after).
    pub(super) fn request_hold(
        &mut self,
        (team, class, position): QueuePosition,
        size: &Size,
        now: Instant,
    ) {
        let pending = &self.backlog.teams()[team].class_queue(class)[position];
        let wait_time = now.saturating_duration_since(pending.waiting_since);
        let holds_max = match class {
            Class::Urgent => HOLDS_MAX,
            Class::Normal if wait_time < self.settings.hold_after => return,
            Class::Normal => HOLDS_NORMAL_MAX,
        };
        if self.holds.len() >= holds_max || self.holds.iter().any(|h| h.job == pending.job.id) {
            return;
        }
        let (job, team) = (pending.job.id.clone(), pending.job.team.clone());
        if self.no_hold_until.is_some_and(|until| now < until) {
            return;
        }
        let Some((worker, tasks_to_end)) = self.find_worker_to_hold(class, size, now) else {
            self.no_hold_until = Some(now + HOLD_RETRY_INTERVAL);
            return;
        };
        if class == Class::Urgent {
            for task in tasks_to_end {
                self.tasks[task].escalation = Some(Escalation::for_preemption(now));
                self.actions.push(super::Action::Checkpoint {
                    job: self.tasks[task].pending.job.id.clone(),
                });
            }
        }
        self.holds.push(Hold { job, team, worker, until: now + HOLD_DURATION_MAX });
        self.reindex(worker);
    }

    /// Returns the worker on which the fewest tasks must end before `size` fits, with those tasks.
    fn find_worker_to_hold(
        &mut self,
        class: Class,
        size: &Size,
        now: Instant,
    ) -> Option<(WorkerIndex, Vec<usize>)> {
        let count = self.workers.len();
        let mut best: Option<(WorkerIndex, Vec<usize>)> = None;
        for step in 0..count.min(WORKERS_EXAMINED_MAX) {
            let index = (self.next_examined + step) % count;
            let worker = &self.workers[index];
            let is_held = self.holds.iter().any(|hold| hold.worker == index);
            if !worker.spec.is_schedulable || is_held || !size.fits_in(&worker.spec.capacity) {
                continue;
            }
            let Some(tasks_to_end) = self.tasks_to_end(index, class, size, now) else {
                continue;
            };
            if best.as_ref().is_none_or(|(_, fewest)| tasks_to_end.len() < fewest.len()) {
                best = Some((index, tasks_to_end));
            }
        }
        self.next_examined = (self.next_examined + WORKERS_EXAMINED_MAX) % count.max(1);
        best
    }

    /// Returns the tasks of a worker that must end before `size` fits, latest started first; `None`
    /// if it can't fit or the worker isn't fully trusted.
    fn tasks_to_end(
        &self,
        index: WorkerIndex,
        class: Class,
        size: &Size,
        now: Instant,
    ) -> Option<Vec<usize>> {
        let worker = &self.workers[index];
        if self.trust(&worker.spec.id, now) != crate::failure_history::Trust::Full {
            return None;
        }
        let mut tasks: Vec<usize> =
            worker.tasks.iter().filter_map(|job| self.find_task(job)).collect();
        // A hold for a normal job preempts nothing: it waits until tasks end.
        if class == Class::Urgent {
            tasks.retain(|&task| self.may_preempt(task));
        }
        tasks.sort_unstable_by_key(|&task| std::cmp::Reverse(self.tasks[task].started_at));
        let mut free = worker.free();
        let mut tasks_to_end = Vec::new();
        for task in tasks {
            if size.fits_in(&free) {
                break;
            }
            free = free.plus(&self.tasks[task].reserved);
            tasks_to_end.push(task);
        }
        size.fits_in(&free).then_some(tasks_to_end)
    }

    /// Returns true if a task may be preempted for an urgent job.
    fn may_preempt(&self, task: usize) -> bool {
        let task = &self.tasks[task];
        task.pending.job.class == Class::Normal
            && task.escalation.is_none()
            && task.pending.preemptions < PREEMPTIONS_MAX
    }

    /// Removes the holds that have expired or whose job is no longer waiting.
    fn drop_expired_holds(&mut self, now: Instant) {
        let backlog = &self.backlog;
        let (kept, dropped): (Vec<Hold>, Vec<Hold>) = std::mem::take(&mut self.holds)
            .into_iter()
            .partition(|h| now < h.until && backlog.find(&h.team, &h.job).is_some());
        self.holds = kept;
        for hold in dropped {
            self.reindex(hold.worker);
        }
    }
}
