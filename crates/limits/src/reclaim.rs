//! Frees what a gone node held, on evidence that nothing of it runs any more.
//!
//! The node itself must be gone for certain: fenced, and past the time in which a request that it
//! sent could still be on its way. Then a backend server's own report that it runs nothing of that
//! node frees its slots and connections there. A team's tokens stay held for as many requests as may
//! still run on backend servers that have not reported: no more than the slots that the gone node
//! held there. The rows themselves say what is still open, so any node can go on with it.

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
use crate::ledger::asked;
use crate::ledger::effective_limit;
use crate::ledger::log_rows_of;
use crate::plan::Draft;
use crate::plan::Situation;
use crate::plan::hand_out;
use crate::row::Holder;
use crate::row::LedgerRow;

/// Rows changed in one transaction.
const ROWS_MAX: usize = 128;

/// What is left of a gone node after one transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReclaimOutcome {
    /// What became of the transaction.
    pub tick: TickOutcome,
    /// Tokens that it still holds, over all rows.
    pub remaining: u64,
}

impl Ledger {
    /// Hosts where `gone` still holds slots or connections, by rows as last read.
    pub fn hosts_held_by(&self, gone: &Holder) -> Vec<HostId> {
        let mut hosts: Vec<HostId> = self
            .rows_held(gone)
            .filter_map(|(key, _)| match key {
                LimitKey::Slots(host) | LimitKey::Connections(host) => Some(host.clone()),
                LimitKey::Running(_) => None,
            })
            .collect();
        hosts.sort();
        hosts.dedup();
        hosts
    }

    /// Other incarnations that hold anything, by rows as last read; sorted.
    pub fn holders(&self) -> Vec<Holder> {
        let rows = self.rows();
        let holdings = rows.flat_map(|(_, row)| row.holdings.iter());
        let mut holders: Vec<Holder> = holdings.map(|holding| holding.holder.clone()).collect();
        holders.sort();
        holders.dedup();
        holders
    }

    /// Reads all rows again.
    pub async fn reload(
        &mut self,
        table: &dyn Table,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
    ) -> Result<(), Unavailable> {
        if !self.resolve(table, tokens, view).await {
            return Err(Unavailable::new("the last transaction is not resolved"));
        }
        self.load(table, tokens, view).await
    }

    /// Frees what `gone` held and hands it out, given that the hosts `quiet` (sorted) have each
    /// reported that they run nothing of it. One transaction; call until nothing is written.
    pub async fn reclaim(
        &mut self,
        table: &dyn Table,
        tokens: &dyn Tokens,
        view: &ClusterView<'_>,
        gone: &Holder,
        quiet: &[HostId],
    ) -> Result<ReclaimOutcome, Unavailable> {
        if !self.resolve(table, tokens, view).await {
            return Ok(ReclaimOutcome {
                tick: TickOutcome::Unknown,
                remaining: self.tokens_held(gone),
            });
        }
        self.refresh(table, tokens, view).await?;
        let drafts = self.freed(view, gone, quiet);
        let tick = match drafts.is_empty() {
            true => TickOutcome::Idle,
            false => self.write(table, tokens, view, drafts).await?,
        };
        let remaining = self.tokens_held(gone);
        if remaining == 0 {
            self.remove_log(table, gone).await?;
        }
        Ok(ReclaimOutcome { tick, remaining })
    }

    fn freed(
        &self,
        view: &ClusterView<'_>,
        gone: &Holder,
        quiet: &[HostId],
    ) -> Vec<(LimitKey, Draft)> {
        let is_quiet = |host: &HostId| quiet.binary_search(host).is_ok();
        let mut drafts = Vec::new();
        for (key, row) in self.rows_held(gone) {
            let held = row.held(gone);
            let kept = match key {
                LimitKey::Slots(host) | LimitKey::Connections(host) if is_quiet(host) => 0,
                LimitKey::Slots(_) | LimitKey::Connections(_) => held,
                LimitKey::Running(team) => {
                    held.min(self.slots_open(view, gone, &team.customer, &is_quiet))
                }
            };
            if kept == held || drafts.len() == ROWS_MAX {
                continue;
            }
            let mut next = row.clone();
            next.remove(gone, held - kept);
            self.give_on(view, key, &mut next);
            drafts.push((key.clone(), Draft { next, ceded: 0 }));
        }
        drafts
    }

    /// Slots of `gone` on hosts of `customer` that have not reported.
    fn slots_open(
        &self,
        view: &ClusterView<'_>,
        gone: &Holder,
        customer: &CustomerId,
        is_quiet: &dyn Fn(&HostId) -> bool,
    ) -> u32 {
        let open = self.rows_held(gone).filter(|(key, _)| match key {
            LimitKey::Slots(host) => !is_quiet(host) && may_serve(view, key, customer),
            _ => false,
        });
        open.map(|(_, row)| row.held(gone)).sum()
    }

    fn give_on(&self, view: &ClusterView<'_>, key: &LimitKey, next: &mut LedgerRow) {
        let found = view.limits.binary_search_by(|limit| limit.key.cmp(key));
        let demand = found.map_or(&DemandKey::None, |index| &view.limits[index].demand);
        let asked = asked(view, demand, self.me());
        let limit = effective_limit(view, key, next);
        let situation = Situation {
            key,
            limit,
            config_version: view.config_version,
            asked: &asked,
            me: self.me(),
            is_home: true,
            is_leaving: view.is_leaving,
            unused: 0,
        };
        if next.limit <= limit {
            hand_out(&situation, next);
        }
    }

    async fn remove_log(&mut self, table: &dyn Table, gone: &Holder) -> Result<(), Unavailable> {
        let keys = log_rows_of(table, gone).await?;
        if keys.is_empty() {
            return Ok(());
        }
        let removals = keys.into_iter().map(|key| Write::Delete { key });
        // Left rows do no harm; the next look at the gone node tries again.
        let _ = self.commit_plain(table, removals.collect()).await;
        Ok(())
    }

    fn tokens_held(&self, gone: &Holder) -> u64 {
        self.rows_held(gone).map(|(_, row)| u64::from(row.held(gone))).sum()
    }

    fn rows_held<'a>(
        &'a self,
        gone: &'a Holder,
    ) -> impl Iterator<Item = (&'a LimitKey, &'a LedgerRow)> {
        self.rows().filter(move |(_, row)| row.held(gone) > 0)
    }
}

/// True unless the configuration says that the host serves another customer.
fn may_serve(view: &ClusterView<'_>, slots: &LimitKey, customer: &CustomerId) -> bool {
    let found = view.limits.binary_search_by(|limit| limit.key.cmp(slots));
    match found.map(|index| &view.limits[index].demand) {
        Ok(DemandKey::Service(owner, _)) => owner == customer,
        _ => true,
    }
}
