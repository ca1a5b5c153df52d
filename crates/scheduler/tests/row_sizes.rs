//! Sizes of the stored rows, over the limits of what callers may submit. The store refuses a row
//! above its limit for good, and the whole transaction with it: guards against a job that stops all
//! work of all teams.

#[path = "common/simulation.rs"]
mod simulation;

use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use scheduler::BatchLimits;
use scheduler::JobRecord;
use scheduler::Policy;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::StartCommand;
use scheduler::Step;
use scheduler::UnstorableJob;
use scheduler::settings::Settings;
use simulation::BATCH_BYTES_MAX;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::seconds;
use simulation::step;
use simulation::unit;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };
/// Most units of a step that callers may submit.
const STEP_UNITS_MAX: u32 = 10_000;
const ATTEMPTS_MAX: u32 = 3;

/// Limits of a transaction whose rows are checked by [`commit`].
const LIMITS: BatchLimits =
    BatchLimits { rows_max: 96, progress_rows_max: 96, bytes_max: BATCH_BYTES_MAX };

fn row_bytes_max() -> usize {
    Settings::default().row_bytes_max
}

fn bytes_of(row: &impl serde::Serialize) -> usize {
    serde_json::to_vec(row).unwrap().len()
}

/// Commits all changes, and checks the size of each row and transaction.
fn commit(sim: &mut Simulation) {
    loop {
        let batch = sim.scheduler.take_batch(LIMITS, sim.now);
        if batch.has_no_writes() && batch.completions.is_empty() {
            return;
        }
        let mut sizes: Vec<usize> = Vec::new();
        for (id, progress) in &batch.progress {
            sizes.push(bytes_of(progress));
            sim.stored_progress.insert(id.clone(), progress.clone());
        }
        for (id, row) in &batch.assignments {
            sizes.push(bytes_of(row));
            sim.assignments.insert(id.clone(), row.clone());
        }
        sizes.extend(batch.durations.iter().map(bytes_of));
        sizes.extend(batch.host_commands.iter().map(bytes_of));
        let largest = sizes.iter().copied().max().unwrap_or_default();
        assert!(largest <= row_bytes_max(), "a row has {largest} bytes");
        assert!(
            sizes.iter().sum::<usize>() <= LIMITS.bytes_max,
            "{} bytes",
            sizes.iter().sum::<usize>()
        );
        sim.durations = batch.durations.clone().or(sim.durations.take());
        sim.scheduler.handle_commit(&batch, sim.now);
        for completions in &batch.completions {
            let worker = sim.worker(&completions.worker);
            worker.completions.retain(|completion| completion.number > completions.number);
        }
    }
}

/// Ends all runs, some of them with failures, and commits what follows. Returns the number of runs.
fn end_all(sim: &mut Simulation, fails: impl Fn(&StartCommand) -> bool) -> usize {
    sim.now += millis(100);
    sim.scheduler.plan(sim.now);
    commit(sim);
    let starts = sim.carry_out_actions();
    for (number, start) in starts.iter().enumerate() {
        let checkpoint = format!("{number:016x}");
        let outcome = if fails(start) { RunOutcome::Failed } else { RunOutcome::Done };
        sim.complete_run_with(&start.unit, outcome, checkpoint);
    }
    sim.report_all();
    commit(sim);
    starts.len()
}

/// A step of units that need so little that thousands run at a time.
fn tiny(count: u32) -> Step {
    let requested = Resources { cpu_millis: 1, memory_mb: 0, gpus: 0 };
    Step { has_checkpoints: true, requested, ..step(count, 1) }
}

/// The largest step, every other unit of which fails at its first run: neither the set of finished
/// units nor the list of failures has a shorter form.
#[test]
fn the_progress_of_the_largest_step_fits_into_a_row() {
    let mut sim = Simulation::new(&["w1", "w2", "w3"], config(ATTEMPTS_MAX, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![tiny(STEP_UNITS_MAX)], sim.now), sim.now);
    let mut runs = 0;
    for _ in 0..200 {
        runs += end_all(&mut sim, |start| start.unit.index % 2 == 0 && start.run == 1);
    }
    assert!(runs >= STEP_UNITS_MAX as usize, "{runs} runs");
    assert_eq!(sim.scheduler.view("a"), Some(completed()));
}

