//! Heartbeats and the replies to them.

use prost::Enumeration;
use prost::Message;

use crate::count::LimitCounts;

/// All incarnations of a node up to `incarnation` are evicted and may never act again.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Eviction {
    /// Node whose incarnations are evicted.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Last evicted incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// An entry of the member list.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ListEntry {
    /// Id of the member.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Address that the member listens on for its peers.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// The member list: the nodes among which majorities are counted.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct MemberListMessage {
    /// Version of the list; a changed list has a higher one.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Members, sorted by node.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<ListEntry>,
}

/// Availability zone and addresses of the sender.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Presence {
    /// Availability zone of the sender.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Address that serves callers.
    #[prost(string, tag = "2")]
    pub caller_address: String,
    /// Address that serves operators.
    #[prost(string, tag = "3")]
    pub admin_address: String,
}

/// Asks a peer to confirm the membership of the sender.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Heartbeat {
    /// Number of the heartbeat round; the reply repeats it.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Version of the sender's member list.
    #[prost(uint64, tag = "2")]
    pub list_version: u64,
    /// True if the sender is informed: it knows all evictions that it ever agreed to, so that it
    /// may confirm other nodes.
    #[prost(bool, tag = "3")]
    pub informed: bool,
    /// Evictions of incarnations whose resources are not yet taken over.
    #[prost(message, repeated, tag = "4")]
    pub evictions: Vec<Eviction>,
    /// Positions in the member list of the nodes that the sender has had no recent message from.
    #[prost(uint32, repeated, tag = "5")]
    pub silent: Vec<u32>,
    /// Location of the sender; sent only with some heartbeats.
    #[prost(message, optional, tag = "6")]
    pub presence: Option<Presence>,
    /// Limit counts that changed since the last heartbeat, and some of the unchanged ones.
    #[prost(message, repeated, tag = "7")]
    pub counts: Vec<LimitCounts>,
}

/// Statement of a peer on the membership of the requester.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// The peer cannot confirm the membership and knows of no eviction.
    Abstain = 0,
    /// The requester is not evicted, and both have the same version of the member list.
    Confirmed = 1,
    /// The requester is evicted.
    Evicted = 2,
}

/// Reply to a heartbeat.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct HeartbeatReply {
    /// Number of the heartbeat round that this is the reply to.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Incarnation of the requester that sent the heartbeat.
    #[prost(uint64, tag = "2")]
    pub to_incarnation: u64,
    /// Statement on the membership of the requester.
    #[prost(enumeration = "Verdict", tag = "3")]
    pub verdict: i32,
    /// Version of the sender's member list.
    #[prost(uint64, tag = "4")]
    pub list_version: u64,
    /// True if the sender is informed; see [`Heartbeat::informed`].
    #[prost(bool, tag = "5")]
    pub informed: bool,
    /// Evictions that the sender has agreed to: all of them if the reply has a member list, else
    /// those that the heartbeat named.
    #[prost(message, repeated, tag = "6")]
    pub evictions: Vec<Eviction>,
    /// Member list of the sender, for a requester that has an older list or is not informed.
    #[prost(message, optional, tag = "7")]
    pub list: Option<MemberListMessage>,
}

/// Last message of an incarnation, which holds nothing any more.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Leave {}
