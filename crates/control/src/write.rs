//! Commits changes of the configuration.

use std::sync::Arc;
use std::sync::RwLock;
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
use services::Committer;
use services::FinalOutcome;
use services::Precondition;
use services::Row;
use services::Scan;
use services::Table;
use services::Unavailable;
use services::Write;

use crate::contract::contract_rows;
use crate::error::ChangeError;
use crate::error::ChangeSummary;
use crate::operation::AcceptedChange;
use crate::operation::Operation;
use crate::operation::OperationOutcome;
use crate::read::PollResult;
use crate::read::load;
use crate::read::poll;
use crate::read::read_head;
use crate::rows::CHANGE_PREFIX;
use crate::rows::HEAD_KEY;
use crate::rows::Head;
use crate::rows::change_key;
use crate::rows::decode;
use crate::rows::operation_key;
use crate::rows::row_key;

/// Time after which the outcome of a transaction counts as unknown.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of change rows that are kept. A node that is further behind reads the whole
/// configuration, and an operation that is older is no longer recognized when it is repeated.
const CHANGES_KEPT: ConfigVersion = 1024;
/// Maximum number of old change rows that one change removes.
const COMPACTED_MAX: usize = 4;
/// Maximum number of other changes that an error names.
const SUMMARIES_MAX: usize = 16;
/// Maximum number of times that a change is decided again because another one was committed first.
const CONFLICT_RETRIES_MAX: u32 = 16;

/// Commits changes to the configuration. Its own changes have the author that it was created with.
#[derive(Default)]
pub struct ConfigWriter {
    author: String,
    committer: Committer,
    cached: RwLock<Arc<Config>>,
}

impl ConfigWriter {
    /// Creates a writer whose own changes are attributed to `author`.
    pub fn new(author: impl Into<String>) -> Self {
        Self { author: author.into(), ..Self::default() }
    }

    /// Caches the active configuration, so that a change does not have to read all of it. An older
    /// version than the cached one is ignored.
    pub fn cache_config(&self, config: Arc<Config>) {
        let mut cached = self.cached.write().expect("lock is never poisoned");
        if config.version > cached.version {
            *cached = config;
        }
    }

    /// Makes a contract active. With `seen`, the change is refused unless that version is still the
    /// active one.
    pub async fn apply_contract_as(
        &self,
        table: &dyn Table,
        operation: &Operation,
        contract: Contract,
        seen: Option<ConfigVersion>,
    ) -> Result<ConfigVersion, ChangeError> {
        let decide = |config: &Config| contract_rows(config, &contract);
        Ok(self.apply_operation(table, operation, seen, decide).await?.version)
    }

    /// Grants a new key to `holder`; returns its secret and the version. The secret is not stored
    /// and cannot be read again.
    pub async fn grant_as(
        &self,
        table: &dyn Table,
        operation: &Operation,
        holder: KeyHolder,
    ) -> Result<(String, ConfigVersion), ChangeError> {
        let (secret, row) = grant_key(holder.clone());
        let decide = |config: &Config| {
            if let KeyHolder::Team(team) = &holder
                && config.team(team).is_none()
            {
                return Err(invalid(format!("there is no team `{team}`")));
            }
            Ok(vec![ConfigRow::Key(row.clone())])
        };
        let accepted = self.apply_operation(table, operation, None, decide).await?;
        if accepted.is_repeat {
            let reason = "this grant was made before, and its key is not shown again".to_owned();
            return Err(invalid(reason));
        }
        Ok((secret, accepted.version))
    }

    /// Withdraws a key permanently.
    pub async fn withdraw_as(
        &self,
        table: &dyn Table,
        operation: &Operation,
        key_id: &str,
    ) -> Result<ConfigVersion, ChangeError> {
        let decide = |config: &Config| {
            let key = config.key_by_id(key_id);
            let mut key =
                key.ok_or_else(|| invalid(format!("there is no key `{key_id}`")))?.clone();
            if key.state == KeyState::Withdrawn {
                return Ok(Vec::new());
            }
            key.state = KeyState::Withdrawn;
            Ok(vec![ConfigRow::Key(key)])
        };
        Ok(self.apply_operation(table, operation, None, decide).await?.version)
    }

    /// Like [`Self::apply_contract_as`], with this writer as the author.
    pub async fn apply_contract(
        &self,
        table: &dyn Table,
        contract: Contract,
        seen: Option<ConfigVersion>,
    ) -> Result<ConfigVersion, ChangeError> {
        self.apply_contract_as(table, &self.operation(), contract, seen).await
    }

    /// Like [`Self::grant_as`], with this writer as the author.
    pub async fn grant(
        &self,
        table: &dyn Table,
        holder: KeyHolder,
    ) -> Result<(String, ConfigVersion), ChangeError> {
        self.grant_as(table, &self.operation(), holder).await
    }

