//! Accepted jobs whose queue the configuration has dropped. They keep the settings under which they were
//! accepted.

#[path = "common/simulation.rs"]
mod simulation;

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use scheduler::Action;
use scheduler::AdviceTimes;
use scheduler::Config;
use scheduler::FinalState;
use scheduler::JobRecord;
use scheduler::JobView;
use scheduler::Queue;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::SortedMap;
use simulation::Simulation;
use simulation::accepted_job;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::seconds;
use simulation::step;
use simulation::unit;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };
const FAILED: Option<JobView> = Some(JobView::Ended(FinalState::Failed));

/// Returns the configuration with another version and without its queues.
fn without_queues(config: &Config) -> Arc<Config> {
    Arc::new(Config { version: config.version + 1, queues: SortedMap::default(), ..config.clone() })
}

/// Fails the unit of job `a` until it isn't started again; returns how often it has failed.
fn fail_until_not_started(sim: &mut Simulation) -> u32 {
    let mut failures = 0;
    while sim.workers.iter().any(|worker| !worker.running.is_empty()) {
        sim.complete_run(&unit("a", 0, 0), RunOutcome::Failed);
        failures += 1;
        sim.run_for(seconds(1));
    }
    failures
}

/// Guards against a job that fails too early or too late, since its queue counted as one with three
/// attempts while the configuration lacked it.
#[rstest]
#[case::fewer_than_usual(1)]
#[case::fewer(2)]
#[case::more(4)]
fn a_job_keeps_its_attempts_while_its_queue_is_dropped(#[case] attempts_max: u32) {
    let config = config(attempts_max, NO_QUOTA);
    let mut sim = Simulation::new(&["w1", "w2"], config.clone());
    let record = accepted_job(&config, "a", vec![step(1, 1_000)], sim.now);
    sim.scheduler.add_job(record, sim.now);
    sim.run_for(millis(400));
    sim.scheduler.set_config(without_queues(&config));
    assert_eq!(fail_until_not_started(&mut sim), attempts_max);
    assert_eq!(sim.scheduler.view("a"), FAILED);
}

/// Guards against the same at a successor that has read only the version without the queue, or none yet.
#[rstest]
#[case::fewer(2, true)]
#[case::more(4, true)]
#[case::fewer_without_config(2, false)]
#[case::more_without_config(4, false)]
fn a_successor_keeps_the_attempts_of_a_dropped_queue(
    #[case] attempts_max: u32,
    #[case] has_read_config: bool,
) {
    let config = config(attempts_max, NO_QUOTA);
    let mut sim = Simulation::new(&["w1", "w2"], config.clone());
    let record = accepted_job(&config, "a", vec![step(1, 1_000)], sim.now);
    sim.scheduler.add_job(record.clone(), sim.now);
    sim.run_for(millis(400));
    sim.complete_run(&unit("a", 0, 0), RunOutcome::Failed);
    sim.run_for(seconds(1));
    let read = if has_read_config { without_queues(&config) } else { Arc::default() };
    sim.take_over(2, read, seconds(6), &[record]);
    sim.run_for(seconds(1));
    assert_eq!(fail_until_not_started(&mut sim), attempts_max - 1);
    assert_eq!(sim.scheduler.view("a"), FAILED);
}

/// Guards against attempts that are made up: neither the configuration nor the row of the job, which an
/// earlier version of the program has stored, tells them. A unit that has failed waits until they are
/// known.
#[rstest]
#[case::left(2, None)]
#[case::exhausted(1, FAILED)]
fn a_failed_unit_waits_until_its_attempts_are_known(
    #[case] attempts_max: u32,
    #[case] view: Option<JobView>,
) {
    let config = config(attempts_max, NO_QUOTA);
    let mut sim = Simulation::new(&["w1", "w2"], config.clone());
    sim.scheduler.add_job(job("a", vec![step(1, 1_000)], sim.now), sim.now);
    sim.run_for(millis(400));
    sim.scheduler.set_config(without_queues(&config));
    assert_eq!(fail_until_not_started(&mut sim), 1);
    assert_eq!(sim.scheduler.view("a"), Some(JobView::Running));
    sim.scheduler.set_config(config);
    let starts = sim.run_for(seconds(1));
    assert_eq!(starts.len(), usize::from(view.is_none()));
    assert_eq!(sim.scheduler.view("a"), view.or(Some(JobView::Running)));
}

