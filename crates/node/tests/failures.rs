//! Backend servers that fail, each provoked at a real socket, with the truth counted at the server.

#[path = "common/cell.rs"]
mod cell;

use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::cell::Cell;
use crate::cell::Job;
use crate::cell::Plan;
use crate::cell::QUEUE;
use crate::cell::admin;

#[tokio::test]
async fn cut_answer_is_cut_for_the_caller_and_its_token_waits_for_evidence() {
    let cell = Cell::start(Plan::default()).await;
    for fault in ["cut-body", "cut-chunked", "silent-midway"] {
        let job = Job { name: fault, headers: &[("standin-fault", fault)], ..Job::default() };
        assert!(cell.try_send(job).await.is_err(), "{fault} must not look like a whole answer");
        assert_eq!(cell.runs_of(fault), 1);
    }
    cell.all_free().await;
    let events = cell.events().await;
    assert_eq!(events.matches("token-in-doubt").count(), 3);
    assert_eq!(events.matches("token-freed").count(), 3);
}

#[tokio::test]
async fn request_without_answer_is_sent_again_only_if_idempotent() {
    let cell = Cell::start(Plan { backends: 3, unavailable_max: 0, ..Plan::default() }).await;
    let headers = [("standin-fault", "cut-head")];
    let job = Job { name: "post", headers: &headers, ..Job::default() };
    let answer = cell.send(job).await;
    assert_eq!((answer.status, answer.outcome()), (StatusCode::BAD_GATEWAY, "unknown"));
    assert_eq!(cell.runs_of("post"), 1);
    let empty = Job { name: "empty-post", headers: &headers, body: b"", ..Job::default() };
    assert_eq!(cell.send(empty).await.outcome(), "unknown");
    assert_eq!(cell.runs_of("empty-post"), 1, "it could be sent again, and must not be");

    let job = Job { name: "get", method: Method::GET, headers: &headers, body: b"" };
    let answer = cell.send(job).await;
    assert_eq!(answer.outcome(), "unknown");
    assert_eq!(cell.runs_of("get"), routing::ATTEMPTS_MAX);
    cell.all_free().await;
}

#[tokio::test]
async fn attempt_that_was_not_sent_does_not_hide_one_that_was() {
    let plan = Plan { dead_host: true, unavailable_max: 0, ..Plan::default() };
    let cell = Cell::start(plan).await;
    let headers = [("standin-fault", "cut-head")];
    for number in 1..=40 {
        let job = Job { name: "mixed", method: Method::GET, headers: &headers, body: b"" };
        let before = cell.runs_of("mixed");
        let answer = cell.send(job).await;
        let ran = cell.runs_of("mixed") > before;
        let outcome = if ran { "unknown" } else { "not-run" };
        assert_eq!(answer.outcome(), outcome, "request {number}");
    }
    cell.all_free().await;
}

#[tokio::test]
async fn late_answer_goes_to_nobody_else() {
    let cell = Cell::start(Plan { slots: 2, ..Plan::default() }).await;
    let headers = [("standin-delay-ms", "700"), ("savorypitch-deadline-ms", "100")];
    let late = Job { name: "late", headers: &headers, body: b"late", ..Job::default() };
    let answer = cell.send(late).await;
    assert_eq!((answer.status, answer.outcome()), (StatusCode::GATEWAY_TIMEOUT, "unknown"));
    assert_eq!(cell.slots().await, (0, 1), "the work still runs, so its slot is not free");
    assert_eq!(cell.team().await, (0, 1));
    for number in 0..20 {
        let body = format!("own {number}");
        let job = Job { name: "own", body: body.as_bytes(), ..Job::default() };
        let answer = cell.send(job).await;
        assert_eq!((answer.outcome(), &*answer.body), ("complete", body.as_bytes()));
    }
    cell.all_free().await;
    assert_eq!(cell.runs_of("late"), 1);
}

#[tokio::test]
async fn answers_out_of_order_reach_their_own_callers() {
    let cell = Cell::start(Plan { backends: 2, ..Plan::default() }).await;
    let sends = (0..16_u32).map(|number| {
        let cell = &cell;
        async move {
            let body = number.to_string();
            let delay_ms = ((16 - number) * 10).to_string();
            let headers = [("standin-delay-ms", &*delay_ms)];
            let job =
                Job { name: "order", headers: &headers, body: body.as_bytes(), ..Job::default() };
            let answer = cell.send(job).await;
            (answer.outcome().to_owned(), answer.body.to_vec() == body.as_bytes())
        }
    });
    for (outcome, own) in futures_all(sends).await {
        assert_eq!((&*outcome, own), ("complete", true));
    }
    assert_eq!(cell.runs_of("order"), 16);
}

