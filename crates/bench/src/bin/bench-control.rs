//! Measures what the membership costs: members over real links on loopback, at several sizes.
//!
//! Prints the bytes, processor time and memory of a node, and the time from a node's end to the
//! take-over; then, in virtual time, what an outage of the table costs with and without the
//! majority's proof. With `--json`, one line a figure: series, size and value.

use std::time::Duration;

use bench::live_fleet::LiveFleet;
use bench::sample::Sample;
use bench::usage::cpu_time;
use bench::usage::resident_bytes;
use bench::virtual_fleet::TTL;
use bench::virtual_fleet::VirtualFleet;
use clap::Parser;

/// Outage of the table in virtual time.
const OUTAGE: Duration = Duration::from_secs(30 * 60);
/// Time that links have to come up.
const WARM_UP: Duration = Duration::from_secs(2);
/// Nodes in virtual time.
const VIRTUAL_NODES: usize = 8;

/// Measures what the membership costs.
#[derive(Parser)]
struct Args {
    /// Numbers of nodes.
    #[arg(long, value_delimiter = ',', default_value = "3,8,16,32,64")]
    sizes: Vec<usize>,
    /// Time of each measurement, in milliseconds.
    #[arg(long, default_value_t = 4_000)]
    window_ms: u64,
    /// Print JSON lines.
    #[arg(long)]
    json: bool,
}

/// This process, below `/proc`.
const SELF: &str = "self";

fn main() {
    let args = Args::parse();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return eprintln!("no event loop: {error}"),
    };
    for size in &args.sizes {
        let window = Duration::from_millis(args.window_ms);
        for sample in runtime.block_on(measure(*size, window)) {
            sample.print(args.json);
        }
    }
    for sample in outage() {
        sample.print(args.json);
    }
}

async fn measure(size: usize, window: Duration) -> Vec<Sample> {
    let memory_before = resident_bytes(SELF);
    let mut fleet = match LiveFleet::start(size) {
        Ok(fleet) => fleet,
        Err(error) => {
            eprintln!("{size} nodes not run: {error}");
            return Vec::new();
        }
    };
    tokio::time::sleep(WARM_UP).await;
    let (bytes, cpu) = (fleet.sent_bytes(), cpu_time(SELF));
    let acting = fleet.count_acting();
    tokio::time::sleep(window).await;
    let per_node_second = size as f64 * window.as_secs_f64();
    let sent_bytes = (fleet.sent_bytes() - bytes) as f64 / per_node_second;
    let cpu_us = (cpu_time(SELF) - cpu).as_micros() as f64 / per_node_second;
    let memory = resident_bytes(SELF).saturating_sub(memory_before);
    let taken = fleet.fail_and_await_takeover(0).await;
    let figure = |series, value| Sample::new(series, size as f64, value);
    let mut figures = vec![
        figure("membership-acting-nodes", acting as f64),
        figure("membership-sent-bytes", sent_bytes),
        figure("membership-cpu-us", cpu_us),
        figure("membership-held-bytes", memory as f64 / size as f64),
    ];
    if let Some(taken) = taken {
        figures.push(figure("membership-take-over-ms", taken.as_millis() as f64));
    }
    fleet.stop().await;
    figures
}

/// Share of node time without admission while the table is down, in percent.
fn outage() -> Vec<Sample> {
    let mut fleet = VirtualFleet::new(VIRTUAL_NODES, 1);
    fleet.loss_percent = 1;
    let warmed_up = fleet.now + TTL;
    while fleet.now < warmed_up {
        fleet.tick();
    }
    fleet.is_table_up = false;
    let ends = fleet.now + OUTAGE;
    let (mut ticks, mut acting, mut by_table) = (0, 0, 0);
    while fleet.now < ends {
        fleet.tick();
        ticks += VIRTUAL_NODES;
        acting += fleet.count_acting();
        by_table += fleet.count_with_table_lease();
    }
    let lost = |kept: usize| 100.0 * (ticks - kept) as f64 / ticks as f64;
    let figure = |series, value| Sample::new(series, VIRTUAL_NODES as f64, value);
    vec![
        figure("outage-lost-percent", lost(acting)),
        figure("outage-lost-table-leases-percent", lost(by_table)),
    ]
}
