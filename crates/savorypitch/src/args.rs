//! Command line arguments.

mod serve;
mod setting_value;

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args as ClapArgs;
use clap::Parser;
use clap::Subcommand;
use clap_complete::Shell;
use platform_adapter::Policy;

pub use serve::ServeArgs;
pub use setting_value::SettingValue;

/// Manages the capacity and maintenance of a fleet of hosts.
///
/// `savorypitch serve` and `savorypitch serve-platform` run a node. The commands for operators call
/// the admin address of a node with an operator's key.
///
/// Exit codes: 0 success; 1 refused or not found; 2 invalid usage, settings or files; 3 the outcome
/// is unknown; 4 the node could not be reached.
#[derive(Parser)]
#[command(version, max_term_width = 100)]
pub struct Args {
    /// Node to call and form of the output.
    #[command(flatten)]
    pub target: Target,
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Node to call and form of the output.
#[derive(ClapArgs, Clone)]
pub struct Target {
    /// Admin address of the node to call.
    #[arg(long, env = "SAVORYPITCH_NODE", default_value = "127.0.0.1:7801", global = true)]
    pub node: SocketAddr,
    /// Operator's key that authorizes the calls.
    #[arg(long, env = "SAVORYPITCH_KEY", hide_env_values = true, global = true)]
    pub key: Option<String>,
    /// Print JSON instead of text.
    #[arg(long, global = true)]
    pub json: bool,
}

/// Subcommands of `savorypitch`.
#[derive(Subcommand)]
pub enum Command {
    /// Run a node.
    Serve(Box<ServeArgs>),
    /// Run a node on a platform whose workers check fencing tokens.
    ServePlatform {
        /// Settings file that the platform writes, in JSON.
        #[arg(long, env = "SAVORYPITCH_BOOT")]
        settings: PathBuf,
        /// Scheduling policies to disable, separated by commas.
        #[arg(long, env = "SAVORYPITCH_DISABLED_POLICIES", value_delimiter = ',')]
        disable_policies: Vec<Policy>,
    },
    /// Check, apply, show and compare contracts.
    #[command(subcommand)]
    Contract(ContractCommand),
    /// Grant, withdraw and list keys.
    #[command(subcommand)]
    Key(KeyCommand),
    /// List queues.
    #[command(subcommand)]
    Queue(QueueCommand),
    /// List, move, drain and return hosts.
    #[command(subcommand)]
    Host(HostCommand),
    /// Plan, start, pause and list maintenance waves.
    #[command(subcommand)]
    Wave(WaveCommand),
    /// List teams and their limits.
    #[command(subcommand)]
    Team(TeamCommand),
    /// Show whether a change whose outcome was unknown became active; abandon it if it did not.
    Operation {
        /// Id of the operation, from the message about the unknown outcome.
        id: String,
    },
    /// Show the state of a node.
    Status,
    /// Show the timeline of events of all nodes, including nodes that are gone.
    Timeline(TimelineArgs),
    /// Show the history of a job or unit from the log lines of nodes on a platform.
    ///
    /// Marks: `>` the cause of its end, `~` related events in long gaps between its log lines.
    Explain(ExplainArgs),
    /// Print shell completions.
    Completions {
        /// Shell to print them for.
        shell: Shell,
    },
}

/// Arguments of `explain`.
#[derive(ClapArgs)]
pub struct ExplainArgs {
    /// Id of a job, as in 5c0e7a21d94b36f8, or of a unit, as in 5c0e7a21d94b36f8.0.1.17.
    pub id: String,
    /// Log files of any number of processes; standard input if it is `-` or no file is given.
    pub files: Vec<PathBuf>,
}

/// `contract` commands.
#[derive(Subcommand)]
pub enum ContractCommand {
    /// Check a contract file without calling a node.
    Check {
        /// Contract file in TOML.
        file: PathBuf,
    },
    /// Check a contract and make it active on all nodes.
    Apply {
        /// Contract file in TOML.
        file: PathBuf,
        /// Configuration version that the change is based on; refused if another one is active.
        #[arg(long)]
        seen: Option<u64>,
    },
    /// Show the active contract of a customer.
    Show {
        /// Name of the customer.
        customer: String,
    },
    /// Show what a contract file would change in the active contract.
    Diff {
        /// Contract file in TOML.
        file: PathBuf,
    },
}

/// `key` commands.
#[derive(Subcommand)]
pub enum KeyCommand {
    /// Grant a new key; its secret is shown only once.
    Grant {
        /// Holder of the key: customer and team, as in `levy/officers`, or `operator`.
        holder: String,
    },
    /// Withdraw a key permanently.
    Withdraw {
        /// Id of the key.
        id: String,
    },
    /// List the ids, holders and states of the keys; secrets are never shown.
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
        /// Id of the host.
        host: String,
        /// Pool that the host moves to.
        pool: String,
    },
    /// Drain a host; it stays out of service until it is returned.
    Drain {
        /// Id of the host.
        host: String,
    },
    /// Return a drained or failed host to its pool, or cancel its drain or move.
    Return {
        /// Id of the host.
        host: String,
    },
}

/// `wave` commands.
#[derive(Subcommand)]
pub enum WaveCommand {
    /// Plan a wave over all hosts of a pool; no host is drained before the wave is started.
    Plan {
        /// Pool whose hosts are maintained.
        pool: String,
    },
    /// Start a planned wave, or resume a paused or halted one.
    Start {
        /// Pool whose hosts are maintained.
        pool: String,
    },
    /// Pause a wave; hosts whose maintenance has started are finished.
    Pause {
        /// Pool whose hosts are maintained.
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

/// Filters and output options of `timeline`.
#[derive(ClapArgs)]
pub struct TimelineArgs {
    /// Only events of the request with this id.
    #[arg(long)]
    pub request: Option<String>,
    /// Only events of this team, as in `levy/verifiers`.
    #[arg(long)]
    pub team: Option<String>,
    /// Only events of this host.
    #[arg(long)]
    pub host: Option<String>,
    /// Only events that were recorded by this node.
    #[arg(long)]
    pub seen_by: Option<String>,
    /// Only events of this kind, as in `host-step`.
    #[arg(long)]
    pub kind: Option<String>,
    /// Only events at or after this time, in milliseconds since the Unix epoch.
    #[arg(long)]
    pub since_ms: Option<u64>,
    /// Only events at or before this time, in milliseconds since the Unix epoch.
    #[arg(long)]
    pub until_ms: Option<u64>,
    /// Keep running and show new events as they arrive.
    #[arg(long, conflicts_with = "html")]
    pub follow: bool,
    /// Write the timeline as an HTML page to this file; any browser opens it offline.
    #[arg(long)]
    pub html: Option<PathBuf>,
}
