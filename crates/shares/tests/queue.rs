//! Checks the order of service, the bounds and the refusals of one queue.

use std::time::Duration;
use std::time::Instant;

use model::TeamRef;
use rstest::rstest;
use shares::Class;
use shares::Entry;
use shares::FairQueue;
use shares::PeerCounts;
use shares::Reason;
use shares::Settings;

const RUN_TIME: Duration = Duration::from_millis(100);

fn settings() -> Settings {
    Settings { waiting_max: 400, wait_max: Duration::from_secs(10), urgent_percent: 25 }
}

fn team(name: &str) -> TeamRef {
    TeamRef::new("levy", name)
}

fn entry(name: &str, share_weight: u32, now: Instant) -> Entry {
    let deadline = now + Duration::from_secs(30);
    Entry { team: team(name), share_weight, class: Class::Normal, deadline }
}

/// Starts and finishes up to `count` entries one after the other; returns the team of each.
fn serve(
    queue: &mut FairQueue,
    teams_by_ticket: &[String],
    count: usize,
    now: &mut Instant,
) -> Vec<String> {
    let mut served = Vec::new();
    for _ in 0..count {
        let Some(ticket) = queue.pop(*now, |_| true) else {
            break;
        };
        *now += RUN_TIME;
        queue.finish(ticket, *now);
        served.push(teams_by_ticket[ticket as usize].clone());
    }
    served
}

/// Pushes the given number of entries of each team; returns the team of each ticket.
fn push_entries(queue: &mut FairQueue, teams: &[(&str, u32, usize)], now: Instant) -> Vec<String> {
    let mut teams_by_ticket = Vec::new();
    for &(name, weight, count) in teams {
        for _ in 0..count {
            queue.push(entry(name, weight, now), now).unwrap();
            teams_by_ticket.push(name.to_owned());
        }
    }
    teams_by_ticket
}

/// Counts of one other node for a team.
fn peer_counts(name: &str, served: Duration, running: u32) -> PeerCounts {
    PeerCounts { team: team(name), share_weight: 1, served, running, queued: 10, nodes: 1 }
}

fn count(served: &[String], name: &str) -> usize {
    served.iter().filter(|owner| *owner == name).count()
}

#[test]
fn backlogged_teams_are_served_by_weight() {
    let mut now = Instant::now();
    let mut queue = FairQueue::new(settings());
    let teams_by_ticket = push_entries(&mut queue, &[("a", 1, 100), ("b", 3, 100)], now);
    let served = serve(&mut queue, &teams_by_ticket, 40, &mut now);
    assert_eq!(count(&served, "a"), 10);
    assert_eq!(count(&served, "b"), 30);
}

#[test]
fn new_team_does_not_wait_behind_a_backlog() {
    let mut now = Instant::now();
    let mut queue = FairQueue::new(settings());
    let mut teams_by_ticket = push_entries(&mut queue, &[("large", 1, 300)], now);
    serve(&mut queue, &teams_by_ticket, 50, &mut now);
    queue.push(entry("small", 1, now), now).unwrap();
    teams_by_ticket.push("small".to_owned());
    let served = serve(&mut queue, &teams_by_ticket, 2, &mut now);
    assert_eq!(count(&served, "small"), 1);
}

#[test]
fn idle_team_accumulates_no_credit() {
    let mut now = Instant::now();
    let mut queue = FairQueue::new(settings());
    let mut teams_by_ticket = push_entries(&mut queue, &[("a", 1, 1), ("b", 1, 300)], now);
    serve(&mut queue, &teams_by_ticket, 100, &mut now);
    for _ in 0..40 {
        queue.push(entry("a", 1, now), now).unwrap();
        teams_by_ticket.push("a".to_owned());
    }
    let served = serve(&mut queue, &teams_by_ticket, 20, &mut now);
    assert!(count(&served, "a") <= 11, "{served:?}");
}

#[test]
fn team_at_its_limit_is_skipped() {
    let now = Instant::now();
    let mut queue = FairQueue::new(settings());
    let teams_by_ticket = push_entries(&mut queue, &[("a", 9, 5), ("b", 1, 5)], now);
    let team_at_limit = team("a");
    for _ in 0..5 {
        let ticket = queue.pop(now, |team| *team != team_at_limit).unwrap();
        assert_eq!(teams_by_ticket[ticket as usize], "b");
    }
    assert_eq!(queue.pop(now, |team| *team != team_at_limit), None);
    assert_eq!(queue.len(), 5);
}

#[test]
fn service_at_other_nodes_is_charged_to_the_team() {
    let mut now = Instant::now();
    let mut queue = FairQueue::new(settings());
    let teams_by_ticket = push_entries(&mut queue, &[("a", 1, 150), ("b", 1, 150)], now);
    let mut served = Vec::new();
    let mut served_elsewhere = Duration::ZERO;
    for _ in 0..20 {
        // Another node constantly runs three entries of `a`; this node runs one entry at a time.
        queue.observe_peers(&[peer_counts("a", served_elsewhere, 3)], now);
        served_elsewhere += RUN_TIME * 15;
        served.extend(serve(&mut queue, &teams_by_ticket, 5, &mut now));
    }
    assert!(count(&served, "a") <= 5, "a was served {} times", count(&served, "a"));
}

#[test]
fn service_at_other_nodes_is_extrapolated_between_counts() {
    let mut now = Instant::now();
    let mut queue = FairQueue::new(settings());
    let teams_by_ticket = push_entries(&mut queue, &[("a", 1, 150), ("b", 1, 150)], now);
    for served in [Duration::ZERO, RUN_TIME * 15] {
        queue.observe_peers(&[peer_counts("a", served, 3)], now);
        serve(&mut queue, &teams_by_ticket, 5, &mut now);
    }
    let served = serve(&mut queue, &teams_by_ticket, 60, &mut now);
    assert!(count(&served, "a") <= 2, "a was served {} times", count(&served, "a"));
}

