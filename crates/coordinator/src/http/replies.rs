//! Bounds the replies that a process reads: each one, and all together.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body::Body;
use hyper::body::Incoming;
use inbound::BodyBuffer;
use telemetry::Telemetry;

use crate::metrics;

/// Bytes of a reply that don't count, so that small replies are read whatever large ones hold.
const FREE_REPLY_BYTES: usize = 16 << 10;

/// What replies may hold while they are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyLimits {
    /// Maximum size of one reply, in bytes.
    pub reply_bytes_max: usize,
    /// Maximum size of all replies that are being read, in bytes.
    pub total_bytes_max: usize,
}

impl Default for ReplyLimits {
    fn default() -> Self {
        Self { reply_bytes_max: 4 << 20, total_bytes_max: 32 << 20 }
    }
}

/// Why a reply was not read.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReplyError {
    /// The connection broke off.
    #[error("the reply broke off: {0}")]
    BrokenOff(#[from] hyper::Error),
    /// The reply, or all that are being read, would hold too much.
    #[error(
        "the reply is larger than {reply_bytes_max} bytes, or all replies than {total_bytes_max}"
    )]
    TooLarge {
        /// Maximum size of one reply.
        reply_bytes_max: usize,
        /// Maximum size of all replies that are being read.
        total_bytes_max: usize,
    },
}

/// Replies that are being read.
pub(super) struct Replies {
    limits: ReplyLimits,
    telemetry: Telemetry,
    held_bytes: AtomicUsize,
}

/// Bytes that one reply holds; given back when dropped.
struct Held<'a> {
    replies: &'a Replies,
    bytes: usize,
}

impl Replies {
    pub fn new(limits: ReplyLimits, telemetry: Telemetry) -> Self {
        Self { limits, telemetry, held_bytes: AtomicUsize::new(0) }
    }

    /// Reads a complete reply.
    pub async fn read(&self, mut body: Incoming) -> Result<Bytes, ReplyError> {
        let mut held = Held { replies: self, bytes: 0 };
        let mut buffer = BodyBuffer::default();
        let mut buffer_bytes = 0;
        while let Some(frame) = poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await {
            let frame = frame?;
            let Ok(chunk) = frame.into_data() else {
                continue;
            };
            // Most replies come in one part, which needs no copy.
            if buffer_bytes == 0 && body.is_end_stream() && chunk.len() <= FREE_REPLY_BYTES {
                return Ok(chunk);
            }
            let growth = buffer.growth(chunk.len(), self.limits.reply_bytes_max);
            let growth = growth.ok_or_else(|| self.refuse())?;
            buffer_bytes += growth;
            if !held.grow_to(buffer_bytes.saturating_sub(FREE_REPLY_BYTES)) {
                return Err(self.refuse());
            }
            buffer.append(&chunk, growth);
        }
        Ok(buffer.finish())
    }

    fn refuse(&self) -> ReplyError {
        self.telemetry.count(metrics::REPLIES_TOO_LARGE);
        let ReplyLimits { reply_bytes_max, total_bytes_max } = self.limits;
        ReplyError::TooLarge { reply_bytes_max, total_bytes_max }
    }
}

impl Held<'_> {
    /// Takes bytes up to `bytes`; returns false if other replies hold too many.
    fn grow_to(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        self.bytes += added;
        let before = self.replies.held_bytes.fetch_add(added, Ordering::Relaxed);
        before + added <= self.replies.limits.total_bytes_max
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.replies.held_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
