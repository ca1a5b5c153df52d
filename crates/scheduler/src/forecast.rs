//! Forecast of when a new job would start, from the work that waits in its pool.
//!
//! After a placement, [`Scheduler::record_backlogs`] records what still waits in each pool, as sums
//! along the order of placement, for all teams and for each team. Accepted jobs are added to the
//! record until the next one. A new job then needs a few binary searches, however many jobs wait.
//!
//! The work ahead of a job is what the order puts before it, and what its own team has late. The
//! job starts when the capacity that the pool has, or is about to get, has done that work, as far
//! as new jobs that go before it leave that capacity. If the order alone makes it late, it stands
//! behind all that is in time, and new jobs in time go before it as well. A team at its quota
//! delays nobody else, so what it has waiting counts for itself only, divided by its quota.

use std::time::Duration;

use crate::Moment;
use crate::PoolName;
use crate::TeamName;
use crate::backlogs::AcceptedJob;
use crate::backlogs::NewJob;
use crate::backlogs::Place;
use crate::backlogs::PoolBacklog;
use crate::backlogs::TeamBacklog;
use crate::capacity::HostCounts;
use crate::capacity::PoolLoads;
use crate::job::JobRecord;
use crate::job::Resources;
use crate::live_jobs::Job;
use crate::plan::WaitingStep;
use crate::plan::is_ready;
use crate::policies::Policy;
use crate::portions::WHOLE;
use crate::portions::portion_of;
use crate::priority::SchedulingPriority;
use crate::priority::ShareRank;
use crate::priority::Urgency;
use crate::sorted_map::SortedMap;
use crate::state::Scheduler;
use crate::team_shares::PER_MILLE;
use crate::team_shares::smallest_weight;
use crate::work::OrderKey;
use crate::work::RecentJob;
use crate::work::RecentWork;
use crate::work::TIME_MAX;
use crate::work::Work;
use crate::worker::Worker;

/// Minimum time between two records of the backlogs, which bounds their cost.
const RECORD_PERIOD: Duration = Duration::from_millis(100);
/// Time after which an accepted job that the scheduler does not know counts as not stored.
const ACCEPTED_KEPT: Duration = Duration::from_secs(2);

/// When a new job is expected to start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct StartForecast {
    /// Time until the pool has capacity for the job.
    pub by_pool: Duration,
    /// Time until the quota of its team admits the job.
    pub by_quota: Duration,
    /// Time until the work that is ahead now is done.
    pub backlog_gone: Duration,
}

/// What waits in each pool, as of the last record.
#[derive(Clone, Debug, Default)]
pub(crate) struct Forecasts {
    /// When the backlogs were recorded; `None` before the first time.
    recorded_at: Option<Moment>,
    pools: SortedMap<PoolName, PoolBacklog>,
    /// Capacity that each pool is about to get.
    incoming: SortedMap<PoolName, Resources>,
    /// Work of the jobs that were accepted recently.
    recent_work: SortedMap<PoolName, RecentWork>,
}

impl StartForecast {
    /// Returns the time until the job starts.
    pub fn start_in(&self) -> Duration {
        self.by_pool.max(self.by_quota)
    }
}

impl Forecasts {
    /// Returns the age of the record; `None` if there is none.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.recorded_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the capacity that a pool has or is about to get.
    pub fn capacity(&self, pool: &PoolName) -> Resources {
        let current = self.pools.get(pool).map(|backlog| backlog.capacity).unwrap_or_default();
        current.plus(&self.incoming.get(pool).copied().unwrap_or_default())
    }