#[tokio::test]
async fn silent_connection_is_given_up_once_the_work_has_ended() {
    let cell = Cell::start(Plan::default()).await;
    let headers = [("standin-fault", "silent"), ("standin-delay-ms", "600")];
    let job = Job { name: "silent", headers: &headers, ..Job::default() };
    let answer = cell.send(job).await;
    assert_eq!((answer.status, answer.outcome()), (StatusCode::BAD_GATEWAY, "unknown"));
    cell.all_free().await;
    let events = cell.events().await;
    assert_eq!(events.matches("backend-silent").count(), 1);
    assert_eq!(cell.runs_of("silent"), 1);

    // Work that is only slow is not given up: its server says that it runs.
    let headers = [("standin-delay-ms", "1500")];
    let job = Job { name: "slow", headers: &headers, ..Job::default() };
    assert_eq!(cell.send(job).await.outcome(), "complete");
}

#[tokio::test]
async fn server_that_fails_fast_is_ejected_down_to_the_floor() {
    let cell = Cell::start(Plan { backends: 3, unavailable_max: 1, ..Plan::default() }).await;
    cell.backends[0].set_failing(true);
    let started = Instant::now();
    for _ in 0..400 {
        cell.send(Job { name: "one", ..Job::default() }).await;
    }
    // Each ejection that ends is followed by one more failure; without any, there would be some 40.
    let returns = started.elapsed().as_secs() / routing::EJECTION_TIME_BASE.as_secs();
    let runs = cell.backends[0].runs_of("one");
    assert!(runs >= routing::FAILURES_TO_EJECT, "{runs}");
    assert!(u64::from(runs - routing::FAILURES_TO_EJECT) <= returns, "{runs} after {returns}");
    assert!(cell.events().await.contains("backend-ejected"));

    cell.backends.iter().for_each(|backend| backend.set_failing(true));
    for _ in 0..40 {
        let answer = cell.send(Job { name: "all", ..Job::default() }).await;
        assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(answer.outcome(), "complete");
    }
    assert_eq!(cell.runs_of("all"), 40, "two of three servers stay in, whatever they answer");
}

#[tokio::test]
async fn ejected_server_helps_out_when_another_host_leaves() {
    let plan = Plan { backends: 3, slots: 1, unavailable_max: 1, ..Plan::default() };
    let cell = Cell::start(plan).await;
    cell.backends[0].set_failing(true);
    cell.settled(|cell| async {
        cell.send(Job { name: "eject", ..Job::default() }).await;
        cell.events().await.contains("backend-ejected")
    })
    .await;
    let path = "/hosts/w1/drain";
    admin::<serde_json::Value>(&cell.nodes[0], Method::POST, path, &()).await;
    let send = || {
        let headers = &[("standin-delay-ms", "500")];
        cell.send(Job { name: "floor", headers, ..Job::default() })
    };
    let answers = futures_all([send(), send()]).await;
    assert!(answers.iter().all(|answer| answer.outcome() == "complete"));
    let runs = cell.backends.iter().map(|backend| backend.runs_of("floor"));
    assert_eq!(runs.collect::<Vec<_>>(), [1, 0, 1]);
}

#[tokio::test]
async fn unreachable_and_unwilling_servers_are_passed_over() {
    let cell = Cell::start(Plan { backends: 1, dead_host: true, ..Plan::default() }).await;
    for _ in 0..20 {
        let answer = cell.send(Job { name: "moved", ..Job::default() }).await;
        assert_eq!(answer.outcome(), "complete");
    }
    assert_eq!(cell.runs_of("moved"), 20);
    let headers = [("standin-fault", "not-run")];
    let job = Job { name: "unwilling", headers: &headers, ..Job::default() };
    let answer = cell.send(job).await;
    assert_eq!((answer.status, answer.outcome()), (StatusCode::SERVICE_UNAVAILABLE, "not-run"));
    assert!(!answer.header("retry-after").is_empty());
    assert_eq!(cell.runs_of("unwilling"), 0);
    cell.all_free().await;
}

