//! The configuration from peers, while the table does not bring it.
//!
//! A node that holds a configuration takes any later one from a peer. A cold node takes the newest
//! one of a majority of the member list: an accepted change was reported by a majority, so one of
//! them has it.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use membership::MemberList;
use membership::MemberView;
use model::Config;
use model::ConfigVersion;
use model::NodeId;
use wire::ConfigReply;

/// Time that the table has to bring a version before a peer is asked.
const ASK_DELAY: Duration = Duration::from_millis(200);
/// Time between two questions.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// What peers have told of the configuration.
#[derive(Default)]
pub struct Informers {
    /// Peers that answered a cold node, sorted.
    answered: Vec<NodeId>,
    newest: Option<Config>,
    behind_since: Option<Instant>,
    asked_at: Option<Instant>,
}

impl Informers {
    /// Peers to ask now, for a node that holds `held`.
    pub fn due(&mut self, held: ConfigVersion, peers: &[MemberView], now: Instant) -> Vec<NodeId> {
        let later = peers.iter().filter(|peer| peer.is_alive && peer.config_version > held);
        let informer = later.max_by_key(|peer| peer.config_version);
        if informer.is_none() && held > 0 {
            self.behind_since = None;
            return Vec::new();
        }
        let since = *self.behind_since.get_or_insert(now);
        let was_asked = self.asked_at.is_some_and(|asked| now < asked + ASK_INTERVAL);
        if now < since + ASK_DELAY || was_asked {
            return Vec::new();
        }
        self.asked_at = Some(now);
        match informer {
            Some(informer) if held > 0 => vec![informer.node.clone()],
            _ => peers.iter().map(|peer| peer.node.clone()).collect(),
        }
    }

    /// Takes an answer; returns a configuration to put in force.
    pub fn on_reply(
        &mut self,
        from: &NodeId,
        reply: &ConfigReply,
        held: ConfigVersion,
        list: &MemberList,
    ) -> Option<Config> {
        let config = decode(reply);
        if held > 0 {
            return config.filter(|config| config.version > held);
        }
        if list.contains(from)
            && let Err(index) = self.answered.binary_search(from)
        {
            self.answered.insert(index, from.clone());
        }
        let newest = self.newest.as_ref().map_or(0, |newest| newest.version);
        if let Some(config) = config
            && config.version > newest
        {
            self.newest = Some(config);
        }
        if self.answered.len() < list.majority() {
            return None;
        }
        self.answered.clear();
        self.newest.take()
    }
}

/// Answer of a node that holds `config` to one that holds `held`.
pub fn reply_to(held: ConfigVersion, config: &Config) -> ConfigReply {
    let content = match config.version > held {
        true => serde_json::to_vec(config).map(Bytes::from).unwrap_or_default(),
        false => Bytes::new(),
    };
    ConfigReply { version: config.version, config: content }
}

fn decode(reply: &ConfigReply) -> Option<Config> {
    let config: Config = serde_json::from_slice(&reply.config).ok()?;
    (config.version == reply.version).then_some(config)
}
