//! The story of one job or unit, told from the log lines of any number of processes.
//!
//! [`Reader`] takes lines in any order and keeps those that name the job and those that may explain a
//! delay: changes of the owner, silent workers, a store that fails. [`Reader::story`] puts them in the
//! order of time, leaves out what has nothing to do with the job, and marks the cause of its end.

mod line;
mod story;

pub use line::Line;
pub use story::Entry;
pub use story::Outcome;
pub use story::Reader;
pub use story::Role;
pub use story::Story;