    /// Like [`Self::withdraw_as`], with this writer as the author.
    pub async fn withdraw(
        &self,
        table: &dyn Table,
        key_id: &str,
    ) -> Result<ConfigVersion, ChangeError> {
        self.withdraw_as(table, &self.operation(), key_id).await
    }

    /// Replaces the row of a host. Fails with a conflict if there is a row and its epoch is not the
    /// preceding one.
    pub async fn put_host(
        &self,
        table: &dyn Table,
        host: HostRow,
    ) -> Result<ConfigVersion, ChangeError> {
        self.change(table, None, |config| {
            let current = config.host(host.id());
            if current.is_some_and(|current| current.epoch + 1 != host.epoch) {
                return Err(ChangeError::Conflict);
            }
            Ok(vec![ConfigRow::Host(host.clone())])
        })
        .await
    }

    /// Commits the rows that `decide` returns for the latest configuration, as the next version.
    pub async fn change(
        &self,
        table: &dyn Table,
        seen: Option<ConfigVersion>,
        decide: impl Fn(&Config) -> Result<Vec<ConfigRow>, ChangeError>,
    ) -> Result<ConfigVersion, ChangeError> {
        self.change_if(table, seen, Vec::new(), decide).await
    }

    /// Like [`Self::change`], under the additional preconditions `fences`, such as that of a duty's
    /// row.
    pub async fn change_if(
        &self,
        table: &dyn Table,
        seen: Option<ConfigVersion>,
        fences: Vec<Precondition>,
        decide: impl Fn(&Config) -> Result<Vec<ConfigRow>, ChangeError>,
    ) -> Result<ConfigVersion, ChangeError> {
        let latest = self.read_latest(table).await?;
        if seen.is_some_and(|seen| seen != latest.config.version) {
            return Err(ChangeError::Conflict);
        }
        let rows = decide(&latest.config)?;
        let operation = self.operation();
        self.commit(table, &operation, &latest, rows, fences).await
    }

    /// Commits a change of an operator. If another change is committed first, `decide` is called
    /// again on the newer configuration, unless both changes write one of the same rows: then the
    /// error names the other changes, and the operator decides.
    pub async fn apply_operation(
        &self,
        table: &dyn Table,
        operation: &Operation,
        seen: Option<ConfigVersion>,
        decide: impl Fn(&Config) -> Result<Vec<ConfigRow>, ChangeError>,
    ) -> Result<AcceptedChange, ChangeError> {
        if let Some(version) = read_operation(table, &operation.id).await? {
            return Ok(AcceptedChange { version, is_repeat: true });
        }
        let mut base = None;
        let mut conflicts = 0;
        loop {
            let latest = self.read_latest(table).await?;
            let version = latest.config.version;
            if let Some(seen) = seen.filter(|seen| *seen != version) {
                return Err(race_error(table, seen, version).await);
            }
            let rows = decide(&latest.config)?;
            if rows.is_empty() {
                return Ok(AcceptedChange { version, is_repeat: false });
            }
            let base = *base.get_or_insert(version);
            if base != version {
                check_overlap(table, base, version, &rows).await?;
            }
            match self.commit(table, operation, &latest, rows, Vec::new()).await {
                Ok(version) => return Ok(AcceptedChange { version, is_repeat: false }),
                Err(ChangeError::Conflict) if conflicts < CONFLICT_RETRIES_MAX => conflicts += 1,
                Err(ChangeError::Conflict) => return Err(race_error(table, base, version).await),
                Err(error) => return Err(error),
            }
        }
    }

    /// Resolves an operation whose outcome is unknown. One that is not active is closed, so that it
    /// can never become active. `None` while the table does not reply.
    pub async fn resolve(
        &self,
        table: &dyn Table,
        operation_id: &OperationId,
    ) -> Option<OperationOutcome> {
        if !self.committer.resolve(table, operation_id).await? {
            return Some(OperationOutcome::Never);
        }
        let version = read_operation(table, operation_id).await.ok()??;
        Some(OperationOutcome::Active(version))
    }

    fn operation(&self) -> Operation {
        Operation::new(self.author.clone())
    }

    async fn read_latest(&self, table: &dyn Table) -> Result<Latest, Unavailable> {
        let mut cached = self.cached.read().expect("lock is never poisoned").clone();
        loop {
            let (head, head_row) = read_head(table).await?;
            if cached.version == head.version {
                return Ok(Latest { config: cached, head_row });
            }
            if cached.version > head.version {
                return Err(Unavailable::new("the table is behind the configuration in force"));
            }
            cached = match poll(table, &cached).await? {
                PollResult::Newer(config) | PollResult::Reloaded(config) => Arc::new(config),
                // The head is newer than the scan of the change rows: read the whole configuration.
                PollResult::Unchanged => Arc::new(load(table).await?),
            };
        }
    }

