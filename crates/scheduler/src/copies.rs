//! Copies of slow runs (speculative execution): a unit whose step allows it may run a second time
//! beside its run, and the first of both to finish counts.
//!
//! Handles the load that one unit in thirty takes seven times as long. [`crate::stragglers`] finds
//! the slow runs, and this module decides which of them get a copy. A copy whose job can meet its
//! deadline only with it takes part in placement at the priority of its job. Other copies come last
//! in their pool, so that they get only free capacity that no waiting unit fits.
//!
//! A copy is a [`Run`] that names the run beside which it was started. It is stored, started,
//! stopped and counted like any other run.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;
use crate::PoolName;
use crate::WorkerId;
use crate::candidates::Candidates;
use crate::job::JobRecord;
use crate::job::Step;
use crate::job::UnitKey;
use crate::live_jobs::Job;
use crate::live_jobs::Occurrence;
use crate::live_jobs::Phase;
use crate::live_jobs::Run;
use crate::lost_runs::Suspicion;
use crate::plan::WaitingStep;
use crate::portions::portion_of;
use crate::priority::SchedulingPriority;
use crate::priority::critical_path_of;
use crate::sorted_map::SortedMap;
use crate::state::Scheduler;
use crate::stragglers::Straggler;
use crate::stragglers::may_be_copied;

/// Percentage of the running cores of a pool, and of a team, that copies may take.
const BUDGET_PERCENT: u64 = 5;
/// Time after its decision until which a copy may start. By then the success of the other run may
/// have been stored; no copy starts more than a second after that.
const START_VALID: Duration = Duration::from_millis(800);
/// Time between two attempts to place copies in capacity that nothing else uses.
const IDLE_RETRY_PERIOD: Duration = Duration::from_millis(250);

/// When a copy is placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CopyPlacement {
    /// At the priority of its job, which misses its deadline without it.
    Urgent,
    /// After all waiting units of the pool.
    Idle,
}

/// A copy to place.
#[derive(Clone, Debug)]
pub(crate) struct WaitingCopy {
    unit: UnitKey,
    pool: PoolName,
    placement: CopyPlacement,
    /// Priority of its job.
    priority: SchedulingPriority,
}

/// Units with a copy.
#[derive(Clone, Debug, Default)]
pub(crate) struct Copies {
    /// Units that have a copy beside their run, sorted.
    units: Vec<UnitKey>,
    /// When copies were last added to the end of the placement order.
    idle_tried_at: Moment,
}

impl Copies {
    /// Records whether a unit has a copy.
    pub fn update(&mut self, key: &UnitKey, has_copy: bool) {
        match (self.units.binary_search(key), has_copy) {
            (Err(index), true) => self.units.insert(index, key.clone()),
            (Ok(index), false) => {
                self.units.remove(index);
            }
            _ => {}
        }
    }
}

impl Scheduler {
    /// Returns the copies to place in this round by pool, in order.
    pub(crate) fn copies_to_place(
        &mut self,
        now: Moment,
    ) -> SortedMap<PoolName, VecDeque<WaitingCopy>> {
        let mut by_pool: SortedMap<PoolName, VecDeque<WaitingCopy>> = SortedMap::default();
        let jobs = &self.jobs;
        self.stragglers.prune(|job| jobs.contains(job), now);
        if self.stragglers.units.is_empty() {
            return by_pool;
        }
        let is_idle_due = now.saturating_sub(self.copies.idle_tried_at) >= IDLE_RETRY_PERIOD;
        if is_idle_due {
            self.copies.idle_tried_at = now;
        }
        let stragglers = self.stragglers.units.iter();
        let copies =
            stragglers.filter_map(|(key, slow)| self.waiting_copy(key, slow, is_idle_due, now));
        let mut copies: Vec<WaitingCopy> = copies.collect();
        copies.sort_by_key(|copy| (copy.placement, copy.priority));
        for copy in copies {
            by_pool.entry_or(copy.pool.clone(), VecDeque::new).push_back(copy);
        }
        by_pool
    }

    /// Places the urgent copies whose jobs have a higher priority than the step that is placed
    /// next.
    pub(crate) fn place_copies_before(
        &mut self,
        next: &WaitingStep,
        copies: &mut VecDeque<WaitingCopy>,
        candidates: &mut Candidates,
        now: Moment,
    ) {
        let comes_before = |copy: &mut WaitingCopy| {
            copy.placement == CopyPlacement::Urgent && copy.priority < next.priority
        };
        while let Some(copy) = copies.pop_front_if(comes_before) {
            self.place_copy(&copy, candidates, now);
        }
    }

