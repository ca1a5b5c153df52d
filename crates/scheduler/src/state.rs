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
use crate::ZoneName;
use crate::advice::Tickets;
use crate::capacity::BaselineHosts;
use crate::capacity::Demand;
use crate::config::Config;
use crate::counts::Counts;
use crate::durations::Durations;
use crate::evacuation::Evacuations;
use crate::failure_history::FailureHistory;
use crate::host_commands::HostCommand;
use crate::hosts::Host;
use crate::job::Resources;
use crate::job::UnitKey;
use crate::job_map::JobMap;
use crate::live_jobs::FinishedJob;
use crate::live_jobs::Job;
use crate::live_jobs::JobView;
use crate::live_jobs::Phase;
use crate::live_jobs::Run;
use crate::live_jobs::Unit;
use crate::messages::Action;
use crate::messages::WorkerRegistration;
use crate::peaks::Peaks;
use crate::policies::Policy;
use crate::portions::Portion;
use crate::progress::CrashedRun;
use crate::rate_shares::RateShares;
use crate::run_end::EndedRun;
use crate::run_end::RunEnd;
use crate::settings::Settings;
use crate::shrunk_workers::ShrunkWorkers;
use crate::sorted_map::SortedMap;
use crate::tokens::Tokens;
use crate::waves::WaveProgress;
use crate::worker::Worker;

/// State and decisions of one owner.
#[derive(Debug, Default)]
pub struct Scheduler {
    pub(crate) settings: Settings,
    pub(crate) config: Arc<Config>,
    /// Largest number of attempts that any queue allows.
    pub(crate) attempts_max_of_queues: u32,
    /// Jobs that have not finished, or that still have runs.
    pub(crate) jobs: JobMap<Job>,
    /// Jobs whose progress has to be stored, in the order in which they first changed.
    pub(crate) dirty_jobs: VecDeque<JobId>,
    /// Jobs that have finished, for as long as callers can ask for their final state.
    pub(crate) finished_jobs: JobMap<FinishedJob>,
    /// Registered workers, and unregistered ones that may still have runs.
    pub(crate) workers: SortedMap<WorkerId, Worker>,
    /// Resources that the runs of each team request.
    pub(crate) team_usage: SortedMap<TeamName, Resources>,
    /// Number of shards that divide the quotas and rate shares of teams; 0 counts as 1.
    pub(crate) shard_count: usize,
    /// Portions of the teams' quotas that differ from the initial one.
    pub(crate) quota_portions: SortedMap<TeamName, Portion>,
    /// Portions that teams with waiting units needed at the last placement.
    pub(crate) quota_needs: SortedMap<TeamName, Portion>,
    /// Zones all of whose workers are silent, sorted.
    pub(crate) lost_zones: Vec<ZoneName>,
    /// Zones that operators evacuate.
    pub(crate) evacuations: Evacuations,
    /// Recent failures by worker.
    pub(crate) failure_history: FailureHistory,
    /// Tickets of the advisor, by step.
    pub(crate) tickets: Tickets,
    /// Hosts in the platform's last list.
    pub(crate) hosts: SortedMap<HostName, Host>,
    /// Units that ran on silent workers when the leases of these expired. If a worker turns out to
    /// have crashed, one of its units may have caused that.
    pub(crate) silent_suspects: SortedMap<WorkerId, Vec<(UnitKey, CrashedRun)>>,
    /// Last registrations of workers that were terminated by a command to their host. The registry
    /// still lists them for a while.
    pub(crate) terminated_workers: SortedMap<WorkerId, WorkerRegistration>,
    /// Commands that were recently given to hosts.
    pub(crate) host_commands: SortedMap<HostName, HostCommand>,
    /// Outcomes of commands to hosts are known that are not stored yet.
    pub(crate) has_unstored_outcome: bool,
    /// Hosts that the previous owner has recently commanded, and when they may get a new command.
    pub(crate) host_no_command_before: SortedMap<HostName, Moment>,
    /// The platform has listed its hosts at least once.
    pub(crate) has_host_list: bool,
    /// Finished jobs whose records have to be removed from the store.
    pub(crate) jobs_to_unstore: Vec<JobId>,
    /// Removed workers whose assignment rows have to be removed from the store.
    pub(crate) assignments_to_remove: Vec<WorkerId>,
    /// Maintenance waves that operators have requested.
    pub(crate) waves: SortedMap<WaveId, WaveProgress>,
    /// Number of hosts that each pool had before any host was moved.
    pub(crate) baseline_hosts: BaselineHosts,
    /// `baseline_hosts` has changed since it was last added to a batch.
    pub(crate) is_baseline_hosts_dirty: bool,
    /// Last peak of each pool.
    pub(crate) peaks: Peaks,
    /// Rate limiters that tell which jobs are within their team's rate share.
    pub(crate) rate_shares: RateShares,
    /// Expected durations of units.
    pub(crate) durations: Durations,
    /// Workers that have shrunk below what runs there.
    pub(crate) shrunk_workers: ShrunkWorkers,
    /// Events since the owner last took the counts.
    pub(crate) counts: Counts,
    /// Recently submitted work by pool.
    pub(crate) demand: SortedMap<PoolName, Demand>,
    /// Since when a pool has had a waiting unit that fits on none of its workers.
    pub(crate) starved_since: SortedMap<PoolName, Moment>,
    /// Since when a pool has had a long-running unit that fits on none of its workers.
    pub(crate) long_running_starved_since: SortedMap<PoolName, Moment>,
    /// Run numbers of this owner are higher than this one.
    pub(crate) run_number_base: u32,
    /// Tokens of its calls to workers.
    pub(crate) tokens: Tokens,
    /// Unix time minus [`Moment`], in milliseconds.
    pub(crate) unix_offset_ms: i64,
    /// Actions that the owner has not taken yet.
    pub(crate) actions: Vec<Action>,
    /// A worker has refused the fencing token.
    pub(crate) is_fenced: bool,
    /// Something has changed since units were last placed, so that a waiting unit may fit now.
    pub(crate) needs_placement: bool,
    /// When the state was last reviewed.
    pub(crate) reviewed_at: Moment,
    /// When units were last placed.
    pub(crate) placed_at: Moment,
    /// When finished jobs were last checked for expiry.
    pub(crate) expiry_checked_at: Moment,
}

