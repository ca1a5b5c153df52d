//! Tests of the slot time that is accumulated from the reports of other members.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use gateway::QueueShares;
use membership::MemberView;
use model::Config;
use model::TeamRef;
use shares::TeamCounts;
use wire::LimitCounts;

use super::PeerShares;
use super::counts;

fn member(node: &str, incarnation: u64, served_ms: u64) -> MemberView {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let count = LimitCounts {
        key: "waiting/levy-validate/levy/officers".to_owned(),
        running: 2,
        queued: 3,
        spare: 0,
        served_ms,
    };
    MemberView {
        node: node.into(),
        incarnation,
        zone: "a".into(),
        caller_address: address,
        admin_address: address,
        config_version: 1,
        is_alive: true,
        counts: vec![count],
    }
}

#[test]
fn slot_time_of_members_is_the_sum_of_their_increments() {
    let (mut peer_shares, config, now) = (PeerShares::default(), Config::default(), Instant::now());
    let me = "n0".into();
    let mut observe_after = |members: &[MemberView], after_ms: u64| {
        peer_shares.observe(members, &me, &config, now + Duration::from_millis(after_ms))
    };
    // Slot time used before the first report says nothing about the present load.
    let first =
        observe_after(&[member("n0", 1, 9), member("n1", 1, 5_000), member("n2", 1, 70)], 0);
    let [queue] = &first[..] else { panic!("{first:?}") };
    let [team] = &queue.teams[..] else { panic!("{queue:?}") };
    assert_eq!((team.running, team.queued, team.nodes), (4, 6, 2));
    assert_eq!(team.served, Duration::ZERO);
    let next = observe_after(&[member("n1", 1, 5_400), member("n2", 1, 170)], 500);
    assert_eq!(next[0].teams[0].served, Duration::from_millis(500));
    // A queue without a change is not returned.
    assert!(observe_after(&[member("n1", 1, 5_400), member("n2", 1, 170)], 750).is_empty());
    // A new incarnation counts from zero, and slot time used during a long gap is not added.
    let next = observe_after(&[member("n1", 2, 9_000), member("n2", 1, 270)], 1_000);
    assert_eq!(next[0].teams[0].served, Duration::from_millis(600));
    let next = observe_after(&[member("n1", 2, 90_000)], 60_000);
    assert_eq!(next[0].teams[0].served, Duration::from_millis(600));
    let removed = observe_after(&[], 61_000);
    assert!(removed[0].teams.is_empty());
}

#[test]
fn queues_without_waiting_requests_are_not_reported() {
    let team = |queued| TeamCounts {
        team: TeamRef::new("levy", "officers"),
        queued,
        running: 1,
        served: Duration::from_millis(1_500),
    };
    let queue = |queued| QueueShares { queue: "levy-validate".into(), teams: vec![team(queued)] };
    assert!(counts(&[queue(0)], &[]).is_empty());
    assert_eq!(counts(&[queue(0)], &["levy-validate".into()]).len(), 1);
    let reported = counts(&[queue(2)], &[]);
    assert_eq!((reported[0].queued, reported[0].served_ms), (2, 1_500));
}
