//! Checks the handling of failing workers and jobs and of wrong declared sizes, in virtual time.

#[path = "common/world.rs"]
mod world;

use std::time::Duration;

use placement::Action;
use placement::Class;
use placement::Disposition;
use placement::Job;
use placement::JobOutcome;
use placement::PendingJob;
use placement::Size;
use placement::Task;
use placement::TaskOutcome;
use placement::Trust;
use placement::Usage;
use rstest::rstest;

use crate::world::World;
use crate::world::job;
use crate::world::with_kind;
use crate::world::worker;

/// Number of lost workers under a job after which it must not run again.
const LOSSES_MAX: usize = 4;
const SECOND: Duration = Duration::from_secs(1);

/// Places all jobs that fit; returns them with their workers.
fn place_all(world: &mut World) -> Vec<(String, String)> {
    let mut placed = Vec::new();
    while let Some(next) = world.pool.place_next(world.now, |_| true) {
        placed.push((next.pending.job.id.to_string(), next.worker.to_string()));
    }
    placed
}

#[test]
fn worker_that_fails_all_tasks_is_quarantined() {
    let mut world = World::new((0..8).map(|i| worker(&format!("w{i}"), i, 4, 0)).collect());
    let mut wasted = 0;
    let mut succeeded = 0;
    let mut submitted = 0;
    // Good workers run a task for 10 rounds. `w0` fails each task at once, so it always has free
    // capacity and would attract most jobs.
    for round in 0..100 {
        for _ in 0..4 {
            world.submit(job(&format!("j{submitted:04}"), 1));
            submitted += 1;
        }
        for (job, worker_id) in place_all(&mut world) {
            if worker_id == "w0" {
                wasted += 1;
                world.pool.finish_task(&job.into(), TaskOutcome::Failed, world.now);
            } else {
                world.finish_rounds.push((round + 10, job));
            }
        }
        succeeded += world.finish_due(round);
        world.now += SECOND / 10;
        world.pool.tick(world.now);
    }
    assert_eq!(world.pool.trust(&"w0".into(), world.now), Trust::Quarantined);
    assert!(wasted <= 12, "{wasted} runs wasted on the broken worker");
    assert!(succeeded > 200, "{succeeded} tasks succeeded");
    for good in 1..8 {
        assert_eq!(world.pool.trust(&format!("w{good}").into(), world.now), Trust::Full);
    }
}

#[test]
fn failing_kind_does_not_quarantine_good_workers() {
    let mut world = World::new((0..4).map(|i| worker(&format!("w{i}"), i, 16, 0)).collect());
    let mut finished = 0;
    let mut bad_runs = 0;
    for round in 0..40 {
        world.submit(with_kind(job(&format!("bad{round:03}"), 1), "bad"));
        world.submit(with_kind(job(&format!("good{round:03}"), 1), "good"));
        for (job, _) in place_all(&mut world) {
            let outcome =
                if job.starts_with("bad") { TaskOutcome::Failed } else { TaskOutcome::Succeeded };
            bad_runs += u32::from(outcome == TaskOutcome::Failed);
            let after = world.pool.finish_task(&job.into(), outcome, world.now);
            finished += u32::from(matches!(
                after,
                Some(Disposition::Finished { outcome: JobOutcome::Failed, .. })
            ));
        }
        world.now += SECOND;
        let actions = world.pool.tick(world.now);
        let quarantined = |a: &Action| matches!(a, Action::Quarantined { .. });
        assert!(!actions.iter().any(quarantined), "round {round}: {actions:?}");
    }
    assert!(finished >= 30, "{finished} bad jobs finished");
    // Once a kind counts as always failing, its jobs run only once.
    assert!(bad_runs <= 60, "{bad_runs} runs of bad jobs");
}

#[test]
fn quarantined_worker_is_trusted_after_one_success_on_probation() {
    let mut world = World::new(vec![worker("w0", 0, 4, 0), worker("w1", 1, 4, 0)]);
    for round in 0..40 {
        world.submit(job(&format!("j{round:03}"), 1));
        for (job, worker_id) in place_all(&mut world) {
            let outcome =
                if worker_id == "w0" { TaskOutcome::Failed } else { TaskOutcome::Succeeded };
            world.pool.finish_task(&job.into(), outcome, world.now);
        }
        world.now += SECOND / 10;
        world.pool.tick(world.now);
    }
    assert_eq!(world.pool.trust(&"w0".into(), world.now), Trust::Quarantined);
    world.now += SECOND * 61;
    assert_eq!(world.pool.trust(&"w0".into(), world.now), Trust::Probation);
    for probe in 0..8 {
        world.submit(job(&format!("probe{probe}"), 1));
    }
    let on_probation = place_all(&mut world).into_iter().filter(|(_, worker_id)| worker_id == "w0");
    let probes: Vec<_> = on_probation.collect();
    assert_eq!(probes.len(), 1, "a worker on probation gets one task");
    world.pool.finish_task(&probes[0].0.as_str().into(), TaskOutcome::Succeeded, world.now);
    assert_eq!(world.pool.trust(&"w0".into(), world.now), Trust::Full);
}

