//! Authentication of messages by a keyed BLAKE3 hash.

use bytes::Bytes;

/// Length of the hash that precedes the content of a frame, in bytes.
const HASH_BYTES: usize = blake3::OUT_LEN;
/// Context of the key derivation; a change makes nodes reject the messages of older versions.
const CONTEXT: &str = "savorypitch messages between nodes, version 1";

/// Key of the message hash; all nodes of a cluster derive it from the cluster's secret.
#[derive(Clone)]
pub struct ClusterKey {
    key: [u8; blake3::KEY_LEN],
}

impl ClusterKey {
    /// Derives the key of the cluster with the id `cluster` from its `secret`.
    pub fn derive(cluster: &str, secret: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        hasher.update(&(cluster.len() as u64).to_le_bytes());
        hasher.update(cluster.as_bytes());
        hasher.update(secret.as_bytes());
        Self { key: *hasher.finalize().as_bytes() }
    }

    /// Returns a frame of the keyed hash of `content` followed by `content`.
    pub fn seal(&self, content: &[u8]) -> Bytes {
        let hash = blake3::keyed_hash(&self.key, content);
        let mut frame = Vec::with_capacity(HASH_BYTES + content.len());
        frame.extend_from_slice(hash.as_bytes());
        frame.extend_from_slice(content);
        Bytes::from(frame)
    }

    /// Returns the content of a frame; `None` if the hash does not match or the frame is too short.
    pub fn open(&self, frame: &Bytes) -> Option<Bytes> {
        let received_hash: [u8; HASH_BYTES] = frame.get(..HASH_BYTES)?.try_into().ok()?;
        let content = frame.slice(HASH_BYTES..);
        // `blake3::Hash` compares in constant time, so timing does not reveal the expected hash.
        let matches = blake3::keyed_hash(&self.key, &content) == blake3::Hash::from(received_hash);
        matches.then_some(content)
    }
}
