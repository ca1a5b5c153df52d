//! Use of and demand for one limit at one node, as nodes report it to each other.

use prost::Message;

/// Running work, queued work and spare tokens of one limit at one node.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct LimitCounts {
    /// Key of the limit, as text.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Tokens held by running work.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Requests that wait for a token.
    #[prost(uint32, tag = "3")]
    pub queued: u32,
    /// Tokens that new work may acquire.
    #[prost(uint32, tag = "4")]
    pub spare: u32,
    /// Slot time used since the node started, in milliseconds; 0 where it is not tracked.
    #[prost(uint64, tag = "5")]
    pub served_ms: u64,
}
