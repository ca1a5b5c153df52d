//! One node: the gateway, the configuration follower and the operators' interface, wired together.
//!
//! [`Node::start`] builds the parts and starts their tasks; [`Node::stop`] ends them gracefully.
//! Lock order: `Shared::config` before the limit table; neither is held across an await.

pub mod api;

mod admin;
mod compact;
mod duty;
mod fleet_shares;
mod follower;
mod ledger;
mod maintain;
mod members;
mod place;
mod run;
mod settings;
mod shared;
mod ship;

pub use place::jobs;
pub use place::workers;
pub use run::Node;
pub use run::StartError;
pub use run::StopOutcome;
pub use settings::Peering;
pub use settings::Platform;
pub use settings::Settings;
pub use settings::Transport;
