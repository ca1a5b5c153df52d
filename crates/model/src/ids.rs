//! Ids and names. They are aliases of shared strings, so that a clone only increments a counter.

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
/// Name of an availability zone; unique in the fleet.
pub type ZoneId = Arc<str>;
/// Name of a rack; unique in the fleet.
pub type RackId = Arc<str>;
/// Name of a node of savorypitch; unique in the cluster.
pub type NodeId = Arc<str>;
/// Public name of an API key; the key itself is never stored.
pub type KeyId = Arc<str>;
/// Name of a maintenance wave; equal to the name of its pool.
pub type WaveId = Arc<str>;
/// Unique id of a write transaction or of an action on a host; makes repeats safe.
pub type OperationId = Arc<str>;
/// Unique id of a caller's request.
pub type RequestId = Arc<str>;
/// Number of an incarnation of a node: a process, or a new start as a member within the same
/// process. A later incarnation has a higher number.
pub type Incarnation = u64;
/// Version of the configuration; each change increments it by one.
pub type ConfigVersion = u64;

/// A team with its customer; displayed as `customer/team`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TeamRef {
    /// Customer that the team belongs to.
    pub customer: CustomerId,
    /// Name of the team within the customer.
    pub team: TeamId,
}

impl TeamRef {
    /// Creates the reference to `team` of `customer`.
    pub fn new(customer: impl Into<CustomerId>, team: impl Into<TeamId>) -> Self {
        Self { customer: customer.into(), team: team.into() }
    }
}

impl fmt::Display for TeamRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.customer, self.team)
    }
}

/// Returns a random 128-bit id in hexadecimal.
pub fn random_id() -> Arc<str> {
    format!("{:032x}", rand::random::<u128>()).into()
}