impl Scheduler {
    /// Creates the state of an owner that has just taken over; `epoch` is its fencing token.
    pub fn new(settings: Settings, epoch: u64, unix_now_ms: u64, now: Moment) -> Self {
        let learns_durations = settings.policies.enables(Policy::LearnedDurations);
        Self {
            settings,
            durations: Durations::new(learns_durations),
            run_number_base: run_number_base(epoch),
            tokens: Tokens::new(epoch),
            unix_offset_ms: unix_now_ms as i64 - now.as_millis() as i64,
            needs_placement: true,
            ..Self::default()
        }
    }

    /// Makes a configuration active.
    pub fn set_config(&mut self, config: Arc<Config>) {
        let attempts = config.queues.values().map(|queue| queue.attempts_max);
        self.attempts_max_of_queues = attempts.max().unwrap_or_default();
        self.config = config;
        self.needs_placement = true;
    }

    /// Requests a lease for a worker and returns its deadline by the worker's clock, in
    /// milliseconds.
    ///
    /// Returns `None` if the worker's clock is not known yet, or if the worker has not replied
    /// recently: it might never receive the lease, which would only delay the restart of its units
    /// elsewhere.
    pub fn request_lease(&mut self, id: &str, now: Moment) -> Option<u64> {
        let lease = self.settings.lease;
        let worker = self.workers.get_mut(id)?;
        if !worker.is_in_contact(LEASE_CONTACT_AGE_MAX, now) {
            return None;
        }
        let deadline_ms = worker.clock_min_ms(now)? + lease.as_millis() as u64;
        worker.record_lease_request(deadline_ms, now);
        Some(deadline_ms)
    }

    /// Handles the reply to a command that limits the speed of a run.
    pub fn handle_speed_limit_reply(
        &mut self,
        key: &UnitKey,
        number: u32,
        percent: u32,
        has_reply: bool,
    ) {
        let Some(run) = self.unit_mut(key).and_then(|unit| unit.run_numbered_mut(number)) else {
            return;
        };
        if run.speed_limit_percent == percent && !has_reply {
            // It may have taken effect, or may still do so. The next review sends it again.
            run.is_speed_limit_in_doubt = true;
        }
    }

    /// Returns true if a worker has refused the fencing token, since another owner has taken over.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Returns the state of a job that callers see; `None` if there is no such job.
    pub fn view(&self, id: &str) -> Option<JobView> {
        if let Some(job) = self.finished_jobs.get(id) {
            return Some(JobView::Ended(job.state));
        }
        let job = self.jobs.get(id)?;
        if let Some(state) = job.final_state.filter(|_| job.is_final_state_stored) {
            return Some(JobView::Ended(state));
        }
        Some(if job.has_started { JobView::Running } else { JobView::Queued })
    }

    /// Returns the team of a job; the outer option is `None` if there is no such job.
    pub fn team_of(&self, id: &str) -> Option<Option<TeamName>> {
        if let Some(job) = self.finished_jobs.get(id) {
            return Some(job.team.clone());
        }
        self.jobs.get(id).map(|job| job.record.team.clone())
    }

    /// Returns the queue of a job.
    pub fn queue_of(&self, id: &str) -> Option<QueueName> {
        if let Some(job) = self.finished_jobs.get(id) {
            return Some(job.queue.clone());
        }
        self.jobs.get(id).map(|job| job.record.queue.clone())
    }

