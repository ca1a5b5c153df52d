//! One round of decisions.

use std::time::Duration;

use crate::Moment;
use crate::PoolName;
use crate::UnitKey;
use crate::WorkerId;
use crate::choose::Candidates;
use crate::job::JobRecord;
use crate::job::Step;
use crate::live::Done;
use crate::live::Job;
use crate::live::Occurrence;
use crate::live::Phase;
use crate::live::Run;
use crate::live::Unit;
use crate::order::Rank;
use crate::order::Urgency;
use crate::sorted::SortedMap;
use crate::state::Scheduler;

/// Time between two reviews.
const REVIEW_PERIOD: Duration = Duration::from_millis(80);
/// Time after which units are placed again though nothing has changed: pauses of workers end.
const PLACE_AGAIN: Duration = Duration::from_millis(250);

/// What became of the units of a step that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Placed {
    /// All were placed.
    All,
    /// No worker has room for the rest.
    NoRoom,
    /// The rest waits for the bound of its team, or for advice.
    Held,
}

/// A step with units that wait.
#[derive(Clone, Debug)]
struct Waiting {
    rank: Rank,
    pool: PoolName,
    first: UnitKey,
    units: Vec<usize>,
}

impl Scheduler {
    /// Decides what to do now; the actions are fetched with [`Scheduler::take_actions`].
    pub fn plan(&mut self, now: Moment) {
        self.review(now);
        self.place(now);
    }

    /// Decides all but which units start: what ends, stops, moves and is due.
    pub fn review(&mut self, now: Moment) {
        if now.saturating_sub(self.reviewed_at) < REVIEW_PERIOD {
            return;
        }
        self.reviewed_at = now;
        self.expire_leases(now);
        self.begin_due(now);
        self.review_runs(now);
        self.repeat_stops(now);
        self.plan_hosts(now);
        self.pace_runs(now);
    }

    /// Pool in which the units of a job run.
    pub(crate) fn pool_of(&self, job: &Job) -> PoolName {
        let queue = self.config.queues.get(&job.record.queue);
        queue.map_or_else(|| job.record.pool.clone(), |queue| queue.pool.clone())
    }

    fn begin_due(&mut self, now: Moment) {
        let is_open = |job: &&Job| {
            job.final_state.is_none() && job.next_occurrence < job.record.occurrences()
        };
        let open = self.jobs.values().filter(is_open).map(|job| job.record.id.clone());
        for id in open.collect::<Vec<_>>() {
            self.begin_due_occurrences(&id, now);
        }
    }

    fn place(&mut self, now: Moment) {
        let is_due = now.saturating_sub(self.placed_at) >= PLACE_AGAIN;
        if !std::mem::take(&mut self.needs_placing) && !is_due {
            return;
        }
        self.placed_at = now;
        let mut waiting = self.waiting_steps(now);
        waiting.sort_by(|a, b| a.pool.cmp(&b.pool).then(a.rank.cmp(&b.rank)));
        for of_pool in waiting.chunk_by(|a, b| a.pool == b.pool) {
            let pool = &of_pool[0].pool;
            let mut candidates = self.candidates(pool, now);
            let (mut is_starved, mut is_lasting_starved) = (false, false);
            for step in of_pool {
                let has_no_room = self.place_step(step, &mut candidates, now) == Placed::NoRoom;
                is_starved |= has_no_room;
                is_lasting_starved |= has_no_room && step.rank.urgency == Urgency::Lasting;
            }
            note_since(&mut self.starved_since, pool, is_starved, now);
            note_since(&mut self.lasting_starved_since, pool, is_lasting_starved, now);
        }
        let is_waiting = |pool: &PoolName| waiting.iter().any(|step| step.pool == *pool);
        self.starved_since.retain(|pool, _| is_waiting(pool));
        self.lasting_starved_since.retain(|pool, _| is_waiting(pool));
    }

    fn waiting_steps(&self, now: Moment) -> Vec<Waiting> {
        let mut waiting = Vec::new();
        for job in self.jobs.values().filter(|job| job.final_state.is_none()) {
            let pool = self.pool_of(job);
            for occurrence in &job.occurrences {
                self.waiting_of(job, occurrence, &pool, now, &mut waiting);
            }
        }
        waiting
    }

    fn waiting_of(
        &self,
        job: &Job,
        occurrence: &Occurrence,
        pool: &PoolName,
        now: Moment,
        waiting: &mut Vec<Waiting>,
    ) {
        let mut rank = None;
        for (index, step) in job.record.steps.iter().enumerate() {
            if !is_ready(step, occurrence) {
                continue;
            }
            let units = occurrence.steps[index].iter().enumerate();
            let waits = |unit: &Unit| unit.done == Done::No && unit.run.is_none();
            let units: Vec<usize> =
                units.filter(|(_, unit)| waits(unit)).map(|(index, _)| index).collect();
            if units.is_empty() || (step.is_gang && units.len() < step.count as usize) {
                continue;
            }
            let rank = *rank.get_or_insert_with(|| self.rank(job, occurrence, now));
            let first = UnitKey {
                job: job.record.id.clone(),
                occurrence: occurrence.number,
                step: index,
                index: 0,
            };
            waiting.push(Waiting { rank, pool: pool.clone(), first, units });
        }
    }

