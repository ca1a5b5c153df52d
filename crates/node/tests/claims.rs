//! Tests that a request with an idempotency key runs at most once, whichever replies are lost. The
//! stand-in backend servers count the runs.

#[path = "common/cluster.rs"]
mod cluster;

use std::time::Duration;

use http::StatusCode;
use services::Table;
use services::Transaction;
use services::Write;
use standin::caller::Response;
use standin::platform_server::PlatformFaults;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::cluster::ClusterOptions;
use crate::cluster::QUEUE;
use crate::cluster::TestCluster;
use crate::cluster::TestRequest;

fn keyed_request<'a>(name: &'a str, headers: &'a [(&'a str, &'a str)]) -> TestRequest<'a> {
    TestRequest { name, headers, ..TestRequest::default() }
}

fn assert_not_run(response: &Response, status: StatusCode) {
    assert_eq!((response.status, response.outcome()), (status, "not-run"), "{:?}", response.body);
}

#[tokio::test]
async fn repeat_on_any_node_gets_the_stored_response() {
    let cluster =
        TestCluster::start(ClusterOptions { nodes: 2, ..ClusterOptions::default() }).await;
    let headers = [("idempotency-key", "k1")];
    let first = cluster.send(keyed_request("once", &headers)).await;
    assert_eq!((first.outcome(), &*first.body), ("complete", &b"steel"[..]));
    for node in &cluster.nodes {
        let repeat = cluster.send_to(node, keyed_request("once", &headers)).await;
        assert_eq!((repeat.outcome(), &repeat.body), ("complete", &first.body));
        let id = "savorypitch-request-id";
        assert_eq!(repeat.header(id), first.header(id));
    }
    let other = TestRequest { body: b"aluminium", ..keyed_request("once", &headers) };
    let other = cluster.send(other).await;
    assert_not_run(&other, StatusCode::CONFLICT);
    assert!(other.header("retry-after").is_empty(), "repeating the same request does not help");
    assert_eq!(cluster.runs_of("once"), 1);
}

#[tokio::test]
async fn concurrent_requests_with_one_key_on_two_nodes_run_once() {
    let cluster = std::sync::Arc::new(
        TestCluster::start(ClusterOptions { nodes: 2, ..ClusterOptions::default() }).await,
    );
    for round in 0..5 {
        let name = format!("race-{round}");
        let mut sends = JoinSet::new();
        for number in 0..8 {
            let (cluster, name) = (cluster.clone(), name.clone());
            sends.spawn(async move {
                let headers = [("idempotency-key", &*name), ("standin-delay-ms", "30")];
                cluster.send_to(&cluster.nodes[number % 2], keyed_request(&name, &headers)).await
            });
        }
        let responses = sends.join_all().await;
        for response in responses.iter().filter(|response| response.outcome() != "complete") {
            assert_not_run(response, StatusCode::CONFLICT);
            assert!(
                !response.header("retry-after").is_empty(),
                "the first request is still running"
            );
        }
        assert!(responses.iter().any(|response| response.outcome() == "complete"));
        assert_eq!(cluster.runs_of(&name), 1);
    }
    cluster.wait_until_free().await;
}

#[tokio::test]
async fn request_whose_claim_reply_is_lost_runs_once() {
    let cluster = TestCluster::start(ClusterOptions::default()).await;
    cluster.platform.set_faults(PlatformFaults { lose_replies: 1, ..PlatformFaults::default() });
    let headers = [("idempotency-key", "lost")];
    let response = cluster.send(keyed_request("lost", &headers)).await;
    assert_eq!(response.outcome(), "complete");
    assert_eq!(cluster.send(keyed_request("lost", &headers)).await.outcome(), "complete");
    assert_eq!(cluster.runs_of("lost"), 1);
}

