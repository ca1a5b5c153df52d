//! Copies of stragglers: which units get one, which run counts, and failures halfway.

#[path = "common/simulation.rs"]
mod simulation;

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use scheduler::Action;
use scheduler::Config;
use scheduler::FinalState;
use scheduler::JobRecord;
use scheduler::JobView;
use scheduler::Policies;
use scheduler::Policy;
use scheduler::Resources;
use scheduler::RunOutcome;
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
use simulation::unit;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };
const WORKERS: [&str; 8] = ["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"];
const SLOW: usize = 3;

/// A job of ten units, one of them slow, beside another job that keeps 60 cores busy.
struct Test {
    sim: Simulation,
    config: Arc<Config>,
    jobs: Vec<Arc<JobRecord>>,
    starts: Vec<StartCommand>,
}

impl Test {
    fn new(allows_copies: bool, policies: Policies, config: Arc<Config>) -> Self {
        let with_straggler = Step { allows_copies, ..step(10, 1_000) };
        Self::with_steps(with_straggler, step(60, 1_000), policies, config)
    }

    /// Starts the jobs `a` and `b` with one step each.
    fn with_steps(a: Step, b: Step, policies: Policies, config: Arc<Config>) -> Self {
        let mut sim = simulation(policies, config.clone());
        let jobs = vec![job("a", vec![a], sim.now), job("b", vec![b], sim.now)];
        let mut starts = Vec::new();
        for record in &jobs {
            sim.scheduler.add_job(record.clone(), sim.now);
            starts.extend(sim.run_round());
        }
        Self { sim, config, jobs, starts }
    }

    /// Runs until the slow unit has a copy. Returns the start command of the copy.
    fn with_copy() -> (Self, StartCommand) {
        let mut test = Self::new(true, copies(), config(3, NO_QUOTA));
        let copy = test.run_for(seconds(2)).pop().expect("a copy was started");
        assert_eq!(copy.unit, slow());
        (test, copy)
    }

    /// Advances the time. Units take 1 s, the slow one and those of the job `slow` take 20 s, and
    /// those of the job `b` do not end. Returns the start commands.
    fn run_for(&mut self, time: Duration) -> Vec<StartCommand> {
        let until = self.sim.now + time;
        let count = self.starts.len();
        while self.sim.now < until {
            self.advance();
        }
        self.starts[count..].to_vec()
    }

    fn advance(&mut self) {
        self.sim.now += millis(200);
        self.progress_and_report();
        self.sim.commit();
        self.starts.extend(self.sim.run_round());
    }

    /// Runs until a copy is decided, and is not stored yet.
    fn decide_copy(&mut self) {
        for _ in 0..10 {
            self.sim.now += millis(200);
            self.progress_and_report();
            self.sim.commit();
            self.sim.scheduler.plan(self.sim.now);
            let actions = self.sim.scheduler.take_actions();
            self.sim.other_actions.extend(actions);
            if self.has_decided("copy started") {
                return;
            }
        }
        panic!("no copy was decided");
    }

    fn progress_and_report(&mut self) {
        let mut done = Vec::new();
        for running in self.sim.workers.iter_mut().flat_map(|worker| &mut worker.running) {
            let is_slow = running.unit == slow() || ["b", "slow"].contains(&&*running.unit.job);
            running.progress_percent =
                (running.progress_percent + if is_slow { 1 } else { 20 }) % 101;
            if running.progress_percent == 100 {
                done.push(running.unit.clone());
            }
        }
        for unit in done {
            self.sim.complete_run(&unit, RunOutcome::Done);
        }
        self.sim.report_all();
    }

    fn take_over(&mut self, epoch: u64) {
        self.sim.take_over(epoch, self.config.clone(), seconds(6), &self.jobs);
    }

    /// Returns the workers that run the slow unit.
    fn runs(&self) -> Vec<WorkerId> {
        let workers = self.sim.workers.iter();
        let running = workers.filter(|worker| worker.running.iter().any(|r| r.unit == slow()));
        running.map(|worker| worker.id.clone()).collect()
    }

    /// Returns the worker of the first run of the slow unit.
    fn first_worker(&self) -> WorkerId {
        self.starts.iter().find(|start| start.unit == slow()).expect("started").worker.clone()
    }

    fn end(&mut self, worker: &str, outcome: RunOutcome) {
        self.sim.worker(worker).complete_run(&slow(), outcome);
    }

    fn is_done(&self) -> bool {
        self.sim.scheduler.view("a") == Some(JobView::Ended(FinalState::Completed))
    }

