//! Whether a job is accepted when it is submitted, or refused with the time to come back.
//!
//! The load: callers request more than a pool can do in time, for example because one team sends
//! many times its usual number of jobs. If every job is accepted, all become late together. So a
//! job that would end after its useful time is refused at once, and its caller learns when the
//! backlog will have gone. Those that were refused return one after another, at the rate at which
//! they can be served, and go before new jobs of their team.
//!
//! Refusing needs more evidence than accepting: there is none without a recent forecast, or while
//! the pool has free capacity.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::JobId;
use crate::Moment;
use crate::PoolName;
use crate::backlogs::NewJob;
use crate::config::Queue;
use crate::forecast::Forecasts;
use crate::job::JobRecord;
use crate::job::Resources;
use crate::live_jobs::Job;
use crate::live_jobs::Occurrence;
use crate::live_jobs::Unit;
use crate::policies::Policy;
use crate::priority::critical_path_of;
use crate::priority::time_to_deadline;
use crate::refusals::CallerGroup;
use crate::refusals::RefusedJobs;
use crate::state::Scheduler;
use crate::work::Work;

/// Time for which the result of a job is of use, as a multiple of the time to its deadline.
const USEFUL_FACTOR: u32 = 3;
/// Maximum age of a forecast from which jobs are refused.
const FORECAST_AGE_MAX: Duration = Duration::from_millis(500);
/// Time for which a new owner refuses no job: it does not know all workers yet.
const WARM_UP_TIME: Duration = Duration::from_secs(2);
/// Shortest time after which a refused caller may return.
const RETRY_AFTER_MIN_S: u64 = 1;
/// Longest time after which a refused caller may return.
const RETRY_AFTER_MAX_S: u64 = 30;

/// Result of [`Scheduler::admit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The job may be stored.
    Accept,
    /// The job must not be stored, and never runs unless it is submitted again.
    Reject(Rejection),
}

/// Why a job cannot be served in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RejectionReason {
    /// Too much work waits for the capacity of its pool.
    PoolBacklog,
    /// Too much work waits for the quota of its team.
    TeamQuota,
}

/// Forecast from which a job was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Why the job cannot be served in time.
    pub reason: RejectionReason,
    /// Time until its first unit would start.
    pub start_in: Duration,
    /// Time until its last unit would end.
    pub end_in: Duration,
    /// Age of the record of waiting work that the forecast is based on.
    pub forecast_age: Duration,
    /// Time after which the caller may submit the job again, in whole seconds.
    pub retry_after: Duration,
}

/// What the owner knows for its decisions on new jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Admission {
    /// When the owner took over.
    pub owned_since: Moment,
    pub forecasts: Forecasts,
    pub refused: RefusedJobs,
}

impl Admission {
    /// Creates the state of an owner that has just taken over.
    pub fn new(now: Moment) -> Self {
        Self { owned_since: now, ..Self::default() }
    }
}

impl Scheduler {
    /// Decides whether a job that was just submitted is accepted. The job must not be known to the
    /// scheduler, nor be stored anywhere. An accepted job counts as waiting from now on; the caller
    /// of this method stores it and passes it to [`Scheduler::add_job`].
    pub fn admit(&mut self, record: &Arc<JobRecord>, now: Moment) -> AdmissionDecision {
        let is_enabled = self.settings.policies.enables(Policy::Admission);
        let is_finite = !record.steps.iter().any(|step| step.is_long_running);
        if !is_enabled || !is_finite || record.has_schedule() {
            return AdmissionDecision::Accept;
        }
        let Some(queue) = self.config.queues.get(&record.queue) else {
            return AdmissionDecision::Accept;
        };
        let has_deadline = has_deadline(queue);
        let submitted_at = self.moment_of(record.accepted_ms).min(now);
        let job = self.new_job(record, submitted_at, now);
        let useful_until = submitted_at + (job.deadline - submitted_at) * USEFUL_FACTOR;
        self.admission.refused.record_return(&job.id, now);
        let rejection = has_deadline.then(|| self.rejection(&job, useful_until, now));
        match rejection.flatten() {
            Some(rejection) => {
                let return_at = now + rejection.retry_after;
                let refused = &mut self.admission.refused;
                let (group, submitted_ms) = (group_of(&job), record.accepted_ms);
                refused.insert(job.id, group, job.work, submitted_ms, return_at, now);
                AdmissionDecision::Reject(rejection)
            }
            None => {
                self.admission.refused.remove(&job.id);
                self.admission.forecasts.add_accepted(job, now);
                AdmissionDecision::Accept
            }
        }
    }

