//! Which job is next, and on which worker it goes.

use std::time::Instant;

use model::TeamRef;

use super::Placement;
use super::Pool;
use crate::evidence::Trust;
use crate::index::WorkerIndex;
use crate::job::Class;
use crate::job::PendingJob;
use crate::size::Size;
use crate::spread::GroupView;

/// Waiting jobs of a team that are tried before the next team's turn.
const LOOK_AHEAD: usize = 32;
/// Workers of a zone that are compared.
const CANDIDATES: usize = 6;
/// Jobs that one decision searches a worker for; the next decision goes on with others.
const SEARCHES_MAX: usize = 64;

/// Place of a waiting job: team, class and position in its lane.
pub(super) type Place = (usize, Class, usize);

/// Lower is better, field by field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Score {
    accelerators_wasted: u32,
    tasks_in_zone: u32,
    tasks_in_rack: u32,
    memory_left_mib: u64,
    processors_left_milli: u32,
}

impl Pool {
    /// Places the next job of a team for which `may_run` holds; `None` if nothing fits.
    ///
    /// Urgent jobs go first within their portion; then the team that has least of the pool for its
    /// weight. A job that fits nowhere is passed over, and gets a worker held for it in time.
    pub fn place_next(
        &mut self,
        now: Instant,
        may_run: impl Fn(&TeamRef) -> bool,
    ) -> Option<Placement> {
        if let Some(placed) = self.next_held(now, &may_run) {
            return Some(placed);
        }
        let teams = self.teams_by_need(&may_run);
        let portion = f64::from(self.settings.urgent_percent) / 100.0;
        if self.urgent_running.dominant_share(&self.whole) < portion
            && let Some(placed) = self.next_of(&teams, &[Class::Urgent], now)
        {
            return Some(placed);
        }
        self.next_of(&teams, &[Class::Urgent, Class::Normal], now)
    }

    /// Positions of the teams that may run more, neediest first.
    fn teams_by_need(&self, may_run: &impl Fn(&TeamRef) -> bool) -> Vec<usize> {
        let has_waiting = |team: &crate::backlog::TeamBacklog| {
            !team.lane(Class::Urgent).is_empty() || !team.lane(Class::Normal).is_empty()
        };
        let teams = self.backlog.teams().iter().enumerate();
        let mut needs: Vec<(f64, usize)> = teams
            .filter(|(_, team)| has_waiting(team) && may_run(&team.team))
            .map(|(index, team)| {
                (team.running.dominant_share(&self.whole) / f64::from(team.share_weight), index)
            })
            .collect();
        needs.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        needs.into_iter().map(|(_, index)| index).collect()
    }

    fn next_of(&mut self, teams: &[usize], classes: &[Class], now: Instant) -> Option<Placement> {
        let mut searches = 0;
        for &team in teams {
            for &class in classes {
                let waiting = self.backlog.teams()[team].lane(class).len().min(LOOK_AHEAD);
                for position in 0..waiting {
                    let place: Place = (team, class, position);
                    let pending = &self.backlog.teams()[team].lane(class)[position];
                    let size = self.size_of(&pending.job.kind, &pending.job.declared);
                    if pending.tried.is_some_and(|tried| !self.growth.may_fit(&size, tried)) {
                        self.want_hold(place, &size, now);
                        continue;
                    }
                    if let Some(worker) = self.choose_worker(pending, &size, now) {
                        let pending = self.backlog.take(team, class, position)?;
                        return Some(self.place(pending, worker, size, now));
                    }
                    self.backlog.set_tried(place, self.growth.generation());
                    self.want_hold(place, &size, now);
                    searches += 1;
                    if searches == SEARCHES_MAX {
                        return None;
                    }
                }
            }
        }
        None
    }

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

    /// Best worker for a job: first by accelerators left over, then by spread, then by fit.
    fn choose_worker(
        &self,
        pending: &PendingJob,
        size: &Size,
        now: Instant,
    ) -> Option<WorkerIndex> {
        let group = self.spread.group(&pending.job);
        let fits = |worker: WorkerIndex| {
            size.fits_in(&self.workers[worker].free()) && self.accepts(worker, pending, now)
        };
        let candidates = self.free.iter().flat_map(|zone| zone.search(size, CANDIDATES, fits));
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

    /// True if a worker that is large enough may get the job.
    pub(super) fn accepts(&self, index: WorkerIndex, pending: &PendingJob, now: Instant) -> bool {
        let worker = &self.workers[index];
        let avoided = pending.excluded_workers.binary_search(&worker.spec.id).is_ok();
        if avoided && pending.excluded_workers.len() < self.workers.len() {
            return false;
        }
        let is_trusted = match self.evidence.trust(&worker.spec.id, now) {
            Trust::Full => true,
            Trust::Suspect => worker.tasks.is_empty(),
            Trust::Probation => worker.tasks.is_empty() && pending.job.idempotent,
            Trust::Quarantined => false,
        };
        is_trusted && self.is_harmless_on(index, pending)
    }

    /// Keeps jobs apart that were on a lost worker together.
    fn is_harmless_on(&self, index: WorkerIndex, pending: &PendingJob) -> bool {
        let job = &pending.job.id;
        if !self.losses.is_suspect(job) {
            return true;
        }
        self.workers[index].tasks.iter().all(|other| !self.losses.are_apart(job, other))
    }
}
