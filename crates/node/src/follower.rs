//! Brings each accepted configuration to this node.

use std::sync::Arc;

use control::PollResult;
use gateway::NodeContext;
use rand::RngExt;

use crate::shared::Shared;

/// Polls for as long as the node runs.
pub async fn follow(shared: Arc<Shared>) {
    loop {
        poll_once(&shared).await;
        // Jitter keeps the nodes from polling at the same moment.
        let wait = shared.settings.poll_interval.mul_f64(rand::rng().random_range(0.75..1.25));
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = shared.poll_now.notified() => {}
        }
    }
}

/// Polls once and puts what it brought in force.
pub async fn poll_once(shared: &Shared) {
    let held = shared.config();
    match control::poll(&*shared.platform.table, &held).await {
        Ok(PollResult::Newer(config)) => {
            shared.put_in_force(config);
        }
        Ok(PollResult::Reloaded(config)) => {
            shared.telemetry.count("config.digest_mismatch");
            shared.put_in_force(config);
        }
        Ok(PollResult::Unchanged) => {}
        Err(_) => shared.telemetry.count("table.unavailable"),
    }
}
