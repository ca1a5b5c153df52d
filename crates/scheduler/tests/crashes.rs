//! Units that crash the workers that start them, and units that are lost with them or without fault.

#[path = "common/simulation.rs"]
mod simulation;

use std::time::Duration;

use rstest::rstest;
use scheduler::Action;
use scheduler::CrashedRun;
use scheduler::FinalState;
use scheduler::JobView;
use scheduler::Moment;
use scheduler::Progress;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::StartCommand;
use scheduler::StartOrder;
use scheduler::StartReply;
use scheduler::Step;
use scheduler::UnitKey;
use scheduler::WorkerId;
use scheduler::WorkerRegistration;
use simulation::SimulatedWorker;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::registration;
use simulation::seconds;
use simulation::step;
use simulation::unit;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };
/// A unit that crashes its workers may be started this often: until three have crashed, and twice
/// more.
const STARTS_MAX: usize = 5;
/// Time after which the registry removes the entry of a crashed worker.
const ENTRY_KEPT: Duration = Duration::from_millis(4_500);

/// How a crashed worker comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Return {
    /// Under the same identifier.
    Restarted,
    /// Under another identifier, at the same address.
    Replaced,
}

/// A simulation in which some units crash each worker that starts them.
struct CrashTest {
    sim: Simulation,
    /// Units that crash their workers.
    harmful: Vec<UnitKey>,
    returns: Return,
    /// Time between a crash and the worker's return.
    outage: Duration,
    /// Crashed workers and when they return.
    down: Vec<(WorkerId, Moment)>,
    /// Starts of harmful units, in order.
    harmful_starts: Vec<UnitKey>,
    replacements: usize,
}

impl CrashTest {
    fn new(workers: &[&str], harmful: Vec<UnitKey>, returns: Return, outage: Duration) -> Self {
        Self {
            sim: Simulation::new(workers, config(3, NO_QUOTA)),
            harmful,
            returns,
            outage,
            down: Vec::new(),
            harmful_starts: Vec::new(),
            replacements: 0,
        }
    }

    /// Advances the time; harmful units crash their workers as soon as they are started.
    fn run_for(&mut self, time: Duration) {
        let until = self.sim.now + time;
        while self.sim.now < until {
            let starts = self.sim.run_for(millis(200));
            self.crash_workers(&starts);
            self.unregister_workers();
            self.return_workers();
        }
    }

    fn unregister_workers(&mut self) {
        let is_due = |returns_at: &Moment| self.sim.now + self.outage >= *returns_at + ENTRY_KEPT;
        for (id, _) in self.down.iter().filter(|(_, returns_at)| is_due(returns_at)) {
            self.sim.scheduler.unregister_worker(id);
        }
    }

    fn crash_workers(&mut self, starts: &[StartCommand]) {
        for command in starts.iter().filter(|command| self.harmful.contains(&command.unit)) {
            self.harmful_starts.push(command.unit.clone());
            self.sim.worker(&command.worker).crash();
            if !self.down.iter().any(|(id, _)| *id == command.worker) {
                self.down.push((command.worker.clone(), self.sim.now + self.outage));
            }
        }
    }

    fn return_workers(&mut self) {
        let now = self.sim.now;
        let back: Vec<WorkerId> =
            self.down.iter().filter(|(_, at)| now >= *at).map(|(id, _)| id.clone()).collect();
        self.down.retain(|(_, at)| now < *at);
        for id in back {
            match self.returns {
                Return::Restarted => self.sim.restart_worker(&id),
                Return::Replaced => {
                    self.replacements += 1;
                    let replacement = format!("{id}-{}", self.replacements);
                    self.sim.replace_worker(&id, &replacement);
                }
            }
        }
    }

    /// Lets the crashed workers return while the owner is stopped.
    fn return_workers_unseen(&mut self) {
        let stopped = std::mem::take(&mut self.sim.scheduler);
        self.sim.now += self.outage;
        self.return_workers();
        self.sim.scheduler = stopped;
    }

