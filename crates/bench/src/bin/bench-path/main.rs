//! Measures the path of a request through one node, and compares it with a direct connection to a
//! backend server.
//!
//! The node, the backend servers and the callers run in one process and communicate over loopback.
//! Each has its own runtime with named threads. Processor time and heap are counted by thread, so
//! that the node is measured alone.

mod heap;
mod load;
mod setup;
mod threads;

use std::time::Duration;

use clap::Parser;

use crate::load::RunResult;
use crate::setup::Bench;

#[global_allocator]
static ALLOCATOR: heap::CountingAllocator = heap::CountingAllocator;

/// Size of the body of the memory measurement, in bytes.
const LARGE_BODY_BYTES: u64 = 1 << 30;
/// Number of open connections of the memory measurement.
const OPEN_CONNECTIONS: usize = 1_000;

/// Measures latency, requests per core, memory and allocations of the path through one node.
#[derive(Parser)]
struct Args {
    /// Number of rounds; the medians over all rounds are printed.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// Duration of each of the three runs of a round, in seconds.
    #[arg(long, default_value_t = 2.0)]
    seconds: f64,
    /// Number of concurrent callers, with one connection each.
    #[arg(long, default_value_t = 32)]
    callers: usize,
    /// Number of worker threads of the node.
    #[arg(long, default_value_t = 2)]
    node_threads: usize,
    /// Skip the measurement with a body of 1 GiB.
    #[arg(long)]
    no_large_body: bool,
}

/// Results of one round.
struct Round {
    /// Through the node, as fast as possible.
    saturated: RunResult,
    /// Directly to a backend server, at half the rate of `saturated`.
    direct: RunResult,
    /// Through the node, at half the rate of `saturated`.
    through: RunResult,
}

fn main() {
    let args = Args::parse();
    let bench = Bench::start(args.node_threads);
    let duration = Duration::from_secs_f64(args.seconds);
    let rounds: Vec<Round> =
        (0..args.rounds.max(1)).map(|_| run_round(&bench, args.callers, duration)).collect();
    print_rounds(&rounds);
    let open_bytes = bench.heap_with_open_connections(OPEN_CONNECTIONS);
    println!("heap with {OPEN_CONNECTIONS} open connections: {open_bytes} bytes more");
    if !args.no_large_body {
        let peak_bytes = bench.heap_peak_with_body(LARGE_BODY_BYTES);
        println!("heap peak while {LARGE_BODY_BYTES} bytes go both ways: {peak_bytes} bytes more");
    }
}

fn run_round(bench: &Bench, callers: usize, duration: Duration) -> Round {
    let saturated = bench.run(bench.node_address, callers, duration, None);
    let half_per_s = saturated.requests_per_s() / 2.0;
    let direct = bench.run(bench.backend_address, callers, duration, Some(half_per_s));
    let through = bench.run(bench.node_address, callers, duration, Some(half_per_s));
    Round { saturated, direct, through }
}

fn print_rounds(rounds: &[Round]) {
    let print_median = |name: &str, unit: &str, value: &dyn Fn(&Round) -> f64| {
        let mut values: Vec<f64> = rounds.iter().map(value).collect();
        values.sort_by(f64::total_cmp);
        let median = values[values.len() / 2];
        println!("{name}: {median:.3} {unit} (of {values:.3?})");
    };
    print_median("requests at saturation", "a second", &|r| r.saturated.requests_per_s());
    print_median("requests per core of the node", "a second", &|r| {
        r.saturated.requests_per_core_s()
    });
    print_median("allocations per request", "", &|r| r.saturated.allocations_per_request());
    print_median("rate of the latency runs", "a second", &|r| r.through.requests_per_s());
    print_median("direct p50", "ms", &|r| r.direct.quantile_ms(0.5));
    print_median("direct p99", "ms", &|r| r.direct.quantile_ms(0.99));
    print_median("added p50", "ms", &|r| r.through.quantile_ms(0.5) - r.direct.quantile_ms(0.5));
    print_median("added p99", "ms", &|r| r.through.quantile_ms(0.99) - r.direct.quantile_ms(0.99));
    print_median("failed requests", "", &|r| {
        (r.saturated.failed + r.direct.failed + r.through.failed) as f64
    });
}
