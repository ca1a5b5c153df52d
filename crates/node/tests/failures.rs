//! Tests of failing backend servers over real sockets. The stand-in backend servers count what they
//! ran, to compare it with the outcomes that callers got.

#[path = "common/cluster.rs"]
mod cluster;

use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::cluster::ClusterOptions;
use crate::cluster::QUEUE;
use crate::cluster::TestCluster;
use crate::cluster::TestRequest;
use crate::cluster::admin;

#[tokio::test]
async fn truncated_response_is_truncated_for_the_caller_and_its_token_stays_in_doubt_until_probed()
{
    let cluster = TestCluster::start(ClusterOptions::default()).await;
    for fault in ["cut-body", "cut-chunked", "silent-midway"] {
        let request = TestRequest {
            name: fault,
            headers: &[("standin-fault", fault)],
            ..TestRequest::default()
        };
        assert!(
            cluster.try_send(request).await.is_err(),
            "{fault} must not look like a complete response"
        );
        assert_eq!(cluster.runs_of(fault), 1);
    }
    cluster.wait_until_free().await;
    let events = cluster.events().await;
    assert_eq!(events.matches("token-in-doubt").count(), 3);
    assert_eq!(events.matches("token-freed").count(), 3);
}

#[tokio::test]
async fn request_without_response_is_retried_only_if_idempotent() {
    let cluster = TestCluster::start(ClusterOptions {
        backends: 3,
        unavailable_max: 0,
        ..ClusterOptions::default()
    })
    .await;
    let headers = [("standin-fault", "cut-head")];
    let request = TestRequest { name: "post", headers: &headers, ..TestRequest::default() };
    let response = cluster.send(request).await;
    assert_eq!((response.status, response.outcome()), (StatusCode::BAD_GATEWAY, "unknown"));
    assert_eq!(cluster.runs_of("post"), 1);
    let empty =
        TestRequest { name: "empty-post", headers: &headers, body: b"", ..TestRequest::default() };
    assert_eq!(cluster.send(empty).await.outcome(), "unknown");
    assert_eq!(cluster.runs_of("empty-post"), 1, "a retry is possible but not allowed");

    let request = TestRequest { name: "get", method: Method::GET, headers: &headers, body: b"" };
    let response = cluster.send(request).await;
    assert_eq!(response.outcome(), "unknown");
    assert_eq!(cluster.runs_of("get"), routing::ATTEMPTS_MAX);
    cluster.wait_until_free().await;
}

#[tokio::test]
async fn attempt_that_was_not_sent_does_not_hide_an_earlier_attempt_that_was() {
    let options = ClusterOptions {
        has_unreachable_host: true,
        unavailable_max: 0,
        ..ClusterOptions::default()
    };
    let cluster = TestCluster::start(options).await;
    let headers = [("standin-fault", "cut-head")];
    for number in 1..=40 {
        let request =
            TestRequest { name: "mixed", method: Method::GET, headers: &headers, body: b"" };
        let before = cluster.runs_of("mixed");
        let response = cluster.send(request).await;
        let ran = cluster.runs_of("mixed") > before;
        let outcome = if ran { "unknown" } else { "not-run" };
        assert_eq!(response.outcome(), outcome, "request {number}");
    }
    cluster.wait_until_free().await;
}

#[tokio::test]
async fn late_response_reaches_no_other_caller() {
    let cluster =
        TestCluster::start(ClusterOptions { slots: 2, ..ClusterOptions::default() }).await;
    let headers = [("standin-delay-ms", "700"), ("savorypitch-deadline-ms", "100")];
    let late =
        TestRequest { name: "late", headers: &headers, body: b"late", ..TestRequest::default() };
    let response = cluster.send(late).await;
    assert_eq!((response.status, response.outcome()), (StatusCode::GATEWAY_TIMEOUT, "unknown"));
    assert_eq!(cluster.slots().await, (0, 1), "the request still runs, so its slot is not free");
    assert_eq!(cluster.team().await, (0, 1));
    for number in 0..20 {
        let body = format!("own {number}");
        let request = TestRequest { name: "own", body: body.as_bytes(), ..TestRequest::default() };
        let response = cluster.send(request).await;
        assert_eq!((response.outcome(), &*response.body), ("complete", body.as_bytes()));
    }
    cluster.wait_until_free().await;
    assert_eq!(cluster.runs_of("late"), 1);
}

