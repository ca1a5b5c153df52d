//! Weighted fair queueing by team, for the waiting requests of one service at one node.
//!
//! Each team has a virtual time: the slot time that it has received over the whole fleet, divided
//! by its share weight. The team with the lowest virtual time is served next. A node knows exactly
//! what it has served itself; what the other nodes serve is extrapolated from the counts in their
//! heartbeats ([`FairQueue::observe_peers`]). The queue is work-conserving and bounded in length
//! and waiting time, and it refuses a request at once if its deadline can't be met.
//!
//! Callers pass the current time to each function; nothing here reads a clock.

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