    fn has_decided(&self, decision: &str) -> bool {
        let is_it = |action: &Action| matches!(action, Action::LogDecision { what, .. } if *what == decision);
        self.sim.other_actions.iter().any(is_it)
    }
}

/// Creates workers on two racks.
fn simulation(policies: Policies, config: Arc<Config>) -> Simulation {
    let mut sim = Simulation::new(&WORKERS, config.clone());
    // Units are packed, so that w5 would be the best worker for one more.
    for id in &WORKERS[5..] {
        sim.worker(id).rack = "r1-2";
    }
    sim.policies = policies;
    sim.take_over(2, config, Duration::ZERO, &[]);
    sim.report_all();
    sim
}

fn slow() -> UnitKey {
    unit("a", 0, SLOW)
}

fn copies() -> Policies {
    [Policy::Copies].into_iter().collect()
}

/// Load: one unit takes twenty times as long. It gets one copy on the other rack, whose end counts.
#[test]
fn the_copy_of_a_straggler_finishes_its_unit() {
    let (mut test, copy) = Test::with_copy();
    let first = test.first_worker();
    let rack = test.sim.worker(&first).rack;
    assert_ne!(test.sim.worker(&copy.worker).rack, rack);
    assert!(copy.run > test.starts[SLOW].run, "run numbers rise over both");
    assert_eq!(test.run_for(seconds(1)).len(), 0, "one copy a unit");
    assert_eq!(test.sim.scheduler.team_usage("t").cpu_millis, 62_000, "both count");
    test.end(&copy.worker, RunOutcome::Done);
    test.run_for(millis(400));
    assert!(test.is_done() && test.runs().is_empty() && test.has_decided("copy won"));
    let counts = test.sim.scheduler.take_counts().copies;
    assert_eq!((counts.started, counts.won, counts.lost), (1, 1, 0));
    assert!(counts.duplicate_core_ms > 2_000, "{counts:?}");
}

/// Guards against a second run where the policy is off or the step allows none.
#[rstest]
#[case::policy_off(true, Policies::default())]
#[case::step_without_copies(false, copies())]
fn a_straggler_without_permission_runs_once(#[case] allows: bool, #[case] policies: Policies) {
    let mut test = Test::new(allows, policies, config(3, NO_QUOTA));
    assert!(test.run_for(seconds(4)).is_empty());
    test.take_over(3);
    assert!(test.run_for(seconds(4)).is_empty());
}

/// Guards against copies beyond the quota of the team, and against a copy that would start after
/// the last attempt if its run has failed without a report.
#[rstest]
#[case::quota(3, Resources { cpu_millis: 61_000, ..NO_QUOTA })]
#[case::last_attempt(1, NO_QUOTA)]
fn no_copy_beyond_a_limit(#[case] attempts_max: u32, #[case] quota: Resources) {
    // All units run at first only if the quota has room for them.
    let quota = Resources { cpu_millis: quota.cpu_millis, ..NO_QUOTA };
    let mut test = Test::new(true, copies(), config(attempts_max, quota));
    let starts = test.run_for(seconds(3));
    assert!(starts.iter().all(|start| start.unit != slow()), "{starts:?}");
}

/// Guards against copies on cold workers, which would be slow as well.
#[test]
fn no_copy_on_a_cold_worker() {
    let mut test = Test::new(true, copies(), config(3, NO_QUOTA));
    for id in &WORKERS[5..] {
        let cold = WorkerRegistration { cold_left: seconds(30), ..registration(id) };
        test.sim.scheduler.update_worker(cold, Duration::ZERO, test.sim.now);
    }
    assert!(test.run_for(seconds(4)).is_empty());
}

/// Guards against copies that cost more than 5 % of what runs.
#[test]
fn no_copy_beyond_the_budget() {
    let mut test = Test::new(true, copies(), config(3, NO_QUOTA));
    test.sim.scheduler.cancel("b");
    assert!(test.run_for(seconds(4)).is_empty());
}

/// Failure: both runs end before the owner hears of it. One success is stored, and the failure of
/// the other run does not count.
#[rstest]
#[case::both_succeed(RunOutcome::Done)]
#[case::one_fails(RunOutcome::Failed)]
fn both_runs_end_at_once(#[case] other: RunOutcome) {
    let (mut test, copy) = Test::with_copy();
    let first = test.first_worker();
    test.end(&first, RunOutcome::Done);
    test.end(&copy.worker, other);
    assert!(test.run_for(seconds(1)).is_empty());
    assert!(test.is_done() && test.runs().is_empty());
}

