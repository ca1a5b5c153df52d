//! Runs a bounded load of callers, or a single check, for demos.

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
use standin::load::Plan;
use standin::load::Report;
use standin::load::TeamKey;
use standin::load::run;
use standin::load::seen_at;

/// Callers, for tests and demos.
#[derive(Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Send a load, check every answer against the runs, and exit 0 only if the counts hold.
    Run {
        /// Caller address of a node; may be given several times.
        #[arg(long, required = true)]
        node: Vec<SocketAddr>,
        /// Contract; may be given several times.
        #[arg(long, required = true)]
        contract: Vec<PathBuf>,
        /// File with a line `customer/team secret` for each key.
        #[arg(long)]
        keys: PathBuf,
        /// Requests.
        #[arg(long, default_value_t = 4_000)]
        requests: u64,
        /// Time over which they start, in milliseconds.
        #[arg(long, default_value_t = 20_000)]
        duration_ms: u64,
        /// Longest work of a request, in milliseconds.
        #[arg(long, default_value_t = 200)]
        work_max_ms: u64,
        /// Seed of all choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Send one request, print its status and outcome.
    Once {
        /// Caller address of a node.
        #[arg(long)]
        node: SocketAddr,
        /// Path, as in `/q/levy-validate/x`.
        #[arg(long)]
        path: String,
        /// Key.
        #[arg(long, default_value = "")]
        key: String,
        /// Print the body instead.
        #[arg(long)]
        print_body: bool,
    },
    /// Print how many jobs a backend server has run.
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
            let plan = Plan {
                nodes: node,
                contracts: contract.iter().map(read_contract).collect(),
                keys: read_keys(&keys),
                requests,
                duration: Duration::from_millis(duration_ms),
                work_max_ms,
                seed,
            };
            let report = run(plan).await;
            print_report(&report);
            if report.holds() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Command::Once { node, path, key, print_body } => {
            let authorization = format!("Bearer {key}");
            let headers = [("authorization", &*authorization)];
            match call(node, Method::GET, &path, &headers, "").await {
                Ok(answer) if print_body => {
                    println!("{}", String::from_utf8_lossy(&answer.body));
                }
                Ok(answer) => println!("{} {}", answer.status.as_u16(), answer.outcome()),
                Err(error) => println!("no answer: {error}"),
            }
            ExitCode::SUCCESS
        }
        Command::Runs { backend } => {
            let runs = seen_at(backend).await.map_or(0, |seen| seen.runs.len());
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

fn print_report(report: &Report) {
    let rows = [
        ("sent", report.sent),
        ("complete", report.complete),
        ("not-run", report.not_run),
        ("unknown", report.unknown),
        ("no answer", report.no_answer),
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