#[test]
fn only_the_job_that_crashes_its_workers_is_harmful() {
    let mut world = World::new((0..6).map(|i| worker(&format!("w{i}"), i, 4, 0)).collect());
    world.submit(job("killer", 1));
    for index in 0..20 {
        world.submit(job(&format!("j{index:03}"), 1));
    }
    let mut harmful = Vec::new();
    let mut losses = 0;
    for _ in 0..10 {
        place_all(&mut world);
        world.now += SECOND * 30;
        let Some(worker_id) = world.worker_of("killer") else {
            break;
        };
        losses += 1;
        for after in world.pool.handle_worker_loss(&worker_id, world.now) {
            if let Disposition::Finished { pending, outcome } = after {
                assert_eq!(outcome, JobOutcome::Harmful);
                harmful.push(pending.job.id.to_string());
            }
        }
    }
    assert_eq!(harmful, ["killer"]);
    assert_eq!(losses, 2);
}

// Guards against jobs that crash their workers and are run to their last attempt, because workers
// that are lost at the same time look like the failure of a rack.
#[test]
fn several_jobs_that_crash_workers_at_the_same_time_are_harmful() {
    let mut world = World::new((0..12).map(|i| worker(&format!("w{i}"), i, 4, 0)).collect());
    let killers = ["killer0", "killer1", "killer2", "killer3"];
    for killer in killers {
        world.submit(Job { attempts_max: 10, ..job(killer, 3) });
    }
    let mut losses = Vec::new();
    for _ in 0..10 {
        place_all(&mut world);
        for killer in killers {
            if let Some(worker_id) = world.worker_of(killer) {
                losses.push(killer);
                world.pool.handle_worker_loss(&worker_id, world.now);
            }
        }
        world.now += SECOND * 30;
    }
    for killer in killers {
        let count = losses.iter().filter(|lost| **lost == killer).count();
        assert!(count <= LOSSES_MAX, "{count} workers were lost under {killer}");
    }
}

// Guards against forgetting, when another node takes over the placement, the workers that were lost
// under a job.
#[test]
fn a_job_that_crashes_its_workers_is_harmful_across_holders() {
    let mut pending =
        PendingJob::new(Job { attempts_max: 10, ..job("killer", 1) }, 1, World::new(vec![]).now);
    for loss in 1..=LOSSES_MAX {
        let mut world = World::new((0..6).map(|i| worker(&format!("w{i}"), i, 4, 0)).collect());
        world.pool.submit(pending).expect("the pool has room");
        place_all(&mut world);
        let worker_id = world.worker_of("killer").expect("the job runs");
        match world.pool.handle_worker_loss(&worker_id, world.now).remove(0) {
            Disposition::Finished { outcome, .. } => {
                assert_eq!(outcome, JobOutcome::Harmful);
                return;
            }
            // The next holder reads the stored job.
            Disposition::Requeued { pending: requeued } => {
                pending = Task::requeued(&requeued).to_pending_job(world.now);
                assert_eq!(pending.attempts as usize, loss);
            }
        }
    }
    panic!("{LOSSES_MAX} workers were lost under the job, which is to run again");
}

#[test]
fn simultaneous_worker_losses_make_no_job_harmful() {
    let mut world = World::new((0..8).map(|i| worker(&format!("w{i}"), i, 4, 0)).collect());
    for index in 0..16 {
        world.submit(job(&format!("j{index:03}"), 1));
    }
    for _ in 0..2 {
        let mut lost_workers: Vec<_> =
            place_all(&mut world).into_iter().map(|(_, worker_id)| worker_id).collect();
        lost_workers.sort();
        lost_workers.dedup();
        assert!(lost_workers.len() >= 3, "{lost_workers:?}");
        for worker_id in lost_workers {
            for after in world.pool.handle_worker_loss(&worker_id.into(), world.now) {
                assert!(matches!(after, Disposition::Requeued { .. }), "{after:?}");
            }
        }
        world.now += SECOND * 60;
    }
}

#[rstest]
#[case::ten_times_too_large(10, 1)]
#[case::ten_times_too_small(1, 10)]
fn declared_sizes_are_replaced_by_estimates_from_usage(#[case] declared: u32, #[case] used: u32) {
    let mut world = World::new(vec![worker("w0", 0, 100, 0)]);
    for index in 0..200 {
        world.submit(job(&format!("j{index:03}"), declared));
    }
    let mut running_count = 0;
    for _ in 0..40 {
        place_all(&mut world);
        let running = world.pool.tasks_on(&"w0".into()).to_vec();
        running_count = running.len();
        world.now += SECOND * 60;
        let used = Size::of_cores(used, u64::from(used) * 1_024, 0);
        let measured_at = world.now - SECOND * 5;
        let reports: Vec<Usage> =
            running.iter().map(|job| Usage { job: job.clone(), used, measured_at }).collect();
        world.pool.record_usage(&reports);
        for action in world.pool.tick(world.now) {
            if let Action::Stop { job } = action {
                world.pool.finish_task(&job, TaskOutcome::Stopped, world.now);
            }
        }
        if let Some(first) = running.first() {
            world.pool.finish_task(first, TaskOutcome::Succeeded, world.now);
        }
    }
    // The reservations are a fifth above the usage.
    let expected = 100 * 10 / (used * 12);
    assert!(
        running_count.abs_diff(expected as usize) <= 1,
        "{running_count} tasks run, {expected} expected"
    );
}