    /// Returns the number of jobs of a queue that have not started any unit.
    pub fn queued_jobs(&self, queue: &str) -> usize {
        let is_queued = |job: &&Job| {
            *job.record.queue == *queue && !job.has_started && job.final_state.is_none()
        };
        self.jobs.values().filter(is_queued).count()
    }

    /// Returns how long a job has waited for its first unit to start; `None` if it has started or
    /// does not exist.
    pub fn queued_time(&self, id: &str, now: Moment) -> Option<Duration> {
        let job = self.jobs.get(id).filter(|job| !job.has_started)?;
        Some(now.saturating_sub(job.accepted_at))
    }

    /// Returns the number of jobs that have not finished, or that still have runs.
    pub fn live_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the registered workers, and unregistered ones that may still have runs.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Returns the worker with this identifier.
    pub fn worker(&self, id: &str) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Returns true if it matters whether and how a worker replies.
    pub fn must_poll(&self, worker: &Worker) -> bool {
        worker.is_registered
            || !worker.runs.is_empty()
            || self.silent_suspects.contains(&worker.registration.id)
    }

    /// Removes and returns the actions to carry out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the resources that the runs of a team request, including runs in doubt.
    pub fn team_usage(&self, team: &str) -> Resources {
        self.team_usage.get(team).copied().unwrap_or_default()
    }

    pub(crate) fn log_decision(&mut self, what: &'static str, subject: impl ToString, why: String) {
        self.actions.push(Action::LogDecision { what, subject: subject.to_string(), why });
    }

    /// Returns the Unix time of a moment, in milliseconds.
    pub(crate) fn unix_ms(&self, now: Moment) -> u64 {
        (now.as_millis() as i64 + self.unix_offset_ms).max(0) as u64
    }

    /// Returns the moment of a Unix time in milliseconds.
    pub(crate) fn moment_of(&self, unix_ms: u64) -> Moment {
        Duration::from_millis((unix_ms as i64 - self.unix_offset_ms).max(0) as u64)
    }

    pub(crate) fn unit(&self, key: &UnitKey) -> Option<&Unit> {
        self.jobs.get(&key.job)?.unit(key)
    }

    pub(crate) fn unit_mut(&mut self, key: &UnitKey) -> Option<&mut Unit> {
        self.jobs.get_mut(&key.job)?.unit_mut(key)
    }

    /// Adds the run of a unit, and counts it for its worker and its team.
    pub(crate) fn add_run(&mut self, key: &UnitKey, run: Run, now: Moment) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        // Runs that are planned, commanded or in doubt may not have started.
        job.has_started |= run.phase == Phase::Reported;
        let team = job.record.team.clone();
        let is_suspect = self.unit(key).is_some_and(|unit| !unit.crashed_runs.is_empty());
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.add_run(key, &run, is_suspect, now);
        }
        if let Some(team) = team {
            *self.team_usage.entry_or(team, Resources::default) += run.requested;
        }
        if let Some(unit) = self.unit_mut(key) {
            unit.last_run = unit.last_run.max(run.number);
            unit.run = Some(run);
        }
    }

    /// Removes the run of a unit on a worker, which has ended.
    pub(crate) fn remove_run(
        &mut self,
        key: &UnitKey,
        worker: &str,
        end: RunEnd,
        now: Moment,
    ) -> Option<Run> {
        let run = self.unit_mut(key)?.run.take_if(|run| *run.worker == *worker)?;
        let job = self.jobs.get_mut(&key.job);
        let team = job.and_then(|job| {
            job.may_have_waiting_units = true;
            job.record.team.clone()
        });
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.remove_run(key, &run, now);
        }
        if let Some(team) = team
            && let Some(used) = self.team_usage.get_mut(&team)
        {
            *used -= run.requested;
        }
        if let Some(unit) = self.unit_mut(key) {
            unit.last_unavailable_at = now;
            if end.evidence().may_have_begun() {
                unit.ended_run = Some(Box::new(EndedRun {
                    number: run.number,
                    worker: run.worker.clone(),
                    evidence: end.evidence(),
                    at: now,
                }));
            }
        }
        self.needs_placement = true;
        Some(run)
    }
}

/// Maximum age of a worker's last reply for its lease to be renewed. It exceeds the time between
/// two polls of a worker whose completions wait to be stored.
const LEASE_CONTACT_AGE_MAX: Duration = Duration::from_millis(1_200);

/// Number of run numbers of a unit that belong to one epoch; the next owner's numbers are higher.
const RUNS_PER_EPOCH: u64 = 64;

/// Returns the run number that all runs of an owner exceed.
fn run_number_base(epoch: u64) -> u32 {
    u32::try_from(epoch.saturating_sub(1) * RUNS_PER_EPOCH).unwrap_or(u32::MAX / 2)
}
