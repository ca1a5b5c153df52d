//! A scheduler and simulated workers in virtual time; the tests decide how the workers behave.
#![allow(dead_code, reason = "each test binary uses a part")]

#[path = "simulated_worker.rs"]
mod simulated_worker;

use std::sync::Arc;
use std::time::Duration;

use scheduler::Action;
use scheduler::AssignmentRow;
use scheduler::BaselineHosts;
use scheduler::BatchLimits;
use scheduler::Config;
use scheduler::DurationsRow;
use scheduler::FencingToken;
use scheduler::HostCommandRow;
use scheduler::HostEntry;
use scheduler::HostState;
use scheduler::JobRecord;
use scheduler::Moment;
use scheduler::Policies;
use scheduler::Policy;
use scheduler::Pool;
use scheduler::Progress;
use scheduler::Queue;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::Scheduler;
use scheduler::SentPoll;
use scheduler::Settings;
use scheduler::SortedMap;
use scheduler::StartCommand;
use scheduler::StartReply;
use scheduler::Step;
use scheduler::Team;
use scheduler::UnitKey;
use scheduler::WaveId;
use scheduler::WaveRow;
use scheduler::WorkerId;
use scheduler::WorkerRegistration;
use scheduler::WorkerReport;

pub use simulated_worker::SimulatedWorker;

/// Unix time in milliseconds at which the clock of [`Moment`] shows zero.
pub const UNIX_MS: u64 = 1_700_000_000_000;

/// A scheduler, its workers and its store.
pub struct Simulation {
    pub scheduler: Scheduler,
    pub workers: Vec<SimulatedWorker>,
    pub stored_progress: SortedMap<Arc<str>, Progress>,
    pub assignments: SortedMap<WorkerId, AssignmentRow>,
    pub baseline_hosts: BaselineHosts,
    pub host_commands: Vec<HostCommandRow>,
    pub waves: SortedMap<WaveId, WaveRow>,
    pub durations: Option<DurationsRow>,
    pub policies: Policies,
    pub now: Moment,
    /// How far the time of day of the next owner is behind.
    pub clock_behind: Duration,
    /// All but starts and stops.
    pub other_actions: Vec<Action>,
}

/// Maximum number of bytes of a batch.
pub const BATCH_BYTES_MAX: usize = 400_000;

pub fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

pub fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns a configuration with one queue `q` on the pool `p`, one spare pool and one team `t`.
pub fn config(attempts_max: u32, quota: Resources) -> Arc<Config> {
    let queue = Queue {
        pool: "p".into(),
        priority: 0,
        attempts_max,
        stretch: 1.6,
        deadline_slack: millis(600),
        advice: None,
    };
    Arc::new(Config {
        version: 1,
        queues: [("q".into(), queue)].into_iter().collect(),
        pools: [("p".into(), Pool::default()), ("spare".into(), Pool { is_spare: true })]
            .into_iter()
            .collect(),
        teams: [("t".into(), Team { rate_share: 0.0, quota })].into_iter().collect(),
    })
}

pub fn registration(id: &str) -> WorkerRegistration {
    WorkerRegistration {
        id: id.into(),
        incarnation_started_ms: 1,
        pool: "p".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "z".into(),
        labels: vec!["a".to_owned(), "r1-1".to_owned()].into(),
        capacity: Resources { cpu_millis: 16_000, memory_mb: 32_768, gpus: 0 },
        is_draining: false,
        cold_left: Duration::ZERO,
        clock_ms: 0,
        host: None,
    }
}

pub fn step(count: u32, cpu_millis: u64) -> Step {
    Step {
        count,
        requested: Resources { cpu_millis, memory_mb: 1_000, gpus: 0 },
        estimate_ms: 800,
        ..Step::default()
    }
}

pub fn job(id: &str, steps: Vec<Step>, accepted_at: Moment) -> Arc<JobRecord> {
    Arc::new(JobRecord {
        id: id.into(),
        queue: "q".into(),
        pool: "p".into(),
        team: Some("t".into()),
        spec: "spec".into(),
        steps,
        accepted_ms: UNIX_MS + accepted_at.as_millis() as u64,
        ..JobRecord::default()
    })
}

