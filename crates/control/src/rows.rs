//! Keys and values of the configuration's rows.

use model::ConfigVersion;
use model::OperationId;
use model::config::Digest;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use services::Row;
use services::Unavailable;

/// Key of the head row.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the rows of the configuration.
pub const ROW_PREFIX: &str = "config/row/";
/// Prefix of the change rows.
pub const CHANGE_PREFIX: &str = "config/change/";

/// Prefix of the rows that tell the version that an operation led to.
pub const OPERATION_PREFIX: &str = "config/operation/";

/// Value of the head row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version of the last change.
    pub version: ConfigVersion,
    /// Digest of the configuration at that version.
    #[serde(default)]
    pub digest: Option<Digest>,
}

/// Key of the row of an operation.
pub fn operation_key(operation_id: &OperationId) -> String {
    format!("{OPERATION_PREFIX}{operation_id}")
}

/// Key of a row of the configuration.
pub fn row_key(name: &str) -> String {
    format!("{ROW_PREFIX}{name}")
}

/// Key of a change row; keys sort by version.
pub fn change_key(version: ConfigVersion) -> String {
    format!("{CHANGE_PREFIX}{version:020}")
}

/// Value of a row in JSON.
pub fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, Unavailable> {
    serde_json::from_slice(&row.value)
        .map_err(|error| Unavailable::new(format!("row `{}` is malformed: {error}", row.key)))
}