#[tokio::test]
async fn work_of_a_caller_that_left_is_not_reported_free() {
    let cell = Cell::start(Plan::default()).await;
    let mut stream = TcpStream::connect(cell.nodes[0].caller_address).await.unwrap();
    let request = format!(
        "POST /q/{QUEUE}/left HTTP/1.1\r\nhost: t\r\nauthorization: Bearer {}\r\n\
         standin-job: left\r\nstandin-delay-ms: 800\r\ncontent-length: 0\r\n\r\n",
        cell.key.secret
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    cell.settled(|cell| async { cell.runs_of("left") == 1 }).await;
    drop(stream);
    cell.settled(|cell| async { cell.slots().await == (0, 1) }).await;
    assert_eq!(cell.backends[0].stats().running.len(), 1);
    cell.all_free().await;
    assert!(cell.backends[0].stats().running.is_empty(), "freed only after the work had ended");
}

#[tokio::test]
async fn connections_stay_within_their_limit() {
    let cell = Cell::start(Plan { slots: 8, connections_max: 3, ..Plan::default() }).await;
    let sends = (0..24).map(|_| {
        let headers = &[("standin-delay-ms", "20")];
        let job = Job { name: "many", headers, ..Job::default() };
        cell.send(job)
    });
    let answers = futures_all(sends).await;
    let complete = answers.iter().filter(|a| a.outcome() == "complete").count();
    assert_eq!(cell.runs_of("many") as usize, complete, "each not-run is true");
    assert!(complete >= 3);
    assert!(cell.backends[0].stats().connections_peak <= 3);
}

#[tokio::test]
async fn key_withdrawn_while_its_work_waits() {
    let cell = Cell::start(Plan { running_max: 1, ..Plan::default() }).await;
    let first = Job { name: "first", headers: &[("standin-delay-ms", "600")], ..Job::default() };
    let second = Job { name: "second", ..Job::default() };
    let withdraw = async {
        cell.settled(|cell| async { cell.runs_of("first") == 1 }).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        let path = format!("/keys/{}", cell.key.id);
        admin::<serde_json::Value>(&cell.nodes[0], Method::DELETE, &path, &()).await;
    };
    let queued = async {
        cell.settled(|cell| async { cell.runs_of("first") == 1 }).await;
        cell.send(second).await
    };
    let (first, answer, ()) = tokio::join!(cell.send(first), queued, withdraw);
    assert_eq!(first.outcome(), "complete");
    assert_eq!((answer.status, answer.outcome()), (StatusCode::UNAUTHORIZED, "not-run"));
    assert_eq!(cell.runs_of("second"), 0);
}

#[tokio::test]
async fn full_queue_refuses_at_once_and_truthfully() {
    let plan = Plan { running_max: 1, waiting_max: 2, wait_max_ms: 300, ..Plan::default() };
    let cell = Cell::start(plan).await;
    let sends = (0..8).map(|_| {
        let headers = &[("standin-delay-ms", "1000")];
        cell.send(Job { name: "full", headers, ..Job::default() })
    });
    let answers = futures_all(sends).await;
    let complete = answers.iter().filter(|a| a.outcome() == "complete").count();
    assert_eq!((complete, cell.runs_of("full")), (1, 1));
    let is_full = |body: &[u8]| String::from_utf8_lossy(body).contains("the queue is full");
    assert_eq!(answers.iter().filter(|a| is_full(&a.body)).count(), 5, "one runs and two wait");
    for answer in answers.iter().filter(|a| a.outcome() != "complete") {
        assert_eq!((answer.status, answer.outcome()), (StatusCode::TOO_MANY_REQUESTS, "not-run"));
        assert!(!answer.header("retry-after").is_empty());
    }
}

#[tokio::test]
async fn graceful_stop_cuts_nothing_and_an_abort_is_seen() {
    let mut cell = Cell::start(Plan { nodes: 2, ..Plan::default() }).await;
    let stopped = cell.nodes.remove(1);
    let address = stopped.caller_address;
    let authorization = format!("Bearer {}", cell.key.secret);
    let send = |job: &'static str, delay_ms: &'static str| {
        let headers = [
            ("authorization", authorization.clone()),
            ("standin-job", job.to_owned()),
            ("standin-delay-ms", delay_ms.to_owned()),
        ];
        async move {
            let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, &**v)).collect();
            let path = format!("/q/{QUEUE}/stop");
            standin::caller::call(address, Method::POST, &path, &headers, "x").await
        }
    };
    let running = tokio::spawn(send("running", "600"));
    cell.settled(|cell| async { cell.runs_of("running") == 1 }).await;
    let during = send("during", "0");
    let stop = stopped.stop(Duration::from_millis(300), Duration::from_secs(20));
    let during = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let ready = standin::caller::call(address, Method::GET, "/readyz", &[], "").await.unwrap();
        (ready.status, during.await.unwrap())
    };
    let (stopped, (ready, during)) = tokio::join!(stop, during);
    assert!(stopped.is_graceful);
    assert_eq!(ready, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!((during.outcome(), during.header("connection")), ("complete", "close"));
    assert_eq!(running.await.unwrap().unwrap().outcome(), "complete");
    assert!(send("after", "0").await.is_err());

    let address = cell.nodes[0].caller_address;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "POST /q/{QUEUE}/abort HTTP/1.1\r\nhost: t\r\nauthorization: Bearer {}\r\n\
         standin-job: abort\r\nstandin-delay-ms: 5000\r\ncontent-length: 0\r\n\r\n",
        cell.key.secret
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    cell.settled(|cell| async { cell.runs_of("abort") == 1 }).await;
    let aborted = cell.nodes.remove(0).stop(Duration::ZERO, Duration::ZERO).await;
    assert!(!aborted.is_graceful);
    let mut read = Vec::new();
    let _ = stream.read_to_end(&mut read).await;
    assert!(read.is_empty(), "a cut request gets no answer that could be taken for one");
}

async fn futures_all<F: Future>(futures: impl IntoIterator<Item = F>) -> Vec<F::Output> {
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
