//! Batches, their order, filters and the picture.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use events::Batch;
use events::BatchName;
use events::Event;
use events::EventKind;
use events::Filter;
use events::Recorder;
use events::merge;
use events::plan_compaction;
use events::render_html;
use model::HostState;
use model::TeamRef;
use rstest::rstest;

fn at(wall_ms: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(wall_ms)
}

fn host_step(host: &str) -> EventKind {
    EventKind::HostStep { host: host.into(), state: HostState::Draining, pool: "p".into() }
}

fn unknown(request: &str) -> EventKind {
    EventKind::RequestUnknown {
        request: request.into(),
        team: TeamRef::new("levy", "verifiers"),
        host: "w1".into(),
    }
}

fn two_nodes() -> Vec<Event> {
    let a = Recorder::new("a".into(), 1);
    let b = Recorder::new("b".into(), 2);
    a.record(EventKind::NodeStarted, at(1_000));
    b.record(EventKind::NodeStarted, at(900));
    a.record(host_step("w1"), at(2_000));
    a.record(unknown("r1"), at(2_000));
    b.record(EventKind::NodeStopped { cut: 0 }, at(2_500));
    let mut all = a.since(0);
    all.extend(b.since(0));
    all.extend(a.since(1));
    merge(all)
}

#[test]
fn merged_events_are_in_order_and_come_once() {
    let events = two_nodes();
    let order: Vec<_> = events.iter().map(|e| (&*e.node, e.kind_name())).collect();
    assert_eq!(
        order,
        [
            ("b", "node-started".to_owned()),
            ("a", "node-started".to_owned()),
            ("a", "host-step".to_owned()),
            ("a", "request-unknown".to_owned()),
            ("b", "node-stopped".to_owned()),
        ]
    );
}

#[test]
fn event_after_a_message_sorts_after_its_cause_in_spite_of_a_slow_clock() {
    let fast = Recorder::new("fast".into(), 1);
    let slow = Recorder::new("slow".into(), 1);
    fast.record(host_step("w1"), at(5_000));
    slow.observe(fast.timestamp(at(5_000)), at(1_000));
    slow.record(host_step("w2"), at(1_001));
    let mut all = slow.since(0);
    all.extend(fast.since(0));
    let nodes: Vec<_> = merge(all).into_iter().map(|event| event.node.to_string()).collect();
    assert_eq!(nodes, ["fast", "slow"]);
}

#[test]
fn full_ring_drops_the_oldest_and_counts_them() {
    let recorder = Recorder::new("a".into(), 1);
    for wall_ms in 0..10_000 {
        recorder.record(EventKind::NodeUnfenced, at(wall_ms));
    }
    let kept = recorder.since(0);
    assert_eq!(kept.len() as u64 + recorder.dropped(), 10_000);
    assert_eq!(kept.last().map(|event| event.sequence), Some(9_999));
}

#[test]
fn batch_and_its_name_survive_the_object_store() {
    let events = two_nodes();
    let name = BatchName::of(&events[0]);
    assert_eq!(BatchName::parse(&name.to_object_name()), Some(name));
    assert_eq!(BatchName::parse("events/later/a"), None);
    let batch = Batch { events };
    assert_eq!(Batch::decode(&batch.encode()).unwrap(), batch);
    assert!(Batch::decode(b"not a batch").is_err());
}

#[rstest]
#[case(Filter::default(), 5)]
#[case(Filter { node: Some("a".into()), ..Filter::default() }, 3)]
#[case(Filter { kind: Some("node-started".into()), ..Filter::default() }, 2)]
#[case(Filter { host: Some("w1".into()), ..Filter::default() }, 2)]
#[case(Filter { team: Some("levy/verifiers".into()), ..Filter::default() }, 1)]
#[case(Filter { request: Some("r2".into()), ..Filter::default() }, 0)]
#[case(Filter { since_ms: Some(1_000), until_ms: Some(2_000), ..Filter::default() }, 3)]
fn filter_keeps_what_meets_every_condition(#[case] filter: Filter, #[case] expected: usize) {
    let kept = two_nodes().iter().filter(|event| filter.matches(event)).count();
    assert_eq!(kept, expected);
}

#[test]
fn picture_has_a_lane_a_process_a_mark_an_event_and_no_outside_reference() {
    let page = render_html(&two_nodes());
    assert_eq!(page.matches("<circle").count(), 5);
    assert_eq!(page.matches("class=lane").count(), 2);
    assert!(!page.contains("http"));
}

#[test]
fn picture_escapes_what_events_carry() {
    let recorder = Recorder::new("<script>".into(), 1);
    recorder.record(EventKind::NodeStarted, at(1));
    assert_eq!(render_html(&recorder.since(0)).matches("<script>").count(), 1);
}

fn named(first_ms: u64, node: &str) -> BatchName {
    BatchName { first_ms, node: node.into(), incarnation: 1, first_sequence: 0 }
}

#[test]
fn only_batches_of_one_settled_hour_are_joined_and_only_old_ones_removed() {
    const HOUR_MS: u64 = 3_600_000;
    let names = [
        named(10, "a"),
        named(HOUR_MS * 400, "joined"),
        named(HOUR_MS * 400 + 1, "a"),
        named(HOUR_MS * 400 + 2, "b"),
        named(HOUR_MS * 401 + 1, "a"),
        named(HOUR_MS * 401 + 2, "b"),
    ];
    let retention = Duration::from_secs(100 * 3_600);
    let plan = plan_compaction(&names, HOUR_MS * 402, retention);
    assert_eq!(plan.remove, names[..1]);
    assert_eq!(plan.join, names[2..4], "the last hour may still get late batches");
    let plan = plan_compaction(&names[4..], HOUR_MS * 402 + 600_001, retention);
    assert_eq!(plan.join, names[4..]);
    assert!(plan.remove.is_empty());
}