    /// Returns when a job would start; `None` if it could start at once, or if the pool has no
    /// capacity to forecast with. `quota` is what the runs of its team may request at a time,
    /// `expected` the work of its team that does not wait yet and goes before it.
    pub fn start(
        &self,
        job: &NewJob,
        quota: &Resources,
        expected: Work,
        now: Moment,
    ) -> Option<StartForecast> {
        let key = self.pools.get(&job.pool)?.key_of(&job.team, job.priority);
        let in_order = Place { key, waits_for_own_late: false };
        let start = self.start_at_place(job, &in_order, quota, expected, now)?;
        let is_in_time = now + start.start_in() + job.critical_path <= job.deadline;
        let late = SchedulingPriority {
            urgency: Urgency::Late,
            tie_breaker: job.work.core_ms as u64,
            ..job.priority
        };
        let priority = if is_in_time { job.priority } else { late };
        let place = Place { key: OrderKey { priority, ..key }, waits_for_own_late: true };
        self.start_at_place(job, &place, quota, expected, now)
    }

    fn start_at_place(
        &self,
        job: &NewJob,
        place: &Place,
        quota: &Resources,
        expected: Work,
        now: Moment,
    ) -> Option<StartForecast> {
        let backlog = self.pools.get(&job.pool)?;
        // The backlog has been worked off since it was recorded.
        let age = self.age(now)?;
        let capacity = self.capacity(&job.pool);
        let for_pool = if backlog.has_free_capacity(job) {
            None
        } else {
            let ahead = backlog.work_ahead(job, place) + expected;
            Some(ahead.time_with(&capacity)?.saturating_sub(age))
        };
        // A caller that has returned in time was told that there would be capacity.
        let recent = self.recent_work.get(&job.pool).filter(|_| !job.has_returned);
        let place_of = |job: &RecentJob| backlog.key_of(&job.team, job.priority);
        let left =
            recent.map_or(1.0, |recent| recent.capacity_left(&place.key, &capacity, place_of, now));
        let own = backlog.own_work_ahead(job, place).filter(|_| *quota != Resources::default());
        let by_quota = own.map(|own| (own + expected).time_within(quota).saturating_sub(age));
        (for_pool.is_some() || by_quota.is_some()).then(|| {
            let (for_pool, by_quota) = (for_pool.unwrap_or_default(), by_quota.unwrap_or_default());
            StartForecast {
                by_pool: stretched(for_pool, left),
                by_quota,
                backlog_gone: for_pool.max(by_quota),
            }
        })
    }

    /// Adds an accepted job to the record.
    pub fn add_accepted(&mut self, job: NewJob, now: Moment) {
        let backlog = self.pools.entry_or(job.pool.clone(), PoolBacklog::default);
        if !backlog.is_at_quota(&job.team) {
            let recent_work = self.recent_work.entry_or(job.pool.clone(), RecentWork::default);
            let (team, priority, work) = (job.team.clone(), job.priority, job.work);
            recent_work.push(RecentJob { at: now, team, priority, work });
        }
        backlog.accepted.push(AcceptedJob { job, accepted_at: now });
    }

    /// Returns the time that each pool needs for what waits there.
    pub fn backlog_times(&self) -> impl Iterator<Item = (&PoolName, Duration)> {
        self.pools.iter().filter_map(|(pool, backlog)| {
            let accepted = backlog.accepted.iter().map(|accepted| accepted.job.work);
            let total = accepted.fold(backlog.queue.total(), |sum, work| sum + work);
            Some((pool, total.time_with(&self.capacity(pool))?))
        })
    }
}

impl Scheduler {
    /// Records the capacity that each pool is about to get: of the hosts that are moving there, and
    /// of those that it lacks to its target.
    pub(crate) fn record_incoming_capacity(&mut self, loads: &PoolLoads, targets: &HostCounts) {
        if !self.settings.policies.enables(Policy::Admission) {
            return;
        }
        let incoming = loads.iter().map(|(name, load)| {
            let target = targets.get(name).copied().unwrap_or(0);
            let hosts = load.incoming_hosts + target.saturating_sub(load.hosts);
            (name.clone(), load.host_capacity.times(hosts as u64))
        });
        self.admission.forecasts.incoming = incoming.collect();
    }

