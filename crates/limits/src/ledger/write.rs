//! Plans changes of the ledger and writes them.

use std::time::Duration;

use services::FinalOutcome;
use services::Precondition;
use services::RowVersion;
use services::Table;
use services::Unavailable;
use services::Write;

use super::ClusterView;
use super::Ledger;
use super::TickOutcome;
use super::Tokens;
use super::UnresolvedTransaction;
use super::apply_holding;
use super::configured_limit;
use crate::demand::DemandKey;
use crate::key::LimitKey;
use crate::plan::PlanInput;
use crate::plan::PlannedChange;
use crate::plan::plan;
use crate::row::Holder;
use crate::row::LedgerRow;
use crate::targets::distributor;

/// Maximum number of ledger rows that one transaction changes.
const ROWS_MAX: usize = 64;
/// Time after which the outcome of a transaction counts as unknown.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);

impl Ledger {
    /// Resolves the outcome of the last transaction, if it is unknown; returns false if it stays
    /// unknown.
    pub(crate) async fn resolve(
        &mut self,
        table: &dyn Table,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) -> bool {
        let Some(unresolved) = &self.unresolved else {
            return true;
        };
        let Some(committed) = self.committer.resolve(table, &unresolved.operation_id).await else {
            return false;
        };
        if let Some(unresolved) = self.unresolved.take() {
            if committed {
                self.apply_commit(unresolved.changes, None, tokens, view);
            } else {
                self.restore_tokens(unresolved.changes, tokens);
            }
        }
        true
    }

    /// Plans the changes of this tick and withdraws the tokens that they give to other nodes.
    pub(super) fn plan_changes(
        &mut self,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) -> Vec<(LimitKey, PlannedChange)> {
        let keys = self.limit_keys(view);
        // Limits of teams come first, because work waits mostly for their tokens. Each group is
        // rotated, so that all keys get their turn although a transaction has a limited size.
        let is_team = |(key, _): &&(LimitKey, DemandKey)| matches!(key, LimitKey::Running(_));
        let rotation = |count: usize| match count {
            0 => 0,
            count => self.tick_count as usize * ROWS_MAX % count,
        };
        let (mut teams, mut others): (Vec<_>, Vec<_>) = keys.iter().partition(is_team);
        let (teams_rotation, others_rotation) = (rotation(teams.len()), rotation(others.len()));
        teams.rotate_left(teams_rotation);
        others.rotate_left(others_rotation);
        let mut changes = Vec::new();
        for (key, demand) in teams.into_iter().chain(others) {
            if changes.len() == ROWS_MAX {
                break;
            }
            if let Some(change) = self.plan_change(key, demand, tokens, view) {
                changes.push((key.clone(), change));
            }
        }
        changes
    }

    fn plan_change(
        &mut self,
        key: &LimitKey,
        demand: &DemandKey,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) -> Option<PlannedChange> {
        let entry = self.find(key).ok().map(|index| &self.cache[index]);
        let row = entry.and_then(|entry| entry.row.as_ref());
        let unused = tokens.unused(key);
        let is_distributor =
            distributor(key, view.members.iter().map(|m| &m.holder)) == Some(&self.me);
        let may_change = is_distributor || unused > 0;
        if !may_change {
            return None;
        }
        let demands = demands_for(view, demand, &self.me);
        let input = PlanInput {
            key,
            limit: configured_limit(view, key),
            config_version: view.config_version,
            demands: &demands,
            me: &self.me,
            is_distributor,
            is_leaving: view.is_leaving,
            unused,
        };
        let change = plan(&input, row)?;
        let withdrawn = tokens.withdraw(key, change.withdrawn);
        if withdrawn == change.withdrawn {
            return Some(change);
        }
        // Work acquired some of the tokens in the meantime; the next tick plans again.
        tokens.grant(key, row.map_or(0, |row| row.tokens_of(&self.me)));
        None
    }

