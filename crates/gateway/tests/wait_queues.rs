//! Tests of requests that wait for tokens while the configuration changes, or that must not wait.

#[path = "common/node.rs"]
mod node;

use http::Method;
use http::StatusCode;
use rstest::rstest;
use standin::caller::Response;
use standin::caller::call;

use crate::node::QueueText;
use crate::node::SECRET;
use crate::node::TestNode;
use crate::node::config_with_queue;
use crate::node::start;

async fn send(node: &TestNode, deadline_ms: &str) -> Response {
    let headers = [("standin-job", "job"), ("savorypitch-deadline-ms", deadline_ms)];
    call(node.server.address, Method::POST, "/q/q/x", &headers, String::new()).await.unwrap()
}

/// Failures: in a queue in which requests may not wait, none starts although there is a slot. Without
/// one, the request is dropped without a response, by a panic on a channel that is used up.
#[rstest]
#[case::starts(1, "complete", StatusCode::OK)]
#[case::refused(0, "not-run", StatusCode::SERVICE_UNAVAILABLE)]
#[tokio::test]
async fn a_request_that_may_not_wait_starts_or_is_refused(
    #[case] slots: u32,
    #[case] outcome: &str,
    #[case] status: StatusCode,
    #[values(None, Some(SECRET))] secret: Option<[u8; 32]>,
) {
    let (_, first) = start().await;
    let queue = Some(QueueText { wait_max_ms: 0 });
    let config = config_with_queue(1, &[first.hosts[0].spec.address], queue);
    let node = TestNode::start(&config, slots, secret).await;
    let response = send(&node, "15000").await;
    assert_eq!((response.outcome(), response.status), (outcome, status));
}