/// Failure: the copy fails or its worker crashes. The run goes on, and the unit may get another
/// copy.
#[rstest]
#[case::fails(false)]
#[case::worker_crashes(true)]
fn the_run_goes_on_without_its_copy(#[case] crashes: bool) {
    let (mut test, copy) = Test::with_copy();
    let first = test.first_worker();
    match crashes {
        true => {
            test.sim.worker(&copy.worker).crash();
            test.sim.restart_worker(&copy.worker);
        }
        false => test.end(&copy.worker, RunOutcome::Failed),
    }
    test.advance();
    assert!(test.runs().contains(&first) && test.has_decided("copy lost"));
    test.run_for(seconds(1));
    assert!(test.runs().len() <= 2);
    test.end(&first, RunOutcome::Done);
    test.run_for(millis(400));
    assert!(test.is_done() && test.runs().is_empty());
}

/// Failure: the run is lost while its copy goes on. The unit is not started a third time.
#[test]
fn the_copy_goes_on_without_the_run() {
    let (mut test, copy) = Test::with_copy();
    let first = test.first_worker();
    test.end(&first, RunOutcome::Failed);
    test.advance();
    assert_eq!(test.runs(), std::slice::from_ref(&copy.worker));
    test.end(&copy.worker, RunOutcome::Done);
    test.run_for(millis(400));
    assert!(test.is_done() && test.runs().is_empty());
}

/// Load: the worker of the copy shrinks. Only the copy is stopped there, not the run elsewhere.
#[test]
fn a_shrunk_worker_stops_only_its_own_run() {
    let policies = [Policy::Copies, Policy::ShrunkWorkers].into_iter().collect();
    let mut test = Test::new(true, policies, config(3, NO_QUOTA));
    let copy = test.run_for(seconds(2)).pop().expect("a copy was started");
    let capacity = Resources::default();
    let shrunk = WorkerRegistration { capacity, ..registration(&copy.worker) };
    test.sim.scheduler.update_worker(shrunk, Duration::ZERO, test.sim.now);
    test.run_for(seconds(2));
    assert!(!test.runs().contains(&copy.worker) && test.has_decided("run moved"));
    let first = test.first_worker();
    let starts = test.starts.iter().filter(|start| start.unit == slow() && start.worker == first);
    assert!(test.runs().contains(&first) && starts.count() == 1);
}

/// Guards against runs that are left after a cancellation.
#[test]
fn a_cancelled_job_stops_both_runs() {
    let (mut test, _) = Test::with_copy();
    test.sim.scheduler.cancel("a");
    test.advance();
    test.advance();
    assert!(test.runs().is_empty());
    assert_eq!(test.sim.scheduler.team_usage("t").cpu_millis, 60_000);
}

/// Failure: the owner crashes after the copy was stored and before it was started.
#[test]
fn the_owner_crashes_between_the_two_starts() {
    let mut test = Test::new(true, copies(), config(3, NO_QUOTA));
    let first = test.first_worker();
    test.decide_copy();
    // The start command is not sent.
    test.sim.commit();
    test.sim.scheduler.take_actions();
    test.take_over(3);
    test.advance();
    assert_eq!(test.runs(), std::slice::from_ref(&first));
    assert_eq!(test.sim.scheduler.team_usage("t").cpu_millis, 61_000, "no copy is left");
    test.run_for(seconds(4));
    assert!(test.runs().contains(&first) && test.runs().len() <= 2);
}

/// Failure: the owner changes while both run, and the worker of one is silent. The successor counts
/// both until its lease has expired, though the copy has the higher number.
#[rstest]
// The row of the first worker still lists the nine other units, which have finished.
#[case::of_the_run(true, 62_000 + 9_000)]
#[case::of_the_copy(false, 62_000)]
fn the_owner_changes_while_a_worker_is_silent(#[case] is_first: bool, #[case] cpu_millis: u64) {
    let (mut test, copy) = Test::with_copy();
    let silent = if is_first { test.first_worker() } else { copy.worker.clone() };
    test.sim.worker(&silent).is_responsive = false;
    test.take_over(3);
    assert!(test.run_for(seconds(5)).iter().all(|start| start.unit != slow()));
    assert_eq!(test.sim.scheduler.team_usage("t").cpu_millis, cpu_millis, "both count");
    test.run_for(seconds(2));
    test.sim.worker(&silent).running.clear();
    assert!(test.runs().len() <= 2);
}

