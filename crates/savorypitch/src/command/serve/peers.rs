//! Checks the settings of the links between nodes.

use membership::MemberEntry;
use node::Peering;
use node::Transport;

use super::check::Reader;
use crate::args::Given;
use crate::args::ServeArgs;

/// Shortest cluster secret, in bytes.
const SECRET_MIN_BYTES: usize = 16;
/// Heartbeats in one TTL, at least.
const HEARTBEATS_PER_TTL_MIN: u32 = 4;

/// Settings of the links; `None` for a node without peers, or with findings.
pub fn check(args: &ServeArgs, reader: &mut Reader) -> Option<Peering> {
    let listen = reader.optional_address("--peer-listen", args.peer_listen.as_ref());
    let Some(listen) = listen else {
        if !args.peers.is_empty() {
            let hint = "give the address that the other nodes reach this one at";
            reader.find("--peer-listen", "peers need an address", hint);
        }
        return None;
    };
    if listen.ip().is_unspecified() {
        let hint = "give the IP number that the other nodes reach this one at";
        reader.find("--peer-listen", "the address names no host", hint);
    }
    let members = check_members(args, reader);
    let own = members.iter().find(|entry| *entry.node == *args.node_id);
    if own.is_none_or(|own| own.peer_address != listen) {
        let hint = format!("add `{}={listen}`", args.node_id);
        reader.find("--peers", "this node is not among the peers", hint);
    }
    if args.node_count != Given::Valid(1) {
        let hint = "leave it out: the nodes of --peers share the limits";
        reader.find("--node-count", "it contradicts --peers", hint);
    }
    let secret = args.cluster_secret.clone().unwrap_or_default();
    if secret.len() < SECRET_MIN_BYTES {
        let hint = format!("use at least {SECRET_MIN_BYTES} random characters");
        reader.find("--cluster-secret", "it is too short", hint);
    }
    let heartbeat_interval = reader.time("--heartbeat-interval-ms", &args.heartbeat_interval_ms, 1);
    let ttl = reader.time("--member-ttl-ms", &args.member_ttl_ms, 1);
    if ttl < heartbeat_interval * HEARTBEATS_PER_TTL_MIN {
        let hint = format!("set at least {HEARTBEATS_PER_TTL_MIN} heartbeat intervals");
        reader.find("--member-ttl-ms", "the time is too short", hint);
    }
    Some(Peering {
        listen,
        members,
        cluster: args.cluster_id.clone(),
        secret,
        ttl,
        heartbeat_interval,
        transport: Transport::Tcp,
    })
}

fn check_members(args: &ServeArgs, reader: &mut Reader) -> Vec<MemberEntry> {
    let mut members: Vec<MemberEntry> = Vec::new();
    for text in &args.peers {
        let parsed = text.split_once('=').and_then(|(node, address)| {
            Some(MemberEntry { node: node.into(), peer_address: address.parse().ok()? })
        });
        let Some(entry) = parsed.filter(|entry| !entry.node.is_empty()) else {
            let hint = "write each as name=IP:port, separated by commas";
            reader.find("--peers", format!("`{text}` names no node"), hint);
            continue;
        };
        if members.iter().any(|held| held.node == entry.node) {
            let what = format!("`{}` stands twice", entry.node);
            reader.find("--peers", what, "give each node once");
        }
        members.push(entry);
    }
    members
}