    /// Polls the workers that another process has replaced.
    fn poll_replaced_workers(&mut self) {
        let known = self.sim.scheduler.workers().map(|worker| worker.registration.id.clone());
        let known: Vec<WorkerId> = known.collect();
        for id in known {
            if !self.sim.workers.iter().any(|worker| worker.id == id) {
                let now = self.sim.now;
                let token = self.sim.poll(&id).token;
                let why = "another instance answers";
                self.sim.scheduler.handle_worker_gone(&id, token, why, now);
            }
        }
    }

    fn starts_of(&self, unit: &UnitKey) -> usize {
        self.harmful_starts.iter().filter(|started| *started == unit).count()
    }

    fn assert_given_up(&self, unit: &UnitKey) {
        let starts = self.starts_of(unit);
        assert!((3..=STARTS_MAX).contains(&starts), "{unit} was started {starts} times");
        assert_eq!(self.sim.scheduler.view(&unit.job), Some(JobView::Ended(FinalState::Failed)));
    }

    fn assert_alive(&self, job: &str) {
        let view = self.sim.scheduler.view(job);
        assert!(matches!(view, Some(JobView::Queued | JobView::Running)), "{job}: {view:?}");
    }
}

fn long_running(count: u32) -> Step {
    Step { is_long_running: true, ..step(count, 1_000) }
}

/// Returns the first worker that has a run.
fn busy_worker(sim: &Simulation) -> WorkerId {
    let is_busy = |worker: &&SimulatedWorker| !worker.running.is_empty();
    sim.workers.iter().find(is_busy).expect("a unit runs").id.clone()
}

// Guards against a unit that crashes each worker that starts it and is started again without limit,
// since a crashed worker lists no failed run.
#[rstest]
#[case::restarted(Return::Restarted, seconds(3), step(1, 1_000))]
#[case::replaced(Return::Replaced, seconds(3), step(1, 1_000))]
#[case::restarted_after_its_lease(Return::Restarted, seconds(9), step(1, 1_000))]
#[case::replaced_after_its_lease(Return::Replaced, seconds(9), step(1, 1_000))]
fn a_unit_that_crashes_its_workers_is_given_up(
    #[case] returns: Return,
    #[case] outage: Duration,
    #[case] step: Step,
) {
    let harmful = unit("a", 0, 0);
    let workers = ["w1", "w2", "w3", "w4"];
    let mut test = CrashTest::new(&workers, vec![harmful.clone()], returns, outage);
    test.sim.scheduler.add_job(job("a", vec![step], test.sim.now), test.sim.now);
    test.run_for(seconds(120));
    test.assert_given_up(&harmful);
}

// Guards against a long-running job that is given up, and whose other units are stopped: these units
// have to be started again however they end. Crashes must not make others fail either.
#[test]
fn a_long_running_unit_that_crashes_its_workers_is_started_again() {
    let harmful = unit("a", 0, 0);
    let workers = ["w1", "w2", "w3", "w4"];
    let mut test = CrashTest::new(&workers, vec![harmful.clone()], Return::Replaced, seconds(3));
    test.sim.scheduler.add_job(job("a", vec![long_running(3)], test.sim.now), test.sim.now);
    test.sim.scheduler.add_job(job("b", vec![step(1, 1_000)], test.sim.now), test.sim.now);
    test.run_for(seconds(120));
    test.assert_alive("a");
    test.assert_alive("b");
    assert!(test.starts_of(&harmful) > STARTS_MAX, "it is started again");
    let stops = test.sim.workers.iter().flat_map(|worker| &worker.completions);
    assert!(stops.count() == 0, "no unit is stopped");
}

