//! Tests health, choice of a backend server, retries and deadlines; the time is passed in.

use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use routing::ATTEMPTS_MAX;
use routing::AttemptFailure;
use routing::Deadline;
use routing::EJECTION_TIME_BASE;
use routing::EJECTION_TIME_MAX;
use routing::FAILURES_TO_EJECT;
use routing::FailedAttempt;
use routing::Health;
use routing::Observation;
use routing::RetryBudget;
use routing::SLOW_START_TIME;
use routing::may_eject;
use routing::may_retry;
use rstest::rstest;

const SUCCESS: Observation = Observation::Success { latency: Duration::from_millis(5) };

fn health_after_failures(count: u32) -> Health {
    let mut health = Health::default();
    (0..count).for_each(|_| health.observe(Observation::Failure));
    health
}

#[test]
fn consecutive_failures_eject_and_a_success_resets_them() {
    let now = Instant::now();
    let mut health = health_after_failures(FAILURES_TO_EJECT - 1);
    assert!(!health.needs_ejection(now));
    health.observe(SUCCESS);
    health.observe(Observation::Failure);
    assert!(!health.needs_ejection(now));
    assert!(health_after_failures(FAILURES_TO_EJECT).needs_ejection(now));
}

#[test]
fn ejection_expires_and_doubles_until_a_success() {
    let now = Instant::now();
    let mut health = health_after_failures(FAILURES_TO_EJECT);
    assert_eq!(health.eject(now), EJECTION_TIME_BASE);
    assert!(health.is_ejected(now));
    assert!(!health.is_ejected(now + EJECTION_TIME_BASE));
    let later = now + EJECTION_TIME_BASE;
    health.observe(Observation::Failure);
    assert!(health.needs_ejection(later), "one failure on probation is enough");
    assert_eq!(health.eject(later), EJECTION_TIME_BASE * 2);
    (0..20).for_each(|_| assert!(health.eject(later) <= EJECTION_TIME_MAX));
    health.observe(SUCCESS);
    assert_eq!(health.eject(later), EJECTION_TIME_BASE);
}

#[test]
fn failing_server_costs_more_than_a_loaded_healthy_one() {
    let now = Instant::now();
    let mut healthy = Health::default();
    (0..50).for_each(|_| healthy.observe(SUCCESS));
    let mut failing = Health::default();
    for _ in 0..50 {
        failing.observe(SUCCESS);
        failing.observe(Observation::Failure);
    }
    assert!(failing.cost(0, now) > healthy.cost(3, now));
}

#[test]
fn cost_decreases_gradually_after_an_ejection() {
    let now = Instant::now();
    let mut health = health_after_failures(FAILURES_TO_EJECT);
    health.eject(now);
    let ejection_end = now + EJECTION_TIME_BASE;
    let costs = [0, 1, 2]
        .map(|half_windows| health.cost(0, ejection_end + SLOW_START_TIME / 2 * half_windows));
    assert!(costs[0] > costs[1] && costs[1] > costs[2], "{costs:?}");
}

#[rstest]
#[case(0, 0, false)]
#[case(0, 3, true)]
#[case(2, 3, true)]
#[case(3, 3, false)]
fn ejection_stays_within_the_availability_budget(
    #[case] unavailable: u32,
    #[case] unavailable_max: u32,
    #[case] is_allowed: bool,
) {
    assert_eq!(may_eject(unavailable, unavailable_max), is_allowed);
}

#[test]
fn choice_prefers_cheaper_candidates_and_finds_the_only_available_one() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut chosen_counts = [0_u32; 4];
    for _ in 0..4_000 {
        let chosen = routing::choose(4, &mut rng, |index| Some(index as f64)).unwrap();
        chosen_counts[chosen] += 1;
    }
    assert!(chosen_counts.is_sorted_by(|a, b| a > b), "{chosen_counts:?}");
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
#[case(AttemptFailure::NoResponse, true, true, true)]
#[case(AttemptFailure::NoResponse, false, true, false)]
#[case(AttemptFailure::NoResponse, true, false, false)]
#[case(AttemptFailure::NotRun, true, false, false)]
fn request_that_may_have_run_is_retried_only_if_idempotent(
    #[case] failure: AttemptFailure,
    #[case] is_idempotent: bool,
    #[case] is_replayable: bool,
    #[case] is_allowed: bool,
) {
    let attempt = FailedAttempt { failure, attempts: 1, is_idempotent, is_replayable };
    assert_eq!(may_retry(attempt, &mut RetryBudget::default()), is_allowed);
    let last = FailedAttempt { attempts: ATTEMPTS_MAX, ..attempt };
    assert!(!may_retry(last, &mut RetryBudget::default()));
}

#[test]
fn budget_limits_retries_to_a_tenth_of_requests() {
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
fn deadline_is_capped_and_remaining_time_shrinks() {
    let now = Instant::now();
    let max = Duration::from_secs(60);
    let deadline = Deadline::new(now, Some(Duration::from_millis(1_500)), max);
    assert_eq!(deadline.remaining_ms(now + Duration::from_micros(500_500)), 999);
    assert!(deadline.has_passed(now + Duration::from_millis(1_500)));
    assert_eq!(Deadline::new(now, Some(Duration::MAX), max).at, now + max);
    assert_eq!(deadline.wait_end(now, Duration::from_secs(1)), now + Duration::from_secs(1));
}
