//! Tests that limits hold across the fleet when a node restarts.

#[path = "common/cluster.rs"]
mod cluster;

use std::time::Duration;

use http::Method;
use node::Node;
use node::Platform;
use node::api;

use crate::cluster::ClusterOptions;
use crate::cluster::TestCluster;
use crate::cluster::TestRequest;
use crate::cluster::admin;
use crate::cluster::settings;

const LIMIT: u32 = 4;

async fn granted(node: &Node) -> u32 {
    let teams: Vec<api::TeamView> = admin(node, Method::GET, "/teams", &()).await;
    teams[0].granted
}

/// Starts a second incarnation of the first node, while requests of the first one still run at the
/// backend server.
async fn restart(cluster: &TestCluster, options: &ClusterOptions) -> Node {
    let served =
        standin::platform_server::serve(cluster.platform.clone(), ([127, 0, 0, 1], 0).into());
    let remote = Platform::remote(served.await.unwrap().0, Duration::from_secs(5));
    Node::start(settings(options, 0), remote).await.unwrap()
}

#[tokio::test]
async fn tokens_of_a_gone_incarnation_are_free_once_the_backend_server_runs_none_of_its_requests() {
    let options =
        || ClusterOptions { slots: LIMIT, running_max: LIMIT, ..ClusterOptions::default() };
    let cluster = TestCluster::start(options()).await;
    let backend = cluster.backends[0].clone();
    let request = TestRequest {
        name: "long",
        headers: &[("standin-delay-ms", "1500")],
        ..TestRequest::default()
    };
    let (successor, _, _) = tokio::join!(
        async {
            cluster.wait_until(|_| async { backend.stats().running.len() == 2 }).await;
            let successor = restart(&cluster, &options()).await;
            while granted(&successor).await < LIMIT {
                if granted(&successor).await > 0 {
                    assert_eq!(backend.stats().running.len(), 0);
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            assert_eq!(backend.stats().running.len(), 0);
            successor
        },
        cluster.send(request.clone()),
        cluster.send(request.clone()),
    );
    assert_eq!(cluster.send_to(&successor, TestRequest::default()).await.outcome(), "complete");
    // The first incarnation still exists in this test, but must not run requests any more.
    let late = cluster.send(TestRequest { name: "late", ..TestRequest::default() }).await;
    assert_eq!((late.outcome(), cluster.runs_of("late")), ("not-run", 0));
}
