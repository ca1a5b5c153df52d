//! Idempotency keys: one run at most, whatever is lost, with the runs counted at the servers.

#[path = "common/cell.rs"]
mod cell;

use std::time::Duration;

use http::StatusCode;
use standin::caller::Response;
use standin::platform_server::PlatformFaults;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::cell::Cell;
use crate::cell::Job;
use crate::cell::Plan;
use crate::cell::QUEUE;

fn keyed<'a>(name: &'a str, headers: &'a [(&'a str, &'a str)]) -> Job<'a> {
    Job { name, headers, ..Job::default() }
}

fn assert_not_run(answer: &Response, status: StatusCode) {
    assert_eq!((answer.status, answer.outcome()), (status, "not-run"), "{:?}", answer.body);
}

#[tokio::test]
async fn repeat_on_any_node_gets_the_first_answer() {
    let cell = Cell::start(Plan { nodes: 2, ..Plan::default() }).await;
    let headers = [("idempotency-key", "k1")];
    let first = cell.send(keyed("once", &headers)).await;
    assert_eq!((first.outcome(), &*first.body), ("complete", &b"steel"[..]));
    for node in &cell.nodes {
        let repeat = cell.send_to(node, keyed("once", &headers)).await;
        assert_eq!((repeat.outcome(), &repeat.body), ("complete", &first.body));
        let id = "savorypitch-request-id";
        assert_eq!(repeat.header(id), first.header(id));
    }
    let other = Job { body: b"aluminium", ..keyed("once", &headers) };
    let other = cell.send(other).await;
    assert_not_run(&other, StatusCode::CONFLICT);
    assert!(other.header("retry-after").is_empty(), "asking again as it is does not help");
    assert_eq!(cell.runs_of("once"), 1);
}

#[tokio::test]
async fn key_raced_on_two_nodes_runs_once() {
    let cell = std::sync::Arc::new(Cell::start(Plan { nodes: 2, ..Plan::default() }).await);
    for round in 0..5 {
        let name = format!("race-{round}");
        let mut sends = JoinSet::new();
        for number in 0..8 {
            let (cell, name) = (cell.clone(), name.clone());
            sends.spawn(async move {
                let headers = [("idempotency-key", &*name), ("standin-delay-ms", "30")];
                cell.send_to(&cell.nodes[number % 2], keyed(&name, &headers)).await
            });
        }
        let answers = sends.join_all().await;
        for answer in answers.iter().filter(|answer| answer.outcome() != "complete") {
            assert_not_run(answer, StatusCode::CONFLICT);
            assert!(!answer.header("retry-after").is_empty(), "the first is still running");
        }
        assert!(answers.iter().any(|answer| answer.outcome() == "complete"));
        assert_eq!(cell.runs_of(&name), 1);
    }
    cell.all_free().await;
}

#[tokio::test]
async fn claim_whose_answer_is_lost_still_runs_once() {
    let cell = Cell::start(Plan::default()).await;
    cell.platform.set_faults(PlatformFaults { lose_replies: 1, ..PlatformFaults::default() });
    let headers = [("idempotency-key", "lost")];
    let answer = cell.send(keyed("lost", &headers)).await;
    assert_eq!(answer.outcome(), "complete");
    assert_eq!(cell.send(keyed("lost", &headers)).await.outcome(), "complete");
    assert_eq!(cell.runs_of("lost"), 1);
}

