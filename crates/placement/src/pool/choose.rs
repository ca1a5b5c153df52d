//! Chooses the next job and its worker.

use std::time::Instant;

use model::TeamRef;

use super::Placement;
use super::Pool;
use crate::failure_history::Trust;
use crate::index::WorkerIndex;
use crate::job::Class;
use crate::job::PendingJob;
use crate::size::Size;
use crate::spread::GroupView;

/// Maximum number of waiting jobs of a team and class that one decision tries.
const JOBS_PER_TEAM_MAX: usize = 32;
/// Maximum number of workers of a zone that are compared for a job.
const CANDIDATES_PER_ZONE: usize = 6;
/// Maximum number of jobs for which one decision searches for a worker; the next one continues
/// with other jobs.
const SEARCHES_MAX: usize = 64;

/// Position of a waiting job: team, class, and index in the class queue.
pub(super) type QueuePosition = (usize, Class, usize);

/// Score of a worker for a job; lower is better, compared field by field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Score {
    /// Accelerators that remain free on the worker; its other capacity may not suffice to use them.
    accelerators_wasted: u32,
    tasks_in_zone: u32,
    tasks_in_rack: u32,
    memory_left_mib: u64,
    processors_left_milli: u32,
}

impl Pool {
    /// Places the next job among the teams for which `may_run` returns true; `None` if no job fits.
    ///
    /// Urgent jobs take precedence up to their percentage of the pool. Otherwise the team with the
    /// smallest dominant share of the pool relative to its weight is next. A job that fits on no
    /// worker is skipped; after some time a worker is held for it.
    pub fn place_next(
        &mut self,
        now: Instant,
        may_run: impl Fn(&TeamRef) -> bool,
    ) -> Option<Placement> {
        if let Some(placed) = self.place_held(now, &may_run) {
            return Some(placed);
        }
        let teams = self.teams_by_usage(&may_run);
        let urgent_fraction = f64::from(self.settings.urgent_percent) / 100.0;
        if self.urgent_running.dominant_share(&self.total_capacity) < urgent_fraction
            && let Some(placed) = self.place_next_of(&teams, &[Class::Urgent], now)
        {
            return Some(placed);
        }
        self.place_next_of(&teams, &[Class::Urgent, Class::Normal], now)
    }

    /// Returns the positions of the teams that have waiting jobs and may run more, ordered by their
    /// dominant share of the pool relative to their weight.
    fn teams_by_usage(&self, may_run: &impl Fn(&TeamRef) -> bool) -> Vec<usize> {
        let has_waiting = |team: &crate::backlog::TeamBacklog| {
            !team.class_queue(Class::Urgent).is_empty()
                || !team.class_queue(Class::Normal).is_empty()
        };
        let teams = self.backlog.teams().iter().enumerate();
        let mut usages: Vec<(f64, usize)> = teams
            .filter(|(_, team)| has_waiting(team) && may_run(&team.team))
            .map(|(index, team)| {
                (
                    team.running_size.dominant_share(&self.total_capacity)
                        / f64::from(team.share_weight),
                    index,
                )
            })
            .collect();
        usages.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        usages.into_iter().map(|(_, index)| index).collect()
    }

    /// Places the first job of the given teams and classes that fits on a worker.
    fn place_next_of(
        &mut self,
        teams: &[usize],
        classes: &[Class],
        now: Instant,
    ) -> Option<Placement> {
        let mut searches = 0;
        for &team in teams {
            for &class in classes {
                let waiting =
                    self.backlog.teams()[team].class_queue(class).len().min(JOBS_PER_TEAM_MAX);
                for position in 0..waiting {
                    let queue_position: QueuePosition = (team, class, position);
                    let pending = &self.backlog.teams()[team].class_queue(class)[position];
                    let size = self.expected_size(&pending.job.kind, &pending.job.declared);
                    if pending
                        .unplaceable_at
                        .is_some_and(|unplaceable_at| !self.growth.may_fit(&size, unplaceable_at))
                    {
                        self.request_hold(queue_position, &size, now);
                        continue;
                    }
                    if let Some(worker) = self.choose_worker(pending, &size, now) {
                        let pending = self.backlog.remove(team, class, position)?;
                        return Some(self.place(pending, worker, size, now));
                    }
                    self.backlog.set_unplaceable_at(queue_position, self.growth.generation());
                    self.request_hold(queue_position, &size, now);
                    searches += 1;
                    if searches == SEARCHES_MAX {
                        return None;
                    }
                }
            }
        }
        None
    }

    /// Starts the next attempt of a job on a worker.
    pub(super) fn place(
        &mut self,
        mut pending: PendingJob,
        worker: WorkerIndex,
        size: Size,
        now: Instant,
    ) -> Placement {
        pending.attempts += 1;
        pending.runs += 1;
        let placed = Placement {
            pending: pending.clone(),
            worker: self.workers[worker].spec.id.clone(),
            size,
        };
        self.start(pending, worker, size, now);
        placed
    }

    /// Returns the best worker for a job: the one with the fewest unused accelerators, then with
    /// the best spread over zones and racks, then with the tightest fit.
    fn choose_worker(
        &self,
        pending: &PendingJob,
        size: &Size,
        now: Instant,
    ) -> Option<WorkerIndex> {
        let group = self.spread.group(&pending.job);
        let fits = |worker: WorkerIndex| {
            size.fits_in(&self.workers[worker].free()) && self.may_run_on(worker, pending, now)
        };
        let candidates =
            self.free_index.iter().flat_map(|zone| zone.search(size, CANDIDATES_PER_ZONE, fits));
        candidates.min_by_key(|&worker| (self.score(worker, size, group), worker))
    }

    fn score(&self, worker: WorkerIndex, size: &Size, group: GroupView<'_>) -> Score {
        let worker = &self.workers[worker];
        let left = worker.free().minus(size);
        Score {
            accelerators_wasted: left.accelerators,
            tasks_in_zone: group.in_zone(worker.zone),
            tasks_in_rack: group.in_rack(worker.rack),
            memory_left_mib: left.memory_mib,
            processors_left_milli: left.processors_milli,
        }
    }

    /// Returns true if the job may run on the worker, apart from its size.
    ///
    /// An excluded worker is accepted if the job has excluded all workers.
    pub(super) fn may_run_on(
        &self,
        index: WorkerIndex,
        pending: &PendingJob,
        now: Instant,
    ) -> bool {
        let worker = &self.workers[index];
        let is_excluded = pending.excluded_workers.binary_search(&worker.spec.id).is_ok();
        if is_excluded && pending.excluded_workers.len() < self.workers.len() {
            return false;
        }
        let is_trusted = match self.failure_history.trust(&worker.spec.id, now) {
            Trust::Full => true,
            Trust::Suspect => worker.tasks.is_empty(),
            Trust::Probation => worker.tasks.is_empty() && pending.job.idempotent,
            Trust::Quarantined => false,
        };
        is_trusted && self.keeps_suspects_apart(index, pending)
    }

    /// Returns true if no job on the worker ran together with this job on a lost worker.
    fn keeps_suspects_apart(&self, index: WorkerIndex, pending: &PendingJob) -> bool {
        let job = &pending.job.id;
        if !self.losses.is_suspect(job) {
            return true;
        }
        self.workers[index].tasks.iter().all(|other| !self.losses.were_lost_together(job, other))
    }
}
