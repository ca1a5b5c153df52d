//! Failure detector: records contact with the peers and reports which of them are silent. Safety
//! does not depend on it: a node that is wrongly suspected loses its incarnation, but no two nodes
//! ever act on the same resource.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use model::ConfigVersion;
use model::Incarnation;
use model::NodeId;
use wire::Heartbeat;
use wire::LimitCounts;
use wire::Presence;

use crate::counts::merge;
use crate::list::ListVersion;
use crate::list::MemberList;
use crate::row::MemberRow;

/// State of one peer, as this node knows it.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Name of the peer.
    pub node: NodeId,
    /// Latest incarnation known from messages or from the table; 0 if none is known.
    pub incarnation: Incarnation,
    /// When the last message of any kind arrived, or when the peer joined the member list.
    pub last_contact_at: Instant,
    /// True once a message has arrived; false again after the peer has left.
    pub has_contact: bool,
    /// When a reply last arrived, or when the link was last dialled.
    pub last_reply_at: Instant,
    /// True if a reply has arrived since the link was last dialled.
    pub has_replied: bool,
    /// Version of the peer's member list, as last reported; 0 before the first heartbeat.
    pub list_version: ListVersion,
    /// Version of the peer's active configuration, as last reported; 0 before the first message.
    pub config_version: ConfigVersion,
    /// Availability zone and addresses; `None` until a heartbeat or a table row has reported them.
    pub location: Option<NodeLocation>,
    /// Running, queued and spare counts by limit, as last reported, sorted by key.
    pub counts: Vec<LimitCounts>,
    /// Positions in the peer's member list of the nodes that are silent for the peer.
    silent: Vec<u32>,
}

/// A link without replies, which has to be redialled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SilentLink {
    /// Node at the other end of the link.
    pub peer: NodeId,
    /// True if a reply had arrived since the link was last dialled.
    pub has_replied: bool,
}

/// Availability zone and addresses of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeLocation {
    /// Availability zone of the node's host.
    pub zone: model::ZoneId,
    /// Address that serves callers.
    pub caller_address: SocketAddr,
    /// Address that serves operators.
    pub admin_address: SocketAddr,
}

impl NodeLocation {
    /// Reads the location from a message; `None` if an address is malformed.
    pub fn from_message(presence: &Presence) -> Option<Self> {
        Some(Self {
            zone: presence.zone.as_str().into(),
            caller_address: presence.caller_address.parse().ok()?,
            admin_address: presence.admin_address.parse().ok()?,
        })
    }

    /// Returns the location in the form that messages carry.
    pub fn to_message(&self) -> Presence {
        Presence {
            zone: self.zone.to_string(),
            caller_address: self.caller_address.to_string(),
            admin_address: self.admin_address.to_string(),
        }
    }
}

/// Records the contact with each peer and reports which peers are silent.
pub struct FailureDetector {
    node: NodeId,
    silence_limit: Duration,
    /// All members except this node, sorted by node.
    peers: Vec<PeerState>,
}

impl FailureDetector {
    /// Creates the failure detector of `node`. A peer is silent once nothing has arrived from it
    /// for `silence_limit`.
    pub fn new(node: NodeId, silence_limit: Duration) -> Self {
        Self { node, silence_limit, peers: Vec::new() }
    }

    /// Returns the peers, sorted by node.
    pub fn peers(&self) -> &[PeerState] {
        &self.peers
    }

    /// Returns the peer with this name.
    pub fn peer(&self, node: &str) -> Option<&PeerState> {
        let index = self.peers.binary_search_by(|peer| (*peer.node).cmp(node)).ok()?;
        Some(&self.peers[index])
    }

    /// Adds and removes peers according to the member list. A new peer becomes silent only after
    /// the whole silence limit.
    pub fn set_list(&mut self, list: &MemberList, now: Instant) {
        self.peers.retain(|peer| list.contains(&peer.node));
        for entry in &list.members {
            if entry.node != self.node {
                self.add_peer(&entry.node, now);
            }
        }
    }

    /// Records a message from a member that reports `config_version` as its active configuration.
    /// Messages of nodes outside the member list are ignored.
    pub fn record_message(
        &mut self,
        from: &str,
        incarnation: Incarnation,
        config_version: ConfigVersion,
        now: Instant,
    ) {
        let Some(peer) = self.find_mut(from) else {
            return;
        };
        if incarnation > peer.incarnation {
            peer.counts.clear();
        }
        peer.incarnation = peer.incarnation.max(incarnation);
        peer.last_contact_at = now;
        peer.has_contact = true;
        peer.config_version = config_version;
    }

