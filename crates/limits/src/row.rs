//! Rows of the ledger.

use model::ConfigVersion;
use model::Incarnation;
use model::NodeId;
use serde::Deserialize;
use serde::Serialize;

/// One run of a node's process, as a holder of tokens.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Node.
    pub node: NodeId,
    /// Run of its process.
    pub incarnation: Incarnation,
}

impl Holder {
    /// Incarnation `incarnation` of `node`.
    pub fn new(node: impl Into<NodeId>, incarnation: Incarnation) -> Self {
        Self { node: node.into(), incarnation }
    }
}

/// Tokens of one holder; stored as a short list, since rows hold many.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(NodeId, Incarnation, u32)", into = "(NodeId, Incarnation, u32)")]
pub struct Holding {
    /// Who holds them.
    pub holder: Holder,
    /// Tokens.
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

/// A limit and who holds its tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRow {
    /// Tokens in all.
    pub limit: u32,
    /// Version of the configuration that set the limit.
    pub config_version: ConfigVersion,
    /// Holdings above zero, sorted by holder.
    pub holdings: Vec<Holding>,
}

impl LedgerRow {
    /// Row of a limit that nobody holds tokens of.
    pub fn new(limit: u32, config_version: ConfigVersion) -> Self {
        Self { limit, config_version, holdings: Vec::new() }
    }

    /// Tokens of `holder`.
    pub fn tokens_of(&self, holder: &Holder) -> u32 {
        self.find(holder).map_or(0, |index| self.holdings[index].count)
    }

    /// Tokens of all holders.
    pub fn total(&self) -> u32 {
        self.holdings.iter().map(|holding| holding.count).sum()
    }

    /// Tokens that nobody holds.
    pub fn free(&self) -> u32 {
        self.limit.saturating_sub(self.total())
    }

    /// Tokens held above the limit, after it was lowered.
    pub fn excess(&self) -> u32 {
        self.total().saturating_sub(self.limit)
    }

    /// Holdings that `next` has changed, with zero for those that are gone.
    pub fn changed_holdings(&self, next: &Self) -> Vec<Holding> {
        let gone = self.holdings.iter().filter(|holding| next.tokens_of(&holding.holder) == 0);
        let gone = gone.map(|holding| Holding { holder: holding.holder.clone(), count: 0 });
        let other = next.holdings.iter().filter(|h| self.tokens_of(&h.holder) != h.count);
        gone.chain(other.cloned()).collect()
    }

    /// Sets the tokens of a holding.
    pub fn set(&mut self, holding: Holding) {
        let count = self.tokens_of(&holding.holder);
        self.remove(&holding.holder, count);
        self.add(&holding.holder, holding.count);
    }

    /// Adds tokens to a holding.
    pub fn add(&mut self, holder: &Holder, count: u32) {
        if count == 0 {
            return;
        }
        match self.find(holder) {
            Ok(index) => self.holdings[index].count += count,
            Err(index) => self.holdings.insert(index, Holding { holder: holder.clone(), count }),
        }
    }

    /// Removes tokens from a holding.
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

    /// The row; `None` for the row of a limit that is gone and that nobody holds tokens of.
    pub fn unless_obsolete(&self) -> Option<&Self> {
        let is_obsolete = self.limit == 0 && self.holdings.is_empty();
        (!is_obsolete).then_some(self)
    }

    /// True if `next` may follow this row: no token beyond the limit is handed out.
    pub fn may_become(&self, next: &Self) -> bool {
        next.config_version >= self.config_version && next.total() <= next.limit.max(self.total())
    }

    fn find(&self, holder: &Holder) -> Result<usize, usize> {
        self.holdings.binary_search_by(|holding| holding.holder.cmp(holder))
    }
}
