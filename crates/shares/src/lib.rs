//! Weighted fair queueing by team, for the waiting requests of one service at one node.
//!
//! Each team has a virtual time: the slot time that it has had over the whole fleet, divided by its
//! share weight. The team that is furthest behind is served next. A node knows its own service
//! exactly; that of the other nodes is integrated from the counts that come with heartbeats
//! ([`FairQueue::observe_peers`]). The queue is work-conserving, bounded in length and age, and
//! refuses a request at once when its deadline cannot be met.
//!
//! Nothing here reads a clock.

mod queue;
mod rate;
mod refusal;
mod team;
mod urgent;

pub use queue::FairQueue;
pub use queue::Settings;
pub use refusal::Reason;
pub use refusal::Refused;
pub use team::Class;
pub use team::Entry;
pub use team::PeerCounts;
pub use team::TeamCounts;
pub use team::Ticket;
