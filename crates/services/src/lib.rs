//! The platform's services as savorypitch sees them: a transactional table, an object store and the
//! fleet's host list with its host actions.
//!
//! Each is a narrow trait. The HTTP clients talk to the real platform (or its stand-in); the memory
//! versions serve a node without a platform, and tests. Every write transaction carries an operation
//! id that is stored with it, so that a lost answer can be resolved; see [`commit`].

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
