//! Gets the configuration from peers while the table is unavailable.
//!
//! A node with an active configuration accepts any newer one from a peer. A node without one waits
//! for the replies of a majority of the member list and accepts the newest: an accepted change was
//! reported by a majority, so at least one of the replies contains it.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use membership::MemberList;
use membership::MemberView;
use model::Config;
use model::ConfigVersion;
use model::NodeId;
use wire::ConfigReply;

/// Time in which a version is expected from the table before it is requested from a peer.
const REQUEST_DELAY: Duration = Duration::from_millis(200);
/// Minimum time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Configurations that peers have sent.
#[derive(Default)]
pub struct PeerConfigs {
    /// Peers that have replied to a node without a configuration, sorted.
    replied: Vec<NodeId>,
    /// Newest configuration in these replies.
    newest: Option<Config>,
    /// Since when this node has had no configuration or an older one than a peer.
    behind_since: Option<Instant>,
    requested_at: Option<Instant>,
}

impl PeerConfigs {
    /// Returns the peers from which to request the configuration now, for a node on which
    /// `active_version` is active; 0 if it has no configuration.
    pub fn peers_to_request(
        &mut self,
        active_version: ConfigVersion,
        peers: &[MemberView],
        now: Instant,
    ) -> Vec<NodeId> {
        let newer =
            peers.iter().filter(|peer| peer.is_alive && peer.config_version > active_version);
        let newest_peer = newer.max_by_key(|peer| peer.config_version);
        if newest_peer.is_none() && active_version > 0 {
            self.behind_since = None;
            return Vec::new();
        }
        let behind_since = *self.behind_since.get_or_insert(now);
        let is_too_soon =
            self.requested_at.is_some_and(|requested_at| now < requested_at + REQUEST_INTERVAL);
        if now < behind_since + REQUEST_DELAY || is_too_soon {
            return Vec::new();
        }
        self.requested_at = Some(now);
        match newest_peer {
            Some(newest_peer) if active_version > 0 => vec![newest_peer.node.clone()],
            _ => peers.iter().map(|peer| peer.node.clone()).collect(),
        }
    }

    /// Handles a reply. Returns the configuration to activate, if there is one.
    pub fn handle_reply(
        &mut self,
        from: &NodeId,
        reply: &ConfigReply,
        active_version: ConfigVersion,
        list: &MemberList,
    ) -> Option<Config> {
        let config = decode(reply);
        if active_version > 0 {
            return config.filter(|config| config.version > active_version);
        }
        if list.contains(from)
            && let Err(index) = self.replied.binary_search(from)
        {
            self.replied.insert(index, from.clone());
        }
        let newest = self.newest.as_ref().map_or(0, |newest| newest.version);
        if let Some(config) = config
            && config.version > newest
        {
            self.newest = Some(config);
        }
        if self.replied.len() < list.majority() {
            return None;
        }
        self.replied.clear();
        self.newest.take()
    }
}

/// Returns the reply of a node with the active configuration `config` to a requester on which
/// `requester_version` is active. It contains the configuration only if it is newer.
pub fn reply_to(requester_version: ConfigVersion, config: &Config) -> ConfigReply {
    let content = match config.version > requester_version {
        true => serde_json::to_vec(config).map(Bytes::from).unwrap_or_default(),
        false => Bytes::new(),
    };
    ConfigReply { version: config.version, config: content }
}

fn decode(reply: &ConfigReply) -> Option<Config> {
    let config: Config = serde_json::from_slice(&reply.config).ok()?;
    (config.version == reply.version).then_some(config)
}
