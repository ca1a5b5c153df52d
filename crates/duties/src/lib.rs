//! Duties: roles that one node at a time holds, such as planning the maintenance of a pool.
//!
//! A *duty* is a role with a single leased holder. It is stored as the row `duty/{name}`, which
//! names the holder and an epoch. The preferred holder is a pure function of the live nodes, so
//! that duties are spread evenly and move only when a node joins or leaves. A node takes a duty
//! over from another one only when that node has released it or can no longer act. Every write made
//! on behalf of a duty carries the version of the duty's row as a precondition, so that the table
//! refuses the late write of a holder that was paused.

mod decide;
mod node_duties;

pub use decide::DutyAction;
pub use decide::decide;
pub use decide::preferred_holder;
pub use node_duties::Duties;
pub use node_duties::Members;

use model::Incarnation;
use model::NodeId;
use serde::Deserialize;
use serde::Serialize;
use services::Precondition;
use services::RowVersion;

/// Prefix of the keys of duty rows.
pub const DUTY_PREFIX: &str = "duty/";

/// Name of a duty, such as `maintenance/levy-validate`.
pub type DutyName = String;

/// The incarnation of a node that holds a duty.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the node.
    pub node: NodeId,
    /// Incarnation of the node when it acquired the duty.
    pub incarnation: Incarnation,
}

/// Value of a duty's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRow {
    /// Current holder; `None` after a holder has released the duty.
    pub holder: Option<Holder>,
    /// Incremented with each new holder.
    pub epoch: u64,
}

/// A duty that this node holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Duty {
    /// Name of the duty, without the prefix of its row.
    pub name: DutyName,
    /// Epoch in which this node holds the duty.
    pub epoch: u64,
    /// Version of the duty's row when this node read itself as the holder.
    pub row_version: RowVersion,
}

impl Duty {
    /// Precondition that fails once the duty's row has changed, that is, once the duty was released
    /// or taken over.
    pub fn precondition(&self) -> Precondition {
        Precondition::VersionIs { key: duty_key(&self.name), version: self.row_version }
    }
}

/// Returns the key of a duty's row.
pub fn duty_key(name: &str) -> String {
    format!("{DUTY_PREFIX}{name}")
}
