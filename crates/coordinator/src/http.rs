//! A small HTTP/1.1 client that reuses connections, and a server that closes them gracefully.

mod client;
mod replies;
mod server;

pub use client::CallError;
pub use client::CallKind;
pub use client::Client;
pub use client::Request;
pub use client::Response;
pub use replies::ReplyLimits;
pub use server::Server;
