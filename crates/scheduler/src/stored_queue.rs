//! The form in which the settings of a queue are stored with each of its jobs: short, as there are many.

use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use crate::PoolName;
use crate::config::AdviceTimes;
use crate::config::Queue;

/// Settings of a queue as they are stored; times are in microseconds.
#[derive(Serialize, Deserialize)]
struct StoredQueue {
    #[serde(rename = "w")]
    pool: PoolName,
    #[serde(rename = "p")]
    priority: u32,
    #[serde(rename = "a")]
    attempts_max: u32,
    #[serde(rename = "s")]
    stretch: f64,
    #[serde(rename = "o")]
    deadline_slack_us: u64,
    /// Time of a call, time for each worker, and validity of a ticket.
    #[serde(rename = "ad", default, skip_serializing_if = "Option::is_none")]
    advice_us: Option<(u64, u64, u64)>,
}

/// Serializes the settings of a queue, if there are any.
pub(crate) fn serialize<S: Serializer>(
    queue: &Option<Box<Queue>>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    queue.as_deref().map(StoredQueue::from).serialize(serializer)
}

/// Deserializes the settings of a queue, if there are any.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Box<Queue>>, D::Error> {
    let stored = Option::<StoredQueue>::deserialize(deserializer)?;
    Ok(stored.map(|stored| Box::new(stored.into())))
}

impl From<&Queue> for StoredQueue {
    fn from(queue: &Queue) -> Self {
        let advice_us = |times: AdviceTimes| {
            (micros(times.call_time), micros(times.time_per_worker), micros(times.ticket_validity))
        };
        Self {
            pool: queue.pool.clone(),
            priority: queue.priority,
            attempts_max: queue.attempts_max,
            stretch: queue.stretch,
            deadline_slack_us: micros(queue.deadline_slack),
            advice_us: queue.advice.map(advice_us),
        }
    }
}

impl From<StoredQueue> for Queue {
    fn from(stored: StoredQueue) -> Self {
        let advice = |(call_us, per_worker_us, validity_us)| AdviceTimes {
            call_time: Duration::from_micros(call_us),
            time_per_worker: Duration::from_micros(per_worker_us),
            ticket_validity: Duration::from_micros(validity_us),
        };
        Self {
            pool: stored.pool,
            priority: stored.priority,
            attempts_max: stored.attempts_max,
            stretch: stored.stretch,
            deadline_slack: Duration::from_micros(stored.deadline_slack_us),
            advice: stored.advice_us.map(advice),
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
