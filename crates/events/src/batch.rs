//! Batches of events in the object store: JSON lines, compressed with gzip.
//!
//! The name of a batch starts with the time of its first event. Sorted names are therefore in order
//! of time, and a reader of a time range can skip batches by their names.

use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use model::Incarnation;
use model::NodeId;

use crate::event::Event;

/// Prefix of the object names of all batches.
pub const OBJECT_PREFIX: &str = "events/";
/// Maximum uncompressed size of a batch that is read, in bytes.
const BATCH_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// Identifies a batch in the object store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BatchName {
    /// Wall time of the first event, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// Node that recorded the events; `joined` for a joined batch.
    pub node: NodeId,
    /// Incarnation of the node that recorded the first event.
    pub incarnation: Incarnation,
    /// Sequence number of the first event.
    pub first_sequence: u64,
}

/// Events that are stored as one object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Events of one incarnation in order of their sequence numbers; merged events in a joined
    /// batch.
    pub events: Vec<Event>,
}

/// Why a batch could not be decoded.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The data are not valid gzip.
    #[error("cannot decompress: {0}")]
    Compression(std::io::Error),
    /// A line is not a valid event.
    #[error("malformed event: {0}")]
    Event(serde_json::Error),
}

impl BatchName {
    /// Returns the name of the batch whose first event is `first`.
    pub fn of(first: &Event) -> Self {
        Self {
            first_ms: first.timestamp.wall_ms,
            node: first.node.clone(),
            incarnation: first.incarnation,
            first_sequence: first.sequence,
        }
    }

    /// Returns the object name.
    pub fn to_object_name(&self) -> String {
        format!(
            "{OBJECT_PREFIX}{:015}~{}~{}~{:012}",
            self.first_ms, self.node, self.incarnation, self.first_sequence
        )
    }

    /// Parses an object name; `None` if it is not the name of a batch.
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
    /// Encodes the events as compressed JSON lines.
    pub fn encode(&self) -> Bytes {
        let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
        for event in &self.events {
            let line = serde_json::to_vec(event)
                .expect("events serialize to JSON: their map keys are strings");
            encoder.write_all(&line).expect("writing to memory does not fail");
            encoder.write_all(b"\n").expect("writing to memory does not fail");
        }
        encoder.finish().expect("writing to memory does not fail").into()
    }

    /// Decodes compressed JSON lines.
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
