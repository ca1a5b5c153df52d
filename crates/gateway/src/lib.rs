//! The caller interface: HTTP requests of callers, carried to backend servers and back.
//!
//! A request is received, admitted, queued, dispatched and answered. Each end of that life has one
//! truthful outcome, sent as the `Savorypitch-Outcome` header. The gateway knows the rest of the
//! node only through [`NodeContext`].

mod answer;
mod answer_body;
mod backends;
mod body;
mod claims;
mod connection;
mod doubt;
mod exchange;
mod forward;
mod handler;
mod header;
mod keyed;
mod life;
mod node_context;
mod probe;
mod routes;
mod server;
mod settings;
mod stream;
mod tokens;
mod waiting;

pub use handler::Dependencies;
pub use handler::Gateway;
pub use node_context::NodeContext;
pub use node_context::Peer;
pub use probe::ProbeResult;
pub use probe::Prober;
pub use server::Server;
pub use server::Timeouts;
pub use server::serve;
pub use server::serve_with;
pub use settings::GatewaySettings;
pub use waiting::QueueShares;
pub use waiting::WaitingCount;
