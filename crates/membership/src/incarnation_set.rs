//! For each node, the last run of its process of which something is known.

use model::Incarnation;
use model::NodeId;
use wire::Eviction;

/// Last run by node, sorted by node; it also covers all earlier runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct IncarnationSet {
    entries: Vec<(NodeId, Incarnation)>,
}

impl IncarnationSet {
    /// Last run of `node`; 0 if there is none.
    pub fn last(&self, node: &str) -> Incarnation {
        match self.find(node) {
            Ok(index) => self.entries[index].1,
            Err(_) => 0,
        }
    }

    /// True if this run of `node` is covered.
    pub fn contains(&self, node: &str, incarnation: Incarnation) -> bool {
        self.last(node) >= incarnation
    }

    /// Covers the runs of `node` up to `incarnation`; true if they were not before.
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

    /// All entries as messages carry them.
    pub fn to_marks(&self) -> Vec<Eviction> {
        let mark =
            |(node, run): &(NodeId, _)| Eviction { node: node.to_string(), incarnation: *run };
        self.entries.iter().map(mark).collect()
    }

    fn find(&self, node: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|(other, _)| (**other).cmp(node))
    }
}
