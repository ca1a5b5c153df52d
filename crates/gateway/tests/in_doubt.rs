//! Tokens in doubt stay so until there is evidence, and nothing is sent on a right that has lapsed.

#[path = "common/node.rs"]
mod node;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use limits::LimitKey;
use model::HostState;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use crate::node::ANY_PORT;
use crate::node::SECRET;
use crate::node::TestNode;
use crate::node::config;
use crate::node::start;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Server that reads a little of each connection and closes it.
async fn start_cutting_server() -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicU32::new(0));
    let count = accepted.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            let _ = stream.read(&mut [0; 64]).await;
        }
    });
    (address, accepted)
}

async fn wait_until(condition: impl Fn() -> bool) {
    let waited = tokio::time::timeout(TIMEOUT, async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    waited.await.expect("the state is reached in time");
}

#[tokio::test]
async fn work_that_waits_is_not_sent_once_the_right_or_the_host_is_gone() {
    for host_leaves in [false, true] {
        let (backend, first) = start().await;
        let node = TestNode::start(&first, 1, SECRET).await;
        let wait = async {
            wait_until(|| backend.runs_of("first") == 1).await;
            node.send("second", "").await
        };
        let change = async {
            wait_until(|| backend.runs_of("first") == 1).await;
            tokio::time::sleep(Duration::from_millis(30)).await;
            if host_leaves {
                let address = first.hosts[0].spec.address;
                let draining = config(2, address, HostState::Draining);
                *node.context.config.lock().unwrap() = draining;
            } else {
                node.context.is_fenced.store(true, Ordering::Relaxed);
            }
        };
        let running = node.send_slow("first", "", 150);
        let (running, waited, ()) = tokio::join!(running, wait, change);
        assert_eq!(running.outcome(), "complete");
        let status = StatusCode::SERVICE_UNAVAILABLE;
        assert_eq!((waited.status, waited.outcome()), (status, "not-run"));
        assert_eq!(backend.runs_of("second"), 0);
    }
}

#[tokio::test]
async fn no_report_frees_nothing_and_a_reboot_frees_all() {
    let (address, accepted) = start_cutting_server().await;
    let node = TestNode::start(&config(1, address, HostState::Serving), 4, SECRET).await;
    let answer = node.send("cut", "steel").await;
    assert_eq!((answer.status, answer.outcome()), (StatusCode::BAD_GATEWAY, "unknown"));
    let in_doubt = || {
        let slots = node.limits.get(&LimitKey::Slots("w1".into())).unwrap();
        (slots.running, slots.in_doubt)
    };
    // One connection for the request, the others for probes that bring no report.
    wait_until(|| accepted.load(Ordering::Relaxed) > 5).await;
    assert_eq!(in_doubt(), (0, 1));

    // A host that is drained and returned has not been rebooted.
    let mut version = 1;
    let mut set = |state| {
        version += 1;
        *node.context.config.lock().unwrap() = config(version, address, state);
    };
    let probed = || accepted.load(Ordering::Relaxed);
    for state in [HostState::Draining, HostState::Drained, HostState::Serving] {
        set(state);
        let seen = probed();
        wait_until(|| probed() > seen + 1).await;
        assert_eq!(in_doubt(), (0, 1), "{state}");
    }
    set(HostState::Rebooting);
    let seen = probed();
    wait_until(|| probed() > seen + 1).await;
    assert_eq!(in_doubt(), (0, 1), "it may still be going down");
    set(HostState::Returning);
    wait_until(|| in_doubt() == (0, 0)).await;
}
