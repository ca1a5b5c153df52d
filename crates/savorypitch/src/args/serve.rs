//! Settings of a node from flags and environment variables.

use std::net::SocketAddr;

use clap::Args;

use super::SettingValue;

/// Settings of `savorypitch serve`.
#[derive(Args)]
pub struct ServeArgs {
    /// Name of this node; unique in the cluster.
    #[arg(long, env = "SAVORYPITCH_NODE_ID", default_value = "node-1")]
    pub node_id: String,
    /// Availability zone of this node.
    #[arg(long, env = "SAVORYPITCH_ZONE", default_value = "zone-1")]
    pub zone: String,
    /// Address to listen on for callers.
    #[arg(long, env = "SAVORYPITCH_LISTEN", default_value = "127.0.0.1:7800")]
    pub listen: SettingValue<SocketAddr>,
    /// Address to listen on for operators.
    #[arg(long, env = "SAVORYPITCH_ADMIN_LISTEN", default_value = "127.0.0.1:7801")]
    pub admin_listen: SettingValue<SocketAddr>,
    /// Address of the platform's services; without it the node keeps all state in memory.
    #[arg(long, env = "SAVORYPITCH_PLATFORM")]
    pub platform: Option<SettingValue<SocketAddr>>,
    /// Timeout of a call to the platform, in milliseconds.
    #[arg(long, env = "SAVORYPITCH_PLATFORM_TIMEOUT_MS", default_value = "1000")]
    pub platform_timeout_ms: SettingValue<u64>,
    /// Operator's key that is valid from the start, so that the first keys can be granted.
    #[arg(long, env = "SAVORYPITCH_OPERATOR_KEY", hide_env_values = true)]
    pub operator_key: Option<String>,
    /// Address to listen on for the other nodes; without it the node has no peers.
    #[arg(long, env = "SAVORYPITCH_PEER_LISTEN")]
    pub peer_listen: Option<SettingValue<SocketAddr>>,
    /// All nodes of the cluster, including this one, as in `n1=10.0.0.1:7802,n2=10.0.0.2:7802`.
    #[arg(long, env = "SAVORYPITCH_PEERS", value_delimiter = ',')]
    pub peers: Vec<String>,
    /// Name of the cluster; messages from nodes of other clusters are refused.
    #[arg(long, env = "SAVORYPITCH_CLUSTER_ID", default_value = "savorypitch")]
    pub cluster_id: String,
    /// Secret that authenticates the messages between nodes; the same on all nodes.
    #[arg(long, env = "SAVORYPITCH_CLUSTER_SECRET", hide_env_values = true)]
    pub cluster_secret: Option<String>,
    /// Duration of a membership lease, in milliseconds; the same on all nodes.
    #[arg(long, env = "SAVORYPITCH_MEMBER_TTL_MS", default_value = "4000")]
    pub member_ttl_ms: SettingValue<u64>,
    /// Time between heartbeats, in milliseconds; the same on all nodes.
    #[arg(long, env = "SAVORYPITCH_HEARTBEAT_INTERVAL_MS", default_value = "500")]
    pub heartbeat_interval_ms: SettingValue<u64>,
    /// Number of nodes that share the fleet's limits, including this one.
    #[arg(long, env = "SAVORYPITCH_NODE_COUNT", default_value = "1")]
    pub node_count: SettingValue<u32>,
    /// Time between two polls for configuration changes, in milliseconds.
    #[arg(long, env = "SAVORYPITCH_POLL_INTERVAL_MS", default_value = "500")]
    pub poll_interval_ms: SettingValue<u64>,
    /// StatsD address that metrics are sent to; without it none are sent.
    #[arg(long, env = "SAVORYPITCH_METRICS")]
    pub metrics: Option<SettingValue<SocketAddr>>,
    /// Timeout for opening a connection to a backend server, in milliseconds.
    #[arg(long, env = "SAVORYPITCH_CONNECT_TIMEOUT_MS", default_value = "1000")]
    pub connect_timeout_ms: SettingValue<u64>,
    /// Timeout of a request without a deadline of its own, in milliseconds.
    #[arg(long, env = "SAVORYPITCH_REQUEST_TIMEOUT_MS", default_value = "60000")]
    pub request_timeout_ms: SettingValue<u64>,
    /// Largest request body, in bytes.
    #[arg(long, env = "SAVORYPITCH_BODY_MAX_BYTES", default_value = "4294967296")]
    pub body_max_bytes: SettingValue<u64>,
    /// Most open connections of callers; beyond it, the connection that made no progress for the
    /// longest time is closed.
    #[arg(long, env = "SAVORYPITCH_CALLER_CONNECTIONS_MAX", default_value = "2048")]
    pub caller_connections_max: SettingValue<usize>,
    /// Most memory for what callers have sent and not read, in bytes.
    #[arg(long, env = "SAVORYPITCH_CALLER_MEMORY_MAX_BYTES", default_value = "100663296")]
    pub caller_memory_max_bytes: SettingValue<usize>,
    /// Most open connections of operators.
    #[arg(long, env = "SAVORYPITCH_ADMIN_CONNECTIONS_MAX", default_value = "128")]
    pub admin_connections_max: SettingValue<usize>,
    /// Largest reply that is read from the platform, in bytes.
    #[arg(long, env = "SAVORYPITCH_PLATFORM_REPLY_MAX_BYTES", default_value = "67108864")]
    pub platform_reply_max_bytes: SettingValue<usize>,
    /// Time at a stop between failing readiness and closing the listener, in milliseconds.
    #[arg(long, env = "SAVORYPITCH_STOP_NOTICE_MS", default_value = "2000")]
    pub stop_notice_ms: SettingValue<u64>,
    /// Longest time at a stop that running requests get to finish, in milliseconds.
    #[arg(long, env = "SAVORYPITCH_STOP_GRACE_MS", default_value = "60000")]
    pub stop_grace_ms: SettingValue<u64>,
}
