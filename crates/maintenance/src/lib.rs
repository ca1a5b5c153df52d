//! Maintenance of hosts: their life cycle, the availability budget and what follows from both.
//!
//! Everything here decides and nothing acts: each function takes rows of the configuration, the
//! evidence at hand and the present time, and returns the rows that should follow. The node commits
//! them as one versioned change, so a decision on an outdated configuration is never in force.

pub mod advance;
pub mod budget;
pub mod lend;
pub mod life;
pub mod list;
pub mod round;
pub mod service;
pub mod step;
pub mod wave;

pub use advance::Evidence;
pub use advance::HostEvidence;
pub use advance::reboot_operation;
pub use budget::BudgetRefusal;
pub use budget::check_drain;
pub use life::AnyHost;
pub use life::Host;
pub use life::Moment;
pub use list::HostList;
pub use list::Presence;
pub use round::Step;
pub use round::advance_all;
pub use step::NodeReport;
pub use step::Probe;
pub use step::StepError;
pub use step::cancel;
pub use step::drain;
pub use step::move_host;
pub use step::return_host;
pub use wave::WaveError;
