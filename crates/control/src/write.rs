//! Changes of the configuration.

use std::time::Duration;

use model::Change;
use model::Config;
use model::ConfigRow;
use model::ConfigVersion;
use model::Contract;
use model::HostRow;
use model::OperationId;
use model::key::KeyHolder;
use model::key::KeyState;
use model::key::grant_key;
use platform::Committer;
use platform::Precondition;
use platform::Settled;
use platform::Table;
use platform::Unavailable;
use platform::Write;

use crate::read::load;
use crate::read::read_head;
use crate::rows::HEAD_KEY;
use crate::rows::Head;
use crate::rows::change_key;
use crate::rows::row_key;

/// Time that a change may take to settle.
const PATIENCE: Duration = Duration::from_secs(10);

/// Why a change is not in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// Another operator was faster.
    #[error("the configuration changed meanwhile; look at it and try again")]
    Conflict,
    /// The change would break the configuration.
    #[error("{reason}")]
    Invalid {
        /// What would break.
        reason: String,
    },
    /// The change was not written.
    #[error("the change was not accepted: {reason}")]
    NotAccepted {
        /// What was seen.
        reason: String,
    },
    /// The table did not answer; the change may be in force.
    #[error("the table did not answer; the change may be in force (operation {operation_id})")]
    Unknown {
        /// Id under which the outcome can be resolved.
        operation_id: OperationId,
    },
}

impl From<Unavailable> for ChangeError {
    fn from(unavailable: Unavailable) -> Self {
        Self::NotAccepted { reason: unavailable.to_string() }
    }
}

/// Writes changes for one node.
#[derive(Default)]
pub struct ConfigWriter {
    committer: Committer,
}

impl ConfigWriter {
    /// Accepts a contract; `seen` is the version that the operator decided on, if it matters.
    pub async fn apply_contract(
        &self,
        table: &dyn Table,
        contract: Contract,
        seen: Option<ConfigVersion>,
    ) -> Result<ConfigVersion, ChangeError> {
        self.change(table, seen, |config| contract_rows(config, &contract)).await
    }

    /// Grants a key; returns its secret and the version.
    pub async fn grant(
        &self,
        table: &dyn Table,
        holder: KeyHolder,
    ) -> Result<(String, ConfigVersion), ChangeError> {
        let (secret, row) = grant_key(holder.clone());
        let version = self
            .change(table, None, |config| {
                if let KeyHolder::Team(team) = &holder
                    && config.team(team).is_none()
                {
                    return Err(invalid(format!("there is no team `{team}`")));
                }
                Ok(vec![ConfigRow::Key(row.clone())])
            })
            .await?;
        Ok((secret, version))
    }

    /// Withdraws a key for good.
    pub async fn withdraw(
        &self,
        table: &dyn Table,
        key_id: &str,
    ) -> Result<ConfigVersion, ChangeError> {
        self.change(table, None, |config| {
            let key = config.key_by_id(key_id);
            let mut key =
                key.ok_or_else(|| invalid(format!("there is no key `{key_id}`")))?.clone();
            key.state = KeyState::Withdrawn;
            Ok(vec![ConfigRow::Key(key)])
        })
        .await
    }

    /// Replaces a host's row, if it is still at the epoch before.
    pub async fn put_host(
        &self,
        table: &dyn Table,
        host: HostRow,
    ) -> Result<ConfigVersion, ChangeError> {
        self.change(table, None, |config| {
            let held = config.host(host.id());
            if held.is_some_and(|held| held.epoch + 1 != host.epoch) {
                return Err(ChangeError::Conflict);
            }
            Ok(vec![ConfigRow::Host(host.clone())])
        })
        .await
    }

    /// Commits the rows that `decide` makes of the latest configuration, as the next version.
    pub async fn change(
        &self,
        table: &dyn Table,
        seen: Option<ConfigVersion>,
        decide: impl Fn(&Config) -> Result<Vec<ConfigRow>, ChangeError>,
    ) -> Result<ConfigVersion, ChangeError> {
        self.change_if(table, seen, Vec::new(), decide).await
    }

    /// Like [`Self::change`], and only while `fences` hold, for instance the row of a lease.
    pub async fn change_if(
        &self,
        table: &dyn Table,
        seen: Option<ConfigVersion>,
        fences: Vec<Precondition>,
        decide: impl Fn(&Config) -> Result<Vec<ConfigRow>, ChangeError>,
    ) -> Result<ConfigVersion, ChangeError> {
        let (head, head_row) = read_head(table).await?;
        let config = load(table).await?;
        if config.version != head.version || seen.is_some_and(|seen| seen != head.version) {
            return Err(ChangeError::Conflict);
        }
        let rows = decide(&config)?;
        let version = head.version + 1;
        let mut writes: Vec<Write> =
            rows.iter().map(|row| Write::put_json(row_key(&row.name()), row)).collect();
        writes.push(Write::put_json(change_key(version), &Change { version, rows }));
        writes.push(Write::put_json(HEAD_KEY, &Head { version }));
        let mut preconditions = vec![Precondition::unchanged(HEAD_KEY, head_row.as_ref())];
        preconditions.extend(fences);
        match self.committer.commit(table, preconditions, writes, PATIENCE).await {
            Settled::Committed => Ok(version),
            Settled::Conflict { .. } => Err(ChangeError::Conflict),
            Settled::Refused { reason } => Err(ChangeError::NotAccepted { reason }),
            Settled::Unknown { operation_id } => Err(ChangeError::Unknown { operation_id }),
        }
    }
}

fn contract_rows(config: &Config, contract: &Contract) -> Result<Vec<ConfigRow>, ChangeError> {
    let others = || config.contracts.iter().filter(|c| c.customer != contract.customer);
    for queue in &contract.queues {
        if let Some(other) = others().find(|other| other.queue(&queue.name).is_some()) {
            let reason = format!("queue `{}` belongs to `{}`", queue.name, other.customer);
            return Err(invalid(reason));
        }
    }
    for pool in &contract.pools {
        if let Some(other) = others().find(|other| other.pool(&pool.name).is_some()) {
            return Err(invalid(format!("pool `{}` belongs to `{}`", pool.name, other.customer)));
        }
    }
    let mut rows = vec![ConfigRow::Contract(contract.clone())];
    for spec in &contract.hosts {
        match config.host(&spec.id) {
            Some(held) if held.customer != contract.customer => {
                return Err(invalid(format!("host `{}` belongs to `{}`", spec.id, held.customer)));
            }
            // A host keeps the pool that operators moved it to.
            Some(_) => {}
            None => {
                let row = HostRow::new(contract.customer.clone(), spec.clone());
                rows.push(ConfigRow::Host(row));
            }
        }
    }
    Ok(rows)
}

fn invalid(reason: String) -> ChangeError {
    ChangeError::Invalid { reason }
}