    /// Returns true if a submission must not be carried out any more, since a later one of the same
    /// job was refused. The earlier one may have been stored late.
    pub fn is_refused_since(&self, record: &JobRecord) -> bool {
        self.admission.refused.is_refused_after(&record.id, record.accepted_ms)
    }

    /// Returns the time that each pool needs for what waits there, as of the last forecast. It is
    /// empty unless the policy is enabled.
    pub fn backlog_times(&self) -> impl Iterator<Item = (&PoolName, Duration)> {
        self.admission.forecasts.backlog_times()
    }

    /// Returns the forecast of a job that would end after `useful_until`; `None` if the job is to
    /// be accepted.
    fn rejection(&self, job: &NewJob, useful_until: Moment, now: Moment) -> Option<Rejection> {
        let Admission { owned_since, forecasts, refused } = &self.admission;
        let forecast_age = forecasts.age(now).filter(|age| *age <= FORECAST_AGE_MAX)?;
        if now.saturating_sub(*owned_since) < WARM_UP_TIME + forecast_age {
            return None;
        }
        let quota = self.quota_here(job.team.as_ref());
        let alone = forecasts.start(job, &quota, Work::default(), now)?;
        let (group, number) = (group_of(job), refused.expected_number(&job.id, now));
        // Callers that return before this job starts go before it.
        let returning = refused.expected_work(&group, number, now + alone.start_in(), now);
        let returning = returning.scaled(refused.return_ratio(&group));
        let start = forecasts.start(job, &quota, returning, now)?;
        let end_in = start.start_in() + job.critical_path;
        if now + end_in <= useful_until {
            return None;
        }
        let reason = match start.by_quota > start.by_pool {
            true => RejectionReason::TeamQuota,
            false => RejectionReason::PoolBacklog,
        };
        let refused_before = refused.expected_work(&group, number, Moment::MAX, now);
        let served_in = forecasts.start(job, &quota, refused_before, now)?.backlog_gone;
        let retry_after_s = served_in.as_secs_f64().ceil() as u64;
        let retry_after_s = retry_after_s.clamp(RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S);
        let retry_after = Duration::from_secs(retry_after_s);
        Some(Rejection { reason, start_in: start.start_in(), end_in, forecast_age, retry_after })
    }

    /// Returns a job as it would wait if it was accepted.
    fn new_job(&self, record: &Arc<JobRecord>, submitted_at: Moment, now: Moment) -> NewJob {
        let units = |count: u32| (0..count).map(|_| Unit::new(self.run_number_base, now)).collect();
        let steps = record.steps.iter().map(|step| units(step.count)).collect();
        let occurrence = Occurrence { number: 0, due_at: submitted_at, steps };
        let job = Job {
            record: record.clone(),
            accepted_at: submitted_at,
            is_beyond_rate_share: self.is_beyond_rate_share(record, now),
            ..Job::default()
        };
        let expected = self.durations.expected_by_step(record);
        let critical_path = critical_path_of(record, |index| expected[index]);
        let queue = self.config.queues.get(&record.queue);
        let steps = record.steps.iter().zip(&expected);
        let work = steps.fold(Work::default(), |sum, (step, duration)| {
            sum + Work::of_units(step, step.count as usize, *duration)
        });
        let first_steps = record.steps.iter().filter(|step| step.depends_on.is_empty());
        let first_units = first_steps.fold(Resources::default(), |sum, step| {
            sum.plus(&step.reservation().times(u64::from(step.count)))
        });
        NewJob {
            id: JobId::clone(&record.id),
            pool: self.pool_of(&job),
            team: record.team.clone(),
            priority: self.scheduling_priority(&job, &occurrence, now),
            work,
            first_units,
            critical_path,
            deadline: submitted_at + time_to_deadline(critical_path, queue),
            has_returned: self.admission.refused.expected_number(&record.id, now).is_some(),
        }
    }

    /// Returns true if one more job is beyond the rate share of its team. Does not count the job.
    fn is_beyond_rate_share(&self, record: &JobRecord, now: Moment) -> bool {
        let Some(team) = &record.team else {
            return false;
        };
        let rate_share = self.config.teams.get(team).map_or(0.0, |team| team.rate_share);
        let rate_share = rate_share / self.shard_count.max(1) as f64;
        !self.rate_shares.has_token(team, rate_share, now)
    }
}

/// Returns true if the jobs of a queue have a deadline; without one, they are useful at any time.
fn has_deadline(queue: &Queue) -> bool {
    queue.stretch > 1.0 || !queue.deadline_slack.is_zero()
}

fn group_of(job: &NewJob) -> CallerGroup {
    CallerGroup { pool: job.pool.clone(), team: job.team.clone() }
}
