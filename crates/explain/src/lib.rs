//! Reconstructs the history of one job or unit from the log lines of any number of processes.
//!
//! [`Reader`] accepts lines in any order. It keeps those that name the job, and those that may
//! explain a delay: changes of the owner, unresponsive workers, failed writes to the store.
//! [`Reader::into_history`] sorts them by time, drops the lines that do not concern the job, and
//! marks the line that shows why the job ended as it did.

mod history;
mod line;

pub use history::Entry;
pub use history::JobHistory;
pub use history::Outcome;
pub use history::Reader;
pub use history::Role;
pub use line::Line;
