//! Order of service, bounds and refusals of one queue.

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

const RUN: Duration = Duration::from_millis(100);

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

/// Starts and ends `count` entries one after the other, and says which team each was of.
fn serve(queue: &mut FairQueue, owners: &[String], count: usize, now: &mut Instant) -> Vec<String> {
    let mut served = Vec::new();
    for _ in 0..count {
        let Some(ticket) = queue.pop(*now, |_| true) else {
            break;
        };
        *now += RUN;
        queue.finish(ticket, *now);
        served.push(owners[ticket as usize].clone());
    }
    served
}

fn fill(queue: &mut FairQueue, teams: &[(&str, u32, usize)], now: Instant) -> Vec<String> {
    let mut owners = Vec::new();
    for &(name, weight, count) in teams {
        for _ in 0..count {
            queue.push(entry(name, weight, now), now).unwrap();
            owners.push(name.to_owned());
        }
    }
    owners
}

/// What another node has of a team.
fn elsewhere(name: &str, served: Duration, running: u32) -> PeerCounts {
    PeerCounts { team: team(name), share_weight: 1, served, running, queued: 10, nodes: 1 }
}

fn count(served: &[String], name: &str) -> usize {
    served.iter().filter(|owner| *owner == name).count()
}

#[test]
fn backlogged_teams_are_served_by_weight() {
    let mut now = Instant::now();
    let mut queue = FairQueue::new(settings());
    let owners = fill(&mut queue, &[("a", 1, 100), ("b", 3, 100)], now);
    let served = serve(&mut queue, &owners, 40, &mut now);
    assert_eq!(count(&served, "a"), 10);
    assert_eq!(count(&served, "b"), 30);
}

#[test]
fn small_team_that_comes_late_does_not_wait_for_the_backlog() {
    let mut now = Instant::now();
    let mut queue = FairQueue::new(settings());
    let mut owners = fill(&mut queue, &[("large", 1, 300)], now);
    serve(&mut queue, &owners, 50, &mut now);
    queue.push(entry("small", 1, now), now).unwrap();
    owners.push("small".to_owned());
    let served = serve(&mut queue, &owners, 2, &mut now);
    assert_eq!(count(&served, "small"), 1);
}

#[test]
fn idle_time_gives_no_credit() {
    let mut now = Instant::now();
    let mut queue = FairQueue::new(settings());
    let mut owners = fill(&mut queue, &[("a", 1, 1), ("b", 1, 300)], now);
    serve(&mut queue, &owners, 100, &mut now);
    for _ in 0..40 {
        queue.push(entry("a", 1, now), now).unwrap();
        owners.push("a".to_owned());
    }
    let served = serve(&mut queue, &owners, 20, &mut now);
    assert!(count(&served, "a") <= 11, "{served:?}");
}

#[test]
fn team_at_its_limit_is_passed_over() {
    let now = Instant::now();
    let mut queue = FairQueue::new(settings());
    let owners = fill(&mut queue, &[("a", 9, 5), ("b", 1, 5)], now);
    let limited = team("a");
    for _ in 0..5 {
        let ticket = queue.pop(now, |team| *team != limited).unwrap();
        assert_eq!(owners[ticket as usize], "b");
    }
    assert_eq!(queue.pop(now, |team| *team != limited), None);
    assert_eq!(queue.len(), 5);
}

#[test]
fn service_at_other_nodes_counts() {
    let mut now = Instant::now();
    let mut queue = FairQueue::new(settings());
    let owners = fill(&mut queue, &[("a", 1, 150), ("b", 1, 150)], now);
    let mut served = Vec::new();
    let mut given = Duration::ZERO;
    for _ in 0..20 {
        // Another node runs three of `a` all the time, this node runs one entry at a time.
        queue.observe_peers(&[elsewhere("a", given, 3)], now);
        given += RUN * 15;
        served.extend(serve(&mut queue, &owners, 5, &mut now));
    }
    assert!(count(&served, "a") <= 5, "a was served {} times", count(&served, "a"));
}

#[test]
fn service_at_other_nodes_is_taken_to_go_on_between_counts() {
    let mut now = Instant::now();
    let mut queue = FairQueue::new(settings());
    let owners = fill(&mut queue, &[("a", 1, 150), ("b", 1, 150)], now);
    for served in [Duration::ZERO, RUN * 15] {
        queue.observe_peers(&[elsewhere("a", served, 3)], now);
        serve(&mut queue, &owners, 5, &mut now);
    }
    let served = serve(&mut queue, &owners, 60, &mut now);
    assert!(count(&served, "a") <= 2, "a was served {} times", count(&served, "a"));
}

