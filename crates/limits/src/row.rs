//! Rows of the ledger, as they are stored in the platform's table.

use model::ConfigVersion;
use model::Incarnation;
use model::NodeId;
use serde::Deserialize;
use serde::Serialize;

/// An incarnation of a node that holds tokens.
///
/// A restarted node is another holder: it must not use the tokens of its previous incarnation,
/// whose requests may still be running.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the node.
    pub node: NodeId,
    /// Incarnation of the node; each start of its process has a new one.
    pub incarnation: Incarnation,
}

impl Holder {
    /// Creates the holder for one incarnation of `node`.
    pub fn new(node: impl Into<NodeId>, incarnation: Incarnation) -> Self {
        Self { node: node.into(), incarnation }
    }
}

/// Tokens of one holder.
///
/// Serialized as an array without field names, because a row contains many holdings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(NodeId, Incarnation, u32)", into = "(NodeId, Incarnation, u32)")]
pub struct Holding {
    /// The incarnation that holds the tokens.
    pub holder: Holder,
    /// Number of tokens; above zero in a stored row.
    pub count: u32,
}

impl From<(NodeId, Incarnation, u32)> for Holding {
    fn from((node, incarnation, count): (NodeId, Incarnation, u32)) -> Self {
        Self { holder: Holder { node, incarnation }, count }
    }
}

impl From<Holding> for (NodeId, Incarnation, u32) {
    fn from(holding: Holding) -> Self {
        (holding.holder.node, holding.holder.incarnation, holding.count)
    }
}

/// A limit and the holdings of its tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRow {
    /// Number of tokens that may be held in total.
    pub limit: u32,
    /// Version of the configuration that set the limit.
    pub config_version: ConfigVersion,
    /// Holdings above zero, sorted by holder.
    pub holdings: Vec<Holding>,
}

impl LedgerRow {
    /// Creates a row without holdings.
    pub fn new(limit: u32, config_version: ConfigVersion) -> Self {
        Self { limit, config_version, holdings: Vec::new() }
    }

    /// Returns the number of tokens that `holder` has.
    pub fn tokens_of(&self, holder: &Holder) -> u32 {
        self.find(holder).map_or(0, |index| self.holdings[index].count)
    }

    /// Returns the number of tokens that all holders have together.
    pub fn total(&self) -> u32 {
        self.holdings.iter().map(|holding| holding.count).sum()
    }

    /// Returns the number of tokens that nobody holds.
    pub fn free(&self) -> u32 {
        self.limit.saturating_sub(self.total())
    }

    /// Returns by how many tokens the holdings exceed the limit; above zero only after the limit
    /// was lowered.
    pub fn excess(&self) -> u32 {
        self.total().saturating_sub(self.limit)
    }

    /// Returns the holdings that differ in `next`; removed holdings have a count of zero.
    pub fn changed_holdings(&self, next: &Self) -> Vec<Holding> {
        let gone = self.holdings.iter().filter(|holding| next.tokens_of(&holding.holder) == 0);
        let gone = gone.map(|holding| Holding { holder: holding.holder.clone(), count: 0 });
        let other = next.holdings.iter().filter(|h| self.tokens_of(&h.holder) != h.count);
        gone.chain(other.cloned()).collect()
    }

    /// Sets the number of tokens of a holder; zero removes the holding.
    pub fn set_holding(&mut self, holding: Holding) {
        let count = self.tokens_of(&holding.holder);
        self.remove(&holding.holder, count);
        self.add(&holding.holder, holding.count);
    }

    /// Adds `count` tokens to the holding of `holder`.
    pub fn add(&mut self, holder: &Holder, count: u32) {
        if count == 0 {
            return;
        }
        match self.find(holder) {
            Ok(index) => self.holdings[index].count += count,
            Err(index) => self.holdings.insert(index, Holding { holder: holder.clone(), count }),
        }
    }

    /// Removes up to `count` tokens from the holding of `holder`.
    pub fn remove(&mut self, holder: &Holder, count: u32) {
        let Ok(index) = self.find(holder) else {
            return;
        };
        let holding = &mut self.holdings[index];
        holding.count = holding.count.saturating_sub(count);
        if holding.count == 0 {
            self.holdings.remove(index);
        }
    }

    /// Returns the row, or `None` if the limit was removed and nobody holds tokens any more, so
    /// that the row can be deleted.
    pub fn unless_obsolete(&self) -> Option<&Self> {
        let is_obsolete = self.limit == 0 && self.holdings.is_empty();
        (!is_obsolete).then_some(self)
    }

    /// Returns true if `next` is a valid successor of this row: it distributes no tokens beyond the
    /// limit and doesn't go back to an older configuration.
    pub fn may_become(&self, next: &Self) -> bool {
        next.config_version >= self.config_version && next.total() <= next.limit.max(self.total())
    }

    fn find(&self, holder: &Holder) -> Result<usize, usize> {
        self.holdings.binary_search_by(|holding| holding.holder.cmp(holder))
    }
}
