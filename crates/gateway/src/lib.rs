//! HTTP interface for callers. Forwards their requests to backend servers and relays the responses.
//!
//! A request is received, admitted, queued, dispatched and responded to. Every response states in
//! the `Savorypitch-Outcome` header whether the request completed, did not run, or may have run.
//! The gateway accesses the rest of the node only through [`NodeContext`].

mod backends;
mod bounded_body;
mod budget;
mod claims;
mod connection;
mod error_response;
mod exchange;
mod forward;
mod handler;
mod header;
mod idempotency;
mod in_doubt;
mod lifecycle;
mod node_context;
mod probe;
mod request_body;
mod response_body;
mod routes;
mod server;
mod settings;
mod stream;
mod tokens;
mod wait_queue;

pub use bounded_body::WholeBodyLimits;
pub use bounded_body::read_body_within_budget;
pub use budget::Budget;
pub use budget::BudgetLimits;
pub use budget::ConnectionBudget;
pub use handler::Dependencies;
pub use handler::Gateway;
pub use node_context::NodeContext;
pub use node_context::Peer;
pub use probe::ProbeResult;
pub use probe::Prober;
pub use server::Server;
pub use server::Timeouts;
pub use server::serve;
pub use server::serve_with_timeouts;
pub use server::serve_within_budget;
pub use settings::GatewaySettings;
pub use wait_queue::QueueShares;
pub use wait_queue::WaitingCount;