    /// Records what still waits in each pool after a placement, unless this was done a moment ago.
    pub(crate) fn record_backlogs(&mut self, waiting: &[WaitingStep], now: Moment) {
        let forecasts = &self.admission.forecasts;
        // No job may be refused because of a backlog that has just gone.
        let has_backlog_gone = forecasts
            .pools
            .iter()
            .any(|(pool, backlog)| backlog.is_starved && !self.starved_since.contains(pool));
        let is_due = has_backlog_gone || forecasts.age(now).is_none_or(|age| age >= RECORD_PERIOD);
        if !self.settings.policies.enables(Policy::Admission) || !is_due {
            return;
        }
        self.admission.refused.review(now);
        let mut pools = self.capacities(now);
        for pool_steps in waiting.chunk_by(|a, b| a.pool == b.pool) {
            let pool = &pool_steps[0].pool;
            let backlog = pools.entry_or(pool.clone(), PoolBacklog::default);
            backlog.is_starved = self.starved_since.contains(pool);
            backlog.share_ranks = self.share_ranks(pool);
            self.add_waiting_work(backlog, pool_steps);
        }
        let forecasts = &mut self.admission.forecasts;
        for (pool, previous) in std::mem::take(&mut forecasts.pools).iter_mut() {
            let is_unknown = |accepted: &AcceptedJob| {
                !self.jobs.contains(&accepted.job.id)
                    && !self.finished_jobs.contains(&accepted.job.id)
                    && now.saturating_sub(accepted.accepted_at) < ACCEPTED_KEPT
            };
            previous.accepted.retain(is_unknown);
            if !previous.accepted.is_empty() {
                let backlog = pools.entry_or(pool.clone(), PoolBacklog::default);
                backlog.accepted = std::mem::take(&mut previous.accepted);
            }
        }
        forecasts.pools = pools;
        forecasts.recorded_at = Some(now);
    }

    /// Returns the capacity of each pool, without waiting work.
    fn capacities(&self, now: Moment) -> SortedMap<PoolName, PoolBacklog> {
        let mut pools: SortedMap<PoolName, PoolBacklog> = SortedMap::default();
        for worker in self.workers.values().filter(|worker| self.is_dependable(worker, now)) {
            let pool = worker.registration.pool.clone();
            let backlog = pools.entry_or(pool, PoolBacklog::default);
            backlog.capacity += worker.registration.capacity;
            if worker.long_running_runs > 0 {
                backlog.capacity -= self.long_running_reservation(worker);
            }
            if self.accepts_runs(worker, now) {
                backlog.free += worker.free_usable_capacity(now);
            }
        }
        pools
    }

    /// Returns what the long-running units on a worker reserve.
    fn long_running_reservation(&self, worker: &Worker) -> Resources {
        let runs = worker.runs.iter().filter_map(|key| self.unit(key)?.run.as_ref());
        let long_running = runs.filter(|run| run.kind.is_long_running);
        long_running.fold(Resources::default(), |sum, run| sum.plus(&run.reservation))
    }

    /// Adds the work of the units of a pool that are still waiting, and of the steps after them.
    fn add_waiting_work(&self, backlog: &mut PoolBacklog, pool_steps: &[WaitingStep]) {
        let mut last_occurrence = None;
        for waiting in pool_steps {
            let key = &waiting.first_unit;
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let mut work = self.waiting_work(job, waiting);
            if work.is_zero() {
                continue;
            }
            // Steps of an occurrence that wait at the same time are followed by the same later
            // ones.
            let occurrence = Some((&key.job, key.occurrence));
            if occurrence != last_occurrence {
                work += self.later_work(job, key.occurrence);
                last_occurrence = occurrence;
            }
            let place = backlog.key_of(&job.record.team, waiting.priority);
            let team = backlog.teams.entry_or(job.record.team.clone(), TeamBacklog::default);
            team.queue.push(place, work);
            if place.priority.urgency == Urgency::Late {
                team.late.push(place, work);
            }
            if self.is_at_quota(&job.record, &job.record.steps[key.step].requested) {
                team.is_at_quota = true;
            } else {
                backlog.queue.push(place, work);
            }
        }
        backlog.queue.sum_up();
        for team in backlog.teams.values_mut() {
            team.queue.sum_up();
            team.late.sum_up();
        }
    }

