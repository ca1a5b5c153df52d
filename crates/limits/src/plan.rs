//! What a node does about one row of the ledger.

use model::ConfigVersion;

use crate::key::LimitKey;
use crate::row::Holder;
use crate::row::LedgerRow;
use crate::targets::targets;

/// Part of a limit that is worth moving to a node that does not lack tokens yet.
const MOVE_PART: u32 = 4;

/// What a plan for a row rests on.
pub struct Situation<'a> {
    /// The limit.
    pub key: &'a LimitKey,
    /// Tokens in all, by the configuration of this node; 0 for a limit that is gone.
    pub limit: u32,
    /// Version of that configuration.
    pub config_version: ConfigVersion,
    /// What each live node asks for, sorted by holder.
    pub asked: &'a [(Holder, u32)],
    /// This node.
    pub me: &'a Holder,
    /// True if this node hands out the limit's free tokens.
    pub is_home: bool,
    /// True if this node is about to stop.
    pub is_leaving: bool,
    /// Tokens of this node that no work has.
    pub unused: u32,
}

/// A planned change of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draft {
    /// The row after the change.
    pub next: LedgerRow,
    /// Tokens that this node gives away by it.
    pub ceded: u32,
}

/// What this node should write; `None` if nothing. `row` is `None` for a row that does not exist.
pub fn plan(situation: &Situation<'_>, row: Option<&LedgerRow>) -> Option<Draft> {
    let Some(row) = row else {
        return create(situation);
    };
    let mut next = row.clone();
    if situation.config_version > row.config_version && situation.limit != row.limit {
        next.limit = situation.limit;
        next.config_version = situation.config_version;
    }
    let mut ceded = 0;
    if next.excess() > 0 {
        ceded = situation.unused.min(next.excess()).min(row.held(situation.me));
        next.remove(situation.me, ceded);
    } else {
        ceded += give(situation, &mut next);
        if situation.is_home {
            hand_out(situation, &mut next);
        }
    }
    let moved = next.holdings != row.holdings;
    let limit_is_due = next.limit != row.limit && situation.is_home;
    (moved || limit_is_due).then_some(Draft { next, ceded })
}

/// Gives the free tokens of `next` to those that lack them most.
pub fn hand_out(situation: &Situation<'_>, next: &mut LedgerRow) {
    let wanted = targets(situation.key, next.limit, situation.asked);
    let mut free = next.free();
    let mut lacking = lacking(situation, next, &wanted);
    for (index, lack) in lacking.drain(..) {
        let count = lack.min(free);
        next.add(&situation.asked[index].0, count);
        free -= count;
    }
}

fn create(situation: &Situation<'_>) -> Option<Draft> {
    if !situation.is_home || situation.limit == 0 {
        return None;
    }
    let mut next = LedgerRow::new(situation.limit, situation.config_version);
    hand_out(situation, &mut next);
    Some(Draft { next, ceded: 0 })
}

/// Gives tokens that this node has above its target to nodes that lack them; returns how many.
fn give(situation: &Situation<'_>, next: &mut LedgerRow) -> u32 {
    let wanted = targets(situation.key, next.limit, situation.asked);
    let mine = situation.asked.iter().position(|(holder, _)| holder == situation.me);
    let target = mine.map_or(0, |index| wanted[index]);
    let surplus = next.held(situation.me).saturating_sub(target).min(situation.unused);
    let mut left = surplus;
    for (index, lack) in lacking(situation, next, &wanted) {
        let (holder, asked) = &situation.asked[index];
        let starves = *asked > next.held(holder);
        if !starves && !situation.is_leaving && lack < (next.limit / MOVE_PART).max(2) {
            continue;
        }
        let count = lack.min(left);
        next.remove(situation.me, count);
        next.add(holder, count);
        left -= count;
    }
    if situation.is_leaving {
        // What nobody lacks becomes free.
        next.remove(situation.me, left);
        left = 0;
    }
    surplus - left
}

/// Nodes below their target by how much, the most lacking first; never this node when it gives.
fn lacking(situation: &Situation<'_>, row: &LedgerRow, wanted: &[u32]) -> Vec<(usize, u32)> {
    let mut lacking: Vec<(usize, u32)> = situation
        .asked
        .iter()
        .enumerate()
        .map(|(index, (holder, _))| (index, wanted[index].saturating_sub(row.held(holder))))
        .filter(|(_, lack)| *lack > 0)
        .collect();
    lacking.sort_by_key(|(index, lack)| (std::cmp::Reverse(*lack), *index));
    lacking
}
