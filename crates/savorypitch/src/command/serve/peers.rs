//! Checks the settings for the connections between nodes.

use membership::MemberEntry;
use node::Peering;
use node::Transport;

use super::check::SettingsReader;
use crate::args::ServeArgs;
use crate::args::SettingValue;

/// Minimum length of the cluster secret, in bytes.
const SECRET_MIN_BYTES: usize = 16;
/// Minimum number of heartbeat intervals in the duration of a membership lease.
const HEARTBEATS_PER_TTL_MIN: u32 = 4;

/// Returns the settings for the connections; `None` if the node has no peer address. Problems are
/// reported to `reader`.
pub fn check_peering(args: &ServeArgs, reader: &mut SettingsReader) -> Option<Peering> {
    let listen = reader.read_optional_address("--peer-listen", args.peer_listen.as_ref());
    let Some(listen) = listen else {
        if !args.peers.is_empty() {
            let hint = "set the address at which the other nodes reach this node";
            reader.add_diagnostic("--peer-listen", "a node with peers needs an address", hint);
        }
        return None;
    };
    if listen.ip().is_unspecified() {
        let hint = "set the IP address at which the other nodes reach this node";
        reader.add_diagnostic("--peer-listen", "the address is unspecified", hint);
    }
    let members = parse_members(args, reader);
    let own_entry = members.iter().find(|entry| *entry.node == *args.node_id);
    if own_entry.is_none_or(|entry| entry.peer_address != listen) {
        let hint = format!("add `{}={listen}`", args.node_id);
        reader.add_diagnostic("--peers", "this node is not listed with its peer address", hint);
    }
    if args.node_count != SettingValue::Valid(1) {
        let hint = "leave it out: the number of nodes follows from --peers";
        reader.add_diagnostic("--node-count", "it cannot be combined with --peers", hint);
    }
    let secret = args.cluster_secret.clone().unwrap_or_default();
    if secret.len() < SECRET_MIN_BYTES {
        let hint = format!("use at least {SECRET_MIN_BYTES} random characters");
        reader.add_diagnostic("--cluster-secret", "the secret is too short", hint);
    }
    let heartbeat_interval =
        reader.read_duration("--heartbeat-interval-ms", &args.heartbeat_interval_ms, 1);
    let ttl = reader.read_duration("--member-ttl-ms", &args.member_ttl_ms, 1);
    if ttl < heartbeat_interval * HEARTBEATS_PER_TTL_MIN {
        let hint = format!("set at least {HEARTBEATS_PER_TTL_MIN} heartbeat intervals");
        reader.add_diagnostic("--member-ttl-ms", "the time is too short", hint);
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

fn parse_members(args: &ServeArgs, reader: &mut SettingsReader) -> Vec<MemberEntry> {
    let mut members: Vec<MemberEntry> = Vec::new();
    for text in &args.peers {
        let parsed = text.split_once('=').and_then(|(node, address)| {
            Some(MemberEntry { node: node.into(), peer_address: address.parse().ok()? })
        });
        let Some(entry) = parsed.filter(|entry| !entry.node.is_empty()) else {
            let hint = "write each as name=IP:port, separated by commas";
            reader.add_diagnostic("--peers", format!("`{text}` is not a valid peer"), hint);
            continue;
        };
        if members.iter().any(|other| other.node == entry.node) {
            let message = format!("`{}` is listed twice", entry.node);
            reader.add_diagnostic("--peers", message, "list each node once");
        }
        members.push(entry);
    }
    members
}
