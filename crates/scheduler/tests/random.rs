//! Invariants under random jobs, workers, completions, cancellations, crashes and takeovers,
//! checked after each event.
//!
//! A seed that has ever failed stays in [`REGRESSIONS`], with its cause.

#[path = "common/simulation.rs"]
mod simulation;

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rstest::rstest;
use scheduler::CancelOutcome;
use scheduler::Config;
use scheduler::FinalState;
use scheduler::JobRecord;
use scheduler::JobView;
use scheduler::Moment;
use scheduler::Policy;
use scheduler::PollFailure;
use scheduler::Queue;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::RunStatus;
use scheduler::SortedMap;
use scheduler::StartCommand;
use scheduler::Step;
use scheduler::Team;
use scheduler::TeamName;
use scheduler::UnitKey;
use scheduler::WorkerId;
use simulation::SimulatedWorker;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::registration;
use simulation::step;

/// Seeds that failed once. The causes, in order: the next owner did not count the runs of an ended
/// job on an unresponsive worker against the team's quota, nor the runs of a gang of which one unit
/// had finished, nor a run of a unit that another run had finished.
const REGRESSIONS: [u64; 3] = [2, 208, 2_069];
const SEEDS: u64 = 60;
const EVENTS: usize = 150;
const ATTEMPTS_MAX: u32 = 3;
const LEASE: Duration = Duration::from_secs(5);
const QUOTA: Resources = Resources { cpu_millis: 40_000, memory_mb: 60_000, gpus: 0 };
/// Number of crashed workers under a unit after which it must not start again.
const CRASHES_MAX: usize = 5;
/// Number of crashed workers under a unit from which its job may fail.
const CRASHES_MIN_TO_FAIL: usize = 2;
const WORKERS: [&str; 4] = ["w1", "w2", "w3", "w4"];

/// A simulation, and what is true of it regardless of what its owner knows.
struct RandomTest {
    sim: Simulation,
    config: Arc<Config>,
    rng: StdRng,
    jobs: Vec<Arc<JobRecord>>,
    cancelled: Vec<Arc<str>>,
    /// Units that have succeeded.
    succeeded: SortedMap<UnitKey, ()>,
    /// Completions that workers still list: worker, number, unit and outcome.
    unacknowledged: Vec<(WorkerId, u64, UnitKey, RunOutcome)>,
    /// Units whose success was acknowledged to the worker.
    acknowledged: SortedMap<UnitKey, ()>,
    /// Number of acknowledged failures by unit.
    failures_by_unit: SortedMap<UnitKey, u32>,
    /// Deadline of the lease of each worker, by its clock in milliseconds.
    lease_deadline_ms: SortedMap<&'static str, u64>,
    /// Crashed workers and when they start again.
    down: Vec<(&'static str, Moment)>,
    /// Workers that have crashed under a unit, with the unit; once for each crash.
    crashes: Vec<UnitKey>,
    epoch: u64,
}

impl RandomTest {
    fn new(seed: u64) -> Self {
        Self::with_policies(seed, config(ATTEMPTS_MAX, QUOTA), &[])
    }

    fn with_policies(seed: u64, config: Arc<Config>, policies: &[Policy]) -> Self {
        Self {
            sim: Simulation::with_policies(&WORKERS, config.clone(), policies),
            config,
            rng: StdRng::seed_from_u64(seed),
            jobs: Vec::new(),
            cancelled: Vec::new(),
            succeeded: SortedMap::default(),
            unacknowledged: Vec::new(),
            acknowledged: SortedMap::default(),
            failures_by_unit: SortedMap::default(),
            lease_deadline_ms: WORKERS.iter().map(|id| (*id, 0)).collect(),
            down: Vec::new(),
            crashes: Vec::new(),
            epoch: 1,
        }
    }

    fn random_event(&mut self) {
        match self.rng.random_range(0..100) {
            0..20 => self.submit(),
            20..50 => self.complete_random_run(),
            50..54 => self.cancel_random_job(),
            54..60 => self.toggle_responsive(),
            60..63 => self.take_over(),
            63..65 => self.crash_random_worker(),
            _ => {}
        }
        self.advance();
    }

