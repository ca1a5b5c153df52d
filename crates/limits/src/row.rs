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

/// Tokens of one holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Who holds them.
    #[serde(flatten)]
    pub holder: Holder,
    /// Tokens.
    pub count: u32,
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
    pub fn held(&self, holder: &Holder) -> u32 {
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

    /// True if `next` may follow this row: no token beyond the limit is handed out.
    pub fn allows(&self, next: &Self) -> bool {
        next.config_version >= self.config_version && next.total() <= next.limit.max(self.total())
    }

    fn find(&self, holder: &Holder) -> Result<usize, usize> {
        self.holdings.binary_search_by(|holding| holding.holder.cmp(holder))
    }
}
