//! Changes of the configuration.

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
use services::Precondition;
use services::Row;
use services::Scan;
use services::Settled;
use services::Table;
use services::Unavailable;
use services::Write;

use crate::contract::contract_rows;
use crate::error::ChangeError;
use crate::error::ChangeNote;
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

/// Time that a change may take to settle.
const PATIENCE: Duration = Duration::from_secs(10);
/// Change rows that are kept, so that followers need not read everything, and the time in which a
/// repeat of an operation is recognized.
const CHANGES_KEPT: ConfigVersion = 1024;
/// Change rows that one change removes at most.
const COMPACTED_MAX: usize = 4;
/// Changes that a conflict names at most.
const NOTES_MAX: usize = 16;
/// Times that a change is decided anew because another came first.
const OVERTAKEN_MAX: u32 = 16;

/// Writes changes for one node.
#[derive(Default)]
pub struct ConfigWriter {
    author: String,
    committer: Committer,
    held: RwLock<Arc<Config>>,
}

impl ConfigWriter {
    /// Writer of `author`.
    pub fn new(author: impl Into<String>) -> Self {
        Self { author: author.into(), ..Self::default() }
    }

    /// Remembers the configuration in force, so that a change need not read all of it again.
    pub fn cache_config(&self, config: Arc<Config>) {
        let mut held = self.held.write().expect("no holder panics");
        if config.version > held.version {
            *held = config;
        }
    }

    /// Accepts a contract; `seen` is the version that the operator decided on, if it matters.
    pub async fn apply_contract_as(
        &self,
        table: &dyn Table,
        operation: &Operation,
        contract: Contract,
        seen: Option<ConfigVersion>,
    ) -> Result<ConfigVersion, ChangeError> {
        let decide = |config: &Config| contract_rows(config, &contract);
        Ok(self.operate(table, operation, seen, decide).await?.version)
    }

    /// Grants a key; returns its secret and the version.
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
        let accepted = self.operate(table, operation, None, decide).await?;
        if accepted.repeated {
            let reason = "this grant was made before, and its key is not shown again".to_owned();
            return Err(invalid(reason));
        }
        Ok((secret, accepted.version))
    }

    /// Withdraws a key for good.
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
        Ok(self.operate(table, operation, None, decide).await?.version)
    }

    /// As [`Self::apply_contract_as`], in the name of this writer.
    pub async fn apply_contract(
        &self,
        table: &dyn Table,
        contract: Contract,
        seen: Option<ConfigVersion>,
    ) -> Result<ConfigVersion, ChangeError> {
        self.apply_contract_as(table, &self.operation(), contract, seen).await
    }

    /// As [`Self::grant_as`], in the name of this writer.
    pub async fn grant(
        &self,
        table: &dyn Table,
        holder: KeyHolder,
    ) -> Result<(String, ConfigVersion), ChangeError> {
        self.grant_as(table, &self.operation(), holder).await
    }

    /// As [`Self::withdraw_as`], in the name of this writer.
    pub async fn withdraw(
        &self,
        table: &dyn Table,
        key_id: &str,
    ) -> Result<ConfigVersion, ChangeError> {
        self.withdraw_as(table, &self.operation(), key_id).await
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
        let latest = self.latest(table).await?;
        if seen.is_some_and(|seen| seen != latest.config.version) {
            return Err(ChangeError::Conflict);
        }
        let rows = decide(&latest.config)?;
        let operation = self.operation();
        self.commit(table, &operation, &latest, rows, fences).await
    }

    /// Makes a change for an operator. If another change comes first, it is decided anew on top of
    /// that one, unless the other change wrote one of the same rows: then the operator decides.
    pub async fn operate(
        &self,
        table: &dyn Table,
        operation: &Operation,
        seen: Option<ConfigVersion>,
        decide: impl Fn(&Config) -> Result<Vec<ConfigRow>, ChangeError>,
    ) -> Result<AcceptedChange, ChangeError> {
        if let Some(version) = read_operation(table, &operation.id).await? {
            return Ok(AcceptedChange { version, repeated: true });
        }
        let mut base = None;
        let mut overtaken = 0;
        loop {
            let latest = self.latest(table).await?;
            let version = latest.config.version;
            if let Some(seen) = seen.filter(|seen| *seen != version) {
                return Err(raced(table, seen, version).await);
            }
            let rows = decide(&latest.config)?;
            if rows.is_empty() {
                return Ok(AcceptedChange { version, repeated: false });
            }
            let base = *base.get_or_insert(version);
            if base != version {
                check_overlap(table, base, version, &rows).await?;
            }
            match self.commit(table, operation, &latest, rows, Vec::new()).await {
                Ok(version) => return Ok(AcceptedChange { version, repeated: false }),
                Err(ChangeError::Conflict) if overtaken < OVERTAKEN_MAX => overtaken += 1,
                Err(ChangeError::Conflict) => return Err(raced(table, base, version).await),
                Err(error) => return Err(error),
            }
        }
    }

    /// Resolves an operation whose outcome is not known: one that is not in force is given up for
    /// good. `None` while the table does not answer.
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

    async fn latest(&self, table: &dyn Table) -> Result<Latest, Unavailable> {
        let mut held = self.held.read().expect("no holder panics").clone();
        loop {
            let (head, head_row) = read_head(table).await?;
            if held.version == head.version {
                return Ok(Latest { config: held, head_row });
            }
            if held.version > head.version {
                return Err(Unavailable::new("the table is behind the configuration in force"));
            }
            held = match poll(table, &held).await? {
                PollResult::Newer(config) | PollResult::Reloaded(config) => Arc::new(config),
                // The head has moved on, and its change row is not in the scan: read all.
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
        match self.committer.commit_as(table, id, preconditions, writes, PATIENCE).await {
            Settled::Committed => {
                self.cache_config(Arc::new(next));
                Ok(version)
            }
            Settled::Conflict { key } if key == services::commit::operation_key(&operation.id) => {
                let reason = format!("operation {} was given up before", operation.id);
                Err(ChangeError::NotAccepted { reason })
            }
            Settled::Conflict { .. } => Err(ChangeError::Conflict),
            Settled::Refused { reason } => Err(ChangeError::NotAccepted { reason }),
            Settled::Unknown { operation_id } => Err(ChangeError::Unknown { operation_id }),
        }
    }
}

/// The latest configuration and the head row that says so.
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

/// Removals of old change rows and of the rows of their operations.
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
    if since.iter().any(|note| note.rows.iter().any(is_ours)) {
        return Err(ChangeError::Raced { seen: base, version, since });
    }
    Ok(())
}

async fn raced(table: &dyn Table, seen: ConfigVersion, version: ConfigVersion) -> ChangeError {
    match changes_after(table, seen).await {
        Ok(since) => ChangeError::Raced { seen, version, since },
        Err(unavailable) => unavailable.into(),
    }
}

async fn changes_after(
    table: &dyn Table,
    version: ConfigVersion,
) -> Result<Vec<ChangeNote>, Unavailable> {
    let scan = Scan {
        prefix: CHANGE_PREFIX.to_owned(),
        after: Some(change_key(version)),
        rows_max: NOTES_MAX,
    };
    let rows = table.scan(scan).await?;
    rows.iter().map(|row| Ok(ChangeNote::from(&decode::<Change>(row)?))).collect()
}

fn invalid(reason: String) -> ChangeError {
    ChangeError::Invalid { reason }
}
