//! Workers that leave some polls unanswered. Guards against an owner that waits for the time limit
//! of the call, during which it does not see what has finished there.

use std::cell::Cell;
use std::future::pending;
use std::time::Duration;

use coordinator::ports::LeaseReply;
use coordinator::ports::LeaseRequest;
use coordinator::ports::WorkerError;
use coordinator::worker_poll::LATE_AFTER;
use coordinator::worker_poll::poll;
use scheduler::CompletionList;
use scheduler::WorkerReport;
use tokio::time::Instant;
use tokio::time::sleep;

const WAIT: Duration = Duration::from_secs(1);
/// Time limit of a call of the fake worker's client.
const TIMEOUT: Duration = Duration::from_millis(1_900);

fn request() -> LeaseRequest {
    LeaseRequest {
        worker: "w1".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        token: 1,
        acknowledged_completion: 0,
        known_at: None,
        may_acknowledge_on_any_connection: false,
        deadline_ms: None,
        wait: WAIT,
    }
}

fn reply() -> LeaseReply {
    let report = WorkerReport {
        incarnation_started_ms: 1,
        clock_ms: 0,
        running: Vec::new(),
        completions: CompletionList::default(),
    };
    LeaseReply::new(report, 0, 0)
}

async fn time_out() -> Result<LeaseReply, WorkerError> {
    sleep(TIMEOUT).await;
    Err(WorkerError::NoReply("timed out".to_owned()))
}

#[tokio::test(start_paused = true)]
async fn a_poll_without_reply_is_repeated_without_waiting() {
    let waits = Cell::new(Vec::new());
    let send = |request: LeaseRequest| {
        let mut sent = waits.take();
        sent.push(request.wait);
        let is_first = sent.len() == 1;
        waits.set(sent);
        async move { if is_first { time_out().await } else { Ok(reply()) } }
    };
    let started_at = Instant::now();
    let polled = poll(request(), send, || ()).await;
    assert!(polled.reply.is_ok());
    assert_eq!(waits.take(), [WAIT, Duration::ZERO]);
    assert!(started_at.elapsed() < WAIT + LATE_AFTER * 2, "took {:?}", started_at.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_poll_that_is_answered_in_time_is_not_repeated() {
    let send = |request: LeaseRequest| async move {
        sleep(request.wait).await;
        Ok(reply())
    };
    let is_repeated = Cell::new(false);
    let polled = poll(request(), send, || is_repeated.set(true)).await;
    assert!(polled.reply.is_ok());
    assert!(!is_repeated.get());
}

#[tokio::test(start_paused = true)]
async fn a_late_reply_counts_if_the_second_poll_fails() {
    let send = |request: LeaseRequest| async move {
        if request.wait.is_zero() {
            return Err(WorkerError::NoReply("connection reset".to_owned()));
        }
        sleep(WAIT + LATE_AFTER * 3).await;
        Ok(reply())
    };
    assert!(poll(request(), send, || ()).await.reply.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_silent_worker_is_reported_after_both_polls_have_failed() {
    let started_at = Instant::now();
    let polled = poll(request(), |_| time_out(), || ()).await;
    assert!(matches!(polled.reply, Err(WorkerError::NoReply(_))));
    assert!(started_at.elapsed() <= WAIT + LATE_AFTER + TIMEOUT);
}

/// Guards against an owner that doesn't learn of a restart: its idle connections lead to the earlier
/// incarnation, which has lost power, and break one after another when they are used.
#[tokio::test(start_paused = true)]
async fn a_late_poll_is_repeated_until_one_is_answered() {
    let polls = Cell::new(0);
    let send = |_| {
        polls.set(polls.get() + 1);
        let number = polls.get();
        async move {
            match number {
                1 => time_out().await,
                2 | 3 => Err(WorkerError::BrokenOff("connection reset".to_owned())),
                _ => Ok(reply()),
            }
        }
    };
    let started_at = Instant::now();
    assert!(poll(request(), send, || ()).await.reply.is_ok());
    assert!(started_at.elapsed() < TIMEOUT, "took {:?}", started_at.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_refused_token_is_reported_at_once() {
    let send = |_| async { Err(WorkerError::Fenced) };
    let polled = poll(request(), send, || ()).await;
    assert_eq!(polled.reply.unwrap_err(), WorkerError::Fenced);
}

#[tokio::test(start_paused = true)]
async fn a_fenced_second_poll_is_reported_without_the_first_reply() {
    let send = |request: LeaseRequest| async move {
        if request.wait.is_zero() {
            return Err(WorkerError::Fenced);
        }
        pending().await
    };
    let polled = tokio::time::timeout(WAIT * 3, poll(request(), send, || ())).await;
    assert_eq!(
        polled.expect("the second poll has decided").reply.unwrap_err(),
        WorkerError::Fenced
    );
}

/// Guards against two runs at the same time: the worker has started again since the first poll, and
/// takes the deadline for a time far ahead, later than the owner reckons with.
#[tokio::test(start_paused = true)]
async fn a_repeated_poll_renews_no_lease() {
    let deadlines = Cell::new(Vec::new());
    let send = |request: LeaseRequest| {
        let mut sent = deadlines.take();
        sent.push(request.deadline_ms);
        let is_first = sent.len() == 1;
        deadlines.set(sent);
        async move { if is_first { time_out().await } else { Ok(reply()) } }
    };
    poll(LeaseRequest { deadline_ms: Some(9_000), ..request() }, send, || ()).await.reply.unwrap();
    assert_eq!(deadlines.take(), [Some(9_000), None]);
}

/// Guards against a unit that is started again after it was done: the worker has started again since
/// the first poll, and takes the number for one of its new completions.
#[tokio::test(start_paused = true)]
async fn a_repeated_poll_acknowledges_nothing() {
    let acknowledged = Cell::new(Vec::new());
    let send = |request: LeaseRequest| {
        let mut sent = acknowledged.take();
        sent.push(request.acknowledged_completion);
        let is_first = sent.len() == 1;
        acknowledged.set(sent);
        async move { if is_first { time_out().await } else { Ok(reply()) } }
    };
    let polled = poll(LeaseRequest { acknowledged_completion: 7, ..request() }, send, || ()).await;
    assert_eq!(polled.sent.acknowledged_completion, 0);
    assert_eq!(acknowledged.take(), [7, 0]);
}