/// Returns a job that was accepted under a configuration.
pub fn accepted_job(
    config: &Config,
    id: &str,
    steps: Vec<Step>,
    accepted_at: Moment,
) -> Arc<JobRecord> {
    let record = job(id, steps, accepted_at);
    let queue_settings = config.queues.get(&record.queue).cloned().map(Box::new);
    Arc::new(JobRecord { queue_settings, ..(*record).clone() })
}

pub fn unit(job: &str, step: usize, index: usize) -> UnitKey {
    UnitKey { job: job.into(), occurrence: 0, step, index }
}

impl Simulation {
    /// Creates an owner of epoch 1 whose workers have all replied.
    pub fn new(ids: &[&str], config: Arc<Config>) -> Self {
        Self::with_policies(ids, config, &[])
    }

    /// Creates an owner of epoch 1 for which these policies are enabled.
    pub fn with_policies(ids: &[&str], config: Arc<Config>, policies: &[Policy]) -> Self {
        let now = seconds(100);
        let workers = ids.iter().map(|id| SimulatedWorker::new(id));
        let mut sim = Self {
            scheduler: Scheduler::default(),
            workers: workers.collect(),
            stored_progress: SortedMap::default(),
            assignments: SortedMap::default(),
            baseline_hosts: BaselineHosts::default(),
            host_commands: Vec::new(),
            waves: SortedMap::default(),
            durations: None,
            policies: policies.iter().copied().collect(),
            now,
            clock_behind: Duration::ZERO,
            other_actions: Vec::new(),
        };
        sim.scheduler = sim.owner(1, config, Duration::ZERO);
        sim.report_all();
        sim.commit();
        sim
    }

    fn owner(&self, epoch: u64, config: Arc<Config>, lease_left: Duration) -> Scheduler {
        let unix_now_ms = UNIX_MS + (self.now - self.clock_behind).as_millis() as u64;
        let settings = Settings { policies: self.policies.clone(), ..Settings::default() };
        let mut scheduler = Scheduler::new(settings, epoch, unix_now_ms, self.now);
        scheduler.set_config(config);
        let registrations = self.workers.iter().map(SimulatedWorker::registration).collect();
        scheduler.set_workers(registrations, lease_left, self.now);
        scheduler
    }

    /// Replaces the owner with a successor that restores the stored state.
    pub fn take_over(
        &mut self,
        epoch: u64,
        config: Arc<Config>,
        lease_left: Duration,
        jobs: &[Arc<JobRecord>],
    ) {
        self.scheduler = self.owner(epoch, config, lease_left);
        for record in jobs {
            let progress = self.stored_progress.get(&record.id).cloned().unwrap_or_default();
            self.scheduler.restore_job(record.clone(), &progress, self.now);
        }
        self.scheduler.restore_baseline_hosts(self.baseline_hosts.clone());
        self.scheduler.restore_host_commands(self.host_commands.clone(), self.now);
        for (wave, row) in self.waves.iter() {
            self.scheduler.restore_wave(*wave, row.clone());
        }
        if let Some(durations) = self.durations.clone() {
            self.scheduler.restore_durations(durations, self.now);
        }
        let assignments = self.assignments.clone();
        self.scheduler.restore_assignments(assignments, lease_left, self.now);
    }

    pub fn worker(&mut self, id: &str) -> &mut SimulatedWorker {
        self.workers
            .iter_mut()
            .find(|worker| *worker.id == *id)
            .expect("a worker of the simulation")
    }

    /// Adds a worker that the next owner finds in the registry.
    pub fn add_worker(&mut self, id: &str) {
        self.workers.push(SimulatedWorker::new(id));
    }

    /// Starts a crashed worker again under the same identifier.
    pub fn restart_worker(&mut self, id: &str) {
        self.worker(id).restart();
        let registration = self.worker(id).registration();
        self.scheduler.update_worker(registration, Duration::ZERO, self.now);
    }

