//! Workers that become slow, and those that only seem so.

#[path = "common/simulation.rs"]
mod simulation;

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use scheduler::Action;
use scheduler::Config;
use scheduler::JobRecord;
use scheduler::Moment;
use scheduler::Policy;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::SortedMap;
use scheduler::StartCommand;
use scheduler::Step;
use scheduler::UnitKey;
use scheduler::WorkerId;
use scheduler::WorkerRegistration;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::registration;
use simulation::seconds;
use simulation::step;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };
const WORKERS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
const TICK: Duration = Duration::from_millis(200);
/// Duration of a unit on a worker of normal speed.
const UNIT_TIME: Duration = Duration::from_secs(1);

/// Workers whose units make progress at the speed of each worker.
struct Fleet {
    sim: Simulation,
    slow: Vec<WorkerId>,
    /// Speed of the slow workers as a fraction of the normal one.
    speed: f64,
    /// Time at normal speed that each run has been given.
    done: SortedMap<(UnitKey, u32), f64>,
    jobs: usize,
}

/// Returns a configuration with a second queue whose jobs can wait, also for those of the first.
fn config_with_patient_queue() -> Arc<Config> {
    let mut config = (*config(3, NO_QUOTA)).clone();
    let mut queue = config.queues.get("q").unwrap().clone();
    queue.deadline_slack = seconds(60);
    queue.priority = 5;
    config.queues.insert("patient".into(), queue);
    Arc::new(config)
}

fn unit_step() -> Step {
    step(1, 4_000)
}

impl Fleet {
    /// Creates workers that have all run enough units to know how long these take.
    fn new(policies: &[Policy]) -> Self {
        let sim = Simulation::with_policies(&WORKERS, config_with_patient_queue(), policies);
        let done = SortedMap::default();
        let mut fleet = Self { sim, slow: Vec::new(), speed: 1.0, done, jobs: 0 };
        fleet.submit(16, unit_step());
        fleet.advance(seconds(3), 0);
        fleet
    }

    /// Creates a fleet in which the worker `a` has just been found slow, with a number of jobs in
    /// each tick.
    fn with_slow_worker(jobs_per_tick: usize) -> Self {
        let mut fleet = Self::new(&[Policy::WorkerSpeeds]);
        fleet.make_slow(&["a"], 0.125);
        fleet.advance(seconds(6), jobs_per_tick);
        assert_eq!(fleet.take_decisions("worker slow"), ["a"]);
        fleet
    }

    /// Lets the time pass in a full pool until the worker `a` has no runs left.
    fn drain_slow_worker(&mut self) {
        while self.runs_on("a") > 0 {
            self.advance(TICK, 9);
        }
    }

    /// Submits jobs of one unit each.
    fn submit(&mut self, count: usize, step: Step) {
        for _ in 0..count {
            self.jobs += 1;
            let record = job(&format!("j{:05}", self.jobs), vec![step.clone()], self.sim.now);
            self.sim.scheduler.add_job(record, self.sim.now);
        }
    }

    /// Submits a job to the queue whose jobs can wait.
    fn submit_patient(&mut self, id: &str, step: Step) {
        let record = job(id, vec![step], self.sim.now);
        let record = JobRecord { queue: "patient".into(), ..(*record).clone() };
        self.sim.scheduler.add_job(Arc::new(record), self.sim.now);
    }

    /// Lets the time pass; `jobs_per_tick` are submitted in each tick. Returns the start commands.
    fn advance(&mut self, time: Duration, jobs_per_tick: usize) -> Vec<StartCommand> {
        let until = self.sim.now + time;
        let mut starts = Vec::new();
        while self.sim.now < until {
            self.sim.now += TICK;
            self.make_progress();
            self.sim.report_all();
            self.sim.commit();
            self.submit(jobs_per_tick, unit_step());
            starts.extend(self.sim.run_round());
        }
        starts
    }

    fn make_progress(&mut self) {
        let mut ended = Vec::new();
        for worker in &mut self.sim.workers {
            let speed = if self.slow.contains(&worker.id) { self.speed } else { 1.0 };
            for run in &mut worker.running {
                let done = self.done.entry_or((run.unit.clone(), run.run), || 0.0);
                *done += TICK.as_secs_f64() * speed;
                let unit_time = unit_time(&run.unit).as_secs_f64();
                run.progress_percent = (*done * 100.0 / unit_time + 0.01).min(100.0) as u32;
                if run.progress_percent == 100 {
                    ended.push(run.unit.clone());
                }
            }
        }
        for unit in ended {
            self.sim.complete_run(&unit, RunOutcome::Done);
        }
    }

