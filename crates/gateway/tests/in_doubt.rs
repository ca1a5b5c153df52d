//! Tests that tokens in doubt are released only with evidence, and that a node sends nothing once
//! it has lost its permission to send or the host takes no more work.

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

/// Starts a server that reads up to 64 bytes of each connection and closes it. Returns its address
/// and the number of connections that it has accepted.
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
    waited.await.expect("condition holds before the timeout");
}

#[tokio::test]
async fn waiting_request_is_not_sent_after_self_fencing_or_draining() {
    for is_host_drained in [false, true] {
        let (backend, first) = start().await;
        let node = TestNode::start(&first, 1, SECRET).await;
        let wait = async {
            wait_until(|| backend.runs_of("first") == 1).await;
            node.send("second", "").await
        };
        let change = async {
            wait_until(|| backend.runs_of("first") == 1).await;
            tokio::time::sleep(Duration::from_millis(30)).await;
            if is_host_drained {
                let address = first.hosts[0].spec.address;
                let draining = config(2, address, HostState::Draining);
                *node.context.config.lock().unwrap() = draining;
            } else {
                node.context.is_fenced.store(true, Ordering::Relaxed);
            }
        };
        let running = node.send_with_delay("first", "", 150);
        let (running, waited, ()) = tokio::join!(running, wait, change);
        assert_eq!(running.outcome(), "complete");
        let status = StatusCode::SERVICE_UNAVAILABLE;
        assert_eq!((waited.status, waited.outcome()), (status, "not-run"));
        assert_eq!(backend.runs_of("second"), 0);
    }
}

#[tokio::test]
async fn tokens_in_doubt_are_released_by_a_reboot_but_not_by_failed_probes() {
    let (address, accepted) = start_cutting_server().await;
    let node = TestNode::start(&config(1, address, HostState::Serving), 4, SECRET).await;
    let response = node.send("cut", "steel").await;
    assert_eq!((response.status, response.outcome()), (StatusCode::BAD_GATEWAY, "unknown"));
    let in_doubt = || {
        let slots = node.limits.get(&LimitKey::Slots("w1".into())).unwrap();
        (slots.running, slots.in_doubt)
    };
    // The first connection carried the request; the others are probes, which get no response.
    wait_until(|| accepted.load(Ordering::Relaxed) > 5).await;
    assert_eq!(in_doubt(), (0, 1));

    // Draining a host and returning it to service is no evidence, because it was not rebooted.
    let mut version = 1;
    let mut set_state = |state| {
        version += 1;
        *node.context.config.lock().unwrap() = config(version, address, state);
    };
    let probe_count = || accepted.load(Ordering::Relaxed);
    for state in [HostState::Draining, HostState::Drained, HostState::Serving] {
        set_state(state);
        let count_before = probe_count();
        wait_until(|| probe_count() > count_before + 1).await;
        assert_eq!(in_doubt(), (0, 1), "{state}");
    }
    set_state(HostState::Rebooting);
    let count_before = probe_count();
    wait_until(|| probe_count() > count_before + 1).await;
    assert_eq!(in_doubt(), (0, 1), "the host may still be shutting down");
    set_state(HostState::Returning);
    wait_until(|| in_doubt() == (0, 0)).await;
}
