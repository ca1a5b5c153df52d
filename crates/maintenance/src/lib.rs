//! Maintenance of hosts: their life cycle, the availability budget and what follows from both.
//!
//! Everything here decides and nothing acts: each function takes rows of the configuration, the
//! evidence at hand and the present time, and returns the rows that should follow. The node commits
//! them as one versioned change, so a decision on an outdated configuration is never in force.

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
