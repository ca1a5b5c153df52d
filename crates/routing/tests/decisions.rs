//! Health, choice, retries and deadlines, with time as an argument.

use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use routing::ATTEMPTS_MAX;
use routing::Attempt;
use routing::AttemptFailure;
use routing::Deadline;
use routing::EJECTION_TIME_BASE;
use routing::EJECTION_TIME_MAX;
use routing::FAILURES_TO_EJECT;
use routing::Health;
use routing::Observation;
use routing::RetryBudget;
use routing::SLOW_START_TIME;
use routing::may_eject;
use routing::may_retry;
use rstest::rstest;

const SUCCESS: Observation = Observation::Success { latency: Duration::from_millis(5) };

fn failed(count: u32) -> Health {
    let mut health = Health::default();
    (0..count).for_each(|_| health.observe(Observation::Failure));
    health
}

#[test]
fn run_of_failures_ejects_and_one_success_breaks_it() {
    let now = Instant::now();
    let mut health = failed(FAILURES_TO_EJECT - 1);
    assert!(!health.wants_ejection(now));
    health.observe(SUCCESS);
    health.observe(Observation::Failure);
    assert!(!health.wants_ejection(now));
    assert!(failed(FAILURES_TO_EJECT).wants_ejection(now));
}

#[test]
fn ejection_ends_and_doubles_until_a_success() {
    let now = Instant::now();
    let mut health = failed(FAILURES_TO_EJECT);
    assert_eq!(health.eject(now), EJECTION_TIME_BASE);
    assert!(health.is_ejected(now));
    assert!(!health.is_ejected(now + EJECTION_TIME_BASE));
    let later = now + EJECTION_TIME_BASE;
    health.observe(Observation::Failure);
    assert!(health.wants_ejection(later), "one failure on probation is enough");
    assert_eq!(health.eject(later), EJECTION_TIME_BASE * 2);
    (0..20).for_each(|_| assert!(health.eject(later) <= EJECTION_TIME_MAX));
    health.observe(SUCCESS);
    assert_eq!(health.eject(later), EJECTION_TIME_BASE);
}

#[test]
fn fast_failures_cost_more_than_slow_successes() {
    let now = Instant::now();
    let mut slow = Health::default();
    (0..50).for_each(|_| slow.observe(SUCCESS));
    let mut failing = Health::default();
    for _ in 0..50 {
        failing.observe(SUCCESS);
        failing.observe(Observation::Failure);
    }
    assert!(failing.cost(0, now) > slow.cost(3, now));
}

#[test]
fn cost_falls_slowly_after_an_ejection() {
    let now = Instant::now();
    let mut health = failed(FAILURES_TO_EJECT);
    health.eject(now);
    let back = now + EJECTION_TIME_BASE;
    let costs = [0, 1, 2].map(|half| health.cost(0, back + SLOW_START_TIME / 2 * half));
    assert!(costs[0] > costs[1] && costs[1] > costs[2], "{costs:?}");
}

#[rstest]
#[case(0, 0, false)]
#[case(0, 3, true)]
#[case(2, 3, true)]
#[case(3, 3, false)]
fn ejection_keeps_the_floor(#[case] out: u32, #[case] max: u32, #[case] allowed: bool) {
    assert_eq!(may_eject(out, max), allowed);
}

#[test]
fn choice_prefers_the_cheaper_and_finds_the_only_one() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut taken = [0_u32; 4];
    for _ in 0..4_000 {
        let chosen = routing::choose(4, &mut rng, |index| Some(index as f64)).unwrap();
        taken[chosen] += 1;
    }
    assert!(taken.is_sorted_by(|a, b| a > b), "{taken:?}");
    for _ in 0..100 {
        let only = routing::choose(9, &mut rng, |index| (index == 7).then_some(1.0));
        assert_eq!(only, Some(7));
    }
    assert_eq!(routing::choose(9, &mut rng, |_| None), None);
    assert_eq!(routing::choose(0, &mut rng, |_| Some(1.0)), None);
}

#[rstest]
#[case(AttemptFailure::NotSent, false, true, true)]
#[case(AttemptFailure::NotRun, false, true, true)]
#[case(AttemptFailure::NoAnswer, true, true, true)]
#[case(AttemptFailure::NoAnswer, false, true, false)]
#[case(AttemptFailure::NoAnswer, true, false, false)]
#[case(AttemptFailure::NotRun, true, false, false)]
fn retry_follows_what_may_have_run(
    #[case] failure: AttemptFailure,
    #[case] idempotent: bool,
    #[case] replayable: bool,
    #[case] allowed: bool,
) {
    let attempt = Attempt { failure, attempts: 1, idempotent, replayable };
    assert_eq!(may_retry(attempt, &mut RetryBudget::default()), allowed);
    let last = Attempt { attempts: ATTEMPTS_MAX, ..attempt };
    assert!(!may_retry(last, &mut RetryBudget::default()));
}

#[test]
fn retries_stay_a_tenth_of_requests() {
    let mut budget = RetryBudget::default();
    while budget.withdraw() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += u32::from(budget.withdraw());
    }
    assert_eq!(retries, 100);
}

#[test]
fn deadline_is_bounded_and_shrinks() {
    let now = Instant::now();
    let longest = Duration::from_secs(60);
    let deadline = Deadline::new(now, Some(Duration::from_millis(1_500)), longest);
    assert_eq!(deadline.left_ms(now + Duration::from_micros(500_500)), 999);
    assert!(deadline.has_passed(now + Duration::from_millis(1_500)));
    assert_eq!(Deadline::new(now, Some(Duration::MAX), longest).at, now + longest);
    assert_eq!(deadline.within(now, Duration::from_secs(1)), now + Duration::from_secs(1));
}
