//! When workers are asked what they run.

use std::time::Duration;

use coordinator::watches::Next;
use coordinator::watches::RETRY_PAUSE;
use coordinator::watches::UNSTORED_PAUSE;
use coordinator::watches::Watches;
use scheduler::Moment;
use scheduler::WorkerId;

const NOW: Moment = Duration::from_secs(1_000);
const STEP: Duration = Duration::from_millis(20);

fn workers(count: usize) -> Vec<WorkerId> {
    (0..count).map(|number| format!("w{number:03}").into()).collect()
}

fn watches(ids: &[WorkerId]) -> Watches {
    let mut watches = Watches::default();
    for id in ids {
        watches.begin(id, NOW);
    }
    watches
}

#[test]
fn a_worker_that_answers_is_asked_again_at_once_and_a_silent_one_later() {
    let ids = workers(2);
    let mut watches = watches(&ids);
    watches.begin(&ids[0], NOW);
    assert_eq!(watches.take_due(NOW), ids, "each is asked once");
    assert!(watches.take_due(NOW).is_empty(), "none is asked while it is asked");
    watches.answered(&ids[0], Next::AtOnce, NOW);
    watches.answered(&ids[1], Next::Later, NOW);
    assert_eq!(watches.take_due(NOW), ids[..1]);
    assert_eq!(watches.take_due(NOW + RETRY_PAUSE), ids[1..]);
}

#[test]
fn many_ends_at_once_make_one_look_for_each_worker_until_they_are_stored() {
    let ids = workers(300);
    let mut watches = watches(&ids);
    let mut now = NOW;
    for id in watches.take_due(now) {
        watches.answered(&id, Next::OnceStored, now);
    }
    // Each transaction stores the ends of ten workers.
    for of_transaction in ids.chunks(10) {
        now += STEP;
        watches.stored(|id| of_transaction.contains(id), now);
        assert_eq!(watches.take_due(now), of_transaction);
    }
    assert!(now < NOW + UNSTORED_PAUSE);
}

#[test]
fn a_worker_whose_ends_are_not_stored_is_asked_in_time_for_its_lease() {
    let ids = workers(1);
    let mut watches = watches(&ids);
    watches.take_due(NOW);
    watches.answered(&ids[0], Next::OnceStored, NOW);
    watches.stored(|_| false, NOW + STEP);
    assert!(watches.take_due(NOW + STEP).is_empty());
    assert_eq!(watches.take_due(NOW + UNSTORED_PAUSE), ids);
}

#[test]
fn a_worker_that_has_gone_is_asked_no_more() {
    let ids = workers(1);
    let mut watches = watches(&ids);
    watches.end(&ids[0]);
    assert!(watches.take_due(NOW).is_empty());
}
