//! Decisions on the path of a request: admission, and choice of backend server.
//!
//! Everything here is a pure function of the configuration, the state given and the present time.

mod admission;
mod choice;

pub use admission::Admitted;
pub use admission::Denied;
pub use admission::admit;
pub use choice::Candidate;
pub use choice::choose;
