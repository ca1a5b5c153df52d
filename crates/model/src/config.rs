//! The configuration: immutable snapshots, and the changes that lead from one to the next.
//!
//! A change is a list of rows; each replaces the row of the same name. A snapshot keeps its rows in
//! sorted vectors, so that lookups by the sort key are binary searches.

use serde::Deserialize;
use serde::Serialize;

use crate::contract::Contract;
use crate::contract::Pool;
use crate::contract::Queue;
use crate::contract::Service;
use crate::contract::Team;
use crate::host::HostRow;
use crate::ids::ConfigVersion;
use crate::ids::OperationId;
use crate::ids::TeamRef;
use crate::key::KeyRow;
use crate::key::KeyState;
use crate::key::hash_key;
use crate::wave::WaveRow;

/// One row of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigRow {
    /// Contract of a customer, named by the customer.
    Contract(Contract),
    /// API key of a team or operator.
    Key(KeyRow),
    /// Host with its pool and state.
    Host(HostRow),
    /// Maintenance wave of a pool.
    Wave(WaveRow),
    /// Deletes the row of this name.
    Removed(String),
}

impl ConfigRow {
    /// Returns the name of the row in the table, without the prefix of the configuration.
    pub fn name(&self) -> String {
        match self {
            Self::Contract(contract) => format!("contract/{}", contract.customer),
            Self::Key(key) => format!("key/{}", key.id),
            Self::Host(host) => format!("host/{}", host.id()),
            Self::Wave(wave) => format!("wave/{}", wave.id),
            Self::Removed(name) => name.clone(),
        }
    }
}

/// One accepted change to the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version of the configuration after the change.
    pub version: ConfigVersion,
    /// Rows that are replaced, added or removed.
    pub rows: Vec<ConfigRow>,
    /// Who made the change; empty if unknown.
    #[serde(default)]
    pub author: String,
    /// Operation that made the change; absent in rows that were written without one.
    #[serde(default)]
    pub operation_id: Option<OperationId>,
    /// Digest of the configuration after the change; readers compare it with their own snapshot.
    #[serde(default)]
    pub digest: Option<Digest>,
}

/// BLAKE3 hash of a configuration and its version, in hexadecimal.
pub type Digest = String;

/// A change that is not for the version that follows the snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("change {found} does not follow version {current}")]
pub struct VersionGap {
    /// Version of the snapshot.
    pub current: ConfigVersion,
    /// Version that the change leads to.
    pub found: ConfigVersion,
}

/// The whole configuration at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Version of the snapshot; 0 is the empty configuration.
    pub version: ConfigVersion,
    /// Contracts, sorted by customer.
    pub contracts: Vec<Contract>,
    /// Keys, sorted by hash.
    pub keys: Vec<KeyRow>,
    /// Hosts, sorted by id.
    pub hosts: Vec<HostRow>,
    /// Maintenance waves, sorted by id.
    #[serde(default)]
    pub waves: Vec<WaveRow>,
}

impl Config {
    /// Builds the snapshot of `rows` at `version`.
    pub fn from_rows(version: ConfigVersion, rows: Vec<ConfigRow>) -> Self {
        let mut config = Self::default();
        config.apply_rows(rows);
        config.version = version;
        config
    }

    /// Returns the snapshot after `change`. Fails unless the change leads to the next version.
    pub fn with_change(&self, change: Change) -> Result<Self, VersionGap> {
        if change.version != self.version + 1 {
            return Err(VersionGap { current: self.version, found: change.version });
        }
        let mut next = self.clone();
        next.apply_rows(change.rows);
        next.version = change.version;
        Ok(next)
    }

    /// Returns the contract of a customer.
    pub fn contract(&self, customer: &str) -> Option<&Contract> {
        let index = self.contracts.binary_search_by(|c| (*c.customer).cmp(customer)).ok()?;
        Some(&self.contracts[index])
    }

    /// Returns a host by its id.
    pub fn host(&self, id: &str) -> Option<&HostRow> {
        let index = self.hosts.binary_search_by(|host| (**host.id()).cmp(id)).ok()?;
        Some(&self.hosts[index])
    }

    /// Returns a maintenance wave by its id.
    pub fn wave(&self, id: &str) -> Option<&WaveRow> {
        let index = self.waves.binary_search_by(|wave| (*wave.id).cmp(id)).ok()?;
        Some(&self.waves[index])
    }

