//! Joins old batches of events and removes batches past their retention. Only the holder of the
//! [`COMPACT_EVENTS`] duty does this.
//!
//! A joined batch is written before the batches that it replaces are removed, and readers drop
//! duplicate events. A holder that dies in between therefore loses no events.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use events::Batch;
use events::BatchName;
use events::OBJECT_PREFIX;
use events::merge;
use events::plan_compaction;
use services::Unavailable;

use crate::duty::COMPACT_EVENTS;
use crate::shared::Shared;
use crate::ship::read_batch;

/// Time between compactions.
const COMPACT_INTERVAL: Duration = Duration::from_secs(20);
/// Time for which events are kept.
const RETENTION: Duration = Duration::from_secs(14 * 24 * 3_600);

/// Compacts at each interval while this node holds the duty, as long as the node runs.
pub async fn run(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(COMPACT_INTERVAL).await;
        if shared.duty(COMPACT_EVENTS, Instant::now()).is_none() {
            continue;
        }
        if compact_once(&shared, SystemTime::now()).await.is_err() {
            shared.telemetry.count("events.compact_failed");
        }
    }
}

/// Joins and removes the batches that are due at `now`.
pub async fn compact_once(shared: &Shared, now: SystemTime) -> Result<(), Unavailable> {
    let objects = &shared.platform.objects;
    let now_ms = now.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
    let names = objects.list(OBJECT_PREFIX).await?;
    let names: Vec<BatchName> = names.iter().filter_map(|name| BatchName::parse(name)).collect();
    let plan = plan_compaction(&names, now_ms, RETENTION);
    let mut events = Vec::new();
    for part in &plan.join {
        events.extend(read_batch(shared, part).await?);
    }
    let joined = Batch { events: merge(events) };
    if let Some(first) = joined.events.first() {
        objects.put(&BatchName::joined(first).to_object_name(), joined.encode()).await?;
    }
    for name in plan.join.iter().chain(&plan.remove) {
        objects.delete(&name.to_object_name()).await?;
        shared.telemetry.count("events.batch_removed");
    }
    Ok(())
}
