//! When a node takes over the ownership, and how long it waits first.

use std::time::Duration;

use coordinator::election::Election;
use coordinator::election::NextStep;
use coordinator::election::OwnerReply;
use coordinator::election::POLL_PERIOD;
use coordinator::election::REFUSED_MAX;
use coordinator::election::Reason;
use coordinator::election::SILENCE_MAX;
use coordinator::election::TakeoverTiming;
use coordinator::election::VALIDITY;
use coordinator::election::Verdict;
use coordinator::election::YIELD_TIME;
use coordinator::election::lease_remaining;
use coordinator::election::poll_period;
use coordinator::rows;
use coordinator::rows::OwnerRow;
use rstest::rstest;

const NOW: Duration = Duration::from_secs(1_000);

fn row(sequence: u64) -> OwnerRow {
    OwnerRow { epoch: 1, sequence, incarnation: 7, ..OwnerRow::default() }
}

fn owner(renewal_age_ms: u64) -> OwnerReply {
    let renewal_age = Duration::from_millis(renewal_age_ms);
    OwnerReply::Owner { incarnation: 7, renewal_age, is_loading: false }
}

#[test]
fn a_working_owner_is_not_replaced() {
    let mut election = Election::default();
    assert_eq!(election.handle_reply(&row(1), owner(300)), NextStep::Wait);
}

#[test]
fn an_owner_with_a_slow_store_is_not_replaced() {
    let mut election = Election::default();
    // Two transactions of 800 ms each.
    assert_eq!(election.handle_reply(&row(1), owner(1_700)), NextStep::Wait);
}

#[rstest]
#[case::another_process_at_the_address(OwnerReply::NotOwner { incarnation: 8 }, Reason::Ended)]
#[case::the_owner_cannot_write(owner(5_000), Reason::Stuck)]
fn some_replies_cause_an_immediate_takeover(#[case] reply: OwnerReply, #[case] reason: Reason) {
    let mut election = Election::default();
    assert_eq!(election.handle_reply(&row(1), reply), NextStep::ReadRow);
    assert_eq!(
        election.handle_row(Some(&row(1)), TakeoverTiming::Immediate, NOW),
        Verdict::TakeOver(reason)
    );
}

#[rstest]
#[case::silent(OwnerReply::Silent, SILENCE_MAX)]
#[case::refused(OwnerReply::Refused, REFUSED_MAX)]
fn a_silent_owner_is_replaced_once_its_row_stops_changing(
    #[case] reply: OwnerReply,
    #[case] silence_max: Duration,
) {
    let mut election = Election::default();
    let step = Duration::from_millis(1);
    election.handle_reply(&row(1), reply);
    assert_eq!(election.handle_row(Some(&row(1)), TakeoverTiming::Immediate, NOW), Verdict::Wait);
    // The owner has written in the meantime: the wait starts again.
    election.handle_reply(&row(2), reply);
    assert_eq!(
        election.handle_row(Some(&row(2)), TakeoverTiming::Immediate, NOW + silence_max),
        Verdict::Wait
    );
    election.handle_reply(&row(2), reply);
    let last = NOW + silence_max * 2;
    assert_eq!(
        election.handle_row(Some(&row(2)), TakeoverTiming::Immediate, last - step),
        Verdict::Wait
    );
    assert_eq!(
        election.handle_row(Some(&row(2)), TakeoverTiming::Immediate, last),
        Verdict::TakeOver(Reason::Silent)
    );
}

#[test]
fn a_released_or_missing_row_causes_an_immediate_takeover() {
    let mut election = Election::default();
    assert_eq!(
        election.handle_row(None, TakeoverTiming::Immediate, NOW),
        Verdict::TakeOver(Reason::First)
    );
    let released = OwnerRow { is_released: true, ..row(3) };
    assert_eq!(
        election.handle_row(Some(&released), TakeoverTiming::Immediate, NOW),
        Verdict::TakeOver(Reason::Released)
    );
}

#[test]
fn a_reply_about_an_earlier_owner_does_not_count_for_the_next() {
    let mut election = Election::default();
    election.handle_reply(&row(1), OwnerReply::NotOwner { incarnation: 8 });
    let next = OwnerRow { epoch: 2, incarnation: 9, ..row(4) };
    assert_eq!(election.handle_row(Some(&next), TakeoverTiming::Immediate, NOW), Verdict::Wait);
}

