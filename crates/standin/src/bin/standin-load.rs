//! Load generator and single requests, for demos.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use clap::Subcommand;
use http::Method;
use model::Contract;
use model::contract::parse_contract;
use standin::caller::call;
use standin::load::LoadPlan;
use standin::load::LoadReport;
use standin::load::TeamKey;
use standin::load::fetch_stats;
use standin::load::run_load;

/// Sends callers' requests to nodes, for tests and demos.
#[derive(Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Send a load and check every response against the runs at the backend servers. Exits with 0
    /// only if all counts are consistent.
    Run {
        /// Caller address of a node; may be given several times.
        #[arg(long, required = true)]
        node: Vec<SocketAddr>,
        /// Contract file in TOML; may be given several times.
        #[arg(long, required = true)]
        contract: Vec<PathBuf>,
        /// File with one line `customer/team secret` per key.
        #[arg(long)]
        keys: PathBuf,
        /// Number of requests, repeats not included.
        #[arg(long, default_value_t = 4_000)]
        requests: u64,
        /// Time over which the requests are started, in milliseconds.
        #[arg(long, default_value_t = 20_000)]
        duration_ms: u64,
        /// Longest time that a request runs at a backend server, in milliseconds.
        #[arg(long, default_value_t = 200)]
        work_max_ms: u64,
        /// Seed of all random choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Send one request and print the status and outcome of the response.
    Once {
        /// Caller address of a node.
        #[arg(long)]
        node: SocketAddr,
        /// Path of the request, as in `/q/levy-validate/x`.
        #[arg(long)]
        path: String,
        /// Key that is sent as bearer token.
        #[arg(long, default_value = "")]
        key: String,
        /// Print the body of the response instead.
        #[arg(long)]
        print_body: bool,
    },
    /// Print how many different jobs a backend server has run; 0 if it does not respond.
    Runs {
        /// Address of the backend server.
        #[arg(long)]
        backend: SocketAddr,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    match Args::parse().command {
        Command::Run { node, contract, keys, requests, duration_ms, work_max_ms, seed } => {
            let plan = LoadPlan {
                nodes: node,
                contracts: contract.iter().map(read_contract).collect(),
                keys: read_keys(&keys),
                requests,
                duration: Duration::from_millis(duration_ms),
                work_max_ms,
                seed,
            };
            let report = run_load(plan).await;
            print_report(&report);
            if report.is_consistent() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Command::Once { node, path, key, print_body } => {
            let authorization = format!("Bearer {key}");
            let headers = [("authorization", &*authorization)];
            match call(node, Method::GET, &path, &headers, "").await {
                Ok(response) if print_body => {
                    println!("{}", String::from_utf8_lossy(&response.body));
                }
                Ok(response) => println!("{} {}", response.status.as_u16(), response.outcome()),
                Err(error) => println!("no response: {error}"),
            }
            ExitCode::SUCCESS
        }
        Command::Runs { backend } => {
            let runs = fetch_stats(backend).await.map_or(0, |stats| stats.runs.len());
            println!("{runs}");
            ExitCode::SUCCESS
        }
    }
}

fn read_contract(file: &PathBuf) -> Contract {
    let text = std::fs::read_to_string(file).expect("the contract is readable");
    parse_contract(&file.display().to_string(), &text).expect("the contract is valid")
}

fn read_keys(file: &PathBuf) -> Vec<TeamKey> {
    let text = std::fs::read_to_string(file).expect("the keys are readable");
    text.lines()
        .map(|line| {
            let (holder, secret) = line.split_once(' ').expect("a line is `customer/team secret`");
            let (customer, team) = holder.split_once('/').expect("a holder is `customer/team`");
            TeamKey { customer: customer.into(), team: team.into(), secret: secret.into() }
        })
        .collect()
}

fn print_report(report: &LoadReport) {
    let rows = [
        ("sent", report.sent),
        ("complete", report.complete),
        ("not-run", report.not_run),
        ("unknown", report.unknown),
        ("no answer", report.no_response),
        ("wrong answers", report.wrong),
        ("doubled runs", report.doubled),
        ("untrue not-run", report.false_not_run),
        ("untrue complete", report.false_complete),
    ];
    for (name, count) in rows {
        println!("{name:16} {count:>8}");
    }
    for (status, count) in &report.statuses {
        println!("status {status:<9} {count:>8}");
    }
}
