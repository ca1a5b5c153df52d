//! Bounds what callers may hold in a process: connections, heads and bodies of requests.
//!
//! Each port has a [`Budget`]. A connection counts against it from the moment that it is accepted,
//! and a body from before it is read until its request has been answered. When the budget is used
//! up, the connection with the least progress is closed, so that a crowd of connections that stand
//! still doesn't keep out others.

pub mod metrics;

mod body;
mod budget;
mod connection;
mod ledger;
mod server;
mod stream;

pub use body::BodyBuffer;
pub use body::BodyError;
pub use body::HeldBody;
pub use body::collect_bodies;
pub use budget::Budget;
pub use connection::Connection;
pub use ledger::CloseCause;
pub use ledger::FREE_BODY_BYTES;
pub use ledger::Limits;
pub use server::serve;
