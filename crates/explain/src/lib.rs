//! The story of one job or unit, told from the log lines of any number of processes.
//!
//! [`Reader`] takes lines in any order and keeps those that name the job and those that may explain a
//! delay: changes of the owner, silent workers, a store that fails. [`Reader::into_history`] puts them
//! in the order of time, leaves out what has nothing to do with the job, and marks the cause of its end.

mod history;
mod line;

pub use history::Entry;
pub use history::JobHistory;
pub use history::Outcome;
pub use history::Reader;
pub use history::Role;
pub use line::Line;