    fn make_slow(&mut self, ids: &[&str], speed: f64) {
        self.slow = ids.iter().map(|id| WorkerId::from(*id)).collect();
        self.speed = speed;
    }

    /// Returns the subjects of the logged decisions of one kind, and forgets all decisions.
    fn take_decisions(&mut self, wanted: &str) -> Vec<String> {
        let decision = |action| match action {
            Action::LogDecision { what, subject, .. } if what == wanted => Some(subject),
            _ => None,
        };
        self.sim.other_actions.drain(..).filter_map(decision).collect()
    }

    /// Returns the number of runs on a worker.
    fn runs_on(&mut self, id: &str) -> usize {
        self.sim.worker(id).running.len()
    }
}

/// Returns how long a unit takes at normal speed, by the name of its job.
fn unit_time(unit: &UnitKey) -> Duration {
    match &unit.job {
        job if job.starts_with("heavy") => UNIT_TIME * 7,
        job if job.starts_with("far") => UNIT_TIME * 10,
        _ => UNIT_TIME,
    }
}

fn starts_on(starts: &[StartCommand], id: &str) -> usize {
    starts.iter().filter(|start| *start.worker == *id).count()
}

/// An eighth of the speed on one worker: it is found within seconds and gets no more units while
/// other workers have capacity. Without the policy it goes on as before.
#[rstest]
#[case::on(&[Policy::WorkerSpeeds], &["a"])]
#[case::off(&[], &[])]
fn a_slow_worker_is_found_and_avoided(#[case] policies: &[Policy], #[case] found: &[&str]) {
    let mut fleet = Fleet::new(policies);
    fleet.advance(seconds(3), 4);
    assert_eq!(fleet.take_decisions("worker slow"), [""; 0]);
    fleet.make_slow(&["a"], 0.125);
    // 20 units a second keep five workers busy.
    fleet.advance(seconds(6), 4);
    assert_eq!(fleet.take_decisions("worker slow"), found);
    let starts = fleet.advance(seconds(6), 4);
    assert_eq!(starts_on(&starts, "a") == 0, !found.is_empty());
    assert!(starts.len() >= 110, "{} starts", starts.len());
}

/// In a full pool, what is late waits for a worker of normal speed, and what can wait runs on the
/// slow one.
#[test]
fn a_slow_worker_gets_what_can_wait() {
    let mut fleet = Fleet::with_slow_worker(9);
    fleet.drain_slow_worker();
    fleet.submit_patient("patient", unit_step());
    let starts = fleet.advance(millis(600), 9);
    let on_slow = starts.iter().filter(|start| &*start.worker == "a");
    assert_eq!(on_slow.map(|start| &*start.unit.job).collect::<Vec<_>>(), ["patient"]);
}

/// Heavy units take seven times as long on any worker: one of them, or several of the same job, do
/// not make their worker slow.
#[rstest]
#[case::one(1)]
#[case::several_of_a_job(3)]
fn heavy_units_do_not_make_a_worker_slow(#[case] count: u32) {
    let mut fleet = Fleet::new(&[Policy::WorkerSpeeds]);
    let steps = vec![Step { count, ..unit_step() }];
    fleet.sim.scheduler.add_job(job("heavy", steps, fleet.sim.now), fleet.sim.now);
    fleet.advance(seconds(9), 1);
    assert_eq!(fleet.take_decisions("worker slow"), [""; 0]);
}

/// If three of eight workers seem slow, what counts as normal is wrong: avoiding them all would
/// cost more than it gains.
#[test]
fn no_worker_is_slow_if_over_a_quarter_of_the_pool_seems_so() {
    let mut fleet = Fleet::new(&[Policy::WorkerSpeeds]);
    fleet.make_slow(&["a", "b", "c"], 0.125);
    let starts = fleet.advance(seconds(9), 5);
    assert_eq!(fleet.take_decisions("worker slow"), [""; 0]);
    assert!(starts_on(&starts, "a") > 0);
}

