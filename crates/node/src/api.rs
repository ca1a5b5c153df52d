//! Messages of the operators' interface, used by the node and the command-line client.

use std::net::SocketAddr;

use model::ConfigVersion;
use model::CustomerId;
use model::HostId;
use model::HostState;
use model::Incarnation;
use model::KeyId;
use model::NodeId;
use model::PoolId;
use model::QueueId;
use model::ServiceId;
use model::StopReason;
use model::TeamRef;
use model::WaveId;
use model::WaveState;
use model::ZoneId;
use model::key::KeyHolder;
use model::key::KeyState;
use model::wave::WaveHost;
use serde::Deserialize;
use serde::Serialize;

/// Prefix of all paths of the operators' interface.
pub const PREFIX: &str = "/admin/v1";
/// Header with the id of an operation. Repeating an operation under the same id has no effect.
pub const OPERATION_ID: &str = "savorypitch-operation-id";

/// Body of `POST /contracts`: a contract to validate and accept.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyContract {
    /// Name of the source, such as a file name, for the diagnostics.
    pub source: String,
    /// Text of the contract, in TOML.
    pub text: String,
    /// Version of the configuration on which the operator based the change. If it is set and no
    /// longer active, the change is rejected as a conflict.
    #[serde(rename = "seen")]
    pub seen_version: Option<ConfigVersion>,
}

/// Response to an accepted change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Accepted {
    /// Version of the configuration that the change produced.
    pub version: ConfigVersion,
    /// Nodes on which this version or a newer one is active.
    #[serde(rename = "in_force")]
    pub active_nodes: Vec<NodeId>,
    /// Nodes that did not report the version in time.
    pub missing: Vec<NodeId>,
}

/// Body of `POST /keys`: grants a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantKey {
    /// Team or operator that the key identifies.
    pub holder: KeyHolder,
}

/// Response to a grant. The secret is stored nowhere and cannot be shown again.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantedKey {
    /// Public id of the key.
    pub id: KeyId,
    /// Secret that callers or operators send as bearer token.
    pub secret: String,
    /// Version of the change, and the nodes on which it is active.
    pub accepted: Accepted,
}

/// A key as listed, without its hash.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyView {
    /// Public id of the key.
    pub id: KeyId,
    /// Team or operator that the key identifies.
    pub holder: String,
    /// Whether the key is granted or withdrawn.
    pub state: KeyState,
}

/// A queue as listed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QueueView {
    /// Name of the queue.
    pub name: QueueId,
    /// Customer whose contract defines the queue.
    pub customer: CustomerId,
    /// Service that runs the queue's requests.
    pub service: ServiceId,
    /// `open`, or the names of the teams that may use the queue, separated by commas.
    pub access: String,
}

/// A host as listed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostView {
    /// Name of the host.
    pub id: HostId,
    /// Customer whose contract defines the host.
    pub customer: CustomerId,
    /// Pool that the host belongs to.
    pub pool: PoolId,
    /// Availability zone.
    pub zone: ZoneId,
    /// State in the host's life cycle.
    pub state: HostState,
    /// Reason why the host takes no new work; `None` while it serves.
    #[serde(default)]
    pub reason: Option<StopReason>,
    /// Pool that the host is being moved to.
    pub move_to: Option<PoolId>,
    /// Requests of this node that are running on the host.
    pub running: u32,
    /// Slots of this node that are in doubt: it is unknown whether their requests still run.
    pub in_doubt: u32,
}

/// Body of `POST /hosts/{id}/move`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MoveHost {
    /// Pool to move the host to.
    pub pool: PoolId,
}

/// A maintenance wave as listed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WaveView {
    /// Name of the wave, which is the name of its pool.
    pub id: WaveId,
    /// Number of the wave among the waves of its pool.
    pub round: u32,
    /// Customer whose contract defines the pool.
    pub customer: CustomerId,
    /// State of the wave.
    pub state: WaveState,
    /// Number of hosts whose turn has not started.
    pub waiting: usize,
    /// Number of hosts under maintenance.
    pub started: usize,
    /// Number of hosts that were rebooted and serve again.
    pub done: usize,
    /// Number of hosts that did not return to service.
    pub failed: usize,
    /// Time by which every host must have had its turn, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Fraction of the remaining time that the wave needs; above 1, it will miss its deadline.
    #[serde(rename = "pressure")]
    pub urgency: f64,
    /// Hosts of the wave, in the order of their turns.
    pub hosts: Vec<WaveHost>,
}

/// A team as listed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TeamView {
    /// Customer and name of the team.
    pub team: TeamRef,
    /// Weight of the team in the shares of a queue.
    pub share_weight: u32,
    /// Maximum number of requests of the team that run at a time across the fleet.
    pub running_max: u32,
    /// Tokens of the team's limit that this node may use.
    pub granted: u32,
    /// Requests of the team that this node is running.
    pub running: u32,
    /// Tokens of this node that are in doubt: it is unknown whether their requests still run.
    pub in_doubt: u32,
}

/// State of the node that responds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusView {
    /// Name of the node.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: ZoneId,
    /// Version of the active configuration.
    pub config_version: ConfigVersion,
    /// True while the node admits new work.
    #[serde(rename = "admits")]
    pub is_admitting: bool,
    /// Members of the cluster as the node sees them, sorted by node.
    #[serde(default)]
    pub members: Vec<MemberStatus>,
    /// Names and values of the counters and gauges, sorted by name.
    pub metrics: Vec<(String, u64)>,
}

/// A member as one node sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the member.
    pub node: NodeId,
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Availability zone of the member.
    pub zone: ZoneId,
    /// Address on which the member serves callers.
    pub caller_address: SocketAddr,
    /// Address on which the member serves operators.
    pub admin_address: SocketAddr,
    /// Version of the configuration that the member last reported as active.
    pub config_version: ConfigVersion,
    /// True if there was a recent contact with the member and it is not evicted.
    #[serde(rename = "alive")]
    pub is_alive: bool,
}

/// Body of an error response that carries no diagnostics.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Problem {
    /// What went wrong.
    pub detail: String,
}
