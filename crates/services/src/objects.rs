//! The object store.

use async_trait::async_trait;
use bytes::Bytes;

use crate::table::Unavailable;

/// Window on the platform's object store.
#[async_trait]
pub trait Objects: Send + Sync {
    /// Stores an object under `name`; a repeat with the same bytes changes nothing.
    async fn put(&self, name: &str, body: Bytes) -> Result<(), Unavailable>;

    /// Reads an object.
    async fn get(&self, name: &str) -> Result<Option<Bytes>, Unavailable>;

    /// Names of all objects that start with `prefix`, in order.
    async fn list(&self, prefix: &str) -> Result<Vec<String>, Unavailable>;

    /// Removes an object, if it exists.
    async fn delete(&self, name: &str) -> Result<(), Unavailable>;
}