    async fn commit(
        &self,
        table: &dyn Table,
        operation: &Operation,
        latest: &Latest,
        rows: Vec<ConfigRow>,
        fences: Vec<Precondition>,
    ) -> Result<ConfigVersion, ChangeError> {
        let version = latest.config.version + 1;
        let mut change = Change {
            version,
            rows,
            author: operation.author.clone(),
            operation_id: Some(operation.id.clone()),
            digest: None,
        };
        let next = latest.config.with_change(change.clone());
        let next = next.map_err(|gap| invalid(gap.to_string()))?;
        let digest = next.digest();
        change.digest = Some(digest.clone());
        let mut writes: Vec<Write> = change.rows.iter().map(row_write).collect();
        writes.push(Write::put_json(change_key(version), &change));
        writes.push(Write::put_json(HEAD_KEY, &Head { version, digest: Some(digest) }));
        writes.push(Write::put_json(operation_key(&operation.id), &version));
        writes.extend(compaction(table, version).await?);
        let mut preconditions = vec![Precondition::unchanged(HEAD_KEY, latest.head_row.as_ref())];
        preconditions.extend(fences);
        let id = operation.id.clone();
        match self.committer.commit_with_id(table, id, preconditions, writes, COMMIT_TIMEOUT).await
        {
            FinalOutcome::Committed => {
                self.cache_config(Arc::new(next));
                Ok(version)
            }
            FinalOutcome::Conflict { key }
                if key == services::commit::operation_key(&operation.id) =>
            {
                let reason = format!("operation {} was given up before", operation.id);
                Err(ChangeError::NotAccepted { reason })
            }
            FinalOutcome::Conflict { .. } => Err(ChangeError::Conflict),
            FinalOutcome::Refused { reason } => Err(ChangeError::NotAccepted { reason }),
            FinalOutcome::Unknown { operation_id } => Err(ChangeError::Unknown { operation_id }),
        }
    }
}

/// The latest configuration, and the head row to which it belongs.
struct Latest {
    config: Arc<Config>,
    head_row: Option<Row>,
}

fn row_write(row: &ConfigRow) -> Write {
    match row {
        ConfigRow::Removed(name) => Write::Delete { key: row_key(name) },
        row => Write::put_json(row_key(&row.name()), row),
    }
}

/// Returns the removals of old change rows and of the rows of their operations.
async fn compaction(table: &dyn Table, version: ConfigVersion) -> Result<Vec<Write>, Unavailable> {
    let Some(last) = version.checked_sub(CHANGES_KEPT).filter(|last| *last > 0) else {
        return Ok(Vec::new());
    };
    let scan = Scan { prefix: CHANGE_PREFIX.to_owned(), after: None, rows_max: COMPACTED_MAX };
    let mut removals = Vec::new();
    for row in table.scan(scan).await? {
        let change: Change = decode(&row)?;
        if change.version > last {
            break;
        }
        removals.push(Write::Delete { key: row.key });
        if let Some(id) = change.operation_id {
            removals.push(Write::Delete { key: operation_key(&id) });
            removals.push(Write::Delete { key: services::commit::operation_key(&id) });
        }
    }
    Ok(removals)
}

async fn read_operation(
    table: &dyn Table,
    operation_id: &OperationId,
) -> Result<Option<ConfigVersion>, Unavailable> {
    let row = table.get(&operation_key(operation_id)).await?;
    row.as_ref().map(decode).transpose()
}

/// Fails if a change after `base` wrote one of `rows`.
async fn check_overlap(
    table: &dyn Table,
    base: ConfigVersion,
    version: ConfigVersion,
    rows: &[ConfigRow],
) -> Result<(), ChangeError> {
    let since = changes_after(table, base).await?;
    let is_ours = |name: &String| rows.iter().any(|row| row.name() == *name);
    if since.iter().any(|summary| summary.rows.iter().any(is_ours)) {
        return Err(ChangeError::Raced { seen: base, version, since });
    }
    Ok(())
}

async fn race_error(table: &dyn Table, seen: ConfigVersion, version: ConfigVersion) -> ChangeError {
    match changes_after(table, seen).await {
        Ok(since) => ChangeError::Raced { seen, version, since },
        Err(unavailable) => unavailable.into(),
    }
}

async fn changes_after(
    table: &dyn Table,
    version: ConfigVersion,
) -> Result<Vec<ChangeSummary>, Unavailable> {
    let scan = Scan {
        prefix: CHANGE_PREFIX.to_owned(),
        after: Some(change_key(version)),
        rows_max: SUMMARIES_MAX,
    };
    let rows = table.scan(scan).await?;
    rows.iter().map(|row| Ok(ChangeSummary::from(&decode::<Change>(row)?))).collect()
}

fn invalid(reason: String) -> ChangeError {
    ChangeError::Invalid { reason }
}
