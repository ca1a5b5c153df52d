//! What a node has last heard of its peers, and who is silent. Nothing here bears on safety: a node
//! that is wrongly thought silent loses its run, never more.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use model::ConfigVersion;
use model::Incarnation;
use model::NodeId;
use wire::Count;
use wire::Heartbeat;
use wire::Presence;

use crate::counts::merge;
use crate::list::ListVersion;
use crate::list::MemberList;
use crate::row::MemberRow;

/// What is known of one peer.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Node.
    pub node: NodeId,
    /// Last run that was heard of or read of.
    pub incarnation: Incarnation,
    /// When any message last came.
    pub last_contact_at: Instant,
    /// False until the first message came.
    pub was_heard: bool,
    /// When an answer last came, or the link was dialled.
    pub link_good_at: Instant,
    /// True if an answer has come since the link was last dialled.
    pub link_was_good: bool,
    /// Version of its member list, as last reported.
    pub list_version: ListVersion,
    /// Configuration in force there, as last reported.
    pub config_version: ConfigVersion,
    /// Availability zone and addresses, once known.
    pub location: Option<NodeLocation>,
    /// Its counts, sorted by key.
    pub counts: Vec<Count>,
    /// Positions in its member list of nodes that it has not heard of.
    silent: Vec<u32>,
}

/// A link that is to be dialled anew.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SilentLink {
    /// Peer.
    pub peer: NodeId,
    /// True if it carried answers since it was last dialled.
    pub has_replied: bool,
}

/// Where a peer is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeLocation {
    /// Availability zone.
    pub zone: model::ZoneId,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub admin_address: SocketAddr,
}

impl NodeLocation {
    /// Place of a message; `None` if it cannot be read.
    pub fn from_message(presence: &Presence) -> Option<Self> {
        Some(Self {
            zone: presence.zone.as_str().into(),
            caller_address: presence.caller_address.parse().ok()?,
            admin_address: presence.admin_address.parse().ok()?,
        })
    }

    /// The place as a message carries it.
    pub fn to_message(&self) -> Presence {
        Presence {
            zone: self.zone.to_string(),
            caller_address: self.caller_address.to_string(),
            admin_address: self.admin_address.to_string(),
        }
    }
}

/// What a node has last heard of its peers.
pub struct FailureDetector {
    node: NodeId,
    silence_limit: Duration,
    /// Sorted by node.
    peers: Vec<PeerState>,
}

impl FailureDetector {
    /// Watch of `node`; a peer is silent after `silence_limit`.
    pub fn new(node: NodeId, silence_limit: Duration) -> Self {
        Self { node, silence_limit, peers: Vec::new() }
    }

    /// Peers, sorted by node.
    pub fn peers(&self) -> &[PeerState] {
        &self.peers
    }

    /// Peer by name.
    pub fn peer(&self, node: &str) -> Option<&PeerState> {
        let index = self.peers.binary_search_by(|peer| (*peer.node).cmp(node)).ok()?;
        Some(&self.peers[index])
    }

    /// Follows the member list; a new peer has the whole silence limit to be heard.
    pub fn set_list(&mut self, list: &MemberList, now: Instant) {
        self.peers.retain(|peer| list.contains(&peer.node));
        for entry in &list.members {
            if entry.node != self.node {
                self.entry(&entry.node, now);
            }
        }
    }

    /// Notes a message of a member; `config_version` is what it reports.
    pub fn on_message(
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
        peer.was_heard = true;
        peer.config_version = config_version;
    }

    /// Notes what a heartbeat reports.
    pub fn on_heartbeat(&mut self, from: &str, heartbeat: &Heartbeat) {
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

    /// Notes that the link to a peer carries messages and their answers.
    pub fn on_answer(&mut self, from: &str, now: Instant) {
        if let Some(peer) = self.find_mut(from) {
            peer.link_good_at = now;
            peer.link_was_good = true;
        }
    }

    /// Notes a row of the table.
    pub fn on_row(&mut self, row: &MemberRow) {
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

    /// Notes that a peer said goodbye: it is silent at once.
    pub fn on_leave(&mut self, node: &str) {
        if let Some(peer) = self.find_mut(node) {
            peer.was_heard = false;
            peer.counts.clear();
        }
    }

    /// True if a peer was heard of within the silence limit.
    pub fn is_alive(&self, peer: &PeerState, now: Instant) -> bool {
        peer.was_heard && now < peer.last_contact_at + self.silence_limit
    }

    /// Positions in `list` of the peers that are silent.
    pub fn silent(&self, list: &MemberList, now: Instant) -> Vec<u32> {
        let is_silent = |peer: &&PeerState| now >= peer.last_contact_at + self.silence_limit;
        let silent = self.peers.iter().filter(is_silent);
        silent.filter_map(|peer| list.position(&peer.node)).map(|index| index as u32).collect()
    }

    /// Runs that a majority of `list` has not heard of, this node included.
    pub fn suspects(&self, list: &MemberList, now: Instant) -> Vec<(NodeId, Incarnation)> {
        let mut suspects = Vec::new();
        for position in self.silent(list, now) {
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

    /// Peers whose link is silent; each counts as dialled anew from `now` on.
    pub fn take_silent_links(&mut self, now: Instant) -> Vec<SilentLink> {
        let mut silent = Vec::new();
        for peer in &mut self.peers {
            if now >= peer.link_good_at + self.silence_limit {
                peer.link_good_at = now;
                silent
                    .push(SilentLink { peer: peer.node.clone(), has_replied: peer.link_was_good });
                peer.link_was_good = false;
            }
        }
        silent
    }

    /// Member list versions that live members report.
    pub fn reported_list_versions(&self, now: Instant) -> Vec<(NodeId, ListVersion)> {
        let alive = self.peers.iter().filter(|peer| self.is_alive(peer, now));
        alive.map(|peer| (peer.node.clone(), peer.list_version)).collect()
    }

    fn entry(&mut self, node: &NodeId, now: Instant) {
        if let Err(index) = self.peers.binary_search_by(|peer| peer.node.cmp(node)) {
            let peer = PeerState {
                node: node.clone(),
                incarnation: 0,
                last_contact_at: now,
                was_heard: false,
                link_good_at: now,
                link_was_good: false,
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
