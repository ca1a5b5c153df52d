//! The configuration in the table: versioned changes, and the follower that brings them to a node.
//!
//! | row | value |
//! |---|---|
//! | `config/head` | [`Head`]: version and digest of the last change |
//! | `config/row/{name}` | a [`model::ConfigRow`] |
//! | `config/change/{version}` | the [`model::Change`] that led to the version |
//! | `config/operation/{operation id}` | the version that the operation led to |
//!
//! A change is one transaction: its rows, its change row and the head, under the precondition that
//! the head is as it was read. So changes are totally ordered, a race loses with a conflict, and a
//! follower that has version `n` needs only the change rows after `n`. A bounded number of change rows
//! is kept; a follower further behind reads everything.

mod contract;
mod error;
mod operation;
mod read;
mod rows;
mod write;

pub use error::ChangeError;
pub use error::ChangeNote;
pub use operation::AcceptedChange;
pub use operation::Operation;
pub use operation::OperationOutcome;
pub use read::PollResult;
pub use read::load;
pub use read::poll;
pub use rows::Head;
pub use write::ConfigWriter;
