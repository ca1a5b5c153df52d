//! Keys and values of the configuration's rows in the table.

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
/// Prefix of the keys of the configuration rows.
pub const ROW_PREFIX: &str = "config/row/";
/// Prefix of the keys of the change rows.
pub const CHANGE_PREFIX: &str = "config/change/";

/// Prefix of the rows that hold the version that an operation produced.
pub const OPERATION_PREFIX: &str = "config/operation/";

/// Value of the head row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version of the last change; 0 before the first one.
    pub version: ConfigVersion,
    /// Digest of the configuration at that version; `None` before the first change.
    #[serde(default)]
    pub digest: Option<Digest>,
}

/// Returns the key of the row that holds the version of an operation.
pub fn operation_key(operation_id: &OperationId) -> String {
    format!("{OPERATION_PREFIX}{operation_id}")
}

/// Returns the key of a configuration row.
pub fn row_key(name: &str) -> String {
    format!("{ROW_PREFIX}{name}")
}

/// Returns the key of a change row; the keys sort by version.
pub fn change_key(version: ConfigVersion) -> String {
    format!("{CHANGE_PREFIX}{version:020}")
}

/// Decodes the JSON value of a row.
pub fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, Unavailable> {
    serde_json::from_slice(&row.value)
        .map_err(|error| Unavailable::new(format!("row `{}` is malformed: {error}", row.key)))
}