    fn place_step(
        &mut self,
        waiting: &Waiting,
        candidates: &mut Candidates,
        now: Moment,
    ) -> Placed {
        let Some(job) = self.jobs.get(&waiting.first.job) else {
            return Placed::All;
        };
        let record = job.record.clone();
        let step = &record.steps[waiting.first.step];
        if self.needs_advice(&record.queue)
            && !self.ask_advice(&waiting.first, step, candidates, now)
        {
            return Placed::Held;
        }
        if step.is_gang {
            return self.place_gang(waiting, step, candidates, now);
        }
        for &index in &waiting.units {
            let key = UnitKey { index, ..waiting.first.clone() };
            if !self.is_within_bound(&record, step, 1) {
                return Placed::Held;
            }
            let Some(chosen) = self.choose(&key, step, candidates, None, now) else {
                // The other units of the step need as much.
                return Placed::NoRoom;
            };
            let number = self.unit(&key).map_or(0, |unit| unit.last_run) + 1;
            candidates.place(chosen, &key, step);
            let worker = candidates.workers()[chosen].id.clone();
            self.plan_run(&key, step, worker, number, now);
        }
        Placed::All
    }

    fn place_gang(
        &mut self,
        waiting: &Waiting,
        step: &Step,
        candidates: &mut Candidates,
        now: Moment,
    ) -> Placed {
        let Some(record) = self.jobs.get(&waiting.first.job).map(|job| job.record.clone()) else {
            return Placed::All;
        };
        if !self.is_within_bound(&record, step, u64::from(step.count)) {
            return Placed::Held;
        }
        let racks = candidates.racks().into_iter().map(Some);
        let wanted: Vec<_> = match step.prefers_same_rack {
            true => racks.chain([None]).collect(),
            false => vec![None],
        };
        let placed = wanted.iter().find_map(|rack| {
            self.gang_places(waiting, step, candidates.clone(), rack.as_deref(), now)
        });
        let Some((places, after)) = placed else {
            return Placed::NoRoom;
        };
        *candidates = after;
        let units = waiting.units.iter();
        let keys: Vec<UnitKey> =
            units.map(|&index| UnitKey { index, ..waiting.first.clone() }).collect();
        let last = keys.iter().filter_map(|key| self.unit(key)).map(|unit| unit.last_run).max();
        let number = last.unwrap_or(0) + 1;
        let checkpoint =
            keys.iter().filter_map(|key| self.unit(key)).find(|u| !u.checkpoint.is_empty());
        let checkpoint = checkpoint.map(|unit| unit.checkpoint.clone()).unwrap_or_default();
        for (key, worker) in keys.iter().zip(places) {
            if let Some(unit) = self.unit_mut(key) {
                unit.checkpoint = checkpoint.clone();
            }
            self.plan_run(key, step, worker, number, now);
        }
        Placed::All
    }

    fn gang_places(
        &self,
        waiting: &Waiting,
        step: &Step,
        mut candidates: Candidates,
        rack: Option<&str>,
        now: Moment,
    ) -> Option<(Vec<WorkerId>, Candidates)> {
        let mut places = Vec::with_capacity(waiting.units.len());
        for &index in &waiting.units {
            let key = UnitKey { index, ..waiting.first.clone() };
            let chosen = self.choose(&key, step, &candidates, rack, now)?;
            candidates.place(chosen, &key, step);
            places.push(candidates.workers()[chosen].id.clone());
        }
        Some((places, candidates))
    }

    fn choose(
        &self,
        key: &UnitKey,
        step: &Step,
        candidates: &Candidates,
        rack: Option<&str>,
        now: Moment,
    ) -> Option<usize> {
        let needs_advice =
            self.jobs.get(&key.job).is_some_and(|job| self.needs_advice(&job.record.queue));
        let may_run =
            |worker: &WorkerId| !needs_advice || self.tickets.ticket(key, worker, now).is_some();
        let avoid = self.unit(key).map_or(&[][..], |unit| &unit.avoid);
        candidates.choose(key, step, avoid, rack, may_run)
    }

    /// True if `count` more units of a step keep the team of a job within its bound.
    fn is_within_bound(&self, record: &JobRecord, step: &Step, count: u64) -> bool {
        let Some(team) = &record.team else {
            return true;
        };
        let Some(quota) = self.config.teams.get(team).map(|team| team.quota) else {
            return true;
        };
        let mut wanted = self.team_use(team);
        for _ in 0..count {
            wanted += step.requested;
        }
        wanted.is_within(&quota)
    }

    /// Plans a run: the order to start is sent once it is stored that the worker may run it.
    fn plan_run(&mut self, key: &UnitKey, step: &Step, worker: WorkerId, number: u32, now: Moment) {
        let run = Run::new(number, worker.clone(), Phase::Planned, step, now);
        self.add_run(key, run, now);
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.lacks_run = true;
        }
    }
}

/// Notes since when something is so of a pool.
fn note_since(since: &mut SortedMap<PoolName, Moment>, pool: &PoolName, is_so: bool, now: Moment) {
    if is_so {
        since.entry_or(pool.clone(), || now);
    } else {
        since.remove(pool);
    }
}

/// True if all steps that a step depends on are done. That may not be stored yet: an order to start goes
/// out only once it is, with the run or before.
pub(crate) fn is_ready(step: &Step, occurrence: &Occurrence) -> bool {
    let is_done = |step: &usize| {
        let units = occurrence.steps.get(*step);
        units.is_some_and(|units| units.iter().all(|unit| unit.done != Done::No))
    };
    step.depends_on.iter().all(is_done)
}