    fn submit(&mut self) {
        let id = format!("{:016x}", self.rng.random_range(0..u64::MAX));
        let mut steps: Vec<Step> = Vec::new();
        for index in 0..self.rng.random_range(1..4_usize) {
            let count = self.rng.random_range(1..5);
            let mut step = step(count, self.rng.random_range(500..6_000));
            step.depends_on = (0..index).filter(|_| self.rng.random_bool(0.6)).collect();
            step.is_gang = count > 1 && self.rng.random_bool(0.2);
            step.per_worker_max = if self.rng.random_bool(0.3) { 2 } else { 0 };
            steps.push(step);
        }
        let mut record = job(&id, steps, self.sim.now);
        if self.config.queues.len() > 1 && self.rng.random_bool(0.7) {
            let (queue, team) = ("batch".into(), Some("t2".into()));
            record = Arc::new(JobRecord { queue, team, ..(*record).clone() });
        }
        self.sim.scheduler.add_job(record.clone(), self.sim.now);
        self.jobs.push(record);
    }

    /// Returns the units that are running, on any worker.
    fn running(&self) -> Vec<UnitKey> {
        let running = self.sim.workers.iter().flat_map(|worker| &worker.running);
        running.map(|running| running.unit.clone()).collect()
    }

    fn complete_random_run(&mut self) {
        let running = self.running();
        let Some(unit) = running.choose(&mut self.rng).cloned() else {
            return;
        };
        // Few units fail, but units of some jobs always do.
        let has_failed = self.rng.random_bool(0.1) || unit.job.ends_with('0');
        let outcome = if has_failed { RunOutcome::Failed } else { RunOutcome::Done };
        self.complete_run(&unit, outcome);
    }

    fn complete_run(&mut self, unit: &UnitKey, outcome: RunOutcome) {
        if outcome == RunOutcome::Done {
            self.succeeded.insert(unit.clone(), ());
        }
        let runs = |worker: &&SimulatedWorker| worker.running.iter().any(|r| r.unit == *unit);
        let worker = self.sim.workers.iter().find(runs).expect("the unit runs");
        self.unacknowledged.push((
            worker.id.clone(),
            worker.completion_count + 1,
            unit.clone(),
            outcome,
        ));
        self.sim.complete_run(unit, outcome);
    }

    /// Records the completions that workers do not list any more.
    fn record_acknowledged(&mut self) {
        for (id, number, unit, outcome) in std::mem::take(&mut self.unacknowledged) {
            let worker = self.sim.worker(&id);
            if worker.completions.iter().any(|completion| completion.number == number) {
                self.unacknowledged.push((id, number, unit, outcome));
            } else if outcome == RunOutcome::Done {
                self.acknowledged.insert(unit, ());
            } else {
                *self.failures_by_unit.entry_or(unit, || 0) += 1;
            }
        }
    }

    fn cancel_random_job(&mut self) {
        if let Some(record) = self.jobs.choose(&mut self.rng).cloned()
            && self.sim.scheduler.cancel(&record.id) == CancelOutcome::Pending
        {
            self.cancelled.push(record.id.clone());
        }
    }

    fn crash_random_worker(&mut self) {
        let id = *WORKERS.choose(&mut self.rng).expect("there are workers");
        self.crash(id);
    }

    fn crash(&mut self, id: &'static str) {
        if self.is_down(id) {
            return;
        }
        let worker = self.sim.worker(id);
        let lost_units = worker.running.iter().map(|running| running.unit.clone());
        self.crashes.extend(lost_units);
        worker.crash();
        self.unacknowledged.retain(|(worker, ..)| **worker != *id);
        self.lease_deadline_ms.insert(id, 0);
        let outage = millis(self.rng.random_range(1_000..8_000));
        self.down.push((id, self.sim.now + outage));
    }

    fn is_down(&self, id: &str) -> bool {
        self.down.iter().any(|(down, _)| *down == id)
    }

    fn restart_workers(&mut self) {
        let now = self.sim.now;
        for (id, _) in self.down.iter().filter(|(_, at)| now >= *at) {
            self.sim.restart_worker(id);
        }
        self.down.retain(|(_, at)| now < *at);
    }

    fn crashes_under(&self, unit: &UnitKey) -> usize {
        self.crashes.iter().filter(|crashed| *crashed == unit).count()
    }

