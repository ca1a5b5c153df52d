//! Plans and writes changes of the ledger.

use std::time::Duration;

use services::Precondition;
use services::RowVersion;
use services::Settled;
use services::Table;
use services::Unavailable;
use services::Write;

use super::ClusterView;
use super::Ledger;
use super::TickOutcome;
use super::Tokens;
use super::Unresolved;
use super::limit_of;
use super::put_in_use;
use crate::demand::DemandKey;
use crate::key::LimitKey;
use crate::plan::Draft;
use crate::plan::Situation;
use crate::plan::plan;
use crate::row::Holder;
use crate::row::LedgerRow;
use crate::targets::home;

/// Rows changed in one transaction.
const ROWS_MAX: usize = 64;
/// Time that a transaction may take to settle.
const PATIENCE: Duration = Duration::from_secs(2);

impl Ledger {
    /// Learns the outcome of the last transaction, if it is still open; true if none is.
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
                self.committed(unresolved.drafts, None, tokens, view);
            } else {
                self.restore(unresolved.drafts, tokens);
            }
        }
        true
    }

    /// What should change, with the tokens to be given away already out of use.
    pub(super) fn drafts(
        &mut self,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) -> Vec<(LimitKey, Draft)> {
        let keys = self.keys(view);
        // Teams come first, since work waits for their tokens most; the rest takes turns.
        let is_team = |(key, _): &&(LimitKey, DemandKey)| matches!(key, LimitKey::Running(_));
        let turn = |count: usize| match count {
            0 => 0,
            count => self.tick_count as usize * ROWS_MAX % count,
        };
        let (mut teams, mut others): (Vec<_>, Vec<_>) = keys.iter().partition(is_team);
        let (teams_turn, others_turn) = (turn(teams.len()), turn(others.len()));
        teams.rotate_left(teams_turn);
        others.rotate_left(others_turn);
        let mut drafts = Vec::new();
        for (key, demand) in teams.into_iter().chain(others) {
            if drafts.len() == ROWS_MAX {
                break;
            }
            if let Some(draft) = self.draft(key, demand, tokens, view) {
                drafts.push((key.clone(), draft));
            }
        }
        drafts
    }

    fn draft(
        &mut self,
        key: &LimitKey,
        demand: &DemandKey,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) -> Option<Draft> {
        let entry = self.find(key).ok().map(|index| &self.entries[index]);
        let row = entry.and_then(|entry| entry.row.as_ref());
        let unused = tokens.unused(key);
        let is_home = home(key, view.members.iter().map(|m| &m.holder)) == Some(&self.me);
        let has_part = is_home || unused > 0;
        if !has_part {
            return None;
        }
        let asked = asked(view, demand, &self.me);
        let situation = Situation {
            key,
            limit: limit_of(view, key),
            config_version: view.config_version,
            asked: &asked,
            me: &self.me,
            is_home,
            is_leaving: view.is_leaving,
            unused,
        };
        let draft = plan(&situation, row)?;
        let ceded = tokens.cede(key, draft.ceded);
        if ceded == draft.ceded {
            return Some(draft);
        }
        // Work took some of the tokens meanwhile; what is left is planned again in the next tick.
        tokens.grant(key, row.map_or(0, |row| row.held(&self.me)));
        None
    }

    /// Writes `drafts`, for which tokens are already out of use.
    pub(crate) async fn write(
        &mut self,
        table: &dyn Table,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
        drafts: Vec<(LimitKey, Draft)>,
    ) -> Result<TickOutcome, Unavailable> {
        if drafts.is_empty() {
            return Ok(TickOutcome::Idle);
        }
        let rows = drafts.len();
        let mut preconditions = Vec::new();
        let mut writes = Vec::new();
        for (key, draft) in &drafts {
            preconditions.push(self.precondition(key));
            writes.push(row_write(key, &draft.next));
        }
        writes.extend(self.log_writes(&drafts, view.now));
        let (settled, version) =
            self.committer.commit_versioned(table, preconditions, writes, PATIENCE).await;
        match settled {
            Settled::Committed => {
                self.committed(drafts, version, tokens, view);
                Ok(TickOutcome::Written { rows })
            }
            Settled::Conflict { key } => {
                self.restore(drafts, tokens);
                self.mark_stale(&key);
                Ok(TickOutcome::Conflict)
            }
            Settled::Refused { .. } => {
                self.restore(drafts, tokens);
                Ok(TickOutcome::Refused)
            }
            Settled::Unknown { operation_id } => {
                self.unresolved = Some(Unresolved { operation_id, drafts });
                Ok(TickOutcome::Unknown)
            }
        }
    }

    /// Commits writes that need no precondition and whose loss does no harm.
    pub(crate) async fn commit_plain(&self, table: &dyn Table, writes: Vec<Write>) -> Settled {
        self.committer.commit(table, Vec::new(), writes, PATIENCE).await
    }

    fn committed(
        &mut self,
        drafts: Vec<(LimitKey, Draft)>,
        version: Option<RowVersion>,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) {
        let me = self.me.clone();
        for (key, draft) in drafts {
            let row = draft.next.if_any().cloned();
            let fits = put_in_use(&me, &key, row.as_ref(), tokens, view);
            let entry = self.entry(&key);
            entry.version = version.unwrap_or(entry.version);
            entry.stale = version.is_none() || !fits;
            entry.row = row;
        }
    }

    /// Puts tokens in use again that were not given away after all.
    fn restore(&mut self, drafts: Vec<(LimitKey, Draft)>, tokens: &dyn Tokens) {
        for (key, _) in drafts {
            let held = self.row(&key).map_or(0, |row| row.held(&self.me));
            tokens.grant(&key, held);
        }
    }

    /// Marks the row that was in conflict; all rows if it is none of the ledger's.
    fn mark_stale(&mut self, row_key: &str) {
        match LimitKey::from_row_key(row_key) {
            Some(key) => self.entry(&key).stale = true,
            None => self.entries.iter_mut().for_each(|entry| entry.stale = true),
        }
    }

    fn precondition(&self, key: &LimitKey) -> Precondition {
        let entry = self.find(key).ok().map(|index| &self.entries[index]);
        match entry.filter(|entry| entry.row.is_some()) {
            Some(entry) => Precondition::VersionIs { key: key.row_key(), version: entry.version },
            None => Precondition::Absent { key: key.row_key() },
        }
    }

    /// Keys of all limits and of all rows, with what their tokens are asked for under.
    fn keys(&self, view: &ClusterView<'_>) -> Vec<(LimitKey, DemandKey)> {
        let limits = view.limits.iter().map(|limit| (limit.key.clone(), limit.demand.clone()));
        let mut keys: Vec<_> = limits.collect();
        for entry in self.entries.iter().filter(|entry| entry.row.is_some()) {
            let found = view.limits.binary_search_by(|limit| limit.key.cmp(&entry.key));
            if found.is_err() {
                keys.push((entry.key.clone(), DemandKey::None));
            }
        }
        keys
    }
}

/// What each node asks for under `demand`; a node that leaves asks for nothing and gets nothing.
pub(crate) fn asked(view: &ClusterView<'_>, demand: &DemandKey, me: &Holder) -> Vec<(Holder, u32)> {
    view.members
        .iter()
        .filter(|member| !view.is_leaving || member.holder != *me)
        .map(|member| (member.holder.clone(), member.count(demand)))
        .collect()
}

fn row_write(key: &LimitKey, row: &LedgerRow) -> Write {
    match row.if_any() {
        Some(row) => Write::put_json(key.row_key(), row),
        None => Write::Delete { key: key.row_key() },
    }
}
