//! Ships this node's events to the object store, and reads the events of all nodes back.
//!
//! Events are shipped at most [`SHIP_INTERVAL`] after they were recorded while the store answers, so
//! a process that dies loses at most the events of that window. While the store is away, events wait
//! in the recorder's ring, and the oldest are dropped and counted once it is full.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use events::Batch;
use events::BatchName;
use events::Event;
use events::Filter;
use events::OBJECT_PREFIX;
use events::merge;
use services::Unavailable;

use crate::shared::Shared;

/// Time between shipments.
const SHIP_INTERVAL: Duration = Duration::from_secs(1);
/// Events of one batch at most; one a second stays below 10 KB/s after compression.
const BATCH_EVENTS_MAX: usize = 128;
/// Longest time that one batch covers, in milliseconds.
const BATCH_SPAN_MAX_MS: u64 = 60_000;

/// Position up to which events have been shipped.
#[derive(Default)]
pub struct Shipper {
    next_sequence: AtomicU64,
}

/// Ships for as long as the node runs.
pub async fn ship(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(SHIP_INTERVAL).await;
        if shared.shipper.ship_once(&shared).await.is_err() {
            shared.telemetry.count("events.ship_failed");
        }
    }
}

/// Ships everything that is left, for a graceful stop; gives up at the first failure.
pub async fn ship_rest(shared: &Shared) {
    while let Ok(true) = shared.shipper.ship_once(shared).await {}
}

impl Shipper {
    /// Ships one batch; false if there was nothing to ship.
    pub async fn ship_once(&self, shared: &Shared) -> Result<bool, Unavailable> {
        let from_sequence = self.next_sequence.load(Ordering::Relaxed);
        let waiting = shared.events.since(from_sequence);
        let Some(first) = waiting.first() else {
            return Ok(false);
        };
        let name = BatchName::of(first).to_object_name();
        let span_end_ms = first.timestamp.wall_ms + BATCH_SPAN_MAX_MS;
        let mut events = waiting;
        events.truncate(BATCH_EVENTS_MAX);
        events.retain(|event| event.timestamp.wall_ms <= span_end_ms);
        let next_sequence = events.last().map_or(from_sequence, |last| last.sequence + 1);
        let batch = Batch { events };
        shared.platform.objects.put(&name, batch.encode()).await?;
        shared.telemetry.count_many("events.shipped", batch.events.len() as u64);
        self.next_sequence.store(next_sequence, Ordering::Relaxed);
        Ok(true)
    }
}

/// Events of all nodes that meet `filter`, merged: those in the object store, and this node's own.
pub async fn read_timeline(shared: &Shared, filter: &Filter) -> Result<Vec<Event>, Unavailable> {
    let mut events = shared.events.since(0);
    for name in shared.platform.objects.list(OBJECT_PREFIX).await? {
        let Some(batch_name) = BatchName::parse(&name).filter(|name| may_hold(name, filter)) else {
            continue;
        };
        events.extend(read_batch(shared, &batch_name).await?);
    }
    events.retain(|event| filter.matches(event));
    Ok(merge(events))
}

/// Events of one batch; none if it has been joined with others meanwhile.
pub async fn read_batch(shared: &Shared, name: &BatchName) -> Result<Vec<Event>, Unavailable> {
    let Some(bytes) = shared.platform.objects.get(&name.to_object_name()).await? else {
        return Ok(Vec::new());
    };
    let batch = Batch::decode(&bytes)
        .map_err(|error| Unavailable::new(format!("batch of {} is broken: {error}", name.node)))?;
    Ok(batch.events)
}

fn may_hold(name: &BatchName, filter: &Filter) -> bool {
    filter.until_ms.is_none_or(|until_ms| name.first_ms <= until_ms)
        && filter.since_ms.is_none_or(|since_ms| name.first_ms + name.span_max_ms() >= since_ms)
        && filter.node.as_deref().is_none_or(|node| name.is_joined() || node == &*name.node)
}