// Guards against one more crash, where the lease of the last crashed worker ends just before the
// worker returns.
#[test]
fn a_unit_that_crashes_its_workers_waits_for_the_return_of_the_last() {
    let harmful = unit("a", 0, 0);
    let workers = ["w1", "w2", "w3", "w4", "w5"];
    let mut test = CrashTest::new(&workers, vec![harmful.clone()], Return::Replaced, millis(3_800));
    test.sim.scheduler.add_job(job("a", vec![step(1, 1_000)], test.sim.now), test.sim.now);
    test.run_for(seconds(60));
    test.assert_given_up(&harmful);
    assert_eq!(test.starts_of(&harmful), 3);
}

// Guards against taking a worker that is kept quiet for a strong suspect for a lack of capacity,
// which would move hosts.
#[test]
fn a_pool_with_a_worker_kept_for_a_strong_suspect_is_not_starved() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let crashed_run =
        |number| CrashedRun { number, start_order: StartOrder::Last, is_certain: true };
    let crashed_runs = vec![((0, 0, 0), vec![crashed_run(1), crashed_run(2)])];
    let progress = Progress { crashed_runs, ..Progress::default() };
    let mut starts = Vec::new();
    for round in 0..10 {
        if round == 3 {
            sim.scheduler.restore_job(job("a", vec![step(1, 100)], sim.now), &progress, sim.now);
        }
        // Both workers start something in every round, and have capacity for all of it.
        let busy = Step { per_worker_max: 1, ..step(2, 100) };
        sim.scheduler.add_job(job(&format!("c{round}"), vec![busy], sim.now), sim.now);
        starts.extend(sim.run_for(millis(200)));
        let loads = sim.scheduler.pool_loads(sim.now);
        assert!(!loads.get("p").expect("the pool").is_starved, "round {round}");
    }
    assert!(starts.iter().any(|command| command.unit == unit("a", 0, 0)));
}

// Guards against giving up units that were only lost beside the one that crashed their worker: they
// were started together again and again, on the same worker as that one.
#[rstest]
#[case::many_workers(&["w1", "w2", "w3", "w4", "w5", "w6"])]
#[case::few_workers(&["w1", "w2"])]
fn a_unit_that_crashes_its_workers_is_told_from_those_beside_it(#[case] workers: &[&str]) {
    let harmful = unit("a", 0, 0);
    let mut test = CrashTest::new(workers, vec![harmful.clone()], Return::Replaced, seconds(3));
    let now = test.sim.now;
    test.sim.scheduler.add_job(job("b", vec![long_running(4)], now), now);
    test.sim.scheduler.add_job(job("c", vec![step(4, 1_000)], now), now);
    test.run_for(millis(400));
    test.sim.scheduler.add_job(job("a", vec![step(1, 1_000)], test.sim.now), test.sim.now);
    test.run_for(seconds(60));
    test.assert_given_up(&harmful);
    test.assert_alive("b");
    test.assert_alive("c");
}

// Guards against giving up units whose workers crash soon after their start, again and again, but
// after the starts of other units that are at fault.
#[test]
fn a_unit_that_crashes_its_workers_is_told_from_units_that_started_before_it() {
    let ids: Vec<String> = (0..12).map(|index| format!("a{index}")).collect();
    let harmful: Vec<UnitKey> = ids.iter().map(|id| unit(id, 0, 0)).collect();
    let workers = ["w1", "w2", "w3"];
    let mut test = CrashTest::new(&workers, harmful.clone(), Return::Restarted, millis(1_000));
    test.sim.scheduler.add_job(job("b", vec![long_running(3)], test.sim.now), test.sim.now);
    for id in &ids {
        test.run_for(millis(1_400));
        test.sim.scheduler.add_job(job(id, vec![step(1, 1_000)], test.sim.now), test.sim.now);
    }
    test.run_for(seconds(60));
    for unit in &harmful {
        test.assert_given_up(unit);
    }
    test.assert_alive("b");
}

