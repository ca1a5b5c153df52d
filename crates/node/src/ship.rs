//! Ships this node's events to the object store, and reads the events of all nodes.
//!
//! While the store is available, events are shipped within [`SHIP_INTERVAL`] after they were
//! recorded, so that a process that dies loses only the events of that interval. While the store is
//! unavailable, events stay in the recorder's ring buffer; once it is full, the oldest are dropped
//! and counted.

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
/// Maximum number of events in a batch. One such batch per second stays below 10 KB/s after
/// compression.
const BATCH_EVENTS_MAX: usize = 128;
/// Maximum time between the first and the last event of a batch, in milliseconds.
const BATCH_SPAN_MAX_MS: u64 = 60_000;

/// Ships the events of a node and tracks which of them have been shipped.
#[derive(Default)]
pub struct Shipper {
    /// Sequence number of the first event that has not been shipped.
    next_sequence: AtomicU64,
}

/// Ships a batch of events at each interval, as long as the node runs.
pub async fn ship(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(SHIP_INTERVAL).await;
        if shared.shipper.ship_once(&shared).await.is_err() {
            shared.telemetry.count("events.ship_failed");
        }
    }
}

/// Ships all remaining events, for a graceful stop. Stops at the first failure.
pub async fn ship_remaining(shared: &Shared) {
    while let Ok(true) = shared.shipper.ship_once(shared).await {}
}

impl Shipper {
    /// Ships one batch. Returns false if there was no event to ship.
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

/// Returns the events that match `filter`, merged from the object store and this node's recorder.
pub async fn read_timeline(shared: &Shared, filter: &Filter) -> Result<Vec<Event>, Unavailable> {
    let mut events = shared.events.since(0);
    for name in shared.platform.objects.list(OBJECT_PREFIX).await? {
        let Some(batch_name) =
            BatchName::parse(&name).filter(|name| may_contain_match(name, filter))
        else {
            continue;
        };
        events.extend(read_batch(shared, &batch_name).await?);
    }
    events.retain(|event| filter.matches(event));
    Ok(merge(events))
}

/// Returns the events of a batch; none if the batch was joined with others in the meantime.
pub async fn read_batch(shared: &Shared, name: &BatchName) -> Result<Vec<Event>, Unavailable> {
    let Some(bytes) = shared.platform.objects.get(&name.to_object_name()).await? else {
        return Ok(Vec::new());
    };
    let batch = Batch::decode(&bytes)
        .map_err(|error| Unavailable::new(format!("batch of {} is broken: {error}", name.node)))?;
    Ok(batch.events)
}

/// Returns false only if the name of a batch shows that none of its events matches `filter`.
fn may_contain_match(name: &BatchName, filter: &Filter) -> bool {
    filter.until_ms.is_none_or(|until_ms| name.first_ms <= until_ms)
        && filter.since_ms.is_none_or(|since_ms| name.first_ms + name.span_max_ms() >= since_ms)
        && filter.node.as_deref().is_none_or(|node| name.is_joined() || node == &*name.node)
}
