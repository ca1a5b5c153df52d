//! A node of a fleet whose workers fence orders and hold leases.
//!
//! All nodes take callers' requests; one of them, the owner, decides what runs where. The owner's row
//! in the platform's table names it and carries its epoch, which is the fencing token of all its
//! orders. Each transaction of the owner rests on the version of that row and changes it, so that a
//! transaction of an owner before, or one that comes late, has no effect.
//!
//! [`Node`] runs it all; the platform is behind the traits of [`ports`]. `election` decides who takes
//! over, `owner` carries out what [`scheduler`] decides, `entry` answers callers, `peers` is how nodes
//! talk to each other.

pub mod caller_api;
pub mod clock;
pub mod config;
pub mod http;
pub mod metrics;
pub mod ports;
pub mod rows;

pub mod election;
mod node;
mod operator_changes;
mod owner;
mod owner_link;
mod peers;
pub mod poll_schedule;
mod shared;
pub mod succession;

pub use caller_api::Access;
pub use caller_api::JobLookup;
pub use caller_api::Refusal;
pub use caller_api::SubmitOutcome;
pub use config::CallerConfig;
pub use config::Route;
pub use node::Node;
pub use node::NodeSettings;