// Guards against forgetting, at a takeover, the crashes that a unit has caused.
#[test]
fn a_unit_that_crashes_its_workers_is_given_up_across_takeovers() {
    let harmful = unit("a", 0, 0);
    let workers = ["w1", "w2", "w3", "w4"];
    let mut test = CrashTest::new(&workers, vec![harmful.clone()], Return::Replaced, seconds(3));
    let record = job("a", vec![step(1, 1_000)], test.sim.now);
    test.sim.scheduler.add_job(record.clone(), test.sim.now);
    for epoch in 2..20 {
        test.run_for(millis(3_600));
        if test.sim.scheduler.view("a") == Some(JobView::Ended(FinalState::Failed)) {
            break;
        }
        test.sim.take_over(epoch, config(3, NO_QUOTA), seconds(6), std::slice::from_ref(&record));
    }
    test.assert_given_up(&harmful);
}

// Guards against a crash that no owner counts, since the owner stopped with the worker and its
// successor found the worker started again, or replaced.
#[rstest]
#[case::restarted(Return::Restarted)]
#[case::replaced(Return::Replaced)]
fn a_unit_that_crashes_its_workers_while_owners_change_is_given_up(#[case] returns: Return) {
    let harmful = unit("a", 0, 0);
    let workers = ["w1", "w2", "w3", "w4"];
    let outage = millis(1_000);
    let mut test = CrashTest::new(&workers, vec![harmful.clone()], returns, outage);
    let record = job("a", vec![step(1, 1_000)], test.sim.now);
    test.sim.scheduler.add_job(record.clone(), test.sim.now);
    for epoch in 2..20 {
        let starts = test.starts_of(&harmful);
        while test.starts_of(&harmful) == starts && test.sim.scheduler.live_jobs() > 0 {
            test.run_for(millis(200));
        }
        // The owner stops as its worker crashes; the successor takes over after the return.
        test.return_workers_unseen();
        if test.sim.scheduler.view("a") == Some(JobView::Ended(FinalState::Failed)) {
            break;
        }
        test.sim.take_over(epoch, config(3, NO_QUOTA), seconds(6), std::slice::from_ref(&record));
        test.poll_replaced_workers();
    }
    test.assert_given_up(&harmful);
}

// Guards against a successor that holds a crash against all units that its predecessor had started
// on the worker, also against those before the last ones.
#[test]
fn a_unit_that_crashes_its_workers_is_told_from_earlier_ones_by_a_successor() {
    let harmful: Vec<UnitKey> = (0..8).map(|index| unit(&format!("a{index}"), 0, 0)).collect();
    let outage = millis(1_000);
    let mut test = CrashTest::new(&["w1"], harmful.clone(), Return::Restarted, outage);
    let mut records = vec![job("b", vec![long_running(2)], test.sim.now)];
    test.sim.scheduler.add_job(records[0].clone(), test.sim.now);
    for (epoch, unit) in (2..).zip(&harmful) {
        // Something is started after the units of `b`, and `unit` after that.
        for id in [format!("c{epoch}"), unit.job.to_string()] {
            test.run_for(millis(400));
            records.push(job(&id, vec![step(1, 10)], test.sim.now));
            let record = records.last().expect("it was just added").clone();
            test.sim.scheduler.add_job(record, test.sim.now);
        }
        while test.starts_of(unit) == 0 {
            test.run_for(millis(200));
        }
        test.return_workers_unseen();
        test.sim.scheduler.cancel(&unit.job);
        test.sim.commit();
        test.sim.take_over(epoch, config(3, NO_QUOTA), seconds(6), &records);
    }
    test.assert_alive("b");
}

