//! Checks the settings of the links between nodes.

use std::time::Duration;

use membership::MemberEntry;
use model::Findings;
use model::Place;
use node::Peering;
use node::Transport;

use crate::args::ServeArgs;

/// Shortest cluster secret, in bytes.
const SECRET_MIN_BYTES: usize = 16;
/// Heartbeats in one TTL, at least.
const HEARTBEATS_PER_TTL_MIN: u64 = 4;

/// Settings of the links; `None` for a node without peers, or with findings.
pub fn check(args: &ServeArgs, findings: &mut Findings) -> Option<Peering> {
    let Some(listen) = args.peer_listen else {
        if !args.peers.is_empty() {
            let hint = "give the address that the other nodes reach this one at";
            findings.push(Place::setting("--peer-listen"), "peers need an address", hint);
        }
        return None;
    };
    if listen.ip().is_unspecified() {
        let hint = "give the IP number that the other nodes reach this one at";
        findings.push(Place::setting("--peer-listen"), "the address names no host", hint);
    }
    let members = check_members(args, findings);
    let own = members.iter().find(|entry| *entry.node == *args.node_id);
    if own.is_none_or(|own| own.peer_address != listen) {
        let hint = format!("add `{}={listen}`", args.node_id);
        findings.push(Place::setting("--peers"), "this node is not among the peers", hint);
    }
    if args.node_count > 1 {
        let hint = "leave it out: the nodes of --peers share the limits";
        findings.push(Place::setting("--node-count"), "it contradicts --peers", hint);
    }
    let secret = args.cluster_secret.clone().unwrap_or_default();
    if secret.len() < SECRET_MIN_BYTES {
        let hint = format!("use at least {SECRET_MIN_BYTES} random characters");
        findings.push(Place::setting("SAVORYPITCH_CLUSTER_SECRET"), "it is too short", hint);
    }
    check_times(args, findings);
    Some(Peering {
        listen,
        members,
        cluster: args.cluster_id.clone(),
        secret,
        ttl: Duration::from_millis(args.member_ttl_ms),
        heartbeat_interval: Duration::from_millis(args.heartbeat_interval_ms),
        transport: Transport::Tcp,
    })
}

fn check_members(args: &ServeArgs, findings: &mut Findings) -> Vec<MemberEntry> {
    let mut members: Vec<MemberEntry> = Vec::new();
    for text in &args.peers {
        let parsed = text.split_once('=').and_then(|(node, address)| {
            Some(MemberEntry { node: node.into(), peer_address: address.parse().ok()? })
        });
        let Some(entry) = parsed.filter(|entry| !entry.node.is_empty()) else {
            let hint = "write each as name=IP:port, separated by commas";
            findings.push(Place::setting("--peers"), format!("`{text}` names no node"), hint);
            continue;
        };
        if members.iter().any(|held| held.node == entry.node) {
            let what = format!("`{}` stands twice", entry.node);
            findings.push(Place::setting("--peers"), what, "give each node once");
        }
        members.push(entry);
    }
    members
}

fn check_times(args: &ServeArgs, findings: &mut Findings) {
    if args.heartbeat_interval_ms == 0 {
        let place = Place::setting("--heartbeat-interval-ms");
        findings.push(place, "the interval is zero", "set a time of at least 1 ms");
    }
    if args.member_ttl_ms < args.heartbeat_interval_ms.saturating_mul(HEARTBEATS_PER_TTL_MIN) {
        let hint = format!("set at least {HEARTBEATS_PER_TTL_MIN} heartbeat intervals");
        findings.push(Place::setting("--member-ttl-ms"), "the time is too short", hint);
    }
}