#[tokio::test]
async fn claim_that_stays_unknown_is_refused_undone_and_free_again() {
    let cell = Cell::start(Plan::default()).await;
    cell.platform.set_faults(PlatformFaults { lose_replies: 1_000, ..PlatformFaults::default() });
    let headers = [("idempotency-key", "unsure")];
    let answer = cell.send(keyed("unsure", &headers)).await;
    assert_not_run(&answer, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(cell.runs_of("unsure"), 0);
    cell.platform.set_faults(PlatformFaults::default());
    cell.settled(|cell| async {
        cell.send(keyed("unsure", &headers)).await.outcome() == "complete"
    })
    .await;
    assert_eq!(cell.runs_of("unsure"), 1);
    cell.all_free().await;
}

#[tokio::test]
async fn table_that_is_down_refuses_keyed_requests_only() {
    let cell = Cell::start(Plan::default()).await;
    cell.platform.set_faults(PlatformFaults { is_down: true, ..PlatformFaults::default() });
    let headers = [("idempotency-key", "down")];
    let answer = cell.send(keyed("down", &headers)).await;
    assert_not_run(&answer, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!answer.header("retry-after").is_empty());
    assert_eq!(cell.runs_of("down"), 0);
    assert_eq!(cell.send(keyed("plain", &[])).await.outcome(), "complete");
}

#[tokio::test]
async fn answer_is_kept_for_a_caller_that_left() {
    let cell = Cell::start(Plan::default()).await;
    let mut stream = TcpStream::connect(cell.nodes[0].caller_address).await.unwrap();
    let request = format!(
        "POST /q/{QUEUE}/left HTTP/1.1\r\nhost: t\r\nauthorization: Bearer {}\r\n\
         standin-job: left\r\nstandin-delay-ms: 300\r\nidempotency-key: left\r\n\
         content-length: 5\r\n\r\nsteel",
        cell.key.secret
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    cell.settled(|cell| async { cell.runs_of("left") == 1 }).await;
    drop(stream);
    let headers = [("idempotency-key", "left")];
    let running = cell.send(keyed("left", &headers)).await;
    assert_not_run(&running, StatusCode::CONFLICT);
    cell.settled(|cell| async { cell.send(keyed("left", &headers)).await.outcome() == "complete" })
        .await;
    assert_eq!(cell.runs_of("left"), 1);
}

#[tokio::test]
async fn lost_answer_stays_unknown_and_a_refused_request_gives_its_key_back() {
    let cell = Cell::start(Plan::default()).await;
    for fault in ["cut-head", "cut-body"] {
        let headers = [("idempotency-key", fault), ("standin-fault", fault)];
        for _ in 0..3 {
            let answer = cell.send(keyed(fault, &headers)).await;
            assert_eq!((answer.status, answer.outcome()), (StatusCode::BAD_GATEWAY, "unknown"));
        }
        assert_eq!(cell.runs_of(fault), 1);
    }
    let headers = [("idempotency-key", "refused"), ("standin-fault", "not-run")];
    let refused = cell.send(keyed("refused", &headers)).await;
    assert_not_run(&refused, StatusCode::SERVICE_UNAVAILABLE);
    let headers = [("idempotency-key", "refused")];
    cell.settled(|cell| async {
        cell.send(keyed("refused", &headers)).await.outcome() == "complete"
    })
    .await;
    assert_eq!(cell.runs_of("refused"), 1);
}

#[tokio::test]
async fn large_bodies_are_refused_and_large_answers_are_not_kept() {
    let cell = Cell::start(Plan::default()).await;
    let headers = [("idempotency-key", "large")];
    let large = Job { body: &[7; 65 << 10], ..keyed("large", &headers) };
    let answer = cell.send(large).await;
    assert_not_run(&answer, StatusCode::PAYLOAD_TOO_LARGE);
    let body = vec![7; 40 << 10];
    let whole = cell.send(Job { body: &body, ..keyed("large", &headers) }).await;
    assert_eq!((whole.outcome(), whole.body == body), ("complete", true));
    let repeat = cell.send(Job { body: &body, ..keyed("large", &headers) }).await;
    assert_eq!((repeat.status, repeat.outcome()), (StatusCode::BAD_GATEWAY, "unknown"));
    assert_eq!(cell.runs_of("large"), 1);
}

#[tokio::test]
async fn holder_that_died_leaves_unknown_and_old_claims_are_removed() {
    let claim = |state, response_due_ms| routing::Claim {
        request: "r".into(),
        digest: "d".to_owned(),
        response_due_ms,
        state,
    };
    let running = claim(routing::ClaimState::Running, 1_000);
    assert_eq!(routing::resolve_repeat(&running, "d", 999), routing::RepeatOutcome::Running);
    assert_eq!(routing::resolve_repeat(&running, "d", 1_000), routing::RepeatOutcome::Unknown);
    assert_eq!(
        routing::resolve_repeat(&running, "e", 1_000),
        routing::RepeatOutcome::DifferentRequest
    );

    let mut plan = Plan::default();
    plan.gateway.claim_retention = Duration::from_secs(1);
    plan.gateway.sweep_interval = Duration::from_millis(20);
    let cell = Cell::start(plan).await;
    for number in 0..10 {
        let key = format!("old-{number}");
        let headers = [("idempotency-key", &*key)];
        assert_eq!(cell.send(keyed("old", &headers)).await.outcome(), "complete");
    }
    cell.settled(|cell| async {
        cell.platform.table.count("idem/") == 0 && cell.platform.table.count("idem-until/") == 0
    })
    .await;
}

#[tokio::test]
async fn claim_that_outlived_its_time_does_not_overwrite_the_next() {
    let mut plan = Plan::default();
    plan.gateway.claim_retention = Duration::from_secs(1);
    plan.gateway.sweep_interval = Duration::from_millis(20);
    let cell = Cell::start(plan).await;
    let next = || {
        let headers = &[("idempotency-key", "again")];
        cell.send(Job { body: b"next", ..keyed("next", headers) })
    };
    let slow = async {
        let headers = [("idempotency-key", "again"), ("standin-delay-ms", "1800")];
        cell.send(keyed("slow", &headers)).await
    };
    let after_sweep = async {
        cell.settled(|cell| async { cell.runs_of("slow") == 1 }).await;
        cell.settled(|cell| async { cell.platform.table.count("idem/") == 0 }).await;
        next().await
    };
    let (slow, first) = tokio::join!(slow, after_sweep);
    assert_eq!((slow.outcome(), first.outcome()), ("complete", "complete"));
    let repeat = next().await;
    assert_eq!((repeat.outcome(), &*repeat.body), ("complete", &b"next"[..]));
}
