//! Object store of the platform.

use async_trait::async_trait;
use bytes::Bytes;

use crate::table::Unavailable;

/// Interface to the platform's object store.
#[async_trait]
pub trait Objects: Send + Sync {
    /// Stores an object under `name`. Safe to repeat with the same bytes.
    async fn put(&self, name: &str, body: Bytes) -> Result<(), Unavailable>;

    /// Reads an object; `None` if there is none of this name.
    async fn get(&self, name: &str) -> Result<Option<Bytes>, Unavailable>;

    /// Returns the names of all objects that start with `prefix`, sorted.
    async fn list(&self, prefix: &str) -> Result<Vec<String>, Unavailable>;

    /// Deletes an object, if it exists.
    async fn delete(&self, name: &str) -> Result<(), Unavailable>;
}
