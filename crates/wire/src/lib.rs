//! Messages between nodes, and the links that carry them.
//!
//! All messages are records with tagged fields, so that two versions of the binary can run side by
//! side: an unknown field is skipped, and a missing one has its default. A message travels in an
//! [`Envelope`], sealed with a keyed hash of the cluster's secret; [`Inbox`] refuses what does not
//! belong here or comes again. [`Link`] is the narrow window on the transport: [`NngLink`] over TCP,
//! and [`MemoryLink`] for tests.

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
pub use envelope::RefusedMessage;
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
