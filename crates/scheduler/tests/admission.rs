//! Admission of jobs under overload: what cannot be served in time is refused at once, and nothing
//! is refused without a recent forecast or while the pool has free capacity.

#[path = "common/simulation.rs"]
mod simulation;

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use scheduler::AdmissionDecision;
use scheduler::Config;
use scheduler::JobRecord;
use scheduler::Moment;
use scheduler::Policy;
use scheduler::Queue;
use scheduler::Rejection;
use scheduler::RejectionReason;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::SortedMap;
use scheduler::Step;
use scheduler::Team;
use scheduler::UnitKey;
use simulation::Simulation;
use simulation::UNIX_MS;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::seconds;
use simulation::step;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };
const TICK: Duration = Duration::from_millis(100);
/// Time that a unit runs.
const UNIT_TIME: Duration = Duration::from_millis(800);
/// Time after its submission until which a job of [`job_of`] is useful: three times the time to its
/// deadline (critical path 0.8 s, stretch 1.6, slack 0.6 s).
const USEFUL_TIME: Duration = Duration::from_millis(5_640);

/// Two workers under load in virtual time; each has capacity for two jobs of [`job_of`].
struct Load {
    sim: Simulation,
    running: Vec<(Moment, UnitKey)>,
    /// When each job was submitted and when it ended.
    submitted: SortedMap<Arc<str>, Moment>,
    ended: SortedMap<Arc<str>, Moment>,
    rejections: Vec<(Arc<str>, Moment, Rejection)>,
}

/// Returns a configuration with the teams `hot` and `calm`.
fn config_with(rate_share: f64, quota: Resources) -> Arc<Config> {
    let hot = Team { rate_share, quota };
    let calm = Team { rate_share, quota: NO_QUOTA };
    let teams = [("hot".into(), hot), ("calm".into(), calm)].into_iter().collect();
    Arc::new(Config { teams, ..(*config(3, NO_QUOTA)).clone() })
}

fn job_of(team: &str, id: &str, now: Moment) -> Arc<JobRecord> {
    let record = job(id, vec![step(1, 8_000)], now);
    Arc::new(JobRecord { team: Some(team.into()), ..(*record).clone() })
}

impl Load {
    fn new(config: Arc<Config>, policies: &[Policy]) -> Self {
        let sim = Simulation::with_policies(&["w1", "w2"], config, policies);
        Self {
            sim,
            running: Vec::new(),
            submitted: SortedMap::default(),
            ended: SortedMap::default(),
            rejections: Vec::new(),
        }
    }

