//! Stand-ins for the systems around savorypitch: the platform's services, backend servers, workers
//! and callers.
//!
//! They are for tests and demos only; no released program depends on them. The platform and backend
//! servers run as separate processes (`standin-platform`, `standin-backend`) or inside a test.

pub mod backend;
pub mod caller;
pub mod fault;
pub mod faulty_table;
pub mod fleet;
pub mod load;
pub mod platform_server;
pub mod worker;