    /// Starts a crashed worker again under another identifier, at the same address.
    pub fn replace_worker(&mut self, id: &str, replacement: &str) {
        self.workers.retain(|worker| *worker.id != *id);
        self.workers.push(SimulatedWorker::new(replacement));
        let token = self.poll(id).token;
        self.scheduler.handle_worker_gone(&id.into(), token, "another instance answers", self.now);
        self.scheduler.unregister_worker(id);
        self.scheduler.update_worker(registration(replacement), Duration::ZERO, self.now);
    }

    /// Sends the reports of all responsive workers.
    pub fn report_all(&mut self) {
        let ids: Vec<WorkerId> = self.workers.iter().map(|worker| worker.id.clone()).collect();
        for id in ids {
            self.report(&id);
        }
    }

    /// Sends the report of a worker, if it is responsive.
    pub fn report(&mut self, id: &str) {
        let now = self.now;
        let poll = self.poll(id);
        let worker = self.worker(id);
        if !worker.is_responsive || !worker.accepts_token(poll.token) {
            return;
        }
        let report = WorkerReport {
            incarnation_started_ms: worker.incarnation_started_ms,
            clock_ms: worker.clock_ms(now),
            running: worker.running.clone(),
            completions: worker.listed_completions(),
        };
        self.scheduler.handle_report(&id.into(), &report, poll, self.now);
    }

    /// Returns a poll that the owner sends now.
    pub fn poll(&self, id: &str) -> SentPoll {
        let worker = self.scheduler.worker(id);
        SentPoll {
            token: worker.map_or(0, |worker| worker.token),
            acknowledged_completion: worker
                .map_or(0, |worker| self.scheduler.completion_to_acknowledge(worker)),
            is_acknowledgement_withheld: false,
            sent_at: self.now,
        }
    }

    /// Commits all changes that are not stored yet.
    pub fn commit(&mut self) {
        self.commit_with_limit(100);
    }

    /// Commits all changes that are not stored yet, in batches with at most `progress_rows_max`
    /// rows for the progress of jobs.
    pub fn commit_with_limit(&mut self, progress_rows_max: usize) {
        let limits = BatchLimits { rows_max: 100, progress_rows_max, bytes_max: BATCH_BYTES_MAX };
        while self.commit_batch(limits) {}
    }

    /// Commits one batch of changes. Returns false if there are none.
    pub fn commit_batch(&mut self, limits: BatchLimits) -> bool {
        let batch = self.scheduler.take_batch(limits, self.now);
        assert!(batch.row_count() <= limits.rows_max);
        if batch.has_no_writes() && batch.completions.is_empty() {
            return false;
        }
        for (id, progress) in &batch.progress {
            self.stored_progress.insert(id.clone(), progress.clone());
        }
        for (id, row) in &batch.assignments {
            self.assignments.insert(id.clone(), row.clone());
        }
        for id in &batch.assignments_to_remove {
            self.assignments.remove(id);
        }
        if let Some(baseline_hosts) = &batch.baseline_hosts {
            self.baseline_hosts = baseline_hosts.clone();
        }
        if let Some(host_commands) = &batch.host_commands {
            self.host_commands = host_commands.clone();
        }
        for (wave, row) in &batch.waves {
            self.waves.insert(*wave, row.clone());
        }
        self.durations = batch.durations.clone().or(self.durations.take());
        self.scheduler.handle_commit(&batch, self.now);
        for completions in &batch.completions {
            self.worker(&completions.worker)
                .completions
                .retain(|completion| completion.number > completions.number);
        }
        true
    }

    /// Runs one round of decisions and commits the changes. Responsive workers start and stop runs
    /// at once. Returns the start commands.
    pub fn run_round(&mut self) -> Vec<StartCommand> {
        self.scheduler.plan(self.now);
        self.commit();
        self.carry_out_actions()
    }

