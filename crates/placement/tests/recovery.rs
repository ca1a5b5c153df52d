//! A holder of placement is killed or paused between the lease and the start of a task.

#[path = "world/world.rs"]
mod world;

use placement::AnyTask;
use placement::AttemptState;
use placement::Recovery;
use placement::Size;
use placement::Task;
use placement::TaskOutcome;
use placement::recover;
use rstest::rstest;

use crate::world::job;

#[rstest]
#[case::killed_before_the_start(AttemptState::NeverStarted, false, Recovery::Requeue)]
#[case::start_arrived_answer_lost(AttemptState::Running, false, Recovery::Adopt)]
#[case::ended_meanwhile(
    AttemptState::Ended(TaskOutcome::Succeeded),
    false,
    Recovery::Finish(TaskOutcome::Succeeded)
)]
#[case::worker_silent_lease_runs(AttemptState::Unreachable, false, Recovery::Wait)]
#[case::worker_silent_lease_over(
    AttemptState::Unreachable,
    true,
    Recovery::Finish(TaskOutcome::Lost)
)]
fn leased_job_is_recovered_by_what_its_worker_says(
    #[case] seen: AttemptState,
    #[case] lease_over: bool,
    #[case] expected: Recovery,
) {
    let size = Size::of_cores(1, 1_024, 0);
    let leased = Task::new(job("j", 1), 1).lease("w0".into(), 7, 0, size);
    assert_eq!(leased.task_id(), "j.1");
    assert_eq!(recover(&AnyTask::Leased(leased), seen, lease_over), expected);
}

#[test]
fn attempt_that_never_started_does_not_count() {
    let size = Size::of_cores(1, 1_024, 0);
    let waiting = Task::new(job("j", 1), 1);
    let again = waiting.clone().lease("w0".into(), 7, 0, size).revert_lease();
    assert_eq!((again.attempts, &again.job), (0, &waiting.job));
    // A late call about the first run must not touch the next.
    let next = again.lease("w0".into(), 8, 0, size);
    assert_eq!((next.attempts, next.task_id()), (1, "j.2".to_owned()));
}

#[test]
fn stored_job_reads_back_as_it_was_written() {
    let leased = Task::new(job("j", 1), 1).lease("w0".into(), 7, 0, Size::of_cores(1, 1, 1));
    let stored = AnyTask::Leased(leased);
    let text = serde_json::to_string(&stored).unwrap();
    assert_eq!(serde_json::from_str::<AnyTask>(&text).unwrap(), stored);
}
