//! The state of one owner.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::HostName;
use crate::JobId;
use crate::Moment;
use crate::PoolName;
use crate::QueueName;
use crate::TeamName;
use crate::WaveId;
use crate::WorkerId;
use crate::advice::Tickets;
use crate::capacity::BaselineHosts;
use crate::capacity::Demand;
use crate::config::Config;
use crate::evidence::Evidence;
use crate::hosts::Host;
use crate::hosts::HostOrdered;
use crate::job::Resources;
use crate::job::UnitKey;
use crate::live::EndedJob;
use crate::live::Job;
use crate::live::JobView;
use crate::live::Occurrence;
use crate::live::Phase;
use crate::live::Run;
use crate::live::Unit;
use crate::report::Action;
use crate::settings::Settings;
use crate::share::Shares;
use crate::sorted::SortedMap;
use crate::waves::WaveProgress;
use crate::worker::Worker;

/// State of one owner.
#[derive(Debug, Default)]
pub struct Scheduler {
    pub(crate) settings: Settings,
    pub(crate) config: Arc<Config>,
    /// Live jobs.
    pub(crate) jobs: SortedMap<JobId, Job>,
    /// Live jobs with progress that is to be stored, the first to change first.
    pub(crate) dirty: VecDeque<JobId>,
    /// Ended jobs.
    pub(crate) ended: SortedMap<JobId, EndedJob>,
    /// Workers.
    pub(crate) workers: SortedMap<WorkerId, Worker>,
    /// What the runs of each team take.
    pub(crate) team_use: SortedMap<TeamName, Resources>,
    /// Results of workers.
    pub(crate) evidence: Evidence,
    /// Tickets of the advisor.
    pub(crate) tickets: Tickets,
    /// Hosts of the platform's list.
    pub(crate) hosts: SortedMap<HostName, Host>,
    /// Workers that orders to their hosts have ended, and the begin of the life that ended; their
    /// entries leave the registry later.
    pub(crate) ended_workers: SortedMap<WorkerId, u64>,
    /// Hosts that were ordered of late.
    pub(crate) host_commands: SortedMap<HostName, HostOrdered>,
    /// Hosts that the owner before has ordered of late, and from when on they may be ordered.
    pub(crate) held_hosts: SortedMap<HostName, Moment>,
    /// The hosts have been listed at least once.
    pub(crate) hosts_listed: bool,
    /// Jobs that are dropped, with records that are to be removed.
    pub(crate) jobs_to_unstore: Vec<JobId>,
    /// Workers that are forgotten, with rows that are to be removed.
    pub(crate) assignments_to_remove: Vec<WorkerId>,
    /// Waves.
    pub(crate) waves: SortedMap<WaveId, WaveProgress>,
    /// Hosts that the pools had at first.
    pub(crate) baseline_hosts: BaselineHosts,
    /// These have changed since they were last handed out to be stored.
    pub(crate) is_own_hosts_dirty: bool,
    /// What is left of the shares of the teams.
    pub(crate) shares: Shares,
    /// Demand by pool.
    pub(crate) demand: SortedMap<PoolName, Demand>,
    /// Pools in which a unit found no worker with room, and since when.
    pub(crate) starved_since: SortedMap<PoolName, Moment>,
    /// The same of units that last.
    pub(crate) lasting_starved_since: SortedMap<PoolName, Moment>,
    /// Number from which the runs of this owner count.
    pub(crate) run_base: u32,
    /// Difference between the Unix epoch and the clock of moments, in milliseconds.
    pub(crate) unix_offset_ms: i64,
    /// Actions to be carried out.
    pub(crate) actions: Vec<Action>,
    /// A worker has refused the fencing token.
    pub(crate) is_fenced: bool,
    /// Something has changed since units were last placed.
    pub(crate) needs_placing: bool,
    /// When the state was last reviewed.
    pub(crate) reviewed_at: Moment,
    /// When units were last placed.
    pub(crate) placed_at: Moment,
    /// When ended jobs were last looked through.
    pub(crate) forgotten_at: Moment,
}

impl Scheduler {
    /// State of an owner that has just taken over; `epoch` is its fencing token.
    pub fn new(settings: Settings, epoch: u64, unix_now_ms: u64, now: Moment) -> Self {
        Self {
            settings,
            run_base: run_base(epoch),
            unix_offset_ms: unix_now_ms as i64 - now.as_millis() as i64,
            needs_placing: true,
            ..Self::default()
        }
    }

    /// Puts a configuration in force.
    pub fn set_config(&mut self, config: Arc<Config>) {
        self.config = config;
        self.needs_placing = true;
    }

    /// Another owner is at work: a worker has refused the fencing token.
    pub fn mark_fenced(&mut self) {
        self.is_fenced = true;
    }

    /// End of the lease that a worker is asked for now, by its clock in milliseconds; none if its
    /// clock is not known yet, or if it has not answered of late: a lease that it may never hear of
    /// would put off the time at which its units can run elsewhere.
    pub fn request_lease(&mut self, id: &str, now: Moment) -> Option<u64> {
        let lease = self.settings.lease;
        let worker = self.workers.get_mut(id)?;
        if !worker.is_in_contact(LEASE_CONTACT_MAX, now) {
            return None;
        }
        let deadline_ms = worker.clock_min_ms(now)? + lease.as_millis() as u64;
        worker.lease_asked(deadline_ms);
        Some(deadline_ms)
    }

