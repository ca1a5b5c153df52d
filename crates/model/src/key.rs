//! API keys of callers and operators.
//!
//! A key consists of 256 random bits, so an unsalted fast hash protects it: nobody can guess a key
//! from its hash. The key is shown once, when it is granted, and only its hash is stored.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::CustomerId;
use crate::ids::KeyId;
use crate::ids::TeamRef;
use crate::ids::random_id;

/// Prefix by which scanners find keys in leaked text.
const KEY_PREFIX: &str = "spk_";

/// BLAKE3 hash of the secret text of a key, in hexadecimal.
pub type KeyHash = String;

/// Who a key authenticates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyHolder {
    /// Callers of this team.
    Team(TeamRef),
    /// An operator of the whole fleet.
    Operator,
}

impl KeyHolder {
    /// Returns the customer of the holder, if the holder is a team.
    pub fn customer(&self) -> Option<&CustomerId> {
        match self {
            Self::Team(team) => Some(&team.customer),
            Self::Operator => None,
        }
    }
}

impl fmt::Display for KeyHolder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Team(team) => write!(f, "{team}"),
            Self::Operator => f.write_str("operator"),
        }
    }
}

/// State of a key. A withdrawn key is never granted again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyState {
    /// The key gives access to all that its holder may use.
    Granted,
    /// The key gives no access.
    Withdrawn,
}

/// Row of a key in the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRow {
    /// Public name of the key: the first 12 digits of its hash.
    pub id: KeyId,
    /// Who the key authenticates.
    pub holder: KeyHolder,
    /// Hash by which a presented key is looked up.
    pub hash: KeyHash,
    /// Whether the key gives access.
    pub state: KeyState,
}

/// Creates a key for `holder`. Returns the secret text, to be shown once, and the row to store.
pub fn grant_key(holder: KeyHolder) -> (String, KeyRow) {
    let secret = format!("{KEY_PREFIX}{}{}", random_id(), random_id());
    let hash = hash_key(&secret);
    let id = KeyId::from(&hash[..12]);
    let row = KeyRow { id, holder, hash, state: KeyState::Granted };
    (secret, row)
}

/// Returns the hash by which a key is stored and looked up.
pub fn hash_key(secret: &str) -> KeyHash {
    blake3::hash(secret.as_bytes()).to_hex().to_string()
}
