//! The configuration in the table: versioned changes, and the polling that brings them to the
//! nodes.
//!
//! | row | value |
//! |---|---|
//! | `config/head` | [`Head`]: version and digest of the last change |
//! | `config/row/{name}` | a [`model::ConfigRow`] |
//! | `config/change/{version}` | the [`model::Change`] that produced the version |
//! | `config/operation/{operation id}` | the version that the operation produced |
//!
//! A change is one transaction. It writes its rows, a change row and the head, under the
//! precondition that the head has not changed since it was read. Changes are therefore totally
//! ordered, the loser of a race gets a conflict, and a node with version `n` needs only the change
//! rows after `n`. A bounded number of change rows is kept; a node that is further behind reads the
//! whole configuration.

mod contract;
mod error;
mod operation;
mod read;
mod rows;
mod write;

pub use error::ChangeError;
pub use error::ChangeSummary;
pub use operation::AcceptedChange;
pub use operation::Operation;
pub use operation::OperationOutcome;
pub use read::PollResult;
pub use read::load;
pub use read::poll;
pub use rows::Head;
pub use write::ConfigWriter;