#[test]
fn a_new_owner_gets_time_to_load_the_stored_state() {
    let mut election = Election::default();
    let loading = |age_ms| OwnerReply::Owner {
        incarnation: 7,
        renewal_age: Duration::from_millis(age_ms),
        is_loading: true,
    };
    assert_eq!(election.handle_reply(&row(1), loading(2_500)), NextStep::Wait);
    assert_eq!(election.handle_reply(&row(1), loading(3_500)), NextStep::ReadRow);
}

#[test]
fn a_weak_node_first_leaves_a_takeover_to_stronger_nodes() {
    let mut election = Election::default();
    let released = OwnerRow { is_released: true, ..row(3) };
    let later = NOW + YIELD_TIME;
    let mut read =
        |row: &OwnerRow, now| election.handle_row(Some(row), TakeoverTiming::AfterStronger, now);
    assert_eq!(read(&released, NOW), Verdict::Wait);
    assert_eq!(read(&released, later - Duration::from_millis(1)), Verdict::Wait);
    assert_eq!(read(&released, later), Verdict::TakeOver(Reason::Released));
    // Another node has taken over in the meantime: the wait starts again.
    let next = OwnerRow { epoch: 2, ..released };
    assert_eq!(read(&next, later), Verdict::Wait);
}

#[test]
fn a_weak_node_takes_over_at_once_on_request() {
    let mut election = Election::default();
    election.handle_takeover_request(&row(1));
    let verdict = election.handle_row(Some(&row(1)), TakeoverTiming::AfterStronger, NOW);
    assert_eq!(verdict, Verdict::TakeOver(Reason::Stuck));
}

/// Polls of all owners by all nodes, per second.
fn polls_per_s(shard_count: usize, is_strong: bool) -> f64 {
    let numbers = 0..shard_count as u64;
    let periods = numbers.map(|number| poll_period(shard_count, number, is_strong));
    periods.map(|period| 1.0 / period.as_secs_f64()).sum()
}

#[test]
fn the_polls_that_a_node_sends_stay_bounded_however_many_shards_there_are() {
    assert_eq!(poll_period(1, 0, false), POLL_PERIOD);
    for shard_count in [1, 5, 8, 50] {
        assert!(polls_per_s(shard_count, false) < 22.0, "{shard_count} shards");
        assert!(polls_per_s(shard_count, true) < 42.0, "{shard_count} shards");
    }
}

#[test]
fn a_suspicion_is_followed_up_soon() {
    let mut election = Election::default();
    assert!(!election.is_suspicious());
    assert_eq!(election.handle_reply(&row(1), OwnerReply::Silent), NextStep::ReadRow);
    election.handle_row(Some(&row(1)), TakeoverTiming::Immediate, NOW);
    assert!(election.is_suspicious());
    assert_eq!(election.handle_reply(&row(1), owner(300)), NextStep::Wait);
    assert!(!election.is_suspicious());
}

const LEASE: Duration = Duration::from_secs(5);
/// The longest time for which a lease of [`LEASE`] lasts on a worker whose clock is slow.
const LEASE_MAX: Duration = Duration::from_millis(5_375);

// Guards against a unit that is started while it runs: an owner that had just taken over released the
// ownership or ended, and its successor did not reckon with the owner before it, which was cut off
// and still renewed leases.
#[rstest]
#[case::released_at_once(Reason::Released, 0, VALIDITY)]
#[case::released_soon(Reason::Released, 1_000, VALIDITY - Duration::from_secs(1))]
#[case::released_later(Reason::Released, 60_000, Duration::ZERO)]
#[case::ended_soon(Reason::Ended, 1_000, VALIDITY - Duration::from_secs(1))]
#[case::ended_later(Reason::Ended, 60_000, Duration::ZERO)]
#[case::silent_soon(Reason::Silent, 0, VALIDITY)]
#[case::silent_later(Reason::Silent, 60_000, VALIDITY - REFUSED_MAX)]
#[case::stuck(Reason::Stuck, 60_000, VALIDITY)]
fn leases_that_any_earlier_owner_may_have_renewed_are_waited_for(
    #[case] reason: Reason,
    #[case] previous_held_ms: u64,
    #[case] beyond_lease: Duration,
) {
    let remaining = lease_remaining(reason, Duration::from_millis(previous_held_ms), LEASE);
    assert_eq!(remaining, LEASE_MAX + beyond_lease);
}

// Guards against a row of an earlier version, which does not tell for how long its owner had held
// the ownership, being taken for that of an owner of long standing.
#[test]
fn an_owner_whose_row_lacks_the_time_counts_as_new() {
    let row: OwnerRow = rows::decode(rows::OWNER_KEY, br#"{"epoch":4,"sequence":9}"#).unwrap();
    assert_eq!(row.held_ms, 0);
}
