//! Measures the time until a configuration change is active at all nodes, with polls alone and with
//! heartbeats that announce new versions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bench::sample::Sample;
use clap::Parser;
use control::ConfigWriter;
use gateway::GatewaySettings;
use membership::MemberEntry;
use model::contract::parse_contract;
use node::Node;
use node::Peering;
use node::Platform;
use node::Settings;
use node::Transport;
use services::MemoryTable;
use services::Table;
use wire::MemoryNetwork;

/// Time between two checks of the active versions.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Maximum time to wait for one change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(500);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const TTL: Duration = Duration::from_secs(4);

/// Measures the time until a configuration change is active at all nodes.
#[derive(Parser)]
struct Args {
    /// Number of nodes.
    #[arg(long, default_value_t = 8)]
    nodes: usize,
    /// Number of changes for each method.
    #[arg(long, default_value_t = 30)]
    changes: usize,
    /// Print JSON lines.
    #[arg(long)]
    json: bool,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args = Args::parse();
    let runtime = tokio::runtime::Runtime::new()?;
    for (method, has_peers) in [("polls", false), ("heartbeats", true)] {
        let mut times = runtime.block_on(measure(&args, has_peers))?;
        times.sort();
        for (name, quantile) in [("p50", 0.50), ("p99", 0.99)] {
            let index = ((times.len() - 1) as f64 * quantile).round() as usize;
            let value_ms = times[index].as_secs_f64() * 1_000.0;
            let series = format!("rollout-{method}-{name}-ms");
            Sample::new(&series, args.nodes as f64, value_ms).print(args.json);
        }
    }
    Ok(())
}

async fn measure(
    args: &Args,
    has_peers: bool,
) -> Result<Vec<Duration>, Box<dyn std::error::Error>> {
    let table = Arc::new(MemoryTable::default());
    let network = MemoryNetwork::default();
    let mut nodes = Vec::new();
    for index in 0..args.nodes {
        let peering = has_peers.then(|| peering(args.nodes, index, &network));
        let platform = Platform { table: table.clone(), ..Platform::embedded() };
        nodes.push(Node::start(settings(index, peering), platform).await?);
    }
    tokio::time::sleep(TTL / 2).await;
    let writer = ConfigWriter::new("bench");
    let contract = parse_contract("levy.toml", "customer = \"levy\"\nprofile = \"share\"\n")
        .map_err(|_| "the contract is invalid")?;
    let mut times = Vec::new();
    for _ in 0..args.changes {
        // Makes the change at a random time relative to the polls.
        tokio::time::sleep(POLL_INTERVAL.mul_f64(rand::random_range(1.0..3.0))).await;
        let table: &dyn Table = &*table;
        let version = writer.apply_contract(table, contract.clone(), None).await?;
        let accepted_at = Instant::now();
        // At the node that accepts a change, it is active before it is at the others.
        nodes[0].poll_config().await;
        while nodes.iter().any(|node| node.config_version() < version)
            && accepted_at.elapsed() < CHANGE_TIMEOUT
        {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        times.push(accepted_at.elapsed());
    }
    for node in nodes {
        node.fail().await;
    }
    Ok(times)
}

fn peering(count: usize, index: usize, network: &MemoryNetwork) -> Peering {
    let address = |index: usize| SocketAddr::from(([10, 0, 0, index as u8], 7_802));
    let entry = |index| MemberEntry { node: name(index), peer_address: address(index) };
    Peering {
        listen: address(index),
        members: (0..count).map(entry).collect(),
        cluster: "bench".to_owned(),
        secret: "secret of the bench".to_owned(),
        ttl: TTL,
        heartbeat_interval: HEARTBEAT_INTERVAL,
        transport: Transport::Memory(network.clone()),
    }
}

fn name(index: usize) -> model::NodeId {
    format!("n{index:03}").into()
}

fn settings(index: usize, peering: Option<Peering>) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        node: name(index),
        zone: "a".into(),
        caller_address: any,
        admin_address: any,
        operator_key_hash: None,
        peering,
        node_count: 1,
        poll_interval: POLL_INTERVAL,
        metrics_address: None,
        gateway: GatewaySettings::default(),
    }
}