    /// Records the list version, silent nodes, counts and location that a heartbeat reports.
    pub fn record_heartbeat(&mut self, from: &str, heartbeat: &Heartbeat) {
        let Some(peer) = self.find_mut(from) else {
            return;
        };
        peer.list_version = heartbeat.list_version;
        peer.silent.clone_from(&heartbeat.silent);
        merge(&mut peer.counts, &heartbeat.counts);
        if let Some(location) = heartbeat.presence.as_ref().and_then(NodeLocation::from_message) {
            peer.location = Some(location);
        }
    }

    /// Records that the link to a peer works in both directions.
    pub fn record_reply(&mut self, from: &str, now: Instant) {
        if let Some(peer) = self.find_mut(from) {
            peer.last_reply_at = now;
            peer.has_replied = true;
        }
    }

    /// Records the incarnation and the location that a table row shows.
    pub fn record_row(&mut self, row: &MemberRow) {
        let Some(peer) = self.find_mut(&row.node) else {
            return;
        };
        peer.incarnation = peer.incarnation.max(row.incarnation);
        if peer.location.is_none() {
            peer.location = Some(NodeLocation {
                zone: row.zone.clone(),
                caller_address: row.caller_address,
                admin_address: row.admin_address,
            });
        }
    }

    /// Records that a peer has left and is therefore no longer alive.
    pub fn record_leave(&mut self, node: &str) {
        if let Some(peer) = self.find_mut(node) {
            peer.has_contact = false;
            peer.counts.clear();
        }
    }

    /// True if the peer has sent a message within the silence limit and has not left since.
    pub fn is_alive(&self, peer: &PeerState, now: Instant) -> bool {
        peer.has_contact && now < peer.last_contact_at + self.silence_limit
    }

    /// Returns the positions in `list` of the silent peers.
    pub fn silent_positions(&self, list: &MemberList, now: Instant) -> Vec<u32> {
        let is_silent = |peer: &&PeerState| now >= peer.last_contact_at + self.silence_limit;
        let silent = self.peers.iter().filter(is_silent);
        silent.filter_map(|peer| list.position(&peer.node)).map(|index| index as u32).collect()
    }

    /// Returns the incarnations that are silent for a majority of `list`, this node included.
    pub fn suspects(&self, list: &MemberList, now: Instant) -> Vec<(NodeId, Incarnation)> {
        let mut suspects = Vec::new();
        for position in self.silent_positions(list, now) {
            let alive = self.peers.iter().filter(|peer| self.is_alive(peer, now));
            let reports = alive.filter(|peer| {
                peer.list_version == list.version && peer.silent.contains(&position)
            });
            let node = &list.members[position as usize].node;
            let incarnation = self.peer(node).map_or(0, |peer| peer.incarnation);
            if reports.count() + 1 >= list.majority() && incarnation > 0 {
                suspects.push((node.clone(), incarnation));
            }
        }
        suspects
    }

    /// Returns the peers whose links have had no reply for the silence limit. Each is treated as
    /// redialled at `now`, so that it is returned once per silence limit.
    pub fn take_silent_links(&mut self, now: Instant) -> Vec<SilentLink> {
        let mut silent = Vec::new();
        for peer in &mut self.peers {
            if now >= peer.last_reply_at + self.silence_limit {
                peer.last_reply_at = now;
                silent.push(SilentLink { peer: peer.node.clone(), has_replied: peer.has_replied });
                peer.has_replied = false;
            }
        }
        silent
    }

    /// Returns the member list version that each live peer last reported.
    pub fn reported_list_versions(&self, now: Instant) -> Vec<(NodeId, ListVersion)> {
        let alive = self.peers.iter().filter(|peer| self.is_alive(peer, now));
        alive.map(|peer| (peer.node.clone(), peer.list_version)).collect()
    }

    fn add_peer(&mut self, node: &NodeId, now: Instant) {
        if let Err(index) = self.peers.binary_search_by(|peer| peer.node.cmp(node)) {
            let peer = PeerState {
                node: node.clone(),
                incarnation: 0,
                last_contact_at: now,
                has_contact: false,
                last_reply_at: now,
                has_replied: false,
                list_version: 0,
                config_version: 0,
                location: None,
                counts: Vec::new(),
                silent: Vec::new(),
            };
            self.peers.insert(index, peer);
        }
    }

    fn find_mut(&mut self, node: &str) -> Option<&mut PeerState> {
        let index = self.peers.binary_search_by(|peer| (*peer.node).cmp(node)).ok()?;
        Some(&mut self.peers[index])
    }
}
