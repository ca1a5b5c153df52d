//! Limits over the whole fleet, through restarts of nodes.

#[path = "common/cell.rs"]
mod cell;

use std::time::Duration;

use http::Method;
use node::Node;
use node::Platform;
use node::api;

use crate::cell::Cell;
use crate::cell::Job;
use crate::cell::Plan;
use crate::cell::admin;
use crate::cell::settings;

const LIMIT: u32 = 4;

async fn granted(node: &Node) -> u32 {
    let teams: Vec<api::TeamView> = admin(node, Method::GET, "/teams", &()).await;
    teams[0].granted
}

/// A second run of the first node, while the first run still has work at the backend server.
async fn restart(cell: &Cell, plan: &Plan) -> Node {
    let served = standin::platform_server::serve(cell.platform.clone(), ([127, 0, 0, 1], 0).into());
    let remote = Platform::remote(served.await.unwrap().0, Duration::from_secs(5));
    Node::start(settings(plan, 0), remote).await.unwrap()
}

#[tokio::test]
async fn tokens_of_a_gone_run_are_free_once_the_backend_server_runs_nothing_of_it() {
    let plan = || Plan { slots: LIMIT, running_max: LIMIT, ..Plan::default() };
    let cell = Cell::start(plan()).await;
    let backend = cell.backends[0].clone();
    let job = Job { name: "long", headers: &[("standin-delay-ms", "1500")], ..Job::default() };
    let (heir, _, _) = tokio::join!(
        async {
            cell.settled(|_| async { backend.stats().running.len() == 2 }).await;
            let heir = restart(&cell, &plan()).await;
            while granted(&heir).await < LIMIT {
                if granted(&heir).await > 0 {
                    assert_eq!(backend.stats().running.len(), 0);
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            assert_eq!(backend.stats().running.len(), 0);
            heir
        },
        cell.send(job.clone()),
        cell.send(job.clone()),
    );
    assert_eq!(cell.send_to(&heir, Job::default()).await.outcome(), "complete");
    // The earlier run is still there in this test, and may run nothing any more.
    let late = cell.send(Job { name: "late", ..Job::default() }).await;
    assert_eq!((late.outcome(), cell.runs_of("late")), ("not-run", 0));
}