#[tokio::test]
async fn responses_out_of_order_reach_their_own_callers() {
    let cluster =
        TestCluster::start(ClusterOptions { backends: 2, ..ClusterOptions::default() }).await;
    let sends = (0..16_u32).map(|number| {
        let cluster = &cluster;
        async move {
            let body = number.to_string();
            let delay_ms = ((16 - number) * 10).to_string();
            let headers = [("standin-delay-ms", &*delay_ms)];
            let request = TestRequest {
                name: "order",
                headers: &headers,
                body: body.as_bytes(),
                ..TestRequest::default()
            };
            let response = cluster.send(request).await;
            (response.outcome().to_owned(), response.body.to_vec() == body.as_bytes())
        }
    });
    for (outcome, is_own_response) in join_all(sends).await {
        assert_eq!((&*outcome, is_own_response), ("complete", true));
    }
    assert_eq!(cluster.runs_of("order"), 16);
}

#[tokio::test]
async fn silent_connection_is_closed_once_the_request_no_longer_runs() {
    let cluster = TestCluster::start(ClusterOptions::default()).await;
    let headers = [("standin-fault", "silent"), ("standin-delay-ms", "600")];
    let request = TestRequest { name: "silent", headers: &headers, ..TestRequest::default() };
    let response = cluster.send(request).await;
    assert_eq!((response.status, response.outcome()), (StatusCode::BAD_GATEWAY, "unknown"));
    cluster.wait_until_free().await;
    let events = cluster.events().await;
    assert_eq!(events.matches("backend-silent").count(), 1);
    assert_eq!(cluster.runs_of("silent"), 1);

    // A slow request is not cut off, because probes of its server show that it is running.
    let headers = [("standin-delay-ms", "1500")];
    let request = TestRequest { name: "slow", headers: &headers, ..TestRequest::default() };
    assert_eq!(cluster.send(request).await.outcome(), "complete");
}

#[tokio::test]
async fn failing_servers_are_ejected_but_not_below_the_availability_budget() {
    let cluster = TestCluster::start(ClusterOptions {
        backends: 3,
        unavailable_max: 1,
        ..ClusterOptions::default()
    })
    .await;
    cluster.backends[0].set_failing(true);
    let started = Instant::now();
    for _ in 0..400 {
        cluster.send(TestRequest { name: "one", ..TestRequest::default() }).await;
    }
    // One more failure follows the end of each ejection. Without ejections, there would be about
    // 40.
    let ejections_ended = started.elapsed().as_secs() / routing::EJECTION_TIME_BASE.as_secs();
    let runs = cluster.backends[0].runs_of("one");
    assert!(runs >= routing::FAILURES_TO_EJECT, "{runs}");
    assert!(
        u64::from(runs - routing::FAILURES_TO_EJECT) <= ejections_ended,
        "{runs} after {ejections_ended}"
    );
    assert!(cluster.events().await.contains("backend-ejected"));

    cluster.backends.iter().for_each(|backend| backend.set_failing(true));
    for _ in 0..40 {
        let response = cluster.send(TestRequest { name: "all", ..TestRequest::default() }).await;
        assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(response.outcome(), "complete");
    }
    assert_eq!(
        cluster.runs_of("all"),
        40,
        "two of three servers stay in use, whatever they respond"
    );
}

#[tokio::test]
async fn ejected_server_is_used_when_another_host_is_drained() {
    let options =
        ClusterOptions { backends: 3, slots: 1, unavailable_max: 1, ..ClusterOptions::default() };
    let cluster = TestCluster::start(options).await;
    cluster.backends[0].set_failing(true);
    cluster
        .wait_until(|cluster| async {
            cluster.send(TestRequest { name: "eject", ..TestRequest::default() }).await;
            cluster.events().await.contains("backend-ejected")
        })
        .await;
    let path = "/hosts/w1/drain";
    admin::<serde_json::Value>(&cluster.nodes[0], Method::POST, path, &()).await;
    let send = || {
        let headers = &[("standin-delay-ms", "500")];
        cluster.send(TestRequest { name: "floor", headers, ..TestRequest::default() })
    };
    let responses = join_all([send(), send()]).await;
    assert!(responses.iter().all(|response| response.outcome() == "complete"));
    let runs = cluster.backends.iter().map(|backend| backend.runs_of("floor"));
    assert_eq!(runs.collect::<Vec<_>>(), [1, 0, 1]);
}

