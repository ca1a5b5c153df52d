//! Envelope of each message, and the checks on what arrives.

use bytes::Bytes;
use model::Incarnation;
use model::NodeId;
use prost::Message;
use prost::Oneof;

use crate::config::ConfigReply;
use crate::config::ConfigRequest;
use crate::heartbeat::Heartbeat;
use crate::heartbeat::HeartbeatReply;
use crate::heartbeat::Leave;
use crate::seal::ClusterKey;

/// What a message says.
#[derive(Clone, PartialEq, Eq, Hash, Oneof)]
pub enum Body {
    /// Asks for a confirmation of membership.
    #[prost(message, tag = "16")]
    Heartbeat(Heartbeat),
    /// Answers a heartbeat.
    #[prost(message, tag = "17")]
    HeartbeatReply(HeartbeatReply),
    /// Says goodbye.
    #[prost(message, tag = "18")]
    Leave(Leave),
    /// Asks for a configuration.
    #[prost(message, tag = "19")]
    ConfigRequest(ConfigRequest),
    /// Brings a configuration.
    #[prost(message, tag = "20")]
    ConfigReply(ConfigReply),
}

/// A message with its sender.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Envelope {
    /// Cluster.
    #[prost(string, tag = "1")]
    pub cluster: String,
    /// Sending node.
    #[prost(string, tag = "2")]
    pub sender: String,
    /// Receiving node.
    #[prost(string, tag = "3")]
    pub receiver: String,
    /// Run of the sender's process.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Grows with each message of the run.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// Configuration in force at the sender.
    #[prost(uint64, tag = "6")]
    pub config_version: u64,
    /// Wall time of the sender's hybrid clock, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub timestamp_wall_ms: u64,
    /// Logical part of the sender's hybrid clock.
    #[prost(uint32, tag = "8")]
    pub timestamp_logical: u32,
    /// What it says; `None` for a kind that this version does not know.
    #[prost(oneof = "Body", tags = "16, 17, 18, 19, 20")]
    pub body: Option<Body>,
}

/// Numbers and seals what one run of a node sends.
pub struct Outbox {
    cluster: String,
    node: NodeId,
    key: ClusterKey,
    sequence: u64,
}

impl Outbox {
    /// Outbox of `node`.
    pub fn new(cluster: &str, node: NodeId, key: ClusterKey) -> Self {
        Self { cluster: cluster.to_owned(), node, key, sequence: 0 }
    }

    /// Sealed frame of a message; `timestamp` is wall time in milliseconds and its logical part.
    pub fn seal(
        &mut self,
        receiver: &str,
        incarnation: Incarnation,
        config_version: u64,
        timestamp: (u64, u32),
        body: Body,
    ) -> Bytes {
        self.sequence += 1;
        let envelope = Envelope {
            cluster: self.cluster.clone(),
            sender: self.node.to_string(),
            receiver: receiver.to_owned(),
            incarnation,
            sequence: self.sequence,
            config_version,
            timestamp_wall_ms: timestamp.0,
            timestamp_logical: timestamp.1,
            body: Some(body),
        };
        self.key.seal(&envelope.encode_to_vec())
    }
}

/// Why an arrived message was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RefusedMessage {
    /// The keyed hash does not match.
    #[error("the keyed hash does not match")]
    BadHash,
    /// The content cannot be read.
    #[error("the content cannot be read")]
    Malformed,
    /// It belongs to another cluster.
    #[error("it belongs to another cluster")]
    OtherCluster,
    /// It is for another node.
    #[error("it is for another node")]
    OtherReceiver,
    /// It was sent by an earlier run of the node.
    #[error("it was sent by an earlier run of the node")]
    OldIncarnation,
    /// Its sequence is not above the last one.
    #[error("its sequence is not above the last one")]
    OldSequence,
}

impl RefusedMessage {
    /// Name of the counter.
    pub fn counter(self) -> &'static str {
        match self {
            Self::BadHash => "peer.refused.hash",
            Self::Malformed => "peer.refused.malformed",
            Self::OtherCluster => "peer.refused.cluster",
            Self::OtherReceiver => "peer.refused.receiver",
            Self::OldIncarnation => "peer.refused.incarnation",
            Self::OldSequence => "peer.refused.sequence",
        }
    }
}

/// Last message of a sender.
struct Last {
    sender: NodeId,
    incarnation: Incarnation,
    sequence: u64,
}

/// Checks what arrives at one node.
pub struct Inbox {
    cluster: String,
    node: NodeId,
    key: ClusterKey,
    /// Sorted by sender.
    last: Vec<Last>,
}

impl Inbox {
    /// Inbox of `node`.
    pub fn new(cluster: &str, node: NodeId, key: ClusterKey) -> Self {
        Self { cluster: cluster.to_owned(), node, key, last: Vec::new() }
    }

    /// Opens a frame and checks that it belongs here and is new.
    pub fn open(&mut self, frame: &Bytes) -> Result<Envelope, RefusedMessage> {
        let content = self.key.open(frame).ok_or(RefusedMessage::BadHash)?;
        let envelope = Envelope::decode(content).map_err(|_| RefusedMessage::Malformed)?;
        if envelope.cluster != self.cluster {
            return Err(RefusedMessage::OtherCluster);
        }
        if *envelope.receiver != *self.node {
            return Err(RefusedMessage::OtherReceiver);
        }
        self.check_order(&envelope)?;
        Ok(envelope)
    }

    fn check_order(&mut self, envelope: &Envelope) -> Result<(), RefusedMessage> {
        let sender = envelope.sender.as_str();
        let (incarnation, sequence) = (envelope.incarnation, envelope.sequence);
        match self.last.binary_search_by(|last| (*last.sender).cmp(sender)) {
            Ok(index) => {
                let last = &mut self.last[index];
                if incarnation < last.incarnation {
                    return Err(RefusedMessage::OldIncarnation);
                }
                if incarnation == last.incarnation && sequence <= last.sequence {
                    return Err(RefusedMessage::OldSequence);
                }
                last.incarnation = incarnation;
                last.sequence = sequence;
            }
            Err(index) => {
                let last = Last { sender: sender.into(), incarnation, sequence };
                self.last.insert(index, last);
            }
        }
        Ok(())
    }
}
