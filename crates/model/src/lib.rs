//! The vocabulary of savorypitch: ids, contracts, keys, hosts and the configuration that they form.
//!
//! Everything here is plain data and pure functions. No module does input or output, and none reads
//! a clock: the present time is an argument wherever it matters. Other crates depend on this one and
//! this one depends on none of them.

pub mod config;
pub mod contract;
pub mod diagnostic;
pub mod host;
pub mod ids;
pub mod key;
pub mod outcome;
pub mod wave;

pub use config::Change;
pub use config::Config;
pub use config::ConfigRow;
pub use contract::Contract;
pub use diagnostic::Diagnostic;
pub use diagnostic::Diagnostics;
pub use diagnostic::SourceLocation;
pub use host::HostRow;
pub use host::HostState;
pub use host::StopReason;
pub use ids::ConfigVersion;
pub use ids::CustomerId;
pub use ids::HostId;
pub use ids::Incarnation;
pub use ids::KeyId;
pub use ids::NodeId;
pub use ids::OperationId;
pub use ids::PoolId;
pub use ids::QueueId;
pub use ids::RackId;
pub use ids::RequestId;
pub use ids::ServiceId;
pub use ids::TeamId;
pub use ids::TeamRef;
pub use ids::WaveId;
pub use ids::ZoneId;
pub use key::KeyRow;
pub use outcome::Outcome;
pub use wave::WaveRow;
pub use wave::WaveState;
