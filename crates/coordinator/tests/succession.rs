//! Which node should own the scheduling next.

use std::net::SocketAddr;
use std::time::Duration;

use coordinator::succession::Follower;
use coordinator::succession::Followers;
use rstest::rstest;
use scheduler::Moment;
use scheduler::ShardIndex;

const SHARD: ShardIndex = 0;
const NOW: Moment = Duration::from_secs(1_000);
const LONG: Duration = Duration::from_secs(3);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn follower(port: u16, cpu_millis: u64, uptime_s: u64) -> Follower {
    let started_at = NOW - Duration::from_secs(uptime_s);
    let address = address(port);
    Follower { address, started_at, seen_at: NOW, cpu_millis, is_store_up: true }
}

fn followers(entries: &[Follower]) -> Followers {
    let mut followers = Followers::default();
    for entry in entries {
        followers.record(*entry);
    }
    followers
}

#[rstest]
#[case::the_strongest(&[follower(1, 120, 5), follower(2, 500, 50), follower(3, 120, 1)], 2)]
#[case::the_last_started_among_equals(&[follower(1, 500, 50), follower(2, 500, 5)], 2)]
#[case::one_that_reaches_the_store(
    &[Follower { is_store_up: false, ..follower(1, 500, 5) }, follower(2, 120, 50)],
    2
)]
fn the_successor_is_the_best_follower(#[case] entries: &[Follower], #[case] port: u16) {
    assert_eq!(followers(entries).successor(SHARD, NOW), Some(address(port)));
}

#[test]
fn shards_prefer_different_nodes_among_equals() {
    let entries: Vec<Follower> = (1..=8).map(|port| follower(port, 500, 5)).collect();
    let followers = followers(&entries);
    let mut chosen: Vec<SocketAddr> =
        (0..8).filter_map(|shard| followers.successor(shard, NOW)).collect();
    chosen.sort();
    chosen.dedup();
    assert!(chosen.len() >= 4, "{chosen:?}");
}

#[test]
fn a_node_that_stopped_polling_is_not_the_successor() {
    assert_eq!(followers(&[follower(1, 500, 50)]).successor(SHARD, NOW + LONG), None);
}

#[test]
fn a_stronger_node_counts_only_after_it_has_followed_long_enough() {
    let mut followers = followers(&[follower(1, 500, 50)]);
    assert!(!followers.has_stronger(120, NOW));
    for step in 1..=5 {
        let seen_at = NOW + Duration::from_millis(400) * step;
        followers.record(Follower { seen_at, ..follower(1, 500, 50) });
    }
    let now = NOW + Duration::from_secs(2);
    assert!(followers.has_stronger(120, now));
    assert!(!followers.has_stronger(500, now), "an equal node is not stronger");
    // The node was away, so it has to follow for the full time again.
    let now = now + LONG;
    followers.record(Follower { seen_at: now, ..follower(1, 500, 50) });
    assert!(!followers.has_stronger(120, now));
}
