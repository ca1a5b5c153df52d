//! Duties that one node at a time holds, such as planning the maintenance of a pool.
//!
//! A duty is a row `duty/{name}` that names its holder and an epoch. Which node should hold it is a
//! pure function of the live nodes, so that duties spread evenly and move only when a node comes or
//! goes. A duty is taken from another node only when that node is gone for certain, or has given it
//! up; and every write made under a duty carries the version of its row as a precondition, so that a
//! paused holder's late write is refused by the table.

mod decide;
mod holder;

pub use decide::Step;
pub use decide::decide;
pub use decide::preferred_holder;
pub use holder::Duties;
pub use holder::Members;

use model::Incarnation;
use model::NodeId;
use serde::Deserialize;
use serde::Serialize;
use services::Precondition;
use services::RowVersion;

/// Prefix of the rows of duties.
pub const DUTY_PREFIX: &str = "duty/";

/// Name of a duty, as in `maintenance/levy-validate`.
pub type DutyName = String;

/// A node that holds a duty.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// Node.
    pub node: NodeId,
    /// Run of the node's process.
    pub incarnation: Incarnation,
}

/// Value of a duty's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRow {
    /// Who holds it; `None` after it was given up.
    pub holder: Option<Holder>,
    /// Grows with each holder.
    pub epoch: u64,
}

/// A duty that this node holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Duty {
    /// Name.
    pub name: DutyName,
    /// Epoch in which this node holds it.
    pub epoch: u64,
    /// Version of its row.
    pub row_version: RowVersion,
}

impl Duty {
    /// Refuses a write once another node holds the duty.
    pub fn precondition(&self) -> Precondition {
        Precondition::VersionIs { key: duty_key(&self.name), version: self.row_version }
    }
}

/// Key of a duty's row.
pub fn duty_key(name: &str) -> String {
    format!("{DUTY_PREFIX}{name}")
}