    /// Takes in whether the pace of a run was set.
    pub fn handle_speed_limit_reply(
        &mut self,
        key: &UnitKey,
        number: u32,
        percent: u32,
        is_answered: bool,
    ) {
        let Some(run) = self.unit_mut(key).and_then(|unit| unit.run.as_mut()) else {
            return;
        };
        if run.number == number && run.pace_percent == percent && !is_answered {
            // Asked for again with the next report.
            run.pace_percent = 100;
        }
    }

    /// True if a worker has refused the fencing token, so that another owner is at work.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// What callers are shown of a job; none if there is no such job.
    pub fn view(&self, id: &str) -> Option<JobView> {
        if let Some(ended) = self.ended.get(id) {
            return Some(JobView::Ended(ended.state));
        }
        let job = self.jobs.get(id)?;
        if let Some(state) = job.final_state.filter(|_| job.is_final_state_stored) {
            return Some(JobView::Ended(state));
        }
        Some(if job.has_begun { JobView::Running } else { JobView::Queued })
    }

    /// Team of a job; the outer option is none if there is no such job.
    pub fn team_of(&self, id: &str) -> Option<Option<TeamName>> {
        if let Some(ended) = self.ended.get(id) {
            return Some(ended.team.clone());
        }
        self.jobs.get(id).map(|job| job.record.team.clone())
    }

    /// Queue of a job.
    pub fn queue_of(&self, id: &str) -> Option<QueueName> {
        if let Some(ended) = self.ended.get(id) {
            return Some(ended.queue.clone());
        }
        self.jobs.get(id).map(|job| job.record.queue.clone())
    }

    /// Jobs of a queue of which no unit has been started.
    pub fn queued_jobs(&self, queue: &str) -> usize {
        let waits =
            |job: &&Job| *job.record.queue == *queue && !job.has_begun && job.final_state.is_none();
        self.jobs.values().filter(waits).count()
    }

    /// How long a job has waited for its first unit; none if it has begun.
    pub fn queued_time(&self, id: &str, now: Moment) -> Option<Duration> {
        let job = self.jobs.get(id).filter(|job| !job.has_begun)?;
        Some(now.saturating_sub(job.accepted_at))
    }

    /// Live jobs.
    pub fn live_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Workers that the owner knows.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// A worker.
    pub fn worker(&self, id: &str) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Actions that have been decided.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// What a team has running, or may have.
    pub fn team_use(&self, team: &str) -> Resources {
        self.team_use.get(team).copied().unwrap_or_default()
    }

    pub(crate) fn note(&mut self, what: &'static str, subject: impl ToString, why: String) {
        self.actions.push(Action::LogDecision { what, subject: subject.to_string(), why });
    }

    /// Unix time of a moment, in milliseconds.
    pub(crate) fn unix_ms(&self, now: Moment) -> u64 {
        (now.as_millis() as i64 + self.unix_offset_ms).max(0) as u64
    }

    /// Moment of a Unix time.
    pub(crate) fn moment_of(&self, unix_ms: u64) -> Moment {
        Duration::from_millis((unix_ms as i64 - self.unix_offset_ms).max(0) as u64)
    }

    pub(crate) fn unit(&self, key: &UnitKey) -> Option<&Unit> {
        let occurrence = self.occurrence(key)?;
        occurrence.steps.get(key.step)?.get(key.index)
    }

    pub(crate) fn unit_mut(&mut self, key: &UnitKey) -> Option<&mut Unit> {
        let job = self.jobs.get_mut(&key.job)?;
        let occurrence = job.occurrences.iter_mut().find(|o| o.number == key.occurrence)?;
        occurrence.steps.get_mut(key.step)?.get_mut(key.index)
    }

    fn occurrence(&self, key: &UnitKey) -> Option<&Occurrence> {
        let job = self.jobs.get(&key.job)?;
        job.occurrences.iter().find(|occurrence| occurrence.number == key.occurrence)
    }

    /// Notes a run of a unit, with what it takes of the worker and of its team.
    pub(crate) fn add_run(&mut self, key: &UnitKey, run: Run, now: Moment) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        // A run that is planned, ordered or in doubt may not have begun.
        job.has_begun |= run.phase == Phase::Listed;
        let team = job.record.team.clone();
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.add_run(key, &run.room, now);
        }
        if let Some(team) = team {
            *self.team_use.entry_or(team, Resources::default) += run.requested;
        }
        if let Some(unit) = self.unit_mut(key) {
            unit.last_run = unit.last_run.max(run.number);
            unit.run = Some(run);
        }
    }

    /// Forgets the run of a unit: it is not there any more, for sure.
    pub(crate) fn clear_run(&mut self, key: &UnitKey, now: Moment) -> Option<Run> {
        let run = self.unit_mut(key)?.run.take()?;
        let team = self.jobs.get(&key.job).and_then(|job| job.record.team.clone());
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.remove_run(key, &run.room, now);
        }
        if let Some(team) = team
            && let Some(used) = self.team_use.get_mut(&team)
        {
            *used -= run.requested;
        }
        if let Some(unit) = self.unit_mut(key) {
            unit.away_at = now;
        }
        self.needs_placing = true;
        Some(run)
    }
}

/// Age of a worker's last answer up to which its lease is renewed; above the time between two looks
/// while ends wait to be stored.
const LEASE_CONTACT_MAX: Duration = Duration::from_millis(1_200);

/// Runs of a unit that one owner starts at most; the numbers of the next owner lie above.
const RUNS_PER_EPOCH: u64 = 64;

/// Number above which the runs of an owner count.
fn run_base(epoch: u64) -> u32 {
    u32::try_from(epoch.saturating_sub(1) * RUNS_PER_EPOCH).unwrap_or(u32::MAX / 2)
}
