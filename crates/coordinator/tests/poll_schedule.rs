//! When workers are polled: after a reply, after a failure, and while completions wait to be
//! stored.

use std::time::Duration;

use coordinator::poll_schedule::NextPoll;
use coordinator::poll_schedule::PollSchedule;
use coordinator::poll_schedule::RETRY_PAUSE;
use coordinator::poll_schedule::UNSTORED_POLL_PAUSE;
use scheduler::Moment;
use scheduler::WorkerId;

const NOW: Moment = Duration::from_secs(1_000);
const STEP: Duration = Duration::from_millis(20);

fn workers(count: usize) -> Vec<WorkerId> {
    (0..count).map(|number| format!("w{number:03}").into()).collect()
}

fn schedule(ids: &[WorkerId]) -> PollSchedule {
    let mut schedule = PollSchedule::default();
    for id in ids {
        schedule.add(id, NOW);
    }
    schedule
}

#[test]
fn a_replying_worker_is_polled_again_at_once_and_a_silent_one_after_a_pause() {
    let ids = workers(2);
    let mut schedule = schedule(&ids);
    schedule.add(&ids[0], NOW);
    assert_eq!(schedule.take_due(NOW), ids, "each is polled once");
    assert!(schedule.take_due(NOW).is_empty(), "none is polled while a poll is in flight");
    schedule.handle_reply(&ids[0], NextPoll::Immediate, NOW);
    schedule.handle_reply(&ids[1], NextPoll::AfterPause, NOW);
    assert_eq!(schedule.take_due(NOW), ids[..1]);
    assert_eq!(schedule.take_due(NOW + RETRY_PAUSE), ids[1..]);
}

#[test]
fn a_worker_is_not_polled_again_before_its_completions_are_stored() {
    let ids = workers(300);
    let mut schedule = schedule(&ids);
    let mut now = NOW;
    for id in schedule.take_due(now) {
        schedule.handle_reply(&id, NextPoll::AfterStore(Duration::ZERO), now);
    }
    // Each transaction stores the completions of ten workers.
    for stored_now in ids.chunks(10) {
        now += STEP;
        schedule.resume_stored(|id| stored_now.contains(id), now);
        assert_eq!(schedule.take_due(now), stored_now);
    }
    assert!(now < NOW + UNSTORED_POLL_PAUSE);
}

#[test]
fn a_worker_with_unstored_completions_is_polled_in_time_for_its_lease() {
    let ids = workers(1);
    let mut schedule = schedule(&ids);
    schedule.take_due(NOW);
    schedule.handle_reply(&ids[0], NextPoll::AfterStore(Duration::ZERO), NOW);
    schedule.resume_stored(|_| false, NOW + STEP);
    assert!(schedule.take_due(NOW + STEP).is_empty());
    assert_eq!(schedule.take_due(NOW + UNSTORED_POLL_PAUSE), ids);
}

/// Guards against a poll for each unit during a peak, when one finishes every few milliseconds.
#[test]
fn a_worker_with_stored_completions_is_polled_after_its_pause() {
    let ids = workers(1);
    let pause = STEP * 5;
    let mut schedule = schedule(&ids);
    schedule.take_due(NOW);
    schedule.handle_reply(&ids[0], NextPoll::AfterStore(pause), NOW);
    assert_eq!(schedule.resume_stored(|_| true, NOW + STEP), [STEP]);
    assert!(schedule.take_due(NOW + pause - STEP).is_empty());
    assert_eq!(schedule.take_due(NOW + pause), ids);
}

#[test]
fn a_pause_that_is_over_when_the_completions_are_stored_delays_nothing() {
    let ids = workers(1);
    let mut schedule = schedule(&ids);
    schedule.take_due(NOW);
    schedule.handle_reply(&ids[0], NextPoll::AfterStore(STEP), NOW);
    schedule.resume_stored(|_| true, NOW + STEP * 3);
    assert_eq!(schedule.take_due(NOW + STEP * 3), ids);
}

#[test]
fn a_removed_worker_is_not_polled() {
    let ids = workers(1);
    let mut schedule = schedule(&ids);
    schedule.remove(&ids[0]);
    assert!(schedule.take_due(NOW).is_empty());
}
