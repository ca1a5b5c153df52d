//! Tests what is closed and refused when the budget for callers is used up.

use std::time::Duration;
use std::time::Instant;

use gateway::Budget;
use gateway::BudgetLimits;
use gateway::ConnectionBudget;

const SECOND: Duration = Duration::from_secs(1);
const SHORT: Duration = Duration::from_millis(50);
const MIB: usize = 1 << 20;

fn is_closed(connection: &ConnectionBudget) -> bool {
    let mut closed = std::pin::pin!(connection.closed());
    let waker = std::task::Waker::noop();
    closed.as_mut().poll(&mut std::task::Context::from_waker(waker)).is_ready()
}

fn two_connections() -> BudgetLimits {
    BudgetLimits { connections_max: 2, memory_max_bytes: MIB }
}

// A caller that came first and is being served must not make room for those who came later.
#[test]
fn connection_without_progress_is_closed_before_older_ones() {
    let budget = Budget::new(two_connections(), None);
    let now = Instant::now();
    let active = budget.connect(now).unwrap();
    let stalled = budget.connect(now + SECOND).unwrap();
    active.receive(4_096, MIB, now + 2 * SECOND);
    active.set_read_blocked();
    let _newcomer = budget.connect(now + 3 * SECOND).unwrap();
    assert!(is_closed(&stalled));
    assert!(!is_closed(&active));
}

// A client must not keep its place by sending a byte now and then.
#[test]
fn single_bytes_are_no_progress() {
    let budget = Budget::new(two_connections(), None);
    let now = Instant::now();
    let trickling = budget.connect(now).unwrap();
    let later = budget.connect(now + SECOND).unwrap();
    trickling.receive(1, MIB, now + 2 * SECOND);
    trickling.set_read_blocked();
    let _newcomer = budget.connect(now + 3 * SECOND).unwrap();
    assert!(is_closed(&trickling));
    assert!(!is_closed(&later));
}

// Requests that run must not be cut for newcomers; those are refused instead.
#[test]
fn running_requests_are_not_closed() {
    let budget = Budget::new(two_connections(), None);
    let now = Instant::now();
    let running = [budget.connect(now).unwrap(), budget.connect(now).unwrap()];
    running.iter().for_each(|connection| connection.set_running(true, now));
    assert!(budget.connect(now + SECOND).is_err());
    assert!(!running.iter().any(is_closed));
}

// Bytes must be returned when a request ends, or the budget leaks until nobody is served.
#[tokio::test]
async fn reserved_bytes_are_returned() {
    let limits = BudgetLimits { connections_max: 2, memory_max_bytes: MIB };
    let budget = Budget::new(limits, None);
    let now = Instant::now();
    let connection = budget.connect(now).unwrap();
    connection.set_running(true, now);
    for _ in 0..3 {
        let mut reservation = connection.reservation();
        reservation.grow_to(MIB / 2, SHORT).await.unwrap();
        assert!(connection.reservation().grow_to(MIB, SHORT).await.is_err(), "not returned yet");
    }
    drop(connection);
    let next = budget.connect(now).unwrap();
    next.reservation().grow_to(MIB / 2, SHORT).await.unwrap();
}

// A caller that does not read its answer must make room for the bodies of others, which get its
// bytes only once they are freed.
#[tokio::test]
async fn slow_reader_is_closed_for_a_body() {
    let budget = Budget::new(two_connections(), None);
    let now = Instant::now();
    let reader = budget.connect(now).unwrap();
    reader.set_running(true, now);
    reader.set_write_blocked(true, MIB / 2, now);
    let sender = budget.connect(now + SECOND).unwrap();
    sender.receive(4_096, 64 * 1_024, now + SECOND);
    let mut reservation = sender.reservation();
    assert!(reservation.grow_to(MIB / 2, SHORT).await.is_err(), "not freed yet");
    assert!(is_closed(&reader));
    assert!(!is_closed(&sender));
    drop(reader);
    reservation.grow_to(MIB / 2, SHORT).await.unwrap();
}