#[test]
fn time_at_the_limit_gives_limited_credit() {
    let mut now = Instant::now();
    let mut queue = FairQueue::new(settings());
    push_entries(&mut queue, &[("a", 1, 100), ("b", 1, 200)], now);
    let team_at_limit = team("a");
    for _ in 0..90 {
        let ticket = queue.pop(now, |team| *team != team_at_limit).unwrap();
        now += RUN_TIME;
        queue.finish(ticket, now);
        queue.observe_peers(&[], now);
    }
    let mut starts_of_b = 0;
    for _ in 0..40 {
        let before = queue.counts(now);
        let ticket = queue.pop(now, |_| true).unwrap();
        now += RUN_TIME;
        queue.finish(ticket, now);
        starts_of_b += before[1].queued - queue.counts(now)[1].queued;
    }
    // `a` lags by half of the two seconds, which is 10 starts; the other 30 are shared equally.
    assert!(starts_of_b >= 14, "b was served {starts_of_b} times");
}

#[rstest]
#[case::with_urgent_percentage(25, 30)]
#[case::without_urgent_percentage(0, 0)]
fn urgent_entries_take_precedence_in_their_percentage_of_starts(
    #[case] percent: u32,
    #[case] expected: usize,
) {
    let mut now = Instant::now();
    let mut queue = FairQueue::new(Settings { urgent_percent: percent, ..settings() });
    let mut teams_by_ticket = push_entries(&mut queue, &[("a", 1, 200)], now);
    for _ in 0..150 {
        let urgent = Entry { class: Class::Urgent, ..entry("b", 1, now) };
        queue.push(urgent, now).unwrap();
        teams_by_ticket.push("b".to_owned());
    }
    let served = serve(&mut queue, &teams_by_ticket, 100, &mut now);
    let urgent = count(&served, "b");
    assert!(urgent.abs_diff(expected) <= 2, "{urgent} urgent starts of 100");
    if percent > 0 {
        assert_eq!(served[0], "b");
    }
}

#[test]
fn urgent_entries_use_all_starts_without_normal_entries() {
    let mut now = Instant::now();
    let mut queue = FairQueue::new(settings());
    let mut teams_by_ticket = Vec::new();
    for _ in 0..60 {
        queue.push(Entry { class: Class::Urgent, ..entry("b", 1, now) }, now).unwrap();
        teams_by_ticket.push("b".to_owned());
    }
    assert_eq!(serve(&mut queue, &teams_by_ticket, 60, &mut now).len(), 60);
}

#[test]
fn full_queue_drops_the_newest_entry_of_the_largest_team() {
    let now = Instant::now();
    let mut queue = FairQueue::new(Settings { waiting_max: 20, ..settings() });
    push_entries(&mut queue, &[("flood", 1, 20)], now);
    let refused = queue.push(entry("flood", 1, now), now).unwrap_err();
    assert_eq!(refused.reason, Reason::Full);
    let ticket = queue.push(entry("small", 1, now), now).unwrap();
    assert_eq!(queue.expire(now), [19]);
    assert_eq!(queue.len(), 20);
    let mut started = (0..2).filter_map(|_| queue.pop(now, |_| true));
    assert!(started.any(|started| started == ticket));
}

#[test]
fn entry_that_would_miss_its_deadline_is_refused_at_once() {
    let mut now = Instant::now();
    let mut queue = FairQueue::new(settings());
    let teams_by_ticket = push_entries(&mut queue, &[("a", 1, 100)], now);
    serve(&mut queue, &teams_by_ticket, 20, &mut now);
    let with_short_deadline =
        Entry { deadline: now + Duration::from_secs(2), ..entry("a", 1, now) };
    let refused = queue.push(with_short_deadline.clone(), now).unwrap_err();
    assert_eq!(refused.reason, Reason::Deadline);
    assert!(refused.retry_after > Duration::from_secs(4), "{refused:?}");
    // Another team has its own share of the service, and a longer deadline can be met.
    queue.push(Entry { team: team("b"), ..with_short_deadline }, now).unwrap();
    queue.push(entry("a", 1, now), now).unwrap();
}

#[test]
fn empty_queue_accepts_entries_after_a_stall() {
    let mut now = Instant::now();
    let mut queue = FairQueue::new(settings());
    let teams_by_ticket = push_entries(&mut queue, &[("a", 1, 50)], now);
    serve(&mut queue, &teams_by_ticket, 10, &mut now);
    now += Duration::from_secs(60);
    assert_eq!(queue.expire(now).len(), 40);
    let with_short_deadline =
        Entry { deadline: now + Duration::from_secs(1), ..entry("a", 1, now) };
    queue.push(with_short_deadline, now).unwrap();
}

#[test]
fn entries_expire_at_their_deadline_or_maximum_wait() {
    let now = Instant::now();
    let mut queue = FairQueue::new(settings());
    let with_short_deadline =
        Entry { deadline: now + Duration::from_secs(1), ..entry("a", 1, now) };
    let first = queue.push(with_short_deadline, now).unwrap();
    let second = queue.push(entry("a", 1, now), now).unwrap();
    assert!(queue.expire(now + Duration::from_millis(999)).is_empty());
    assert_eq!(queue.expire(now + Duration::from_secs(1)), [first]);
    assert_eq!(queue.expire(now + Duration::from_secs(10)), [second]);
    assert!(queue.is_empty());
}
