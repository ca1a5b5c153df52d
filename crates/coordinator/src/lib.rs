//! A node of a fleet whose workers enforce fencing tokens and leases themselves.
//!
//! All nodes take callers' requests. The hosts and jobs are divided among shards ([`sharding`]),
//! and one node, the owner of the shard, decides what runs where in it. The owner's row in the
//! platform's table names it and holds its epoch, which is the fencing token of all its commands.
//! Each transaction of the owner requires the current version of that row and changes it, so that a
//! transaction of an earlier owner, or one that arrives late, has no effect.
//!
//! [`Node`] runs all parts, and the traits of [`ports`] abstract the platform. [`election`] decides
//! when a node takes over, [`evacuated_zones`] which zones operators evacuate, `owner` carries out
//! what [`scheduler`] decides, [`caller_api`] serves callers, and `peers` holds the calls between
//! nodes.

pub mod caller_api;
pub mod clock;
pub mod config;
pub mod divisions;
pub mod http;
pub mod job_log;
pub mod metrics;
pub mod ports;
pub mod rows;

pub mod election;
pub mod evacuated_zones;
mod layout;
mod node;
mod operator_changes;
mod owner;
mod owner_link;
mod peers;
pub mod poll_schedule;
pub mod sharding;
mod shared;
pub mod succession;
pub mod worker_poll;

pub use caller_api::Access;
pub use caller_api::JobLookup;
pub use caller_api::Refusal;
pub use caller_api::SubmitOutcome;
pub use config::CallerConfig;
pub use config::CallerLimits;
pub use config::Route;
pub use node::Node;
pub use node::NodeSettings;
