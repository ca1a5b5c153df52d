//! Keys of callers and operators.
//!
//! A key is 256 random bits, so a plain hash is enough to keep it: nobody can guess a key from its
//! hash. The key is shown once, at the grant, and only the hash is stored.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::CustomerId;
use crate::ids::KeyId;
use crate::ids::TeamRef;
use crate::ids::random_id;

/// Prefix that makes a key easy to find in a leaked text.
const KEY_PREFIX: &str = "spk_";

/// BLAKE3 hash of a key, in hexadecimal.
pub type KeyHash = String;

/// Whom a key stands for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyHolder {
    /// Caller of a team.
    Team(TeamRef),
    /// Operator of the whole fleet.
    Operator,
}

impl KeyHolder {
    /// Customer of the holder, if it is a team.
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

/// State of a key; a withdrawn key never comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyState {
    /// The key opens what its holder may use.
    Granted,
    /// The key opens nothing.
    Withdrawn,
}

/// A key as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRow {
    /// Public name of the key.
    pub id: KeyId,
    /// Whom it stands for.
    pub holder: KeyHolder,
    /// Hash of the key.
    pub hash: KeyHash,
    /// Granted or withdrawn.
    pub state: KeyState,
}

/// A new key for `holder`: the secret text, to be shown once, and the row to store.
pub fn grant_key(holder: KeyHolder) -> (String, KeyRow) {
    let secret = format!("{KEY_PREFIX}{}{}", random_id(), random_id());
    let hash = hash_key(&secret);
    let id = KeyId::from(&hash[..12]);
    let row = KeyRow { id, holder, hash, state: KeyState::Granted };
    (secret, row)
}

/// Hash under which a key is stored and looked up.
pub fn hash_key(secret: &str) -> KeyHash {
    blake3::hash(secret.as_bytes()).to_hex().to_string()
}
