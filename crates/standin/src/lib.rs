//! Stand-ins for what lies outside savorypitch: the platform's services and backend servers.
//!
//! They are for tests and demos only, and no released program depends on them. Both run as separate
//! processes (`standin-platform`, `standin-backend`) or inside a test.

pub mod backend;
pub mod caller;
pub mod fault;
pub mod faulty_table;
pub mod fleet;
pub mod load;
pub mod platform_server;
pub mod worker;
