//! Settings of a node, after validation.

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
    /// Name of the node; unique in the cluster.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: ZoneId,
    /// Address on which callers are served.
    pub caller_address: SocketAddr,
    /// Address on which operators are served.
    pub admin_address: SocketAddr,
    /// Hash of an operator key that is valid without being granted in the configuration, so that
    /// the first key can be granted.
    pub operator_key_hash: Option<KeyHash>,
    /// Links to the other nodes; `None` for a node that runs without peers.
    pub peering: Option<Peering>,
    /// Number of nodes that share the limits of the fleet, this one included. Decides the shares of
    /// nodes that run without peers.
    pub node_count: u32,
    /// Average time between polls of the configuration.
    pub poll_interval: Duration,
    /// Address of the metrics collector; `None` sends no metrics.
    pub metrics_address: Option<SocketAddr>,
    /// Limits and timeouts of the callers' interface.
    pub gateway: GatewaySettings,
}

/// Settings of the links between nodes. Except for `listen`, they are the same on all nodes of a
/// cluster.
#[derive(Clone)]
pub struct Peering {
    /// Address on which peers are accepted.
    pub listen: SocketAddr,
    /// Initial member list, this node included.
    pub members: Vec<MemberEntry>,
    /// Name of the cluster; messages of other clusters are rejected.
    pub cluster: String,
    /// Secret with which messages between nodes are authenticated.
    pub secret: String,
    /// Duration of a membership lease.
    pub ttl: Duration,
    /// Time between rounds of heartbeats.
    pub heartbeat_interval: Duration,
    /// Transport of the messages.
    pub transport: Transport,
}

impl Peering {
    /// Derives the key with which forwarded requests are authenticated.
    pub fn forward_key(&self) -> [u8; 32] {
        blake3::derive_key("savorypitch forwarded requests", self.secret.as_bytes())
    }
}

/// Transport of the messages between nodes.
#[derive(Clone)]
pub enum Transport {
    /// TCP connections.
    Tcp,
    /// Network inside one process, for tests.
    Memory(MemoryNetwork),
}

/// Services of the platform that a node uses.
#[derive(Clone)]
pub struct Platform {
    /// Transactional table that holds the configuration, limits, members and jobs.
    pub table: Arc<dyn Table>,
    /// Object store for events, job results and stored responses.
    pub objects: Arc<dyn Objects>,
    /// Host list and reboots of hosts.
    pub fleet: Arc<dyn Fleet>,
}

impl Platform {
    /// Returns in-memory services for a single node; their contents are lost when it ends.
    pub fn embedded() -> Self {
        Self {
            table: Arc::new(MemoryTable::default()),
            objects: Arc::new(MemoryObjects::default()),
            fleet: Arc::new(MemoryFleet::default()),
        }
    }

    /// Returns clients of the platform at `address`; each call takes at most `call_timeout`.
    pub fn remote(address: SocketAddr, call_timeout: Duration) -> Self {
        Self::with_client(HttpPlatform::new(address, call_timeout))
    }

    /// Returns services that are all reached through `client`.
    pub fn with_client(client: HttpPlatform) -> Self {
        let client = Arc::new(client);
        Self { table: client.clone(), objects: client.clone(), fleet: client }
    }
}
