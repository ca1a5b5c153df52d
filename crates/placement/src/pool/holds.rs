//! Workers held for jobs that fit nowhere, and tasks displaced for urgent jobs.

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

/// Workers held at once.
const HOLDS_MAX: usize = 16;
/// Workers of these that are held for other than urgent jobs.
const HOLDS_NORMAL_MAX: usize = 2;
/// Time that a worker is held at most.
const HOLD_DURATION_MAX: Duration = Duration::from_secs(60);
/// Time without another search after none was found to hold.
const HOLD_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Workers that are looked at for an urgent job.
const WORKERS_EXAMINED_MAX: usize = 64;
/// Times that a job is displaced at most.
pub(super) const PREEMPTIONS_MAX: u32 = 3;

impl Pool {
    /// Places a job whose held worker has room by now.
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

    /// Holds a worker for a job that fits nowhere: at once if it is urgent, else after a while.
    pub(super) fn request_hold(
        &mut self,
        (team, class, position): QueuePosition,
        size: &Size,
        now: Instant,
    ) {
        let pending = &self.backlog.teams()[team].class_queue(class)[position];
        let waited = now.saturating_duration_since(pending.waiting_since);
        let holds_max = match class {
            Class::Urgent => HOLDS_MAX,
            Class::Normal if waited < self.settings.hold_after => return,
            Class::Normal => HOLDS_NORMAL_MAX,
        };
        if self.holds.len() >= holds_max || self.holds.iter().any(|h| h.job == pending.job.id) {
            return;
        }
        let (job, team) = (pending.job.id.clone(), pending.job.team.clone());
        if self.no_hold_until.is_some_and(|until| now < until) {
            return;
        }
        let Some((worker, preempted)) = self.worker_with_fewest_preemptions(class, size, now)
        else {
            self.no_hold_until = Some(now + HOLD_RETRY_INTERVAL);
            return;
        };
        if class == Class::Urgent {
            for task in preempted {
                self.tasks[task].escalation = Some(Escalation::for_preemption(now));
                self.actions.push(super::Action::Checkpoint {
                    job: self.tasks[task].pending.job.id.clone(),
                });
            }
        }
        self.holds.push(Hold { job, team, worker, until: now + HOLD_DURATION_MAX });
        self.reindex(worker);
    }

    /// Worker that needs the fewest tasks displaced to make room, with those tasks.
    fn worker_with_fewest_preemptions(
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
            let Some(preempted) = self.preemptions_for(index, class, size, now) else {
                continue;
            };
            if best.as_ref().is_none_or(|(_, fewest)| preempted.len() < fewest.len()) {
                best = Some((index, preempted));
            }
        }
        self.next_examined = (self.next_examined + WORKERS_EXAMINED_MAX) % count.max(1);
        best
    }

    /// Tasks of a worker that make room for `size`, latest started first.
    fn preemptions_for(
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
        // A hold for a normal job waits for tasks to end by themselves.
        if class == Class::Urgent {
            tasks.retain(|&task| self.may_preempt(task));
        }
        tasks.sort_unstable_by_key(|&task| std::cmp::Reverse(self.tasks[task].started_at));
        let mut free = worker.free();
        let mut preempted = Vec::new();
        for task in tasks {
            if size.fits_in(&free) {
                break;
            }
            free = free.plus(&self.tasks[task].reserved);
            preempted.push(task);
        }
        size.fits_in(&free).then_some(preempted)
    }

    fn may_preempt(&self, task: usize) -> bool {
        let task = &self.tasks[task];
        task.pending.job.class == Class::Normal
            && task.escalation.is_none()
            && task.pending.preemptions < PREEMPTIONS_MAX
    }

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
