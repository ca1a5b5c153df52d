//! Keyed hash over each message.

use bytes::Bytes;

/// Length of the hash in front of each message, in bytes.
const HASH_BYTES: usize = blake3::OUT_LEN;
/// Context of the key derivation.
const CONTEXT: &str = "savorypitch messages between nodes, version 1";

/// Key that all nodes of a cluster derive from its secret.
#[derive(Clone)]
pub struct ClusterKey {
    key: [u8; blake3::KEY_LEN],
}

impl ClusterKey {
    /// Key of the cluster `cluster` with `secret`.
    pub fn derive(cluster: &str, secret: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        hasher.update(&(cluster.len() as u64).to_le_bytes());
        hasher.update(cluster.as_bytes());
        hasher.update(secret.as_bytes());
        Self { key: *hasher.finalize().as_bytes() }
    }

    /// Puts the hash of `content` in front of it.
    pub fn seal(&self, content: &[u8]) -> Bytes {
        let hash = blake3::keyed_hash(&self.key, content);
        let mut frame = Vec::with_capacity(HASH_BYTES + content.len());
        frame.extend_from_slice(hash.as_bytes());
        frame.extend_from_slice(content);
        Bytes::from(frame)
    }

    /// Content of a sealed frame; `None` if the hash does not match.
    pub fn open(&self, frame: &Bytes) -> Option<Bytes> {
        let claimed: [u8; HASH_BYTES] = frame.get(..HASH_BYTES)?.try_into().ok()?;
        let content = frame.slice(HASH_BYTES..);
        // The comparison of `blake3::Hash` takes the same time for all inputs.
        let matches = blake3::keyed_hash(&self.key, &content) == blake3::Hash::from(claimed);
        matches.then_some(content)
    }
}