    /// Writes `changes`, whose tokens are already withdrawn, in one transaction.
    pub(crate) async fn write(
        &mut self,
        table: &dyn Table,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
        changes: Vec<(LimitKey, PlannedChange)>,
    ) -> Result<TickOutcome, Unavailable> {
        if changes.is_empty() {
            return Ok(TickOutcome::Idle);
        }
        let rows = changes.len();
        let mut preconditions = Vec::new();
        let mut writes = Vec::new();
        for (key, change) in &changes {
            preconditions.push(self.precondition(key));
            writes.push(row_write(key, &change.next));
        }
        writes.extend(self.log_writes(&changes, view.now));
        let (outcome, version) =
            self.committer.commit_versioned(table, preconditions, writes, COMMIT_TIMEOUT).await;
        match outcome {
            FinalOutcome::Committed => {
                self.apply_commit(changes, version, tokens, view);
                Ok(TickOutcome::Written { rows })
            }
            FinalOutcome::Conflict { key } => {
                self.restore_tokens(changes, tokens);
                self.mark_stale(&key);
                Ok(TickOutcome::Conflict)
            }
            FinalOutcome::Refused { .. } => {
                self.restore_tokens(changes, tokens);
                Ok(TickOutcome::Refused)
            }
            FinalOutcome::Unknown { operation_id } => {
                self.unresolved = Some(UnresolvedTransaction { operation_id, changes });
                Ok(TickOutcome::Unknown)
            }
        }
    }

    /// Commits writes without preconditions; only for writes that may be lost without harm.
    pub(crate) async fn commit_unconditional(
        &self,
        table: &dyn Table,
        writes: Vec<Write>,
    ) -> FinalOutcome {
        self.committer.commit(table, Vec::new(), writes, COMMIT_TIMEOUT).await
    }

    fn apply_commit(
        &mut self,
        changes: Vec<(LimitKey, PlannedChange)>,
        version: Option<RowVersion>,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) {
        let me = self.me.clone();
        for (key, change) in changes {
            let row = change.next.unless_obsolete().cloned();
            let fits = apply_holding(&me, &key, row.as_ref(), tokens, view);
            let entry = self.cache_entry(&key);
            entry.version = version.unwrap_or(entry.version);
            entry.is_stale = version.is_none() || !fits;
            entry.row = row;
        }
    }

    /// Grants the withdrawn tokens again after a transaction that was not committed.
    fn restore_tokens(&mut self, changes: Vec<(LimitKey, PlannedChange)>, tokens: &dyn Tokens) {
        for (key, _) in changes {
            let held = self.row(&key).map_or(0, |row| row.tokens_of(&self.me));
            tokens.grant(&key, held);
        }
    }

    /// Marks the row with the conflict as stale, or all rows if the key is not that of a ledger
    /// row.
    fn mark_stale(&mut self, row_key: &str) {
        match LimitKey::from_row_key(row_key) {
            Some(key) => self.cache_entry(&key).is_stale = true,
            None => self.cache.iter_mut().for_each(|entry| entry.is_stale = true),
        }
    }

    fn precondition(&self, key: &LimitKey) -> Precondition {
        let entry = self.find(key).ok().map(|index| &self.cache[index]);
        match entry.filter(|entry| entry.row.is_some()) {
            Some(entry) => Precondition::VersionIs { key: key.row_key(), version: entry.version },
            None => Precondition::Absent { key: key.row_key() },
        }
    }

    /// Returns the keys of all configured limits and of all rows, with the keys of their demands.
    fn limit_keys(&self, view: &ClusterView<'_>) -> Vec<(LimitKey, DemandKey)> {
        let limits = view.limits.iter().map(|limit| (limit.key.clone(), limit.demand.clone()));
        let mut keys: Vec<_> = limits.collect();
        for entry in self.cache.iter().filter(|entry| entry.row.is_some()) {
            let found = view.limits.binary_search_by(|limit| limit.key.cmp(&entry.key));
            if found.is_err() {
                keys.push((entry.key.clone(), DemandKey::None));
            }
        }
        keys
    }
}

/// Returns each node's demand under `demand`, without this node if it is about to stop: it must not
/// get any tokens.
pub(crate) fn demands_for(
    view: &ClusterView<'_>,
    demand: &DemandKey,
    me: &Holder,
) -> Vec<(Holder, u32)> {
    view.members
        .iter()
        .filter(|member| !view.is_leaving || member.holder != *me)
        .map(|member| (member.holder.clone(), member.count(demand)))
        .collect()
}

fn row_write(key: &LimitKey, row: &LedgerRow) -> Write {
    match row.unless_obsolete() {
        Some(row) => Write::put_json(key.row_key(), row),
        None => Write::Delete { key: key.row_key() },
    }
}