#[tokio::test]
async fn claim_with_unknown_outcome_is_rejected_and_undone_so_that_the_key_is_free_again() {
    let cluster = TestCluster::start(ClusterOptions::default()).await;
    cluster
        .platform
        .set_faults(PlatformFaults { lose_replies: 1_000, ..PlatformFaults::default() });
    let headers = [("idempotency-key", "unsure")];
    let response = cluster.send(keyed_request("unsure", &headers)).await;
    assert_not_run(&response, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(cluster.runs_of("unsure"), 0);
    cluster.platform.set_faults(PlatformFaults::default());
    cluster
        .wait_until(|cluster| async {
            cluster.send(keyed_request("unsure", &headers)).await.outcome() == "complete"
        })
        .await;
    assert_eq!(cluster.runs_of("unsure"), 1);
    cluster.wait_until_free().await;
}

#[tokio::test]
async fn unavailable_table_rejects_only_requests_with_a_key() {
    let cluster = TestCluster::start(ClusterOptions::default()).await;
    cluster.platform.set_faults(PlatformFaults { is_down: true, ..PlatformFaults::default() });
    let headers = [("idempotency-key", "down")];
    let response = cluster.send(keyed_request("down", &headers)).await;
    assert_not_run(&response, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!response.header("retry-after").is_empty());
    assert_eq!(cluster.runs_of("down"), 0);
    assert_eq!(cluster.send(keyed_request("plain", &[])).await.outcome(), "complete");
}

#[tokio::test]
async fn response_is_stored_for_a_caller_that_disconnected() {
    let cluster = TestCluster::start(ClusterOptions::default()).await;
    let mut stream = TcpStream::connect(cluster.nodes[0].caller_address).await.unwrap();
    let request = format!(
        "POST /q/{QUEUE}/left HTTP/1.1\r\nhost: t\r\nauthorization: Bearer {}\r\n\
         standin-job: left\r\nstandin-delay-ms: 300\r\nidempotency-key: left\r\n\
         content-length: 5\r\n\r\nsteel",
        cluster.key.secret
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    cluster.wait_until(|cluster| async { cluster.runs_of("left") == 1 }).await;
    drop(stream);
    let headers = [("idempotency-key", "left")];
    let running = cluster.send(keyed_request("left", &headers)).await;
    assert_not_run(&running, StatusCode::CONFLICT);
    cluster
        .wait_until(|cluster| async {
            cluster.send(keyed_request("left", &headers)).await.outcome() == "complete"
        })
        .await;
    assert_eq!(cluster.runs_of("left"), 1);
}

#[tokio::test]
async fn lost_response_stays_unknown_and_a_rejected_request_frees_its_key() {
    let cluster = TestCluster::start(ClusterOptions::default()).await;
    for fault in ["cut-head", "cut-body"] {
        let headers = [("idempotency-key", fault), ("standin-fault", fault)];
        for _ in 0..3 {
            let response = cluster.send(keyed_request(fault, &headers)).await;
            assert_eq!((response.status, response.outcome()), (StatusCode::BAD_GATEWAY, "unknown"));
        }
        assert_eq!(cluster.runs_of(fault), 1);
    }
    let headers = [("idempotency-key", "refused"), ("standin-fault", "not-run")];
    let refused = cluster.send(keyed_request("refused", &headers)).await;
    assert_not_run(&refused, StatusCode::SERVICE_UNAVAILABLE);
    let headers = [("idempotency-key", "refused")];
    cluster
        .wait_until(|cluster| async {
            cluster.send(keyed_request("refused", &headers)).await.outcome() == "complete"
        })
        .await;
    assert_eq!(cluster.runs_of("refused"), 1);
}

#[tokio::test]
async fn large_bodies_are_rejected_and_large_responses_are_not_stored() {
    let cluster = TestCluster::start(ClusterOptions::default()).await;
    let headers = [("idempotency-key", "large")];
    let large = TestRequest { body: &[7; 65 << 10], ..keyed_request("large", &headers) };
    let response = cluster.send(large).await;
    assert_not_run(&response, StatusCode::PAYLOAD_TOO_LARGE);
    let body = vec![7; 40 << 10];
    let whole = cluster.send(TestRequest { body: &body, ..keyed_request("large", &headers) }).await;
    assert_eq!((whole.outcome(), whole.body == body), ("complete", true));
    let repeat =
        cluster.send(TestRequest { body: &body, ..keyed_request("large", &headers) }).await;
    assert_eq!((repeat.status, repeat.outcome()), (StatusCode::BAD_GATEWAY, "unknown"));
    assert_eq!(cluster.runs_of("large"), 1);
}

#[tokio::test]
async fn claim_of_a_dead_node_becomes_unknown_and_old_claims_are_removed() {
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

    let mut options = ClusterOptions::default();
    options.gateway.claim_retention = Duration::from_secs(1);
    options.gateway.sweep_interval = Duration::from_millis(20);
    let cluster = TestCluster::start(options).await;
    for number in 0..10 {
        let key = format!("old-{number}");
        let headers = [("idempotency-key", &*key)];
        assert_eq!(cluster.send(keyed_request("old", &headers)).await.outcome(), "complete");
    }
    cluster
        .wait_until(|cluster| async {
            cluster.platform.table.count("idem/") == 0
                && cluster.platform.table.count("idem-until/") == 0
        })
        .await;
}

#[tokio::test]
async fn request_that_outlives_its_claim_does_not_overwrite_the_next_one() {
    let mut options = ClusterOptions::default();
    options.gateway.claim_retention = Duration::from_secs(1);
    options.gateway.sweep_interval = Duration::from_millis(20);
    let cluster = TestCluster::start(options).await;
    let next = || {
        let headers = &[("idempotency-key", "again")];
        cluster.send(TestRequest { body: b"next", ..keyed_request("next", headers) })
    };
    let slow = async {
        let headers = [("idempotency-key", "again"), ("standin-delay-ms", "1800")];
        cluster.send(keyed_request("slow", &headers)).await
    };
    let after_sweep = async {
        cluster.wait_until(|cluster| async { cluster.runs_of("slow") == 1 }).await;
        cluster.wait_until(|cluster| async { cluster.platform.table.count("idem/") == 0 }).await;
        next().await
    };
    let (slow, first) = tokio::join!(slow, after_sweep);
    assert_eq!((slow.outcome(), first.outcome()), ("complete", "complete"));
    let repeat = next().await;
    assert_eq!((repeat.outcome(), &*repeat.body), ("complete", &b"next"[..]));
}

/// Failure: index rows that cannot be read fill the page that a sweep reads, and the claims behind
/// them are never removed.
#[tokio::test]
async fn claims_behind_unreadable_index_rows_are_removed() {
    let mut options = ClusterOptions::default();
    options.gateway.claim_retention = Duration::from_secs(1);
    options.gateway.sweep_interval = Duration::from_millis(20);
    let cluster = TestCluster::start(options).await;
    for number in 0..40 {
        let key = format!("idem-until/{number:015}/x");
        let transaction = Transaction {
            operation_id: key.clone().into(),
            preconditions: Vec::new(),
            writes: vec![Write::put(key, "not an index")],
        };
        cluster.platform.table.commit(&transaction).await;
    }
    let headers = [("idempotency-key", "old")];
    assert_eq!(cluster.send(keyed_request("old", &headers)).await.outcome(), "complete");
    cluster.wait_until(|cluster| async { cluster.platform.table.count("idem/") == 0 }).await;
    assert_eq!(cluster.platform.table.count("idem-until/"), 40);
}