#[tokio::test]
async fn unreachable_servers_are_skipped_and_a_rejected_request_is_not_run() {
    let cluster = TestCluster::start(ClusterOptions {
        backends: 1,
        has_unreachable_host: true,
        ..ClusterOptions::default()
    })
    .await;
    for _ in 0..20 {
        let response = cluster.send(TestRequest { name: "moved", ..TestRequest::default() }).await;
        assert_eq!(response.outcome(), "complete");
    }
    assert_eq!(cluster.runs_of("moved"), 20);
    let headers = [("standin-fault", "not-run")];
    let request = TestRequest { name: "unwilling", headers: &headers, ..TestRequest::default() };
    let response = cluster.send(request).await;
    assert_eq!((response.status, response.outcome()), (StatusCode::SERVICE_UNAVAILABLE, "not-run"));
    assert!(!response.header("retry-after").is_empty());
    assert_eq!(cluster.runs_of("unwilling"), 0);
    cluster.wait_until_free().await;
}

#[tokio::test]
async fn slot_of_a_disconnected_caller_is_in_doubt_while_its_request_runs() {
    let cluster = TestCluster::start(ClusterOptions::default()).await;
    let mut stream = TcpStream::connect(cluster.nodes[0].caller_address).await.unwrap();
    let request = format!(
        "POST /q/{QUEUE}/left HTTP/1.1\r\nhost: t\r\nauthorization: Bearer {}\r\n\
         standin-job: left\r\nstandin-delay-ms: 800\r\ncontent-length: 0\r\n\r\n",
        cluster.key.secret
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    cluster.wait_until(|cluster| async { cluster.runs_of("left") == 1 }).await;
    drop(stream);
    cluster.wait_until(|cluster| async { cluster.slots().await == (0, 1) }).await;
    assert_eq!(cluster.backends[0].stats().running.len(), 1);
    cluster.wait_until_free().await;
    assert!(
        cluster.backends[0].stats().running.is_empty(),
        "freed only after the request had ended"
    );
}

#[tokio::test]
async fn connections_stay_within_their_limit() {
    let cluster = TestCluster::start(ClusterOptions {
        slots: 8,
        connections_max: 3,
        ..ClusterOptions::default()
    })
    .await;
    let sends = (0..24).map(|_| {
        let headers = &[("standin-delay-ms", "20")];
        let request = TestRequest { name: "many", headers, ..TestRequest::default() };
        cluster.send(request)
    });
    let responses = join_all(sends).await;
    let complete = responses.iter().filter(|response| response.outcome() == "complete").count();
    assert_eq!(cluster.runs_of("many") as usize, complete, "only complete requests were run");
    assert!(complete >= 3);
    assert!(cluster.backends[0].stats().connections_peak <= 3);
}

#[tokio::test]
async fn waiting_request_is_rejected_when_its_key_is_withdrawn() {
    let cluster =
        TestCluster::start(ClusterOptions { running_max: 1, ..ClusterOptions::default() }).await;
    let first = TestRequest {
        name: "first",
        headers: &[("standin-delay-ms", "600")],
        ..TestRequest::default()
    };
    let second = TestRequest { name: "second", ..TestRequest::default() };
    let withdraw = async {
        cluster.wait_until(|cluster| async { cluster.runs_of("first") == 1 }).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        let path = format!("/keys/{}", cluster.key.id);
        admin::<serde_json::Value>(&cluster.nodes[0], Method::DELETE, &path, &()).await;
    };
    let queued = async {
        cluster.wait_until(|cluster| async { cluster.runs_of("first") == 1 }).await;
        cluster.send(second).await
    };
    let (first, response, ()) = tokio::join!(cluster.send(first), queued, withdraw);
    assert_eq!(first.outcome(), "complete");
    assert_eq!((response.status, response.outcome()), (StatusCode::UNAUTHORIZED, "not-run"));
    assert_eq!(cluster.runs_of("second"), 0);
}

#[tokio::test]
async fn full_queue_rejects_at_once_and_runs_none_of_the_rejected() {
    let options = ClusterOptions {
        running_max: 1,
        waiting_max: 2,
        wait_max_ms: 300,
        ..ClusterOptions::default()
    };
    let cluster = TestCluster::start(options).await;
    let sends = (0..8).map(|_| {
        let headers = &[("standin-delay-ms", "1000")];
        cluster.send(TestRequest { name: "full", headers, ..TestRequest::default() })
    });
    let responses = join_all(sends).await;
    let complete = responses.iter().filter(|response| response.outcome() == "complete").count();
    assert_eq!((complete, cluster.runs_of("full")), (1, 1));
    let is_full = |body: &[u8]| String::from_utf8_lossy(body).contains("the queue is full");
    assert_eq!(
        responses.iter().filter(|response| is_full(&response.body)).count(),
        5,
        "one runs and two wait"
    );
    for response in responses.iter().filter(|response| response.outcome() != "complete") {
        assert_eq!(
            (response.status, response.outcome()),
            (StatusCode::TOO_MANY_REQUESTS, "not-run")
        );
        assert!(!response.header("retry-after").is_empty());
    }
}

#[tokio::test]
async fn graceful_stop_cuts_no_request_and_an_abort_is_reported() {
    let mut cluster =
        TestCluster::start(ClusterOptions { nodes: 2, ..ClusterOptions::default() }).await;
    let stopped = cluster.nodes.remove(1);
    let address = stopped.caller_address;
    let authorization = format!("Bearer {}", cluster.key.secret);
    let send = |request: &'static str, delay_ms: &'static str| {
        let headers = [
            ("authorization", authorization.clone()),
            ("standin-job", request.to_owned()),
            ("standin-delay-ms", delay_ms.to_owned()),
        ];
        async move {
            let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, &**v)).collect();
            let path = format!("/q/{QUEUE}/stop");
            standin::caller::call(address, Method::POST, &path, &headers, "x").await
        }
    };
    let running = tokio::spawn(send("running", "600"));
    cluster.wait_until(|cluster| async { cluster.runs_of("running") == 1 }).await;
    let sent_during_stop = send("during", "0");
    let stop = stopped.stop(Duration::from_millis(300), Duration::from_secs(20));
    let sent_during_stop = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let ready = standin::caller::call(address, Method::GET, "/readyz", &[], "").await.unwrap();
        (ready.status, sent_during_stop.await.unwrap())
    };
    let (stopped, (ready, sent_during_stop)) = tokio::join!(stop, sent_during_stop);
    assert!(stopped.is_graceful);
    assert_eq!(ready, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        (sent_during_stop.outcome(), sent_during_stop.header("connection")),
        ("complete", "close")
    );
    assert_eq!(running.await.unwrap().unwrap().outcome(), "complete");
    assert!(send("after", "0").await.is_err());

    let address = cluster.nodes[0].caller_address;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "POST /q/{QUEUE}/abort HTTP/1.1\r\nhost: t\r\nauthorization: Bearer {}\r\n\
         standin-job: abort\r\nstandin-delay-ms: 5000\r\ncontent-length: 0\r\n\r\n",
        cluster.key.secret
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    cluster.wait_until(|cluster| async { cluster.runs_of("abort") == 1 }).await;
    let abort_outcome = cluster.nodes.remove(0).stop(Duration::ZERO, Duration::ZERO).await;
    assert!(!abort_outcome.is_graceful);
    let mut read = Vec::new();
    let _ = stream.read_to_end(&mut read).await;
    assert!(read.is_empty(), "a request that was cut gets nothing that looks like a response");
}

async fn join_all<F: Future>(futures: impl IntoIterator<Item = F>) -> Vec<F::Output> {
    let mut futures: Vec<_> = futures.into_iter().map(Box::pin).collect();
    let mut outputs: Vec<Option<F::Output>> = futures.iter().map(|_| None).collect();
    std::future::poll_fn(|context| {
        for (future, output) in futures.iter_mut().zip(&mut outputs) {
            if output.is_none()
                && let std::task::Poll::Ready(ready) = future.as_mut().poll(context)
            {
                *output = Some(ready);
            }
        }
        match outputs.iter().all(Option::is_some) {
            true => std::task::Poll::Ready(()),
            false => std::task::Poll::Pending,
        }
    })
    .await;
    outputs.into_iter().flatten().collect()
}
