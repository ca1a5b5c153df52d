//! One round of decisions.

use std::time::Duration;

use crate::Moment;
use crate::PoolName;
use crate::UnitKey;
use crate::WorkerId;
use crate::attempts::Attempts;
use crate::candidates::Candidates;
use crate::candidates::UnitHistory;
use crate::job::Step;
use crate::live_jobs::FinishState;
use crate::live_jobs::Job;
use crate::live_jobs::Occurrence;
use crate::live_jobs::Phase;
use crate::live_jobs::Run;
use crate::live_jobs::Unit;
use crate::lost_runs::Suspicion;
use crate::priority::SchedulingPriority;
use crate::priority::Urgency;
use crate::sorted_map::SortedMap;
use crate::state::Scheduler;

/// Minimum time between two reviews.
const REVIEW_PERIOD: Duration = Duration::from_millis(80);
/// Time after which waiting units are placed again even if nothing has changed, since the backoff
/// of a worker may have expired.
const PLACEMENT_RETRY_PERIOD: Duration = Duration::from_millis(250);

/// Result of placing the waiting units of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Placement {
    /// All units were placed.
    All,
    /// No worker has enough free capacity for the remaining units.
    NoCapacity,
    /// The remaining units wait for the team's quota, for advice, for a warm worker, for what a
    /// crash will show, or for room in the row of their job.
    Blocked,
}

/// A step with waiting units.
#[derive(Clone, Debug)]
pub(crate) struct WaitingStep {
    pub priority: SchedulingPriority,
    pub pool: PoolName,
    /// Unit 0 of the step, whether it waits or not.
    pub first_unit: UnitKey,
    /// Indices of the waiting units.
    pub units: Vec<usize>,
    /// One of them is strongly suspected to crash its worker.
    pub has_strong_suspect: bool,
}

/// The units that wait to be placed.
#[derive(Clone, Debug, Default)]
struct WaitingUnits {
    steps: Vec<WaitingStep>,
    /// Units that have no attempts left, so that their jobs fail: the configuration has changed, or
    /// has the queue again.
    exhausted: Vec<UnitKey>,
}

impl WaitingStep {
    /// Returns the waiting units.
    pub fn keys(&self) -> impl Iterator<Item = UnitKey> {
        self.units.iter().map(|&index| UnitKey { index, ..self.first_unit.clone() })
    }
}

impl Scheduler {
    /// Makes all decisions that are due, and adds the resulting actions to
    /// [`Scheduler::take_actions`].
    pub fn plan(&mut self, now: Moment) {
        self.review(now);
        if self.may_start_runs(now) {
            self.place_waiting_units(now);
            self.plan_evacuations(now);
        }
    }

    /// Makes all decisions except which units start: expires leases, creates occurrences, stops
    /// runs, plans hosts and sets speed limits.
    pub fn review(&mut self, now: Moment) {
        if now.saturating_sub(self.reviewed_at) < REVIEW_PERIOD {
            return;
        }
        self.reviewed_at = now;
        self.expire_leases(now);
        self.create_due_occurrences(now);
        self.stop_stalled_runs(now);
        self.relieve_shrunk_workers(now);
        self.resend_stops(now);
        self.review_evacuations(now);
        self.plan_hosts(now);
        self.limit_speeds(now);
    }

    fn create_due_occurrences(&mut self, now: Moment) {
        let has_more_occurrences = |job: &&Job| {
            job.final_state.is_none() && job.next_occurrence < job.record.occurrences()
        };
        let unfinished =
            self.jobs.values().filter(has_more_occurrences).map(|job| job.record.id.clone());
        for id in unfinished.collect::<Vec<_>>() {
            self.create_due_occurrences_of(&id, now);
        }
    }

