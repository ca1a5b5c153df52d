//! Fleet-wide limits, enforced with tokens that are distributed over the nodes.
//!
//! Each limit is a row of a ledger in the platform's table. The row stores the limit and the number
//! of tokens that each node holds. A node acquires tokens from its own holding without coordination
//! ([`LimitTable`]). [`Ledger`] transfers tokens between nodes: a holder stops using tokens before
//! it writes that another node holds them, and a node uses received tokens only once it knows that
//! the write is committed. [`targets()`] computes how many tokens each node should hold.

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
