//! What the platform provides before the nodes start: registrations, configuration and settings.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::json;

use crate::HOSTS_PER_SHARD;
use crate::KEY;
use crate::node::CALLER_PORT;
use crate::node::Node;
use crate::node::PEER_PORT;
use crate::node::READY_PORT;
use crate::table::TableStandin;
use crate::workers::CAPACITY_MILLIS;
use crate::workers::EVACUATION_BOUND_MS;
use crate::workers::QUOTA_MILLIS;
use crate::workers::WorkerStandins;
use crate::workers::worker_id;
use crate::workers::worker_zone;

pub fn register_worker(
    table: &TableStandin,
    workers: &WorkerStandins,
    index: usize,
    address: SocketAddr,
) {
    let registration = json!({
        "service": "p", "address": address, "zone": worker_zone(index), "state": "ready", "labels": ["a"],
        "capacity": { "cpu": CAPACITY_MILLIS, "memMb": 10_000 }, "born": workers.incarnation_started_ms(index),
        "machine": format!("h-{index}"),
    });
    table.put("servers", &worker_id(index), &registration);
}

/// Returns a configuration with one route for each host name under which callers reach a node, and one
/// for their links.
pub fn build_config(nodes: &[Node]) -> serde_json::Value {
    let route = |node: &Node| {
        json!({ "name": format!("q-{}", node.ip), "host": node.ip, "pathPrefix": "/q/", "service": "p",
            "attempts": 3, "stretch": 1.6, "targetLatencyMs": 600 })
    };
    let mut routes: Vec<serde_json::Value> = nodes.iter().map(route).collect();
    routes
        .push(json!({ "name": "q-links", "host": "127.0.0.1", "pathPrefix": "/q/", "service": "p",
        "attempts": 3, "stretch": 1.6, "targetLatencyMs": 600 }));
    json!({
        "version": 1,
        "routes": routes,
        "services": [{ "name": "p" }],
        "tenants": [{ "name": "t", "apiKeys": [KEY], "weight": 1, "upperBound": { "cpu": QUOTA_MILLIS } }],
        "limits": { "maxBodyBytes": 100_000 },
    })
}

pub fn write_settings(seed: u64, index: usize, ip: IpAddr, table: SocketAddr) -> PathBuf {
    let text = json!({
        "node": format!("n{index}"), "ip": ip, "zone": "a",
        "listen": { "front": SocketAddr::new(ip, CALLER_PORT), "ready": SocketAddr::new(ip, READY_PORT) },
        "portRange": [PEER_PORT, PEER_PORT + 1],
        "platform": { "address": table }, "cloud": { "address": table }, "hostsPerShard": HOSTS_PER_SHARD,
        "bounds": { "evacMs": EVACUATION_BOUND_MS },
    });
    let name = format!("savorypitch-soak-{}-{seed}-{index}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text.to_string()).unwrap();
    path
}