    /// Returns the key with the secret text `secret`, unless it is withdrawn.
    pub fn granted_key(&self, secret: &str) -> Option<&KeyRow> {
        let hash = hash_key(secret);
        let index = self.keys.binary_search_by(|key| key.hash.cmp(&hash)).ok()?;
        Some(&self.keys[index]).filter(|key| key.state == KeyState::Granted)
    }

    /// Returns a key by its public name, granted or withdrawn.
    pub fn key_by_id(&self, id: &str) -> Option<&KeyRow> {
        self.keys.iter().find(|key| *key.id == *id)
    }

    /// Returns a queue by name, with the contract that defines it.
    pub fn queue(&self, name: &str) -> Option<(&Contract, &Queue)> {
        self.contracts.iter().find_map(|contract| Some((contract, contract.queue(name)?)))
    }

    /// Returns a team of a customer.
    pub fn team(&self, team: &TeamRef) -> Option<&Team> {
        self.contract(&team.customer)?.team(&team.team)
    }

    /// Returns a pool by name, with the contract that defines it.
    pub fn pool(&self, name: &str) -> Option<(&Contract, &Pool)> {
        self.contracts.iter().find_map(|contract| Some((contract, contract.pool(name)?)))
    }

    /// Returns the service that the pool of `host` serves; `None` for a spare pool.
    pub fn service_of(&self, host: &HostRow) -> Option<&Service> {
        let contract = self.contract(&host.customer)?;
        let service = contract.pool(&host.spec.pool)?.service.as_ref()?;
        contract.service(service)
    }

    /// Returns the hosts whose pool serves `service` of `contract`, in any state.
    pub fn hosts_of<'a>(
        &'a self,
        contract: &'a Contract,
        service: &'a str,
    ) -> impl Iterator<Item = &'a HostRow> {
        self.hosts.iter().filter(move |host| {
            host.customer == contract.customer
                && contract
                    .pool(&host.spec.pool)
                    .is_some_and(|pool| pool.service.as_deref() == Some(service))
        })
    }

    /// Returns all rows of the snapshot: contracts, keys, hosts, waves.
    pub fn rows(&self) -> Vec<ConfigRow> {
        let contracts = self.contracts.iter().cloned().map(ConfigRow::Contract);
        let keys = self.keys.iter().cloned().map(ConfigRow::Key);
        let hosts = self.hosts.iter().cloned().map(ConfigRow::Host);
        let waves = self.waves.iter().cloned().map(ConfigRow::Wave);
        contracts.chain(keys).chain(hosts).chain(waves).collect()
    }

    /// Returns the hash of the version and all rows; equal on nodes with equal configurations.
    pub fn digest(&self) -> Digest {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.version.to_le_bytes());
        for row in self.rows() {
            let bytes = serde_json::to_vec(&row)
                .expect("rows serialize to JSON: their map keys are strings");
            hasher.update(&(bytes.len() as u64).to_le_bytes());
            hasher.update(&bytes);
        }
        hasher.finalize().to_hex().to_string()
    }

    fn apply_rows(&mut self, rows: Vec<ConfigRow>) {
        for row in rows {
            match row {
                ConfigRow::Contract(contract) => {
                    insert_or_replace(&mut self.contracts, contract, |c| c.customer.to_string());
                }
                ConfigRow::Key(key) => insert_or_replace(&mut self.keys, key, |k| k.hash.clone()),
                ConfigRow::Host(host) => {
                    insert_or_replace(&mut self.hosts, host, |h| h.id().to_string())
                }
                ConfigRow::Wave(wave) => {
                    insert_or_replace(&mut self.waves, wave, |w| w.id.to_string())
                }
                ConfigRow::Removed(name) => self.remove_row(&name),
            }
        }
    }

    fn remove_row(&mut self, name: &str) {
        let Some((kind, id)) = name.split_once('/') else {
            return;
        };
        match kind {
            "contract" => self.contracts.retain(|contract| *contract.customer != *id),
            "key" => self.keys.retain(|key| *key.id != *id),
            "host" => self.hosts.retain(|host| **host.id() != *id),
            "wave" => self.waves.retain(|wave| *wave.id != *id),
            _ => {}
        }
    }
}

/// Replaces the item that has the same sort key, or inserts `item` at its sorted position.
fn insert_or_replace<T, K: Ord>(items: &mut Vec<T>, item: T, sort_key: impl Fn(&T) -> K) {
    let key = sort_key(&item);
    match items.binary_search_by_key(&key, &sort_key) {
        Ok(index) => items[index] = item,
        Err(index) => items.insert(index, item),
    }
}
