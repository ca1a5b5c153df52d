//! Wide steps in a stream of small units: their wait is bounded, and small units use the reserved
//! workers as long as they do not delay the wide step.

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
use scheduler::Queue;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::StartCommand;
use scheduler::Step;
use scheduler::UnitKey;
use scheduler::WorkerRegistration;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::registration;
use simulation::seconds;
use simulation::step;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };
const TICK: Duration = Duration::from_millis(25);
const WORKERS: [&str; 8] = ["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"];
/// Time that a small unit runs.
const UNIT_TIME: Duration = Duration::from_millis(800);
/// Time that a short unit runs.
const SHORT_UNIT_TIME: Duration = Duration::from_millis(100);
/// Time until a step gets a reservation: it waits 500 ms, and an attempt is made every 250 ms.
const RESERVED_AFTER: Duration = Duration::from_millis(900);
/// Bound of the wait after that: twice the longest expected run.
const WAIT_MAX: Duration = Duration::from_millis(1_600);

/// Eight workers of 16 cores in virtual time that are kept full of small units of 4 cores.
struct Stream {
    sim: Simulation,
    running: Vec<(Moment, UnitKey)>,
    starts: Vec<(Moment, StartCommand)>,
    submitted: usize,
    /// Time that a small unit really takes.
    unit_time: Duration,
}

/// Returns a configuration in which units of the queues `urgent` and `q` go before those of the
/// stream, which are in the queue `later`.
fn stream_config() -> Arc<Config> {
    let mut config = (*config(3, NO_QUOTA)).clone();
    let queue = config.queues.get("q").unwrap().clone();
    config.queues.insert("urgent".into(), queue.clone());
    config.queues.insert("later".into(), Queue { priority: 2, ..queue.clone() });
    config.queues.insert("last".into(), Queue { priority: 3, ..queue.clone() });
    config.queues.insert("q".into(), Queue { priority: 1, ..queue });
    Arc::new(config)
}

fn in_queue(queue: &str, record: &JobRecord) -> Arc<JobRecord> {
    Arc::new(JobRecord { queue: queue.into(), ..record.clone() })
}

impl Stream {
    /// Starts a stream that has run for two seconds. The ends of the small units are spread evenly.
    fn new(policies: &[Policy]) -> Self {
        let sim = Simulation::with_policies(&WORKERS, stream_config(), policies);
        let unit_time = UNIT_TIME;
        let (running, starts) = (Vec::new(), Vec::new());
        let mut stream = Self { sim, running, starts, submitted: 0, unit_time };
        stream.run_for(seconds(2));
        stream
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.sim.now + time;
        while self.sim.now < until {
            self.tick();
        }
    }

    /// Submits a small job, so that the pool stays full, and makes a round.
    fn tick(&mut self) {
        self.sim.now += TICK;
        let now = self.sim.now;
        let record = job(&format!("small-{:05}", self.submitted), vec![step(1, 4_000)], now);
        self.submitted += 1;
        self.sim.scheduler.add_job(in_queue("later", &record), now);
        let (due, running): (Vec<_>, Vec<_>) =
            self.running.drain(..).partition(|(end_at, _)| *end_at <= now);
        self.running = running;
        for (_, unit) in due {
            // A crashed worker has lost its runs.
            if self.sim.workers.iter().any(|w| w.running.iter().any(|run| run.unit == unit)) {
                self.sim.complete_run(&unit, RunOutcome::Done);
            }
        }
        for run in self.sim.workers.iter_mut().flat_map(|worker| &mut worker.running) {
            run.progress_percent = (run.progress_percent + 1) % 99;
        }
        self.sim.report_all();
        self.sim.commit();
        for start in self.sim.run_round() {
            let is_short = start.unit.job.starts_with("short");
            let time = if is_short { SHORT_UNIT_TIME } else { self.unit_time };
            self.running.push((now + time, start.unit.clone()));
            self.starts.push((now, start));
        }
    }

    /// Returns when the last unit of a job started; none if not all have.
    fn started_at(&self, job: &str, units: usize) -> Option<Moment> {
        let starts = self.starts.iter().filter(|(_, start)| *start.unit.job == *job);
        let starts: Vec<Moment> = starts.map(|(at, _)| *at).collect();
        (starts.len() == units).then(|| starts.into_iter().max()).flatten()
    }

    /// Returns the reasons of the decisions of a kind.
    fn decisions(&self, wanted: &str) -> Vec<String> {
        let why = |action: &Action| match action {
            Action::LogDecision { what, why, .. } if *what == wanted => Some(why.clone()),
            _ => None,
        };
        self.sim.other_actions.iter().filter_map(why).collect()
    }

