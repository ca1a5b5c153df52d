//! Reclaims the tokens of a gone node, on evidence that none of its work is running.
//!
//! The node must be gone for certain: it is fenced, and no request that it sent can still be in
//! flight. A backend server's report that it runs nothing of that node then frees the node's slots
//! and connections of this server. Of a team's tokens, as many stay held as requests may still be
//! running on backend servers that have not reported: at most the slots that the gone node held
//! there. All progress is stored in the rows, so any node can continue the reclaim.

use model::CustomerId;
use model::HostId;
use services::Table;
use services::Unavailable;
use services::Write;

use crate::demand::DemandKey;
use crate::key::LimitKey;
use crate::ledger::ClusterView;
use crate::ledger::Ledger;
use crate::ledger::TickOutcome;
use crate::ledger::Tokens;
use crate::ledger::demands_for;
use crate::ledger::effective_limit;
use crate::ledger::log_rows_of;
use crate::plan::PlanInput;
use crate::plan::PlannedChange;
use crate::plan::distribute_free;
use crate::row::Holder;
use crate::row::LedgerRow;

/// Maximum number of ledger rows that one transaction changes.
const ROWS_MAX: usize = 128;

/// The result of one transaction of a reclaim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReclaimOutcome {
    /// Result of the transaction.
    pub tick: TickOutcome,
    /// Number of tokens that the gone node still holds, over all rows.
    pub remaining: u64,
}

impl Ledger {
    /// Returns the hosts of which `gone` still holds slots or connections, as last read; sorted.
    pub fn hosts_held_by(&self, gone: &Holder) -> Vec<HostId> {
        let mut hosts: Vec<HostId> = self
            .rows_held_by(gone)
            .filter_map(|(key, _)| match key {
                LimitKey::Slots(host) | LimitKey::Connections(host) => Some(host.clone()),
                LimitKey::Running(_) => None,
            })
            .collect();
        hosts.sort();
        hosts.dedup();
        hosts
    }

    /// Returns all incarnations that hold tokens, as last read; sorted.
    pub fn holders(&self) -> Vec<Holder> {
        let rows = self.rows();
        let holdings = rows.flat_map(|(_, row)| row.holdings.iter());
        let mut holders: Vec<Holder> = holdings.map(|holding| holding.holder.clone()).collect();
        holders.sort();
        holders.dedup();
        holders
    }

    /// Reads all rows again; fails while the outcome of a transaction is unknown.
    pub async fn reload(
        &mut self,
        table: &dyn Table,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) -> Result<(), Unavailable> {
        if !self.resolve(table, tokens, view).await {
            return Err(Unavailable::new("the outcome of the last transaction is unknown"));
        }
        self.load(table, tokens, view).await
    }

    /// Frees tokens of `gone` and distributes them, in one transaction; call it until nothing is
    /// written.
    ///
    /// `cleared_hosts` are the hosts that have reported that they run nothing of `gone`; sorted.
    pub async fn reclaim(
        &mut self,
        table: &dyn Table,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
        gone: &Holder,
        cleared_hosts: &[HostId],
    ) -> Result<ReclaimOutcome, Unavailable> {
        if !self.resolve(table, tokens, view).await {
            return Ok(ReclaimOutcome {
                tick: TickOutcome::Unknown,
                remaining: self.tokens_held_by(gone),
            });
        }
        self.refresh(table, tokens, view).await?;
        let changes = self.plan_reclaim(view, gone, cleared_hosts);
        let tick = match changes.is_empty() {
            true => TickOutcome::Idle,
            false => self.write(table, tokens, view, changes).await?,
        };
        let remaining = self.tokens_held_by(gone);
        if remaining == 0 {
            self.remove_log(table, gone).await?;
        }
        Ok(ReclaimOutcome { tick, remaining })
    }

    fn plan_reclaim(
        &self,
        view: &ClusterView<'_>,
        gone: &Holder,
        cleared_hosts: &[HostId],
    ) -> Vec<(LimitKey, PlannedChange)> {
        let is_cleared = |host: &HostId| cleared_hosts.binary_search(host).is_ok();
        let mut changes = Vec::new();
        for (key, row) in self.rows_held_by(gone) {
            let held = row.tokens_of(gone);
            let kept = match key {
                LimitKey::Slots(host) | LimitKey::Connections(host) if is_cleared(host) => 0,
                LimitKey::Slots(_) | LimitKey::Connections(_) => held,
                LimitKey::Running(team) => {
                    held.min(self.unconfirmed_slots(view, gone, &team.customer, &is_cleared))
                }
            };
            if kept == held || changes.len() == ROWS_MAX {
                continue;
            }
            let mut next = row.clone();
            next.remove(gone, held - kept);
            self.redistribute(view, key, &mut next);
            changes.push((key.clone(), PlannedChange { next, withdrawn: 0 }));
        }
        changes
    }

    /// Returns the number of slots that `gone` holds on hosts that may serve `customer` and have
    /// not reported yet.
    fn unconfirmed_slots(
        &self,
        view: &ClusterView<'_>,
        gone: &Holder,
        customer: &CustomerId,
        is_cleared: &dyn Fn(&HostId) -> bool,
    ) -> u32 {
        let unconfirmed = self.rows_held_by(gone).filter(|(key, _)| match key {
            LimitKey::Slots(host) => !is_cleared(host) && may_serve(view, key, customer),
            _ => false,
        });
        unconfirmed.map(|(_, row)| row.tokens_of(gone)).sum()
    }

    /// Distributes the free tokens of `next`, unless the configuration lowers the limit.
    fn redistribute(&self, view: &ClusterView<'_>, key: &LimitKey, next: &mut LedgerRow) {
        let found = view.limits.binary_search_by(|limit| limit.key.cmp(key));
        let demand = found.map_or(&DemandKey::None, |index| &view.limits[index].demand);
        let demands = demands_for(view, demand, self.me());
        let limit = effective_limit(view, key, next);
        let input = PlanInput {
            key,
            limit,
            config_version: view.config_version,
            demands: &demands,
            me: self.me(),
            is_distributor: true,
            is_leaving: view.is_leaving,
            unused: 0,
        };
        if next.limit <= limit {
            distribute_free(&input, next);
        }
    }

    async fn remove_log(&mut self, table: &dyn Table, gone: &Holder) -> Result<(), Unavailable> {
        let keys = log_rows_of(table, gone).await?;
        if keys.is_empty() {
            return Ok(());
        }
        let removals = keys.into_iter().map(|key| Write::Delete { key });
        // Rows that remain do no harm; the next reclaim of this node tries again.
        let _ = self.commit_unconditional(table, removals.collect()).await;
        Ok(())
    }

    fn tokens_held_by(&self, gone: &Holder) -> u64 {
        self.rows_held_by(gone).map(|(_, row)| u64::from(row.tokens_of(gone))).sum()
    }

    fn rows_held_by<'a>(
        &'a self,
        gone: &'a Holder,
    ) -> impl Iterator<Item = (&'a LimitKey, &'a LedgerRow)> {
        self.rows().filter(move |(_, row)| row.tokens_of(gone) > 0)
    }
}

/// Returns true unless the configuration says that the host serves another customer.
fn may_serve(view: &ClusterView<'_>, slots: &LimitKey, customer: &CustomerId) -> bool {
    let found = view.limits.binary_search_by(|limit| limit.key.cmp(slots));
    match found.map(|index| &view.limits[index].demand) {
        Ok(DemandKey::Service(owner, _)) => owner == customer,
        _ => true,
    }
}