/// Starts units that would take 80 s on the worker `a`, which is slow.
fn fleet_with_long_runs_on_slow_worker() -> Fleet {
    let mut fleet = Fleet::new(&[Policy::WorkerSpeeds]);
    let far = Step {
        estimate_ms: 8_000,
        has_checkpoints: true,
        image: Some("far".to_owned()),
        ..unit_step()
    };
    // Eight units teach how long they take, while all workers are of normal speed.
    for number in 0..36 {
        let record = job(&format!("far{number:02}"), vec![far.clone()], fleet.sim.now);
        if number == 8 {
            fleet.advance(seconds(11), 0);
        }
        fleet.sim.scheduler.add_job(record, fleet.sim.now);
    }
    fleet.advance(TICK, 0);
    fleet.make_slow(&["a"], 0.125);
    fleet.take_decisions("");
    fleet
}

/// Long runs on a slow worker would hold on to their units for many times as long. They resume
/// elsewhere, two at a time, and that is no failure.
#[test]
fn runs_with_a_checkpoint_move_away_two_at_a_time() {
    let mut fleet = fleet_with_long_runs_on_slow_worker();
    let before = fleet.runs_on("a");
    assert!(before >= 3, "{before} runs on the slow worker");
    let mut moved = 0;
    for _ in 0..40 {
        let starts = fleet.advance(TICK, 0);
        let moves = fleet.take_decisions("run moved").len();
        assert!(moves <= 2, "{moves} moves at a time");
        moved += moves;
        assert_eq!(starts_on(&starts, "a"), 0);
    }
    assert!(moved >= 2, "{moved} moves");
    assert_eq!(fleet.sim.scheduler.take_counts().moved_runs, moved as u64);
    fleet.advance(seconds(30), 0);
    assert!(fleet.sim.stored_progress.values().all(|progress| progress.failed_runs.is_empty()));
}

/// The worker falls silent while its run moves: the unit waits for the lease to expire and runs
/// once at a time, and the moves of others go on.
#[test]
fn a_move_from_a_worker_that_falls_silent_ends_with_its_lease() {
    let mut fleet = fleet_with_long_runs_on_slow_worker();
    let until = fleet.sim.now + seconds(30);
    while fleet.take_decisions("worker slow").is_empty() {
        assert!(fleet.sim.now < until, "it does not become slow");
        // The stop commands of the round that finds the worker slow are not answered.
        let a = fleet.sim.worker("a");
        a.is_responsive = true;
        fleet.sim.now += TICK;
        fleet.make_progress();
        fleet.sim.report_all();
        fleet.sim.worker("a").is_responsive = false;
        fleet.sim.commit();
        fleet.sim.run_round();
    }
    let lost: Vec<UnitKey> = fleet.sim.worker("a").running.iter().map(|r| r.unit.clone()).collect();
    let early = fleet.advance(seconds(2), 0);
    assert!(!early.iter().any(|start| lost.contains(&start.unit)), "two runs of a unit");
    let later = fleet.advance(seconds(20), 0);
    assert!(lost.iter().all(|unit| later.iter().any(|start| start.unit == *unit)));
}

/// A worker that has recovered gets a quarter of its capacity at first, so that a wrong guess costs
/// little.
#[test]
fn a_recovered_worker_gets_work_gradually() {
    let mut fleet = Fleet::with_slow_worker(9);
    fleet.make_slow(&[], 1.0);
    let mut most_runs = Vec::new();
    let slow_until = fleet.sim.now + seconds(30);
    while fleet.take_decisions("worker normal").is_empty() {
        assert!(fleet.sim.now < slow_until, "it stays slow");
        fleet.advance(TICK, 9);
        most_runs.push(fleet.runs_on("a"));
    }
    let first = most_runs.iter().position(|runs| *runs == 0).expect("it gets nothing for a while");
    let first = first + most_runs[first..].iter().position(|runs| *runs > 0).expect("a trial");
    assert_eq!(most_runs[first], 1, "runs of the trial: {:?}", &most_runs[first..]);
    fleet.advance(seconds(1), 9);
    assert_eq!(fleet.runs_on("a"), 4);
}

/// A worker that stays slow fails its trials, each of which costs a unit or two.
#[test]
fn trials_of_a_slow_worker_are_short_and_rare() {
    let mut fleet = Fleet::with_slow_worker(9);
    let starts = fleet.advance(seconds(60), 9);
    assert_eq!(fleet.take_decisions("worker normal"), [""; 0]);
    let trials = starts_on(&starts, "a");
    assert!(trials <= 16, "{trials} units on the slow worker");
}