    /// Returns the workers that the last reservation holds.
    fn reserved_workers(&self) -> Vec<String> {
        let reserved = self.decisions("workers reserved");
        let why = reserved.last().expect("a reservation was made");
        let workers = why.split("workers=").nth(1).unwrap().split(' ').next().unwrap();
        workers.split(',').map(str::to_owned).collect()
    }

    /// Submits a job that is wide, and returns the time of its submission.
    fn submit_wide(&mut self, step: Step) -> Moment {
        let record = job("wide", vec![step], self.sim.now);
        self.sim.scheduler.add_job(record, self.sim.now);
        self.sim.now
    }
}

fn gang() -> Step {
    Step { is_gang: true, ..step(2, 16_000) }
}

/// Load: a wide step waits in a stream of small units that is as much as the pool can do. Although
/// it goes before them, it does not start without a reservation.
#[rstest]
#[case::gang(gang())]
#[case::wide_step(Step { per_worker_max: 2, ..step(4, 8_000) })]
fn the_wait_of_a_wide_step_is_bounded(#[case] wide: Step) {
    let units = wide.count as usize;
    let mut stream = Stream::new(&[Policy::WideSteps]);
    let submitted_at = stream.submit_wide(wide);
    stream.run_for(seconds(5));
    let started_at = stream.started_at("wide", units).expect("the step has started");
    let waited = started_at - submitted_at;
    assert!(waited <= RESERVED_AFTER + WAIT_MAX, "{waited:?}");
    assert_eq!(stream.decisions("workers reserved").len(), 1);
    assert_eq!(stream.decisions("reservation ended").len(), 1);
    assert!(stream.reserved_workers().len() <= 2, "at most a quarter of the pool");
}

/// Without the policy, the steps of the same load do not start, and no decision is made.
#[rstest]
#[case::gang(gang())]
#[case::wide_step(Step { per_worker_max: 2, ..step(4, 8_000) })]
fn a_wide_step_starves_without_the_policy(#[case] wide: Step) {
    let units = wide.count as usize;
    let mut stream = Stream::new(&[]);
    stream.submit_wide(wide);
    stream.run_for(seconds(5));
    assert_eq!(stream.started_at("wide", units), None);
    assert!(stream.decisions("workers reserved").is_empty());
}

/// Load: units that are short enough end before the reservation starts. They must use the reserved
/// workers meanwhile, and must not delay the wide step. What does not fit beside the reservation
/// does not show that a short unit behind it in the order fits nowhere.
#[rstest]
#[case::before_the_stream("later")]
#[case::behind_the_stream("last")]
fn short_units_backfill_reserved_workers(#[case] queue: &str) {
    let mut stream = Stream::new(&[Policy::WideSteps]);
    let submitted_at = stream.submit_wide(gang());
    while stream.decisions("workers reserved").is_empty() {
        stream.tick();
    }
    let reserved = stream.reserved_workers();
    let now = stream.sim.now;
    let short = Step { estimate_ms: SHORT_UNIT_TIME.as_millis() as u64, ..step(20, 4_000) };
    for number in 0..5 {
        let record = job(&format!("short-{number}"), vec![short.clone()], now);
        stream.sim.scheduler.add_job(in_queue(queue, &record), now);
    }
    stream.run_for(seconds(3));
    let waited = stream.started_at("wide", 2).unwrap() - submitted_at;
    assert!(waited <= RESERVED_AFTER + WAIT_MAX, "{waited:?}");
    let backfilled = stream.starts.iter().filter(|(_, start)| {
        start.unit.job.starts_with("short") && reserved.iter().any(|id| **id == *start.worker)
    });
    assert!(backfilled.count() >= 2);
}

/// A long-running unit, and a unit of a more urgent queue, must not wait for a reservation.
#[rstest]
#[case::long_running("later", Step { is_long_running: true, ..step(1, 12_000) })]
#[case::urgent("urgent", step(1, 12_000))]
fn reserved_workers_take_units_that_cannot_wait(#[case] queue: &str, #[case] step: Step) {
    let mut config = (*stream_config()).clone();
    config.queues.get_mut("urgent").unwrap().priority = 0;
    let mut stream = Stream::new(&[Policy::WideSteps]);
    stream.sim.scheduler.set_config(Arc::new(config));
    stream.submit_wide(gang());
    while stream.decisions("workers reserved").is_empty() {
        stream.tick();
    }
    let reserved = stream.reserved_workers();
    let record = job("now", vec![step], stream.sim.now);
    stream.sim.scheduler.add_job(in_queue(queue, &record), stream.sim.now);
    stream.run_for(WAIT_MAX);
    let start = stream.starts.iter().find(|(_, start)| &*start.unit.job == "now");
    let (_, start) = start.expect("the unit has started");
    // The stream leaves no more than four cores free at a time on the other workers.
    assert!(reserved.iter().any(|id| **id == *start.worker), "{start:?}");
}

