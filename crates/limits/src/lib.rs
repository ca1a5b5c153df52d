//! Limits that hold over the whole fleet, as each node sees them.
//!
//! Each limit is a row of a ledger in the platform's table: the limit, and who holds how many of its
//! tokens. A node takes tokens from its own holding without asking anybody; [`LimitTable`] is that
//! side of it. [`Ledger`] moves tokens between nodes: a holder stops using tokens before it writes
//! that another node has them, and a node uses tokens only once it knows that the write is in force.
//! [`targets`] says who should hold what.

pub mod demand;
pub mod key;
pub mod ledger;
pub mod plan;
pub mod reclaim;
pub mod row;
pub mod table;
pub mod targets;

pub use demand::Demand;
pub use demand::DemandKey;
pub use demand::Limit;
pub use demand::MemberDemand;
pub use demand::SmoothedDemands;
pub use demand::limits_of;
pub use key::LimitKey;
pub use ledger::ClusterView;
pub use ledger::Ledger;
pub use ledger::TickOutcome;
pub use ledger::Tokens;
pub use reclaim::ReclaimOutcome;
pub use row::Holder;
pub use row::Holding;
pub use row::LedgerRow;
pub use table::Allocation;
pub use table::LimitTable;
pub use targets::targets;