    /// Carries out the actions that were decided, without committing anything. Returns the start
    /// commands.
    pub fn carry_out_actions(&mut self) -> Vec<StartCommand> {
        let mut starts = Vec::new();
        for action in self.scheduler.take_actions() {
            match action {
                Action::Start(command) => {
                    self.start(&command);
                    starts.push(command);
                }
                Action::Stop { worker, unit, run, token, .. } => {
                    self.stop(&worker, &unit, run, token)
                }
                other => self.other_actions.push(other),
            }
        }
        starts
    }

    fn start(&mut self, command: &StartCommand) {
        let now = self.now;
        let worker = self.worker(&command.worker);
        let reply = if worker.is_responsive && worker.accepts_token(command.token) {
            worker.add_run(&command.unit, command.run);
            StartReply::Started { clock_ms: worker.clock_ms(now) }
        } else {
            StartReply::Unknown
        };
        self.scheduler.handle_start_reply(
            &command.worker,
            &command.unit,
            command.run,
            command.token,
            reply,
            self.now,
        );
    }

    fn stop(&mut self, id: &str, unit: &UnitKey, run: u32, token: FencingToken) {
        let now = self.now;
        let worker = self.worker(id);
        let is_responsive = worker.is_responsive;
        let is_running = worker.running.iter().any(|r| r.unit == *unit && r.run == run);
        if is_responsive && is_running {
            worker.complete_run(unit, RunOutcome::Stopped);
        }
        let id = worker.id.clone();
        self.scheduler.handle_stop_reply(&id, unit, run, token, is_responsive, now);
    }

    /// Ends the run of a unit, on whichever worker it is.
    pub fn complete_run(&mut self, unit: &UnitKey, outcome: RunOutcome) {
        let runs = |worker: &&mut SimulatedWorker| worker.running.iter().any(|r| r.unit == *unit);
        let worker = self.workers.iter_mut().find(runs).expect("the unit runs");
        worker.complete_run(unit, outcome);
    }

    /// Ends the run of a unit, with a checkpoint.
    pub fn complete_run_with(&mut self, unit: &UnitKey, outcome: RunOutcome, checkpoint: String) {
        let runs = |worker: &&mut SimulatedWorker| worker.running.iter().any(|r| r.unit == *unit);
        let worker = self.workers.iter_mut().find(runs).expect("the unit runs");
        let running = worker.running.iter_mut().find(|r| r.unit == *unit);
        running.expect("the unit runs here").checkpoint = checkpoint;
        worker.complete_run(unit, outcome);
    }

    /// Advances the time. Every 200 ms all runs make progress, so that none counts as stalled,
    /// workers report and the owner makes a round of decisions. Returns the start commands.
    pub fn run_for(&mut self, time: Duration) -> Vec<StartCommand> {
        let until = self.now + time;
        let mut starts = Vec::new();
        while self.now < until {
            self.now += millis(200);
            for running in self.workers.iter_mut().flat_map(|worker| &mut worker.running) {
                running.progress_percent = (running.progress_percent + 1) % 99;
            }
            self.report_all();
            self.commit();
            starts.extend(self.run_round());
        }
        starts
    }
}

impl Simulation {
    /// Sets the platform's list to hosts of the pool `p`, each with its worker.
    pub fn list_hosts_in_pool(&mut self, hosts: &[(&str, &str)]) {
        let in_pool = hosts.iter().map(|(name, worker)| (*name, "p", *worker));
        self.list_hosts(&in_pool.collect::<Vec<(&str, &str, &str)>>());
    }

    /// Sets the platform's list to hosts with their pools and workers.
    pub fn list_hosts(&mut self, hosts: &[(&str, &str, &str)]) {
        let host = |(name, pool, worker): &(&str, &str, &str)| HostEntry {
            name: (*name).into(),
            pool: (*pool).into(),
            state: HostState::Up,
            worker: (!worker.is_empty()).then(|| (*worker).into()),
        };
        self.scheduler.set_hosts(hosts.iter().map(host).collect(), self.now, self.now);
    }
}
