//! Measures the path of a request through one node, beside a direct connection to the same backend
//! servers.
//!
//! The node, the backend servers and the callers run in one process on separate runtimes, whose
//! threads carry their names; processor time and heap are counted by thread, so that those of the
//! node stand alone. They talk over loopback only.

mod heap;
mod load;
mod setup;
mod threads;

use std::time::Duration;

use clap::Parser;

use crate::load::Run;
use crate::setup::Bench;

#[global_allocator]
static ALLOCATOR: heap::CountingAllocator = heap::CountingAllocator;

/// Body of the memory measurement, in bytes.
const LARGE_BODY_BYTES: u64 = 1 << 30;
/// Open connections of the memory measurement.
const OPEN_CONNECTIONS: usize = 1_000;

/// Latency, requests per core, memory and allocations of the path through one node.
#[derive(Parser)]
struct Args {
    /// Rounds; the medians of all rounds are printed.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// Time of each part of a round, in seconds.
    #[arg(long, default_value_t = 2.0)]
    seconds: f64,
    /// Callers at once, each on a connection of its own.
    #[arg(long, default_value_t = 32)]
    callers: usize,
    /// Worker threads of the node.
    #[arg(long, default_value_t = 2)]
    node_threads: usize,
    /// Leaves out the body of 1 GiB.
    #[arg(long)]
    no_large_body: bool,
}

/// What one round measured.
struct Round {
    saturated: Run,
    direct: Run,
    through: Run,
}

fn main() {
    let args = Args::parse();
    let bench = Bench::start(args.node_threads);
    let length = Duration::from_secs_f64(args.seconds);
    let rounds: Vec<Round> =
        (0..args.rounds.max(1)).map(|_| round(&bench, args.callers, length)).collect();
    print_rounds(&rounds);
    let open = bench.heap_with_open_connections(OPEN_CONNECTIONS);
    println!("heap with {OPEN_CONNECTIONS} open connections: {open} bytes more");
    if !args.no_large_body {
        let peak = bench.heap_peak_with_body(LARGE_BODY_BYTES);
        println!("heap peak while {LARGE_BODY_BYTES} bytes go both ways: {peak} bytes more");
    }
}

fn round(bench: &Bench, callers: usize, length: Duration) -> Round {
    let saturated = bench.run(bench.node_address, callers, length, None);
    let half_per_s = saturated.per_s() / 2.0;
    let direct = bench.run(bench.backend_address, callers, length, Some(half_per_s));
    let through = bench.run(bench.node_address, callers, length, Some(half_per_s));
    Round { saturated, direct, through }
}

fn print_rounds(rounds: &[Round]) {
    let show = |name: &str, unit: &str, value: &dyn Fn(&Round) -> f64| {
        let mut values: Vec<f64> = rounds.iter().map(value).collect();
        values.sort_by(f64::total_cmp);
        let median = values[values.len() / 2];
        println!("{name}: {median:.3} {unit} (of {values:.3?})");
    };
    show("requests at saturation", "a second", &|r| r.saturated.per_s());
    show("requests per core of the node", "a second", &|r| r.saturated.per_core_s());
    show("allocations per request", "", &|r| r.saturated.allocations_per_request());
    show("rate of the latency runs", "a second", &|r| r.through.per_s());
    show("direct p50", "ms", &|r| r.direct.quantile_ms(0.5));
    show("direct p99", "ms", &|r| r.direct.quantile_ms(0.99));
    show("added p50", "ms", &|r| r.through.quantile_ms(0.5) - r.direct.quantile_ms(0.5));
    show("added p99", "ms", &|r| r.through.quantile_ms(0.99) - r.direct.quantile_ms(0.99));
    show("failed requests", "", &|r| {
        (r.saturated.failed + r.direct.failed + r.through.failed) as f64
    });
}
