//! Decides how a node changes one row of the ledger.

use model::ConfigVersion;

use crate::key::LimitKey;
use crate::row::Holder;
use crate::row::LedgerRow;
use crate::targets::targets;

/// A node that has enough tokens for its demand gets more only if it is below its target by at
/// least the limit divided by this, and by 2 or more.
const TRANSFER_DIVISOR: u32 = 4;

/// Input for the plan of one row.
pub struct PlanInput<'a> {
    /// Key of the limit.
    pub key: &'a LimitKey,
    /// The limit in this node's configuration; 0 if the limit was removed.
    pub limit: u32,
    /// Version of this node's configuration.
    pub config_version: ConfigVersion,
    /// Demand of each live node in tokens, sorted by holder.
    pub demands: &'a [(Holder, u32)],
    /// This node's incarnation.
    pub me: &'a Holder,
    /// True if this node distributes the limit's free tokens.
    pub is_distributor: bool,
    /// True if this node is about to stop, so that it transfers all tokens that it can.
    pub is_leaving: bool,
    /// Number of this node's tokens that no work uses.
    pub unused: u32,
}

/// A planned change of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedChange {
    /// The row to be written.
    pub next: LedgerRow,
    /// Number of tokens that this node loses; they must be out of use before the row is written.
    pub withdrawn: u32,
}

/// Returns the change that this node should write, or `None` if there is none.
///
/// `row` is `None` if the row doesn't exist.
pub fn plan(input: &PlanInput<'_>, row: Option<&LedgerRow>) -> Option<PlannedChange> {
    let Some(row) = row else {
        return create(input);
    };
    let mut next = row.clone();
    if input.config_version > row.config_version && input.limit != row.limit {
        next.limit = input.limit;
        next.config_version = input.config_version;
    }
    let mut withdrawn = 0;
    if next.excess() > 0 {
        withdrawn = input.unused.min(next.excess()).min(row.tokens_of(input.me));
        next.remove(input.me, withdrawn);
    } else {
        withdrawn += transfer_surplus(input, &mut next);
        if input.is_distributor {
            distribute_free(input, &mut next);
        }
    }
    let holdings_changed = next.holdings != row.holdings;
    let must_write_limit = next.limit != row.limit && input.is_distributor;
    (holdings_changed || must_write_limit).then_some(PlannedChange { next, withdrawn })
}

/// Distributes the free tokens of `next` to the nodes that are furthest below their targets.
pub fn distribute_free(input: &PlanInput<'_>, next: &mut LedgerRow) {
    let target_counts = targets(input.key, next.limit, input.demands);
    let mut free = next.free();
    let mut deficits = deficits(input, next, &target_counts);
    for (index, deficit) in deficits.drain(..) {
        let count = deficit.min(free);
        next.add(&input.demands[index].0, count);
        free -= count;
    }
}

fn create(input: &PlanInput<'_>) -> Option<PlannedChange> {
    if !input.is_distributor || input.limit == 0 {
        return None;
    }
    let mut next = LedgerRow::new(input.limit, input.config_version);
    distribute_free(input, &mut next);
    Some(PlannedChange { next, withdrawn: 0 })
}

/// Transfers unused tokens that this node has above its target to nodes below theirs.
///
/// Returns the number of tokens that this node loses.
fn transfer_surplus(input: &PlanInput<'_>, next: &mut LedgerRow) -> u32 {
    let target_counts = targets(input.key, next.limit, input.demands);
    let own_index = input.demands.iter().position(|(holder, _)| holder == input.me);
    let target = own_index.map_or(0, |index| target_counts[index]);
    let surplus = next.tokens_of(input.me).saturating_sub(target).min(input.unused);
    let mut remaining = surplus;
    for (index, deficit) in deficits(input, next, &target_counts) {
        let (holder, demand) = &input.demands[index];
        let is_starved = *demand > next.tokens_of(holder);
        if !is_starved && !input.is_leaving && deficit < (next.limit / TRANSFER_DIVISOR).max(2) {
            continue;
        }
        let count = deficit.min(remaining);
        next.remove(input.me, count);
        next.add(holder, count);
        remaining -= count;
    }
    if input.is_leaving {
        // Tokens that no other node needs become free.
        next.remove(input.me, remaining);
        remaining = 0;
    }
    surplus - remaining
}

/// Returns the nodes below their target as positions in `demands` with the number of tokens that
/// they lack, largest first. A node that has tokens above its target is not among them.
fn deficits(input: &PlanInput<'_>, row: &LedgerRow, target_counts: &[u32]) -> Vec<(usize, u32)> {
    let mut deficits: Vec<(usize, u32)> = input
        .demands
        .iter()
        .enumerate()
        .map(|(index, (holder, _))| {
            (index, target_counts[index].saturating_sub(row.tokens_of(holder)))
        })
        .filter(|(_, deficit)| *deficit > 0)
        .collect();
    deficits.sort_by_key(|(index, deficit)| (std::cmp::Reverse(*deficit), *index));
    deficits
}
