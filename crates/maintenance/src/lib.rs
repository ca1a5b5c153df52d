//! Maintenance of hosts: their life cycle, the availability budgets, lending between pools, and
//! waves. A *wave* is a batch of hosts that are drained and rebooted together.
//!
//! This crate only decides. Each function takes rows of the configuration, evidence and the current
//! time, and returns the rows that should replace them. The node commits these rows as one
//! versioned change, so that a decision on an outdated configuration never becomes active.

pub mod advance;
pub mod budget;
pub mod lend;
pub mod lifecycle;
pub mod list;
pub mod planner;
pub mod service;
pub mod transition;
pub mod wave;

pub use advance::Evidence;
pub use advance::HostEvidence;
pub use advance::reboot_operation_id;
pub use budget::BudgetRefusal;
pub use budget::check_drain;
pub use lifecycle::AnyHost;
pub use lifecycle::Host;
pub use lifecycle::Moment;
pub use list::HostList;
pub use list::Presence;
pub use planner::RowChanges;
pub use planner::advance_all;
pub use transition::NodeReport;
pub use transition::Probe;
pub use transition::TransitionError;
pub use transition::cancel;
pub use transition::drain;
pub use transition::move_host;
pub use transition::return_host;
pub use wave::WaveError;
