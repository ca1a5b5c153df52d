//! Messages of the operators' interface, shared by the node and the command line.

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
/// Header with the id of an operation; a repeat under the same id changes nothing.
pub const OPERATION_ID: &str = "savorypitch-operation-id";

/// `POST /contracts`: a contract to check and accept.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyContract {
    /// Name of the text, for findings.
    pub source: String,
    /// Contract in TOML.
    pub text: String,
    /// Version that the operator decided on.
    #[serde(rename = "seen")]
    pub seen_version: Option<ConfigVersion>,
}

/// Answer to an accepted change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Accepted {
    /// Version that the change led to.
    pub version: ConfigVersion,
    /// Nodes that have it in force.
    #[serde(rename = "in_force")]
    pub active_nodes: Vec<NodeId>,
    /// Nodes that have not reported it in time.
    pub missing: Vec<NodeId>,
}

/// `POST /keys`: a key to grant.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantKey {
    /// Whom the key is for.
    pub holder: KeyHolder,
}

/// Answer to a grant; the only time that the secret is shown.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantedKey {
    /// Public name of the key.
    pub id: KeyId,
    /// Secret text.
    pub secret: String,
    /// The change.
    pub accepted: Accepted,
}

/// A key, without its hash.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyView {
    /// Public name.
    pub id: KeyId,
    /// Whom it is for.
    pub holder: String,
    /// Granted or withdrawn.
    pub state: KeyState,
}

/// A queue.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QueueView {
    /// Name.
    pub name: QueueId,
    /// Customer.
    pub customer: CustomerId,
    /// Service.
    pub service: ServiceId,
    /// `open`, or the teams that may use it.
    pub access: String,
}

/// A host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostView {
    /// Name.
    pub id: HostId,
    /// Customer.
    pub customer: CustomerId,
    /// Pool that it is in.
    pub pool: PoolId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Step of its life cycle.
    pub state: HostState,
    /// Why it takes no work.
    #[serde(default)]
    pub reason: Option<StopReason>,
    /// Pool that it moves to.
    pub move_to: Option<PoolId>,
    /// Requests that this node has running there.
    pub running: u32,
    /// Tokens of this node that are held back.
    pub in_doubt: u32,
}

/// `POST /hosts/{id}/move`: the pool to move a host to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MoveHost {
    /// Pool.
    pub pool: PoolId,
}

/// A maintenance wave.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WaveView {
    /// Name; that of its pool.
    pub id: WaveId,
    /// Number of the wave among those of its pool.
    pub round: u32,
    /// Customer.
    pub customer: CustomerId,
    /// What it does.
    pub state: WaveState,
    /// Hosts whose turn has not begun.
    pub waiting: usize,
    /// Hosts in work.
    pub started: usize,
    /// Hosts rebooted and serving again.
    pub done: usize,
    /// Hosts that did not return.
    pub failed: usize,
    /// When every host must have had its turn, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Part of the time left that the wave still needs; above 1 it will be late.
    #[serde(rename = "pressure")]
    pub urgency: f64,
    /// Hosts in the order of their turns.
    pub hosts: Vec<WaveHost>,
}

/// A team.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TeamView {
    /// Team.
    pub team: TeamRef,
    /// Share weight.
    pub share_weight: u32,
    /// Upper limit over the fleet.
    pub running_max: u32,
    /// Tokens that this node may use.
    pub granted: u32,
    /// Requests that this node has running.
    pub running: u32,
    /// Tokens of this node that are held back.
    pub in_doubt: u32,
}

/// State of one node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusView {
    /// Node.
    pub node: NodeId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Version in force.
    pub config_version: ConfigVersion,
    /// True while the node takes new work.
    #[serde(rename = "admits")]
    pub is_admitting: bool,
    /// Members as this node sees them, sorted by node.
    #[serde(default)]
    pub members: Vec<MemberStatus>,
    /// Counters and gauges, sorted by name.
    pub metrics: Vec<(String, u64)>,
}

/// A member as one node sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Node.
    pub node: NodeId,
    /// Run of its process.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub admin_address: SocketAddr,
    /// Configuration in force there, as last reported.
    pub config_version: ConfigVersion,
    /// True if it was heard of lately and is not marked.
    #[serde(rename = "alive")]
    pub is_alive: bool,
}

/// A refusal without findings.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Problem {
    /// What is wrong.
    pub detail: String,
}
