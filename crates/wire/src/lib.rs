//! Messages between nodes, and the links that carry them.
//!
//! Messages are Protocol Buffers records, so that two versions of the binary can run side by side:
//! an unknown field is skipped, and a missing one has its default. A message is sent in an
//! [`Envelope`] with a keyed hash, whose key is derived from the secret of the cluster; [`Inbox`]
//! rejects messages that are forged, misdirected or repeated. [`Link`] is the interface to the
//! transport: [`NngLink`] uses TCP, and [`MemoryLink`] is for tests.

pub mod config;
pub mod count;
pub mod envelope;
pub mod heartbeat;
pub mod link;
pub mod memory;
pub mod nng_link;
pub mod seal;

pub use config::ConfigReply;
pub use config::ConfigRequest;
pub use count::LimitCounts;
pub use envelope::Body;
pub use envelope::Envelope;
pub use envelope::Inbox;
pub use envelope::Outbox;
pub use envelope::RejectedMessage;
pub use heartbeat::Eviction;
pub use heartbeat::Heartbeat;
pub use heartbeat::HeartbeatReply;
pub use heartbeat::Leave;
pub use heartbeat::ListEntry;
pub use heartbeat::MemberListMessage;
pub use heartbeat::Presence;
pub use heartbeat::Verdict;
pub use link::Link;
pub use link::LinkError;
pub use memory::MemoryLink;
pub use memory::MemoryNetwork;
pub use nng_link::NngLink;
pub use seal::ClusterKey;
