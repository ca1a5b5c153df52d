//! Checks the recovery after a holder of the placement was killed or paused between the lease and
//! the start of a task.

#[path = "common/world.rs"]
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
#[case::never_started(AttemptState::NeverStarted, false, Recovery::Requeue)]
#[case::started_with_lost_reply(AttemptState::Running, false, Recovery::Adopt)]
#[case::ended_meanwhile(
    AttemptState::Ended(TaskOutcome::Succeeded),
    false,
    Recovery::Finish(TaskOutcome::Succeeded)
)]
#[case::worker_unreachable_with_valid_lease(AttemptState::Unreachable, false, Recovery::Wait)]
#[case::worker_unreachable_with_expired_lease(
    AttemptState::Unreachable,
    true,
    Recovery::Finish(TaskOutcome::Lost)
)]
fn recovery_of_a_leased_job_follows_the_report_of_its_worker(
    #[case] state: AttemptState,
    #[case] is_lease_expired: bool,
    #[case] expected: Recovery,
) {
    let size = Size::of_cores(1, 1_024, 0);
    let leased = Task::new(job("j", 1), 1).lease("w0".into(), 7, 0, size);
    assert_eq!(leased.task_id(), "j.1");
    assert_eq!(recover(&AnyTask::Leased(leased), state, is_lease_expired), expected);
}

#[test]
fn attempt_that_never_started_does_not_count() {
    let size = Size::of_cores(1, 1_024, 0);
    let waiting = Task::new(job("j", 1), 1);
    let reverted = waiting.clone().lease("w0".into(), 7, 0, size).revert_lease();
    assert_eq!((reverted.attempts, &reverted.job), (0, &waiting.job));
    // A delayed message about the first attempt must not affect the second.
    let next = reverted.lease("w0".into(), 8, 0, size);
    assert_eq!((next.attempts, next.task_id()), (1, "j.2".to_owned()));
}

#[test]
fn stored_job_reads_back_as_it_was_written() {
    let leased = Task::new(job("j", 1), 1).lease("w0".into(), 7, 0, Size::of_cores(1, 1, 1));
    let stored = AnyTask::Leased(leased);
    let text = serde_json::to_string(&stored).unwrap();
    assert_eq!(serde_json::from_str::<AnyTask>(&text).unwrap(), stored);
}
