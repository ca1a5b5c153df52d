//! What a node does about one row of the ledger.

use model::ConfigVersion;

use crate::key::LimitKey;
use crate::row::Holder;
use crate::row::LedgerRow;
use crate::targets::targets;

/// Part of a limit that is worth moving to a node that does not lack tokens yet.
const TRANSFER_DIVISOR: u32 = 4;

/// What a plan for a row rests on.
pub struct PlanInput<'a> {
    /// The limit.
    pub key: &'a LimitKey,
    /// Tokens in all, by the configuration of this node; 0 for a limit that is gone.
    pub limit: u32,
    /// Version of that configuration.
    pub config_version: ConfigVersion,
    /// What each live node asks for, sorted by holder.
    pub demands: &'a [(Holder, u32)],
    /// This node.
    pub me: &'a Holder,
    /// True if this node hands out the limit's free tokens.
    pub is_distributor: bool,
    /// True if this node is about to stop.
    pub is_leaving: bool,
    /// Tokens of this node that no work has.
    pub unused: u32,
}

/// A planned change of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedChange {
    /// The row after the change.
    pub next: LedgerRow,
    /// Tokens that this node gives away by it.
    pub withdrawn: u32,
}

/// What this node should write; `None` if nothing. `row` is `None` for a row that does not exist.
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
    let moved = next.holdings != row.holdings;
    let limit_is_due = next.limit != row.limit && input.is_distributor;
    (moved || limit_is_due).then_some(PlannedChange { next, withdrawn })
}

/// Gives the free tokens of `next` to those that lack them most.
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

/// Gives tokens that this node has above its target to nodes that lack them; returns how many.
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
        // What nobody lacks becomes free.
        next.remove(input.me, remaining);
        remaining = 0;
    }
    surplus - remaining
}

/// Nodes below their target by how much, the most lacking first; never this node when it gives.
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