#[test]
fn overloaded_worker_checkpoints_throttles_then_stops_only_on_fresh_reports() {
    let mut world = World::new(vec![worker("w0", 0, 4, 0), worker("w1", 1, 4, 0)]);
    for index in 0..4 {
        world.submit(job(&format!("j{index}"), 1));
    }
    place_all(&mut world);
    let jobs_on_w0 = world.pool.tasks_on(&"w0".into()).to_vec();
    let lag = SECOND * 60;
    let mut steps = Vec::new();
    let started = world.now;
    for _ in 0..30 {
        world.now += SECOND * 10;
        let measured_at = world.now - lag;
        if measured_at > started {
            let used = Size { processors_milli: 1_300, memory_mib: 512, accelerators: 0 };
            let report = |job: &placement::JobId| Usage { job: job.clone(), used, measured_at };
            world.pool.record_usage(&jobs_on_w0.iter().map(report).collect::<Vec<_>>());
        }
        for action in world.pool.tick(world.now) {
            if let Action::Checkpoint { job } = &action {
                world.pool.record_checkpoint(job);
            }
            steps.push((world.now, action));
        }
        if steps.iter().any(|(_, action)| matches!(action, Action::Stop { .. })) {
            break;
        }
    }
    let [(_, first), (throttled_at, second), (stopped_at, third)] = &steps[..] else {
        panic!("{steps:?}");
    };
    assert!(matches!(first, Action::Checkpoint { .. }));
    assert!(matches!(second, Action::Throttle { percent: 25, .. }));
    assert!(matches!(third, Action::Stop { .. }));
    assert!(
        *stopped_at - *throttled_at > lag,
        "the task was stopped on a report from before the throttling"
    );
}

#[test]
fn jobs_left_after_a_mass_cancellation_run() {
    let mut world = World::new(vec![worker("w0", 0, 100, 0)]);
    for index in 0..1_000 {
        world.submit(job(&format!("j{index:04}"), 1));
    }
    let running = place_all(&mut world).len();
    assert_eq!(running, 100);
    let cancelled = (0..900).map(|index| format!("j{index:04}").into()).collect();
    let cancelled = world.pool.cancel(cancelled, world.now);
    assert_eq!((cancelled.waiting.len(), cancelled.running.len()), (800, 100));
    assert_eq!(world.pool.waiting(), 100);
    for job in cancelled.running {
        let after = world.pool.finish_task(&job, TaskOutcome::Stopped, world.now);
        assert!(
            matches!(after, Some(Disposition::Finished { outcome: JobOutcome::Cancelled, .. })),
            "{after:?}"
        );
    }
    assert_eq!(place_all(&mut world).len(), 100);
}

#[test]
fn backlog_of_one_team_does_not_block_another() {
    let mut world = World::new(vec![worker("w0", 0, 10, 0)]);
    for index in 0..1_000 {
        world.submit(job(&format!("flood{index:04}"), 1));
    }
    place_all(&mut world);
    let mut other = job("small", 1);
    other.team.team = "small".into();
    world.submit(other);
    let first = world.pool.tasks_on(&"w0".into())[0].clone();
    world.pool.finish_task(&first, TaskOutcome::Succeeded, world.now);
    assert_eq!(place_all(&mut world), [("small".to_owned(), "w0".to_owned())]);
}

#[test]
fn urgent_job_preempts_a_checkpointed_task_of_a_full_pool() {
    let mut world = World::new(vec![worker("w0", 0, 4, 0), worker("w1", 1, 4, 0)]);
    for index in 0..20 {
        world.submit(job(&format!("j{index:02}"), 1));
    }
    place_all(&mut world);
    let mut urgent = job("urgent", 1);
    urgent.class = Class::Urgent;
    urgent.team.team = "small".into();
    world.submit(urgent);
    assert!(place_all(&mut world).is_empty());
    let actions = world.pool.tick(world.now);
    let [Action::Checkpoint { job }] = &actions[..] else {
        panic!("{actions:?}");
    };
    world.pool.record_checkpoint(job);
    world.now += SECOND / 10;
    assert_eq!(world.pool.tick(world.now), [Action::Stop { job: job.clone() }]);
    let after = world.pool.finish_task(job, TaskOutcome::Stopped, world.now);
    assert!(matches!(after, Some(Disposition::Requeued { .. })));
    let placed = place_all(&mut world);
    assert_eq!(placed[0].0, "urgent", "{placed:?}");
}
