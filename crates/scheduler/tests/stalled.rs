//! Runs that make no progress, and runs that only show it seldom: reports tell progress in whole percent,
//! and a percent of a long unit takes long.

#[path = "common/simulation.rs"]
mod simulation;

use std::time::Duration;

use rstest::rstest;
use scheduler::Action;
use scheduler::Moment;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::Step;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::seconds;
use simulation::step;
use simulation::unit;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };
/// Shortest time between two reports.
const REPORT_PERIOD: Duration = Duration::from_millis(200);

/// Returns how often a decision was logged.
fn decisions(sim: &Simulation, decision: &str) -> usize {
    let is_it =
        |action: &&Action| matches!(action, Action::LogDecision { what, .. } if *what == decision);
    sim.other_actions.iter().filter(is_it).count()
}

/// Lets all workers report, and decides.
fn report_and_decide(sim: &mut Simulation, period: Duration) -> usize {
    sim.now += period;
    sim.report_all();
    sim.commit();
    sim.run_round().len()
}

/// Sets the progress of unit `index` of job `a`, which takes `takes` and runs since `started_at`.
fn set_progress(sim: &mut Simulation, index: usize, started_at: Moment, takes: Duration) {
    let percent = (sim.now - started_at).as_millis() * 100 / takes.as_millis();
    let key = unit("a", 0, index);
    let running = sim.workers.iter_mut().flat_map(|worker| &mut worker.running);
    for running in running.filter(|running| running.unit == key) {
        running.progress_percent = percent as u32;
    }
}

/// Guards against long units that are never done, since they were stopped as stalled before they could
/// show their first percent, and against workers that were quarantined for it.
#[rstest]
fn a_long_unit_is_done_by_its_first_run(
    #[values(60, 600, 3_600, 86_400)] takes_s: u64,
    #[values((1, 1), (1, 10), (10, 1))] estimate_factor: (u64, u64),
) {
    let (times, part) = estimate_factor;
    let takes = seconds(takes_s);
    let long = Step { estimate_ms: takes_s * 1_000 * times / part, ..step(2, 1_000) };
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![long], sim.now), sim.now);
    assert_eq!(report_and_decide(&mut sim, REPORT_PERIOD), 2);
    let started_at = sim.now;
    let period = REPORT_PERIOD.max(takes / 2_000);
    while sim.now + period < started_at + takes {
        for index in 0..2 {
            set_progress(&mut sim, index, started_at, takes);
        }
        assert_eq!(report_and_decide(&mut sim, period), 0, "after {:?}", sim.now - started_at);
    }
    assert_eq!(decisions(&sim, "run stands still"), 0);
}

/// Guards against a long unit that is stopped after it has resumed: what its checkpoint holds counted as
/// progress of a moment, so that each percent had to come as fast.
#[test]
fn a_long_unit_that_resumes_is_not_taken_for_stalled() {
    let long = Step { estimate_ms: 600_000, has_checkpoints: true, ..step(1, 1_000) };
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![long], sim.now), sim.now);
    sim.run_for(millis(400));
    sim.complete_run_with(&unit("a", 0, 0), RunOutcome::Stopped, "40".to_owned());
    assert_eq!(report_and_decide(&mut sim, REPORT_PERIOD), 1);
    let (takes, started_at) = (seconds(600), sim.now);
    while sim.now < started_at + seconds(60) {
        set_progress(&mut sim, 0, started_at.saturating_sub(takes * 40 / 100), takes);
        assert_eq!(report_and_decide(&mut sim, REPORT_PERIOD), 0);
    }
    assert_eq!(decisions(&sim, "run stands still"), 0);
}

/// Guards against a unit that is stopped again and again, as its estimate is wrong by far more than
/// others are: each stop makes the next run wait longer.
#[test]
fn a_unit_with_a_hopeless_estimate_is_done_after_a_few_stops() {
    let takes = seconds(600);
    let wrong = Step { estimate_ms: 100, ..step(1, 1_000) };
    let mut sim = Simulation::new(&["w1", "w2", "w3"], config(3, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![wrong], sim.now), sim.now);
    let (mut started_at, mut starts) = (sim.now, 0);
    while starts == 0 || sim.now < started_at + takes {
        set_progress(&mut sim, 0, started_at, takes);
        if report_and_decide(&mut sim, REPORT_PERIOD) > 0 {
            started_at = sim.now;
            starts += 1;
        }
        assert!(starts <= 3, "it is started for the {starts}th time");
    }
    assert_eq!(decisions(&sim, "worker quarantined"), 0);
}