/// Guards against a run too many after the attempts of a queue were lowered to the number of a unit's
/// failures: they were compared only when a failure became known.
#[test]
fn a_unit_is_not_started_beyond_lowered_attempts() {
    let mut sim = Simulation::new(&["w1", "w2"], config(4, NO_QUOTA));
    let record = accepted_job(&config(4, NO_QUOTA), "a", vec![step(1, 1_000)], sim.now);
    sim.scheduler.add_job(record, sim.now);
    for _ in 0..2 {
        assert_eq!(sim.run_for(seconds(1)).len(), 1);
        sim.complete_run(&unit("a", 0, 0), RunOutcome::Failed);
    }
    sim.report_all();
    sim.scheduler.set_config(config(2, NO_QUOTA));
    assert_eq!(sim.run_for(seconds(1)), []);
    assert_eq!(sim.scheduler.view("a"), FAILED);
}

/// Guards against a start of another step of a job that fails in the same round.
#[test]
fn no_step_of_a_job_without_attempts_is_started() {
    let mut sim = Simulation::new(&["w1"], config(4, NO_QUOTA));
    let steps = vec![step(1, 16_000), step(1, 16_000)];
    sim.scheduler.add_job(accepted_job(&config(4, NO_QUOTA), "a", steps, sim.now), sim.now);
    for _ in 0..2 {
        assert_eq!(sim.run_for(seconds(1)).len(), 1);
        sim.complete_run(&unit("a", 0, 0), RunOutcome::Failed);
    }
    sim.report_all();
    sim.scheduler.set_config(config(2, NO_QUOTA));
    sim.scheduler.plan(sim.now + millis(100));
    assert_eq!(sim.scheduler.team_usage("t"), NO_QUOTA, "no run is planned");
    assert_eq!(sim.run_for(seconds(1)), []);
    assert_eq!(sim.scheduler.view("a"), FAILED);
}

/// Guards against a start without a ticket, which the worker refuses: a dropped queue counted as one
/// whose units may run anywhere.
#[test]
fn units_of_a_dropped_queue_still_need_advice() {
    let config = config(3, NO_QUOTA);
    let times = AdviceTimes {
        call_time: millis(10),
        time_per_worker: millis(1),
        ticket_validity: seconds(60),
    };
    let queue = config.queues.get("q").cloned().unwrap();
    let advised = Queue { advice: Some(times), ..queue };
    let queues = [("q".into(), advised)].into_iter().collect();
    let advised = Config { queues, ..(*config).clone() };
    let mut sim = Simulation::new(&["w1"], without_queues(&config));
    sim.scheduler.add_job(accepted_job(&advised, "a", vec![step(1, 1_000)], sim.now), sim.now);
    assert_eq!(sim.run_round(), []);
    assert!(matches!(sim.other_actions[..], [Action::RequestAdvice { .. }]));
    let (worker, ticket) = ("w1".into(), "ticket".into());
    sim.scheduler.handle_advice(&unit("a", 0, 0), &["w1".into()], &[(worker, ticket)], sim.now);
    sim.now += seconds(1);
    let starts = sim.run_round();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].ticket.as_deref(), Some("ticket"));
}

/// Guards against an accepted job that goes behind all others while its queue is dropped.
#[test]
fn a_job_of_a_dropped_queue_keeps_its_priority() {
    let config = config(3, NO_QUOTA);
    let queue = config.queues.get("q").cloned().unwrap();
    let later = Queue { priority: 5, ..queue };
    let mut sim = Simulation::new(&["w1"], config.clone());
    let others = [("other".into(), later)].into_iter().collect();
    sim.scheduler.set_config(Arc::new(Config { queues: others, ..(*config).clone() }));
    let mut other = (*job("a", vec![step(1, 16_000)], sim.now)).clone();
    other.queue = "other".into();
    sim.scheduler.add_job(other.into(), sim.now);
    sim.scheduler.add_job(accepted_job(&config, "b", vec![step(1, 16_000)], sim.now), sim.now);
    let starts = sim.run_round();
    assert_eq!(starts.len(), 1);
    assert_eq!(&*starts[0].unit.job, "b");
}

/// Guards against settings that are not the same after a take-over, and against rows that grow by more
/// than they have to.
#[test]
fn the_settings_of_a_queue_are_stored_whole_and_short() {
    let times = AdviceTimes {
        call_time: Duration::from_micros(2_500),
        time_per_worker: millis(1),
        ticket_validity: seconds(60),
    };
    let queue = config(4, NO_QUOTA).queues.get("q").cloned().unwrap();
    let queue = Box::new(Queue { advice: Some(times), ..queue });
    let record = JobRecord { queue_settings: Some(queue), ..JobRecord::default() };
    let row = serde_json::to_string(&record).unwrap();
    assert_eq!(serde_json::from_str::<JobRecord>(&row).unwrap(), record);
    let without = serde_json::to_string(&JobRecord::default()).unwrap();
    assert!(row.len() - without.len() < 90, "{row}");
}