    /// Places the remaining copies of a pool, after all its waiting units. `held` are workers that
    /// are held for urgent units.
    pub(crate) fn place_copies(
        &mut self,
        copies: VecDeque<WaitingCopy>,
        held: &[WorkerId],
        candidates: &mut Candidates,
        now: Moment,
    ) {
        if copies.is_empty() {
            return;
        }
        candidates.close(held);
        for copy in copies {
            self.place_copy(&copy, candidates, now);
        }
    }

    /// Places the copies of pools without waiting units.
    pub(crate) fn place_other_copies(
        &mut self,
        copies: SortedMap<PoolName, VecDeque<WaitingCopy>>,
        held: &[WorkerId],
        now: Moment,
    ) {
        for (pool, copies) in copies.iter() {
            let mut candidates = self.candidates(pool, now);
            self.place_copies(copies.clone(), held, &mut candidates, now);
        }
    }

    /// Places a copy if a worker suits it.
    fn place_copy(&mut self, copy: &WaitingCopy, candidates: &mut Candidates, now: Moment) {
        let WaitingCopy { unit: key, pool, .. } = copy;
        let Some(record) = self.jobs.get(&key.job).map(|job| job.record.clone()) else {
            return;
        };
        let step = &record.steps[key.step];
        if !self.may_have_copy(key)
            || candidates.is_known_unfit(step, self.is_held_back(key, now))
            || !self.is_within_copy_budget(&record, step, pool)
            || !self.has_quota_for_copy(&record, step)
            || (self.needs_advice(&record.queue)
                && !self.request_advice(key, step, candidates, now))
        {
            return;
        }
        let avoids_cold = std::mem::replace(&mut candidates.avoids_cold, true);
        let chosen = self.choose_for_copy(key, step, candidates, now);
        candidates.avoids_cold = avoids_cold;
        let Some(chosen) = chosen else {
            return;
        };
        let worker = candidates.workers()[chosen].id.clone();
        candidates.place(chosen, key, step, Suspicion::None);
        self.plan_copy(key, step, worker, now);
    }

    /// Returns the index of the worker for a copy.
    fn choose_for_copy(
        &self,
        key: &UnitKey,
        step: &Step,
        candidates: &Candidates,
        now: Moment,
    ) -> Option<usize> {
        let unit = self.unit(key)?;
        let run = unit.run.as_ref().filter(|run| may_be_copied(unit, run))?;
        let may_run = self.worker_filter(key, now);
        let suits = |id: &WorkerId| may_run(id) && self.suits_copy(id, &run.worker, now);
        candidates.choose(key, step, self.history(key, now), None, suits)
    }