    /// Returns the work of the units of a step that were waiting and have got no run.
    fn waiting_work(&self, job: &Job, waiting: &WaitingStep) -> Work {
        let key = &waiting.first_unit;
        let step = &job.record.steps[key.step];
        let occurrences = &mut job.occurrences.iter();
        let Some(occurrence) = occurrences.find(|occurrence| occurrence.number == key.occurrence)
        else {
            return Work::default();
        };
        let units = &occurrence.steps[key.step];
        let left = waiting.units.iter().filter(|&&index| units[index].run.is_none()).count();
        Work::of_units(step, left, self.durations.expected(&job.record, step))
    }

    /// Returns the work of the steps of an occurrence that depend on unfinished ones.
    fn later_work(&self, job: &Job, number: u32) -> Work {
        let Some(occurrence) = job.occurrences.iter().find(|o| o.number == number) else {
            return Work::default();
        };
        let later = job.record.steps.iter().filter(|step| !is_ready(step, occurrence));
        later.fold(Work::default(), |sum, step| {
            let duration = self.durations.expected(&job.record, step);
            sum + Work::of_units(step, step.count as usize, duration)
        })
    }

    /// Returns the ranks of the teams that used more of a full pool at the last placement than they
    /// could if one more team came: its jobs would go before theirs.
    fn share_ranks(&self, pool: &PoolName) -> SortedMap<Option<TeamName>, ShareRank> {
        let Some((_, shares)) = self.team_shares().find(|(name, _)| *name == pool) else {
            return SortedMap::default();
        };
        let smallest = smallest_weight(&self.config).unwrap_or(1.0);
        let weight = |team: &Option<TeamName>| {
            let team = team.as_ref().and_then(|team| self.config.teams.get(team));
            team.map(|team| team.rate_share).filter(|weight| *weight > 0.0).unwrap_or(smallest)
        };
        let total = shares.iter().map(|share| weight(&share.team)).sum::<f64>() + smallest;
        let ranks = shares.iter().filter_map(|share| {
            // What the team uses, by what it could use.
            let part = share.use_permille as f64 / PER_MILLE * total / weight(&share.team);
            let rank = ShareRank::Above((part * PER_MILLE) as u64);
            (part > 1.0).then(|| (share.team.clone(), rank))
        });
        ranks.collect()
    }

    /// Returns true if one more unit would exceed the quota of the job's team in this shard.
    fn is_at_quota(&self, record: &JobRecord, requested: &Resources) -> bool {
        let Some(team) = &record.team else {
            return false;
        };
        let quota = self.config.teams.get(team).map(|team| team.quota).unwrap_or_default();
        portion_of(&self.team_usage(team).plus(requested), &quota) > self.quota_portion(team)
    }

    /// Returns what the runs of a team may request at a time in this shard; an amount of 0 is not
    /// limited.
    pub(crate) fn quota_here(&self, team: Option<&TeamName>) -> Resources {
        let Some(team) = team else {
            return Resources::default();
        };
        let quota = self.config.teams.get(team).map(|team| team.quota).unwrap_or_default();
        // A shard that holds less than an equal portion takes more once it needs it.
        let equal = WHOLE / self.shard_count.max(1) as u32;
        let portion = u64::from(self.quota_portion(team).max(equal));
        let part = |amount: u64| match amount {
            0 => 0,
            amount => (amount.saturating_mul(portion) / u64::from(WHOLE)).max(1),
        };
        Resources {
            cpu_millis: part(quota.cpu_millis),
            memory_mb: part(quota.memory_mb),
            gpus: part(quota.gpus),
        }
    }
}

/// Returns the time that work takes if only a part of the capacity is left for it.
fn stretched(time: Duration, capacity_left: f64) -> Duration {
    if time.is_zero() {
        return time;
    }
    let time_s = time.as_secs_f64() / capacity_left.max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(time_s.min(TIME_MAX.as_secs_f64()))
}