#[test]
fn time_at_the_limit_gives_bounded_credit() {
    let mut now = Instant::now();
    let mut queue = FairQueue::new(settings());
    fill(&mut queue, &[("a", 1, 100), ("b", 1, 200)], now);
    let limited = team("a");
    for _ in 0..90 {
        let ticket = queue.pop(now, |team| *team != limited).unwrap();
        now += RUN;
        queue.finish(ticket, now);
        queue.observe_peers(&[], now);
    }
    let mut starts_of_b = 0;
    for _ in 0..40 {
        let before = queue.counts(now);
        let ticket = queue.pop(now, |_| true).unwrap();
        now += RUN;
        queue.finish(ticket, now);
        starts_of_b += before[1].queued - queue.counts(now)[1].queued;
    }
    // Two seconds of credit, half of them its share.
    assert!(starts_of_b >= 14, "b was served {starts_of_b} times");
}

#[rstest]
#[case::some_portion(25, 30)]
#[case::no_portion(0, 0)]
fn urgent_entries_go_first_within_their_portion(#[case] percent: u32, #[case] expected: usize) {
    let mut now = Instant::now();
    let mut queue = FairQueue::new(Settings { urgent_percent: percent, ..settings() });
    let mut owners = fill(&mut queue, &[("a", 1, 200)], now);
    for _ in 0..150 {
        let urgent = Entry { class: Class::Urgent, ..entry("b", 1, now) };
        queue.push(urgent, now).unwrap();
        owners.push("b".to_owned());
    }
    let served = serve(&mut queue, &owners, 100, &mut now);
    let urgent = count(&served, "b");
    assert!(urgent.abs_diff(expected) <= 2, "{urgent} urgent starts of 100");
    if percent > 0 {
        assert_eq!(served[0], "b");
    }
}

#[test]
fn urgent_entries_use_what_others_leave() {
    let mut now = Instant::now();
    let mut queue = FairQueue::new(settings());
    let mut owners = Vec::new();
    for _ in 0..60 {
        queue.push(Entry { class: Class::Urgent, ..entry("b", 1, now) }, now).unwrap();
        owners.push("b".to_owned());
    }
    assert_eq!(serve(&mut queue, &owners, 60, &mut now).len(), 60);
}

#[test]
fn full_queue_of_one_team_lets_another_in() {
    let now = Instant::now();
    let mut queue = FairQueue::new(Settings { waiting_max: 20, ..settings() });
    fill(&mut queue, &[("flood", 1, 20)], now);
    let refused = queue.push(entry("flood", 1, now), now).unwrap_err();
    assert_eq!(refused.reason, Reason::Full);
    let ticket = queue.push(entry("small", 1, now), now).unwrap();
    assert_eq!(queue.expire(now), [19]);
    assert_eq!(queue.len(), 20);
    let mut started = (0..2).filter_map(|_| queue.pop(now, |_| true));
    assert!(started.any(|started| started == ticket));
}

#[test]
fn entry_that_cannot_start_in_time_is_refused_at_once() {
    let mut now = Instant::now();
    let mut queue = FairQueue::new(settings());
    let owners = fill(&mut queue, &[("a", 1, 100)], now);
    serve(&mut queue, &owners, 20, &mut now);
    let soon = Entry { deadline: now + Duration::from_secs(2), ..entry("a", 1, now) };
    let refused = queue.push(soon.clone(), now).unwrap_err();
    assert_eq!(refused.reason, Reason::Deadline);
    assert!(refused.retry_after > Duration::from_secs(4), "{refused:?}");
    // Another team has its own part of the service, and a patient caller has time.
    queue.push(Entry { team: team("b"), ..soon }, now).unwrap();
    queue.push(entry("a", 1, now), now).unwrap();
}

#[test]
fn empty_queue_takes_work_after_a_standstill() {
    let mut now = Instant::now();
    let mut queue = FairQueue::new(settings());
    let owners = fill(&mut queue, &[("a", 1, 50)], now);
    serve(&mut queue, &owners, 10, &mut now);
    now += Duration::from_secs(60);
    assert_eq!(queue.expire(now).len(), 40);
    let soon = Entry { deadline: now + Duration::from_secs(1), ..entry("a", 1, now) };
    queue.push(soon, now).unwrap();
}

#[test]
fn entries_leave_at_their_deadline_or_age() {
    let now = Instant::now();
    let mut queue = FairQueue::new(settings());
    let soon = Entry { deadline: now + Duration::from_secs(1), ..entry("a", 1, now) };
    let first = queue.push(soon, now).unwrap();
    let second = queue.push(entry("a", 1, now), now).unwrap();
    assert!(queue.expire(now + Duration::from_millis(999)).is_empty());
    assert_eq!(queue.expire(now + Duration::from_secs(1)), [first]);
    assert_eq!(queue.expire(now + Duration::from_secs(10)), [second]);
    assert!(queue.is_empty());
}
