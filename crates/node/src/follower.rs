//! Polls the table for accepted configurations and activates them on this node.

use std::sync::Arc;

use control::PollResult;
use gateway::NodeContext;
use rand::RngExt;

use crate::shared::Shared;

/// Polls at each interval and whenever a newer version is reported, as long as the node runs.
pub async fn follow(shared: Arc<Shared>) {
    loop {
        poll_once(&shared).await;
        // Jitter prevents the nodes from polling at the same moment.
        let wait = shared.settings.poll_interval.mul_f64(rand::rng().random_range(0.75..1.25));
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = shared.poll_now.notified() => {}
        }
    }
}

/// Polls once and activates a newer configuration.
pub async fn poll_once(shared: &Shared) {
    let active = shared.config();
    match control::poll(&*shared.platform.table, &active).await {
        Ok(PollResult::Newer(config)) => {
            shared.activate(config);
        }
        Ok(PollResult::Reloaded(config)) => {
            shared.telemetry.count("config.digest_mismatch");
            shared.activate(config);
        }
        Ok(PollResult::Unchanged) => {}
        Err(_) => shared.telemetry.count("table.unavailable"),
    }
}
