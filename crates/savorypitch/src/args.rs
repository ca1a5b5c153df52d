//! Arguments of the command line.

mod given;
mod serve;

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args as ClapArgs;
use clap::Parser;
use clap::Subcommand;
use clap_complete::Shell;

pub use given::Given;
pub use serve::ServeArgs;

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
    /// Run a node on a platform whose workers fence orders.
    ServePlatform {
        /// Settings file that the platform writes, in JSON.
        #[arg(long, env = "SAVORYPITCH_BOOT")]
        settings: PathBuf,
    },
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
    /// Tell the story of a job or unit from the log lines of nodes on a platform.
    ///
    /// Marks: `>` the cause of its end, `~` what happened beside it while nothing was heard of it.
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
    /// Log files of any number of processes; `-`, or none, for standard input.
    pub files: Vec<PathBuf>,
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