/// Failure: a success is reported, and its worker and the owner are lost before it is stored. The
/// unit runs again, and its job ends.
#[test]
fn the_first_end_is_never_stored() {
    let (mut test, copy) = Test::with_copy();
    test.end(&copy.worker, RunOutcome::Done);
    test.sim.report_all();
    test.sim.carry_out_actions();
    test.sim.worker(&copy.worker).crash();
    test.take_over(3);
    test.sim.restart_worker(&copy.worker);
    let starts = test.run_for(seconds(1));
    assert_eq!(test.runs().len(), 1, "{starts:?}");
    let worker = test.runs()[0].clone();
    test.end(&worker, RunOutcome::Done);
    test.run_for(millis(400));
    assert!(test.is_done());
}

/// Failure: the table is slow. A copy that was stored too late is not started, since the success of
/// its run may be stored meanwhile by another owner.
#[test]
fn a_copy_that_was_stored_late_is_not_started() {
    let mut test = Test::new(true, copies(), config(3, NO_QUOTA));
    test.decide_copy();
    test.sim.now += millis(900);
    test.sim.commit();
    assert!(test.sim.carry_out_actions().is_empty());
    assert_eq!(test.sim.scheduler.team_usage("t").cpu_millis, 61_000);
}

/// Load: a full pool. A copy without which the job misses its deadline goes before waiting units of
/// later jobs; any other copy waits until no unit fits.
#[rstest]
#[case::deadline_can_be_met(5_000, true)]
#[case::deadline_is_missed_anyway(800, false)]
fn only_an_urgent_copy_goes_before_waiting_units(
    #[case] estimate_ms: u64,
    #[case] is_urgent: bool,
) {
    let a = Step { allows_copies: true, estimate_ms, ..step(10, 1_000) };
    let mut test = Test::with_steps(a, step(140, 1_000), copies(), config(3, NO_QUOTA));
    for _ in 0..10 {
        // One unit of the other job ends on the rack without the slow run.
        let ended = test.sim.worker("w8").running[0].unit.clone();
        test.sim.worker("w8").complete_run(&ended, RunOutcome::Done);
        test.advance();
    }
    assert_eq!(test.has_decided("copy started"), is_urgent);
}

/// Load: units without siblings. Only learned durations show that one of them is slow, since the
/// estimate of its caller may be far too low.
#[rstest]
#[case::learned(&[Policy::Copies, Policy::LearnedDurations], true)]
#[case::estimated(&[Policy::Copies], false)]
fn a_lone_unit_gets_a_copy_if_durations_are_known(
    #[case] policies: &[Policy],
    #[case] known: bool,
) {
    let lone = || Step { allows_copies: true, ..step(1, 1_000) };
    let policies = policies.iter().copied().collect();
    let mut test = Test::with_steps(step(1, 1_000), step(60, 1_000), policies, config(3, NO_QUOTA));
    for index in 0..12 {
        let record = job(&format!("c{index}"), vec![lone()], test.sim.now);
        test.sim.scheduler.add_job(record, test.sim.now);
        test.run_for(millis(400));
    }
    test.run_for(seconds(2));
    assert!(!test.has_decided("copy started"), "none of them was slow");
    test.sim.scheduler.add_job(job("slow", vec![lone()], test.sim.now), test.sim.now);
    test.run_for(seconds(4));
    assert_eq!(test.has_decided("copy started"), known);
}

/// Goal: where nothing is slow, copies cost less than 1 % of the work. Units take 600 to 1,800 ms,
/// of which their callers know nothing.
#[test]
fn usual_variation_leads_to_few_copies() {
    let mut sim = simulation(copies(), config(3, NO_QUOTA));
    for index in 0..200_u64 {
        let estimate_ms = 100 + index * 13 % 1_800;
        let step = Step { allows_copies: true, estimate_ms, ..step(12, 500) };
        sim.scheduler.add_job(job(&format!("{index:016x}"), vec![step], sim.now), sim.now);
        for _ in 0..2 {
            sim.now += millis(100);
            advance_all(&mut sim);
        }
    }
    let counts = sim.scheduler.take_counts().copies;
    println!("{counts:?}");
    assert!(counts.started < 24, "1 % of 2,400 units: {counts:?}");
}

/// Advances all runs by 100 ms; each takes a time of its own.
fn advance_all(sim: &mut Simulation) {
    let mut done = Vec::new();
    for running in sim.workers.iter_mut().flat_map(|worker| &mut worker.running) {
        let job = u64::from_str_radix(&running.unit.job, 16).expect("a number");
        let duration_ms = 600 + (job * 7 + running.unit.index as u64 * 97) * 131 % 1_200;
        running.progress_percent += 10_000_u64.div_ceil(duration_ms) as u32;
        if running.progress_percent >= 100 {
            done.push(running.unit.clone());
        }
    }
    for unit in done {
        sim.complete_run(&unit, RunOutcome::Done);
    }
    sim.report_all();
    sim.commit();
    sim.run_round();
}
