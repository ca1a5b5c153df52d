//! When a node takes the ownership over.

use std::time::Duration;

use coordinator::election::Answer;
use coordinator::election::Election;
use coordinator::election::REFUSED_MAX;
use coordinator::election::Reason;
use coordinator::election::SILENCE_MAX;
use coordinator::election::Step;
use coordinator::election::Verdict;
use coordinator::rows::OwnerRow;
use rstest::rstest;

const NOW: Duration = Duration::from_secs(1_000);

fn row(sequence: u64) -> OwnerRow {
    OwnerRow { epoch: 1, sequence, incarnation: 7, ..OwnerRow::default() }
}

fn owner(renewal_age_ms: u64) -> Answer {
    Answer::Owner { incarnation: 7, renewal_age: Duration::from_millis(renewal_age_ms) }
}

#[test]
fn an_owner_that_works_is_left_alone() {
    let mut election = Election::default();
    assert_eq!(election.heard(&row(1), owner(300)), Step::Rest);
}

#[rstest]
#[case::another_process_at_its_address(Answer::NotOwner { incarnation: 8 }, Reason::Ended)]
#[case::it_cannot_write(owner(5_000), Reason::Stuck)]
fn some_answers_are_enough(#[case] answer: Answer, #[case] reason: Reason) {
    let mut election = Election::default();
    assert_eq!(election.heard(&row(1), answer), Step::Read);
    assert_eq!(election.read(Some(&row(1)), NOW), Verdict::Take(reason));
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
    assert_eq!(election.read(Some(&row(1)), NOW), Verdict::Wait);
    // It has written since: the silence begins anew.
    election.heard(&row(2), answer);
    assert_eq!(election.read(Some(&row(2)), NOW + silence_max), Verdict::Wait);
    election.heard(&row(2), answer);
    let last = NOW + silence_max * 2;
    assert_eq!(election.read(Some(&row(2)), last - step), Verdict::Wait);
    assert_eq!(election.read(Some(&row(2)), last), Verdict::Take(Reason::Silent));
}

#[test]
fn a_released_row_and_a_missing_one_are_taken_at_once() {
    let mut election = Election::default();
    assert_eq!(election.read(None, NOW), Verdict::Take(Reason::First));
    let released = OwnerRow { is_released: true, ..row(3) };
    assert_eq!(election.read(Some(&released), NOW), Verdict::Take(Reason::Released));
}

#[test]
fn an_answer_about_a_process_before_says_nothing_of_the_next() {
    let mut election = Election::default();
    election.heard(&row(1), Answer::NotOwner { incarnation: 8 });
    let next = OwnerRow { epoch: 2, incarnation: 9, ..row(4) };
    assert_eq!(election.read(Some(&next), NOW), Verdict::Wait);
}
