//! Urgent units that find no free capacity stop units of other queues.
//!
//! The load: jobs of a queue with priority 0 come to a pool that is full of work that can wait. A
//! unit of such a queue that would miss its latest start stops runs of queues with a higher
//! priority number in its pool, those that lose the least work. Nothing is stopped if enough
//! capacity comes free in time anyway, which includes what is being stopped already. A stopped unit
//! goes back to waiting with its checkpoint and its place.
//!
//! Long-running units are never stopped: they lose no work that could be compared, and in a full
//! pool it is not certain that they start again in time.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;
use crate::PoolName;
use crate::WorkerId;
use crate::candidates::Candidates;
use crate::capacity_forecast::CapacityForecast;
use crate::job::JobRecord;
use crate::job::Step;
use crate::job::UnitKey;
use crate::plan::WaitingStep;
use crate::policies::Policy;
use crate::priority::Urgency;
use crate::sorted_map::SortedMap;
use crate::state::Scheduler;
use crate::team_use::Claimant;

/// Priority number of the queues whose units may stop others.
pub(crate) const URGENT_PRIORITY: u32 = 0;
/// Time over which preemptions are limited.
const LIMIT_WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of units of a pool that are preempted in [`LIMIT_WINDOW`].
const PER_POOL_MAX: usize = 10;
/// Maximum number of units of a team that are preempted in [`LIMIT_WINDOW`].
const PER_TEAM_MAX: usize = 4;
/// Longest time for which a worker is held for an urgent unit, in multiples of the longest time of
/// a stop: a poll reports the end later, and a lost stop is sent again.
const HOLD_STOP_TIMES: u32 = 2;
/// Minimum time between two checks of a pool, so that the forecast over its runs is not made in
/// each round.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Maximum number of waiting units in a check, which bounds its time.
pub(crate) const UNITS_PER_CHECK_MAX: usize = 64;

/// A preemption that counts against the limits.
#[derive(Clone, Debug)]
struct Preempted {
    at: Moment,
    pool: PoolName,
    team: Claimant,
}

/// Recent preemptions.
#[derive(Clone, Debug, Default)]
pub(crate) struct Preemptions {
    /// Those in the last [`LIMIT_WINDOW`], oldest first.
    recent: VecDeque<Preempted>,
    checked_at: SortedMap<PoolName, Moment>,
    holds: SortedMap<WorkerId, Hold>,
}

/// Units of a step that have found no capacity, in a pool and round.
struct UrgentUnits<'a> {
    pool: &'a PoolName,
    waiting: &'a WaitingStep,
    record: &'a JobRecord,
    step: &'a Step,
    candidates: &'a Candidates,
    now: Moment,
}

/// A run to stop for an urgent unit.
#[derive(Clone, Debug)]
struct PlannedStop {
    unit: UnitKey,
    urgent: UnitKey,
}

/// What lets some urgent units start together.
#[derive(Clone, Debug, Default)]
struct Plan {
    stops: Vec<PlannedStop>,
    /// Urgent units with their workers.
    holds: Vec<(UnitKey, WorkerId)>,
}

/// A worker that starts no other units until an urgent one has started there. What is freed for it
/// comes free bit by bit, and others would take each bit.
#[derive(Clone, Debug)]
struct Hold {
    urgent: UnitKey,
    until: Moment,
}

impl Preemptions {
    /// Forgets the preemptions that do not count any more.
    fn forget_old(&mut self, now: Moment) {
        while self.recent.front().is_some_and(|p| now.saturating_sub(p.at) >= LIMIT_WINDOW) {
            self.recent.pop_front();
        }
    }

    fn count_in_pool(&self, pool: &PoolName) -> usize {
        self.recent.iter().filter(|preempted| preempted.pool == *pool).count()
    }

    fn count_of_team(&self, team: &Claimant) -> usize {
        self.recent.iter().filter(|preempted| preempted.team == *team).count()
    }

    /// Returns true if a pool has not been checked for a while, and records that it is now.
    fn start_check(&mut self, pool: &PoolName, now: Moment) -> bool {
        let is_due = |at: &Moment| now.saturating_sub(*at) >= CHECK_PERIOD;
        if !self.checked_at.get(pool).is_none_or(is_due) {
            return false;
        }
        self.checked_at.insert(pool.clone(), now);
        true
    }
}

impl Scheduler {
    /// Returns true if a step whose units have found no capacity may stop runs of other queues.
    pub(crate) fn may_preempt(&self, waiting: &WaitingStep) -> bool {
        if !self.settings.policies.enables(Policy::Preemption)
            || waiting.priority.queue_priority != URGENT_PRIORITY
            || waiting.has_strong_suspect
        {
            return false;
        }
        // With an advisor, it would have to allow the worker first.
        let job = self.jobs.get(&waiting.first_unit.job);
        job.is_some_and(|job| !self.needs_advice(&job.record.queue))
    }