    /// Plans a copy beside the run of a unit.
    fn plan_copy(&mut self, key: &UnitKey, step: &Step, worker: WorkerId, now: Moment) {
        let Some(unit) = self.unit(key) else {
            return;
        };
        let Some(run) = unit.run.as_ref() else {
            return;
        };
        let number = unit.last_run + 1;
        let mut why = format!(
            "run={number} worker={worker} beside={} percent={} age_ms={}",
            run.number,
            run.progress_percent,
            now.saturating_sub(run.since).as_millis()
        );
        let mut copy = Run::new(number, worker.clone(), Phase::Planned, step, now);
        copy.beside = Some(run.number);
        self.add_run(key, copy, now);
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.has_unstored_run = true;
        }
        if let Some(straggler) = self.stragglers.units.remove(key) {
            let (remaining, fresh) = (straggler.remaining, straggler.fresh);
            let times = (remaining.as_millis(), fresh.as_millis());
            why += &format!(" remaining_ms={} fresh_ms={}", times.0, times.1);
        }
        self.counts.copies.started += 1;
        self.log_decision("copy started", key, why);
    }

    /// Returns the copy that a straggler is to get in this round, if any.
    fn waiting_copy(
        &self,
        key: &UnitKey,
        straggler: &Straggler,
        is_idle_due: bool,
        now: Moment,
    ) -> Option<WaitingCopy> {
        let job = self.jobs.get(&key.job).filter(|job| job.final_state.is_none())?;
        let occurrence = job.occurrences.iter().find(|o| o.number == key.occurrence)?;
        let unit = occurrence.steps.get(key.step)?.get(key.index)?;
        let is_known = now.saturating_sub(straggler.reported_at) <= self.settings.contact_max;
        // The run may have failed already without a report of it, so that one failure more must not
        // use up the attempts.
        let attempts_left = self.attempts_max(&job.record.queue) as usize;
        let may_fail_twice = unit.failed_runs.len() + 1 < attempts_left;
        let run = unit.run.as_ref()?;
        if !is_known || !may_fail_twice || !may_be_copied(unit, run) {
            return None;
        }
        let is_urgent = self.needs_copy_for_deadline(job, occurrence, key.step, straggler, now);
        if !is_urgent && !is_idle_due {
            return None;
        }
        Some(WaitingCopy {
            unit: key.clone(),
            pool: self.pool_of(job),
            placement: if is_urgent { CopyPlacement::Urgent } else { CopyPlacement::Idle },
            priority: self.scheduling_priority(job, occurrence, now),
        })
    }

    /// Returns true if a job misses its deadline through a straggler, and meets it if a fresh run
    /// starts now.
    fn needs_copy_for_deadline(
        &self,
        job: &Job,
        occurrence: &Occurrence,
        step: usize,
        straggler: &Straggler,
        now: Moment,
    ) -> bool {
        let Some(queue) = self.config.queues.get(&job.record.queue) else {
            return false;
        };
        let has_deadline = queue.stretch > 0.0 || !queue.deadline_slack.is_zero();
        let expected = self.durations.expected_by_step(&job.record);
        let deadline = occurrence.due_at
            + critical_path_of(&job.record, |step| expected[step]).mul_f64(queue.stretch)
            + queue.deadline_slack;
        let after = now + time_after_step(&job.record, step, &expected);
        has_deadline
            && after + straggler.remaining > deadline
            && after + straggler.fresh <= deadline
    }

    /// Returns true if one copy more is within the budgets of the pool and of the team.
    fn is_within_copy_budget(&self, record: &JobRecord, step: &Step, pool: &PoolName) -> bool {
        let in_pool = self.workers.values().filter(|worker| worker.registration.pool == *pool);
        let running = in_pool.map(|worker| worker.reserved.cpu_millis).sum();
        let wanted = copy_cpu_millis(step);
        let pool_copies = self.copied_cpu_millis(|job| self.pool_of(job) == *pool);
        if !is_within_budget(pool_copies + wanted, running) {
            return false;
        }
        let Some(team) = &record.team else {
            return true;
        };
        let team_copies = self.copied_cpu_millis(|job| job.record.team.as_ref() == Some(team));
        is_within_budget(team_copies + wanted, self.team_usage(team).cpu_millis)
    }

    /// Returns the processors that copies of some jobs take.
    fn copied_cpu_millis(&self, is_counted: impl Fn(&Job) -> bool) -> u64 {
        let cpu_millis = |key: &UnitKey| {
            let job = self.jobs.get(&key.job).filter(|job| is_counted(job))?;
            job.record.steps.get(key.step).map(copy_cpu_millis)
        };
        self.copies.units.iter().filter_map(cpu_millis).sum()
    }

    /// Returns true if a copy fits into this shard's portion of the team's quota. A larger portion
    /// is never requested for a copy.
    fn has_quota_for_copy(&self, record: &JobRecord, step: &Step) -> bool {
        let Some(team) = &record.team else {
            return true;
        };
        let quota = self.config.teams.get(team).map(|team| team.quota).unwrap_or_default();
        let needed = portion_of(&self.team_usage(team).plus(&step.requested), &quota);
        needed <= self.quota_portion(team)
    }

    /// Returns true if a worker suits a copy of a run on another worker: it has normal speed, is on
    /// another rack, as far as both are known, and nothing has failed there recently.
    fn suits_copy(&self, id: &WorkerId, other: &WorkerId, now: Moment) -> bool {
        let rack = |id: &WorkerId| self.workers.get(id).and_then(|worker| worker.rack.as_ref());
        let is_same_rack = rack(id).is_some() && rack(id) == rack(other);
        id != other
            && !is_same_rack
            && self.slow_workers.speeds.is_normal(id)
            && !self.failure_history.has_recent_failure(id, now)
    }
}

/// Returns how much longer the start command of a copy that is to be sent now may take effect;
/// `None` if it is too late for it.
pub(crate) fn start_validity_left(copy: &Run, now: Moment) -> Option<Duration> {
    let left = START_VALID.checked_sub(now.saturating_sub(copy.since))?;
    (!left.is_zero()).then_some(left)
}

fn is_within_budget(copies_cpu_millis: u64, running_cpu_millis: u64) -> bool {
    copies_cpu_millis * 100 <= running_cpu_millis * BUDGET_PERCENT
}

/// Returns what a copy counts against the budgets; one that requests no processors counts as
/// little.
fn copy_cpu_millis(step: &Step) -> u64 {
    step.requested.cpu_millis.max(1)
}

/// Returns the length of the longest path through the steps that wait for a step. `expected` has
/// the expected duration of a unit of each step.
fn time_after_step(record: &JobRecord, step: usize, expected: &[Duration]) -> Duration {
    // Time from the end of `step` to the end of each step; `None` if that one does not wait for it.
    let mut ends: Vec<Option<Duration>> = vec![None; record.steps.len()];
    ends[step] = Some(Duration::ZERO);
    for (index, later) in record.steps.iter().enumerate().skip(step + 1) {
        let start =
            later.depends_on.iter().filter_map(|&step| ends.get(step).copied().flatten()).max();
        ends[index] = start.map(|start| start + expected[index]);
    }
    ends.into_iter().flatten().max().unwrap_or_default()
}