/// Guards against a stalled run of a short unit that is noticed late or not at all.
#[test]
fn a_stalled_run_of_a_short_unit_is_stopped() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![step(1, 1_000)], sim.now), sim.now);
    sim.run_for(millis(1_000));
    let stalled_at = sim.now;
    let mut starts = 0;
    while starts == 0 && sim.now < stalled_at + seconds(10) {
        starts += report_and_decide(&mut sim, REPORT_PERIOD);
    }
    assert_eq!(starts, 1);
    assert!(sim.now <= stalled_at + seconds(4), "after {:?}", sim.now - stalled_at);
}

/// Guards against a long run that stands still for good and is never stopped.
#[test]
fn a_stalled_run_of_a_long_unit_is_stopped() {
    let takes = seconds(600);
    let long = Step { estimate_ms: 600_000, ..step(1, 1_000) };
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![long], sim.now), sim.now);
    report_and_decide(&mut sim, REPORT_PERIOD);
    let started_at = sim.now;
    while sim.now < started_at + seconds(30) {
        set_progress(&mut sim, 0, started_at, takes);
        assert_eq!(report_and_decide(&mut sim, REPORT_PERIOD), 0);
    }
    let stalled_at = sim.now;
    let mut starts = 0;
    while starts == 0 && sim.now < stalled_at + seconds(60) {
        starts += report_and_decide(&mut sim, REPORT_PERIOD);
    }
    assert_eq!(starts, 1);
}

/// Guards against a stop that loses more work than it can win: what a run has done is lost with it, and
/// the worker may go on in a moment.
#[test]
fn a_run_that_has_worked_for_long_is_not_stopped_for_a_short_pause() {
    let takes = seconds(100);
    let long = Step { estimate_ms: 100_000, ..step(1, 1_000) };
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![long], sim.now), sim.now);
    report_and_decide(&mut sim, REPORT_PERIOD);
    let started_at = sim.now;
    while sim.now < started_at + seconds(80) {
        set_progress(&mut sim, 0, started_at, takes);
        report_and_decide(&mut sim, REPORT_PERIOD);
    }
    let paused_at = sim.now;
    while sim.now < paused_at + seconds(20) {
        assert_eq!(report_and_decide(&mut sim, REPORT_PERIOD), 0);
    }
    assert_eq!(decisions(&sim, "run stands still"), 0);
}

/// Guards against sound workers that are quarantined for units which stand still by themselves: the
/// other runs there move on.
#[test]
fn a_worker_on_which_others_move_on_is_not_blamed() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    for id in ["a", "b", "c"] {
        sim.scheduler.add_job(job(id, vec![step(1, 1_000)], sim.now), sim.now);
    }
    sim.run_for(millis(1_000));
    for round in 0..40 {
        for running in &mut sim.worker("w1").running {
            if &*running.unit.job == "c" {
                running.progress_percent = 10 + round;
            }
        }
        report_and_decide(&mut sim, REPORT_PERIOD);
    }
    assert!(decisions(&sim, "run stands still") >= 2);
    assert_eq!(decisions(&sim, "worker quarantined"), 0);
}

/// Guards against a worker on which everything stands still and that goes on to get new runs.
#[test]
fn a_worker_on_which_all_runs_stand_still_is_quarantined() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    for id in ["a", "b"] {
        sim.scheduler.add_job(job(id, vec![step(1, 1_000)], sim.now), sim.now);
    }
    sim.run_for(millis(1_000));
    for _ in 0..20 {
        report_and_decide(&mut sim, REPORT_PERIOD);
    }
    assert_eq!(decisions(&sim, "worker quarantined"), 1);
}

/// Guards against a best-effort unit that is stopped as soon as it may run at full speed again: while it
/// was slowed down, it could show no progress.
#[test]
fn a_run_that_was_slowed_down_is_not_taken_for_stalled() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    let serving = Step { tail_latency_target_ms: 50, is_long_running: true, ..step(1, 2_000) };
    sim.scheduler.add_job(job("s", vec![serving], sim.now), sim.now);
    let best_effort = Step { is_best_effort: true, ..step(1, 1_000) };
    sim.scheduler.add_job(job("a", vec![best_effort], sim.now), sim.now);
    sim.run_for(millis(1_000));
    for (rounds, load_ms) in [(25, 60), (12, 10)] {
        for _ in 0..rounds {
            for running in &mut sim.worker("w1").running {
                let is_serving = &*running.unit.job == "s";
                running.load = Some(if is_serving { load_ms } else { 0 });
                running.progress_percent = if is_serving { 100 } else { 7 };
            }
            report_and_decide(&mut sim, REPORT_PERIOD);
        }
    }
    let limits = sim.other_actions.iter().filter_map(|action| match action {
        Action::LimitSpeed { percent, .. } => Some(*percent),
        _ => None,
    });
    let limits: Vec<u32> = limits.collect();
    assert_eq!((limits.first(), limits.last()), (Some(&0), Some(&100)));
    assert_eq!(decisions(&sim, "run stands still"), 0);
    sim.complete_run(&unit("a", 0, 0), RunOutcome::Done);
}
