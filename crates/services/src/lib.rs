//! Interfaces to the services of the platform: a transactional table, an object store, and the host
//! list of the fleet with actions on hosts.
//!
//! Each service is a trait. The HTTP client calls the real platform or its stand-in; the in-memory
//! implementations are for nodes without a platform and for tests. Every write transaction stores
//! its operation id, so that its outcome can be resolved if the reply is lost; see [`commit`].

pub mod commit;
pub mod fleet;
pub mod http;
pub mod memory;
pub mod objects;
pub mod table;

pub use commit::Committer;
pub use commit::FinalOutcome;
pub use fleet::Fleet;
pub use fleet::FleetHost;
pub use fleet::FleetHostState;
pub use fleet::RebootState;
pub use http::HttpPlatform;
pub use memory::MemoryFleet;
pub use memory::MemoryObjects;
pub use memory::MemoryTable;
pub use objects::Objects;
pub use table::CommitOutcome;
pub use table::Precondition;
pub use table::Row;
pub use table::RowVersion;
pub use table::Scan;
pub use table::Table;
pub use table::Transaction;
pub use table::Unavailable;
pub use table::Write;
