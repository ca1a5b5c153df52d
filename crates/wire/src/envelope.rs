//! Envelope of a message between nodes, and the checks on received messages.

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

/// Content of a message.
#[derive(Clone, PartialEq, Eq, Hash, Oneof)]
pub enum Body {
    /// Asks the receiver to confirm the membership of the sender.
    #[prost(message, tag = "16")]
    Heartbeat(Heartbeat),
    /// Replies to a heartbeat.
    #[prost(message, tag = "17")]
    HeartbeatReply(HeartbeatReply),
    /// Announces that the sender shuts down and holds nothing any more.
    #[prost(message, tag = "18")]
    Leave(Leave),
    /// Requests the active configuration of the receiver.
    #[prost(message, tag = "19")]
    ConfigRequest(ConfigRequest),
    /// Replies with the active configuration of the sender.
    #[prost(message, tag = "20")]
    ConfigReply(ConfigReply),
}

/// A message with its sender, receiver and sequence number.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Envelope {
    /// Id of the cluster; a receiver of another cluster rejects the message.
    #[prost(string, tag = "1")]
    pub cluster: String,
    /// Node that sent the message.
    #[prost(string, tag = "2")]
    pub sender: String,
    /// Node that the message is for.
    #[prost(string, tag = "3")]
    pub receiver: String,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Sequence number; increases with each message of the incarnation, across all receivers.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// Version of the sender's active configuration.
    #[prost(uint64, tag = "6")]
    pub config_version: u64,
    /// Wall part of the sender's hybrid timestamp, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "7")]
    pub timestamp_wall_ms: u64,
    /// Logical part of the sender's hybrid timestamp.
    #[prost(uint32, tag = "8")]
    pub timestamp_logical: u32,
    /// Content; `None` for a kind that this version of the binary does not know.
    #[prost(oneof = "Body", tags = "16, 17, 18, 19, 20")]
    pub body: Option<Body>,
}

/// Numbers and authenticates the messages that one incarnation of a node sends.
pub struct Outbox {
    cluster: String,
    node: NodeId,
    key: ClusterKey,
    sequence: u64,
}

impl Outbox {
    /// Creates the outbox of `node`.
    pub fn new(cluster: &str, node: NodeId, key: ClusterKey) -> Self {
        Self { cluster: cluster.to_owned(), node, key, sequence: 0 }
    }

    /// Returns the frame of the next message; `timestamp` is the wall part in milliseconds and the
    /// logical part of a hybrid timestamp.
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

/// Why a received message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectedMessage {
    /// The keyed hash does not match: the frame is corrupt or not from this cluster.
    #[error("the keyed hash does not match")]
    BadHash,
    /// The content cannot be decoded.
    #[error("the content cannot be decoded")]
    Malformed,
    /// The message belongs to another cluster.
    #[error("the message belongs to another cluster")]
    OtherCluster,
    /// The message is for another node.
    #[error("the message is for another node")]
    OtherReceiver,
    /// The message is from an earlier incarnation of the sender.
    #[error("the message is from an earlier incarnation of the sender")]
    OldIncarnation,
    /// The sequence number is not above that of the last accepted message.
    #[error("the sequence number is not above that of the last accepted message")]
    OldSequence,
}

impl RejectedMessage {
    /// Name of the metric that counts messages rejected for this reason.
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

/// The last accepted message of a sender.
struct LastMessage {
    sender: NodeId,
    incarnation: Incarnation,
    sequence: u64,
}

/// Checks the frames that one node receives.
pub struct Inbox {
    cluster: String,
    node: NodeId,
    key: ClusterKey,
    /// Sorted by sender.
    last: Vec<LastMessage>,
}

impl Inbox {
    /// Creates the inbox of `node`.
    pub fn new(cluster: &str, node: NodeId, key: ClusterKey) -> Self {
        Self { cluster: cluster.to_owned(), node, key, last: Vec::new() }
    }

    /// Decodes a frame. Rejects it unless it is authentic, for this node, and newer than the last
    /// accepted message of its sender.
    pub fn open(&mut self, frame: &Bytes) -> Result<Envelope, RejectedMessage> {
        let content = self.key.open(frame).ok_or(RejectedMessage::BadHash)?;
        let envelope = Envelope::decode(content).map_err(|_| RejectedMessage::Malformed)?;
        if envelope.cluster != self.cluster {
            return Err(RejectedMessage::OtherCluster);
        }
        if *envelope.receiver != *self.node {
            return Err(RejectedMessage::OtherReceiver);
        }
        self.check_sequence(&envelope)?;
        Ok(envelope)
    }

    fn check_sequence(&mut self, envelope: &Envelope) -> Result<(), RejectedMessage> {
        let sender = envelope.sender.as_str();
        let (incarnation, sequence) = (envelope.incarnation, envelope.sequence);
        match self.last.binary_search_by(|last| (*last.sender).cmp(sender)) {
            Ok(index) => {
                let last = &mut self.last[index];
                if incarnation < last.incarnation {
                    return Err(RejectedMessage::OldIncarnation);
                }
                if incarnation == last.incarnation && sequence <= last.sequence {
                    return Err(RejectedMessage::OldSequence);
                }
                last.incarnation = incarnation;
                last.sequence = sequence;
            }
            Err(index) => {
                let last = LastMessage { sender: sender.into(), incarnation, sequence };
                self.last.insert(index, last);
            }
        }
        Ok(())
    }
}