    /// Stops runs of other queues for steps that have found no capacity in a pool. The steps are in
    /// the order in which they were placed.
    pub(crate) fn preempt_for(
        &mut self,
        pool: &PoolName,
        starved: &[&WaitingStep],
        candidates: &Candidates,
        now: Moment,
    ) {
        self.preemptions.forget_old(now);
        if starved.is_empty()
            || self.preemptions.count_in_pool(pool) >= self.limit(PER_POOL_MAX)
            || !self.preemptions.start_check(pool, now)
        {
            return;
        }
        let mut forecast = self.capacity_forecast(candidates, now);
        let mut units_left = UNITS_PER_CHECK_MAX;
        for waiting in starved {
            let is_open = |key: &UnitKey| self.unit(key).is_some_and(|unit| unit.run.is_none());
            let keys: Vec<UnitKey> = waiting.keys().filter(is_open).take(units_left).collect();
            units_left -= keys.len();
            let Some(record) = self.jobs.get(&waiting.first_unit.job).map(|j| j.record.clone())
            else {
                continue;
            };
            let step = &record.steps[waiting.first_unit.step];
            let urgent = UrgentUnits { pool, waiting, record: &record, step, candidates, now };
            let is_done = match step.is_gang {
                true => self.preempt_for_gang(&urgent, &keys, &mut forecast),
                false => self.preempt_for_units(&urgent, &keys, &mut forecast),
            };
            if !is_done || units_left == 0 {
                return;
            }
        }
    }

    /// Stops runs for each of some units of a step. Returns false once a limit is reached.
    fn preempt_for_units(
        &mut self,
        urgent: &UrgentUnits,
        keys: &[UnitKey],
        forecast: &mut CapacityForecast,
    ) -> bool {
        for (number, key) in keys.iter().enumerate() {
            if !self.fits_quota(urgent.record, urgent.step, number as u64 + 1) {
                return true;
            }
            let until = self.latest_start(urgent.waiting, urgent.now);
            let unit = std::slice::from_ref(key);
            let Some(plan) = self.plan_stops(urgent, unit, forecast, until) else {
                // The other units of the step request the same resources.
                return true;
            };
            if !self.allows(urgent.pool, &plan.stops) {
                return false;
            }
            self.carry_out(urgent, plan);
        }
        true
    }

    /// Stops runs for all units of a gang, or none. Returns false if a limit is reached.
    fn preempt_for_gang(
        &mut self,
        urgent: &UrgentUnits,
        keys: &[UnitKey],
        forecast: &mut CapacityForecast,
    ) -> bool {
        let count = keys.len() as u64;
        let is_whole = keys.len() == urgent.waiting.units.len();
        if !is_whole || !self.fits_quota(urgent.record, urgent.step, count) {
            return true;
        }
        let UrgentUnits { waiting, step, candidates, now, .. } = *urgent;
        let latest_start = self.latest_start(waiting, now);
        let mut planned = forecast.clone();
        if keys.iter().all(|key| planned.promise(key, step, candidates, latest_start).is_some()) {
            *forecast = planned;
            return true;
        }
        // What is freed now must not wait for capacity that comes later: others would take it.
        let until = now + self.settings.stop_time;
        planned = forecast.clone();
        let Some(plan) = self.plan_stops(urgent, keys, &mut planned, until) else {
            return true;
        };
        if !self.allows(urgent.pool, &plan.stops) {
            return false;
        }
        *forecast = planned;
        self.carry_out(urgent, plan);
        true
    }

    /// Returns the stops that let all these units start; none if there are not enough runs that may
    /// be stopped. Units that find capacity until `until` need no stop.
    fn plan_stops(
        &self,
        urgent: &UrgentUnits,
        keys: &[UnitKey],
        forecast: &mut CapacityForecast,
        until: Moment,
    ) -> Option<Plan> {
        let UrgentUnits { step, candidates, .. } = *urgent;
        let mut plan = Plan::default();
        for key in keys {
            let worker = match forecast.promise(key, step, candidates, until) {
                Some(worker) => worker,
                None => {
                    let victims = forecast.victims(key, step, candidates)?;
                    let stopped = self.with_gangs(&victims.units);
                    let worker = forecast.promise_stopped(key, step, &victims, &stopped);
                    let planned = |unit| PlannedStop { unit, urgent: key.clone() };
                    plan.stops.extend(stopped.into_iter().map(planned));
                    worker
                }
            };
            plan.holds.push((key.clone(), candidates.workers()[worker].id.clone()));
        }
        Some(plan)
    }

