//! The caller interface: HTTP requests of callers, carried to backend servers and back.
//!
//! A request is received, admitted, queued, dispatched and answered. Each end of that life has one
//! truthful outcome, sent as the `Savorypitch-Outcome` header. The gateway knows the rest of the
//! node only through [`Authority`].

mod answer;
mod authority;
mod backend;
mod handler;
mod header;
mod server;
mod settings;
mod tokens;

pub use authority::Authority;
pub use authority::Peer;
pub use handler::Gateway;
pub use server::Server;
pub use server::serve;
pub use settings::GatewaySettings;