    fn toggle_responsive(&mut self) {
        let id = WORKERS.choose(&mut self.rng).expect("there are workers");
        if self.is_down(id) {
            return;
        }
        let worker = self.sim.worker(id);
        worker.is_responsive = !worker.is_responsive;
    }

    fn take_over(&mut self) {
        self.epoch += 1;
        let lease_left = LEASE + millis(500);
        let config = self.config.clone();
        self.sim.take_over(self.epoch, config, lease_left, &self.jobs.clone());
    }

    /// Advances the time by 200 ms, in which workers report, and the owner stores, decides and
    /// sends commands.
    fn advance(&mut self) {
        self.sim.now += millis(200);
        let now = self.sim.now;
        self.restart_workers();
        for id in WORKERS {
            let deadline_before_ms = self.lease_deadline_ms.get(id).copied().unwrap_or_default();
            let worker = self.sim.worker(id);
            if worker.is_responsive {
                let requested_ms = self.sim.scheduler.request_lease(id, now).unwrap_or_default();
                self.lease_deadline_ms.insert(id, deadline_before_ms.max(requested_ms));
            } else {
                if now.as_millis() as u64 > deadline_before_ms {
                    worker.running.clear();
                }
                self.sim.scheduler.handle_failed_poll(&id.into(), PollFailure::NoReply, now);
            }
        }
        for running in self.sim.workers.iter_mut().flat_map(|worker| &mut worker.running) {
            running.progress_percent = (running.progress_percent + 1) % 99;
        }
        self.sim.report_all();
        let progress_rows = self.rng.random_range(0..4);
        if progress_rows > 0 {
            self.sim.commit_with_limit(progress_rows * 2);
        }
        self.record_acknowledged();
        let starts = self.sim.run_round();
        for start in &starts {
            self.check_start(start);
        }
        for start in &starts {
            let id = WORKERS
                .into_iter()
                .find(|id| **id == *start.worker)
                .expect("a worker of the simulation");
            let deadline_before_ms = self.lease_deadline_ms.get(id).copied().unwrap_or_default();
            self.lease_deadline_ms.insert(id, deadline_before_ms.max(start.deadline_ms));
            let runs = |running: &RunStatus| running.unit == start.unit;
            if is_harmful(&start.unit.job) && self.sim.worker(id).running.iter().any(runs) {
                self.crash(id);
            }
        }
        self.check_invariants();
    }

    fn check_start(&self, start: &StartCommand) {
        let unit = &start.unit;
        let record =
            self.jobs.iter().find(|record| record.id == unit.job).expect("a submitted job");
        let step = &record.steps[unit.step];
        assert!(
            !self.acknowledged.contains(unit),
            "started after its completion was acknowledged: {unit}"
        );
        let failures = self.failures_by_unit.get(unit).copied().unwrap_or(0);
        assert!(failures < ATTEMPTS_MAX, "started after {failures} failures: {unit}");
        let crashes = self.crashes_under(unit);
        let is_within_limit = !is_harmful(&unit.job) || crashes < CRASHES_MAX;
        assert!(is_within_limit, "started after {crashes} workers had crashed under it: {unit}");
        for dependency in &step.depends_on {
            let count = record.steps[*dependency].count as usize;
            let is_done = |index| {
                let key = UnitKey { step: *dependency, index, ..unit.clone() };
                // One successful unit of a gang finishes all of it.
                self.succeeded.contains(&key) || self.is_gang(&key)
            };
            assert!((0..count).all(is_done), "{unit} started before step {dependency} finished");
        }
    }

    fn is_gang(&self, unit: &UnitKey) -> bool {
        let record = self.jobs.iter().find(|record| record.id == unit.job);
        record.is_some_and(|record| record.steps[unit.step].is_gang)
    }