// Guards against ruling out the unit at fault because others on its worker were started while its
// own run still had to be stored.
#[test]
fn a_unit_planned_before_others_and_started_after_them_stays_a_suspect() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    let second = Step { depends_on: vec![0], ..step(1, 100) };
    let a = job("a", vec![step(1, 100), second], sim.now);
    sim.scheduler.add_job(a.clone(), sim.now);
    sim.run_round();
    sim.complete_run(&unit("a", 0, 0), RunOutcome::Done);
    sim.report_all();
    sim.scheduler.plan(sim.now);
    // No progress is stored for a while, and the planned run has to wait for that of its job.
    let c = job("c", vec![step(1, 100)], sim.now);
    sim.scheduler.add_job(c.clone(), sim.now);
    for _ in 0..3 {
        sim.now += millis(200);
        sim.scheduler.plan(sim.now);
        sim.commit_with_limit(0);
        sim.carry_out_actions();
    }
    sim.commit();
    let starts = sim.carry_out_actions();
    assert_eq!(starts[0].unit, unit("a", 1, 0));
    sim.worker("w1").crash();
    sim.worker("w1").restart();
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[a, c]);
    sim.commit();
    let crashed_runs = &sim.stored_progress.get("a").expect("a row").crashed_runs;
    assert_eq!(crashed_runs[0].1[0].start_order, StartOrder::Unknown);
}

// Guards against failing a job because its workers were cut off: they have not crashed.
#[test]
fn a_unit_on_workers_that_are_cut_off_is_not_given_up() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![step(1, 1_000)], sim.now), sim.now);
    sim.run_round();
    for _ in 0..8 {
        let id = busy_worker(&sim);
        sim.worker(&id).is_responsive = false;
        sim.run_for(seconds(8));
        let cut_off = sim.worker(&id);
        // Its lease has expired, which ends its runs.
        cut_off.running.clear();
        cut_off.is_responsive = true;
        sim.run_for(seconds(1));
    }
    assert_eq!(sim.scheduler.view("a"), Some(JobView::Running));
}

// Guards against counting the end of a worker that left as planned as a crash.
#[test]
fn a_unit_on_workers_that_leave_is_not_given_up() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![step(1, 1_000)], sim.now), sim.now);
    sim.run_round();
    for count in 0..8 {
        let id = busy_worker(&sim);
        let leaving = WorkerRegistration { is_draining: true, ..registration(&id) };
        sim.scheduler.update_worker(leaving, Duration::ZERO, sim.now);
        sim.replace_worker(&id, &format!("n{count}"));
        sim.run_for(seconds(1));
    }
    assert_eq!(sim.scheduler.view("a"), Some(JobView::Running));
}

// Guards against counting a start that another process refused at the worker's old address.
#[test]
fn a_unit_whose_starts_reach_other_instances_is_not_given_up() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![step(1, 1_000)], sim.now), sim.now);
    for count in 0..8 {
        sim.scheduler.plan(sim.now);
        sim.commit();
        let actions = sim.scheduler.take_actions();
        for action in actions {
            let Action::Start(command) = action else {
                continue;
            };
            let reply = StartReply::OtherInstance;
            let (worker, unit) = (command.worker, command.unit);
            let (run, token) = (command.run, command.token);
            sim.scheduler.handle_start_reply(&worker, &unit, run, token, reply, sim.now);
            sim.replace_worker(&worker, &format!("n{count}"));
        }
        sim.now += millis(300);
        sim.report_all();
    }
    assert_eq!(sim.scheduler.view("a"), Some(JobView::Queued));
}

/// Guards against work that is done again although the worker had reported a checkpoint of it
/// before it crashed.
#[test]
fn a_lost_unit_resumes_from_the_checkpoint_that_was_last_reported() {
    let mut sim = Simulation::new(&["a", "b"], config(3, NO_QUOTA));
    let with_checkpoints = Step { has_checkpoints: true, ..step(1, 1_000) };
    sim.scheduler.add_job(job("j", vec![with_checkpoints], sim.now), sim.now);
    let started_on = sim.run_round()[0].worker.clone();
    sim.worker(&started_on).running[0].checkpoint = "half".to_owned();
    sim.run_for(seconds(1));
    sim.worker(&started_on).crash();
    sim.restart_worker(&started_on);
    let starts = sim.run_for(seconds(5));
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].checkpoint, "half");
}
