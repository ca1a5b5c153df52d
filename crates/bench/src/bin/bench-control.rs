//! Measures the costs of the membership at several numbers of nodes, with members over real links
//! on loopback.
//!
//! Prints the sent bytes, processor time and memory of each node, and the time from the stop of a
//! node until its takeover is allowed. Then measures, in virtual time, the loss of availability in
//! an outage of the table, with quorum leases and with table leases alone. `--json` prints one line
//! for each measurement: series, size and value.

use std::time::Duration;

use bench::live_fleet::LiveFleet;
use bench::sample::Sample;
use bench::usage::cpu_time;
use bench::usage::resident_bytes;
use bench::virtual_fleet::TTL;
use bench::virtual_fleet::VirtualFleet;
use clap::Parser;

/// Length of the outage of the table, in virtual time.
const OUTAGE: Duration = Duration::from_secs(30 * 60);
/// Time for the links to connect.
const WARM_UP: Duration = Duration::from_secs(2);
/// Number of nodes in virtual time.
const VIRTUAL_NODES: usize = 8;

/// Measures the costs of the membership.
#[derive(Parser)]
struct Args {
    /// Numbers of nodes to measure.
    #[arg(long, value_delimiter = ',', default_value = "3,8,16,32,64")]
    sizes: Vec<usize>,
    /// Duration of each measurement, in milliseconds.
    #[arg(long, default_value_t = 4_000)]
    window_ms: u64,
    /// Print JSON lines.
    #[arg(long)]
    json: bool,
}

/// Name of this process below `/proc`.
const SELF: &str = "self";

fn main() {
    let args = Args::parse();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return eprintln!("cannot start the runtime: {error}"),
    };
    for size in &args.sizes {
        let window = Duration::from_millis(args.window_ms);
        for sample in runtime.block_on(measure(*size, window)) {
            sample.print(args.json);
        }
    }
    for sample in measure_outage() {
        sample.print(args.json);
    }
}

async fn measure(size: usize, window: Duration) -> Vec<Sample> {
    let memory_before = resident_bytes(SELF);
    let mut fleet = match LiveFleet::start(size) {
        Ok(fleet) => fleet,
        Err(error) => {
            eprintln!("cannot measure {size} nodes: {error}");
            return Vec::new();
        }
    };
    tokio::time::sleep(WARM_UP).await;
    let (sent_before, cpu_before) = (fleet.sent_bytes(), cpu_time(SELF));
    let acting = fleet.count_acting();
    tokio::time::sleep(window).await;
    let node_seconds = size as f64 * window.as_secs_f64();
    let sent_bytes = (fleet.sent_bytes() - sent_before) as f64 / node_seconds;
    let cpu_us = (cpu_time(SELF) - cpu_before).as_micros() as f64 / node_seconds;
    let memory = resident_bytes(SELF).saturating_sub(memory_before);
    let takeover = fleet.fail_and_await_takeover(0).await;
    let sample = |series, value| Sample::new(series, size as f64, value);
    let mut samples = vec![
        sample("membership-acting-nodes", acting as f64),
        sample("membership-sent-bytes", sent_bytes),
        sample("membership-cpu-us", cpu_us),
        sample("membership-held-bytes", memory as f64 / size as f64),
    ];
    if let Some(takeover) = takeover {
        samples.push(sample("membership-take-over-ms", takeover.as_millis() as f64));
    }
    fleet.stop().await;
    samples
}

/// Measures the percentage of the node time in an outage of the table in which nodes may not act:
/// with all leases, and with table leases alone.
fn measure_outage() -> Vec<Sample> {
    let mut fleet = VirtualFleet::new(VIRTUAL_NODES, 1);
    fleet.loss_percent = 1;
    let warm_up_end = fleet.now + TTL;
    while fleet.now < warm_up_end {
        fleet.tick();
    }
    fleet.is_table_up = false;
    let outage_end = fleet.now + OUTAGE;
    let (mut node_ticks, mut acting_ticks, mut table_lease_ticks) = (0, 0, 0);
    while fleet.now < outage_end {
        fleet.tick();
        node_ticks += VIRTUAL_NODES;
        acting_ticks += fleet.count_acting();
        table_lease_ticks += fleet.count_with_table_lease();
    }
    let lost_percent = |kept: usize| 100.0 * (node_ticks - kept) as f64 / node_ticks as f64;
    let sample = |series, value| Sample::new(series, VIRTUAL_NODES as f64, value);
    vec![
        sample("outage-lost-percent", lost_percent(acting_ticks)),
        sample("outage-lost-table-leases-percent", lost_percent(table_lease_ticks)),
    ]
}