    fn check_invariants(&self) {
        let mut team_usage: SortedMap<Option<TeamName>, Resources> = SortedMap::default();
        let mut running_units: Vec<&UnitKey> = Vec::new();
        for worker in &self.sim.workers {
            let mut used = Resources::default();
            for running in &worker.running {
                let record = self.jobs.iter().find(|record| record.id == running.unit.job);
                let record = record.expect("a submitted job");
                let step = &record.steps[running.unit.step];
                used += step.requested;
                *team_usage.entry_or(record.team.clone(), Resources::default) += step.requested;
                let same = worker.running.iter().filter(|other| {
                    other.unit.job == running.unit.job && other.unit.step == running.unit.step
                });
                let per_worker_max = step.per_worker_max as usize;
                assert!(
                    per_worker_max == 0 || same.count() <= per_worker_max,
                    "too many units of a step on {}",
                    worker.id
                );
                running_units.push(&running.unit);
            }
            let capacity = registration(&worker.id).capacity;
            assert!(used.fits_in(&capacity), "{} exceeds its capacity: {used:?}", worker.id);
        }
        let are_within = team_usage.values().all(|usage| usage.is_within(&QUOTA));
        assert!(are_within, "a team exceeds its quota: {team_usage:?}");
        running_units.sort();
        for runs in running_units.chunk_by(|a, b| a == b) {
            assert_eq!(runs.len(), 1, "{} runs {} times at once", runs[0], runs.len());
        }
    }

    /// Makes all workers responsive and completes all runs: every job must end.
    fn finish_all_jobs(&mut self) {
        for id in WORKERS {
            let is_responsive = !self.is_down(id);
            self.sim.worker(id).is_responsive = is_responsive;
        }
        for _ in 0..400 {
            self.advance();
            let running = self.running();
            for unit in running {
                // The other units of its gang may have been stopped with it.
                let is_running =
                    self.sim.workers.iter().any(|w| w.running.iter().any(|r| r.unit == unit));
                if is_running {
                    self.complete_run(&unit, RunOutcome::Done);
                }
            }
        }
        self.sim.commit();
        for record in &self.jobs {
            let view = self.sim.scheduler.view(&record.id);
            let Some(JobView::Ended(state)) = view else {
                panic!("{} is {view:?}", record.id);
            };
            assert!(
                state != FinalState::Failed || self.may_fail(record),
                "{} failed without cause",
                record.id
            );
            assert!(
                state != FinalState::Completed || !is_harmful(&record.id),
                "{} cannot complete",
                record.id
            );
        }
    }

    fn may_fail(&self, record: &JobRecord) -> bool {
        let is_of_job = |unit: &UnitKey| unit.job == record.id;
        let mut crashed = self.crashes.iter().filter(|unit| is_of_job(unit));
        self.failures_by_unit.iter().any(|(unit, _)| is_of_job(unit))
            || crashed.any(|unit| self.crashes_under(unit) >= CRASHES_MIN_TO_FAIL)
    }
}

/// Returns true if the units of a job crash each worker that starts them.
fn is_harmful(job: &str) -> bool {
    job.ends_with('1')
}

/// Returns a configuration with an urgent queue and another one, and two teams with weights.
fn config_with_two_queues() -> Arc<Config> {
    let mut config = (*config(ATTEMPTS_MAX, QUOTA)).clone();
    let queue = config.queues.get("q").expect("a queue").clone();
    config.queues.insert("batch".into(), Queue { priority: 5, ..queue });
    let weights = [("t", 1.0), ("t2", 2.0)];
    let team = |rate_share: f64| Team { rate_share, quota: QUOTA };
    config.teams = weights.map(|(name, weight)| (name.into(), team(weight))).into_iter().collect();
    Arc::new(config)
}

/// Plays random events; returns the test after its end.
fn run_random_test(mut test: RandomTest) -> RandomTest {
    for _ in 0..EVENTS {
        test.random_event();
    }
    test.finish_all_jobs();
    test
}

#[test]
fn invariants_hold_under_random_events() {
    for seed in REGRESSIONS.into_iter().chain(0..SEEDS) {
        println!("seed {seed}");
        run_random_test(RandomTest::new(seed));
    }
}

/// Guards against policies that break the invariants together.
#[test]
fn invariants_hold_with_all_policies() {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        run_random_test(RandomTest::with_policies(seed, config_with_two_queues(), &Policy::ALL));
    }
}

#[rstest]
#[ignore = "long: more seeds, run by hand"]
fn invariants_hold_under_many_random_events() {
    for seed in 0..5_000 {
        println!("seed {seed}");
        run_random_test(RandomTest::new(seed));
        run_random_test(RandomTest::with_policies(seed, config_with_two_queues(), &Policy::ALL));
    }
}