    fn place_waiting_units(&mut self, now: Moment) {
        let is_due = now.saturating_sub(self.placed_at) >= PLACEMENT_RETRY_PERIOD;
        if !std::mem::take(&mut self.needs_placement) && !is_due {
            return;
        }
        self.placed_at = now;
        self.quota_needs = SortedMap::default();
        let WaitingUnits { steps: mut waiting, exhausted } = self.waiting_units(now);
        for key in exhausted {
            self.fail_job_without_attempts(&key, now);
            waiting.retain(|step| step.first_unit.job != key.job);
        }
        // Strong suspects come first, since they may have to reserve a worker.
        let order = |step: &WaitingStep| (!step.has_strong_suspect, step.priority);
        waiting.sort_by(|a, b| a.pool.cmp(&b.pool).then_with(|| order(a).cmp(&order(b))));
        for pool_steps in waiting.chunk_by(|a, b| a.pool == b.pool) {
            let pool = &pool_steps[0].pool;
            let mut candidates = self.candidates(pool, now);
            let (mut is_starved, mut is_long_running_starved) = (false, false);
            for step in pool_steps {
                let placement = self.place_step(step, &mut candidates, now);
                let has_no_capacity = placement == Placement::NoCapacity;
                is_starved |= has_no_capacity;
                is_long_running_starved |=
                    has_no_capacity && step.priority.urgency == Urgency::LongRunning;
            }
            update_since(&mut self.starved_since, pool, is_starved, now);
            update_since(&mut self.long_running_starved_since, pool, is_long_running_starved, now);
        }
        let is_waiting = |pool: &PoolName| waiting.iter().any(|step| step.pool == *pool);
        self.starved_since.retain(|pool, _| is_waiting(pool));
        self.long_running_starved_since.retain(|pool, _| is_waiting(pool));
    }