fn completed() -> scheduler::JobView {
    scheduler::JobView::Ended(scheduler::FinalState::Completed)
}

/// A fleet that runs thousands of units at a time.
fn large_fleet(worker_count: usize) -> Simulation {
    let ids: Vec<String> = (0..worker_count).map(|number| format!("w{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    Simulation::new(&ids, config(ATTEMPTS_MAX, NO_QUOTA))
}

/// Failures are kept, since they count against the attempts: a job gets new runs only while all of
/// them fit, and other jobs go on.
#[test]
fn the_failures_of_all_units_fit_into_a_row() {
    let mut sim = large_fleet(8);
    sim.scheduler.add_job(job("a", vec![tiny(STEP_UNITS_MAX)], sim.now), sim.now);
    sim.scheduler.add_job(job("b", vec![tiny(10)], sim.now), sim.now);
    for _ in 0..4 {
        end_all(&mut sim, |_| true);
    }
    // A unit that has failed too often fails its job.
    let failed = scheduler::JobView::Ended(scheduler::FinalState::Failed);
    assert_eq!(sim.scheduler.view("a"), Some(failed));
    assert_eq!(sim.scheduler.view("b"), Some(failed));
}

/// Occurrences that are due at once wait until the state of all that have not finished fits.
#[test]
fn the_progress_of_many_occurrences_fits_into_a_row() {
    let mut sim = large_fleet(30);
    let record = job("a", vec![tiny(10)], sim.now);
    let record = JobRecord { repetitions: 2_000, ..(*record).clone() };
    sim.scheduler.add_job(Arc::new(record), sim.now);
    for _ in 0..120 {
        end_all(&mut sim, |start| start.unit.index == 0 && start.run == 1);
    }
    assert_eq!(sim.scheduler.view("a"), Some(completed()));
}

/// Jobs of all forms that callers may submit either are refused at once, or run to their end
/// within the limits, while units fail, are lost with their workers and store checkpoints.
#[rstest]
fn any_job_fits_or_is_refused(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut sim = Simulation::with_policies(
        &["w1", "w2", "w3"],
        config(ATTEMPTS_MAX, NO_QUOTA),
        &[Policy::LearnedDurations],
    );
    for number in 0..4 {
        let steps_max = [1, 8, 200][random.random_range(0..3)];
        let steps = random.random_range(1..=steps_max);
        let count_max = [20, 1_000, STEP_UNITS_MAX][random.random_range(0..3)];
        let new_step = |_| Step {
            is_gang: random.random_range(0..20) == 0,
            image: Some("i".repeat(random.random_range(1..200))),
            ..tiny(random.random_range(1..=count_max))
        };
        let steps: Vec<Step> = (0..steps).map(new_step).collect();
        let repetitions = [0, 1, 400][random.random_range(0..3)];
        let record =
            JobRecord { repetitions, ..(*job(&format!("{number:016x}"), steps, sim.now)).clone() };
        if record.check_storable(row_bytes_max()).is_ok() {
            sim.scheduler.add_job(Arc::new(record), sim.now);
        }
    }
    let percent = random.random_range(0..30);
    for round in 0..25 {
        end_all(&mut sim, |start| (start.unit.index * 37 + round * 11) % 100 < percent);
        if round % 10 == 9 {
            sim.worker("w1").crash();
            sim.restart_worker("w1");
        }
    }
}

/// The finished units of a large job survive a takeover in the compact form.
#[test]
fn finished_units_survive_a_takeover_in_the_compact_form() {
    let mut sim = Simulation::new(&["w1", "w2", "w3"], config(ATTEMPTS_MAX, NO_QUOTA));
    let record = job("a", vec![tiny(STEP_UNITS_MAX)], sim.now);
    sim.scheduler.add_job(record.clone(), sim.now);
    let mut done = 0;
    while done < 6_000 {
        done += end_all(&mut sim, |_| false);
    }
    let text = serde_json::to_string(sim.stored_progress.get("a").unwrap()).unwrap();
    assert!(text.contains("\"u\":"), "the list doesn't fit: {} bytes", text.len());
    sim.take_over(2, config(ATTEMPTS_MAX, NO_QUOTA), seconds(0), &[record]);
    sim.report_all();
    let mut runs = 0;
    for _ in 0..100 {
        runs += end_all(&mut sim, |_| false);
    }
    assert_eq!(done + runs, STEP_UNITS_MAX as usize, "no unit runs again");
    assert_eq!(sim.scheduler.view("a"), Some(completed()));
}

/// A small job is stored in the form that earlier versions read.
#[test]
fn small_jobs_keep_the_form_of_earlier_versions() {
    let mut sim = Simulation::new(&["w1"], config(ATTEMPTS_MAX, NO_QUOTA));
    sim.scheduler.add_job(job("a", vec![step(20, 1_000)], sim.now), sim.now);
    sim.run_round();
    sim.complete_run(&unit("a", 0, 3), RunOutcome::Done);
    sim.report_all();
    sim.commit();
    let text = serde_json::to_string(sim.stored_progress.get("a").unwrap()).unwrap();
    assert!(text.contains("\"d\":[[0,0,3]]"), "{text}");
}

/// A worker gets no more runs than its assignment row can name, whatever room it has.
#[test]
fn the_runs_of_one_worker_fit_into_a_row() {
    let mut sim = Simulation::new(&["w1"], config(ATTEMPTS_MAX, NO_QUOTA));
    for number in 0..4 {
        let id = format!("{number:016x}");
        sim.scheduler.add_job(job(&id, vec![tiny(1_000)], sim.now), sim.now);
    }
    sim.scheduler.plan(sim.now);
    commit(&mut sim);
    let starts = sim.carry_out_actions().len();
    assert!((500..1_000).contains(&starts), "{starts} runs");
}

/// Jobs whose progress can't be stored are refused at once, with the reason.
#[test]
fn jobs_that_cannot_be_stored_are_refused() {
    let now = seconds(100);
    let largest = job("a", vec![tiny(STEP_UNITS_MAX); 9], now);
    assert_eq!(largest.check_storable(row_bytes_max()), Ok(()));
    let too_large = job("a", vec![tiny(STEP_UNITS_MAX); 200], now);
    let refusal = too_large.check_storable(row_bytes_max());
    assert_eq!(refusal, Err(UnstorableJob::TooManyUnits { units: 2_000_000 }));
    let gang = Step { is_gang: true, ..tiny(2_000) };
    let refusal = job("a", vec![tiny(1), gang], now).check_storable(row_bytes_max());
    assert_eq!(refusal, Err(UnstorableJob::GangTooLarge { step: 1, units: 2_000 }));
}

/// Guards against an owner that can store nothing any more since its row of measured durations is
/// too large: many kinds of work with long names, each with durations of its own.
#[test]
fn the_durations_of_many_kinds_of_work_fit_into_a_row() {
    let policies = [Policy::LearnedDurations];
    let mut sim =
        Simulation::with_policies(&["w1", "w2"], config(ATTEMPTS_MAX, NO_QUOTA), &policies);
    for round in 0..12 {
        for kind in 0..256 {
            let image = Some(format!("{kind}{}", "x".repeat(134)));
            let step = Step { image, estimate_ms: 10, ..tiny(1) };
            let id = format!("{:016x}", round * 1_000 + kind);
            sim.scheduler.add_job(job(&id, vec![step], sim.now), sim.now);
        }
        // Each round takes longer than the one before.
        sim.now += millis(20 << round);
        sim.report_all();
        end_all(&mut sim, |_| false);
    }
    assert!(sim.durations.is_some(), "the durations are stored");
}

/// A transaction has a limit as well: the rows of many jobs and workers go into several.
#[test]
fn the_rows_of_many_large_jobs_fit_into_transactions() {
    let mut sim = large_fleet(60);
    for number in 0..50 {
        let id = format!("{number:016x}");
        sim.scheduler.add_job(job(&id, vec![tiny(800)], sim.now), sim.now);
    }
    for _ in 0..4 {
        end_all(&mut sim, |start| start.run == 1);
    }
}
