//! Messages that carry a configuration between nodes.

use prost::Message;

/// Asks for the configuration that the receiver has in force.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ConfigRequest {
    /// Version that the asker holds.
    #[prost(uint64, tag = "1")]
    pub held_version: u64,
}

/// The configuration that the sender has in force.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ConfigReply {
    /// Version in force at the sender; 0 if it has none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Whole configuration in JSON; empty if the asker's is as late.
    #[prost(bytes = "bytes", tag = "2")]
    pub config: bytes::Bytes,
}