/// A step that needs more than a quarter of the workers gets no reservation.
#[test]
fn a_step_that_needs_too_many_workers_gets_no_reservation() {
    let mut stream = Stream::new(&[Policy::WideSteps]);
    stream.submit_wide(Step { is_gang: true, ..step(3, 16_000) });
    stream.run_for(seconds(3));
    assert!(stream.decisions("workers reserved").is_empty());
}

fn crash(sim: &mut Simulation, worker: &str) {
    sim.worker(worker).crash();
    sim.scheduler.unregister_worker(worker);
}

fn evacuate(sim: &mut Simulation, worker: &str) {
    let registration = WorkerRegistration { zone: "a".into(), ..registration(worker) };
    sim.scheduler.update_worker(registration, Duration::ZERO, sim.now);
    sim.scheduler.set_evacuated_zones(&["a".into()]);
}

/// Failure: a reserved worker is lost, or its zone is evacuated. Another one takes its place.
#[rstest]
#[case::crashed(crash)]
#[case::evacuated(evacuate)]
fn a_lost_worker_is_replaced(#[case] lose: fn(&mut Simulation, &str)) {
    let mut stream = Stream::new(&[Policy::WideSteps]);
    let submitted_at = stream.submit_wide(Step { is_gang: true, ..step(2, 8_000) });
    while stream.decisions("workers reserved").is_empty() {
        stream.tick();
    }
    let lost = stream.reserved_workers()[0].clone();
    lose(&mut stream.sim, &lost);
    stream.run_for(seconds(5));
    assert_eq!(stream.decisions("workers reserved").len(), 2);
    assert!(!stream.reserved_workers().contains(&lost));
    let waited = stream.started_at("wide", 2).expect("the gang has started") - submitted_at;
    assert!(waited <= RESERVED_AFTER + WAIT_MAX, "{waited:?}");
}

/// Failure: the owner changes. The reservation is made anew, and the step starts.
#[test]
fn a_new_owner_makes_the_reservation_anew() {
    let mut stream = Stream::new(&[Policy::WideSteps]);
    stream.submit_wide(gang());
    while stream.decisions("workers reserved").is_empty() {
        stream.tick();
    }
    let now = stream.sim.now;
    let jobs: Vec<Arc<JobRecord>> = (0..stream.submitted)
        .map(|number| {
            let record = job(&format!("small-{number:05}"), vec![step(1, 4_000)], now);
            in_queue("later", &record)
        })
        .chain([job("wide", vec![gang()], now)])
        .filter(|record| {
            let progress = stream.sim.stored_progress.get(&record.id);
            progress.is_none_or(|progress| progress.final_state.is_none())
        })
        .collect();
    stream.sim.take_over(2, stream_config(), Duration::ZERO, &jobs);
    stream.run_for(seconds(5));
    assert_eq!(stream.decisions("workers reserved").len(), 2);
    let started_at = stream.started_at("wide", 2).expect("the gang has started");
    assert!(started_at - now <= RESERVED_AFTER + WAIT_MAX + millis(250));
}

/// Failure: the runs on the reserved workers take far longer than expected. The reservation ends
/// after twice the bound, so that it does not keep workers idle for ever.
#[test]
fn a_reservation_ends_after_twice_the_bound() {
    let mut stream = Stream::new(&[Policy::WideSteps]);
    stream.unit_time = seconds(60);
    stream.run_for(seconds(1));
    stream.submit_wide(gang());
    // A unit that ends lets a small one pass the gang.
    stream.run_for(millis(100));
    let unit = stream.sim.worker("w1").running[0].unit.clone();
    stream.sim.complete_run(&unit, RunOutcome::Done);
    stream.run_for(seconds(5));
    let ended = stream.decisions("reservation ended");
    assert_eq!(stream.decisions("workers reserved").len(), 1);
    assert!(ended.iter().any(|why| why.contains("its time is over")), "{ended:?}");
}
