//! Settings of a node, already checked.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gateway::GatewaySettings;
use membership::MemberEntry;
use model::NodeId;
use model::ZoneId;
use model::key::KeyHash;
use services::Fleet;
use services::HttpPlatform;
use services::MemoryFleet;
use services::MemoryObjects;
use services::MemoryTable;
use services::Objects;
use services::Table;
use wire::MemoryNetwork;

/// Settings of one node.
#[derive(Clone)]
pub struct Settings {
    /// Name of the node.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: ZoneId,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub admin_address: SocketAddr,
    /// Hash of the operator key that is valid before any key is granted.
    pub operator_key_hash: Option<KeyHash>,
    /// Links to the other nodes; `None` for a node without peers.
    pub peering: Option<Peering>,
    /// Nodes that share the fleet's limits, this one included.
    pub node_count: u32,
    /// Time between polls of the configuration.
    pub poll_interval: Duration,
    /// Collector of metrics.
    pub metrics_address: Option<SocketAddr>,
    /// Bounds of the caller interface.
    pub gateway: GatewaySettings,
}

/// Settings of the links between nodes; all nodes of a cluster have the same, but for `listen`.
#[derive(Clone)]
pub struct Peering {
    /// Address for peers.
    pub listen: SocketAddr,
    /// All members, this node included.
    pub members: Vec<MemberEntry>,
    /// Name of the cluster.
    pub cluster: String,
    /// Secret that messages are authenticated with.
    pub secret: String,
    /// How long a proof of membership lasts.
    pub ttl: Duration,
    /// Time between rounds of heartbeats.
    pub heartbeat_interval: Duration,
    /// What carries the messages.
    pub transport: Transport,
}

impl Peering {
    /// Key that forwarded requests are authenticated with.
    pub fn forward_key(&self) -> [u8; 32] {
        blake3::derive_key("savorypitch forwarded requests", self.secret.as_bytes())
    }
}

/// What carries the messages between nodes.
#[derive(Clone)]
pub enum Transport {
    /// TCP.
    Tcp,
    /// Memory of one process, for tests.
    Memory(MemoryNetwork),
}

/// The platform's services as a node uses them.
#[derive(Clone)]
pub struct Platform {
    /// Table.
    pub table: Arc<dyn Table>,
    /// Object store.
    pub objects: Arc<dyn Objects>,
    /// Host list and host actions.
    pub fleet: Arc<dyn Fleet>,
}

impl Platform {
    /// Services inside the process, for a single node; they end with it.
    pub fn embedded() -> Self {
        Self {
            table: Arc::new(MemoryTable::default()),
            objects: Arc::new(MemoryObjects::default()),
            fleet: Arc::new(MemoryFleet::default()),
        }
    }

    /// Services at `address`.
    pub fn remote(address: SocketAddr, call_timeout: Duration) -> Self {
        let client = Arc::new(HttpPlatform::new(address, call_timeout));
        Self { table: client.clone(), objects: client.clone(), fleet: client }
    }
}
