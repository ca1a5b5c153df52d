//! Member list changes, counts in heartbeats, incarnation numbers and suspicion of silent peers.

use std::time::Duration;
use std::time::Instant;

use membership::FailureDetector;
use membership::ListChange;
use membership::ListChangeError;
use membership::MemberEntry;
use membership::MemberList;
use membership::MemberRow;
use membership::counts::CountSender;
use membership::counts::merge;
use membership::next_list;
use model::NodeId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use wire::Heartbeat;
use wire::LimitCounts;

fn entry(index: u8) -> MemberEntry {
    MemberEntry { node: name(index), peer_address: ([10, 0, 0, index], 1).into() }
}

fn name(index: u8) -> NodeId {
    format!("n{index}").into()
}

fn list(count: u8) -> MemberList {
    MemberList::first((0..count).map(entry).collect())
}

#[rstest]
#[case::reported_by_a_minority(&[(0, 1), (1, 1)], ListChange::Put(entry(9)), Err(ListChangeError::NotReported))]
#[case::one_reports_another_version(&[(0, 1), (1, 1), (2, 2)], ListChange::Put(entry(9)), Err(ListChangeError::NotReported))]
#[case::report_of_a_non_member(&[(0, 1), (1, 1), (7, 1)], ListChange::Put(entry(9)), Err(ListChangeError::NotReported))]
#[case::unchanged(&[(0, 1), (1, 1), (2, 1)], ListChange::Put(entry(3)), Err(ListChangeError::Unchanged))]
#[case::added(&[(0, 1), (1, 1), (2, 1)], ListChange::Put(entry(9)), Ok(6))]
#[case::removed(&[(0, 1), (1, 1), (2, 1)], ListChange::Remove(name(4)), Ok(4))]
fn list_changes_only_after_a_majority_reported_its_version(
    #[case] reports: &[(u8, u64)],
    #[case] change: ListChange,
    #[case] members: Result<usize, ListChangeError>,
) {
    let reports: Vec<_> = reports.iter().map(|(index, version)| (name(*index), *version)).collect();
    let next = next_list(&list(5), &reports, change);
    assert_eq!(next.as_ref().map(|next| next.members.len()).map_err(|error| *error), members);
    assert!(next.is_ok_and(|next| next.version == 2) || members.is_err());
}

#[test]
fn lost_heartbeats_leave_no_wrong_counts() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut sender = CountSender::default();
    let mut received = Vec::new();
    let mut counts = Vec::new();
    for round in 0..200 {
        if round < 100 {
            counts = (0..60)
                .map(|key| (key, rng.random_range(0..8)))
                .filter(|(_, running)| *running > 3)
                .map(|(key, running)| LimitCounts {
                    key: format!("{key:02}"),
                    running,
                    ..LimitCounts::default()
                })
                .collect();
        }
        let sent = sender.next(&counts);
        assert!(sent.len() <= 36, "{} counts in one heartbeat", sent.len());
        if round >= 100 || rng.random_bool(0.7) {
            merge(&mut received, &sent);
        }
    }
    assert_eq!(received, counts);
}

#[rstest]
#[case::clock_ahead(100, 101)]
#[case::clock_set_back(5, 51)]
fn next_incarnation_is_higher_even_if_the_clock_was_set_back(
    #[case] wall_ms: u64,
    #[case] at_least: u64,
) {
    let row = MemberRow {
        node: name(0),
        incarnation: 50,
        evicted_up_to: 40,
        takeover_up_to: 40,
        zone: "a".into(),
        caller_address: ([10, 0, 0, 1], 1).into(),
        admin_address: ([10, 0, 0, 1], 2).into(),
        peer_address: ([10, 0, 0, 1], 3).into(),
    };
    let next = row.next_incarnation(wall_ms);
    assert!(next >= at_least.min(100) && next > 50);
    let row = row.with_incarnation(next);
    assert_eq!((row.incarnation, row.evicted_up_to, row.takeover_up_to), (next, 50, 40));
}

#[test]
fn peer_is_suspected_only_if_a_majority_reports_it_silent() {
    let limit = Duration::from_secs(2);
    let start = Instant::now();
    let list = list(5);
    let mut failure_detector = FailureDetector::new(name(0), limit);
    failure_detector.set_list(&list, start);
    for peer in 1..5 {
        failure_detector.record_message(&name(peer), 1, 0, start);
    }
    let now = start + limit;
    let report_silent_peer = |failure_detector: &mut FailureDetector, peer: u8| {
        let heartbeat = Heartbeat { list_version: 1, silent: vec![4], ..Heartbeat::default() };
        failure_detector.record_message(&name(peer), 1, 0, now);
        failure_detector.record_heartbeat(&name(peer), &heartbeat);
    };
    report_silent_peer(&mut failure_detector, 1);
    failure_detector.record_message(&name(2), 1, 0, now);
    failure_detector.record_message(&name(3), 1, 0, now);
    assert_eq!(failure_detector.suspects(&list, now), Vec::new());
    report_silent_peer(&mut failure_detector, 2);
    assert_eq!(failure_detector.suspects(&list, now), vec![(name(4), 1)]);
    failure_detector.record_message(&name(4), 1, 0, now);
    assert_eq!(failure_detector.suspects(&list, now), Vec::new());
}
