//! Counts of one limit at one node.

use prost::Message;

/// What a node has running, queued and to spare under one limit.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct LimitCounts {
    /// Text of the limit's key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Tokens in use.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Requests that wait for a token.
    #[prost(uint32, tag = "3")]
    pub queued: u32,
    /// Tokens that new work may take.
    #[prost(uint32, tag = "4")]
    pub spare: u32,
    /// Slot time given since the node started, in milliseconds; 0 where it is not counted.
    #[prost(uint64, tag = "5")]
    pub served_ms: u64,
}