    /// Lets the owner pass its first two seconds without any load.
    fn warmed_up(config: Arc<Config>, policies: &[Policy]) -> Self {
        let mut load = Self::new(config, policies);
        load.run_for(seconds(3));
        load
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.sim.now + time;
        while self.sim.now < until {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.sim.now += TICK;
        let now = self.sim.now;
        let (due, running) = self.running.drain(..).partition(|(end_at, _)| *end_at <= now);
        self.running = running;
        let due: Vec<(Moment, UnitKey)> = due;
        for (_, unit) in due {
            self.sim.complete_run(&unit, RunOutcome::Done);
            self.ended.insert(unit.job, now);
        }
        self.sim.report_all();
        self.sim.commit();
        for start in self.sim.run_round() {
            self.running.push((now + UNIT_TIME, start.unit));
        }
    }

    fn submit(&mut self, record: Arc<JobRecord>) -> Option<Rejection> {
        let now = self.sim.now;
        match self.sim.scheduler.admit(&record, now) {
            AdmissionDecision::Accept => {
                self.submitted.insert(record.id.clone(), now);
                self.sim.scheduler.add_job(record, now);
                None
            }
            AdmissionDecision::Reject(rejection) => {
                self.rejections.push((record.id.clone(), now, rejection));
                Some(rejection)
            }
        }
    }

    /// Submits jobs until one is refused.
    fn submit_until_refused(&mut self, team: &str) -> (Arc<JobRecord>, Rejection) {
        (0..1_000)
            .find_map(|number| {
                let record = job_of(team, &format!("{team}-{number}"), self.sim.now);
                self.submit(record.clone()).map(|rejection| (record, rejection))
            })
            .expect("a backlog of a thousand jobs is refused")
    }

    /// Returns how long after their submission the accepted jobs of a team ended, sorted.
    fn times_to_end(&self, team: &str) -> Vec<Duration> {
        let of_team = self.submitted.iter().filter(|(id, _)| id.starts_with(team));
        let mut times: Vec<Duration> =
            of_team.map(|(id, at)| *self.ended.get(id).expect("the job has ended") - *at).collect();
        times.sort();
        times
    }
}

/// Runs `ticks` of a load in which `hot` submits nine times what `calm` does, and then waits until
/// all accepted jobs have ended.
fn run_flood(load: &mut Load, ticks: u32) {
    for number in 0..ticks {
        let now = load.sim.now;
        if number % 10 == 0 {
            load.submit(job_of("calm", &format!("calm-{number}"), now));
        }
        for part in 0..2 {
            load.submit(job_of("hot", &format!("hot-{number}-{part}"), now));
        }
        load.tick();
    }
    load.run_for(seconds(120));
}

/// Load: one team sends many times its usual number of jobs for twenty seconds, four times what the
/// pool can do.
#[test]
fn a_flood_is_refused_and_accepted_jobs_end_while_they_are_useful() {
    let mut load = Load::warmed_up(config_with(1.0, NO_QUOTA), &[Policy::Admission]);
    run_flood(&mut load, 200);
    let is_hot = |id: &str| id.starts_with("hot");
    assert!(load.rejections.iter().all(|(id, ..)| is_hot(id)), "{:?}", load.rejections);
    assert!(load.rejections.len() > 200, "{}", load.rejections.len());
    let calm = load.times_to_end("calm");
    assert_eq!(calm.len(), 20);
    assert!(calm.iter().all(|time| *time <= millis(1_900)), "{calm:?}");
    let hot = load.times_to_end("hot");
    // The pool can run 100 jobs in the time of the flood, 20 of which are of `calm`.
    let useful = hot.iter().filter(|time| **time <= USEFUL_TIME).count();
    assert!(useful >= 80, "the pool is used: {useful}");
    assert!(useful * 100 >= hot.len() * 80, "{useful} of {}", hot.len());
}

/// Without the policy, the same flood is accepted as a whole and ends late.
#[test]
fn nothing_is_refused_without_the_policy() {
    let mut load = Load::warmed_up(config_with(1.0, NO_QUOTA), &[]);
    run_flood(&mut load, 200);
    assert!(load.rejections.is_empty());
    let hot = load.times_to_end("hot");
    let useful = hot.iter().filter(|time| **time <= USEFUL_TIME).count();
    assert!(useful * 100 < hot.len() * 25, "{useful} of {}", hot.len());
}

/// Load: a team floods a pool that teams share by weight, within its rate share. It is behind its
/// share, and the other team is served as if it was not there.
#[test]
fn a_team_within_its_share_is_not_refused_for_the_flood_of_another() {
    let policies = [Policy::FairShares, Policy::Admission];
    let mut load = Load::warmed_up(config_with(100.0, NO_QUOTA), &policies);
    run_flood(&mut load, 200);
    let refused = load.rejections.iter().filter(|(id, ..)| id.starts_with("calm"));
    assert_eq!(refused.count(), 0);
    let calm = load.times_to_end("calm");
    let in_time = calm.iter().filter(|time| **time <= millis(1_900)).count();
    assert!(in_time >= 18, "{calm:?}");
}

/// Load: the durations of units are three times the callers' estimates, or a third of them. The
/// pool must neither be idle while jobs are refused nor collect work without bound.
#[rstest]
#[case::too_low(UNIT_TIME / 3)]
#[case::too_high(UNIT_TIME * 3)]
fn estimates_wrong_by_a_factor_of_three_leave_no_pool_idle(#[case] estimate: Duration) {
    let mut load = Load::warmed_up(config_with(0.0, NO_QUOTA), &[Policy::Admission]);
    for number in 0..200 {
        for part in 0..2 {
            let record = job_of("hot", &format!("hot-{number}-{part}"), load.sim.now);
            let step = Step { estimate_ms: estimate.as_millis() as u64, ..record.steps[0].clone() };
            let record = JobRecord { steps: vec![step], ..(*record).clone() };
            let is_refused = load.submit(Arc::new(record)).is_some();
            assert!(!is_refused || load.running.len() == 4, "refused beside free capacity");
        }
        load.tick();
        let unfinished = load.submitted.len() - load.ended.len();
        // By too low an estimate, 46 late jobs fit into the useful time, and 11 jobs can still
        // start in time; without a bound, 300 would wait in the end.
        assert!(unfinished <= 60, "{unfinished}");
    }
    load.run_for(seconds(120));
    assert!(!load.rejections.is_empty());
    let times = load.times_to_end("hot");
    assert!(times.len() >= 95, "the pool is used: {}", times.len());
}

/// Load: refused callers return at the time that they were told, each with a new caller of their
/// team beside it. They go before the new ones, and are told to come back sooner.
#[test]
fn callers_that_return_in_time_go_before_new_ones_and_are_spread() {
    let mut load = Load::warmed_up(config_with(0.0, NO_QUOTA), &[Policy::Admission]);
    load.submit_until_refused("hot");
    for number in 0..40 {
        let record = job_of("hot", &format!("late-{number:02}"), load.sim.now);
        assert!(load.submit(record).is_some());
    }
    let retries: Vec<u64> =
        load.rejections.iter().map(|(.., rejection)| rejection.retry_after.as_secs()).collect();
    assert!(retries.is_sorted() && retries.iter().all(|s| (1..=30).contains(s)), "{retries:?}");
    assert!(retries[40] >= retries[1] + 7, "40 jobs take the pool 8 s: {retries:?}");
    let told: Vec<(Arc<str>, Moment)> = load
        .rejections
        .iter()
        .map(|(id, at, rejection)| (id.clone(), *at + rejection.retry_after))
        .collect();
    let (mut returned, mut new) = (Vec::new(), Vec::new());
    for (number, (id, return_at)) in told.iter().enumerate() {
        load.run_for(return_at.saturating_sub(load.sim.now));
        let newcomer = job_of("hot", &format!("new-{number}"), load.sim.now);
        new.extend(load.submit(newcomer).map(|rejection| rejection.retry_after));
        let returning = job_of("hot", id, load.sim.now);
        returned.extend(load.submit(returning).map(|rejection| rejection.retry_after));
    }
    let (refused_again, refused_new) = (returned.len(), new.len());
    assert!(refused_again <= 4, "{refused_again} of {} were refused again", told.len());
    assert!(refused_new >= told.len() / 2, "{refused_new}");
    let longest = returned.iter().max().copied().unwrap_or_default();
    assert!(new.iter().all(|retry| *retry > longest), "{longest:?} {new:?}");
}

/// Failure: callers that do not return must not keep others away for longer than they are expected.
#[test]
fn callers_that_do_not_return_are_not_waited_for() {
    let mut load = Load::warmed_up(config_with(0.0, NO_QUOTA), &[Policy::Admission]);
    load.submit_until_refused("hot");
    load.run_for(seconds(9));
    assert_eq!(load.submit(job_of("hot", "later", load.sim.now)), None);
}

/// Jobs that never count as late are accepted under any backlog.
#[rstest]
#[case::long_running(|record: &mut JobRecord| record.steps[0].is_long_running = true)]
#[case::scheduled(|record: &mut JobRecord| record.repetitions = 2)]
#[case::no_deadline(|record: &mut JobRecord| record.queue = "batch".into())]
#[case::unknown_queue(|record: &mut JobRecord| record.queue = "removed".into())]
fn a_job_without_a_deadline_is_never_refused(#[case] change: fn(&mut JobRecord)) {
    let mut config = (*config_with(0.0, NO_QUOTA)).clone();
    let queue = config.queues.get("q").unwrap().clone();
    let batch = Queue { stretch: 1.0, deadline_slack: Duration::ZERO, ..queue };
    config.queues.insert("batch".into(), batch);
    let mut load = Load::warmed_up(Arc::new(config), &[Policy::Admission]);
    load.submit_until_refused("hot");
    let mut record = (*job_of("hot", "other", load.sim.now)).clone();
    change(&mut record);
    assert_eq!(load.submit(Arc::new(record)), None);
}

/// Failure: the store is slow, so that nothing is placed. A forecast older than half a second tells
/// nothing.
#[test]
fn nothing_is_refused_from_an_old_forecast() {
    let mut load = Load::warmed_up(config_with(0.0, NO_QUOTA), &[Policy::Admission]);
    let (record, rejection) = load.submit_until_refused("hot");
    assert!(rejection.forecast_age <= millis(500), "{rejection:?}");
    load.sim.now += millis(501);
    assert_eq!(load.submit(record), None);
}

/// Failure: the owner changes between a refusal and the return. The new owner does not refuse
/// anything until it has seen the fleet for two seconds; then the caller counts as new.
#[test]
fn a_new_owner_refuses_nothing_at_first() {
    let config = config_with(0.0, NO_QUOTA);
    let mut load = Load::warmed_up(config.clone(), &[Policy::Admission]);
    let (refused, _) = load.submit_until_refused("hot");
    load.tick();
    let jobs: Vec<Arc<JobRecord>> =
        load.submitted.iter().map(|(id, at)| job_of("hot", id, *at)).collect();
    load.sim.take_over(2, config, Duration::ZERO, &jobs);
    load.run_for(millis(1_500));
    assert_eq!(load.sim.scheduler.view(&refused.id), None, "a refused job never runs");
    assert_eq!(load.submit(job_of("hot", "first", load.sim.now)), None);
    load.run_for(millis(700));
    load.submit_until_refused("hot");
}

/// Failure: the reply to a refusal is lost, so that a node stores the same submission; or an
/// earlier submission is stored only after a later one was refused. Only the latter is dropped.
#[test]
fn only_submissions_before_a_refused_one_are_dropped() {
    let mut load = Load::warmed_up(config_with(0.0, NO_QUOTA), &[Policy::Admission]);
    let (refused, _) = load.submit_until_refused("hot");
    let submitted_at = |offset_ms: i64| {
        let accepted_ms = refused.accepted_ms.saturating_add_signed(offset_ms);
        JobRecord { accepted_ms, ..(*refused).clone() }
    };
    assert!(load.sim.scheduler.is_refused_since(&submitted_at(-1)));
    assert!(!load.sim.scheduler.is_refused_since(&submitted_at(0)));
    assert!(!load.sim.scheduler.is_refused_since(&submitted_at(1_000)));
    load.run_for(seconds(62));
    assert_eq!(refused.accepted_ms, UNIX_MS + seconds(103).as_millis() as u64);
    assert_eq!(load.submit(job_of("hot", &refused.id, load.sim.now)), None);
    assert!(!load.sim.scheduler.is_refused_since(&submitted_at(-1)), "it was accepted since");
}

/// Load: a flood of ids that never return. The owner remembers the last 4,096 of them, and none for
/// longer than a minute.
#[test]
fn the_memory_of_refused_jobs_is_bounded() {
    let mut load = Load::warmed_up(config_with(0.0, NO_QUOTA), &[Policy::Admission]);
    let (first, _) = load.submit_until_refused("hot");
    let mut last = first.clone();
    let is_remembered = |load: &Load, refused: &JobRecord| {
        let earlier = JobRecord { accepted_ms: refused.accepted_ms - 1, ..refused.clone() };
        load.sim.scheduler.is_refused_since(&earlier)
    };
    for number in 0..4_096 {
        assert!(is_remembered(&load, &first), "{number}");
        last = job_of("hot", &format!("flood-{number}"), load.sim.now);
        assert!(load.submit(last.clone()).is_some());
    }
    assert!(!is_remembered(&load, &first));
    assert!(is_remembered(&load, &last));
    load.run_for(seconds(61));
    assert!(!is_remembered(&load, &last));
}

/// Load: a team has used up its quota while the pool has free capacity. Only its own jobs are
/// refused, and its backlog delays nobody else.
#[test]
fn a_team_at_its_quota_is_refused_alone() {
    let quota = Resources { cpu_millis: 8_000, ..NO_QUOTA };
    let mut load = Load::warmed_up(config_with(0.0, quota), &[Policy::Admission]);
    load.submit(job_of("hot", "hot-first", load.sim.now));
    load.submit(job_of("hot", "hot-second", load.sim.now));
    load.tick();
    let (_, rejection) = load.submit_until_refused("hot");
    assert_eq!(rejection.reason, RejectionReason::TeamQuota);
    assert!(load.submitted.len() <= 10, "{}", load.submitted.len());
    load.tick();
    for number in 0..6 {
        let record = job_of("calm", &format!("calm-{number}"), load.sim.now);
        assert_eq!(load.submit(record), None);
    }
}