/// Long-running units are lost time while they wait: they run on a slow worker if no other has
/// capacity.
#[test]
fn long_running_units_may_run_on_a_slow_worker() {
    let mut fleet = Fleet::with_slow_worker(9);
    fleet.drain_slow_worker();
    let serving = Step { is_long_running: true, per_worker_max: 1, count: 8, ..step(8, 1_000) };
    fleet.sim.scheduler.add_job(job("serving", vec![serving], fleet.sim.now), fleet.sim.now);
    let starts = fleet.advance(seconds(2), 9);
    assert!(starts.iter().any(|s| &*s.worker == "a" && &*s.unit.job == "serving"));
}

/// Owner change: speeds begin anew, so that the successor uses the worker until it has seen that
/// it is slow.
#[test]
fn a_successor_measures_anew() {
    let mut fleet = Fleet::with_slow_worker(4);
    fleet.sim.take_over(2, config_with_patient_queue(), Moment::ZERO, &[]);
    fleet.sim.report_all();
    let starts = fleet.advance(seconds(2), 12);
    assert!(starts_on(&starts, "a") > 0);
    fleet.advance(seconds(6), 4);
    assert_eq!(fleet.take_decisions("worker slow"), ["a"]);
}

/// A run that has made much of its way since its last checkpoint stays: what it would lose takes
/// longer elsewhere than the rest takes on the slow worker.
#[rstest]
#[case::old_checkpoint(false, 0)]
#[case::new_checkpoint(true, 1)]
fn work_since_the_checkpoint_counts(#[case] has_new: bool, #[case] expected: usize) {
    let mut fleet = fleet_with_long_runs_on_slow_worker();
    fleet.make_slow(&["a"], 0.4);
    for run in &mut fleet.sim.worker("a").running {
        *fleet.done.entry_or((run.unit.clone(), run.run), || 0.0) = 6.0;
    }
    let mut moves = 0;
    for _ in 0..20 {
        for run in &mut fleet.sim.worker("a").running {
            run.checkpoint = if has_new { run.progress_percent.to_string() } else { String::new() };
        }
        fleet.advance(TICK, 0);
        moves += fleet.take_decisions("run moved").len();
    }
    assert_eq!(moves.min(1), expected, "{moves} moves");
}

/// A worker that has just started is slow for a while, which is no fault of it: it is not judged.
#[rstest]
#[case::cold(seconds(20), &[])]
#[case::warm(seconds(0), &["a"])]
fn a_cold_worker_does_not_count_as_slow(#[case] cold_left: Duration, #[case] found: &[&str]) {
    let mut fleet = Fleet::new(&[Policy::WorkerSpeeds]);
    fleet.advance(seconds(1), 9);
    assert_eq!(fleet.runs_on("a"), 4);
    let registration = WorkerRegistration { cold_left, ..registration("a") };
    fleet.sim.scheduler.update_worker(registration, Duration::ZERO, fleet.sim.now);
    fleet.make_slow(&["a"], 0.125);
    fleet.advance(seconds(9), 9);
    assert_eq!(fleet.take_decisions("worker slow"), found);
}

/// A stop on a slow worker would free capacity that the urgent unit may not use there.
#[test]
fn nothing_is_stopped_on_a_slow_worker_for_an_urgent_unit() {
    let mut fleet = Fleet::new(&[Policy::WorkerSpeeds, Policy::Preemption]);
    let far = Step { estimate_ms: 8_000, ..unit_step() };
    fleet.submit_patient("far-first", Step { count: 8, ..far.clone() });
    fleet.advance(seconds(11), 0);
    for number in 0..32 {
        fleet.submit_patient(&format!("far{number}"), far.clone());
    }
    fleet.advance(millis(200), 0);
    fleet.make_slow(&["a"], 0.125);
    fleet.advance(seconds(3), 0);
    assert_eq!(fleet.take_decisions("worker slow"), ["a"]);
    fleet.submit(2, unit_step());
    let starts = fleet.advance(seconds(3), 0);
    assert_eq!(fleet.take_decisions("preempted").len(), 2);
    let urgent = starts.iter().filter(|start| start.unit.job.starts_with('j'));
    assert_eq!(urgent.filter(|start| &*start.worker != "a").count(), 2);
    assert_eq!(fleet.runs_on("a"), 4);
}
