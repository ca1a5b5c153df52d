//! Batches of events in the object store: JSON lines, compressed with gzip.
//!
//! A batch's name starts with the time of its first event, so that names in order are batches in
//! order, and a reader of a time range can skip batches by name.

use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use model::Incarnation;
use model::NodeId;

use crate::event::Event;

/// Prefix of the names of all batches.
pub const OBJECT_PREFIX: &str = "events/";
/// Largest batch that is read, uncompressed, in bytes.
const BATCH_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// Name of a batch in the object store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BatchName {
    /// Wall time of the first event, in milliseconds.
    pub first_ms: u64,
    /// Node that shipped it.
    pub node: NodeId,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Sequence of the first event.
    pub first_sequence: u64,
}

/// Events that are shipped together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Events in order of their sequence.
    pub events: Vec<Event>,
}

/// Why bytes are no batch.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The compressed form is broken.
    #[error("cannot decompress: {0}")]
    Compression(std::io::Error),
    /// An event is malformed.
    #[error("malformed event: {0}")]
    Event(serde_json::Error),
}

impl BatchName {
    /// Name of the batch that starts with `first`.
    pub fn of(first: &Event) -> Self {
        Self {
            first_ms: first.timestamp.wall_ms,
            node: first.node.clone(),
            incarnation: first.incarnation,
            first_sequence: first.sequence,
        }
    }

    /// Object name.
    pub fn to_object_name(&self) -> String {
        format!(
            "{OBJECT_PREFIX}{:015}~{}~{}~{:012}",
            self.first_ms, self.node, self.incarnation, self.first_sequence
        )
    }

    /// Reads an object name; `None` if it names no batch.
    pub fn parse(object_name: &str) -> Option<Self> {
        let mut parts = object_name.strip_prefix(OBJECT_PREFIX)?.split('~');
        let name = Self {
            first_ms: parts.next()?.parse().ok()?,
            node: parts.next()?.into(),
            incarnation: parts.next()?.parse().ok()?,
            first_sequence: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(name)
    }
}

impl Batch {
    /// Compressed form.
    pub fn encode(&self) -> Bytes {
        let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
        for event in &self.events {
            let line = serde_json::to_vec(event).expect("events have string keys only");
            encoder.write_all(&line).expect("memory takes every write");
            encoder.write_all(b"\n").expect("memory takes every write");
        }
        encoder.finish().expect("memory takes every write").into()
    }

    /// Reads the compressed form.
    pub fn decode(bytes: &[u8]) -> Result<Self, BatchError> {
        let mut text = Vec::new();
        GzDecoder::new(bytes)
            .take(BATCH_MAX_BYTES)
            .read_to_end(&mut text)
            .map_err(BatchError::Compression)?;
        let lines = text.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
        let events: Result<Vec<Event>, _> = lines.map(serde_json::from_slice).collect();
        Ok(Self { events: events.map_err(BatchError::Event)? })
    }
}