    fn waiting_units(&mut self, now: Moment) -> WaitingUnits {
        let mut waiting = WaitingUnits::default();
        let mut without_waiting_units = Vec::new();
        let may_wait = |job: &&Job| job.final_state.is_none() && job.may_have_waiting_units;
        for job in self.jobs.values().filter(may_wait) {
            let count_before = waiting.steps.len();
            let pool = self.pool_of(&job.record);
            for occurrence in &job.occurrences {
                self.collect_waiting_steps(job, occurrence, &pool, now, &mut waiting);
            }
            let has_waiting_units = || {
                let mut occurrences = job.occurrences.iter();
                occurrences.any(|occurrence| has_waiting_units(job, occurrence))
            };
            if waiting.steps.len() == count_before && !has_waiting_units() {
                without_waiting_units.push(job.record.id.clone());
            }
        }
        for id in without_waiting_units {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.may_have_waiting_units = false;
            }
        }
        waiting
    }

    fn collect_waiting_steps(
        &self,
        job: &Job,
        occurrence: &Occurrence,
        pool: &PoolName,
        now: Moment,
        waiting: &mut WaitingUnits,
    ) {
        let mut priority = None;
        for (index, step) in job.record.steps.iter().enumerate() {
            if !is_ready(step, occurrence) {
                continue;
            }
            let key_of = |unit| UnitKey {
                job: job.record.id.clone(),
                occurrence: occurrence.number,
                step: index,
                index: unit,
            };
            let waits = |index: usize, unit: &Unit| {
                unit.finish_state == FinishState::Unfinished
                    && unit.run.is_none()
                    && (unit.crashed_runs.is_empty()
                        || !self.awaits_crash_evidence(&key_of(index), unit, now))
            };
            let units = occurrence.steps[index].iter().enumerate();
            let units: Vec<usize> =
                units.filter(|(index, unit)| waits(*index, unit)).map(|(index, _)| index).collect();
            if units.is_empty() || (step.is_gang && units.len() < step.count as usize) {
                continue;
            }
            let has_failed = |unit: &usize| !occurrence.steps[index][*unit].failed_runs.is_empty();
            let units = match units.iter().any(has_failed) {
                true => self.with_attempts(step, units, key_of, waiting),
                false => units,
            };
            if units.is_empty() {
                continue;
            }
            let priority =
                *priority.get_or_insert_with(|| self.scheduling_priority(job, occurrence, now));
            let first_unit = key_of(0);
            let suspicion = |unit: &usize| occurrence.steps[index][*unit].suspicion(now);
            let has_strong_suspect = units.iter().any(|unit| suspicion(unit) == Suspicion::Strong);
            let pool = pool.clone();
            waiting.steps.push(WaitingStep {
                priority,
                pool,
                first_unit,
                units,
                has_strong_suspect,
            });
        }
    }

    /// Returns those of the waiting units of a step that have attempts left, and adds those that have
    /// none to `waiting`.
    fn with_attempts(
        &self,
        step: &Step,
        mut units: Vec<usize>,
        key_of: impl Fn(usize) -> UnitKey,
        waiting: &mut WaitingUnits,
    ) -> Vec<usize> {
        let of_gang = step.is_gang.then(|| self.attempts_of(&key_of(0)));
        let attempts_of = |unit| of_gang.unwrap_or_else(|| self.attempts_of(&key_of(unit)));
        units.retain(|&unit| match attempts_of(unit) {
            Attempts::Left => true,
            Attempts::Unknown => false,
            Attempts::Exhausted => {
                waiting.exhausted.push(key_of(unit));
                false
            }
        });
        units
    }

    fn place_step(
        &mut self,
        waiting: &WaitingStep,
        candidates: &mut Candidates,
        now: Moment,
    ) -> Placement {
        let Some(job) = self.jobs.get(&waiting.first_unit.job) else {
            return Placement::All;
        };
        let units = self.storable_units(job, waiting);
        let record = job.record.clone();
        let step = &record.steps[waiting.first_unit.step];
        let needs_advice = self.needs_advice(&record);
        if needs_advice && !self.request_advice(&waiting.first_unit, step, candidates, now) {
            return Placement::Blocked;
        }
        candidates.avoids_cold = candidates.has_cold
            && self.can_wait_for_warm_worker(&waiting.priority, &record, step, now);
        if step.is_gang {
            return match units.len() < waiting.units.len() {
                true => Placement::Blocked,
                false => self.place_gang(waiting, step, candidates, now),
            };
        }
        let mut placement = match units.len() < waiting.units.len() {
            true => Placement::Blocked,
            false => Placement::All,
        };
        for (placed, &index) in units.iter().enumerate() {
            let key = UnitKey { index, ..waiting.first_unit.clone() };
            let remaining = (waiting.units.len() - placed) as u64;
            if !self.is_within_quota(&record, step, 1, remaining) {
                return Placement::Blocked;
            }
            if candidates.is_known_unfit(step) {
                return Placement::NoCapacity;
            }
            if candidates.is_known_to_wait(step) {
                return Placement::Blocked;
            }
            let suspicion = self.history(&key, now).suspicion;
            let Some(chosen) = self.choose_for_unit(&key, step, candidates, now) else {
                if candidates.fits_on_reserved(&key, step) {
                    placement = Placement::Blocked;
                    continue;
                }
                if candidates.waits_for_warm(&key, step) {
                    if !needs_advice {
                        candidates.record_unfit_on_warm(step);
                    }
                    return Placement::Blocked;
                }
                if !needs_advice {
                    candidates.record_unfit(step);
                }
                // The other units of the step request the same resources.
                return Placement::NoCapacity;
            };
            let number = self.unit(&key).map_or(0, |unit| unit.last_run) + 1;
            candidates.place(chosen, &key, step, suspicion);
            let worker = candidates.workers()[chosen].id.clone();
            self.plan_run(&key, step, worker, number, now);
        }
        placement
    }

    fn place_gang(
        &mut self,
        waiting: &WaitingStep,
        step: &Step,
        candidates: &mut Candidates,
        now: Moment,
    ) -> Placement {
        let Some(record) = self.jobs.get(&waiting.first_unit.job).map(|job| job.record.clone())
        else {
            return Placement::All;
        };
        let count = u64::from(step.count);
        if !self.is_within_quota(&record, step, count, count) {
            return Placement::Blocked;
        }
        let racks = candidates.racks().into_iter().map(Some);
        let wanted: Vec<_> = match step.prefers_same_rack {
            true => racks.chain([None]).collect(),
            false => vec![None],
        };
        let placement = wanted.iter().find_map(|rack| {
            self.find_gang_workers(waiting, step, candidates.clone(), rack.as_deref(), now)
        });
        let Some((workers, remaining_candidates)) = placement else {
            return match candidates.waits_for_warm(&waiting.first_unit, step) {
                true => Placement::Blocked,
                false => Placement::NoCapacity,
            };
        };
        *candidates = remaining_candidates;
        let keys: Vec<UnitKey> = waiting.keys().collect();
        let last = keys.iter().filter_map(|key| self.unit(key)).map(|unit| unit.last_run).max();
        let number = last.unwrap_or(0) + 1;
        let checkpoint =
            keys.iter().filter_map(|key| self.unit(key)).find(|u| !u.checkpoint.is_empty());
        let checkpoint = checkpoint.map(|unit| unit.checkpoint.clone()).unwrap_or_default();
        for (key, worker) in keys.iter().zip(workers) {
            if let Some(unit) = self.unit_mut(key) {
                unit.checkpoint = checkpoint.clone();
            }
            self.plan_run(key, step, worker, number, now);
        }
        Placement::All
    }

    fn find_gang_workers(
        &self,
        waiting: &WaitingStep,
        step: &Step,
        mut candidates: Candidates,
        rack: Option<&str>,
        now: Moment,
    ) -> Option<(Vec<WorkerId>, Candidates)> {
        let mut workers = Vec::with_capacity(waiting.units.len());
        for key in waiting.keys() {
            // A gang starts as a whole, so its units cannot wait for each other to prove harmless.
            let suspicion = self.history(&key, now).suspicion.min(Suspicion::Weak);
            let history = UnitHistory { suspicion, ..self.history(&key, now) };
            let chosen = self.choose(&key, step, history, &candidates, rack, now)?;
            candidates.place(chosen, &key, step, suspicion);
            workers.push(candidates.workers()[chosen].id.clone());
        }
        Some((workers, candidates))
    }

    /// Plans a run. Its start command is sent once the worker's assignment row with the run is
    /// stored.
    fn plan_run(&mut self, key: &UnitKey, step: &Step, worker: WorkerId, number: u32, now: Moment) {
        let run = Run::new(number, worker.clone(), Phase::Planned, step, now);
        self.add_run(key, run, now);
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.has_unstored_run = true;
        }
    }
}

/// Records when a condition of a pool became true, and removes the record once it is false.
fn update_since(
    since: &mut SortedMap<PoolName, Moment>,
    pool: &PoolName,
    is_true: bool,
    now: Moment,
) {
    if is_true {
        since.entry_or(pool.clone(), || now);
    } else {
        since.remove(pool);
    }
}

/// Returns true if a unit of an occurrence could run and has no run.
fn has_waiting_units(job: &Job, occurrence: &Occurrence) -> bool {
    let waits = |unit: &Unit| unit.finish_state == FinishState::Unfinished && unit.run.is_none();
    let mut steps = job.record.steps.iter().zip(&occurrence.steps);
    steps.any(|(step, units)| is_ready(step, occurrence) && units.iter().any(waits))
}

/// Returns true if all steps that a step depends on have finished. This may not be stored yet: a
/// start command is sent only after it was stored, together with the run or before.
pub(crate) fn is_ready(step: &Step, occurrence: &Occurrence) -> bool {
    let has_finished = |step: &usize| {
        let units = occurrence.steps.get(*step);
        units.is_some_and(|units| {
            units.iter().all(|unit| unit.finish_state != FinishState::Unfinished)
        })
    };
    step.depends_on.iter().all(has_finished)
}
