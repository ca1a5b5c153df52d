//! When a node takes the ownership over.

use std::time::Duration;

use coordinator::election::Answer;
use coordinator::election::Claim;
use coordinator::election::Election;
use coordinator::election::REFUSED_MAX;
use coordinator::election::Reason;
use coordinator::election::SILENCE_MAX;
use coordinator::election::Step;
use coordinator::election::Verdict;
use coordinator::election::YIELD_TIME;
use coordinator::rows::OwnerRow;
use rstest::rstest;

const NOW: Duration = Duration::from_secs(1_000);

fn row(sequence: u64) -> OwnerRow {
    OwnerRow { epoch: 1, sequence, incarnation: 7, ..OwnerRow::default() }
}

fn owner(renewal_age_ms: u64) -> Answer {
    let renewal_age = Duration::from_millis(renewal_age_ms);
    Answer::Owner { incarnation: 7, renewal_age, is_loading: false }
}

#[test]
fn an_owner_that_works_is_left_alone() {
    let mut election = Election::default();
    assert_eq!(election.heard(&row(1), owner(300)), Step::Rest);
}

#[test]
fn an_owner_whose_store_is_slow_is_left_alone() {
    let mut election = Election::default();
    // Two transactions of 800 ms each.
    assert_eq!(election.heard(&row(1), owner(1_700)), Step::Rest);
}

#[rstest]
#[case::another_process_at_its_address(Answer::NotOwner { incarnation: 8 }, Reason::Ended)]
#[case::it_cannot_write(owner(5_000), Reason::Stuck)]
fn some_answers_are_enough(#[case] answer: Answer, #[case] reason: Reason) {
    let mut election = Election::default();
    assert_eq!(election.heard(&row(1), answer), Step::Read);
    assert_eq!(election.read(Some(&row(1)), Claim::AtOnce, NOW), Verdict::Take(reason));
}

#[rstest]
#[case::silent(Answer::Silent, SILENCE_MAX)]
#[case::refused(Answer::Refused, REFUSED_MAX)]
fn a_silent_owner_is_replaced_once_its_row_stands_still(
    #[case] answer: Answer,
    #[case] silence_max: Duration,
) {
    let mut election = Election::default();
    let step = Duration::from_millis(1);
    election.heard(&row(1), answer);
    assert_eq!(election.read(Some(&row(1)), Claim::AtOnce, NOW), Verdict::Wait);
    // It has written since: the silence begins anew.
    election.heard(&row(2), answer);
    assert_eq!(election.read(Some(&row(2)), Claim::AtOnce, NOW + silence_max), Verdict::Wait);
    election.heard(&row(2), answer);
    let last = NOW + silence_max * 2;
    assert_eq!(election.read(Some(&row(2)), Claim::AtOnce, last - step), Verdict::Wait);
    assert_eq!(election.read(Some(&row(2)), Claim::AtOnce, last), Verdict::Take(Reason::Silent));
}

#[test]
fn a_released_row_and_a_missing_one_are_taken_at_once() {
    let mut election = Election::default();
    assert_eq!(election.read(None, Claim::AtOnce, NOW), Verdict::Take(Reason::First));
    let released = OwnerRow { is_released: true, ..row(3) };
    assert_eq!(election.read(Some(&released), Claim::AtOnce, NOW), Verdict::Take(Reason::Released));
}

#[test]
fn an_answer_about_a_process_before_says_nothing_of_the_next() {
    let mut election = Election::default();
    election.heard(&row(1), Answer::NotOwner { incarnation: 8 });
    let next = OwnerRow { epoch: 2, incarnation: 9, ..row(4) };
    assert_eq!(election.read(Some(&next), Claim::AtOnce, NOW), Verdict::Wait);
}

#[test]
fn an_owner_that_has_just_taken_over_gets_the_time_to_read_what_is_stored() {
    let mut election = Election::default();
    let loading = |age_ms| Answer::Owner {
        incarnation: 7,
        renewal_age: Duration::from_millis(age_ms),
        is_loading: true,
    };
    assert_eq!(election.heard(&row(1), loading(2_500)), Step::Rest);
    assert_eq!(election.heard(&row(1), loading(3_500)), Step::Read);
}

#[test]
fn a_weak_node_leaves_a_take_over_to_stronger_ones_first() {
    let mut election = Election::default();
    let released = OwnerRow { is_released: true, ..row(3) };
    let later = NOW + YIELD_TIME;
    let mut read = |row: &OwnerRow, now| election.read(Some(row), Claim::AfterStronger, now);
    assert_eq!(read(&released, NOW), Verdict::Wait);
    assert_eq!(read(&released, later - Duration::from_millis(1)), Verdict::Wait);
    assert_eq!(read(&released, later), Verdict::Take(Reason::Released));
    // Another has taken over meanwhile: the time begins anew.
    let next = OwnerRow { epoch: 2, ..released };
    assert_eq!(read(&next, later), Verdict::Wait);
}

#[test]
fn a_weak_node_that_is_asked_takes_over_at_once() {
    let mut election = Election::default();
    election.asked(&row(1));
    let verdict = election.read(Some(&row(1)), Claim::AfterStronger, NOW);
    assert_eq!(verdict, Verdict::Take(Reason::Stuck));
}
