//! Measures the costs of the configuration at a node by number of hosts.
//!
//! The numbers of teams and pools grow with the number of hosts in the proportions of the target
//! fleet: 520 teams and 187 pools at 1,600 hosts.

use std::hint::black_box;
use std::time::Instant;

use bench::sample::Sample;
use bench::usage::resident_bytes;
use clap::Parser;
use duties::Holder;
use duties::decide;
use model::Change;
use model::Config;
use model::ConfigRow;
use model::Contract;
use model::HostRow;
use model::NodeId;
use model::TeamRef;
use model::contract::Access;
use model::contract::Pool;
use model::contract::Profile;
use model::contract::Queue;
use model::contract::Service;
use model::contract::Team;
use model::host::HostSpec;
use model::key::KeyHolder;
use model::key::grant_key;

/// Numbers of hosts of the measured fleets.
const SIZES: [u32; 5] = [100, 200, 400, 800, 1_600];
/// Number of samples of each measurement.
const RUNS: usize = 5;
/// Number of repeats whose mean is one sample.
const REPEATS: u32 = 200;
/// Number of copies over which the memory of a configuration is averaged.
const COPIES: usize = 16;
/// Number of nodes over which the duties are distributed.
const NODES: u32 = 64;

/// Measures the costs of the configuration at a node.
#[derive(Parser)]
struct Args {
    /// Print JSON lines.
    #[arg(long)]
    json: bool,
}

fn main() {
    let args = Args::parse();
    for hosts in SIZES {
        let (config, secret) = fleet_config(hosts);
        for _ in 0..RUNS {
            for sample in measure(hosts, &config, &secret) {
                sample.print(args.json);
            }
        }
    }
}

fn measure(hosts: u32, config: &Config, secret: &str) -> Vec<Sample> {
    let queue = config.contracts[0].queues[0].name.clone();
    let host = ConfigRow::Host(config.hosts[0].clone());
    let admit_us = mean_us(|| {
        black_box(routing::admit(config, &queue, Some(secret)).is_ok());
    });
    let change_us = mean_us(|| {
        let change = Change {
            version: config.version + 1,
            rows: vec![host.clone()],
            author: String::new(),
            operation_id: None,
            digest: None,
        };
        let next = config.with_change(change);
        black_box(next.map(|next| next.digest()).is_ok());
    });
    let live: Vec<NodeId> = (0..NODES).map(|node| format!("node-{node}").into()).collect();
    let this_holder = Holder { node: live[0].clone(), incarnation: 1 };
    let pools = config.contracts.iter().flat_map(|contract| &contract.pools);
    let names: Vec<String> = pools.map(|pool| format!("maintenance/{}", pool.name)).collect();
    let duties_us = mean_us(|| {
        for name in &names {
            black_box(decide(name, None, &this_holder, &live, |_| false));
        }
    });
    let rows_bytes: usize =
        config.rows().iter().map(|row| serde_json::to_vec(row).map_or(0, |v| v.len())).sum();
    let before_bytes = resident_bytes("self");
    let copies: Vec<Config> =
        (0..COPIES).map(|_| Config::from_rows(config.version, deep_copy(config))).collect();
    let held_bytes = resident_bytes("self").saturating_sub(before_bytes) / COPIES as u64;
    black_box(copies.len());
    vec![
        Sample::new("config-admit-us", hosts, admit_us),
        Sample::new("config-change-us", hosts, change_us),
        Sample::new("config-duties-us", hosts, duties_us),
        Sample::new("config-rows-bytes", hosts, rows_bytes as f64),
        Sample::new("config-held-bytes", hosts, held_bytes as f64),
    ]
}

/// Returns the rows of `config` as copies that share no memory with it.
fn deep_copy(config: &Config) -> Vec<ConfigRow> {
    let text = serde_json::to_vec(&config.rows()).unwrap_or_default();
    serde_json::from_slice(&text).unwrap_or_default()
}

/// Returns the mean time of an operation, in microseconds.
fn mean_us(mut operation: impl FnMut()) -> f64 {
    let started = Instant::now();
    for _ in 0..REPEATS {
        operation();
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS)
}

/// Returns the configuration of a fleet with `hosts` hosts, and the secret of a key that may use
/// its first queue.
fn fleet_config(hosts: u32) -> (Config, String) {
    let teams = (hosts * 520 / 1_600).max(1);
    let pools = (hosts * 187 / 1_600).max(1);
    let contract = Contract {
        customer: "customer".into(),
        profile: Profile::Share,
        services: (0..pools)
            .map(|n| Service { name: format!("service-{n:04}").into(), unavailable_max: 3 })
            .collect(),
        queues: (0..pools)
            .map(|n| Queue {
                name: format!("queue-{n:04}").into(),
                service: format!("service-{n:04}").into(),
                access: Access::Teams(vec!["team-0000".into()]),
                open_team: None,
                waiting_max: 100,
                wait_max_ms: 1_000,
            })
            .collect(),
        teams: (0..teams)
            .map(|n| Team {
                name: format!("team-{n:04}").into(),
                share_weight: 1,
                running_max: 100,
            })
            .collect(),
        pools: (0..pools)
            .map(|n| Pool {
                name: format!("pool-{n:04}").into(),
                service: Some(format!("service-{n:04}").into()),
            })
            .collect(),
        hosts: (0..hosts).map(|n| host_spec(n, pools)).collect(),
    };
    let mut rows: Vec<ConfigRow> = contract
        .hosts
        .iter()
        .map(|spec| ConfigRow::Host(HostRow::new("customer".into(), spec.clone())))
        .collect();
    let mut first_secret = String::new();
    for n in (0..teams).rev() {
        let team = TeamRef::new("customer", format!("team-{n:04}"));
        let (secret, key) = grant_key(KeyHolder::Team(team));
        rows.push(ConfigRow::Key(key));
        first_secret = secret;
    }
    rows.push(ConfigRow::Contract(contract));
    (Config::from_rows(1, rows), first_secret)
}

fn host_spec(number: u32, pools: u32) -> HostSpec {
    HostSpec {
        id: format!("host-{number:05}").into(),
        pool: format!("pool-{:04}", number % pools).into(),
        address: std::net::SocketAddr::from(([10, 0, 0, 1], 8_080)),
        zone: format!("zone-{}", number % 17).into(),
        rack: format!("rack-{}", number / 4).into(),
        slots: 8,
        connections_max: 64,
        processors: 16,
        memory_mib: 32_768,
        accelerators: 1,
    }
}
