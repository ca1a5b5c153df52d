//! Arguments of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args as ClapArgs;
use clap::Parser;
use clap::Subcommand;
use clap_complete::Shell;

/// Manages the capacity and maintenance of a fleet of hosts.
///
/// `savorypitch serve` runs a node. All other commands talk to a node's admin address with an
/// operator's key.
///
/// Exit codes: 0 done; 1 refused or not found; 2 wrong usage or settings; 3 the outcome is unknown;
/// 4 the node could not be reached.
#[derive(Parser)]
#[command(version, max_term_width = 100)]
pub struct Args {
    /// Where and how to reach a node.
    #[command(flatten)]
    pub target: Target,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Where and how to reach a node.
#[derive(ClapArgs, Clone)]
pub struct Target {
    /// Admin address of a node.
    #[arg(long, env = "SAVORYPITCH_NODE", default_value = "127.0.0.1:7801", global = true)]
    pub node: SocketAddr,
    /// Operator's key.
    #[arg(long, env = "SAVORYPITCH_KEY", hide_env_values = true, global = true)]
    pub key: Option<String>,
    /// Print JSON.
    #[arg(long, global = true)]
    pub json: bool,
}

/// Commands.
#[derive(Subcommand)]
pub enum Command {
    /// Run a node.
    Serve(Box<ServeArgs>),
    /// Check, accept and show contracts.
    #[command(subcommand)]
    Contract(ContractCommand),
    /// Grant and withdraw keys.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Show queues.
    #[command(subcommand)]
    Queue(QueueCommand),
    /// Show, drain, move and return hosts.
    #[command(subcommand)]
    Host(HostCommand),
    /// Plan, start, pause and show maintenance waves.
    #[command(subcommand)]
    Wave(WaveCommand),
    /// Show teams and their limits.
    #[command(subcommand)]
    Team(TeamCommand),
    /// Tell what became of a change whose outcome was unknown; gives it up if it is not in force.
    Operation {
        /// Id of the operation, as shown with the unknown outcome.
        id: String,
    },
    /// Show the state of a node.
    Status,
    /// Show the time line of events of all nodes, also of those that are gone.
    Timeline(TimelineArgs),
    /// Print shell completions.
    Completions {
        /// Shell to print them for.
        shell: Shell,
    },
}

/// Settings of `serve`.
#[derive(ClapArgs)]
pub struct ServeArgs {
    /// Name of this node.
    #[arg(long, env = "SAVORYPITCH_NODE_ID", default_value = "node-1")]
    pub node_id: String,
    /// Availability zone of this node.
    #[arg(long, env = "SAVORYPITCH_ZONE", default_value = "zone-1")]
    pub zone: String,
    /// Address for callers.
    #[arg(long, env = "SAVORYPITCH_LISTEN", default_value = "127.0.0.1:7800")]
    pub listen: SocketAddr,
    /// Address for operators.
    #[arg(long, env = "SAVORYPITCH_ADMIN_LISTEN", default_value = "127.0.0.1:7801")]
    pub admin_listen: SocketAddr,
    /// Address of the platform's services; without it the node keeps everything in its memory.
    #[arg(long, env = "SAVORYPITCH_PLATFORM")]
    pub platform: Option<SocketAddr>,
    /// Longest time of a call to the platform, in milliseconds.
    #[arg(long, env = "SAVORYPITCH_PLATFORM_TIMEOUT_MS", default_value_t = 1_000)]
    pub platform_timeout_ms: u64,
    /// Operator's key that is valid before any key is granted.
    #[arg(long, env = "SAVORYPITCH_OPERATOR_KEY", hide_env_values = true)]
    pub operator_key: Option<String>,
    /// Address for the other nodes; without it the node has no peers.
    #[arg(long, env = "SAVORYPITCH_PEER_LISTEN")]
    pub peer_listen: Option<SocketAddr>,
    /// All nodes of the cluster, this one included, as `n1=10.0.0.1:7802,n2=10.0.0.2:7802`.
    #[arg(long, env = "SAVORYPITCH_PEERS", value_delimiter = ',')]
    pub peers: Vec<String>,
    /// Name of the cluster; messages of other clusters are refused.
    #[arg(long, env = "SAVORYPITCH_CLUSTER_ID", default_value = "savorypitch")]
    pub cluster_id: String,
    /// Secret that messages between nodes are authenticated with.
    #[arg(long, env = "SAVORYPITCH_CLUSTER_SECRET", hide_env_values = true)]
    pub cluster_secret: Option<String>,
    /// How long a proof of membership lasts, in milliseconds; the same on all nodes.
    #[arg(long, env = "SAVORYPITCH_MEMBER_TTL_MS", default_value_t = 4_000)]
    pub member_ttl_ms: u64,
    /// Time between heartbeats, in milliseconds; the same on all nodes.
    #[arg(long, env = "SAVORYPITCH_HEARTBEAT_INTERVAL_MS", default_value_t = 500)]
    pub heartbeat_interval_ms: u64,
    /// Nodes that share the fleet's limits, this one included.
    #[arg(long, env = "SAVORYPITCH_NODE_COUNT", default_value_t = 1)]
    pub node_count: u32,
    /// Time between polls of the configuration, in milliseconds.
    #[arg(long, env = "SAVORYPITCH_POLL_INTERVAL_MS", default_value_t = 500)]
    pub poll_interval_ms: u64,
    /// StatsD address that metrics are sent to.
    #[arg(long, env = "SAVORYPITCH_METRICS")]
    pub metrics: Option<SocketAddr>,
    /// Longest time to open a connection to a backend server, in milliseconds.
    #[arg(long, env = "SAVORYPITCH_CONNECT_TIMEOUT_MS", default_value_t = 1_000)]
    pub connect_timeout_ms: u64,
    /// Longest time of a request that names no deadline, in milliseconds.
    #[arg(long, env = "SAVORYPITCH_REQUEST_TIMEOUT_MS", default_value_t = 60_000)]
    pub request_timeout_ms: u64,
    /// Largest request body, in bytes.
    #[arg(long, env = "SAVORYPITCH_BODY_MAX_BYTES", default_value_t = 4 * 1024 * 1024 * 1024)]
    pub body_max_bytes: u64,
    /// Time between failing readiness and closing the listener at a stop, in milliseconds.
    #[arg(long, env = "SAVORYPITCH_STOP_NOTICE_MS", default_value_t = 2_000)]
    pub stop_notice_ms: u64,
    /// Longest time that running requests may take at a stop, in milliseconds.
    #[arg(long, env = "SAVORYPITCH_STOP_GRACE_MS", default_value_t = 60_000)]
    pub stop_grace_ms: u64,
}

/// `contract` commands.
#[derive(Subcommand)]
pub enum ContractCommand {
    /// Check a contract without a node.
    Check {
        /// Contract in TOML.
        file: PathBuf,
    },
    /// Check a contract and put it in force on all nodes.
    Apply {
        /// Contract in TOML.
        file: PathBuf,
        /// Version that the decision rests on; refused if another one is in force.
        #[arg(long)]
        seen: Option<u64>,
    },
    /// Show the contract in force.
    Show {
        /// Customer.
        customer: String,
    },
    /// Show what a file would change in the contract in force.
    Diff {
        /// Contract in TOML.
        file: PathBuf,
    },
}

/// `key` commands.
#[derive(Subcommand)]
pub enum KeyCommand {
    /// Grant a key; it is printed once.
    Grant {
        /// Customer and team, as in `levy/officers`, or `operator`.
        holder: String,
    },
    /// Withdraw a key for good.
    Withdraw {
        /// Id of the key.
        id: String,
    },
    /// List the keys; never shows the keys themselves.
    List,
}

/// `queue` commands.
#[derive(Subcommand)]
pub enum QueueCommand {
    /// List the queues.
    List,
}

/// `host` commands.
#[derive(Subcommand)]
pub enum HostCommand {
    /// List the hosts.
    List,
    /// Move a host to another pool of its customer; it is drained first.
    Move {
        /// Host.
        host: String,
        /// Pool.
        pool: String,
    },
    /// Drain a host; it stays out of service until it is returned.
    Drain {
        /// Host.
        host: String,
    },
    /// Return a drained or failed host to its pool, or cancel its drain or move.
    Return {
        /// Host.
        host: String,
    },
}

/// `wave` commands.
#[derive(Subcommand)]
pub enum WaveCommand {
    /// Plan a wave over all hosts of a pool; it starts nothing yet.
    Plan {
        /// Pool.
        pool: String,
    },
    /// Start a planned wave, or let a paused or halted one go on.
    Start {
        /// Pool.
        pool: String,
    },
    /// Pause a wave; hosts in work are finished.
    Pause {
        /// Pool.
        pool: String,
    },
    /// List the waves.
    List,
}

/// `team` commands.
#[derive(Subcommand)]
pub enum TeamCommand {
    /// List the teams.
    List,
}

/// Filters and forms of `timeline`.
#[derive(ClapArgs)]
pub struct TimelineArgs {
    /// Only events of this request.
    #[arg(long)]
    pub request: Option<String>,
    /// Only events of this team, as in `levy/verifiers`.
    #[arg(long)]
    pub team: Option<String>,
    /// Only events of this host.
    #[arg(long)]
    pub host: Option<String>,
    /// Only events that this node saw.
    #[arg(long)]
    pub seen_by: Option<String>,
    /// Only events of this kind, as in `host-step`.
    #[arg(long)]
    pub kind: Option<String>,
    /// Only events from this time on, in milliseconds since the Unix epoch.
    #[arg(long)]
    pub since_ms: Option<u64>,
    /// Only events up to this time, in milliseconds since the Unix epoch.
    #[arg(long)]
    pub until_ms: Option<u64>,
    /// Go on showing events as they come.
    #[arg(long, conflicts_with = "html")]
    pub follow: bool,
    /// Write a picture to this file; any browser opens it offline.
    #[arg(long)]
    pub html: Option<PathBuf>,
}
