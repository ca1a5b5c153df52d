//! Workers held for jobs that fit nowhere, and tasks displaced for urgent jobs.

use std::time::Duration;
use std::time::Instant;

use model::TeamRef;

use super::Hold;
use super::Placement;
use super::Pool;
use super::choose::Place;
use super::pressure::Winding;
use crate::index::WorkerIndex;
use crate::job::Class;
use crate::size::Size;

/// Workers held at once.
const HOLDS_MAX: usize = 16;
/// Workers of these that are held for other than urgent jobs.
const HOLDS_NORMAL_MAX: usize = 2;
/// Time that a worker is held at most.
const HOLD_MAX: Duration = Duration::from_secs(60);
/// Time without another search after none was found to hold.
const HOLD_PAUSE: Duration = Duration::from_millis(100);
/// Workers that are looked at for an urgent job.
const LOOK_MAX: usize = 64;
/// Times that a job is displaced at most.
pub(super) const DISPLACED_MAX: u32 = 3;

impl Pool {
    /// Places a job whose held worker has room by now.
    pub(super) fn next_held(
        &mut self,
        now: Instant,
        may_run: &impl Fn(&TeamRef) -> bool,
    ) -> Option<Placement> {
        if self.holds.is_empty() {
            return None;
        }
        self.drop_holds(now);
        for index in 0..self.holds.len() {
            let hold = &self.holds[index];
            let Some((team, class, position)) = self.backlog.find(&hold.team, &hold.job) else {
                continue;
            };
            let pending = &self.backlog.teams()[team].lane(class)[position];
            let size = self.size_of(&pending.job.kind, &pending.job.declared);
            let worker = hold.worker;
            let fits = size.fits_in(&self.workers[worker].free());
            if !fits || !may_run(&hold.team) || !self.accepts(worker, pending, now) {
                continue;
            }
            self.holds.remove(index);
            let pending = self.backlog.take(team, class, position)?;
            return Some(self.place(pending, worker, size, now));
        }
        None
    }

    /// Holds a worker for a job that fits nowhere: at once if it is urgent, else after a while.
    pub(super) fn want_hold(&mut self, (team, class, position): Place, size: &Size, now: Instant) {
        let pending = &self.backlog.teams()[team].lane(class)[position];
        let waited = now.saturating_duration_since(pending.since);
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
        let Some((worker, displaced)) = self.cheapest_to_clear(class, size, now) else {
            self.no_hold_until = Some(now + HOLD_PAUSE);
            return;
        };
        if class == Class::Urgent {
            for task in displaced {
                self.tasks[task].winding = Some(Winding::displace(now));
                self.actions.push(super::Action::Checkpoint {
                    job: self.tasks[task].pending.job.id.clone(),
                });
            }
        }
        self.holds.push(Hold { job, team, worker, until: now + HOLD_MAX });
        self.reindex(worker);
    }

    /// Worker that needs the fewest tasks displaced to make room, with those tasks.
    fn cheapest_to_clear(
        &mut self,
        class: Class,
        size: &Size,
        now: Instant,
    ) -> Option<(WorkerIndex, Vec<usize>)> {
        let count = self.workers.len();
        let mut best: Option<(WorkerIndex, Vec<usize>)> = None;
        for step in 0..count.min(LOOK_MAX) {
            let index = (self.cursor + step) % count;
            let worker = &self.workers[index];
            let is_held = self.holds.iter().any(|hold| hold.worker == index);
            if !worker.spec.is_schedulable || is_held || !size.fits_in(&worker.spec.capacity) {
                continue;
            }
            let Some(displaced) = self.displaced_for(index, class, size, now) else {
                continue;
            };
            if best.as_ref().is_none_or(|(_, fewest)| displaced.len() < fewest.len()) {
                best = Some((index, displaced));
            }
        }
        self.cursor = (self.cursor + LOOK_MAX) % count.max(1);
        best
    }

    /// Tasks of a worker that make room for `size`, latest started first.
    fn displaced_for(
        &self,
        index: WorkerIndex,
        class: Class,
        size: &Size,
        now: Instant,
    ) -> Option<Vec<usize>> {
        let worker = &self.workers[index];
        if self.trust(&worker.spec.id, now) != crate::evidence::Trust::Full {
            return None;
        }
        let mut tasks: Vec<usize> =
            worker.tasks.iter().filter_map(|job| self.find_task(job)).collect();
        // A hold for a normal job waits for tasks to end by themselves.
        if class == Class::Urgent {
            tasks.retain(|&task| self.may_displace(task));
        }
        tasks.sort_unstable_by_key(|&task| std::cmp::Reverse(self.tasks[task].started_at));
        let mut free = worker.free();
        let mut displaced = Vec::new();
        for task in tasks {
            if size.fits_in(&free) {
                break;
            }
            free = free.plus(&self.tasks[task].reserved);
            displaced.push(task);
        }
        size.fits_in(&free).then_some(displaced)
    }

    fn may_displace(&self, task: usize) -> bool {
        let task = &self.tasks[task];
        task.pending.job.class == Class::Normal
            && task.winding.is_none()
            && task.pending.preemptions < DISPLACED_MAX
    }

    fn drop_holds(&mut self, now: Instant) {
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