    /// Returns units together with the other units of their gangs.
    fn with_gangs(&self, units: &[UnitKey]) -> Vec<UnitKey> {
        let is_gang = |key: &UnitKey| {
            let step = self.jobs.get(&key.job).and_then(|job| job.record.steps.get(key.step));
            step.is_some_and(|step| step.is_gang)
        };
        let members = units.iter().flat_map(|key| self.units_finishing_with(key, is_gang(key)));
        let mut members: Vec<UnitKey> = members.collect();
        members.sort();
        members.dedup();
        members
    }

    /// Returns true if the limits allow all these stops.
    fn allows(&self, pool: &PoolName, stops: &[PlannedStop]) -> bool {
        let teams: Vec<Claimant> = stops.iter().map(|stop| self.claimant(&stop.unit)).collect();
        let is_within = |team: &Claimant| {
            let planned = teams.iter().filter(|other| *other == team).count();
            self.preemptions.count_of_team(team) + planned <= self.limit(PER_TEAM_MAX)
        };
        self.preemptions.count_in_pool(pool) + stops.len() <= self.limit(PER_POOL_MAX)
            && teams.iter().all(is_within)
    }

    fn carry_out(&mut self, urgent: &UrgentUnits, plan: Plan) {
        if !plan.stops.is_empty() {
            let until = urgent.now + self.settings.stop_time * HOLD_STOP_TIMES;
            for (urgent, worker) in plan.holds {
                self.preemptions.holds.insert(worker, Hold { urgent, until });
            }
        }
        for PlannedStop { unit: key, urgent: urgent_unit } in plan.stops {
            let work_lost_core_ms = self.work_lost_core_ms(&key, urgent.now);
            let Some(unit) = self.unit_mut(&key) else {
                continue;
            };
            unit.was_preempted = true;
            let worker = unit.run.as_ref().map(|run| run.worker.to_string()).unwrap_or_default();
            let why =
                format!("for={urgent_unit} worker={worker} work_lost_core_ms={work_lost_core_ms}");
            self.log_decision("preempted", &key, why);
            let (at, pool, team) = (urgent.now, urgent.pool.clone(), self.claimant(&key));
            self.preemptions.recent.push_back(Preempted { at, pool, team });
            self.counts.preempted_runs += 1;
            self.counts.preempted_work_core_ms += work_lost_core_ms;
            self.request_stop(&key, urgent.now);
        }
    }

    /// Returns the workers that are held for urgent units, and forgets those that are not any more.
    pub(crate) fn held_workers(&mut self, now: Moment) -> Vec<WorkerId> {
        if self.preemptions.holds.is_empty() {
            return Vec::new();
        }
        let mut holds = std::mem::take(&mut self.preemptions.holds);
        holds.retain(|_, hold| {
            let job = self.jobs.get(&hold.urgent.job);
            let is_open = job.is_some_and(|job| job.final_state.is_none());
            let is_waiting = self.unit(&hold.urgent).is_some_and(|unit| unit.run.is_none());
            is_open && is_waiting && now < hold.until
        });
        self.preemptions.holds = holds;
        self.preemptions.holds.iter().map(|(worker, _)| worker.clone()).collect()
    }

    /// Returns until when a unit of a step has to find capacity without preemption. One that is
    /// late or long-running cannot wait longer than a stop takes.
    fn latest_start(&self, waiting: &WaitingStep, now: Moment) -> Moment {
        match waiting.priority.urgency {
            Urgency::InTime => Moment::from_millis(waiting.priority.tie_breaker),
            Urgency::Late | Urgency::LongRunning => now + self.settings.stop_time,
        }
    }

    /// Returns this shard's part of a limit.
    fn limit(&self, total: usize) -> usize {
        (total / self.shard_count.max(1)).max(1)
    }

    fn claimant(&self, key: &UnitKey) -> Claimant {
        self.jobs.get(&key.job).and_then(|job| job.record.team.clone())
    }

    /// Returns the teams of which no more units may be preempted now.
    pub(crate) fn teams_at_preemption_limit(&self) -> Vec<Claimant> {
        let recent = &self.preemptions.recent;
        let mut teams: Vec<Claimant> = recent.iter().map(|p| p.team.clone()).collect();
        teams.sort();
        teams.dedup();
        teams.retain(|team| self.preemptions.count_of_team(team) >= self.limit(PER_TEAM_MAX));
        teams
    }
}
