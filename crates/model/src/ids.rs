//! Ids are type aliases over shared strings, so that a clone costs one counter.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Name of a customer; unique in the fleet.
pub type CustomerId = Arc<str>;
/// Name of a team; unique within its customer.
pub type TeamId = Arc<str>;
/// Name of a queue; unique in the fleet.
pub type QueueId = Arc<str>;
/// Name of a service; unique within its customer.
pub type ServiceId = Arc<str>;
/// Name of a pool; unique in the fleet.
pub type PoolId = Arc<str>;
/// Name of a host; unique in the fleet.
pub type HostId = Arc<str>;
/// Name of an availability zone.
pub type ZoneId = Arc<str>;
/// Name of a rack; unique in the fleet.
pub type RackId = Arc<str>;
/// Name of an entry node.
pub type NodeId = Arc<str>;
/// Public name of a key; the key itself is never stored.
pub type KeyId = Arc<str>;
/// Name of a maintenance wave.
pub type WaveId = Arc<str>;
/// Unique id of a write transaction.
pub type OperationId = Arc<str>;
/// Unique id of a caller's request.
pub type RequestId = Arc<str>;
/// Number of one run of a node's process; a later run has a larger number.
pub type Incarnation = u64;
/// Version of the configuration; grows by one with each change.
pub type ConfigVersion = u64;

/// A team together with its customer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TeamRef {
    /// Customer of the team.
    pub customer: CustomerId,
    /// Team within the customer.
    pub team: TeamId,
}

impl TeamRef {
    /// Team `team` of `customer`.
    pub fn new(customer: impl Into<CustomerId>, team: impl Into<TeamId>) -> Self {
        Self { customer: customer.into(), team: team.into() }
    }
}

impl fmt::Display for TeamRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.customer, self.team)
    }
}

/// Random 128-bit id in hexadecimal.
pub fn random_id() -> Arc<str> {
    format!("{:032x}", rand::random::<u128>()).into()
}
