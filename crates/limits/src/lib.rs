//! Limits that hold over the whole fleet, as each node sees them.
//!
//! Each limit is split into allotments, one for each node that uses it; a node takes tokens from its
//! own allotment without asking anybody. [`LimitTable`] is the node's side of it.

mod table;

pub use table::Allotment;
pub use table::LimitKey;
pub use table::LimitTable;
