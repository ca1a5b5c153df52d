//! Sets of incarnations, closed downwards: a set that contains an incarnation of a node contains
//! all earlier ones of that node.

use model::Incarnation;
use model::NodeId;
use wire::Eviction;

/// For each node all incarnations up to a highest one, sorted by node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct IncarnationSet {
    entries: Vec<(NodeId, Incarnation)>,
}

impl IncarnationSet {
    /// Returns the highest incarnation of `node` in the set; 0 if there is none.
    pub fn highest(&self, node: &str) -> Incarnation {
        match self.find(node) {
            Ok(index) => self.entries[index].1,
            Err(_) => 0,
        }
    }

    /// True if the set contains this incarnation of `node`.
    pub fn contains(&self, node: &str, incarnation: Incarnation) -> bool {
        self.highest(node) >= incarnation
    }

    /// Inserts all incarnations of `node` up to `incarnation`; false if the set contained them
    /// already.
    pub fn insert_up_to(&mut self, node: &str, incarnation: Incarnation) -> bool {
        if self.contains(node, incarnation) {
            return false;
        }
        match self.find(node) {
            Ok(index) => self.entries[index].1 = incarnation,
            Err(index) => self.entries.insert(index, (node.into(), incarnation)),
        }
        true
    }

    /// Returns the set in the form that messages carry.
    pub fn to_evictions(&self) -> Vec<Eviction> {
        let eviction = |(node, incarnation): &(NodeId, _)| Eviction {
            node: node.to_string(),
            incarnation: *incarnation,
        };
        self.entries.iter().map(eviction).collect()
    }

    fn find(&self, node: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|(other, _)| (**other).cmp(node))
    }
}
