//! Messages that copy the configuration from one node to another.

use prost::Message;

/// Requests the active configuration of the receiver.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ConfigRequest {
    /// Version of the requester's active configuration.
    #[prost(uint64, tag = "1")]
    pub held_version: u64,
}

/// The active configuration of the sender.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ConfigReply {
    /// Version of the sender's active configuration; 0 if it has none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The whole configuration as JSON; empty if the requester's version is at least as new.
    #[prost(bytes = "bytes", tag = "2")]
    pub config: bytes::Bytes,
}
