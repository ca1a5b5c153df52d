//! Heartbeats and their answers.

use prost::Enumeration;
use prost::Message;

use crate::count::LimitCounts;

/// All runs of a node's process up to `incarnation` are marked as gone.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Eviction {
    /// Node.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Last marked run.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// An entry of the member list.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ListEntry {
    /// Node.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Address that it listens on for its peers.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// The member list.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct MemberListMessage {
    /// Version of the list.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Members, sorted by node.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<ListEntry>,
}

/// Where the sender is reached.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Presence {
    /// Availability zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Address for callers.
    #[prost(string, tag = "2")]
    pub caller_address: String,
    /// Address for operators.
    #[prost(string, tag = "3")]
    pub admin_address: String,
}

/// Asks a peer to confirm the sender's membership.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Heartbeat {
    /// Number of the round that the answer is matched to.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Version of the sender's member list.
    #[prost(uint64, tag = "2")]
    pub list_version: u64,
    /// True once the sender may serve as a witness.
    #[prost(bool, tag = "3")]
    pub informed: bool,
    /// Marks whose runs are not yet taken over.
    #[prost(message, repeated, tag = "4")]
    pub evictions: Vec<Eviction>,
    /// Positions in the member list of the nodes that the sender has not heard of lately.
    #[prost(uint32, repeated, tag = "5")]
    pub silent: Vec<u32>,
    /// Where the sender is reached; sent now and then.
    #[prost(message, optional, tag = "6")]
    pub presence: Option<Presence>,
    /// Counts that changed, and some that did not.
    #[prost(message, repeated, tag = "7")]
    pub counts: Vec<LimitCounts>,
}

/// What a peer says of the asker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// The peer cannot tell.
    Abstain = 0,
    /// Not marked, and the same version of the member list.
    Confirmed = 1,
    /// Marked.
    Evicted = 2,
}

/// Answers a heartbeat.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct HeartbeatReply {
    /// Round that is answered.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Run of the asker's process that is answered.
    #[prost(uint64, tag = "2")]
    pub to_incarnation: u64,
    /// What the sender says of the asker.
    #[prost(enumeration = "Verdict", tag = "3")]
    pub verdict: i32,
    /// Version of the sender's member list.
    #[prost(uint64, tag = "4")]
    pub list_version: u64,
    /// True if the sender may serve as a witness.
    #[prost(bool, tag = "5")]
    pub informed: bool,
    /// Marks that the sender has agreed to: all if it also sends its list, else those of the
    /// heartbeat.
    #[prost(message, repeated, tag = "6")]
    pub evictions: Vec<Eviction>,
    /// The sender's member list, for an asker that is behind or not informed.
    #[prost(message, optional, tag = "7")]
    pub list: Option<MemberListMessage>,
}

/// Last message of a run that holds nothing any more.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Leave {}
